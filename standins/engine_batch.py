"""Continuous batching of the stand-in engine, its faults and counts."""

from __future__ import annotations

import asyncio
import collections
import os
import time
import typing

import attrs

from standins import engine_messages

_REMEMBERED = 10_000

_Key = typing.TypeVar('_Key')
_Value = typing.TypeVar('_Value')


class Refused(Exception):
    """The engine does not do the work.

    Parameters
    ----------
    state : str
        ``leaving``, ``fenced`` or ``cancelled``.
    target : str
        Who refuses it.
    """

    def __init__(self, state: str, target: str) -> None:
        super().__init__(f'{target} refuses: {state}')
        self.state = state
        self.target = target


@attrs.frozen
class Settings:
    """What the engine is started with."""

    name: str
    kind: str
    first_layer: int
    end_layer: int
    step_ms: float
    max_batch: int
    burst: int
    load_lag_ms: int
    cache_size: int
    pace_ms: float = 0.0


@attrs.frozen(eq=False)
class _Work:
    request: str
    attempt: int
    index: int
    count: int
    priority: int
    done: asyncio.Future[None]


class Batch:
    """Work that waits for a step, and steps that run it."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.leaving = False
        self.honours = True
        self.slow = 1.0
        self.die_after: int | None = None
        self.die_when = 'before'
        self._waiting: list[_Work] = []
        self._running: list[_Work] = []
        self._wake = asyncio.Event()
        self._newest: collections.OrderedDict[str, int]
        self._newest = collections.OrderedDict()
        self._cancelled: collections.OrderedDict[tuple[str, int], None]
        self._cancelled = collections.OrderedDict()
        self._prefixes: collections.OrderedDict[str, None]
        self._prefixes = collections.OrderedDict()
        self._indexes: dict[tuple[str, int], list[int]] = {}
        self._due: collections.OrderedDict[tuple[str, int], float]
        self._due = collections.OrderedDict()

    def admit(self, request: str, attempt: int, known: bool) -> None:
        """Take an attempt in, or raise ``Refused``."""
        name = self.settings.name
        if self.leaving and not known:
            raise Refused('leaving', name)
        newest = self._newest.get(request, attempt)
        if self.honours and attempt < newest:
            raise Refused('fenced', name)
        _remember(self._newest, request, max(attempt, newest))
        if (request, attempt) in self._cancelled:
            raise Refused('cancelled', name)

    def cancel(self, request: str, attempt: int) -> None:
        """Stop an attempt; its work still waiting is never run."""
        _remember(self._cancelled, (request, attempt), None)
        stopped = [
            work
            for work in self._waiting
            if (work.request, work.attempt) == (request, attempt)
        ]
        for work in stopped:
            self._waiting.remove(work)
            self._refuse(work)

    def is_cancelled(self, request: str, attempt: int) -> bool:
        """Say whether an attempt was stopped."""
        return (request, attempt) in self._cancelled

    async def compute(
        self, request: str, attempt: int, index: int, count: int, priority: int
    ) -> None:
        """Wait for the step that computes some tokens."""
        if self.is_cancelled(request, attempt):
            raise Refused('cancelled', self.settings.name)
        done = asyncio.get_running_loop().create_future()
        work = _Work(request, attempt, index, count, priority, done)
        if self.settings.pace_ms:
            await self._wait_turn(work)
            self._finish(work)
        else:
            self._waiting.append(work)
            self._wake.set()
        await done

    async def _wait_turn(self, work: _Work) -> None:
        """Wait until a stream's next token is due.

        Each is due a pace after the one before was, not after it was sent;
        or the time that sending takes would slow the stream down.
        """
        key = work.request, work.attempt
        now = time.monotonic()
        due = self._due.get(key, now) + self.settings.pace_ms / 1000
        _remember(self._due, key, due)
        await asyncio.sleep(due - now)

    async def warm(self, prompt: str) -> None:
        """Work through a prompt unless its prefix is in the cache."""
        prefix = prompt[:256]
        if prefix not in self._prefixes:
            await asyncio.sleep(self._read_step() / 1000)
        _remember(self._prefixes, prefix, None, self.settings.cache_size)

    async def run(self) -> None:
        """Run steps for ever."""
        while True:
            await self._wake.wait()
            self._waiting.sort(key=lambda work: -work.priority)
            taken = self.settings.max_batch
            self._running = self._waiting[:taken]
            self._waiting = self._waiting[taken:]
            if not self._waiting:
                self._wake.clear()
            await self._step()

    async def _step(self) -> None:
        tokens = sum(work.count for work in self._running)
        dies = self.die_after is not None and tokens >= self.die_after
        if dies and self.die_when == 'before':
            os._exit(1)
        step = self._read_step() / 1000
        if dies and self.die_when == 'during':
            await asyncio.sleep(step / 2)
            os._exit(1)
        await asyncio.sleep(step)
        for work in self._running:
            self._finish(work)
        self._running = []
        if dies:
            os._exit(1)
        if self.die_after is not None:
            self.die_after -= tokens

    def _finish(self, work: _Work) -> None:
        if self.is_cancelled(work.request, work.attempt):
            self._refuse(work)
            return
        indexes = self._indexes.setdefault((work.request, work.attempt), [])
        indexes.extend(range(work.index, work.index + work.count))
        if not work.done.done():
            work.done.set_result(None)

    def _refuse(self, work: _Work) -> None:
        if not work.done.done():
            work.done.set_exception(Refused('cancelled', self.settings.name))

    def _read_step(self) -> float:
        return self.settings.step_ms * self.slow

    def read_load(self) -> engine_messages.Load:
        """Return the load now."""
        return engine_messages.Load(
            target=self.settings.name,
            state='leaving' if self.leaving else 'ready',
            running=len(self._running),
            waiting=len(self._waiting),
            max_batch=self.settings.max_batch,
            step_ms=self._read_step(),
        )

    def list_counts(self) -> list[engine_messages.Count]:
        """Return which tokens were computed, for oracles."""
        return [
            engine_messages.Count(
                request,
                attempt,
                self.settings.first_layer,
                self.settings.end_layer,
                indexes,
            )
            for (request, attempt), indexes in self._indexes.items()
        ]


def _remember(
    memory: collections.OrderedDict[_Key, _Value],
    key: _Key,
    value: _Value,
    longest: int = _REMEMBERED,
) -> None:
    memory[key] = value
    memory.move_to_end(key)
    while len(memory) > longest:
        memory.popitem(last=False)
