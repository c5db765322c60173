"""What a publisher is told."""

from __future__ import annotations

import attrs

from thornspool.domain.configuration import publications
from thornspool.domain.configuration import publishing


@attrs.frozen
class Straggler:
    """An entry where a version was not in force in time.

    Attributes
    ----------
    host : str
        Host that it runs on.
    incarnation : str
        The process.
    version : int
        Version that it reported last.
    """

    host: str
    incarnation: str
    version: int


@attrs.frozen
class Accepted:
    """The publication is accepted and will never be undone by itself.

    Attributes
    ----------
    version : int
        Version that holds it.
    in_force : tuple of str
        Incarnations that report this version or a later one.
    stragglers : tuple of Straggler
        Those that do not, yet.
    """

    version: int
    in_force: tuple[str, ...]
    stragglers: tuple[Straggler, ...]


PublishResult = (
    Accepted
    | publications.Conflict
    | publications.Invalid
    | publishing.Undecided
)
