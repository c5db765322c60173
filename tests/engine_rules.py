"""Rules on what servers get, and on what callers are denied.

Servers are protected after they have stated their condition; this is checked
from what arrives at them and what they answer, as they log it. Callers must
not be denied what the configuration allows. All times are milliseconds of one
clock.
"""

from __future__ import annotations

import bisect
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

WINDOW_MS = 4_000
"""Length of the windows in which the requests to a limited server count."""

LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
MAX_ARRIVALS_IN_REST = 2
MIN_SERVED_RATIO = 2 / 3
FAILED_SLACK = 10
FAILED_SHARE = 1 / 50
DENIED_SLACK = 5
DENIED_SHARE = 1 / 500
MAX_DENIED_ELSEWHERE = 10
CRASHES_BEFORE_REFUSAL = 3
MAX_RETRIES_OF_CRASHES = 3
TOLD_MS = 500
"""Time after an answer from which its host is bound by it."""


@attrs.frozen
class Arrival:
    """A request, probe or order that arrives at a server."""

    at: int
    server: str
    host: str
    kind: str = 'request'
    attempt: str = ''


@attrs.frozen
class Answer:
    """What a server states in an answer to a host."""

    at: int
    server: str
    host: str
    limit_per_s: float | None = None
    rest_ms: int = 0
    is_leaving: bool = False


@attrs.frozen
class Crash:
    """End of a server under a request that crashes what runs it.

    ``content`` stands for path, caller and body of the request, which stay
    the same when it is sent again.
    """

    at: int
    server: str
    content: str


@attrs.frozen
class Excuse:
    """Time in which a host is not bound by what servers state."""

    host: str
    since: int
    until: int


@attrs.frozen
class Departure:
    """Acknowledgement of the store that a server leaves or has left."""

    at: int
    server: str


@attrs.frozen
class SentRequest:
    """Request that a caller sent to a service."""

    sent_at: int
    service: str


@attrs.frozen
class FirstTry:
    """First try of a request at a host, and whether it was served."""

    at: int
    host: str
    is_served: bool


@attrs.frozen
class Cut:
    """Time in which hosts are cut off from all servers."""

    hosts: frozenset[str]
    since: int
    until: int


@attrs.frozen
class Version:
    """A version of the configuration.

    Attributes
    ----------
    number : int
        Increases with each version.
    sent_at : int
        Time at which the operator sent it.
    acknowledged_at : int
        Time at which the store acknowledged it.
    allowed : frozenset of str
        Targets of the requests that it allows.
    """

    number: int
    sent_at: int
    acknowledged_at: int
    allowed: frozenset[str]


@attrs.frozen
class Denial:
    """A request that a host itself answered with a 3xx or 4xx status."""

    sent_at: int
    at: int
    host: str
    target: str
    status: int


@attrs.frozen
class InForce:
    """Version of the configuration that a host applies at a time."""

    at: int
    host: str
    number: int


def read_log(
    lines: Iterable[dict[str, typing.Any]],
) -> tuple[list[Arrival], list[Answer]]:
    """Split the log of the servers into arrivals and answers."""
    arrivals, answers = [], []
    for line in lines:
        common = (line['at_ms'], line['server'], line['host'])
        if line['event'] == 'arrival':
            arrivals.append(Arrival(*common, line['kind'], line['attempt']))
        elif line['event'] == 'answer':
            answers.append(
                Answer(
                    *common,
                    line['limit_per_s'],
                    line['rest_ms'],
                    line['is_leaving'],
                )
            )
    return arrivals, answers


def read_crashes(lines: Iterable[dict[str, typing.Any]]) -> list[Crash]:
    """Read the ends of servers under requests from the log of the servers."""
    return [
        Crash(line['at_ms'], line['server'], line['content'])
        for line in lines
        if line['event'] == 'crash'
    ]


