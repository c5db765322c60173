"""Lookup of the documents that a caller names in the configuration."""

from __future__ import annotations

import typing

import attrs

from thornspool.application import exceptions
from thornspool.domain.targets import messages

if typing.TYPE_CHECKING:
    import random

    from thornspool.domain.configuration import documents


@attrs.frozen
class ResolvedOperation:
    """An operation that a workspace may call, with its targets.

    Attributes
    ----------
    service : documents.Service
        Service of the workspace.
    operation : documents.Operation
        Operation of the service.
    targets : tuple of documents.Target
        Targets of the service, in the order of its document.
    """

    service: documents.Service
    operation: documents.Operation
    targets: tuple[documents.Target, ...]


def find_workspace(
    snapshot: documents.Snapshot, name: str
) -> documents.Workspace:
    """Return a workspace.

    Raises
    ------
    UnknownName
        No such workspace is in force.
    """
    workspace = snapshot.workspaces.get(name)
    if workspace is None:
        raise exceptions.UnknownName('workspace', name)
    return workspace


def find_model(
    snapshot: documents.Snapshot, workspace_name: str, name: str
) -> documents.Model:
    """Return a model that a workspace may use.

    Raises
    ------
    UnknownName
        The workspace or the model is not in force, or the workspace may not
        use the model.
    """
    workspace = find_workspace(snapshot, workspace_name)
    model = snapshot.models.get(name)
    if model is None or name not in workspace.models:
        raise exceptions.UnknownName('model', name)
    return model


def find_operation(
    snapshot: documents.Snapshot,
    workspace_name: str,
    service_name: str,
    operation_name: str,
) -> ResolvedOperation:
    """Return an operation of a service that belongs to a workspace.

    Raises
    ------
    UnknownName
        One of the three is not in force, or the service belongs to another
        workspace.
    """
    find_workspace(snapshot, workspace_name)
    service = snapshot.services.get(service_name)
    if service is None or service.workspace != workspace_name:
        raise exceptions.UnknownName('service', service_name)
    operation = service.find_operation(operation_name)
    if operation is None:
        raise exceptions.UnknownName('operation', operation_name)
    targets = tuple(
        snapshot.targets[name]
        for name in service.targets
        if name in snapshot.targets
    )
    return ResolvedOperation(service, operation, targets)


def list_ready(
    targets: tuple[documents.Target, ...],
    view: messages.TargetView,
    random_source: random.Random,
) -> tuple[documents.Target, ...]:
    """Return the targets that accept new work, in a random order.

    Parameters
    ----------
    targets : tuple of documents.Target
        Targets of a service.
    view : messages.TargetView
        Readiness of the targets, as known to the local entry.
    random_source : random.Random
        Source of the order, so that entries start with different targets.
    """
    ready = [
        target
        for target in targets
        if view.read_readiness(target.name) is messages.Readiness.READY
    ]
    return tuple(random_source.sample(ready, len(ready)))
