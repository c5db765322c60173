"""Simulated engines, with the speeds and memory sizes of a model."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import random
import typing

import attrs

from tests import answer_rules
from tests import engine_rules
from tests.simulation import loops
from thornspool.application.routing import ports
from thornspool.domain.fleet import messages as fleet

if typing.TYPE_CHECKING:
    from thornspool.domain.paths import search

ENTRY_LATENCY_MS = 1.0
"""One-way latency between an entry and an engine."""

HOP_LATENCY_MS = 0.3
"""One-way latency between two engines of a path."""

STEPS_PER_EVENT = 3
"""Decoding steps of one pass over a path, which produce one event."""

PREFILL_CHUNK_TOKENS = 512
"""Prompt tokens that an engine prefills in one decoding step."""

MAX_STALL_MS = 2_500
"""Time after which a run that stalls at a lost engine is broken off."""

POLL_MS = 5
"""Interval at which a stalled run checks the engines of its path."""

REFUSAL_MS = 1.0
"""Time until an engine refuses a run."""

LIST_UPDATE_MS = 600
"""Time until a change of an engine appears in the list of engines."""

RESTART_MS = 3_200
"""Time until an engine that a request has crashed is back."""

FIRST_TOKEN_MS = (50, 120)
"""Times from the start of a run to the first token on a crashing part."""

CONNECT_TIMEOUT_MS = 400
"""Time after which a connection that nobody answers is given up."""

DELISTING_MS = 3_000
"""Time until a lost engine is removed from the list of engines."""


@attrs.define(eq=False)
class Engine:
    """State of one simulated engine.

    Attributes
    ----------
    server : fleet.Server
        The engine as it should be listed.
    reserved : float
        Token-layers reserved for requests.
    running : int
        Requests that reserve memory.
    prefill_until : float
        Virtual milliseconds at which the prompts received so far are
        prefilled.
    state : str
        ``up``, ``crashed`` (refuses connections) or ``unresponsive`` (does
        not reply).
    slowdown : float
        Slowdown factor: actual times divided by expected ones.
    orders : int
        Orders begun since the start of the engine.
    limit_per_s : float or None
        Limit on requests that it names in its responses.
    is_leaving : bool
        Whether it states in its responses that it leaves.
    accepts : bool
        Whether it accepts connections while it is unresponsive.
    rests : dict of str to tuple of int
        Hosts that it turns away: until when, in virtual milliseconds, and for
        how long it asks for rest.
    """

    server: fleet.Server
    reserved: float = 0.0
    running: int = 0
    prefill_until: float = 0.0
    state: str = 'up'
    slowdown: float = 1.0
    orders: int = 0
    limit_per_s: float | None = None
    is_leaving: bool = False
    accepts: bool = True
    rests: dict[str, tuple[int, int]] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _ActiveRun:
    """A run in progress.

    Attributes
    ----------
    run : ports.Run
        The run as the entry sent it.
    listener : ports.ResponseListener
        Receives the events of the run.
    client : Client
        Entry that sent the run.
    tokens : float
        Tokens of the prompt and of the answer so far.
    hops : list of tuple of Engine and search.Hop
        The current path.
    reservations : list of tuple of Engine and float
        Token-layers reserved on each engine.
    task : asyncio.Task or None
        Task that runs it.
    prefill_ms : float
        Milliseconds until new engines of the path have prefilled the tokens.
    record : answer_rules.Run or None
        Record of the run once it has arrived.
    """

    run: ports.Run
    listener: ports.ResponseListener
    client: Client
    tokens: float
    hops: list[tuple[Engine, search.Hop]] = attrs.field(factory=list)
    reservations: list[tuple[Engine, float]] = attrs.field(factory=list)
    task: asyncio.Task[None] | None = None
    prefill_ms: float = 0.0
    record: answer_rules.Run | None = None

    @property
    def key(self):
        return self.run.request.id, self.run.hops[0].server.address


class Engines:
    """All simulated engines, and the calls that entries make to them.

    Parameters
    ----------
    clock : loops.LoopClock
        Clock in virtual time.
    model : fleet.Model
        Sizes and speeds.
    servers : iterable of fleet.Server
        Engines with their layers.
    on_change : callable
        Called with the new server record of an engine that has changed, or
        with the name of an engine that is removed from the list.
    """

    def __init__(self, clock, model, servers, on_change):
        self._clock = clock
        self._model = model
        self._on_change = on_change
        self._tasks = set()
        self.by_address = {one.address: Engine(one) for one in servers}
        self.output_tokens = {}
        self._runs = {}
        self.refused = 0
        self.sent = 0
        self.reroutes = 0
        self.arrivals = []
        self.answers = []
        self.crashing = {}
        self.crashing_parts = set()
        self.crashes = []
        self.cuts = {}
        self.run_records = []

    def cut(self, host, kind):
        """Cut the links of an entry to all engines.

        Parameters
        ----------
        host : str
            Host of the entry.
        kind : str
            ``silent`` (nothing arrives any more), ``reset`` (open connections
            break, new ones are refused) or ``refused`` (open connections live
            on, new ones are refused).
        """
        self.cuts[host] = kind
        if kind == 'reset':
            for active in list(self._runs.values()):
                if active.client.host == host:
                    self._record_end(active, answer_rules.RunEnd.BROKEN)
                    active.task.cancel()
                    active.listener.handle_completion(ports.Completion.BROKEN)

    def heal(self, host):
        """Restore the links of an entry."""
        del self.cuts[host]

    async def fail_connection(self, client, wait_ms):
        """Fail a new connection of an entry that is cut off.

        Returns
        -------
        str or None
            Kind of the cut; None if there is none.
        """
        kind = self.cuts.get(client.host)
        if kind == 'silent':
            await loops.sleep_ms(min(wait_ms, CONNECT_TIMEOUT_MS))
        elif kind is not None:
            await loops.sleep_ms(ENTRY_LATENCY_MS)
        return kind

    def find_engine(self, name):
        return next(
            one for one in self.by_address.values() if one.server.id == name
        )

    def start_task(self, coroutine):
        """Run a coroutine as a task and keep a reference to it."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def record_arrival(self, server, host, kind, attempt=''):
        """Log that a request, probe or order of an entry arrives."""
        self.arrivals.append(
            engine_rules.Arrival(
                self._clock.now(), server.id, host, kind, attempt
            )
        )

    def answer(self, server, client, is_authentic=False, rest_ms=0):
        """Log what an engine states in an answer and tell the entry."""
        engine = self.by_address[server.address]
        self.answers.append(
            engine_rules.Answer(
                self._clock.now(),
                server.id,
                client.host,
                engine.limit_per_s,
                rest_ms,
                engine.is_leaving,
            )
        )
        client.on_notice(
            server,
            ports.ServerNotice(
                is_authentic, engine.limit_per_s, rest_ms, engine.is_leaving
            ),
        )

    def send(self, run, listener, client):
        self.sent += 1
        first_event = int(run.resume_after or -1) + 1
        tokens = run.request.prompt_tokens + first_event * STEPS_PER_EVENT
        active = _ActiveRun(run, listener, client, tokens)
        self._runs[active.key] = active
        task = self.start_task(self._run_and_release(active, first_event))
        active.task = task
        return task.cancel

    async def _run_and_release(self, active, first_event):
        try:
            await self._serve(active, first_event)
        except asyncio.CancelledError:
            is_lost = any(one.state == 'crashed' for one, _ in active.hops)
            self._record_end(
                active,
                answer_rules.RunEnd.BROKEN
                if is_lost
                else answer_rules.RunEnd.STOPPED,
            )
            raise
        finally:
            self._release(active)
            if self._runs.get(active.key) is active:
                del self._runs[active.key]

    def _record_run(self, active):
        """Log that a run arrives at its first engine."""
        active.record = answer_rules.Run(
            active.run.request.id,
            active.run.server.id,
            active.client.host,
            self._clock.now(),
        )
        self.run_records.append(active.record)

    def _record_end(self, active, end):
        """Log the end of a run that has arrived."""
        if active.record is not None and active.record.ended_at is None:
            active.record.ended_at = self._clock.now()
            active.record.end = end

    async def _serve(self, active, first_event):
        """Check the engines of a run, prefill its prompt and decode."""
        if await self.fail_connection(active.client, CONNECT_TIMEOUT_MS):
            active.listener.handle_completion(ports.Completion.NOT_SENT)
            return
        await loops.sleep_ms(ENTRY_LATENCY_MS)
        engine = self.by_address[active.run.server.address]
        if engine.state == 'unresponsive' and not engine.accepts:
            await loops.sleep_ms(CONNECT_TIMEOUT_MS)
            active.listener.handle_completion(ports.Completion.NOT_SENT)
            return
        self.record_arrival(
            active.run.server,
            active.client.host,
            'request',
            active.run.request.id,
        )
        active.hops = [
            (self.by_address[hop.server.address], hop)
            for hop in active.run.hops
        ]
        first = active.hops[0][0]
        if first.state == 'crashed':
            active.listener.handle_completion(ports.Completion.NOT_SENT)
            return
        self._record_run(active)
        await self._await_response(first)
        until, rest_ms = first.rests.get(active.client.host, (0, 0))
        if self._clock.now() < until:
            await self._refuse(active, first, 503, rest_ms)
            return
        is_available = await self._await_engines(active, first)
        for engine, hop in active.hops:
            fault = self._find_fault(engine, hop, active.tokens)
            if fault is not None or not is_available:
                status = 421 if fault == 'layers' else 503
                await self._refuse(active, engine, status)
                return
        self._reserve(active, active.hops, active.tokens)
        active.record.began_at = self._clock.now()
        prefill_ms = self._prefill(active, active.hops)
        await loops.sleep_ms(prefill_ms)
        self._crash_under(active.run.request, active.hops)
        await self._crash_under_part(active, first, first_event, prefill_ms)
        await self._write(active, first, first_event)

    def _crash_under(self, request, hops):
        """Crash an engine if it begins to run a request that crashes it.

        ``crashing`` has the place in the path of the engine that each such
        request crashes, by its body.
        """
        place = self.crashing.get(request.body)
        if place is None:
            return
        engine = hops[place % len(hops)][0]
        if engine.state == 'up':
            self.crashes.append(
                engine_rules.Crash(
                    self._clock.now(), engine.server.id, request.body.decode()
                )
            )
            self.crash(engine.server.id, restart_ms=RESTART_MS)

    async def _crash_under_part(self, active, first, first_event, ran_ms):
        """Crash the first engine as it begins to write on a crashing part.

        Some of the engines have written the first event by then.
        """
        request = active.run.request
        part = next(
            (
                one
                for one in request.prompt_parts
                if one in self.crashing_parts
            ),
            None,
        )
        if part is None:
            return
        source = random.Random(f'{request.id} {first.server.id}')
        await loops.sleep_ms(source.uniform(*FIRST_TOKEN_MS) - ran_ms)
        if first.state != 'up':
            return
        if source.random() < 0.5 and active.client.host not in self.cuts:
            self._write_event(active, first_event, is_first=True)
        self.crashes.append(
            engine_rules.Crash(self._clock.now(), first.server.id, part)
        )
        self.crash(first.server.id, restart_ms=RESTART_MS)

    async def _write(self, active, first, first_event):
        """Send the events of a run until its answer is complete or cut."""
        answer = self.output_tokens[active.run.request.id]
        for number in itertools.count(first_event):
            if not await self._await_engines(active, first):
                self._record_end(active, answer_rules.RunEnd.BROKEN)
                active.listener.handle_completion(ports.Completion.BROKEN)
                return
            while self.cuts.get(active.client.host) == 'silent':
                await loops.sleep_ms(POLL_MS)
            self._write_event(active, number, number == first_event)
            if (number + 1) * STEPS_PER_EVENT >= answer:
                break
            active.tokens += STEPS_PER_EVENT
            self._reserve(active, active.hops, STEPS_PER_EVENT)
            await loops.sleep_ms(
                self._compute_step(active.hops) * STEPS_PER_EVENT
            )
        self._record_end(active, answer_rules.RunEnd.COMPLETE)
        active.listener.handle_completion(ports.Completion.COMPLETE)

    def _write_event(self, active, number, is_first):
        """Send an event, after the head if it is the first one."""
        if is_first:
            active.record.first_event_at = self._clock.now()
            self.answer(active.run.server, active.client, True)
            active.listener.handle_head(
                ports.ResponseHead(200, (), True, '', None, True)
            )
        active.listener.handle_body(b'id: %d\ndata: x\n\n' % number)

    async def _await_response(self, engine):
        """Wait while an engine does not reply."""
        while engine.state == 'unresponsive':
            await loops.sleep_ms(4 * POLL_MS)

    async def _await_engines(self, active, first):
        """Wait while engines of a path are lost; False after a failure."""
        remaining_ms = MAX_STALL_MS
        while any(engine.state != 'up' for engine, _ in active.hops):
            if first.state == 'crashed' or remaining_ms <= 0:
                return False
            await self._await_response(first)
            await loops.sleep_ms(POLL_MS)
            remaining_ms -= POLL_MS
        prefill_ms, active.prefill_ms = active.prefill_ms, 0.0
        await loops.sleep_ms(prefill_ms)
        return True

    def _find_fault(self, engine, hop, tokens):
        """Return the reason why an engine refuses a hop; None if it runs."""
        if engine.state != 'up':
            return 'lost'
        held = engine.server.layers
        if held is None or not held.contains(
            fleet.LayerRange(hop.first, hop.end)
        ):
            return 'layers'
        capacity = self._model.compute_free_capacity(
            engine.server.kind, held.count
        )
        if engine.reserved + tokens * hop.count > capacity:
            return 'capacity'
        return None

    async def _refuse(self, active, engine, status, rest_ms=0):
        self.refused += 1
        await loops.sleep_ms(REFUSAL_MS)
        self._record_end(active, answer_rules.RunEnd.REFUSED)
        self.answer(active.run.server, active.client, rest_ms=rest_ms)
        active.listener.handle_head(
            ports.ResponseHead(
                status, (), False, engine.server.address, None, False
            )
        )
        active.listener.handle_completion(ports.Completion.COMPLETE)

    def _reserve(self, active, hops, tokens):
        for engine, hop in hops:
            engine.reserved += tokens * hop.count
            engine.running += not any(
                reserved is engine for reserved, _ in active.reservations
            )
            active.reservations.append((engine, tokens * hop.count))

    def _release(self, active):
        for engine, amount in active.reservations:
            engine.reserved -= amount
        for engine in {
            id(reserved): reserved for reserved, _ in active.reservations
        }.values():
            engine.running -= 1
        active.reservations.clear()

    def _prefill(self, active, hops):
        """Return the milliseconds until the first event of a run.

        Adds the prompt to the prefill backlog of the engines.
        """
        now = self._clock.now()
        done_at = float(now)
        model = self._model
        for engine, hop in hops:
            kind = model.accelerators[engine.server.kind]
            share = hop.count / model.layers
            steps = math.ceil(active.tokens / PREFILL_CHUNK_TOKENS)
            read_ms = (
                active.tokens * 1000.0 / model.read_per_s * kind.read_factor
            )
            step_ms = steps * model.step_ms * kind.step_factor
            took_ms = (read_ms + step_ms) * share * engine.slowdown
            engine.prefill_until = max(done_at, engine.prefill_until) + took_ms
            done_at = engine.prefill_until + HOP_LATENCY_MS
        return (
            done_at
            - now
            + self._compute_step(hops) * STEPS_PER_EVENT
            + ENTRY_LATENCY_MS
        )

    def _compute_step(self, hops):
        """Return the milliseconds of one decoding step over a path."""
        model = self._model
        return sum(
            (model.step_ms + model.per_sequence_ms * engine.running)
            * model.accelerators[engine.server.kind].step_factor
            * hop.count
            / model.layers
            * engine.slowdown
            + HOP_LATENCY_MS
            for engine, hop in hops
        )

    async def probe(self, server, client, wait_ms):
        engine = self.by_address.get(server.address)
        if await self.fail_connection(client, wait_ms):
            return None
        if engine is None or engine.state == 'crashed':
            await loops.sleep_ms(2 * ENTRY_LATENCY_MS)
            return None
        if engine.state == 'unresponsive':
            await loops.sleep_ms(wait_ms)
            return None
        self.record_arrival(server, client.host, 'probe')
        await loops.sleep_ms(4 * ENTRY_LATENCY_MS)
        self.answer(server, client)
        return ports.EngineReport(
            engine.orders, False, engine.slowdown, engine.server.started_at, ()
        )

    async def check(self, server, client, wait_ms):
        engine = self.by_address.get(server.address)
        cut = await self.fail_connection(client, wait_ms)
        if cut is not None:
            return ports.ProcessCheck(None if cut == 'silent' else False)
        if engine is None or engine.state == 'crashed':
            await loops.sleep_ms(2 * ENTRY_LATENCY_MS)
            return ports.ProcessCheck(False)
        if engine.state == 'unresponsive':
            await loops.sleep_ms(wait_ms)
            return ports.ProcessCheck(None)
        self.record_arrival(server, client.host, 'probe')
        await loops.sleep_ms(4 * ENTRY_LATENCY_MS)
        self.answer(server, client)
        return ports.ProcessCheck(True, engine.server.started_at)

    async def assign_layers(self, server, layers, client):
        engine = self.by_address[server.address]
        if await self.fail_connection(client, CONNECT_TIMEOUT_MS):
            return ports.OrderResult.UNKNOWN
        await loops.sleep_ms(2 * ENTRY_LATENCY_MS)
        if engine.state != 'up':
            return ports.OrderResult.UNKNOWN
        self.record_arrival(server, client.host, 'order')
        self.answer(server, client)
        engine.orders += 1
        self.start_task(self._load(engine, layers))
        return ports.OrderResult.BEGUN

    async def _load(self, engine, layers):
        held = engine.server.layers
        retained = 0
        if held is not None:
            retained = max(
                0,
                min(held.end, layers.end) - max(held.first, layers.first),
            )
        share = (layers.count - retained) / self._model.layers
        await loops.sleep_ms(self._model.load_s * 1000 * share)
        if engine.state == 'up':
            engine.server = attrs.evolve(engine.server, layers=layers)
            await self._update_list(engine)

    async def _update_list(self, engine):
        server = engine.server
        await loops.sleep_ms(LIST_UPDATE_MS)
        self._on_change(server)

    async def reroute(self, request, hops, client):
        if await self.fail_connection(client, CONNECT_TIMEOUT_MS):
            return ports.OrderResult.UNKNOWN
        await loops.sleep_ms(2 * ENTRY_LATENCY_MS)
        self.reroutes += 1
        self.record_arrival(hops[0].server, client.host, 'reroute', request)
        active = self._runs.get((request, hops[0].server.address))
        if (
            active is None
            or not active.hops
            or active.hops[0][0].state != 'up'
        ):
            return ports.OrderResult.REFUSED
        path = [(self.by_address[hop.server.address], hop) for hop in hops]
        current = {(id(engine), hop) for engine, hop in active.hops}
        new = [
            (engine, hop)
            for engine, hop in path
            if (id(engine), hop) not in current
        ]
        if any(self._find_fault(*pair, active.tokens) for pair in new):
            return ports.OrderResult.CONFLICT
        active.hops = path
        if active.reservations:
            self._release_left_engines(
                active, {id(engine) for engine, _ in path}
            )
            self._reserve(active, new, active.tokens)
            active.prefill_ms += self._prefill(active, new)
        if new:
            self._crash_under(active.run.request, path)
        return ports.OrderResult.BEGUN

    def _release_left_engines(self, active, retained):
        """Release the memory of engines that are no longer on a path."""
        for engine, amount in active.reservations:
            if id(engine) not in retained:
                engine.reserved -= amount
        left_engines = {
            id(engine): engine
            for engine, _ in active.reservations
            if id(engine) not in retained
        }
        for engine in left_engines.values():
            engine.running -= 1
        active.reservations = [
            reservation
            for reservation in active.reservations
            if id(reservation[0]) in retained
        ]

    def crash(self, name, state='crashed', restart_ms=None):
        """Put an engine into a failed state.

        Parameters
        ----------
        name : str
            Name of the engine.
        state : str, optional
            ``crashed`` or ``unresponsive``.
        restart_ms : int, optional
            Milliseconds until it restarts without layers; None for never.
        """
        engine = self.find_engine(name)
        engine.state = state
        self.start_task(self._restart(engine, restart_ms))

    async def _restart(self, engine, restart_ms):
        """Remove a failed engine from the list, then restart it if wanted."""
        delisting_ms = (
            DELISTING_MS
            if restart_ms is None
            else min(DELISTING_MS, restart_ms)
        )
        await loops.sleep_ms(delisting_ms)
        self._on_change(engine.server.id)
        if restart_ms is None:
            return
        await loops.sleep_ms(restart_ms - delisting_ms)
        engine.server = attrs.evolve(
            engine.server, layers=None, started_at=engine.server.started_at + 1
        )
        engine.orders = 0
        engine.state = 'up'
        await self._update_list(engine)

    async def pause(self, name, length_ms, accepts=True):
        """Let a sound engine be silent for a time.

        Parameters
        ----------
        name : str
            Name of the engine.
        length_ms : float
            Milliseconds until it continues.
        accepts : bool, optional
            Whether it accepts connections meanwhile.
        """
        engine = self.find_engine(name)
        engine.state, engine.accepts = 'unresponsive', accepts
        await loops.sleep_ms(length_ms)
        engine.state, engine.accepts = 'up', True

    def slow_down(self, name, factor):
        """Set the slowdown factor of an engine; 1 for full speed."""
        self.find_engine(name).slowdown = factor


class Client:
    """Calls of one entry to the engines.

    Parameters
    ----------
    engines : Engines
        The engines.
    host : str
        Host of the entry.
    on_notice : callable
        Receives what engines state in their answers.
    is_up : callable
        Returns whether the entry still runs.
    """

    def __init__(self, engines, host, on_notice, is_up):
        self._engines = engines
        self._is_up = is_up
        self.host = host
        self.on_notice = on_notice

    def send(self, run, listener):
        if not self._is_up():
            return lambda: None
        return self._engines.send(run, listener, self)

    async def probe(self, server, wait_ms=ports.REPORT_MS):
        return await self._engines.probe(server, self, wait_ms)

    async def check(self, server, wait_ms=ports.CHECK_MS):
        return await self._engines.check(server, self, wait_ms)

    async def assign_layers(self, server, layers, order_count):
        return await self._engines.assign_layers(server, layers, self)

    async def reroute(self, request, hops):
        return await self._engines.reroute(request, hops, self)


@contextlib.contextmanager
def virtual_loop():
    """Open an event loop in virtual time; its tasks end with the block."""
    loop = loops.VirtualLoop()
    try:
        yield loop
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
