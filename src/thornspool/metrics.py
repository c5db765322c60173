"""Prometheus metrics of one entry; metric names end with their unit."""

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

_DURATION_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
)
_TOKEN_INTERVAL_BUCKETS_S = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.049,
    0.075,
    0.1,
    0.25,
    0.5,
    0.84,
)


@attrs.frozen
class Sample:
    """One sample of a metric family.

    Attributes
    ----------
    value : float
        Value in the unit at the end of the family's name.
    labels : dict of str to str
        Values by label name; all samples of a family have the same names.
    """

    value: float
    labels: dict[str, str] = attrs.field(factory=dict)


SampleReader = typing.Callable[[], 'Iterable[Sample]']


def make_sample_reader(read: Callable[[], float]) -> SampleReader:
    """Return a function that reads the sample of a family without labels."""
    return lambda: (Sample(float(read())),)


def list_samples_by_label(
    label: str, values: Mapping[str, float]
) -> list[Sample]:
    """List samples that differ in one label.

    Parameters
    ----------
    label : str
        Name of the label.
    values : mapping of str to float
        Sample values by value of the label.
    """
    return [Sample(value, {label: name}) for name, value in values.items()]


def count_by_label(
    label: str, all_values: Iterable[str], observed: Iterable[str]
) -> list[Sample]:
    """Count occurrences of each value of a label.

    Values that do not occur are reported as 0, since the registry would
    otherwise keep their last count.

    Parameters
    ----------
    label : str
        Name of the label.
    all_values : iterable of str
        Every value that the label can have.
    observed : iterable of str
        Values to count.
    """
    counts = collections.Counter(observed)
    return list_samples_by_label(
        label, {name: counts[name] for name in all_values}
    )


