"""Results of a publication."""

from __future__ import annotations

import attrs

from thornspool.domain.configuration import publications
from thornspool.domain.configuration import publishing


@attrs.frozen
class Straggler:
    """An entry that did not report a version as in force in time.

    Attributes
    ----------
    host : str
        Name of the host that it runs on.
    incarnation : str
        Incarnation of the entry.
    version : int
        Version that it last reported.
    """

    host: str
    incarnation: str
    version: int


@attrs.frozen
class Accepted:
    """The publication is accepted and will not be reverted.

    Attributes
    ----------
    version : int
        Version that contains it.
    in_force : tuple of str
        Incarnations of the entries that report this version or a later one.
    stragglers : tuple of Straggler
        Entries that report an earlier version.
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