def find_limit_violations(
    arrivals: Sequence[Arrival],
    answers: Sequence[Answer],
    contact_ms: int,
    excuses: Sequence[Excuse] = (),
) -> list[str]:
    """Find servers that got more than one and a half times their limit.

    From ``contact_ms`` after a server first named its limit, it gets in some
    4 s at most one and a half times what the limit allows and 5 requests more,
    summed over the hosts that had passed on such an answer half a second
    before or earlier.
    """
    violations = []
    for server in sorted({one.server for one in answers}):
        own = [one for one in answers if one.server == server]
        for since, until, limits in _list_limited_periods(own):
            told = _find_told(own, since, until)
            counted = [
                one.at
                for one in arrivals
                if one.server == server
                and since + contact_ms <= one.at <= until
                and one.at >= told.get(one.host, until) + TOLD_MS
                and not _is_excused(one.host, one.at, excuses)
            ]
            violations += _check_windows(server, counted, limits)
    return violations


def find_rest_violations(
    arrivals: Sequence[Arrival],
    answers: Sequence[Answer],
    excuses: Sequence[Excuse] = (),
) -> list[str]:
    """Find servers that got requests of a host that they asked for rest.

    More than two requests reach a server from a host between half a second
    after it has answered that host 503 with a time of rest and the end of that
    time.
    """
    violations = []
    for answer in answers:
        until = answer.at + answer.rest_ms
        count = sum(
            one.server == answer.server
            and one.host == answer.host
            and answer.at + TOLD_MS <= one.at <= until
            and not _is_excused(one.host, one.at, excuses)
            for one in arrivals
        )
        if answer.rest_ms and count > MAX_ARRIVALS_IN_REST:
            violations.append(
                f'{answer.server} asked {answer.host} for {answer.rest_ms} '
                f'ms of rest at {answer.at} and got {count} requests'
            )
    return violations


def find_drain_violations(
    arrivals: Sequence[Arrival],
    answers: Sequence[Answer],
    sent_at: Mapping[str, int],
    drain_ms: int,
    excuses: Sequence[Excuse] = (),
) -> list[str]:
    """Find leaving servers that got late requests.

    A request that a caller sent later than ``drain_ms`` after a host had
    passed on an answer of a leaving server reaches that server from that host.
    A restart or a freeze of the host since then excuses it.

    Parameters
    ----------
    arrivals, answers : sequence
        What reached the servers, and what they stated.
    sent_at : mapping of str to int
        Times at which callers sent their requests, by id of the attempt.
    drain_ms : int
        Milliseconds after which a host is bound.
    excuses : sequence of Excuse, optional
        Restarts and freezes of hosts.
    """
    told: dict[tuple[str, str], int] = {}
    for answer in answers:
        if answer.is_leaving:
            told.setdefault((answer.server, answer.host), answer.at)
    violations = []
    for one in arrivals:
        since = told.get((one.server, one.host))
        if since is None or one.attempt not in sent_at:
            continue
        late_ms = sent_at[one.attempt] - since
        excused = any(
            excuse.host == one.host and since <= excuse.until
            for excuse in excuses
        )
        if late_ms > drain_ms and not excused:
            violations.append(
                f'{one.server} leaves and got {one.attempt} of {one.host}, '
                f'sent {late_ms} ms after it had said so'
            )
    return violations


def find_listing_violations(
    arrivals: Sequence[Arrival],
    departures: Sequence[Departure],
    sent_at: Mapping[str, int],
    drain_ms: int,
    contact_ms: int,
    unstable: Sequence[Excuse] = (),
    excuses: Sequence[Excuse] = (),
) -> list[str]:
    """Find requests to servers that the store had shown as leaving or gone.

    A request that a caller sent later than ``drain_ms`` after the store had
    acknowledged the departure reaches the server. The store was undisturbed
    for ``contact_ms`` before it acknowledged the departure, and before the
    caller sent the request.

    Parameters
    ----------
    arrivals, departures : sequence
        What reached the servers, and when the store knew that they left.
    sent_at : mapping of str to int
        Times at which callers sent their requests, by id of the attempt.
    drain_ms, contact_ms : int
        Bounds in milliseconds.
    unstable : sequence of Excuse, optional
        Times in which the store was disturbed, for whichever host.
    excuses : sequence of Excuse, optional
        Times in which a host is not bound.
    """
    violations = []
    for departure in departures:
        if _was_unstable(departure.at, contact_ms, unstable):
            continue
        for one in arrivals:
            if one.server != departure.server or one.attempt not in sent_at:
                continue
            at = sent_at[one.attempt]
            if (
                at - departure.at > drain_ms
                and not _was_unstable(at, contact_ms, unstable)
                and not _is_excused(one.host, at, excuses)
            ):
                violations.append(
                    f'{one.server} left at {departure.at} and got '
                    f'{one.attempt}, sent {at - departure.at} ms later'
                )
    return violations


