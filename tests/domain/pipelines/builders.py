"""Builders of test data about pipelines."""

from __future__ import annotations

from thornspool.domain.configuration import documents
from thornspool.domain.pipelines import frames
from thornspool.domain.pipelines import routes
from thornspool.domain.targets import messages


class FakeTargetView:
    """Targets that are ready unless a test sets another readiness."""

    def __init__(self) -> None:
        self.readiness: dict[str, messages.Readiness] = {}
        self.loads: dict[str, messages.LoadReport] = {}

    def read_readiness(self, target: str) -> messages.Readiness:
        return self.readiness.get(target, messages.Readiness.READY)

    def read_load(self, target: str) -> messages.LoadReport | None:
        return self.loads.get(target)


def build_target(name: str, **changes: object) -> documents.Target:
    """Build an engine document; its domain is the name's first part."""
    values: dict[str, object] = {
        'name': name,
        'kind': documents.TargetKind.ENGINE,
        'host': f'host-of-{name}',
        'failure_domain': name.partition('-')[0],
        'url': f'http://{name}',
    }
    values.update(changes)
    return documents.Target(**values)  # type: ignore[arg-type]


def build_snapshot(
    stages: dict[str, tuple[int, int]], urls: dict[str, str] | None = None
) -> documents.Snapshot:
    """Build a configuration with the model ``text`` on some stages."""
    model = documents.Model(
        name='text',
        version='1',
        layers=max(end for _, end in stages.values()),
        stages=tuple(
            documents.Stage(target, first, end)
            for target, (first, end) in stages.items()
        ),
    )
    targets = {
        name: build_target(name, url=(urls or {}).get(name, f'http://{name}'))
        for name in stages
    }
    return documents.Snapshot(
        version=1, models={'text': model}, targets=targets
    )


def build_load(target: str, **changes: object) -> messages.LoadReport:
    """Build a load report of a target that is ready."""
    values: dict[str, object] = {
        'target': target,
        'received_at': 0,
        'readiness': messages.Readiness.READY,
        'max_batch': 16,
        'step_ms': 10.0,
    }
    values.update(changes)
    return messages.LoadReport(**values)  # type: ignore[arg-type]


def build_route(*targets: str, width: int = 4) -> routes.Route:
    """Build a route of stages with the same number of layers."""
    return routes.Route(
        tuple(
            routes.RouteStage(
                target,
                f'http://{target}',
                width * position,
                width * (position + 1),
                target.partition('-')[0],
            )
            for position, target in enumerate(targets)
        )
    )


def build_frame(
    route: routes.Route, index: int, **changes: object
) -> frames.Frame:
    """Build a valid frame of a token whose text is its index."""
    values: dict[str, object] = {
        'request': 'r',
        'attempt': 0,
        'index': index,
        'token': str(index),
        'receipts': route.build_receipts(),
    }
    values.update(changes)
    return frames.Frame(**values)  # type: ignore[arg-type]
