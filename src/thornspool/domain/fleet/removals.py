"""Servers whose records were removed from the list, as one copy shows it.

The store may turn single entries away, so that one copy of the list lacks a
removal that the others show. An entry reports the removals that its own copy
shows, with the revision of the copy. A copy that has reached this revision
shows by itself whether the server is listed, so the report does not apply.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

ANNOUNCE_MS = 15_000
"""Time for which a removal is reported to peers.

An entry that the store turns away for longer gets reports repeated until then.
"""


@attrs.frozen
class Removal:
    """Removal of a record from the list.

    Attributes
    ----------
    revision : int
        Revision of a copy that lacks the record.
    since : int
        Time in milliseconds at which it became known here.
    is_reported : bool
        Whether only a peer's copy shows it.
    """

    revision: int
    since: int
    is_reported: bool = False


@attrs.define
class Removals:
    """Removals by the hash of one run of a server's process.

    Attributes
    ----------
    has_unsent : bool
        Whether there are removals that were not reported to peers yet.
    """

    has_unsent: bool = False
    _removals: dict[int, Removal] = attrs.field(factory=dict)

    def record(self, run_hash: int, revision: int, now: int) -> None:
        """Record a removal that the local copy shows.

        Parameters
        ----------
        run_hash : int
            Hash of the run of the server's process.
        revision : int
            Revision of the copy.
        now : int
            Milliseconds of the clock.
        """
        self._removals[run_hash] = Removal(revision, now)
        self.has_unsent = True

    def record_reported(
        self, reported: Mapping[int, int], copy_revision: int, now: int
    ) -> set[int]:
        """Record removals that a peer's copy shows; return the new ones.

        Parameters
        ----------
        reported : mapping of int to int
            Revision of the peer's copy, by run hash.
        copy_revision : int
            Revision of the local copy.
        now : int
            Milliseconds of the clock.
        """
        new = {
            run_hash: Removal(revision, now, True)
            for run_hash, revision in reported.items()
            if revision > copy_revision and run_hash not in self._removals
        }
        self._removals.update(new)
        return set(new)

    def find_since(self, run_hash: int) -> int | None:
        """Return since when only a peer's copy lacks a server, if one does."""
        removal = self._removals.get(run_hash)
        if removal is None or not removal.is_reported:
            return None
        return removal.since

    def forget(self, run_hash: int) -> None:
        """Forget the removal of a server that is listed again."""
        self._removals.pop(run_hash, None)

    def list_announced(self) -> dict[int, int]:
        """Return the revisions of the reported removals, by run hash."""
        return {
            run_hash: removal.revision
            for run_hash, removal in self._removals.items()
        }

    def forget_old(self, copy_revision: int, now: int) -> None:
        """Forget old removals, and reports that the local copy supersedes.

        Parameters
        ----------
        copy_revision : int
            Revision of the local copy.
        now : int
            Milliseconds of the clock.
        """
        self._removals = {
            run_hash: removal
            for run_hash, removal in self._removals.items()
            if now - removal.since <= ANNOUNCE_MS
            and not (removal.is_reported and removal.revision <= copy_revision)
        }
