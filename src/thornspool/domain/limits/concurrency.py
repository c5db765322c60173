"""Adaptive concurrency of a target group.

Without a bound, requests over capacity queue at the targets until all of
them are late: throughput is unchanged, but goodput drops to zero. The bound
grows with answers that were not delayed. It is decreased when answers take
much longer than on idle targets, or when the targets report queues (additive
increase, multiplicative decrease: D. Chiu, R. Jain, 1989). It is never less
than the entry's equal share of the concurrency that the targets report,
since that many requests cause no queue.
"""

from __future__ import annotations

import attrs

from thornspool.domain.limits import baselines
from thornspool.domain.limits import messages

MIN_DELAY_MS = 25.0
"""Delays up to this time do not count as overload.

Calls of a few milliseconds take twice as long for many reasons other than a
queue, such as a busy entry. When these counted as overload, the bound dropped
to one call in flight, and callers were refused under almost no load.
"""

MAX_DELAY_RATIO = 4.0
"""Limit on the ratio of one answer.

Without it, one answer that hung would have the effect of many delayed ones.
"""

FULL_QUEUE_RATIO = 0.25
"""Ratio of queued requests to concurrency above which targets are full."""

_FULL_DECREASE_INTERVAL_MS = 500
_SHARE_FACTOR_DECREASE = 0.5
_INITIAL_REPORTED_LIMIT = 4.0
"""Initial bound where the targets report their concurrency.

The initial bound without such reports, 16 at each entry, was too much for
small groups.
"""

_DECREASE_FACTOR = 0.9
_SMOOTHING = 0.1
_MIN_LIMIT = 1
_MAX_LIMIT = 4096.0
_MIN_RETRY_MS = 50


