"""Adaptive concurrency of a target group.

Without a bound, requests over capacity queue at the targets until every
one of them is late: throughput stays, goodput falls to nothing. The bound
grows with answers that were quick and is cut when answers take much longer
than they do on idle targets, or when the targets report queues (additive
increase, multiplicative decrease: D. Chiu, R. Jain, 1989). It is never under
the entry's equal part of what the targets say they can run at once, since
that much makes no queue.
"""

from __future__ import annotations

import attrs

from thornspool.domain.limits import messages
from thornspool.domain.limits import paces

LEAST_DELAY_MS = 25.0
"""Shorter delays are no overload.

Calls of a few milliseconds take twice as long for many reasons other than a
queue, such as a busy entry. Taken for overload, they cut the bound down to one
call in flight, and callers were refused under almost no load.
"""

LARGEST_STRETCH = 4.0
"""One answer that hung would otherwise look like many delayed ones."""

FULL_QUEUE = 0.25
"""Requests in the queues of targets, over what they can run, from which the
targets count as full."""

_FULL_CUT_MS = 500
_DECREASE = 0.9
_SMOOTHING = 0.1
_LEAST_LIMIT = 1
_LARGEST_LIMIT = 4096.0
_LEAST_RETRY_MS = 50


@attrs.define
class GroupLimit:
    """State of one target group on one entry.

    Attributes
    ----------
    limit : float
        Most requests in flight, as far as it was learnt.
    share : float
        Equal part of what the targets can run at once; 0 while unknown.
    is_full : bool
        Whether the targets reported queues.
    in_flight : int
        Requests in flight.
    stretch : float
        Recent time of answers over their usual one.
    cut_at : int
        Monotonic milliseconds of the last cut.
    kinds : dict of str to paces.WorkPace
        By kind of work. Slow and fast operations of one service share its
        targets but not their times.
    """

    limit: float = 16.0
    share: float = 0.0
    is_full: bool = False
    in_flight: int = 0
    stretch: float = 1.0
    cut_at: int = 0
    kinds: dict[str, paces.WorkPace] = attrs.field(factory=dict)

    @property
    def bound(self) -> int:
        """Most requests in flight that are admitted now."""
        return max(_LEAST_LIMIT, int(self.limit), int(self.share))

    def hear_capacity(
        self, capacity: messages.Capacity, entries: int, now: int
    ) -> None:
        """Take in what the targets report.

        An entry that starts during an overload takes the time of the queue
        for the usual one and would push the others aside. The reported queue
        cuts all who use more than their equal part, the largest most.

        Parameters
        ----------
        capacity : messages.Capacity
            Sums over the ready targets.
        entries : int
            Entries in view, among which it is shared.
        now : int
            Monotonic milliseconds.
        """
        self.share = capacity.slots / entries
        self.is_full = capacity.waiting > FULL_QUEUE * capacity.slots
        over = self.limit > self.share
        if self.is_full and over and now - self.cut_at >= _FULL_CUT_MS:
            self._cut(now, now)

    def admit(
        self, asked: messages.Asked, now: int
    ) -> messages.Refused | None:
        """Admit a request, or refuse it because it would be late.

        Parameters
        ----------
        asked : messages.Asked
            The request; `release` must follow when it is admitted.
        now : int
            Monotonic milliseconds.
        """
        pace = self._find(asked.kind)
        if now + self._predict(pace, asked.units) > asked.deadline:
            return messages.Refused(
                messages.Reason.DEADLINE, self._compute_retry(pace)
            )
        if self.in_flight >= self.bound:
            return messages.Refused(
                messages.Reason.OVERLOAD, self._compute_retry(pace)
            )
        self.in_flight += 1
        return None

    def release(self) -> None:
        """Take in that an admitted request ended."""
        self.in_flight = max(0, self.in_flight - 1)

    def observe(self, kind: str, duration_ms: int, now: int) -> None:
        """Learn from an answer of a target, or from its first token.

        Parameters
        ----------
        kind : str
            What was asked.
        duration_ms : int
            Time since the target was asked. Time that passes elsewhere, as
            in the ledger, says nothing about the targets.
        now : int
            Monotonic milliseconds.
        """
        pace = self._find(kind).first
        busy = self._is_busy()
        self._note_stretch(pace.learn(duration_ms, busy, now))
        if self._is_delayed(pace.usual_ms):
            self._cut(now - duration_ms, now)
        elif busy and not self.is_full:
            self._grow()

    def observe_rest(
        self, kind: str, units: int, duration_ms: int, now: int
    ) -> None:
        """Learn from the tokens after the first of a whole answer.

        Engines that take turns between streams show a queue in the time
        between tokens, not in the wait for the first.
        """
        if units < 1:
            return
        pace = self._find(kind)
        stretch = pace.learn_rest(units, duration_ms, self._is_busy(), now)
        self._note_stretch(stretch)
        if self._is_delayed(units * pace.unit.usual_ms):
            self._cut(now - duration_ms, now)

    def note_late(self, started: int, now: int) -> None:
        """Take in that a target did not answer in time."""
        self._cut(started, now)

    def _find(self, kind: str) -> paces.WorkPace:
        return self.kinds.setdefault(kind, paces.WorkPace())

    def _is_busy(self) -> bool:
        return self.in_flight >= self.bound / 2

    def _note_stretch(self, stretch: float) -> None:
        bounded = min(stretch, LARGEST_STRETCH)
        self.stretch += _SMOOTHING * (bounded - self.stretch)

    def _is_delayed(self, usual_ms: float) -> bool:
        """Tell whether answers wait much longer than on idle targets."""
        delay_ms = (self.stretch - 1.0) * usual_ms
        return self.stretch > paces.SLOW_FACTOR and delay_ms > LEAST_DELAY_MS

    def _grow(self) -> None:
        # Until the first cut nothing is known of the capacity, and the
        # bound doubles with each round of answers (slow start). Grown by
        # a little only, callers that gather on a new entry, or on those
        # that stay when others leave, would be refused for overload
        # though the targets are idle.
        step = 1.0 if self.cut_at == 0 else 1.0 / max(self.limit, 1.0)
        self.limit = min(_LARGEST_LIMIT, self.limit + step)

    def _cut(self, started: int, now: int) -> None:
        # Requests that started before the last cut tell of the time before
        # it; cutting for each of them would cut one overload many times.
        if started < self.cut_at:
            return
        self.limit = max(float(_LEAST_LIMIT), self.limit * _DECREASE)
        self.cut_at = now

    def _predict(self, pace: paces.WorkPace, units: int) -> float:
        """Predict the time of a request, in milliseconds.

        The delay part shrinks with what is in flight here. A prediction
        made of old measurements alone would refuse everything after an
        overload, measure nothing and never recover.
        """
        load = min(1.0, self.in_flight / self.bound)
        delay = max(0.0, self.stretch - 1.0) * load * pace.first.usual_ms
        return pace.estimate(units) + delay

    def _compute_retry(self, pace: paces.WorkPace) -> int:
        bound = self.bound
        per_request = self.stretch * pace.first.usual_ms / bound
        excess = max(1.0, self.in_flight - bound + 1.0)
        return max(_LEAST_RETRY_MS, int(per_request * excess))
