"""Metrics of one entry, with units in their names."""

from __future__ import annotations

import collections
import typing

import aioprometheus
from aioprometheus import histogram
import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

_SECONDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)
_TOKEN_SECONDS = (0.005, 0.01, 0.02, 0.03, 0.049, 0.075, 0.1, 0.25, 0.5, 0.84)


@attrs.frozen
class Reading:
    """One value of a family.

    Attributes
    ----------
    value : float
        In the unit that the family's name ends with.
    labels : dict of str to str
        Every reading of a family has the same label names.
    """

    value: float
    labels: dict[str, str] = attrs.field(factory=dict)


Reader = typing.Callable[[], 'Iterable[Reading]']


def read_one(read: Callable[[], float]) -> Reader:
    """Return a reader of a family without labels."""
    return lambda: (Reading(float(read())),)


def list_by(label: str, values: Mapping[str, float]) -> list[Reading]:
    """List readings that differ in one label."""
    return [Reading(value, {label: name}) for name, value in values.items()]


def count_by(
    label: str, known: Iterable[str], seen: Iterable[str]
) -> list[Reading]:
    """Count by a label; what is not seen is 0, or its last value stays."""
    counts = collections.Counter(seen)
    return list_by(label, {name: counts[name] for name in known})


class Metrics:
    """Counters, histograms and gauges of one entry."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._requests = self._counter(
            'thornspool_requests_total', 'Requests of callers by outcome.'
        )
        self._latency = self._histogram(
            'thornspool_request_duration_seconds',
            'Time from the request to the end of its answer.',
            _SECONDS,
        )
        self._first_token = self._histogram(
            'thornspool_first_token_seconds',
            'Time to the first token.',
            (*_TOKEN_SECONDS, 2.5, 5),
        )
        self._between_tokens = self._histogram(
            'thornspool_between_tokens_seconds',
            'Time between two chunks of tokens.',
            _TOKEN_SECONDS,
        )
        self._events = self._counter(
            'thornspool_events_total',
            'Retries, refusals, target failures and the like, by name.',
        )
        self._readers: list[tuple[typing.Any, Reader]] = []
        self._tokens: dict[str, int] = collections.defaultdict(int)
        self._gaps: dict[str, histogram.Histogram] = {}
        self.add_counter(
            'thornspool_tokens_total',
            'Tokens delivered to callers.',
            self._read_tokens,
        )

    def _counter(self, name: str, doc: str) -> typing.Any:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def _histogram(
        self, name: str, doc: str, buckets: tuple[float, ...]
    ) -> typing.Any:
        return aioprometheus.Histogram(
            name, doc, registry=self.registry, buckets=buckets
        )

    def add_gauge(self, name: str, doc: str, read: Reader) -> None:
        """Add a gauge whose values are read when metrics are scraped.

        Parameters
        ----------
        name, doc : str
            Name with its unit, and one sentence.
        read : callable
            Returns its readings, each time with the same labels.
        """
        gauge = aioprometheus.Gauge(name, doc, registry=self.registry)
        self._readers.append((gauge, read))

    def add_counter(self, name: str, doc: str, read: Reader) -> None:
        """Add a counter that is kept elsewhere and read when scraped.

        Parameters
        ----------
        name, doc : str
            Name that ends with ``_total``, and one sentence.
        read : callable
            Returns its readings; none ever falls or goes away.
        """
        self._readers.append((self._counter(name, doc), read))

    def count_request(
        self, kind: str, workspace: str, outcome: str, milliseconds: int
    ) -> None:
        """Count a request that ended, with its duration."""
        labels = {'kind': kind, 'workspace': workspace}
        self._requests.inc({**labels, 'outcome': outcome})
        self._latency.observe(labels, milliseconds / 1000)

    def observe_first_token(self, workspace: str, milliseconds: int) -> None:
        """Record the time to a first token."""
        self._first_token.observe(
            {'workspace': workspace}, milliseconds / 1000
        )

    def observe_tokens(
        self, workspace: str, count: int, milliseconds: int
    ) -> None:
        """Record tokens that followed the last chunk after some time.

        It is told of each token. The library encodes and checks the labels
        at each value, so the histogram is asked for once and tokens are
        counted here until metrics are scraped.
        """
        self._tokens[workspace] += count
        gaps = self._gaps.get(workspace)
        if gaps is None:
            gaps = self._gaps[workspace] = self._open_gaps(workspace)
        gaps.observe(milliseconds / 1000)

    def _open_gaps(self, workspace: str) -> histogram.Histogram:
        """Make the histogram that the library makes at a first value."""
        gaps = histogram.Histogram(*_TOKEN_SECONDS)
        self._between_tokens.set_value({'workspace': workspace}, gaps)
        return gaps

    def _read_tokens(self) -> Iterable[Reading]:
        return [
            Reading(count, {'workspace': workspace})
            for workspace, count in self._tokens.items()
        ]

    def count_event(self, name: str) -> None:
        """Count something that operators watch, by its name."""
        self._events.inc({'event': name})

    def render(self, accepts: tuple[str, ...] = ()) -> tuple[bytes, str]:
        """Render all metrics.

        Parameters
        ----------
        accepts : tuple of str
            Values of the Accept header.

        Returns
        -------
        tuple of bytes and str
            The body and its content type.
        """
        for family, read in self._readers:
            for one in read():
                family.set(one.labels, one.value)
        body, headers = aioprometheus.render(self.registry, accepts)
        return body, headers['Content-Type']
