"""Measure how long callers wait after kills, outages and publications.

Real processes on loopback. A process is ended by SIGKILL, so that its
connections are refused at once; in the kinds that are named silent it is
stopped by SIGSTOP in place of a host that vanishes without a reset. Times
are those of the wall, seen from the caller.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import signal
import sys
import time
import typing

import attrs

from thornspool import clock
from thornspool.application import ports
from thornspool.application.ledger import router as ledger_router
from thornspool.domain.actions import keys
from tools import bench_deployment
from tools import processes
from tools import requester
from tools import samples as samples_module

ENTRIES = 5
CHAINS = 3
STAGE_KILLS = 12
ENTRY_KILLS = 10
OWNER_KILLS = 8
SILENCES = 4
OUTAGES = 6
CHANGES = 30
TOKENS = 120
KILL_AFTER_TOKENS = 20
SEED = 20261202
OUTAGE_S = 2.0
PAUSE_S = 0.02
POLL_S = 0.01
WARM_S = 0.3
POLLED_S = 2.0
LIMIT_S = 15.0

Session = bench_deployment.Session
Deployment = bench_deployment.Deployment
Figures = dict[str, typing.Any]


@attrs.frozen
class Run:
    """What every measurement needs.

    Attributes
    ----------
    session : Session
        Client.
    deployment : Deployment
        The processes.
    random : random.Random
        Source of keys.
    """

    session: Session
    deployment: Deployment
    random: random.Random


async def measure_stage(run: Run) -> samples_module.Samples:
    """Kill an engine in mid-stream, first and last stage by turns."""
    samples = samples_module.Samples()
    for number in range(STAGE_KILLS):
        samples.add(await _end_stage(run, number, signal.SIGKILL))
    return samples


async def measure_stage_silent(run: Run) -> samples_module.Samples:
    """Stop an engine in mid-stream, so that its connections stay open."""
    samples = samples_module.Samples()
    for number in range(SILENCES):
        samples.add(await _end_stage(run, number, signal.SIGSTOP))
    return samples


async def measure_start_silent(run: Run) -> samples_module.Samples:
    """Stop an engine; each entry is sent a request just after.

    Each gives one figure: its first token after the stop.
    """
    samples = samples_module.Samples()
    for number in range(SILENCES):
        place = number % len(bench_deployment.STAGES)
        victim = f'engine-{number % CHAINS}-{place}'
        stopped = run.deployment.targets[victim]
        stopped.send_signal(signal.SIGSTOP)
        values = await asyncio.gather(
            *(
                _wait_first_token(run, entry, f'Bid {number}')
                for entry in run.deployment.entries
            )
        )
        for value in values:
            samples.add(value)
        await _restart_engine(run, victim)
    return samples


async def _wait_first_token(
    run: Run, entry: processes.Process, prompt: str
) -> float | None:
    """Return the milliseconds from a request to its first token."""
    started = time.perf_counter()
    arrivals: list[float] = []

    def take(chunk: bytes) -> None:
        if b'event: tokens' in chunk:
            arrivals.append(time.perf_counter())

    body = json.dumps({'prompt': prompt, 'max_tokens': KILL_AFTER_TOKENS})
    await run.session.send(
        'POST',
        entry.ready['callers'] + bench_deployment.GENERATE_PATH,
        body.encode(),
        on_chunk=take,
        timeout_s=LIMIT_S,
    )
    return (arrivals[0] - started) * 1000 if arrivals else None


async def _restart_engine(run: Run, name: str) -> None:
    """Start an engine in the place of one, and let entries hear of it."""
    deployment = run.deployment
    killed = deployment.targets[name]
    await asyncio.to_thread(killed.kill)
    port = int(killed.ready['url'].rsplit(':', 1)[1])
    await asyncio.to_thread(deployment.start_engine, name, port)
    await asyncio.sleep(POLLED_S)


async def _end_stage(
    run: Run, number: int, how: signal.Signals
) -> float | None:
    deployment = run.deployment
    known = {line['request'] for _, line in await _read_counts(run)}
    arrivals: list[float] = []
    received = bytearray()
    enough = asyncio.Event()

    def take(chunk: bytes) -> None:
        received.extend(chunk)
        if b'event: tokens' in chunk:
            arrivals.append(time.perf_counter())
        if received.count(b'event: tokens') >= KILL_AFTER_TOKENS:
            enough.set()

    entry = deployment.entries[number % len(deployment.entries)]
    body = json.dumps({'prompt': f'Slot {number}', 'max_tokens': TOKENS})
    stream = asyncio.ensure_future(
        run.session.send(
            'POST',
            entry.ready['callers'] + bench_deployment.GENERATE_PATH,
            body.encode(),
            on_chunk=take,
            timeout_s=LIMIT_S,
        )
    )
    await asyncio.wait_for(enough.wait(), LIMIT_S)
    place = number % len(bench_deployment.STAGES)
    victim = next(
        name
        for name, line in await _read_counts(run)
        if line['request'] not in known and name.endswith(f'-{place}')
    )
    killed = deployment.targets[victim]
    killed_at = time.perf_counter()
    killed.send_signal(how)
    await stream
    await asyncio.to_thread(killed.kill)
    port = int(killed.ready['url'].rsplit(':', 1)[1])
    await asyncio.to_thread(deployment.start_engine, victim, port)
    if not is_whole(bytes(received)):
        return None
    return samples_module.find_recovery_ms(arrivals, killed_at)


async def _read_counts(run: Run) -> list[tuple[str, typing.Any]]:
    """Read what each engine computed so far."""
    engines = run.deployment.list_engines()
    answers = await asyncio.gather(
        *(
            run.session.read_json(f'{one.ready["url"]}/control/counts')
            for one in engines.values()
        )
    )
    return [
        (name, line)
        for name, lines in zip(engines, answers, strict=True)
        for line in lines
    ]


def is_whole(body: bytes) -> bool:
    """Tell whether a stream holds each token once, in order, and its end."""
    events = requester.read_events(body)
    indexes = [
        data['first_index'] + place
        for name, data in events
        if name == 'tokens'
        for place in range(len(data['texts']))
    ]
    return indexes == list(range(TOKENS)) and events[-1][0] == 'end'


async def measure_entry(run: Run) -> samples_module.Samples:
    """Kill the entry that a caller uses; it goes on at the next address."""
    samples = samples_module.Samples()
    for _ in range(ENTRY_KILLS):
        used = run.deployment.entries[0]
        listed = await run.session.read_json(
            f'{used.ready["callers"]}/v1/entries'
        )
        others = [one['url'] for one in listed['entries']]
        urls = [
            used.ready['callers'],
            *(url for url in others if url != used.ready['callers']),
        ]
        killed_at = time.perf_counter()
        used.popen.kill()
        done_at = await _use_another(run, urls, killed_at + LIMIT_S)
        samples.add(None if done_at is None else (done_at - killed_at) * 1000)
        await _replace(run, used)
    return samples


async def _use_another(run: Run, urls: list[str], end: float) -> float | None:
    """Go through the addresses until a call and an action succeeded."""
    key = bench_deployment.make_key(run.random)
    called = acted = resent = False
    for url in itertools.cycle(urls):
        if not called:
            response = await run.session.send(
                'POST', url + bench_deployment.CALL_PATH, b'{}'
            )
            called = response.code == 200
        if called and not acted:
            response = await run.session.act(url, key, resent)
            acted = response.code == 200
            resent = True
        now = time.perf_counter()
        if called and acted:
            return now
        if now > end:
            return None
    return None


async def _replace(run: Run, killed: processes.Process) -> None:
    """Start an entry in the place of one that was killed."""
    deployment = run.deployment
    await asyncio.to_thread(killed.kill)
    deployment.entries.remove(killed)
    await asyncio.to_thread(deployment.start_entry)
    await bench_deployment.wait_settled(run.session, deployment)


async def measure_page_owner(run: Run) -> samples_module.Samples:
    """Kill the preferred writer of a page while actions run on it.

    Each other entry gives one figure: its own first success after the kill.
    """
    samples = samples_module.Samples()
    for _ in range(OWNER_KILLS):
        for value in await _end_page_owner(run, signal.SIGKILL):
            samples.add(value)
    return samples


async def measure_page_owner_silent(run: Run) -> samples_module.Samples:
    """Stop the preferred writer of a page while actions run on it."""
    samples = samples_module.Samples()
    for _ in range(SILENCES):
        for value in await _end_page_owner(run, signal.SIGSTOP):
            samples.add(value)
    return samples


async def _end_page_owner(run: Run, how: signal.Signals) -> list[float | None]:
    wall = clock.Clock().wall()
    layout = keys.Layout()
    bucket = run.random.randrange(layout.buckets)
    page = keys.PageAddress(bucket, wall // layout.slot_ms)
    owner = find_writer(run.deployment.entries, page)

    def make_key() -> str:
        return _make_page_key(run.random, wall, page)

    killed_at: asyncio.Future[float] = asyncio.Future()
    loops = [
        asyncio.ensure_future(
            _act_until_success(run, one, make_key, killed_at)
        )
        for one in run.deployment.entries
        if one is not owner
    ]
    await asyncio.sleep(WARM_S)
    killed = time.perf_counter()
    owner.send_signal(how)
    killed_at.set_result(killed)
    values = await asyncio.gather(*loops)
    await _replace(run, owner)
    return values


def find_writer(
    entries: list[processes.Process], page: keys.PageAddress
) -> processes.Process:
    """Return the entry that is asked first to write a page."""
    members = [
        ports.Member(one.ready['incarnation'], '', '', '', '', '')
        for one in entries
    ]
    chosen = ledger_router.choose_writer(members, page.bucket, page.slot)
    if chosen is None:
        raise ValueError('There are no entries.')
    return entries[members.index(chosen)]


def _make_page_key(
    random_source: random.Random, wall: int, page: keys.PageAddress
) -> str:
    """Make a key whose record belongs to a page."""
    while True:
        text = bench_deployment.make_key(random_source, wall)
        key = keys.parse_key(bench_deployment.WORKSPACE, text, wall)
        if keys.locate_page(key, keys.Layout()) == page:
            return text


async def _act_until_success(
    run: Run,
    entry: processes.Process,
    make_key: typing.Callable[[], str],
    event_at: asyncio.Future[float],
) -> float | None:
    """Send actions one after another until one begun after an event succeeds.

    Each has a key of its own, as those of independent callers.
    """
    url = entry.ready['callers']
    while True:
        started = time.perf_counter()
        response = await run.session.act(url, make_key())
        succeeded = response.code == 200
        if event_at.done():
            waited = time.perf_counter() - event_at.result()
            if succeeded and started >= event_at.result():
                return waited * 1000
            if waited > LIMIT_S:
                return None
        await asyncio.sleep(PAUSE_S)


async def measure_platform(run: Run) -> samples_module.Samples:
    """Take the platform down for a while and bring it back.

    Each entry gives one figure: its first success after the return.
    """
    samples = samples_module.Samples()
    for _ in range(OUTAGES):
        await _set_down(run, True)
        back_at: asyncio.Future[float] = asyncio.Future()
        loops = [
            asyncio.ensure_future(
                _act_until_success(
                    run,
                    one,
                    lambda: bench_deployment.make_key(run.random),
                    back_at,
                )
            )
            for one in run.deployment.entries
        ]
        await asyncio.sleep(OUTAGE_S)
        returned = time.perf_counter()
        await _set_down(run, False)
        back_at.set_result(returned)
        for value in await asyncio.gather(*loops):
            samples.add(value)
    return samples


async def _set_down(run: Run, is_down: bool) -> None:
    url = f'{run.deployment.platform.ready["url"]}/control/faults'
    body = json.dumps({'down': is_down}).encode()
    response = await run.session.send('POST', url, body)
    if response.code != 200:
        raise ConnectionError(f'{url}: {response.code}')


async def measure_configuration(run: Run) -> samples_module.Samples:
    """Publish small changes and wait until every entry reports each.

    The time runs from the sending of the publication, so that it holds the
    time until acceptance as well.
    """
    samples = samples_module.Samples()
    entries = run.deployment.entries
    version = await bench_deployment.read_version(run.session, entries[0])
    workspace = run.deployment.documents[0]
    for number in range(CHANGES):
        changed = {**workspace, 'limits': {'requests_per_s': 1_000 + number}}
        started = time.perf_counter()
        waiting = [
            asyncio.ensure_future(_wait_version(run, one, version + 1))
            for one in entries
        ]
        await bench_deployment.publish(
            run.session, entries[number % len(entries)], [changed], version
        )
        seen = await asyncio.gather(*waiting)
        version += 1
        reached = [one for one in seen if one is not None]
        complete = len(reached) == len(seen)
        samples.add((max(reached) - started) * 1000 if complete else None)
    return samples


async def _wait_version(
    run: Run, entry: processes.Process, version: int
) -> float | None:
    """Return the second at which an entry reports a version or a later."""
    end = time.perf_counter() + LIMIT_S
    while time.perf_counter() < end:
        found = await bench_deployment.read_version(run.session, entry)
        if found >= version:
            return time.perf_counter()
        await asyncio.sleep(POLL_S)
    return None


MEASUREMENTS = {
    'stage': measure_stage,
    'stage_silent': measure_stage_silent,
    'start_silent': measure_start_silent,
    'entry': measure_entry,
    'page_owner': measure_page_owner,
    'page_owner_silent': measure_page_owner_silent,
    'platform': measure_platform,
    'config_in_force': measure_configuration,
}


def measure_recovery(
    names: typing.Iterable[str] = tuple(MEASUREMENTS),
) -> dict[str, Figures]:
    """Measure some or all kinds of recovery, each in a new deployment.

    Parameters
    ----------
    names : iterable of str, optional
        Of ``MEASUREMENTS``.

    Returns
    -------
    dict of str to Figures
        Milliseconds by kind, with the numbers of tries.
    """
    return {name: asyncio.run(_measure(name)) for name in names}


async def _measure(name: str) -> Figures:
    with processes.open_processes() as scope:
        deployment = bench_deployment.start_deployment(scope, ENTRIES, CHAINS)
        session = Session()
        run = Run(session, deployment, random.Random(SEED))
        try:
            first = deployment.entries[0]
            await bench_deployment.publish(
                session, first, deployment.documents, 0
            )
            await bench_deployment.wait_settled(session, deployment)
            return (await MEASUREMENTS[name](run)).sum_up()
        finally:
            session.close()


def main() -> int:
    """Print one JSON object; names of measurements may be given."""
    names = sys.argv[1:] or tuple(MEASUREMENTS)
    print(json.dumps(measure_recovery(names)))
    return 0


if __name__ == '__main__':
    sys.exit(main())
