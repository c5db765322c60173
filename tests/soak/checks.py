"""What must hold, from what callers saw and back ends ran."""

from __future__ import annotations

import typing

from standins import kv_fleet
from tests.soak import callers

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

NOT_RUN = frozenset({408, 421, 429, 503})
REVOKED_S = 5.0
"""Bound for withdrawn keys, in seconds."""

WORDS = [
    b'id: %d\ndata: word%d\n\n' % (number, number)
    for number in range(kv_fleet.EVENTS)
]
DRAFT = b''.join(WORDS)


def check_sendings(
    sendings: Iterable[callers.Sending],
    runs: dict[str, int],
    revoked_at: float | None,
) -> list[str]:
    """Check every request; returns what is wrong, one line each.

    Parameters
    ----------
    sendings : iterable of callers.Sending
        What callers saw.
    runs : dict of str to int
        Times that back ends ran each request.
    revoked_at : float or None
        When the store acknowledged that the second key is withdrawn.
    """
    wrong = []
    for one in sendings:
        ran = runs.get(one.id, 0)
        wrong += [f'{one.id} {line}' for line in _check_runs(one, ran)]
        wrong += [f'{one.id} {line}' for line in _check_answer(one, ran)]
        if (
            revoked_at is not None
            and one.key == callers.SOUTH_KEY
            and one.sent_at > revoked_at + REVOKED_S
            and ran
        ):
            late = one.sent_at - revoked_at
            wrong.append(f'{one.id} ran {late:.1f} s after its key was gone')
    return wrong


def _check_runs(one: callers.Sending, ran: int) -> list[str]:
    wrong = []
    if one.kind == 'hold' and ran > 1:
        wrong.append(f'is a hold and ran {ran} times')
    if one.kind == 'hold' and one.status in NOT_RUN and ran:
        wrong.append(f'is a hold, was told {one.status} and ran')
    return wrong


def _check_answer(one: callers.Sending, ran: int) -> list[str]:
    if one.status != 200:
        return []
    if not one.signed:
        return ['has a success without a signature']
    if one.kind != 'brief':
        whole = one.body.endswith(b' for north') or one.body.endswith(
            b' for south'
        )
        if one.whole and not (whole and ran):
            return [f'has the answer {one.body!r} and ran {ran} times']
        return []
    if one.whole and one.body != DRAFT:
        return [f'has a draft of {len(one.body)} bytes that looks whole']
    if not DRAFT.startswith(one.body):
        return ['has events that are missing, doubled or out of order']
    return []
