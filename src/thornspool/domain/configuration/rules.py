"""Rules between documents, checked on a whole configuration."""

from __future__ import annotations

import typing

from thornspool.domain.configuration import documents
from thornspool.domain.configuration import problems

if typing.TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Iterator


def check_snapshot(
    snapshot: documents.Snapshot,
) -> tuple[problems.Problem, ...]:
    """Return every broken rule of a configuration, in a fixed order.

    Parameters
    ----------
    snapshot : Snapshot
        The configuration as it would be in force.
    """
    every: tuple[documents.Document, ...] = (
        *snapshot.workspaces.values(),
        *snapshot.services.values(),
        *snapshot.models.values(),
    )
    return check_documents(snapshot, every)


def check_documents(
    snapshot: documents.Snapshot, checked: Iterable[documents.Document]
) -> tuple[problems.Problem, ...]:
    """Return the broken rules of some documents of a configuration.

    Parameters
    ----------
    snapshot : Snapshot
        The configuration that they refer to.
    checked : iterable of Document
        The documents to check; targets refer to nothing.
    """
    found: list[problems.Problem] = []
    for document in checked:
        match document:
            case documents.Workspace():
                found.extend(_check_workspace(snapshot, document))
            case documents.Service():
                found.extend(_check_service(snapshot, document))
            case documents.Model():
                found.extend(_check_model(snapshot, document))
    return tuple(found)


def _check_workspace(
    snapshot: documents.Snapshot, workspace: documents.Workspace
) -> Iterator[problems.Problem]:
    place = f'workspace/{workspace.name}'
    for index, name in enumerate(workspace.models):
        if name not in snapshot.models:
            yield _report_unknown(
                place, f'$.models[{index}]', 'model', name, snapshot.models
            )


def _check_service(
    snapshot: documents.Snapshot, service: documents.Service
) -> Iterator[problems.Problem]:
    place = f'service/{service.name}'
    if service.workspace not in snapshot.workspaces:
        yield _report_unknown(
            place,
            '$.workspace',
            'workspace',
            service.workspace,
            snapshot.workspaces,
        )
    yield from _check_targets(snapshot, service)
    yield from _check_operations(service)


def _check_targets(
    snapshot: documents.Snapshot, service: documents.Service
) -> Iterator[problems.Problem]:
    for index, name in enumerate(service.targets):
        yield from _check_target(
            snapshot,
            f'service/{service.name}',
            f'$.targets[{index}]',
            name,
            documents.TargetKind.SERVICE,
        )


def _check_target(
    snapshot: documents.Snapshot,
    place: str,
    path: str,
    name: str,
    kind: documents.TargetKind,
) -> Iterator[problems.Problem]:
    target = snapshot.targets.get(name)
    if target is None:
        yield _report_unknown(place, path, 'target', name, snapshot.targets)
        return
    if target.kind is not kind:
        yield problems.Problem(
            place,
            path,
            'target-kind',
            f'Name a target that serves "{kind.value}"; "{name}" serves '
            f'"{target.kind.value}".',
        )


def _check_operations(
    service: documents.Service,
) -> Iterator[problems.Problem]:
    place = f'service/{service.name}'
    seen: set[str] = set()
    for index, operation in enumerate(service.operations):
        path = f'$.operations[{index}]'
        if operation.name in seen:
            yield problems.Problem(
                place,
                f'{path}.name',
                'duplicate-operation',
                f'Give the second operation "{operation.name}" another '
                'name or remove it.',
            )
        seen.add(operation.name)
        if operation.idempotent and operation.deduplicates:
            yield problems.Problem(
                place,
                f'{path}.deduplicates',
                'deduplicates-idempotent',
                'Remove "deduplicates", or write "idempotent": false if '
                'a call may not be repeated without its key.',
            )


def _check_model(
    snapshot: documents.Snapshot, model: documents.Model
) -> Iterator[problems.Problem]:
    place = f'model/{model.name}'
    seen: set[documents.Stage] = set()
    for index, stage in enumerate(model.stages):
        path = f'$.stages[{index}]'
        yield from _check_target(
            snapshot,
            place,
            f'{path}.target',
            stage.target,
            documents.TargetKind.ENGINE,
        )
        yield from _check_range(model, stage, path)
        if stage in seen:
            yield problems.Problem(
                place,
                path,
                'duplicate-stage',
                'Remove this stage; an earlier line says the same.',
            )
        seen.add(stage)
    if not _has_chain(model):
        yield problems.Problem(
            place,
            '$.stages',
            'layer-gap',
            'Add stages so that some of them, one after the other, hold '
            f'layers 0 to {model.layers} without gap or overlap; those '
            f'given reach layer {max(_reach_layers(model))}.',
        )


def _check_range(
    model: documents.Model, stage: documents.Stage, path: str
) -> Iterator[problems.Problem]:
    if 0 <= stage.first_layer < stage.end_layer <= model.layers:
        return
    yield problems.Problem(
        f'model/{model.name}',
        path,
        'layer-range',
        'Write 0 <= "first_layer" < "end_layer" <= '
        f'{model.layers}, the number of layers.',
    )


def _reach_layers(model: documents.Model) -> set[int]:
    """Return the layers at which a chain that starts at 0 can end."""
    reached = {0}
    for stage in sorted(model.stages, key=lambda one: one.first_layer):
        forwards = stage.first_layer < stage.end_layer
        if forwards and stage.first_layer in reached:
            reached.add(stage.end_layer)
    return reached


def _has_chain(model: documents.Model) -> bool:
    return model.layers in _reach_layers(model)


def _report_unknown(
    place: str, path: str, kind: str, name: str, known: Collection[str]
) -> problems.Problem:
    close = _suggest(name, known)
    instead = f'such as "{close}"' if close else 'or publish it as well'
    return problems.Problem(
        place,
        path,
        f'unknown-{kind}',
        f'Name a {kind} that exists, {instead}; "{name}" does not.',
    )


def _suggest(name: str, known: Collection[str]) -> str:
    """Return a known name that begins like this one, or nothing."""
    for length in range(len(name), 1, -1):
        for candidate in known:
            if candidate.startswith(name[:length]):
                return candidate
    return ''
