"""Builders of proposals, records and events of actions."""

from __future__ import annotations

import typing

from thornspool.domain.actions import events
from thornspool.domain.actions import keys
from thornspool.domain.actions import messages
from thornspool.domain.actions import records

DONE = records.Outcome(200, 'text/plain', b'held')


def build_grant(
    attempt: str = 'a1', name: str = 'swan/a', **changes: typing.Any
) -> messages.GrantRequest:
    """Build a grant request for a key of slot 4."""
    values: dict[str, typing.Any] = {
        'bucket': 0,
        'slot': 4,
        'name': name,
        'attempt': attempt,
        'runner': f'runner-{attempt}',
        'runner_address': 'tcp://127.0.0.1:7000',
        'digest': 'one',
    }
    values.update(changes)
    return messages.GrantRequest(**values)


def build_outcome(
    attempt: str = 'a1', outcome: records.Outcome = DONE
) -> messages.OutcomeRecord:
    """Build a proposal to record an outcome."""
    return messages.OutcomeRecord(0, 4, 'swan/a', attempt, outcome)


def build_release(attempt: str = 'a1') -> messages.GrantRelease:
    """Build a proposal to release a grant."""
    return messages.GrantRelease(0, 4, 'swan/a', attempt)


def build_requested(
    attempt: str = 'a1', **changes: typing.Any
) -> events.ActionRequested:
    """Build the event of a caller's request with a deadline at 100 ms."""
    values: dict[str, typing.Any] = {
        'attempt': attempt,
        'address': keys.PageAddress(0, 4),
        'name': 'swan/a',
        'digest': 'one',
        'deadline': 100,
    }
    values.update(changes)
    return events.ActionRequested(**values)