@attrs.define
class GroupLimit:
    """State of one target group on one entry.

    Attributes
    ----------
    limit : float
        Maximum number of requests in flight, adapted to the answers.
    share : float
        Equal share of the concurrency that the targets report; 0 while
        unknown.
    share_factor : float
        Part of the share that is always admitted, from 0 to 1.
    is_full : bool
        Whether the targets reported queues.
    in_flight : int
        Requests in flight.
    delay_ratio : float
        Smoothed ratio of the durations of answers to their baselines.
    decreased_at : int
        Monotonic milliseconds of the last decrease of the limit.
    work_baselines : dict of str to baselines.WorkBaseline
        Baseline durations by kind of work. Slow and fast operations of one
        service use the same targets but have different durations.
    """

    limit: float = 16.0
    share: float = 0.0
    share_factor: float = 1.0
    is_full: bool = False
    in_flight: int = 0
    delay_ratio: float = 1.0
    decreased_at: int = 0
    work_baselines: dict[str, baselines.WorkBaseline] = attrs.field(
        factory=dict
    )

    @property
    def bound(self) -> int:
        """Maximum number of requests in flight that is admitted now."""
        guaranteed = int(self.share * self.share_factor)
        return max(_MIN_LIMIT, int(self.limit), guaranteed)

    def apply_capacity(
        self, capacity: messages.Capacity, entries: int, now: int
    ) -> None:
        """Apply the capacity that the targets report.

        An entry that starts during an overload includes the time in the
        queue in its baselines and would displace the requests of other
        entries. Reported queues therefore decrease the limit of all entries
        that use more than their equal share, the largest limit most.

        Parameters
        ----------
        capacity : messages.Capacity
            Sums over the ready targets.
        entries : int
            Number of entries in view, among which the capacity is shared.
        now : int
            Monotonic milliseconds.
        """
        if self.share == 0.0 and capacity.concurrency:
            self.limit = min(self.limit, _INITIAL_REPORTED_LIMIT)
        self.share = capacity.concurrency / entries
        self.is_full = (
            capacity.waiting > FULL_QUEUE_RATIO * capacity.concurrency
        )
        is_over = self.limit > self.share
        if (
            self.is_full
            and is_over
            and now - self.decreased_at >= _FULL_DECREASE_INTERVAL_MS
        ):
            self._decrease(now, now)

    def admit(
        self, request: messages.RequestEstimate, now: int
    ) -> messages.Rejection | None:
        """Admit a request, or refuse it because it would be late.

        Parameters
        ----------
        request : messages.RequestEstimate
            The request; if it is admitted, `release` must be called when it
            ends.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        messages.Rejection or None
            None when the request was admitted.
        """
        baseline = self._find_baseline(request.kind)
        if now + self._predict(baseline, request.max_units) > request.deadline:
            return messages.Rejection(
                messages.Reason.DEADLINE, self._compute_retry(baseline)
            )
        if self.in_flight >= self.bound:
            return messages.Rejection(
                messages.Reason.OVERLOAD, self._compute_retry(baseline)
            )
        self.in_flight += 1
        return None

    def release(self) -> None:
        """Record that an admitted request ended."""
        self.in_flight = max(0, self.in_flight - 1)

    def observe_answer(self, kind: str, duration_ms: int, now: int) -> None:
        """Adapt the limit to an answer of a target, or to its first token.

        Parameters
        ----------
        kind : str
            Kind of work of the request.
        duration_ms : int
            Time since the request was sent to the target. It excludes time
            spent elsewhere, such as in the ledger, which does not depend on
            the load of the targets.
        now : int
            Monotonic milliseconds.
        """
        baseline = self._find_baseline(kind).first
        is_busy = self._is_busy()
        self._update_delay_ratio(baseline.observe(duration_ms, is_busy, now))
        if self._is_delayed(baseline.baseline_ms):
            self._decrease(now - duration_ms, now)
        elif is_busy and not self.is_full:
            self._increase()

    def observe_following_tokens(
        self, kind: str, units: int, duration_ms: int, now: int
    ) -> None:
        """Adapt the limit to the tokens after the first of a whole answer.

        Engines that interleave streams show an overload in the time between
        tokens, not in the time to the first token.

        Parameters
        ----------
        kind : str
            Kind of work of the request.
        units : int
            Number of tokens after the first.
        duration_ms : int
            Duration of these tokens together.
        now : int
            Monotonic milliseconds.
        """
        if units < 1:
            return
        baseline = self._find_baseline(kind)
        ratio = baseline.observe_following(
            units, duration_ms, self._is_busy(), now
        )
        self._update_delay_ratio(ratio)
        if self._is_delayed(units * baseline.following.baseline_ms):
            self._decrease(now - duration_ms, now)

    def record_timeout(self, started: int, now: int) -> None:
        """Record that a target did not answer in time.

        A target may report more concurrency than it has. If the report were
        always applied in full, all requests would be late. The applied part
        of the share is halved with each round of late answers, so it soon
        reaches what the target can run.

        Parameters
        ----------
        started : int
            Monotonic milliseconds at which the request started.
        now : int
            Monotonic milliseconds.
        """
        if self._decrease(started, now):
            self.share_factor *= _SHARE_FACTOR_DECREASE

    def _find_baseline(self, kind: str) -> baselines.WorkBaseline:
        return self.work_baselines.setdefault(kind, baselines.WorkBaseline())

    def _is_busy(self) -> bool:
        return self.in_flight >= self.bound / 2

    def _update_delay_ratio(self, ratio: float) -> None:
        bounded = min(ratio, MAX_DELAY_RATIO)
        self.delay_ratio += _SMOOTHING * (bounded - self.delay_ratio)

    def _is_delayed(self, baseline_ms: float) -> bool:
        """Return whether answers take much longer than on idle targets."""
        delay_ms = (self.delay_ratio - 1.0) * baseline_ms
        return (
            self.delay_ratio > baselines.DELAYED_RATIO
            and delay_ms > MIN_DELAY_MS
        )

    def _increase(self) -> None:
        # Before the first decrease the capacity is unknown, and the limit
        # doubles with each round of answers (slow start). With additive
        # increase alone, requests that concentrate on a new entry, or on the
        # remaining ones when others leave, would be refused for overload
        # although the targets are idle.
        step = 1.0 if self.decreased_at == 0 else 1.0 / max(self.limit, 1.0)
        self.limit = min(_MAX_LIMIT, self.limit + step)
        self.share_factor = min(
            1.0, self.share_factor + step / max(self.share, 1.0)
        )

    def _decrease(self, started: int, now: int) -> bool:
        """Decrease the limit unless the request is from before the last one.

        Requests that started before the last decrease were delayed by the
        same overload. A decrease for each of them would count one overload
        many times.
        """
        if started < self.decreased_at:
            return False
        self.limit = max(float(_MIN_LIMIT), self.limit * _DECREASE_FACTOR)
        self.decreased_at = now
        return True

    def _predict(self, baseline: baselines.WorkBaseline, units: int) -> float:
        """Predict the duration of a request, in milliseconds.

        The predicted delay is proportional to the requests in flight here.
        With a prediction from old measurements alone, the entry would refuse
        every request after an overload, measure nothing and never recover.
        """
        load = min(1.0, self.in_flight / self.bound)
        delay_ms = (
            max(0.0, self.delay_ratio - 1.0)
            * load
            * baseline.first.baseline_ms
        )
        return baseline.estimate(units) + delay_ms

    def _compute_retry(self, baseline: baselines.WorkBaseline) -> int:
        bound = self.bound
        per_request_ms = self.delay_ratio * baseline.first.baseline_ms / bound
        excess = max(1.0, self.in_flight - bound + 1.0)
        return max(_MIN_RETRY_MS, int(per_request_ms * excess))
