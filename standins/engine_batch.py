"""Continuous batching of the stand-in engine, with faults and counts."""

from __future__ import annotations

import asyncio
import collections
import os
import time
import typing

import attrs

from standins import engine_messages

_MAX_TRACKED = 10_000

_Key = typing.TypeVar('_Key')
_Value = typing.TypeVar('_Value')


class RefusedError(Exception):
    """An engine refused or lost work.

    Parameters
    ----------
    state : str
        ``leaving``, ``fenced`` or ``cancelled``; ``lost`` or ``not reached``
        for work of a later stage.
    target : str
        Engine that refused or lost it.
    """

    def __init__(self, state: str, target: str) -> None:
        super().__init__(f'{target} did not run the work: {state}')
        self.state = state
        self.target = target


@attrs.frozen
class Settings:
    """Settings from the command line.

    Attributes
    ----------
    name, kind : str
        Name of the target and kind of the accelerator.
    first_layer, end_layer : int
        Range of layers that the engine holds.
    step_ms : float
        Time of a step, in milliseconds.
    max_batch : int
        Maximum work items of a step.
    burst : int
        Tokens that a step computes for each work item.
    load_lag_ms : int
        Interval between refreshes of the published load, in milliseconds.
    cache_size : int
        Maximum prompt prefixes in the cache.
    token_interval_ms : float
        Fixed time between the tokens of a stream, in milliseconds; 0 to run
        tokens in batched steps.
    """

    name: str
    kind: str
    first_layer: int
    end_layer: int
    step_ms: float
    max_batch: int
    burst: int
    load_lag_ms: int
    cache_size: int
    token_interval_ms: float = 0.0


@attrs.frozen(eq=False)
class _Work:
    request: str
    attempt: int
    index: int
    count: int
    priority: int
    completion: asyncio.Future[None]


