"""The settings file that the platform writes for each process."""

from __future__ import annotations

import os
import pathlib

import attrs
import msgspec

from thornspool.platform import exceptions

FILE_VARIABLE = 'THORNSPOOL_NODE_FILE'
DEFAULT_FILE = '/etc/thornspool/boot.json'


class _Listen(msgspec.Struct):
    front: str
    ready: str
    directory: str


class _Bounds(msgspec.Struct):
    contact_ms: int = 3000
    drain_ms: int = 2000
    grace_s: float = 8
    config_ms: int = 2000
    revoke_ms: int = 5000
    budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 0
    stall_ms: int = 2500
    ttl_max_s: float = 5


class _Store(msgspec.Struct):
    address: str


class _NodeFile(msgspec.Struct):
    node: str
    ip: str
    zone: str
    region: str
    listen: _Listen
    port_range: tuple[int, int]
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    heartbeat_ms: int = 1200


@attrs.frozen
class Bounds:
    """Promises that the deployment sets.

    Attributes
    ----------
    withdrawn_key_ms : int
        Time after which a withdrawn key must not work anywhere.
    drain_ms : int
        Time after which a server that is leaving gets no request.
    configuration_ms : int
        Time after which a version must be in force.
    grace_ms : int
        Time from SIGTERM to SIGKILL.
    repeat_ratio, repeat_slack : float
        Repeats allowed for each request of a service, and besides.
    repeat_window_ms : int
        Window of the two.
    stall_ms : int
        Time for which work waits for a lost engine before it is cut off.
    max_address_ttl_s : float
        Longest time for which callers keep addresses.
    """

    withdrawn_key_ms: int
    drain_ms: int
    configuration_ms: int
    grace_ms: int
    repeat_ratio: float
    repeat_slack: float
    repeat_window_ms: int
    stall_ms: int
    max_address_ttl_s: float


@attrs.frozen
class NodeSettings:
    """Settings of this process, in the project's words.

    Attributes
    ----------
    host : str
        Name of this host.
    ip : str
        Its address.
    failure_domain, region : str
        Where it stands.
    callers : str
        ``ip:port`` for callers.
    readiness : str
        ``ip:port`` on which the platform asks whether it is ready.
    lookups : str
        ``ip:port`` on which callers ask for addresses.
    peer_port : int
        Port for datagrams between entries, the same on every host.
    metrics_port : int
        Port on which metrics are served.
    store : str
        ``ip:port`` of the store.
    heartbeat_ms : int
        Interval at which servers renew their entries in the list.
    bounds : Bounds
        Promises.
    """

    host: str
    ip: str
    failure_domain: str
    region: str
    callers: str
    readiness: str
    lookups: str
    peer_port: int
    metrics_port: int
    store: str
    heartbeat_ms: int
    bounds: Bounds


def find_file() -> pathlib.Path:
    """Return the path of the settings file."""
    return pathlib.Path(os.environ.get(FILE_VARIABLE, DEFAULT_FILE))


def read_settings(path: pathlib.Path) -> NodeSettings:
    """Read and check the settings file.

    Raises
    ------
    exceptions.NodeFileError
        Names the file and the field.
    """
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise exceptions.NodeFileError(
            f'{path}: {error.strerror}.',
            f'Set {FILE_VARIABLE} to the settings file of this host.',
        ) from error
    return decode_settings(raw, str(path))


def decode_settings(raw: bytes, source: str) -> NodeSettings:
    """Decode settings from bytes; ``source`` names them in errors."""
    try:
        node = msgspec.json.decode(raw, type=_NodeFile)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise exceptions.NodeFileError(f'{source}: {error}.') from error
    bounds = node.bounds
    return NodeSettings(
        host=node.node,
        ip=node.ip,
        failure_domain=node.zone,
        region=node.region,
        callers=node.listen.front,
        readiness=node.listen.ready,
        lookups=node.listen.directory,
        peer_port=node.port_range[0],
        metrics_port=node.port_range[1],
        store=node.platform.address,
        heartbeat_ms=node.heartbeat_ms,
        bounds=Bounds(
            withdrawn_key_ms=bounds.revoke_ms,
            drain_ms=bounds.drain_ms,
            configuration_ms=bounds.config_ms,
            grace_ms=round(bounds.grace_s * 1000),
            repeat_ratio=bounds.budget_ratio,
            repeat_slack=bounds.budget_slack,
            repeat_window_ms=round(bounds.budget_window_s * 1000),
            stall_ms=bounds.stall_ms,
            max_address_ttl_s=bounds.ttl_max_s,
        ),
    )
