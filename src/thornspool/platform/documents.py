"""Decoding of what operators and servers write to the store."""

from __future__ import annotations

import typing

import msgspec
import structlog

from thornspool.domain.fleet import messages as fleet
from thornspool.domain.routing import messages as routing
from thornspool.platform import exceptions

CONFIGURATION_KEY = 'op/config'
SERVERS_PREFIX = 'servers/'

logger = structlog.get_logger(__name__)


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0
    target_gap_ms: float = 0
    priority: int = 5
    attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    service: str = ''
    traffic_split: list[_Split] = []


class _Kind(msgspec.Struct):
    name: str
    size_mb: float
    # Slowness of decoding, not a rate: a larger value is slower.
    pace: float = 1.0
    read_factor: float = 1.0


class _Model(msgspec.Struct):
    load_s: float = 0.0


class _Usual(msgspec.Struct):
    prompt: float = 500.0
    answer: float = 200.0


class _Engine(msgspec.Struct):
    kv_token_bytes: float = 0.0
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    read_per_s: float = 100_000.0
    layers: int = 0
    layer_mb: float = 0.0
    kinds: list[_Kind] = []
    models: list[_Model] = []
    usual: _Usual = msgspec.field(default_factory=_Usual)
    activation_bytes: float = 0.0
    pipe_mbps: float = 0.0


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_body_bytes: int = 4_194_304


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Layers(msgspec.Struct):
    from_: int = msgspec.field(name='from')
    to: int


class _Beat(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: typing.Literal['ready', 'draining']
    slots: int = 1
    born: int | None = None
    kind: str = ''
    layers: _Layers | None = None


def decode_configuration(raw: bytes) -> routing.Configuration:
    """Decode the operators' configuration.

    Raises
    ------
    exceptions.DecodeError
        Names the field.
    """
    try:
        read = msgspec.json.decode(raw, type=_Configuration)
        routes = [_convert_route(one) for one in read.routes]
    except (msgspec.DecodeError, ValueError) as error:
        raise exceptions.DecodeError(f'Configuration: {error}.') from error
    return routing.Configuration(
        version=read.version,
        routes=routing.group_routes(routes),
        services={
            one.name: routing.Service(one.name, _convert_model(one.engine))
            for one in read.services
        },
        workspaces={
            key: routing.Workspace(tenant.name, tenant.priority)
            for tenant in read.tenants
            for key in tenant.api_keys
        },
        needs_keys=bool(read.tenants),
        max_body_bytes=read.limits.max_body_bytes,
    )


def _convert_route(route: _Route) -> routing.Route:
    shares = tuple(
        routing.Share(one.service, one.weight) for one in route.traffic_split
    )
    return routing.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=routing.Kind(route.kind),
        shares=shares or (routing.Share(route.service, 1.0),),
        timeout_ms=round(route.timeout_ms),
        target_latency_ms=round(route.target_latency_ms),
        target_gap_ms=round(route.target_gap_ms),
        priority=route.priority,
        attempts=route.attempts,
        anonymous=route.anonymous,
        resumable=route.resumable,
    )


def _convert_model(engine: _Engine | None) -> fleet.Model | None:
    if engine is None or engine.layers <= 0:
        return None
    return fleet.Model(
        layers=engine.layers,
        layer_mb=engine.layer_mb,
        token_bytes=engine.kv_token_bytes,
        step_ms=engine.step_ms,
        per_sequence_ms=engine.per_seq_ms,
        read_per_s=engine.read_per_s,
        load_s=engine.models[0].load_s if engine.models else 0.0,
        usual_prompt=engine.usual.prompt,
        usual_answer=engine.usual.answer,
        accelerators={
            one.name: fleet.Accelerator(one.size_mb, one.pace, one.read_factor)
            for one in engine.kinds
        },
        activation_bytes=engine.activation_bytes,
        pipe_mbps=engine.pipe_mbps,
    )


def decode_server(key: str, raw: bytes) -> fleet.Server | None:
    """Decode a server's entry in the list.

    Any writer may leave an entry there. One that is not of the published
    form names no server to use; the others hold.

    Returns
    -------
    fleet.Server or None
        None for an entry that can't be used; a line is logged.
    """
    try:
        beat = msgspec.json.decode(raw, type=_Beat)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        logger.warning('server_entry_ignored', key=key, reason=str(error))
        return None
    layers = None
    if beat.layers is not None and beat.layers.to > beat.layers.from_ >= 0:
        layers = fleet.LayerRange(beat.layers.from_, beat.layers.to)
    return fleet.Server(
        id=key.removeprefix(SERVERS_PREFIX),
        service=beat.service,
        address=beat.address,
        failure_domain=beat.zone,
        slots=beat.slots,
        draining=beat.state == 'draining',
        born=beat.born,
        kind=beat.kind,
        layers=layers,
    )
