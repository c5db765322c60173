"""Parts of prompts that requests share, and parts that crash engines."""

from __future__ import annotations

import math
import random
import re

import attrs

from tests import part_rules
from tests.application.routing import builders
from tests.simulation import engines
from tests.simulation import loops

ROUTE = '/brief/'
KEY = 'key-1'
OTHER_KEY = 'key-2'
FIRST = 'first'
MIDDLE_PARTS = 4
TOKENS = 100.0
"""Tokens of the answers to requests with a part that crashes engines."""

INTERVAL_MS = 650
"""Mean interval of requests with such a part, at all entries together."""

MAX_RETRY_AFTER_MS = 6_600
"""Longest time for which callers honour Retry-After.

They do so up to a third of the 20 s that they wait.
"""

_EVENT = re.compile(rb'id: (\d+)\n')


@attrs.define
class Sent:
    """Requests of callers whose prompts have a part that crashes engines.

    Attributes
    ----------
    parts : dict of str to tuple of str
        Parts of their prompts, by id of the attempt.
    attempts : list of part_rules.FirstAttempt
        Their first attempts.
    disordered : list of str
        Attempts whose events were missing, duplicated or out of order.
    """

    parts: dict = attrs.field(factory=dict)
    attempts: list = attrs.field(factory=list)
    disordered: list = attrs.field(factory=list)


def list_parts(number):
    """List the shared parts of the prompt of a sound request.

    Most have the same first part, and some have a second one in common; few
    have another first part or no parts.
    """
    if number % 7 == 0:
        return ()
    middle = f'middle-{number % MIDDLE_PARTS}'
    return ('other-first' if number % 6 == 0 else FIRST, middle)


def build_attempt(sent_at, host, reply, number):
    """Build the first attempt of a sound request."""
    return part_rules.FirstAttempt(
        sent_at, host, ROUTE, KEY, list_parts(number), reply.status == 200
    )


def is_in_order(reply, answer):
    """Return whether a reply has the events of an answer, in their order."""
    if reply.status != 200:
        return True
    numbers = [int(one) for one in _EVENT.findall(reply.body)]
    count = max(1, math.ceil(answer / engines.STEPS_PER_EVENT))
    return numbers == list(range(len(numbers))) and (
        len(numbers) == count or reply.aborted
    )


def compute_backoff(reply):
    """Compute for how long a caller honours a refusal, in milliseconds."""
    return min(reply.retry_after_ms or 500, MAX_RETRY_AFTER_MS)


def send_part(
    seed,
    sent,
    part='bad',
    place=1,
    at_ms=5_000,
    crashes_at_ms=0,
    key=KEY,
    count_invented=0,
    middle='',
):
    """Return a fault in which requests with a part of their prompts crash.

    They come at any entry, and no two are alike except for repeats after a
    refusal. They share their other parts with sound requests.

    Parameters
    ----------
    seed : int
        Seed of all choices.
    sent : Sent
        Extended by each attempt.
    part : str, optional
        The part.
    place : int, optional
        Its place among the shared parts.
    at_ms : int, optional
        Virtual milliseconds from the start of the load to the first one.
    crashes_at_ms : int, optional
        Virtual milliseconds from then on to the time at which the part
        begins to crash engines.
    key : str, optional
        Key of their caller.
    count_invented : int, optional
        Further parts of each request that no other request has.
    middle : str, optional
        Part of sound requests that all of them name; by default they differ.
    """

    async def send(simulated):
        source = random.Random(f'{seed} {part}')
        await loops.sleep_ms(at_ms)
        simulated.engines.start_task(_turn_bad(simulated, part, crashes_at_ms))
        while True:
            number = len(sent.parts)
            drawn = f'middle-{source.randrange(MIDDLE_PARTS)}'
            shared = [FIRST, middle or drawn]
            shared.insert(place, part)
            invented = [f'{part}-{number}-{i}' for i in range(count_invented)]
            simulated.engines.start_task(
                _send_one(simulated, sent, source, key, (*shared, *invented))
            )
            await loops.sleep_ms(source.expovariate(1.0 / INTERVAL_MS))

    return send


async def _turn_bad(simulated, part, delay_ms):
    await loops.sleep_ms(delay_ms)
    simulated.engines.crashing_parts.add(part)


async def _send_one(simulated, sent, source, key, parts):
    """Send a request, and once more if it is refused."""
    body = b'%s %d' % (parts[1].encode(), len(sent.parts))
    for attempt in range(2):
        entry = simulated.choose_entry(source)
        name = f'part-{len(sent.parts)}'
        sent.parts[name] = parts
        simulated.engines.output_tokens[name] = TOKENS
        sent_at = simulated.clock.now()
        reply = builders.FakeResponseWriter()
        entry.intake.serve(
            builders.build_request(
                f'{ROUTE}x',
                id=name,
                body=body,
                key=key,
                arrived_at=sent_at,
                prompt_tokens=500.0,
                output_tokens=TOKENS,
                prompt_parts=parts,
            ),
            reply,
        )
        while not (reply.whole or reply.aborted):
            await loops.sleep_ms(5)
        if not attempt:
            sent.attempts.append(
                part_rules.FirstAttempt(
                    sent_at, entry.host, ROUTE, key, parts, reply.status == 200
                )
            )
        if not is_in_order(reply, TOKENS):
            sent.disordered.append(name)
        if reply.status != 503:
            return
        await loops.sleep_ms(compute_backoff(reply))


def start_later(at_ms, *faults):
    """Return a fault that begins several ones after a time."""

    async def start(simulated):
        await loops.sleep_ms(at_ms)
        for fault in faults:
            simulated.engines.start_task(fault(simulated))

    return start