def find_recovery_violations(
    tries: Sequence[FirstTry], cuts: Sequence[Cut], contact_ms: int
) -> list[str]:
    """Find cuts in which callers of the cut hosts were served far worse.

    From ``contact_ms`` after the hosts were cut off from all servers, first
    tries at these hosts are served less than two thirds as often as those at
    the others, and more than 10 and one in 50 of all first tries fail there.
    """
    violations = []
    for cut in cuts:
        own, others = count_tries(tries, cut, contact_ms)
        if not others:
            continue
        failed = len(own) - sum(own)
        is_worse = _compute_share(own) < MIN_SERVED_RATIO * _compute_share(
            others
        )
        allowed = FAILED_SLACK + FAILED_SHARE * (len(own) + len(others))
        if is_worse and failed > allowed:
            violations.append(
                f'hosts that were cut off at {cut.since} served {sum(own)} '
                f'of {len(own)} first tries, the others {sum(others)} of '
                f'{len(others)}'
            )
    return violations


def count_tries(
    tries: Sequence[FirstTry], cut: Cut, contact_ms: int
) -> tuple[list[bool], list[bool]]:
    """Return for the first tries at cut and other hosts if they were served.

    Parameters
    ----------
    tries : sequence of FirstTry
        First tries at all hosts.
    cut : Cut
        The cut.
    contact_ms : int
        Milliseconds from its start after which tries count.
    """
    counted = [
        one for one in tries if cut.since + contact_ms <= one.at <= cut.until
    ]
    return (
        [one.is_served for one in counted if one.host in cut.hosts],
        [one.is_served for one in counted if one.host not in cut.hosts],
    )


def _compute_share(served: Sequence[bool]) -> float:
    return sum(served) / len(served) if served else 1.0


def _was_unstable(
    at: int, contact_ms: int, unstable: Iterable[Excuse]
) -> bool:
    return any(
        one.since <= at and at - contact_ms <= one.until for one in unstable
    )


def find_crash_violations(
    arrivals: Sequence[Arrival],
    crashes: Sequence[Crash],
    contents: Mapping[str, str],
    contact_ms: int,
    excuses: Sequence[Excuse] = (),
) -> list[str]:
    """Find requests that were sent on although they crash servers.

    A request that crashes the servers that run it reaches servers in more than
    three retries, sent later than ``contact_ms`` after it has crashed the
    third one. Rerouting it to other servers counts like a retry.

    Parameters
    ----------
    arrivals, crashes : sequence
        What reached the servers, and their ends.
    contents : mapping of str to str
        Contents of the requests that crash servers, by id of the attempt.
    contact_ms : int
        Milliseconds after which a host is bound.
    excuses : sequence of Excuse, optional
        Times in which a host is not bound.
    """
    violations = []
    for content in sorted({one.content for one in crashes}):
        ends = sorted(one.at for one in crashes if one.content == content)
        if len(ends) < CRASHES_BEFORE_REFUSAL:
            continue
        bound_at = ends[CRASHES_BEFORE_REFUSAL - 1] + contact_ms
        late = [
            one
            for one in arrivals
            if contents.get(one.attempt) == content
            and one.kind not in {'probe', 'order'}
            and one.at > bound_at
            and not _is_excused(one.host, one.at, excuses)
        ]
        if len(late) > MAX_RETRIES_OF_CRASHES:
            violations.append(
                f'{content} reached servers {len(late)} times later than '
                f'{contact_ms} ms after it had crashed the third; '
                f'{len(ends)} ended in all'
            )
    return violations


