"""Validation of references and consistency across documents."""

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
    """Check all documents of a configuration.

    Parameters
    ----------
    snapshot : Snapshot
        Configuration to check.

    Returns
    -------
    tuple of Problem
        All violations, in a fixed order.
    """
    checked: tuple[documents.Document, ...] = (
        *snapshot.workspaces.values(),
        *snapshot.services.values(),
        *snapshot.models.values(),
    )
    return check_documents(snapshot, checked)


def check_documents(
    snapshot: documents.Snapshot, checked: Iterable[documents.Document]
) -> tuple[problems.Problem, ...]:
    """Check some documents of a configuration.

    Parameters
    ----------
    snapshot : Snapshot
        Configuration that the documents refer to.
    checked : iterable of Document
        Documents to check; targets have no references to check.

    Returns
    -------
    tuple of Problem
        All violations of these documents.
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
    document_key = f'workspace/{workspace.name}'
    for index, name in enumerate(workspace.models):
        if name not in snapshot.models:
            yield _report_unknown(
                document_key,
                f'$.models[{index}]',
                'model',
                name,
                snapshot.models,
            )


def _check_service(
    snapshot: documents.Snapshot, service: documents.Service
) -> Iterator[problems.Problem]:
    document_key = f'service/{service.name}'
    if service.workspace not in snapshot.workspaces:
        yield _report_unknown(
            document_key,
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
    document_key: str,
    path: str,
    name: str,
    kind: documents.TargetKind,
) -> Iterator[problems.Problem]:
    target = snapshot.targets.get(name)
    if target is None:
        yield _report_unknown(
            document_key, path, 'target', name, snapshot.targets
        )
        return
    if target.kind is not kind:
        yield problems.Problem(
            document_key,
            path,
            'target-kind',
            f'Name a target that serves "{kind.value}"; "{name}" serves '
            f'"{target.kind.value}".',
        )


def _check_operations(
    service: documents.Service,
) -> Iterator[problems.Problem]:
    document_key = f'service/{service.name}'
    seen: set[str] = set()
    for index, operation in enumerate(service.operations):
        path = f'$.operations[{index}]'
        if operation.name in seen:
            yield problems.Problem(
                document_key,
                f'{path}.name',
                'duplicate-operation',
                f'Give the second operation "{operation.name}" another '
                'name or remove it.',
            )
        seen.add(operation.name)
        if operation.idempotent and operation.deduplicates:
            yield problems.Problem(
                document_key,
                f'{path}.deduplicates',
                'deduplicates-idempotent',
                'Remove "deduplicates", or write "idempotent": false if '
                'a call may not be retried without its key.',
            )


def _check_model(
    snapshot: documents.Snapshot, model: documents.Model
) -> Iterator[problems.Problem]:
    document_key = f'model/{model.name}'
    seen: set[documents.Stage] = set()
    for index, stage in enumerate(model.stages):
        path = f'$.stages[{index}]'
        yield from _check_target(
            snapshot,
            document_key,
            f'{path}.target',
            stage.target,
            documents.TargetKind.ENGINE,
        )
        yield from _check_range(model, stage, path)
        if stage in seen:
            yield problems.Problem(
                document_key,
                path,
                'duplicate-stage',
                'Remove this stage; it duplicates an earlier one.',
            )
        seen.add(stage)
    if not _covers_all_layers(model):
        yield problems.Problem(
            document_key,
            '$.stages',
            'layer-gap',
            'Add stages so that a chain of them covers layers 0 to '
            f'{model.layers} without gap or overlap; the chains of the '
            f'given stages reach layer {max(_find_reachable_layers(model))}.',
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


def _find_reachable_layers(model: documents.Model) -> set[int]:
    """Return the end layers of all chains of stages that start at layer 0."""
    reached = {0}
    for stage in sorted(model.stages, key=lambda one: one.first_layer):
        is_nonempty = stage.first_layer < stage.end_layer
        if is_nonempty and stage.first_layer in reached:
            reached.add(stage.end_layer)
    return reached


def _covers_all_layers(model: documents.Model) -> bool:
    return model.layers in _find_reachable_layers(model)


def _report_unknown(
    document_key: str, path: str, kind: str, name: str, names: Collection[str]
) -> problems.Problem:
    suggestion = _find_similar(name, names)
    alternative = (
        f'such as "{suggestion}"' if suggestion else 'or publish it as well'
    )
    return problems.Problem(
        document_key,
        path,
        f'unknown-{kind}',
        f'Name a {kind} that exists, {alternative}; "{name}" does not.',
    )


def _find_similar(name: str, names: Collection[str]) -> str:
    """Return the name with the longest common prefix, or an empty string.

    Names whose common prefix is shorter than two characters do not count.
    """
    for length in range(len(name), 1, -1):
        for candidate in names:
            if candidate.startswith(name[:length]):
                return candidate
    return ''
