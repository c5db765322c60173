"""Rules on requests that share a part of their prompts which crashes engines.

Such requests must soon reach no engine any more, and sound requests of the
same callers and with the same other parts must be served meanwhile. All times
are milliseconds of one clock.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from tests import engine_rules

CRASHES_BEFORE_REFUSAL = 5
MAX_LATE_ARRIVALS = 3
MIN_ATTEMPTS = 20
"""First attempts from which on a share of them counts."""

MIN_BEGUN_RATIO = 1 / 2


@attrs.frozen
class FirstAttempt:
    """First attempt of a model request.

    Attributes
    ----------
    at : int
        Time at which the caller sent it.
    host : str
        Host to which it was sent.
    route, key : str
        Its route, and the key of its caller.
    parts : tuple of str
        Parts of its prompt that other requests may share, in order.
    has_begun : bool
        Whether its answer began.
    """

    at: int
    host: str
    route: str
    key: str
    parts: tuple[str, ...]
    has_begun: bool


@attrs.frozen
class Comparison:
    """Sound first attempts inside and outside the time of a crashing part.

    Attributes
    ----------
    group : str
        What the attempts share with the requests that crash engines.
    during, outside : tuple of bool
        For each attempt whether its answer began.
    """

    group: str
    during: tuple[bool, ...]
    outside: tuple[bool, ...]

    @property
    def is_withheld(self) -> bool:
        """Whether the answers began less than half as often as outside."""
        if min(len(self.during), len(self.outside)) < MIN_ATTEMPTS:
            return False
        share = sum(self.during) / len(self.during)
        return share < MIN_BEGUN_RATIO * sum(self.outside) / len(self.outside)


def find_part_violations(
    arrivals: Sequence[engine_rules.Arrival],
    crashes: Sequence[engine_rules.Crash],
    parts: Mapping[str, Iterable[str]],
    contact_ms: int,
    excuses: Sequence[engine_rules.Excuse] = (),
) -> list[str]:
    """Find parts that reached engines on and on although they crash them.

    Requests with a part that crashes engines, new ones or repeats, reach
    engines more than three times later than ``contact_ms`` after the fifth
    crash. Rerouting one to other engines counts as well.

    Parameters
    ----------
    arrivals, crashes : sequence
        What reached the engines, and their ends; the content of a crash is
        the part that has caused it.
    parts : mapping of str to iterable of str
        Parts of the prompts of the requests, by id of the attempt.
    contact_ms : int
        Milliseconds after which a host is bound.
    excuses : sequence of engine_rules.Excuse, optional
        Times in which a host is not bound.

    Returns
    -------
    list of str
        One line for each part.
    """
    violations = []
    for part in sorted({one.content for one in crashes}):
        ends = _list_ends(crashes, part)
        if len(ends) < CRASHES_BEFORE_REFUSAL:
            continue
        bound_at = ends[CRASHES_BEFORE_REFUSAL - 1] + contact_ms
        late = [
            one
            for one in arrivals
            if part in parts.get(one.attempt, ())
            and one.kind not in {'probe', 'order'}
            and one.at > bound_at
            and not _is_excused(one.host, one.at, excuses)
        ]
        if len(late) > MAX_LATE_ARRIVALS:
            violations.append(
                f'requests with the part {part} reached engines {len(late)} '
                f'times later than {contact_ms} ms after it had crashed the '
                f'fifth; {len(ends)} ended in all'
            )
    return violations


def find_withheld_violations(
    attempts: Sequence[FirstAttempt],
    crashes: Sequence[engine_rules.Crash],
    contact_ms: int,
    excuses: Sequence[engine_rules.Excuse] = (),
    disruptions: Sequence[tuple[int, int]] = (),
) -> list[str]:
    """Find sound requests that are served worse beside a crashing part.

    From two ``contact_ms`` after the fifth crash, or the last if there are
    fewer, while requests with the part still come, the answers of sound
    requests of their route with the same key or the same first part begin at
    the first attempt less than half as often as outside disruptions. Twenty
    attempts inside and outside are needed.

    Parameters
    ----------
    attempts : sequence of FirstAttempt
        First attempts of all requests, sound or not.
    crashes : sequence of engine_rules.Crash
        Ends of engines; the content is the part that has caused it.
    contact_ms : int
        Milliseconds after which a host is bound.
    excuses : sequence of engine_rules.Excuse, optional
        Times in which a host is not bound.
    disruptions : sequence of tuple of int, optional
        Starts and ends of times of other disruptions, which show nothing
        about undisturbed service.

    Returns
    -------
    list of str
        One line for each part and group of requests.
    """
    return [
        f'beside the part {part}, answers of sound requests with the same '
        f'{one.group} began for {sum(one.during)} of {len(one.during)} first '
        f'attempts; {sum(one.outside)} of {len(one.outside)} otherwise'
        for part in sorted({one.content for one in crashes})
        for one in compare_attempts(
            part, attempts, crashes, contact_ms, excuses, disruptions
        )
        if one.is_withheld
    ]


def compare_attempts(
    part: str,
    attempts: Sequence[FirstAttempt],
    crashes: Sequence[engine_rules.Crash],
    contact_ms: int,
    excuses: Sequence[engine_rules.Excuse] = (),
    disruptions: Sequence[tuple[int, int]] = (),
) -> list[Comparison]:
    """Compare first attempts of sound requests, by what they share.

    The groups are the requests with the same key, with the same first part,
    and with either. See `find_withheld_violations` for the parameters.
    """
    crashing = {one.content for one in crashes}
    first_at = min(one.at for one in crashes)
    ends = _list_ends(crashes, part)
    since = ends[:CRASHES_BEFORE_REFUSAL][-1] + 2 * contact_ms
    coming = [
        one for one in attempts if part in one.parts and one.at >= ends[0]
    ]
    until = max((one.at for one in coming), default=since)
    restored_at = max(one.at for one in crashes) + 2 * contact_ms
    keys = {(one.route, one.key) for one in coming}
    first_parts = {(one.route, one.parts[0]) for one in coming}
    sound = [
        one
        for one in attempts
        if not crashing.intersection(one.parts)
        and not _is_excused(one.host, one.at, excuses)
    ]
    comparisons = []
    for group, is_related in (
        ('key', lambda one: (one.route, one.key) in keys),
        ('first part', lambda one: _name_first(one) in first_parts),
        (
            'key or first part',
            lambda one: (
                (one.route, one.key) in keys or _name_first(one) in first_parts
            ),
        ),
    ):
        related = [one for one in sound if is_related(one)]
        comparisons.append(
            Comparison(
                group,
                tuple(
                    one.has_begun
                    for one in related
                    if since <= one.at <= until
                ),
                tuple(
                    one.has_begun
                    for one in related
                    if not first_at <= one.at <= max(until, restored_at)
                    and not _is_disrupted(one.at, contact_ms, disruptions)
                ),
            )
        )
    return comparisons


def _name_first(attempt: FirstAttempt) -> tuple[str, str]:
    return attempt.route, attempt.parts[0] if attempt.parts else ''


def _list_ends(crashes: Iterable[engine_rules.Crash], part: str) -> list[int]:
    return sorted(one.at for one in crashes if one.content == part)


def _is_disrupted(
    at: int, contact_ms: int, disruptions: Iterable[tuple[int, int]]
) -> bool:
    return any(
        since <= at <= until + contact_ms for since, until in disruptions
    )


def _is_excused(
    host: str, at: int, excuses: Iterable[engine_rules.Excuse]
) -> bool:
    return any(
        one.host == host and one.since <= at <= one.until for one in excuses
    )
