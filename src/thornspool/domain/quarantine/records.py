"""Which requests are suspected of crashing targets, and which condemned.

A death makes suspects of all that were in flight on the target. A suspect
runs on trial, apart from other suspects, so when the target dies under the
trial, the suspect is condemned. It is not when an entry that had not heard
of it yet ran another suspect there: both then were at two deaths, and
nobody can tell which caused them. Entries learn of that by their news, so
a verdict waits for a moment, and is drawn anew when late news come.
"""

from __future__ import annotations

import attrs
import xxhash

from thornspool.domain.quarantine import index
from thornspool.domain.quarantine import messages

SUSPECT_TTL_MS = 600_000
CONDEMNED_TTL_MS = 3_600_000
GRACE_MS = 1000
"""A verdict waits so long for what other entries ran on the target."""

SAME_DEATH_MS = 10_000
"""Deaths of one target within it are one, seen by several entries."""

MAX_RECORDS = 4096
MAX_DEATHS = 8


@attrs.frozen
class Death:
    """A death as this entry knows it; ``at`` is by its own clock."""

    target: str
    reporter: str
    sequence: int
    on_trial: bool
    at: int


@attrs.frozen
class _Record:
    deaths: tuple[Death, ...]
    cleared_at: int | None = None


class QuarantineRecords:
    """What this entry knows of suspects; the least recent are dropped.

    Parameters
    ----------
    incarnation : str
        This entry's own.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._sequence = 0
        self._records: dict[str, _Record] = {}
        self._index = index.DeathIndex()

    def note_death(
        self,
        target: str,
        in_flight: frozenset[str],
        on_trial: frozenset[str],
        now: int,
    ) -> messages.QuarantineNews:
        """Note that a target died.

        Parameters
        ----------
        target : str
            Name of the target.
        in_flight : frozenset of str
            Fingerprints that this entry had on the target.
        on_trial : frozenset of str
            Those that ran there apart from other suspects.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        QuarantineNews
            What every other entry must know.
        """
        self._sequence += 1
        for name in sorted(in_flight):
            death = Death(
                target,
                self._incarnation,
                self._sequence,
                name in on_trial,
                now,
            )
            self._merge(name, _Record((death,)))
        self._make_room(now)
        return self._describe(sorted(in_flight), now)

    def note_finish(
        self, fingerprint: str, now: int
    ) -> messages.QuarantineNews | None:
        """Clear a suspect that ran to its end; None when it was none."""
        if not isinstance(self.check(fingerprint, now), messages.Suspect):
            return None
        record = attrs.evolve(self._records[fingerprint], cleared_at=now)
        self._records[fingerprint] = record
        return self._describe([fingerprint], now)

    def check(self, fingerprint: str, now: int) -> messages.Verdict:
        """Say whether a request may run."""
        deaths = self._list_deaths(fingerprint)
        left = self._compute_sentence(fingerprint, deaths, now)
        if left > 0:
            return messages.Condemned(left)
        for death in deaths:
            if death.at + SUSPECT_TTL_MS > now and (
                death.on_trial or not self._is_explained(death, now)
            ):
                return messages.Suspect()
        return messages.Clear()

    @property
    def count(self) -> int:
        """Number of requests that anything is known of."""
        return len(self._records)

    def is_awaiting_verdict(self, fingerprint: str, now: int) -> bool:
        """Say whether its trial ended with a death a moment ago."""
        return any(
            death.on_trial and death.at + GRACE_MS > now
            for death in self._list_deaths(fingerprint)
        )

    def merge(self, news: messages.QuarantineNews, now: int) -> None:
        """Take in what another entry knows."""
        for told in news.records:
            deaths = tuple(
                Death(
                    one.target,
                    one.reporter,
                    one.sequence,
                    one.on_trial,
                    now - one.age_ms,
                )
                for one in told.deaths
            )
            cleared_at = _subtract(now, told.cleared_age_ms)
            self._merge(told.fingerprint, _Record(deaths, cleared_at))
        self._make_room(now)

    def describe_latest(self, now: int, most: int) -> messages.QuarantineNews:
        """Return the latest of the records that are still in force."""
        self._drop_expired(now)
        return self._describe(list(self._records)[-most:], now)

    def compute_digest(self, now: int) -> int:
        """Hash the records in force; equal at entries that agree."""
        self._drop_expired(now)
        digest = 0
        for name, record in self._records.items():
            known = sorted(
                (one.reporter, one.sequence) for one in record.deaths
            )
            text = f'{name} {known} {record.cleared_at is not None}'
            digest ^= xxhash.xxh3_64_intdigest(text.encode())
        return digest

    def _list_deaths(self, fingerprint: str) -> list[Death]:
        record = self._records.get(fingerprint)
        if record is None:
            return []
        cleared_at = record.cleared_at
        return [
            death
            for death in record.deaths
            if cleared_at is None or death.at > cleared_at
        ]

    def _compute_sentence(
        self, fingerprint: str, deaths: list[Death], now: int
    ) -> int:
        """Compute for how long a request is condemned; 0 if it is not."""
        for death in reversed(deaths):
            if not death.on_trial or death.at + GRACE_MS > now:
                continue
            left = death.at + CONDEMNED_TTL_MS - now
            if left > 0 and not self._is_ambiguous(fingerprint, death):
                return left
        return 0

    def _is_ambiguous(self, fingerprint: str, death: Death) -> bool:
        """Say whether another suspect was on the target that died."""
        return any(
            _shares_two_deaths(self._list_deaths(name), death)
            for name in self._index.list_repeated(death.target)
            if name != fingerprint
        )

    def _is_explained(self, death: Death, now: int) -> bool:
        """Say whether a death was that of a condemned request's trial."""
        for name in self._index.list_tried(death.target):
            deaths = self._list_deaths(name)
            causes = [one for one in deaths if one.on_trial]
            if any(_are_same(one, death) for one in causes) and (
                self._compute_sentence(name, deaths, now) > 0
            ):
                return True
        return False

    def _merge(self, fingerprint: str, new: _Record) -> None:
        old = self._pop(fingerprint)
        known = {(one.reporter, one.sequence): one for one in new.deaths}
        known.update({(one.reporter, one.sequence): one for one in old.deaths})
        deaths = sorted(known.values(), key=_get_time)[-MAX_DEATHS:]
        cleared_at = _take_later(old.cleared_at, new.cleared_at)
        self._records[fingerprint] = _Record(tuple(deaths), cleared_at)
        self._index.add(fingerprint, deaths)

    def _make_room(self, now: int) -> None:
        """Drop what is past the bound, once for all that came together.

        Looking for expired records takes milliseconds. Done for each
        request of a long queue that died, it held up every stream.
        """
        if len(self._records) > MAX_RECORDS:
            self._drop_expired(now)
        while len(self._records) > MAX_RECORDS:
            self._pop(self._find_least())

    def _pop(self, fingerprint: str) -> _Record:
        """Take a record out; an empty one when there is none."""
        record = self._records.pop(fingerprint, _Record(()))
        self._index.discard(fingerprint, record.deaths)
        return record

    def _find_least(self) -> str:
        """Return the oldest without a trial's death, or else the oldest."""
        for name, record in self._records.items():
            if not any(one.on_trial for one in record.deaths):
                return name
        return next(iter(self._records))

    def _describe(
        self, fingerprints: list[str], now: int
    ) -> messages.QuarantineNews:
        found = [(name, self._records.get(name)) for name in fingerprints]
        return messages.QuarantineNews(
            tuple(
                _describe_record(name, record, now)
                for name, record in found
                if record is not None
            )
        )

    def _drop_expired(self, now: int) -> None:
        """Drop what has no force left, but for recent clearances.

        A clearance is kept as long as the suspicion that it ends, since
        peers that missed it still hold and pass on the suspicion.
        """
        expired = [
            name
            for name, record in self._records.items()
            if not any(_is_live(one, now) for one in record.deaths)
        ]
        for name in expired:
            self._pop(name)


def _shares_two_deaths(deaths: list[Death], death: Death) -> bool:
    here = [one for one in deaths if _are_same(one, death)]
    return bool(here) and len(here) < len(deaths)


def _are_same(one: Death, other: Death) -> bool:
    near = abs(one.at - other.at) < SAME_DEATH_MS
    return one.target == other.target and near


def _is_live(death: Death, now: int) -> bool:
    ttl_ms = CONDEMNED_TTL_MS if death.on_trial else SUSPECT_TTL_MS
    return death.at + ttl_ms > now


def _get_time(death: Death) -> int:
    return death.at


def _describe_record(name: str, record: _Record, now: int) -> messages.Record:
    deaths = tuple(
        messages.Death(
            one.target, one.reporter, one.sequence, one.on_trial, now - one.at
        )
        for one in record.deaths
    )
    return messages.Record(name, deaths, _subtract(now, record.cleared_at))


def _subtract(now: int, other: int | None) -> int | None:
    return None if other is None else now - other


def _take_later(one: int | None, other: int | None) -> int | None:
    if one is None or other is None:
        return other if one is None else one
    return max(one, other)
