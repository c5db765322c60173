"""Measure the time that callers wait after kills, outages and publications.

Real processes on loopback. SIGKILL ends a process, so that its connections
are refused at once. The measurements named ``silent`` suspend it with SIGSTOP
instead, as with a host that disappears without a TCP reset. Times are wall
times at the caller.
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
SUSPENSIONS = 4
PLATFORM_OUTAGES = 6
PUBLICATIONS = 30
TOKENS = 120
KILL_AFTER_TOKENS = 20
SEED = 20261202
OUTAGE_S = 2.0
ACTION_INTERVAL_S = 0.02
VERSION_POLL_S = 0.01
WARM_UP_S = 0.3
LOAD_POLL_WAIT_S = 2.0
TIMEOUT_S = 15.0

Session = bench_deployment.Session
Deployment = bench_deployment.Deployment
Figures = dict[str, typing.Any]


@attrs.frozen
class Environment:
    """Environment of a measurement.

    Attributes
    ----------
    session : Session
        HTTP client.
    deployment : Deployment
        The processes.
    random : random.Random
        Random source for keys.
    """

    session: Session
    deployment: Deployment
    random: random.Random


async def measure_stage(environment: Environment) -> samples_module.Samples:
    """Kill an engine in mid-stream, alternating first and last stage."""
    samples = samples_module.Samples()
    for number in range(STAGE_KILLS):
        samples.add(await _fail_stage(environment, number, signal.SIGKILL))
    return samples


async def measure_stage_silent(
    environment: Environment,
) -> samples_module.Samples:
    """Suspend an engine in mid-stream, so that its connections stay open."""
    samples = samples_module.Samples()
    for number in range(SUSPENSIONS):
        samples.add(await _fail_stage(environment, number, signal.SIGSTOP))
    return samples


async def measure_start_silent(
    environment: Environment,
) -> samples_module.Samples:
    """Suspend an engine and send each entry a request directly after.

    Each entry gives one sample: the time to its first token.
    """
    samples = samples_module.Samples()
    for number in range(SUSPENSIONS):
        stage = number % len(bench_deployment.STAGES)
        victim = f'engine-{number % CHAINS}-{stage}'
        stopped = environment.deployment.targets[victim]
        stopped.send_signal(signal.SIGSTOP)
        values = await asyncio.gather(
            *(
                _wait_first_token(environment, entry, f'Bid {number}')
                for entry in environment.deployment.entries
            )
        )
        for value in values:
            samples.add(value)
        await _restart_engine(environment, victim)
    return samples


async def _wait_first_token(
    environment: Environment, entry: processes.Process, prompt: str
) -> float | None:
    """Return the milliseconds to the first token; None without a token."""
    started = time.perf_counter()
    arrivals: list[float] = []

    def record_arrival(chunk: bytes) -> None:
        if b'event: tokens' in chunk:
            arrivals.append(time.perf_counter())

    body = json.dumps({'prompt': prompt, 'max_tokens': KILL_AFTER_TOKENS})
    await environment.session.send(
        'POST',
        entry.ready['callers'] + bench_deployment.GENERATE_PATH,
        body.encode(),
        on_chunk=record_arrival,
        timeout_s=TIMEOUT_S,
    )
    return (arrivals[0] - started) * 1000 if arrivals else None


async def _restart_engine(environment: Environment, name: str) -> None:
    """Replace an engine on its port and wait until entries have polled it."""
    deployment = environment.deployment
    killed = deployment.targets[name]
    await asyncio.to_thread(killed.kill)
    port = int(killed.ready['url'].rsplit(':', 1)[1])
    await asyncio.to_thread(deployment.start_engine, name, port)
    await asyncio.sleep(LOAD_POLL_WAIT_S)


async def _fail_stage(
    environment: Environment, number: int, signal_number: signal.Signals
) -> float | None:
    deployment = environment.deployment
    known_requests = {
        line['request'] for _, line in await _read_counts(environment)
    }
    arrivals: list[float] = []
    received = bytearray()
    kill_ready = asyncio.Event()

    def store_chunk(chunk: bytes) -> None:
        received.extend(chunk)
        if b'event: tokens' in chunk:
            arrivals.append(time.perf_counter())
        if received.count(b'event: tokens') >= KILL_AFTER_TOKENS:
            kill_ready.set()

    entry = deployment.entries[number % len(deployment.entries)]
    body = json.dumps({'prompt': f'Slot {number}', 'max_tokens': TOKENS})
    stream = asyncio.ensure_future(
        environment.session.send(
            'POST',
            entry.ready['callers'] + bench_deployment.GENERATE_PATH,
            body.encode(),
            on_chunk=store_chunk,
            timeout_s=TIMEOUT_S,
        )
    )
    await asyncio.wait_for(kill_ready.wait(), TIMEOUT_S)
    stage = number % len(bench_deployment.STAGES)
    victim = next(
        name
        for name, line in await _read_counts(environment)
        if line['request'] not in known_requests and name.endswith(f'-{stage}')
    )
    killed = deployment.targets[victim]
    killed_at = time.perf_counter()
    killed.send_signal(signal_number)
    await stream
    await asyncio.to_thread(killed.kill)
    port = int(killed.ready['url'].rsplit(':', 1)[1])
    await asyncio.to_thread(deployment.start_engine, victim, port)
    if not is_complete_stream(bytes(received)):
        return None
    return samples_module.compute_recovery_ms(arrivals, killed_at)


async def _read_counts(
    environment: Environment,
) -> list[tuple[str, typing.Any]]:
    """Read the counts of computed tokens of each engine."""
    engines = environment.deployment.list_engines()
    counts = await asyncio.gather(
        *(
            environment.session.read_json(
                f'{engine.ready["url"]}/control/counts'
            )
            for engine in engines.values()
        )
    )
    return [
        (name, line)
        for name, lines in zip(engines, counts, strict=True)
        for line in lines
    ]


def is_complete_stream(body: bytes) -> bool:
    """Return whether a stream has each token once, in order, and its end."""
    events = requester.read_events(body)
    indexes = [
        data['first_index'] + offset
        for name, data in events
        if name == 'tokens'
        for offset in range(len(data['texts']))
    ]
    return indexes == list(range(TOKENS)) and events[-1][0] == 'end'


async def measure_entry(environment: Environment) -> samples_module.Samples:
    """Kill the entry that a caller uses; it fails over to another one."""
    samples = samples_module.Samples()
    for _ in range(ENTRY_KILLS):
        used = environment.deployment.entries[0]
        listed = await environment.session.read_json(
            f'{used.ready["callers"]}/v1/entries'
        )
        entry_urls = [entry['url'] for entry in listed['entries']]
        urls = [
            used.ready['callers'],
            *(url for url in entry_urls if url != used.ready['callers']),
        ]
        killed_at = time.perf_counter()
        used.popen.kill()
        done_at = await _fail_over(environment, urls, killed_at + TIMEOUT_S)
        samples.add(None if done_at is None else (done_at - killed_at) * 1000)
        await _replace_entry(environment, used)
    return samples


async def _fail_over(
    environment: Environment, urls: list[str], end: float
) -> float | None:
    """Try the addresses in turn until a call and an action succeed.

    Returns
    -------
    float or None
        Time of the success in seconds; None after the end time.
    """
    key = bench_deployment.make_key(environment.random)
    called = acted = resent = False
    for url in itertools.cycle(urls):
        if not called:
            response = await environment.session.send(
                'POST', url + bench_deployment.CALL_PATH, b'{}'
            )
            called = response.code == 200
        if called and not acted:
            response = await environment.session.act(url, key, resent)
            acted = response.code == 200
            resent = True
        now = time.perf_counter()
        if called and acted:
            return now
        if now > end:
            return None
    return None


async def _replace_entry(
    environment: Environment, killed: processes.Process
) -> None:
    """Kill an entry and start another one in its place."""
    deployment = environment.deployment
    await asyncio.to_thread(killed.kill)
    deployment.entries.remove(killed)
    await asyncio.to_thread(deployment.start_entry)
    await bench_deployment.wait_settled(environment.session, deployment)


async def measure_page_owner(
    environment: Environment,
) -> samples_module.Samples:
    """Kill the preferred writer of a page while actions use the page.

    Each other entry gives one sample: its first success after the kill.
    """
    samples = samples_module.Samples()
    for _ in range(OWNER_KILLS):
        for value in await _fail_page_owner(environment, signal.SIGKILL):
            samples.add(value)
    return samples


async def measure_page_owner_silent(
    environment: Environment,
) -> samples_module.Samples:
    """Suspend the preferred writer of a page while actions use the page."""
    samples = samples_module.Samples()
    for _ in range(SUSPENSIONS):
        for value in await _fail_page_owner(environment, signal.SIGSTOP):
            samples.add(value)
    return samples


async def _fail_page_owner(
    environment: Environment, signal_number: signal.Signals
) -> list[float | None]:
    wall = clock.Clock().wall()
    layout = keys.Layout()
    bucket = environment.random.randrange(layout.buckets)
    page = keys.PageAddress(bucket, wall // layout.slot_ms)
    owner = find_writer(environment.deployment.entries, page)

    def make_key() -> str:
        return _make_page_key(environment.random, wall, page)

    killed_at: asyncio.Future[float] = asyncio.Future()
    loops = [
        asyncio.ensure_future(
            _act_until_success(environment, entry, make_key, killed_at)
        )
        for entry in environment.deployment.entries
        if entry is not owner
    ]
    await asyncio.sleep(WARM_UP_S)
    killed = time.perf_counter()
    owner.send_signal(signal_number)
    killed_at.set_result(killed)
    values = await asyncio.gather(*loops)
    await _replace_entry(environment, owner)
    return values


def find_writer(
    entries: list[processes.Process], page: keys.PageAddress
) -> processes.Process:
    """Return the preferred writer of a page.

    Raises
    ------
    ValueError
        When there are no entries.
    """
    members = [
        ports.Member(entry.ready['incarnation'], '', '', '', '', '')
        for entry in entries
    ]
    chosen = ledger_router.choose_writer(members, page.bucket, page.slot)
    if chosen is None:
        raise ValueError('There are no entries.')
    return entries[members.index(chosen)]


def _make_page_key(
    random_source: random.Random, wall: int, page: keys.PageAddress
) -> str:
    """Generate a key whose record belongs to a page."""
    while True:
        text = bench_deployment.make_key(random_source, wall)
        key = keys.parse_key(bench_deployment.WORKSPACE, text, wall)
        if keys.locate_page(key, keys.Layout()) == page:
            return text


async def _act_until_success(
    environment: Environment,
    entry: processes.Process,
    make_key: typing.Callable[[], str],
    event_at: asyncio.Future[float],
) -> float | None:
    """Send actions in sequence until one that starts after an event succeeds.

    Each action has its own key, like those of independent callers.

    Returns
    -------
    float or None
        Milliseconds from the event to the success; None after the limit.
    """
    url = entry.ready['callers']
    while True:
        started = time.perf_counter()
        response = await environment.session.act(url, make_key())
        succeeded = response.code == 200
        if event_at.done():
            waited = time.perf_counter() - event_at.result()
            if succeeded and started >= event_at.result():
                return waited * 1000
            if waited > TIMEOUT_S:
                return None
        await asyncio.sleep(ACTION_INTERVAL_S)


async def measure_platform(environment: Environment) -> samples_module.Samples:
    """Make the platform unavailable for ``OUTAGE_S``.

    Each entry gives one sample: its first success after the outage.
    """
    samples = samples_module.Samples()
    for _ in range(PLATFORM_OUTAGES):
        await _set_unavailable(environment, True)
        restored_at: asyncio.Future[float] = asyncio.Future()
        loops = [
            asyncio.ensure_future(
                _act_until_success(
                    environment,
                    entry,
                    lambda: bench_deployment.make_key(environment.random),
                    restored_at,
                )
            )
            for entry in environment.deployment.entries
        ]
        await asyncio.sleep(OUTAGE_S)
        restored = time.perf_counter()
        await _set_unavailable(environment, False)
        restored_at.set_result(restored)
        for value in await asyncio.gather(*loops):
            samples.add(value)
    return samples


async def _set_unavailable(
    environment: Environment, is_unavailable: bool
) -> None:
    url = f'{environment.deployment.platform.ready["url"]}/control/faults'
    body = json.dumps({'down': is_unavailable}).encode()
    response = await environment.session.send('POST', url, body)
    if response.code != 200:
        raise ConnectionError(f'{url}: {response.code}')


async def measure_configuration(
    environment: Environment,
) -> samples_module.Samples:
    """Publish small changes and wait until every entry applies each.

    The time starts when the publication is sent, so that it includes the
    time until its acceptance.
    """
    samples = samples_module.Samples()
    entries = environment.deployment.entries
    version = await bench_deployment.read_version(
        environment.session, entries[0]
    )
    workspace = environment.deployment.documents[0]
    for number in range(PUBLICATIONS):
        changed = {**workspace, 'limits': {'requests_per_s': 1_000 + number}}
        started = time.perf_counter()
        waiting = [
            asyncio.ensure_future(
                _wait_version(environment, entry, version + 1)
            )
            for entry in entries
        ]
        await bench_deployment.publish(
            environment.session,
            entries[number % len(entries)],
            [changed],
            version,
        )
        applied_at = await asyncio.gather(*waiting)
        version += 1
        reached = [time_s for time_s in applied_at if time_s is not None]
        complete = len(reached) == len(applied_at)
        samples.add((max(reached) - started) * 1000 if complete else None)
    return samples


async def _wait_version(
    environment: Environment, entry: processes.Process, version: int
) -> float | None:
    """Return the time at which an entry reports at least a version."""
    end = time.perf_counter() + TIMEOUT_S
    while time.perf_counter() < end:
        found = await bench_deployment.read_version(environment.session, entry)
        if found >= version:
            return time.perf_counter()
        await asyncio.sleep(VERSION_POLL_S)
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
        Keys of ``MEASUREMENTS``.

    Returns
    -------
    dict of str to Figures
        Milliseconds by measurement, with the numbers of samples.
    """
    return {name: asyncio.run(_measure(name)) for name in names}


async def _measure(name: str) -> Figures:
    with processes.open_processes() as scope:
        deployment = bench_deployment.start_deployment(scope, ENTRIES, CHAINS)
        session = Session()
        environment = Environment(session, deployment, random.Random(SEED))
        try:
            first = deployment.entries[0]
            await bench_deployment.publish(
                session, first, deployment.documents, 0
            )
            await bench_deployment.wait_settled(session, deployment)
            return (await MEASUREMENTS[name](environment)).summarize()
        finally:
            session.close()


def main() -> int:
    """Print one JSON object; the arguments select measurements."""
    names = sys.argv[1:] or tuple(MEASUREMENTS)
    print(json.dumps(measure_recovery(names)))
    return 0


if __name__ == '__main__':
    sys.exit(main())
