"""Records of the requests that are suspected of crashing targets.

When a target dies, every request that was in flight on it becomes a suspect.
A suspect runs on trial, apart from other suspects; if the target dies during
the trial, the suspect is condemned. It is not condemned if an entry that had
not yet received the update about it ran another suspect on the same target:
both then have two deaths, and the cause cannot be determined. Entries detect
this from each other's updates, so a verdict is delayed for
`VERDICT_DELAY_MS` and is computed again when a late update arrives.

Parts of prompts that requests share have records like whole requests. They
are names of the same form; a request is judged by its fingerprint and by the
names of its parts together.
"""

from __future__ import annotations

import itertools
import typing

import attrs
import xxhash

from thornspool.domain.quarantine import fingerprints
from thornspool.domain.quarantine import index
from thornspool.domain.quarantine import messages

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Set as AbstractSet

SUSPECT_TTL_MS = 600_000
CONDEMNED_TTL_MS = 3_600_000
VERDICT_DELAY_MS = 1000
"""Delay of a verdict, in which other entries report what they ran there."""

SAME_DEATH_MS = 10_000
"""Deaths of one target within this time count as one death.

Several entries may observe the same death at different times.
"""

REFUSAL_UPDATE_MS = CONDEMNED_TTL_MS // 4
"""Interval at which the refusals of a condemned request extend its verdict."""

PROBATION_MS = CONDEMNED_TTL_MS
"""Time after a verdict on a part of prompts in which it runs on trial."""

MAX_EXPLAINED_DEATHS = 2
"""Deaths of a request that others may explain; with more, it is a suspect.

Where several requests crash targets at the same time, all deaths of one may be
explained by the others.
"""

MAX_RECORDS = 4096
MAX_DEATHS = 8

PROVEN_PART_DEATHS = 4
"""Deaths of targets from which on a part that ran well before is a suspect.

All requests of a route may share a part, so that it is at the deaths that any
other part causes.
"""

PROVEN_PART_TRIALS = 2
"""Deaths in trials that condemn a part that ran well before.

As many condemn a part that was tried together with other parts, if none of
them was at all of these deaths.
"""

MAX_PART_DEATHS = 24
"""Deaths of a part of prompts, which each entry reports by itself."""


_KEPT_REPORTER = 'kept'


@attrs.frozen
class Death:
    """A death as stored locally; ``at`` is by the local monotonic clock."""

    target: str
    reporter: str
    sequence: int
    on_trial: bool
    at: int
    was_proven: bool = False


@attrs.frozen
class _Record:
    deaths: tuple[Death, ...]
    cleared_at: int | None = None
    refused_at: int | None = None


