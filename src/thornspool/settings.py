"""Settings of one entry, read from a JSON file and checked on start."""

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
    """The settings can't be used; names every problem.

    Parameters
    ----------
    problems : tuple of problems.Problem
        At least one.
    """

    def __init__(self, found: tuple[problems.Problem, ...]) -> None:
        super().__init__('\n'.join(str(problem) for problem in found))
        self.problems = found


@attrs.frozen
class Tls:
    """Paths of the PEM files of one listener."""

    certificate: str
    key: str
    client_authority: str = ''


@attrs.frozen
class Callers:
    """Interface of callers: ``ip:port``, TLS and body limit in bytes."""

    listen: str
    tls: Tls | None = None
    body_limit_bytes: int = DEFAULT_BODY_LIMIT_BYTES


@attrs.frozen
class Token:
    """A bearer token and the workspaces it may change; None for all."""

    name: str
    token: str = attrs.field(repr=False)
    workspaces: tuple[str, ...] | None = None


@attrs.frozen
class Operators:
    """Interface of operators."""

    listen: str
    tokens: tuple[Token, ...]
    tls: Tls | None = None


@attrs.frozen
class Peers:
    """Interface of other entries.

    Attributes
    ----------
    listen : str
        ``ip:port`` that is bound.
    seeds : tuple of str
        Peer addresses to join through.
    advertise : str
        ``ip:port`` that other entries are told; the bound one if empty.
    """

    listen: str
    seeds: tuple[str, ...] = ()
    advertise: str = ''


@attrs.frozen
class Platform:
    """Which platform: ``memory`` or ``http`` with its URL."""

    kind: str
    url: str = ''


@attrs.frozen
class Settings:
    """All settings of one entry."""

    host: str
    failure_domain: str
    callers: Callers
    operators: Operators
    peers: Peers
    platform: Platform
    region: str = ''
    log_level: str = 'info'
    seed: int | None = None


def read_settings(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : pathlib.Path
        JSON file, shape of ``schemas/settings.json``.

    Returns
    -------
    Settings
        The checked settings; the region defaults to the failure domain.

    Raises
    ------
    SettingsError
        Names file, place, rule and what to write instead, for each problem.
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
