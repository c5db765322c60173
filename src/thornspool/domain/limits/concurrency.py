"""Adaptive concurrency of a target group.

Without a bound, requests over capacity queue at the targets until every
one of them is late: throughput stays, goodput falls to nothing. The bound
grows by a little with each request that was quick and is cut when requests
take much longer than they do on idle targets (additive increase,
multiplicative decrease: D. Chiu, R. Jain, 1989).
"""

from __future__ import annotations

import attrs

from thornspool.domain.limits import messages

SLOW_FACTOR = 1.6
"""Stretch, over the usual one, from which a request counts as delayed."""

_LEAST_BASELINE = 0.25
"""Answers far quicker than estimated vary by large factors for no reason."""

LEAST_DELAY_MS = 25.0
"""Shorter delays are no overload.

Calls of a few milliseconds take twice as long for many reasons other than a
queue, such as a busy entry. Taken for overload, they cut the bound down to one
call in flight, and callers were refused under almost no load.
"""

_DECREASE = 0.9
_SMOOTHING = 0.1
_BASELINE_DOWN = 0.2
_BASELINE_UP = 0.005
_LEAST_LIMIT = 1.0
_LARGEST_LIMIT = 4096.0
_LEAST_RETRY_MS = 50


@attrs.define
class GroupLimit:
    """State of one target group on one entry.

    Attributes
    ----------
    limit : float
        Most requests in flight.
    in_flight : int
        Requests in flight.
    stretch : float
        Recent time of requests over their estimates.
    baseline : float
        The same on idle targets; follows low values fast and high ones
        slowly, so that wrong estimates cancel out.
    latency_ms : float
        Recent time of requests.
    cut_at : int
        Monotonic milliseconds of the last cut.
    samples : int
        Requests learnt from.
    """

    limit: float = 16.0
    in_flight: int = 0
    stretch: float = 1.0
    baseline: float = 1.0
    latency_ms: float = 0.0
    cut_at: int = 0
    samples: int = 0

    def admit(
        self, estimated_ms: int, deadline: int, now: int
    ) -> messages.Refused | None:
        """Admit a request, or refuse it because it would be late."""
        predicted = self._predict(estimated_ms)
        if now + predicted > deadline:
            return messages.Refused(
                messages.Reason.DEADLINE, self._compute_retry(estimated_ms)
            )
        if self.in_flight >= max(_LEAST_LIMIT, int(self.limit)):
            return messages.Refused(
                messages.Reason.OVERLOAD, self._compute_retry(estimated_ms)
            )
        self.in_flight += 1
        return None

    def finish(
        self, started: int, estimated_ms: int, succeeded: bool, now: int
    ) -> None:
        """Learn from a request that ended.

        Parameters
        ----------
        started, now : int
            Monotonic milliseconds of its start and end.
        estimated_ms : int
            What it was expected to take.
        succeeded : bool
            False for a failure that an overload may have caused.
        """
        busy = self.in_flight >= self.limit / 2
        self.in_flight = max(0, self.in_flight - 1)
        elapsed = now - started
        self._learn(elapsed, elapsed / max(1, estimated_ms))
        if not succeeded or self._is_delayed(estimated_ms):
            self._cut(started, now)
        elif busy:
            # Until the first cut nothing is known of the capacity, and the
            # bound doubles with each round of answers (slow start). Grown by
            # a little only, callers that gather on a new entry, or on those
            # that stay when others leave, would be refused for overload
            # though the targets are idle.
            step = 1.0 if self.cut_at == 0 else 1.0 / max(self.limit, 1.0)
            self.limit = min(_LARGEST_LIMIT, self.limit + step)

    def _is_delayed(self, estimated_ms: int) -> bool:
        """Tell whether requests wait much longer than on idle targets."""
        usual = max(_LEAST_BASELINE, self.baseline)
        delay_ms = (self.stretch - usual) * estimated_ms
        return self.stretch > SLOW_FACTOR * usual and delay_ms > LEAST_DELAY_MS

    def _learn(self, elapsed: int, stretch: float) -> None:
        self.samples += 1
        smoothing = max(_SMOOTHING, 1.0 / self.samples)
        self.latency_ms += smoothing * (elapsed - self.latency_ms)
        self.stretch += smoothing * (stretch - self.stretch)
        # Compared with the smoothed value: single quick requests would pull
        # the baseline under the average, and every request would look slow.
        falls = self.stretch < self.baseline
        rate = _BASELINE_DOWN if falls else _BASELINE_UP
        self.baseline += rate * (self.stretch - self.baseline)

    def _cut(self, started: int, now: int) -> None:
        # Requests that started before the last cut tell of the time before
        # it; cutting for each of them would cut one overload many times.
        if started < self.cut_at:
            return
        self.limit = max(_LEAST_LIMIT, self.limit * _DECREASE)
        self.cut_at = now

    def _predict(self, estimated_ms: int) -> float:
        """Predict the time of a request, in milliseconds.

        The delay part shrinks with what is in flight here. A prediction
        made of old measurements alone would refuse everything after an
        overload, measure nothing and never recover.
        """
        load = min(1.0, self.in_flight / max(1.0, self.limit))
        delay = max(0.0, self.stretch - self.baseline) * load
        return estimated_ms * (self.baseline + delay)

    def _compute_retry(self, estimated_ms: int) -> int:
        per_request = max(self.latency_ms, estimated_ms) / max(1.0, self.limit)
        excess = max(1.0, self.in_flight - self.limit + 1.0)
        return max(_LEAST_RETRY_MS, int(per_request * excess))