class Metrics:
    """Counters, histograms and gauges of one entry."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._requests = self._make_counter(
            'thornspool_requests_total', 'Requests of callers by outcome.'
        )
        self._cut_answers = self._make_counter(
            'thornspool_answers_cut_total',
            'Requests that ended without a complete answer, by who ended it.',
        )
        self._latency = self._make_histogram(
            'thornspool_request_duration_seconds',
            'Time from the request to the end of its answer.',
            _DURATION_BUCKETS_S,
        )
        self._first_token = self._make_histogram(
            'thornspool_first_token_seconds',
            'Time to the first token.',
            (*_TOKEN_INTERVAL_BUCKETS_S, 2.5, 5),
        )
        self._between_tokens = self._make_histogram(
            'thornspool_between_tokens_seconds',
            'Time between two chunks of tokens.',
            _TOKEN_INTERVAL_BUCKETS_S,
        )
        self._events = self._make_counter(
            'thornspool_events_total',
            'Retries, refusals, target failures and the like, by name.',
        )
        self._domain_exits = self._make_counter(
            'thornspool_domain_exits_total',
            'Requests whose last path was in another failure domain, by '
            'reason.',
        )
        self._domain_exit_bytes = self._make_counter(
            'thornspool_domain_exit_bytes_total',
            'Bytes of these requests and their responses between domains.',
        )
        self._denial_age = self._make_histogram(
            'thornspool_denial_copy_age_seconds',
            'Age of the copy of the store at refusals with 401 or 404.',
            _DURATION_BUCKETS_S,
        )
        self._sample_readers: list[tuple[typing.Any, SampleReader]] = []
        self._tokens: dict[str, int] = collections.defaultdict(int)
        self._token_intervals: dict[str, histogram.Histogram] = {}
        self.add_counter(
            'thornspool_tokens_total',
            'Tokens delivered to callers.',
            self._read_token_counts,
        )

    def _make_counter(self, name: str, doc: str) -> typing.Any:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def _make_histogram(
        self, name: str, doc: str, buckets: tuple[float, ...]
    ) -> typing.Any:
        return aioprometheus.Histogram(
            name, doc, registry=self.registry, buckets=buckets
        )

    def add_gauge(self, name: str, doc: str, read: SampleReader) -> None:
        """Add a gauge whose samples are read when metrics are scraped.

        Parameters
        ----------
        name : str
            Name that ends with the unit.
        doc : str
            Help text, one sentence.
        read : callable
            Returns the samples, with the same labels in each call.
        """
        gauge = aioprometheus.Gauge(name, doc, registry=self.registry)
        self._sample_readers.append((gauge, read))

    def add_counter(self, name: str, doc: str, read: SampleReader) -> None:
        """Add a counter whose samples are read when metrics are scraped.

        Parameters
        ----------
        name : str
            Name that ends with ``_total``.
        doc : str
            Help text, one sentence.
        read : callable
            Returns the samples; none may decrease or disappear.
        """
        self._sample_readers.append((self._make_counter(name, doc), read))

    def count_request(
        self, kind: str, workspace: str, outcome: str, milliseconds: int
    ) -> None:
        """Count a completed request and record its duration.

        Parameters
        ----------
        kind, workspace, outcome : str
            Labels of the request.
        milliseconds : int
            Time from the request to the end of its response.
        """
        labels = {'kind': kind, 'workspace': workspace}
        self._requests.inc({**labels, 'outcome': outcome})
        self._latency.observe(labels, milliseconds / 1000)

    def count_cut_answer(self, ended_by: str) -> None:
        """Count a request that ended without a complete answer.

        Parameters
        ----------
        ended_by : str
            ``caller``, ``stop`` of this process, ``deadline`` or ``entry``.
        """
        self._cut_answers.inc({'ended_by': ended_by})

    def observe_first_token(self, workspace: str, milliseconds: int) -> None:
        """Record the milliseconds from a request to its first token."""
        self._first_token.observe(
            {'workspace': workspace}, milliseconds / 1000
        )

    def observe_denial(self, reason: str, copy_age_ms: int) -> None:
        """Record the age of the copy on which a denial is based.

        Parameters
        ----------
        reason : str
            Reason of the denial.
        copy_age_ms : int
            Age in milliseconds.
        """
        self._denial_age.observe({'reason': reason}, copy_age_ms / 1000)

    def observe_tokens(
        self, workspace: str, count: int, milliseconds: int
    ) -> None:
        """Record a chunk of tokens and the time since the previous chunk.

        This method runs for each token, and the library encodes and checks
        the labels of every observation. So the histogram of a workspace is
        looked up once, and tokens are counted here until metrics are scraped.

        Parameters
        ----------
        workspace : str
            Workspace of the request.
        count : int
            Tokens in the chunk.
        milliseconds : int
            Time since the previous chunk.
        """
        self._tokens[workspace] += count
        intervals = self._token_intervals.get(workspace)
        if intervals is None:
            intervals = self._token_intervals[workspace] = (
                self._create_token_intervals(workspace)
            )
        intervals.observe(milliseconds / 1000)

    def _create_token_intervals(self, workspace: str) -> histogram.Histogram:
        """Create the histogram that the library creates on first use."""
        intervals = histogram.Histogram(*_TOKEN_INTERVAL_BUCKETS_S)
        self._between_tokens.set_value({'workspace': workspace}, intervals)
        return intervals

    def _read_token_counts(self) -> Iterable[Sample]:
        return [
            Sample(count, {'workspace': workspace})
            for workspace, count in self._tokens.items()
        ]

    def count_event(self, name: str) -> None:
        """Count an event under its name, such as a retry or a refusal."""
        self._events.inc({'event': name})

    def count_domain_exit(self, reason: str, link_bytes: int) -> None:
        """Count a request that was sent to another failure domain.

        Parameters
        ----------
        reason : str
            Reason why it left its own domain.
        link_bytes : int
            Bytes that crossed the link between the domains.
        """
        self._domain_exits.inc({'reason': reason})
        self._domain_exit_bytes.add({'reason': reason}, link_bytes)

    def render(self, accepts: tuple[str, ...] = ()) -> tuple[bytes, str]:
        """Render all metrics in an exposition format.

        Parameters
        ----------
        accepts : tuple of str, optional
            Values of the Accept header of the scrape.

        Returns
        -------
        tuple of bytes and str
            Body and content type.
        """
        for family, read in self._sample_readers:
            for sample in read():
                family.set(sample.labels, sample.value)
        body, headers = aioprometheus.render(self.registry, accepts)
        return body, headers['Content-Type']
