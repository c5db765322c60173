"""Decodes the configuration and the server entries in the store."""

from __future__ import annotations

import re
import typing

import msgspec
import structlog

from thornspool import decoding
from thornspool.domain.clients import limits as clients
from thornspool.domain.fleet import messages as fleet
from thornspool.domain.routing import messages as routing
from thornspool.platform import exceptions

CONFIGURATION_KEY = 'op/config'
SERVERS_PREFIX = 'servers/'

_ADDRESS = re.compile(r'(?:[0-9A-Za-z.-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})')
_PORTS = range(1, 65_536)

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


class _AcceleratorKind(msgspec.Struct):
    name: str
    size_mb: float
    # Slowdown factor of decoding, not a rate: a larger value is slower.
    pace: float = 1.0
    read_factor: float = 1.0


class _Model(msgspec.Struct):
    load_s: float = 0.0


class _TypicalRequest(msgspec.Struct):
    prompt: float = 500.0
    answer: float = 200.0


class _Engine(msgspec.Struct):
    kv_token_bytes: float = 0.0
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    read_per_s: float = 100_000.0
    layers: int = 0
    layer_mb: float = 0.0
    kinds: list[_AcceleratorKind] = []
    models: list[_Model] = []
    usual: _TypicalRequest = msgspec.field(default_factory=_TypicalRequest)
    activation_bytes: float = 0.0
    pipe_mbps: float = 0.0


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


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


class _ServerEntry(msgspec.Struct):
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

    Parameters
    ----------
    raw : bytes
        JSON document.

    Returns
    -------
    routing.Configuration
        The configuration.

    Raises
    ------
    exceptions.DecodeError
        If the document is malformed; the message names the field.
    """
    try:
        document = decoding.decode_json(raw, _Configuration)
        with decoding.translate_errors():
            return _convert_configuration(document)
    except decoding.DecodeError as error:
        raise exceptions.DecodeError(
            f'Malformed configuration: {error}.'
        ) from error


def _convert_configuration(
    document: _Configuration,
) -> routing.Configuration:
    routes = [_convert_route(route) for route in document.routes]
    return routing.Configuration(
        version=document.version,
        routes=routing.group_routes(routes),
        services={
            service.name: routing.Service(
                service.name, _convert_model(service.engine)
            )
            for service in document.services
        },
        workspaces={
            key: routing.Workspace(tenant.name, tenant.priority)
            for tenant in document.tenants
            for key in tenant.api_keys
        },
        needs_keys=bool(document.tenants),
        client_limits=_convert_limits(document.limits),
    )


def _convert_limits(limits: _Limits) -> clients.ClientLimits:
    return clients.ClientLimits(
        limits.max_header_bytes + clients.REQUEST_LINE_BYTES,
        limits.max_body_bytes,
        round(limits.header_timeout_ms),
        round(limits.idle_timeout_ms),
    )


def _convert_route(route: _Route) -> routing.Route:
    shares = tuple(
        routing.Share(split.service, split.weight)
        for split in route.traffic_split
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
            kind.name: fleet.Accelerator(
                kind.size_mb, kind.pace, kind.read_factor
            )
            for kind in engine.kinds
        },
        activation_bytes=engine.activation_bytes,
        pipe_mbps=engine.pipe_mbps,
    )


def decode_server(key: str, raw: bytes) -> fleet.Server | None:
    """Decode a server's entry in the server list.

    Other programs can write to the list. A malformed entry is skipped, so
    that it does not affect the other entries.

    Parameters
    ----------
    key : str
        Key of the entry in the store.
    raw : bytes
        JSON document.

    Returns
    -------
    fleet.Server or None
        None for a malformed entry, which is logged.
    """
    try:
        entry = decoding.decode_json(raw, _ServerEntry)
        _check_address(entry.address)
    except decoding.DecodeError as error:
        logger.warning('server_entry_ignored', key=key, reason=str(error))
        return None
    layers = None
    if entry.layers is not None and entry.layers.to > entry.layers.from_ >= 0:
        layers = fleet.LayerRange(entry.layers.from_, entry.layers.to)
    return fleet.Server(
        id=key.removeprefix(SERVERS_PREFIX),
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=entry.slots,
        draining=entry.state == 'draining',
        started_at=entry.born,
        kind=entry.kind,
        layers=layers,
    )


def _check_address(address: str) -> None:
    """Check that an address is ``host:port``, as it becomes part of URLs."""
    match = _ADDRESS.fullmatch(address)
    if match is None or int(match[1]) not in _PORTS:
        raise decoding.DecodeError(f'Invalid address {address[:40]!r}.')