def find_retry_violations(
    arrivals: Iterable[Arrival],
    requests: Mapping[str, SentRequest],
    window_ms: int,
    ratio: float,
    slack: float,
) -> list[str]:
    """Find services that got more retries in a window than the budget.

    The requests for a service are counted in the same window, the one before
    it or the one half a window before it, whichever has most.

    Parameters
    ----------
    arrivals : iterable of Arrival
        What reached the servers.
    requests : mapping of str to SentRequest
        Requests of callers by id of the attempt.
    window_ms : int
        Length of the window in milliseconds.
    ratio, slack : float
        Retries for each request, and further ones, of the whole fleet.
    """
    seen = set()
    retries: dict[str, list[int]] = {}
    for one in sorted(arrivals, key=lambda arrival: arrival.at):
        if one.kind != 'request' or one.attempt not in requests:
            continue
        if one.attempt in seen:
            service = requests[one.attempt].service
            retries.setdefault(service, []).append(one.at)
        seen.add(one.attempt)
    violations = []
    for service, times in sorted(retries.items()):
        sent = sorted(
            one.sent_at for one in requests.values() if one.service == service
        )
        excess, end = max(
            (
                _count_between(times, at - window_ms, at)
                - slack
                - ratio
                * max(
                    _count_between(sent, at - age - window_ms, at - age)
                    for age in (0, window_ms // 2, window_ms)
                ),
                at,
            )
            for at in times
        )
        if excess > 0:
            violations.append(
                f'{service} got {excess:.0f} retries beyond the budget in '
                f'the {window_ms} ms before {end}'
            )
    return violations


def _count_between(times: Sequence[int], since: int, until: int) -> int:
    """Count sorted times after ``since`` and up to ``until``."""
    return bisect.bisect_right(times, until) - bisect.bisect_right(
        times, since
    )


def find_denial_violations(
    denials: Iterable[Denial],
    versions: Sequence[Version],
    request_count: int,
    configuration_ms: int,
    contact_ms: int,
    disturbances: Sequence[Excuse] = (),
) -> list[str]:
    """Find requests that were denied although the configuration allows them.

    A host without a disturbance in the last ``contact_ms`` denies nothing that
    all versions allow which may be in force: the newest one acknowledged
    ``configuration_ms`` before the request was sent, and any later one. Where
    an older version explains a denial, one is too many; otherwise 5 and one in
    500 of all requests are accepted. The other hosts deny at most ten
    requests that all versions allow.

    Parameters
    ----------
    denials : iterable of Denial
        What hosts denied.
    versions : sequence of Version
        All versions, in their order.
    request_count : int
        Number of all requests.
    configuration_ms : int
        Time after which a version must be in force, in milliseconds.
    contact_ms : int
        Time after a disturbance for which a host is excused, in milliseconds.
    disturbances : sequence of Excuse, optional
        Disturbances of hosts; an empty host stands for the store.

    Returns
    -------
    list of str
        One line for each violation.
    """
    outdated, denied, denied_elsewhere = [], 0, 0
    for denial in denials:
        if _is_in_touch(
            denial.host, denial.sent_at, denial.at, contact_ms, disturbances
        ):
            may_apply = _list_applicable(denial, versions, configuration_ms)
            if not _do_all_allow(denial, may_apply):
                continue
            denied += 1
            if any(
                denial.target not in one.allowed
                for one in versions
                if one.number < may_apply[0].number
            ):
                outdated.append(
                    f'{denial.host} denied {denial.target} with '
                    f'{denial.status} at {denial.at} as only versions before '
                    f'{may_apply[0].number} allow'
                )
        elif _do_all_allow(denial, versions):
            denied_elsewhere += 1
    if denied > DENIED_SLACK + request_count * DENIED_SHARE:
        outdated.append(
            f'{denied} of {request_count} requests were denied by hosts in '
            'touch although they are proper'
        )
    if denied_elsewhere > MAX_DENIED_ELSEWHERE:
        outdated.append(
            f'{denied_elsewhere} proper requests were denied by hosts that '
            'are out of touch'
        )
    return outdated


def find_late_versions(
    applied: Iterable[InForce],
    versions: Sequence[Version],
    configuration_ms: int,
    contact_ms: int,
    disturbances: Sequence[Excuse] = (),
) -> list[str]:
    """Find hosts in touch that apply a version for too long.

    Parameters
    ----------
    applied : iterable of InForce
        What hosts applied at some times.
    versions, configuration_ms, contact_ms, disturbances
        See `find_denial_violations`.

    Returns
    -------
    list of str
        One line for each host and version.
    """
    late = {}
    for one in applied:
        due = _find_due(one.at, versions, configuration_ms)
        if one.number < due and _is_in_touch(
            one.host, one.at, one.at, contact_ms, disturbances
        ):
            late.setdefault(
                (one.host, one.number),
                f'{one.host} applies version {one.number} at {one.at}, '
                f'where {due} is due',
            )
    return list(late.values())


def _is_in_touch(
    host: str,
    since: int,
    until: int,
    contact_ms: int,
    disturbances: Iterable[Excuse],
) -> bool:
    return not any(
        one.host in {'', host}
        and one.since <= until
        and since <= one.until + contact_ms
        for one in disturbances
    )


def _find_due(
    at: int, versions: Sequence[Version], configuration_ms: int
) -> int:
    """Return the number of the version that is due at a time."""
    return max(
        (
            one.number
            for one in versions
            if one.acknowledged_at + configuration_ms < at
        ),
        default=versions[0].number,
    )


def _list_applicable(
    denial: Denial, versions: Sequence[Version], configuration_ms: int
) -> list[Version]:
    """List the versions that may apply to a request."""
    in_force = _find_due(denial.sent_at, versions, configuration_ms)
    return [
        one
        for one in versions
        if one.number >= in_force and one.sent_at <= denial.at
    ]


def _do_all_allow(denial: Denial, versions: Iterable[Version]) -> bool:
    return all(denial.target in one.allowed for one in versions)


def _list_limited_periods(
    answers: Sequence[Answer],
) -> list[tuple[int, int, list[tuple[int, float]]]]:
    """List start, end and limits of the periods in which a server names one.

    A period ends with the first answer without a limit.
    """
    periods: list[tuple[int, int, list[tuple[int, float]]]] = []
    limits: list[tuple[int, float]] = []
    for one in answers:
        if one.limit_per_s is not None:
            limits.append((one.at, one.limit_per_s))
        elif limits:
            periods.append((limits[0][0], one.at, limits))
            limits = []
    if limits:
        periods.append((limits[0][0], 2**62, limits))
    return periods


def _find_told(
    answers: Sequence[Answer], since: int, until: int
) -> dict[str, int]:
    """Return when each host first got an answer that named a limit."""
    told: dict[str, int] = {}
    for one in answers:
        if one.limit_per_s is not None and since <= one.at <= until:
            told.setdefault(one.host, one.at)
    return told


def _is_excused(host: str, at: int, excuses: Iterable[Excuse]) -> bool:
    return any(
        one.host == host and one.since <= at <= one.until for one in excuses
    )


def _check_windows(
    server: str, counted: list[int], limits: list[tuple[int, float]]
) -> list[str]:
    for index, start in enumerate(counted):
        end = start + WINDOW_MS
        count = sum(start <= at < end for at in counted[index:])
        allowed = LIMIT_FACTOR * _sum_allowed(limits, start, end) + LIMIT_SLACK
        if count > allowed:
            return [
                f'{server} named a limit and got {count} requests in 4 s at '
                f'{start}; allowed {allowed:.1f}'
            ]
    return []


def _sum_allowed(
    limits: list[tuple[int, float]], start: int, end: int
) -> float:
    """Return the requests that the named limits allow in a window."""
    total = 0.0
    for index, (at, per_s) in enumerate(limits):
        following = limits[index + 1][0] if index + 1 < len(limits) else end
        from_ms = start if index == 0 else max(start, at)
        total += per_s * max(0, min(end, following) - from_ms) / 1000
    return total
