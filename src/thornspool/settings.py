"""Settings of one entry, read from a JSON file and validated at start."""

from __future__ import annotations

import typing

import attrs
import cattrs

from thornspool import exceptions
from thornspool import schemas
from thornspool import validation

if typing.TYPE_CHECKING:
    import pathlib

    from thornspool.domain.configuration import problems

DEFAULT_BODY_LIMIT_BYTES = 8 * 1024 * 1024


class SettingsError(exceptions.ThornspoolError):
    """The settings are invalid; the message lists every problem.

    Parameters
    ----------
    found : tuple of problems.Problem
        Problems of the settings, at least one.

    Attributes
    ----------
    problems : tuple of problems.Problem
        The same problems.
    """

    def __init__(self, found: tuple[problems.Problem, ...]) -> None:
        super().__init__('\n'.join(str(problem) for problem in found))
        self.problems = found


@attrs.frozen
class Tls:
    """TLS settings of one listener.

    Attributes
    ----------
    certificate : str
        Path of the PEM file with the certificate chain.
    key : str
        Path of the PEM file with the private key.
    client_authority : str
        Path of the PEM file with the authority that client certificates
        must be signed by; empty if none are requested.
    """

    certificate: str
    key: str
    client_authority: str = ''


@attrs.frozen
class Callers:
    """Settings of the interface for callers.

    Attributes
    ----------
    listen : str
        ``ip:port`` to bind.
    tls : Tls or None
        TLS settings; None for plain HTTP.
    body_limit_bytes : int
        Maximum size of a request body in bytes.
    """

    listen: str
    tls: Tls | None = None
    body_limit_bytes: int = DEFAULT_BODY_LIMIT_BYTES


@attrs.frozen
class Token:
    """Bearer token of an operator.

    Attributes
    ----------
    name : str
        Name of the token.
    token : str
        The secret.
    workspaces : tuple of str or None
        Workspaces that it may change; None for all.
    """

    name: str
    token: str = attrs.field(repr=False)
    workspaces: tuple[str, ...] | None = None


@attrs.frozen
class Operators:
    """Settings of the interface for operators.

    Attributes
    ----------
    listen : str
        ``ip:port`` to bind.
    tokens : tuple of Token
        Accepted bearer tokens.
    tls : Tls or None
        TLS settings; None for plain HTTP.
    """

    listen: str
    tokens: tuple[Token, ...]
    tls: Tls | None = None


@attrs.frozen
class Peers:
    """Settings of the interface for other entries.

    Attributes
    ----------
    listen : str
        ``ip:port`` to bind.
    seeds : tuple of str
        Addresses of the peers through which the entry joins.
    advertise : str
        ``ip:port`` that is announced to other entries; the bound address if
        empty.
    """

    listen: str
    seeds: tuple[str, ...] = ()
    advertise: str = ''


@attrs.frozen
class Platform:
    """Settings of the platform.

    Attributes
    ----------
    kind : str
        ``memory`` or ``http``.
    url : str
        URL of the store; empty for the kind ``memory``.
    """

    kind: str
    url: str = ''


@attrs.frozen
class HostLimits:
    """Limits of the host, of which clients may use a part.

    Attributes
    ----------
    memory_mb : float
        Memory of the host in MiB; 0 for unknown.
    descriptors : int
        Descriptors that the process may have open; 0 for those that the
        system allows.
    """

    memory_mb: float = 0.0
    descriptors: int = 0


@attrs.frozen
class Settings:
    """All settings of one entry.

    Attributes
    ----------
    host : str
        Name of the host.
    failure_domain : str
        Failure domain of the host.
    callers : Callers
        Interface for callers.
    operators : Operators
        Interface for operators.
    peers : Peers
        Interface for other entries.
    platform : Platform
        The platform.
    region : str
        Region of the failure domain.
    host_limits : HostLimits
        Limits of the host.
    log_level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    seed : int or None
        Seed of the random source; None for one of the system.
    """

    host: str
    failure_domain: str
    callers: Callers
    operators: Operators
    peers: Peers
    platform: Platform
    region: str = ''
    host_limits: HostLimits = HostLimits()
    log_level: str = 'info'
    seed: int | None = None


def read_settings(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    Parameters
    ----------
    path : pathlib.Path
        JSON file that conforms to ``schemas/settings.json``.

    Returns
    -------
    Settings
        The validated settings; the region defaults to the failure domain.

    Raises
    ------
    SettingsError
        If the file is invalid; names the file, the JSONPath, the violated
        rule and the remedy for each problem.
    """
    value, found = validation.read_json(path)
    if not found:
        schema = schemas.read_schema('settings')
        found = validation.find_problems(str(path), value, schema)
    if found:
        raise SettingsError(found)
    settings = cattrs.structure(value, Settings)
    if settings.region:
        return settings
    return attrs.evolve(settings, region=settings.failure_domain)
