"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import pathlib

import attrs
import msgspec

from thornspool import decoding
from thornspool.platform import exceptions

FILE_VARIABLE = 'THORNSPOOL_NODE_FILE'
DEFAULT_PATH = '/etc/thornspool/boot.json'


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


class _HostLimits(msgspec.Struct):
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    max_fds: int = 0


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
    limits: _HostLimits = msgspec.field(default_factory=_HostLimits)


@attrs.frozen
class Bounds:
    """Service levels that the deployment requires.

    Attributes
    ----------
    withdrawn_key_ms : int
        Time after which every entry must reject a withdrawn key.
    drain_ms : int
        Time after which a draining server must get no new request.
    configuration_ms : int
        Time after which a published configuration must be in force.
    grace_ms : int
        Time from SIGTERM to SIGKILL.
    retry_ratio : float
        Retries allowed per request of a service.
    retry_slack : float
        Retries allowed in addition to that.
    retry_window_ms : int
        Window in which requests and retries are counted.
    stall_ms : int
        Time for which a request waits for a lost engine until it is aborted.
    max_address_ttl_s : float
        Longest time for which callers may cache addresses.
    """

    withdrawn_key_ms: int
    drain_ms: int
    configuration_ms: int
    grace_ms: int
    retry_ratio: float
    retry_slack: float
    retry_window_ms: int
    stall_ms: int
    max_address_ttl_s: float


@attrs.frozen
class NodeSettings:
    """Settings of this process.

    Attributes
    ----------
    host : str
        Name of this host.
    ip : str
        IP address of this host.
    failure_domain, region : str
        Location of this host.
    callers : str
        ``ip:port`` on which requests of callers are served.
    readiness : str
        ``ip:port`` on which the platform's readiness checks are served.
    lookups : str
        ``ip:port`` on which callers look up addresses.
    peer_port : int
        Port for datagrams between entries, the same on every host.
    metrics_port : int
        Port on which metrics are served.
    store : str
        ``ip:port`` of the store.
    heartbeat_ms : int
        Interval at which servers renew their entries in the list.
    bounds : Bounds
        Required service levels.
    link_mbps : float
        Bandwidth of this host's link in megabits per second; 0 for unknown.
    memory_mb : float
        Memory of this host in MiB; 0 for unknown.
    descriptors : int
        Descriptors that this process may have open; 0 for unknown.
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
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    descriptors: int = 0


def find_file() -> pathlib.Path:
    """Return the path of the settings file."""
    return pathlib.Path(os.environ.get(FILE_VARIABLE, DEFAULT_PATH))


def read_settings(path: pathlib.Path) -> NodeSettings:
    """Read and validate the settings file.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    NodeSettings
        The settings.

    Raises
    ------
    exceptions.SettingsFileError
        If the file is missing or malformed; the message names the file and
        the field.
    """
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise exceptions.SettingsFileError(
            f'{path}: {error.strerror}.',
            f'Set {FILE_VARIABLE} to the settings file of this host.',
        ) from error
    return decode_settings(raw, str(path))


def decode_settings(raw: bytes, source: str) -> NodeSettings:
    """Decode settings from JSON; error messages name ``source``."""
    try:
        document = decoding.decode_json(raw, _NodeFile)
    except decoding.DecodeError as error:
        raise exceptions.SettingsFileError(f'{source}: {error}.') from error
    bounds = document.bounds
    return NodeSettings(
        host=document.node,
        ip=document.ip,
        failure_domain=document.zone,
        region=document.region,
        callers=document.listen.front,
        readiness=document.listen.ready,
        lookups=document.listen.directory,
        peer_port=document.port_range[0],
        metrics_port=document.port_range[1],
        store=document.platform.address,
        heartbeat_ms=document.heartbeat_ms,
        bounds=Bounds(
            withdrawn_key_ms=bounds.revoke_ms,
            drain_ms=bounds.drain_ms,
            configuration_ms=bounds.config_ms,
            grace_ms=round(bounds.grace_s * 1000),
            retry_ratio=bounds.budget_ratio,
            retry_slack=bounds.budget_slack,
            retry_window_ms=round(bounds.budget_window_s * 1000),
            stall_ms=bounds.stall_ms,
            max_address_ttl_s=bounds.ttl_max_s,
        ),
        link_mbps=document.limits.link_mbps,
        memory_mb=document.limits.memory_mb,
        descriptors=document.limits.max_fds,
    )