class QuarantineRecords:
    """Local records of suspects, bounded by `MAX_RECORDS`.

    Parameters
    ----------
    incarnation : str
        Incarnation of the local entry.
    suspect_deaths : int, optional
        Deaths of targets from which on a request is a suspect.
    """

    def __init__(self, incarnation: str, suspect_deaths: int = 1) -> None:
        self._incarnation = incarnation
        self._suspect_deaths = suspect_deaths
        self._sequence = 0
        self._records: dict[str, _Record] = {}
        self._index = index.DeathIndex()

    def record_death(
        self,
        target: str,
        in_flight: frozenset[str],
        on_trial: frozenset[str],
        now: int,
        proven: AbstractSet[str] = frozenset(),
    ) -> messages.QuarantineNews:
        """Record that a target died.

        Parameters
        ----------
        target : str
            Name of the target.
        in_flight : frozenset of str
            Fingerprints of this entry's requests on the target.
        on_trial : frozenset of str
            Those of them that ran there on trial.
        now : int
            Monotonic milliseconds.
        proven : set of str, optional
            Parts of prompts that ran well before.

        Returns
        -------
        QuarantineNews
            State update to broadcast to all other entries.
        """
        self._sequence += 1
        for name in sorted(in_flight):
            death = Death(
                target,
                self._incarnation,
                self._sequence,
                name in on_trial,
                now,
                name in proven,
            )
            self._merge(name, _Record((death,)))
        self._enforce_bound(now)
        return self._build_update(sorted(in_flight), now)

    def record_completion(
        self, fingerprint: str, now: int, at: int | None = None
    ) -> messages.QuarantineNews | None:
        """Clear a request that completed of its deaths so far.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request, or name of a part of its prompt.
        now : int
            Monotonic milliseconds.
        at : int, optional
            Time up to which deaths are cleared; now by default.

        Returns
        -------
        QuarantineNews or None
            State update to broadcast; None if there is nothing to clear, or
            if the request is condemned. Many requests may have a part, so
            that a good run of one of them also lifts a verdict.
        """
        at = now if at is None else at
        if not any(
            death.at <= at for death in self._list_deaths(fingerprint)
        ) or (
            not fingerprints.is_part(fingerprint)
            and isinstance(self.check(fingerprint, now), messages.Condemned)
        ):
            return None
        record = attrs.evolve(self._records[fingerprint], cleared_at=at)
        self._records[fingerprint] = record
        return self._build_update([fingerprint], now)

    def check(
        self,
        name: str,
        now: int,
        others: AbstractSet[str] = frozenset(),
    ) -> messages.Verdict:
        """Return the verdict on a request, or on a part of its prompt.

        Parameters
        ----------
        name : str
            Fingerprint of the request, or name of the part.
        now : int
            Monotonic milliseconds.
        others : set of str, optional
            Other names of the same request. It may not run if either this
            name or one of them is the cause of a death in a trial.
        """
        deaths = self._list_deaths(name)
        remaining_ms = self._compute_condemned_ms(name, deaths, now, others)
        if remaining_ms > 0:
            return messages.Condemned(remaining_ms)
        ttl_ms = SUSPECT_TTL_MS
        if fingerprints.is_part(name):
            ttl_ms = CONDEMNED_TTL_MS + PROBATION_MS
        on_trial = any(
            one.on_trial and one.at + ttl_ms > now for one in deaths
        )
        if on_trial or self._has_suspect_deaths(name, now, others):
            return messages.Suspect()
        return messages.Clear()

    def _has_suspect_deaths(
        self, name: str, now: int, others: AbstractSet[str] = frozenset()
    ) -> bool:
        unproven = self.count_deaths(name, now, others)
        if unproven >= self._suspect_deaths:
            return True
        if not fingerprints.is_part(name):
            return self._count_all_deaths(name, now) > MAX_EXPLAINED_DEATHS
        return (
            len(self._find_unexplained(name, now, others))
            >= PROVEN_PART_DEATHS
        )

    def _count_all_deaths(self, name: str, now: int) -> int:
        """Count the targets that died under a request, explained or not."""
        return len(
            {
                death.target
                for death in self._list_deaths(name)
                if death.at + SUSPECT_TTL_MS > now
            }
        )

    def count_deaths(
        self,
        name: str,
        now: int,
        others: AbstractSet[str] = frozenset(),
    ) -> int:
        """Count the targets that a request or a part may have crashed.

        Deaths of a part that ran well before do not count.
        """
        return len(
            {
                death.target
                for death in self._list_deaths(name)
                if not death.was_proven
                and death.at + SUSPECT_TTL_MS > now
                and not self._is_explained(name, death, now, others)
            }
        )

    def _find_unexplained(
        self, name: str, now: int, others: AbstractSet[str]
    ) -> set[str]:
        return {
            death.target
            for death in self._list_deaths(name)
            if death.at + SUSPECT_TTL_MS > now
            and not self._is_explained(name, death, now, others)
        }

    def mark_proven(self, name: str, now: int) -> bool:
        """Record that a part of prompts ran well before its deaths.

        Returns
        -------
        bool
            Whether this was new for one of the deaths that are not cleared;
            False if the part is condemned.
        """
        deaths = self._list_deaths(name)
        if all(one.was_proven for one in deaths) or (
            self._compute_condemned_ms(name, deaths, now) > 0
        ):
            return False
        record = self._records[name]
        self._merge(
            name,
            _Record(
                tuple(
                    attrs.evolve(one, was_proven=True) for one in record.deaths
                )
            ),
        )
        return True

    def describe(
        self, names: Iterable[str], now: int
    ) -> messages.QuarantineNews:
        """Return the records of names, to broadcast to other entries."""
        return self._build_update(list(names), now)

    def condemn(self, fingerprint: str, now: int) -> None:
        """Apply a verdict that was kept since an earlier time."""
        death = Death(
            f'kept {fingerprint}',
            _KEPT_REPORTER,
            0,
            on_trial=True,
            at=now - VERDICT_DELAY_MS,
        )
        self._merge(fingerprint, _Record((death,)))
        self._enforce_bound(now)

    def forget(self, fingerprint: str) -> None:
        """Drop the record of a request."""
        self._pop(fingerprint)

    def record_refusal(
        self, fingerprint: str, now: int
    ) -> messages.QuarantineNews | None:
        """Extend the verdict on a condemned request that came again.

        Verdicts on parts are not extended, since requests of many callers
        may have them. Once they expire, the part runs on trial.

        Returns
        -------
        QuarantineNews or None
            State update to broadcast; None while the last one is recent.
        """
        record = self._records.get(fingerprint)
        if (
            record is None
            or fingerprints.is_part(fingerprint)
            or not any(one.on_trial for one in record.deaths)
        ):
            return None
        since = max(record.refused_at or 0, record.deaths[-1].at)
        if now - since < REFUSAL_UPDATE_MS:
            return None
        self._records[fingerprint] = attrs.evolve(record, refused_at=now)
        return self._build_update([fingerprint], now)

    @property
    def count(self) -> int:
        """Number of requests that have a record."""
        return len(self._records)

    def is_awaiting_verdict(self, fingerprint: str, now: int) -> bool:
        """Return whether a death in its trial is below `VERDICT_DELAY_MS` old.

        The verdict on the request is not final before that.
        """
        return any(
            death.on_trial and death.at + VERDICT_DELAY_MS > now
            for death in self._list_deaths(fingerprint)
        )

    def merge(self, update: messages.QuarantineNews, now: int) -> None:
        """Apply a state update of another entry."""
        for record in update.records:
            deaths = tuple(
                Death(
                    one.target,
                    one.reporter,
                    one.sequence,
                    one.on_trial,
                    now - one.age_ms,
                    one.was_proven,
                )
                for one in record.deaths
            )
            cleared_at = _subtract(now, record.cleared_age_ms)
            refused_at = _subtract(now, record.refused_age_ms)
            self._merge(
                record.fingerprint, _Record(deaths, cleared_at, refused_at)
            )
        self._enforce_bound(now)

    def describe_latest(
        self, now: int, max_records: int
    ) -> messages.QuarantineNews:
        """Return the most recent records, and before them those of trials.

        Those of parts of prompts take precedence over those of requests.
        """
        self._drop_expired(now)
        names = sorted(
            self._records,
            key=lambda name: (
                self._has_death_on_trial(name),
                fingerprints.is_part(name),
            ),
        )
        return self._build_update(names[-max_records:], now)

    def _has_death_on_trial(self, fingerprint: str) -> bool:
        return any(one.on_trial for one in self._records[fingerprint].deaths)

    def compute_digest(self, now: int) -> int:
        """Hash the records that have not expired.

        Entries with the same deaths and clearances get the same digest.
        """
        self._drop_expired(now)
        digest = 0
        for name, record in self._records.items():
            death_ids = sorted(
                (one.reporter, one.sequence, one.was_proven)
                for one in record.deaths
            )
            uncleared = len(self._list_deaths(name))
            text = f'{name} {death_ids} {uncleared}'
            digest ^= xxhash.xxh3_64_intdigest(text.encode())
        return digest

    def _list_deaths(self, fingerprint: str) -> list[Death]:
        """Return the deaths after the last clearance of a request."""
        record = self._records.get(fingerprint)
        if record is None:
            return []
        cleared_at = record.cleared_at
        return [
            death
            for death in record.deaths
            if cleared_at is None or death.at > cleared_at
        ]

    def _compute_condemned_ms(
        self,
        fingerprint: str,
        deaths: list[Death],
        now: int,
        others: AbstractSet[str] = frozenset(),
    ) -> int:
        """Return how long a request stays condemned; 0 if it is not."""
        record = self._records.get(fingerprint)
        refused_at = 0 if record is None else record.refused_at or 0
        rivals: dict[str, set[str]] = {}
        latest_ms = 0
        for death in reversed(deaths):
            if not death.on_trial or death.at + VERDICT_DELAY_MS > now:
                continue
            remaining_ms = max(death.at, refused_at) + CONDEMNED_TTL_MS - now
            if remaining_ms <= 0:
                continue
            found = self._find_rivals(fingerprint, death, others)
            if not found and not death.was_proven:
                return remaining_ms
            latest_ms = max(latest_ms, remaining_ms)
            rivals.setdefault(death.target, found)
        # No rival was at all of these deaths.
        if (
            fingerprints.is_part(fingerprint)
            and len(rivals) >= PROVEN_PART_TRIALS
            and not set.intersection(*rivals.values())
        ):
            return latest_ms
        return 0

    def _find_rivals(
        self, name: str, death: Death, others: AbstractSet[str]
    ) -> set[str]:
        """Find the other suspects at the same death.

        They are suspects if they have enough other deaths, or if they are
        parts that were tried together with this name. The other names of the
        same request do not count: if one of them is the cause, the request
        may not run either.
        """
        found = {
            rival
            for rival in self._index.list_repeated(death.target)
            if _has_this_and_other_deaths(
                self._list_rival_deaths(name, rival, death),
                death,
                self._suspect_deaths,
            )
        }
        found |= {
            rival
            for rival in self._index.list_on_trial(death.target)
            if fingerprints.is_part(rival)
            and any(
                one.on_trial and _is_same_death(one, death)
                for one in self._list_deaths(rival)
            )
        }
        return found - others - {name}

    def _list_rival_deaths(
        self, name: str, rival: str, death: Death
    ) -> list[Death]:
        """Return the deaths that count towards a rival at the same death.

        The part of a prompt also explains the other deaths that it shares
        with a request that was not on trial. Deaths of a part that ran well
        before do not make it a rival, unless it was on trial.
        """
        deaths = self._list_deaths(rival)
        if any(one.on_trial and _is_same_death(one, death) for one in deaths):
            return deaths
        if fingerprints.is_part(rival):
            return [one for one in deaths if not one.was_proven]
        if not fingerprints.is_part(name):
            return deaths
        own = self._list_deaths(name)
        return [
            one
            for one in deaths
            if _is_same_death(one, death) or not _contains_death(own, one)
        ]

    def _is_explained(
        self,
        name: str,
        death: Death,
        now: int,
        others: AbstractSet[str],
    ) -> bool:
        """Return whether a condemned request was at the same death.

        A part of other prompts that is a suspect explains the deaths of
        requests as well: they have moved on together with those that have
        the part, and their trials would delay its trial. A suspect part that
        never ran well explains the deaths of parts that did.
        """
        for other in itertools.chain(
            self._index.list_on_trial(death.target),
            self._index.list_repeated(death.target),
        ):
            deaths = self._list_deaths(other)
            if not _contains_death(deaths, death):
                continue
            if self._compute_condemned_ms(other, deaths, now) > 0:
                return True
            if not fingerprints.is_part(other) or other == name:
                continue
            if death.was_proven:
                if self.count_deaths(other, now) >= self._suspect_deaths:
                    return True
            elif (
                not fingerprints.is_part(name)
                and other not in others
                and self._has_suspect_deaths(other, now)
            ):
                return True
        return False

    def _merge(self, fingerprint: str, new: _Record) -> None:
        old = self._pop(fingerprint)
        by_id: dict[tuple[str, int], Death] = {}
        # A message may come late, which makes its deaths seem more recent.
        for one in sorted((*new.deaths, *old.deaths), key=_get_time):
            known = by_id.setdefault((one.reporter, one.sequence), one)
            if one.was_proven and not known.was_proven:
                by_id[one.reporter, one.sequence] = attrs.evolve(
                    known, was_proven=True
                )
        bound = MAX_DEATHS
        if fingerprints.is_part(fingerprint):
            bound = MAX_PART_DEATHS
        deaths = sorted(by_id.values(), key=_get_time)[-bound:]
        self._records[fingerprint] = _Record(
            tuple(deaths),
            _pick_later(old.cleared_at, new.cleared_at),
            _pick_later(old.refused_at, new.refused_at),
        )
        self._index.add(fingerprint, deaths)

    def _enforce_bound(self, now: int) -> None:
        """Evict the records over `MAX_RECORDS`, once for a whole update.

        The search for expired records takes milliseconds. Run once for each
        request of a long queue on a target that died, it delayed every
        stream of the entry.
        """
        if len(self._records) > MAX_RECORDS:
            self._drop_expired(now)
        while len(self._records) > MAX_RECORDS:
            self._pop(self._find_evictable())

    def _pop(self, fingerprint: str) -> _Record:
        """Remove and return a record; an empty one if there is none."""
        record = self._records.pop(fingerprint, _Record(()))
        self._index.discard(fingerprint, record.deaths)
        return record

    def _find_evictable(self) -> str:
        """Return the oldest record without a death on trial, else the oldest.

        Records of condemned requests are thus evicted last.
        """
        for name, record in self._records.items():
            if not any(one.on_trial for one in record.deaths):
                return name
        return next(iter(self._records))

    def _build_update(
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
        """Drop the records whose deaths have all expired.

        A clearance is kept as long as the deaths that it clears, since
        peers that did not receive it still store and send these deaths.
        """
        expired = [
            name
            for name, record in self._records.items()
            if not any(
                _is_live(name, record, one, now) for one in record.deaths
            )
        ]
        for name in expired:
            self._pop(name)


def _has_this_and_other_deaths(
    deaths: list[Death], death: Death, other_count: int
) -> bool:
    others = {
        (one.target, one.at // SAME_DEATH_MS)
        for one in deaths
        if not _is_same_death(one, death)
    }
    has_this = any(_is_same_death(one, death) for one in deaths)
    return has_this and len(others) >= other_count


def _is_same_death(one: Death, other: Death) -> bool:
    is_close = abs(one.at - other.at) < SAME_DEATH_MS
    return one.target == other.target and is_close


def _contains_death(deaths: list[Death], death: Death) -> bool:
    return any(_is_same_death(one, death) for one in deaths)


def _is_live(name: str, record: _Record, death: Death, now: int) -> bool:
    if not death.on_trial:
        return death.at + SUSPECT_TTL_MS > now
    ttl_ms = CONDEMNED_TTL_MS
    if fingerprints.is_part(name):
        ttl_ms += PROBATION_MS
    return max(death.at, record.refused_at or 0) + ttl_ms > now


def _get_time(death: Death) -> int:
    return death.at


def _describe_record(name: str, record: _Record, now: int) -> messages.Record:
    deaths = tuple(
        messages.Death(
            one.target,
            one.reporter,
            one.sequence,
            one.on_trial,
            now - one.at,
            one.was_proven,
        )
        for one in record.deaths
    )
    return messages.Record(
        name,
        deaths,
        _subtract(now, record.cleared_at),
        _subtract(now, record.refused_at),
    )


def _subtract(now: int, other: int | None) -> int | None:
    return None if other is None else now - other


def _pick_later(one: int | None, other: int | None) -> int | None:
    if one is None or other is None:
        return other if one is None else one
    return max(one, other)
