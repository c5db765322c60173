"""Engines that run parts of a model, by the times and sizes of the model."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import typing

import attrs

from tests.player import loops
from thornspool.application.routing import ports
from thornspool.domain.fleet import messages as fleet

if typing.TYPE_CHECKING:
    from thornspool.domain.paths import search

LINK_MS = 1.0
"""One way between an entry and an engine."""

HOP_MS = 0.3
"""From one engine to the next."""

STRIDE = 3
"""Decoding steps of one pass, which make one event."""

CHUNK = 512
"""Prompt tokens that an engine reads in one decoding step."""

STALL_MS = 2_500
"""Time for which work stands still that depends on a lost engine."""

POLL_MS = 5
"""Time after which a run that stands still looks for another path."""

REFUSE_MS = 1.0

LISTED_MS = 600
"""Time until the list shows what has changed at an engine."""

LAPSE_MS = 3_000
"""Time until an engine that is gone leaves the list."""


@attrs.define(eq=False)
class Engine:
    """One engine.

    Attributes
    ----------
    used : float
        Token-layers that requests hold.
    read_until : float
        Time until which prompts are read that have come so far.
    state : str
        ``up``, ``crashed`` (refuses connections) or ``dark`` (silent).
    slowness : float
        Its times against the expected ones.
    """

    server: fleet.Server
    used: float = 0.0
    running: int = 0
    read_until: float = 0.0
    state: str = 'up'
    slowness: float = 1.0
    orders: int = 0


@attrs.define(eq=False)
class _Run:
    """A run on its way through engines."""

    run: ports.Run
    listener: ports.Listener
    tokens: float
    hops: list[tuple[Engine, search.Hop]] = attrs.field(factory=list)
    held: list[tuple[Engine, float]] = attrs.field(factory=list)
    reads_ms: float = 0.0


class Engines:
    """All engines, with the calls that entries make.

    Parameters
    ----------
    clock : loops.LoopClock
        Virtual time.
    model : fleet.Model
        Sizes and speeds.
    servers : iterable of fleet.Server
        Engines with their layers.
    tell : callable
        Called with the new entry of the list of an engine that has changed,
        or with its name when it is gone.
    """

    def __init__(self, clock, model, servers, tell):
        self._clock = clock
        self._model = model
        self._tell = tell
        self._tasks = set()
        self.by_address = {one.address: Engine(one) for one in servers}
        self.lengths = {}
        self._runs = {}
        self.refused = 0
        self.sent = 0
        self.repaths = 0

    def find(self, name):
        """Find an engine by its name."""
        return next(
            one for one in self.by_address.values() if one.server.id == name
        )

    def run(self, work):
        """Run a coroutine beside the others."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def send(self, run, listener):
        self.sent += 1
        after = int(run.resume_after or -1) + 1
        tokens = run.inquiry.prompt_tokens + after * STRIDE
        one = _Run(run, listener, tokens)
        self._runs[run.inquiry.id] = one
        task = self.run(self._play(one, after))
        return task.cancel

    async def _play(self, one, after):
        try:
            await self._serve(one, after)
        finally:
            self._release(one)
            if self._runs.get(one.run.inquiry.id) is one:
                del self._runs[one.run.inquiry.id]

    async def _serve(self, one, after):
        await loops.pass_time(LINK_MS)
        one.hops = [
            (self.by_address[hop.server.address], hop) for hop in one.run.hops
        ]
        first = one.hops[0][0]
        if first.state == 'crashed':
            one.listener.take_end(ports.Ending.NOT_SENT)
            return
        if first.state == 'dark':
            await loops.pass_time(60_000)
        begun = await self._pass_losses(one, first)
        for engine, hop in one.hops:
            fault = self._find_fault(engine, hop, one.tokens)
            if fault is not None or not begun:
                status = 421 if fault == 'layers' else 503
                await self._refuse(one, engine, status)
                return
        self._hold(one, one.hops, one.tokens)
        await loops.pass_time(self._read(one, one.hops))
        await self._write(one, first, after)

    async def _write(self, one, first, after):
        """Send the events of a run until its answer is whole or cut."""
        answer = self.lengths[one.run.inquiry.id]
        for number in itertools.count(after):
            if not await self._pass_losses(one, first):
                one.listener.take_end(ports.Ending.BROKEN)
                return
            if number == after:
                one.listener.take_head(
                    ports.Head(200, (), True, '', None, True)
                )
            one.listener.take_body(b'id: %d\ndata: x\n\n' % number)
            if (number + 1) * STRIDE >= answer:
                break
            one.tokens += STRIDE
            self._hold(one, one.hops, STRIDE)
            await loops.pass_time(self._compute_step(one.hops) * STRIDE)
        one.listener.take_end(ports.Ending.WHOLE)

    async def _pass_losses(self, one, first):
        """Wait for lost engines of a path; False when it breaks off."""
        left = STALL_MS
        while any(engine.state != 'up' for engine, _ in one.hops):
            if first.state == 'crashed' or left <= 0:
                return False
            if first.state == 'dark':
                await loops.pass_time(60_000)
            await loops.pass_time(POLL_MS)
            left -= POLL_MS
        reads_ms, one.reads_ms = one.reads_ms, 0.0
        await loops.pass_time(reads_ms)
        return True

    def _find_fault(self, engine, hop, tokens):
        if engine.state != 'up':
            return 'lost'
        held = engine.server.layers
        if held is None or not held.contains(
            fleet.LayerRange(hop.first, hop.end)
        ):
            return 'layers'
        room = self._model.compute_room(engine.server.kind, held.count)
        if engine.used + tokens * hop.count > room:
            return 'room'
        return None

    async def _refuse(self, one, engine, status):
        self.refused += 1
        await loops.pass_time(REFUSE_MS)
        one.listener.take_head(
            ports.Head(status, (), False, engine.server.address, None, False)
        )
        one.listener.take_end(ports.Ending.WHOLE)

    def _hold(self, one, hops, tokens):
        for engine, hop in hops:
            engine.used += tokens * hop.count
            engine.running += not any(held is engine for held, _ in one.held)
            one.held.append((engine, tokens * hop.count))

    def _release(self, one):
        for engine, amount in one.held:
            engine.used -= amount
        for engine in {id(held): held for held, _ in one.held}.values():
            engine.running -= 1
        one.held.clear()

    def _read(self, one, hops):
        """Return the time until a prompt is read and the first token made."""
        now = self._clock.now()
        at = float(now)
        model = self._model
        for engine, hop in hops:
            kind = model.accelerators[engine.server.kind]
            share = hop.count / model.layers
            steps = math.ceil(one.tokens / CHUNK)
            read_ms = one.tokens * 1000.0 / model.read_per_s * kind.read_factor
            step_ms = steps * model.step_ms * kind.step_factor
            took = (read_ms + step_ms) * share * engine.slowness
            engine.read_until = max(at, engine.read_until) + took
            at = engine.read_until + HOP_MS
        return at - now + self._compute_step(hops) * STRIDE + LINK_MS

    def _compute_step(self, hops):
        """Return the milliseconds of one token."""
        model = self._model
        return sum(
            (model.step_ms + model.per_sequence_ms * engine.running)
            * model.accelerators[engine.server.kind].step_factor
            * hop.count
            / model.layers
            * engine.slowness
            + HOP_MS
            for engine, hop in hops
        )

    async def ask_report(self, server, wait_ms=ports.REPORT_MS):
        engine = self.by_address.get(server.address)
        if engine is None or engine.state == 'crashed':
            await loops.pass_time(2 * LINK_MS)
            return None
        if engine.state == 'dark':
            await loops.pass_time(wait_ms)
            return None
        await loops.pass_time(4 * LINK_MS)
        return ports.Report(
            engine.orders, False, engine.slowness, engine.server.born, ()
        )

    async def place(self, server, layers, orders):
        engine = self.by_address[server.address]
        await loops.pass_time(2 * LINK_MS)
        if engine.state != 'up':
            return ports.OrderResult.UNKNOWN
        engine.orders += 1
        self.run(self._load(engine, layers))
        return ports.OrderResult.BEGUN

    async def _load(self, engine, layers):
        held = engine.server.layers
        kept = 0
        if held is not None:
            kept = max(
                0,
                min(held.end, layers.end) - max(held.first, layers.first),
            )
        share = (layers.count - kept) / self._model.layers
        await loops.pass_time(self._model.load_s * 1000 * share)
        if engine.state == 'up':
            engine.server = attrs.evolve(engine.server, layers=layers)
            await self._list(engine)

    async def _list(self, engine):
        server = engine.server
        await loops.pass_time(LISTED_MS)
        self._tell(server)

    async def repath(self, request, hops):
        await loops.pass_time(2 * LINK_MS)
        self.repaths += 1
        one = self._runs.get(request)
        if one is None or one.hops[0][0].state != 'up':
            return ports.OrderResult.REFUSED
        path = [(self.by_address[hop.server.address], hop) for hop in hops]
        kept = {(id(engine), hop) for engine, hop in one.hops}
        new = [
            (engine, hop)
            for engine, hop in path
            if (id(engine), hop) not in kept
        ]
        if any(self._find_fault(*part, one.tokens) for part in new):
            return ports.OrderResult.CONFLICT
        one.hops = path
        if one.held:
            self._release_others(one, {id(engine) for engine, _ in path})
            self._hold(one, new, one.tokens)
            one.reads_ms += self._read(one, new)
        return ports.OrderResult.BEGUN

    def _release_others(self, one, kept):
        """Give back what engines hold that a run has left."""
        for engine, amount in one.held:
            if id(engine) not in kept:
                engine.used -= amount
        left = {
            id(engine): engine
            for engine, _ in one.held
            if id(engine) not in kept
        }
        for engine in left.values():
            engine.running -= 1
        one.held = [part for part in one.held if id(part[0]) in kept]

    def crash(self, name, how='crashed', back_ms=None):
        """Let an engine end; it comes back empty, or never."""
        engine = self.find(name)
        engine.state = how
        self.run(self._come_back(engine, back_ms))

    async def _come_back(self, engine, back_ms):
        lapse = LAPSE_MS if back_ms is None else min(LAPSE_MS, back_ms)
        await loops.pass_time(lapse)
        self._tell(engine.server.id)
        if back_ms is None:
            return
        await loops.pass_time(back_ms - lapse)
        engine.server = attrs.evolve(
            engine.server, layers=None, born=engine.server.born + 1
        )
        engine.orders = 0
        engine.state = 'up'
        await self._list(engine)

    def slow(self, name, factor):
        """Let an engine turn slow, or fast again."""
        self.find(name).slowness = factor


@contextlib.contextmanager
def virtual_loop():
    """Open a loop in virtual time."""
    loop = loops.VirtualLoop()
    try:
        yield loop
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