class Batch:
    """Queue of work and the steps that compute it."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.is_leaving = False
        self.enforces_fencing = True
        self.step_factor = 1.0
        self.crash_after_tokens: int | None = None
        self.crash_phase = 'before'
        self._waiting: list[_Work] = []
        self._running: list[_Work] = []
        self._work_added = asyncio.Event()
        self._newest_attempts: collections.OrderedDict[str, int]
        self._newest_attempts = collections.OrderedDict()
        self._cancelled: collections.OrderedDict[tuple[str, int], None]
        self._cancelled = collections.OrderedDict()
        self._prefixes: collections.OrderedDict[str, None]
        self._prefixes = collections.OrderedDict()
        self._computed_indexes: dict[tuple[str, int], list[int]] = {}
        self._token_due_s: collections.OrderedDict[tuple[str, int], float]
        self._token_due_s = collections.OrderedDict()

    def admit(self, request: str, attempt: int, was_admitted: bool) -> None:
        """Accept work of an attempt.

        Parameters
        ----------
        request : str
            Request identifier.
        attempt : int
            Number of the attempt.
        was_admitted : bool
            Whether this engine already ran work of the attempt; an engine
            that leaves still completes it.

        Raises
        ------
        RefusedError
            The engine is leaving, a newer attempt of the request was seen,
            or the attempt was cancelled.
        """
        name = self.settings.name
        if self.is_leaving and not was_admitted:
            raise RefusedError('leaving', name)
        newest_attempt = self._newest_attempts.get(request, attempt)
        if self.enforces_fencing and attempt < newest_attempt:
            raise RefusedError('fenced', name)
        _store_bounded(
            self._newest_attempts, request, max(attempt, newest_attempt)
        )
        if (request, attempt) in self._cancelled:
            raise RefusedError('cancelled', name)

    def cancel(self, request: str, attempt: int) -> None:
        """Cancel an attempt and discard its queued work."""
        _store_bounded(self._cancelled, (request, attempt), None)
        cancelled_work = [
            work
            for work in self._waiting
            if (work.request, work.attempt) == (request, attempt)
        ]
        for work in cancelled_work:
            self._waiting.remove(work)
            self._fail_cancelled(work)

    def is_cancelled(self, request: str, attempt: int) -> bool:
        """Return whether an attempt was cancelled."""
        return (request, attempt) in self._cancelled

    async def compute(
        self, request: str, attempt: int, index: int, count: int, priority: int
    ) -> None:
        """Compute tokens of an attempt.

        Parameters
        ----------
        request : str
            Request identifier.
        attempt : int
            Number of the attempt.
        index : int
            Index of the first token.
        count : int
            Number of tokens.
        priority : int
            Work of a higher priority is batched first.

        Raises
        ------
        RefusedError
            The attempt was cancelled.
        """
        if self.is_cancelled(request, attempt):
            raise RefusedError('cancelled', self.settings.name)
        completion = asyncio.get_running_loop().create_future()
        work = _Work(request, attempt, index, count, priority, completion)
        if self.settings.token_interval_ms:
            await self._wait_until_due(work)
            self._finish(work)
        else:
            self._waiting.append(work)
            self._work_added.set()
        await completion

    async def _wait_until_due(self, work: _Work) -> None:
        """Wait until the next token of a stream is due.

        The due time advances from the previous due time, not from the time
        of sending, so that the time spent on sending does not slow the
        stream down.
        """
        key = work.request, work.attempt
        now = time.monotonic()
        due = (
            self._token_due_s.get(key, now)
            + self.settings.token_interval_ms / 1000
        )
        _store_bounded(self._token_due_s, key, due)
        await asyncio.sleep(due - now)

    async def process_prompt(self, prompt: str) -> None:
        """Spend one step on a prompt unless its prefix is cached."""
        prefix = prompt[:256]
        if prefix not in self._prefixes:
            await asyncio.sleep(self._compute_step_ms() / 1000)
        _store_bounded(self._prefixes, prefix, None, self.settings.cache_size)

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            await self._work_added.wait()
            self._waiting.sort(key=lambda work: -work.priority)
            batch_size = self.settings.max_batch
            self._running = self._waiting[:batch_size]
            self._waiting = self._waiting[batch_size:]
            if not self._waiting:
                self._work_added.clear()
            await self._step()

    async def _step(self) -> None:
        token_count = sum(work.count for work in self._running)
        crashes = (
            self.crash_after_tokens is not None
            and token_count >= self.crash_after_tokens
        )
        if crashes and self.crash_phase == 'before':
            os._exit(1)
        step = self._compute_step_ms() / 1000
        if crashes and self.crash_phase == 'during':
            await asyncio.sleep(step / 2)
            os._exit(1)
        await asyncio.sleep(step)
        for work in self._running:
            self._finish(work)
        self._running = []
        if crashes:
            os._exit(1)
        if self.crash_after_tokens is not None:
            self.crash_after_tokens -= token_count

    def _finish(self, work: _Work) -> None:
        if self.is_cancelled(work.request, work.attempt):
            self._fail_cancelled(work)
            return
        indexes = self._computed_indexes.setdefault(
            (work.request, work.attempt), []
        )
        indexes.extend(range(work.index, work.index + work.count))
        if not work.completion.done():
            work.completion.set_result(None)

    def _fail_cancelled(self, work: _Work) -> None:
        if not work.completion.done():
            work.completion.set_exception(
                RefusedError('cancelled', self.settings.name)
            )

    def _compute_step_ms(self) -> float:
        return self.settings.step_ms * self.step_factor

    def read_load(self) -> engine_messages.Load:
        """Return the current load."""
        return engine_messages.Load(
            target=self.settings.name,
            state='leaving' if self.is_leaving else 'ready',
            running=len(self._running),
            waiting=len(self._waiting),
            max_batch=self.settings.max_batch,
            step_ms=self._compute_step_ms(),
        )

    def list_counts(self) -> list[engine_messages.Count]:
        """Return the tokens that were computed, for test oracles."""
        return [
            engine_messages.Count(
                request,
                attempt,
                self.settings.first_layer,
                self.settings.end_layer,
                indexes,
            )
            for (request, attempt), indexes in self._computed_indexes.items()
        ]


def _store_bounded(
    entries: collections.OrderedDict[_Key, _Value],
    key: _Key,
    value: _Value,
    max_entries: int = _MAX_TRACKED,
) -> None:
    entries[key] = value
    entries.move_to_end(key)
    while len(entries) > max_entries:
        entries.popitem(last=False)
