"""Stand-in of a plain service.

``python -m standins.service --port 0 --name slots-1`` prints its address
as one line of JSON when it listens. ``POST /control/behaviour`` sets how it
treats calls and ``GET /control/counts`` returns how often it executed each
idempotency key.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import os
import typing

import attrs
import msgspec
from tornado import web

from standins import common

DEFAULT_CRASH_MARKER = 'crash-this-target'
_UNBOUNDED_SLOTS = 64
_CRASH_EXIT_STATUS = 70
_MS_PER_S = 1000.0


@attrs.define
class Behaviour:
    """How the service treats calls.

    Attributes
    ----------
    lose_answers : int
        Number of next calls that are executed without a response.
    refuse_connections : int
        Number of next calls that are dropped without being executed.
    slow_ms : int
        Delay of each execution, in milliseconds.
    workers : int
        Maximum concurrent executions, others queue; 0 for no limit.
    leaving : bool
        Refuse calls with status 409 and report the state ``leaving``.
    deduplicate : bool
        Execute a key once and replay its first response.
    check_fencing : bool
        Refuse a fencing token below the highest one seen for the key.
    crash_marker : str
        A body that contains it crashes the process; empty for none.
    """

    lose_answers: int = 0
    refuse_connections: int = 0
    slow_ms: int = 0
    workers: int = 0
    leaving: bool = False
    deduplicate: bool = False
    check_fencing: bool = False
    crash_marker: str = DEFAULT_CRASH_MARKER


class State:
    """State that the handlers share.

    Parameters
    ----------
    name : str
        Name of the target, included in each response.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.behaviour = Behaviour()
        self.executions: collections.Counter[str] = collections.Counter()
        self.responses: dict[str, bytes] = {}
        self.fencing_tokens: dict[str, int] = {}
        self.workers: contextlib.AbstractAsyncContextManager[typing.Any]
        self.workers = contextlib.nullcontext()
        self.running = 0
        self.calls = 0


class _Handler(web.RequestHandler):
    def initialize(self, state: State) -> None:
        self.state = state


class _OperationHandler(_Handler):
    async def post(self, operation: str) -> None:
        state = self.state
        state.calls += 1
        if state.behaviour.refuse_connections > 0:
            state.behaviour.refuse_connections -= 1
            common.drop_connection(self)
            return
        if state.behaviour.leaving:
            self._refuse('leaving')
            return
        marker = state.behaviour.crash_marker.encode()
        if marker and marker in self.request.body:
            os._exit(_CRASH_EXIT_STATUS)
        key = self.request.headers.get('Idempotency-Key', '')
        if self._is_fenced(key):
            self._refuse('fenced')
            return
        await self._run(operation, key)

    def _refuse(self, state: str) -> None:
        self.set_status(409)
        self.write({'state': state})

    def _is_fenced(self, key: str) -> bool:
        fencing_token = int(self.request.headers.get('Fencing-Token', '0'))
        highest_token = self.state.fencing_tokens.get(key, 0)
        self.state.fencing_tokens[key] = max(fencing_token, highest_token)
        return (
            self.state.behaviour.check_fencing
            and fencing_token < highest_token
        )

    async def _run(self, operation: str, key: str) -> None:
        state = self.state
        state.running += 1
        try:
            async with state.workers:
                await asyncio.sleep(state.behaviour.slow_ms / _MS_PER_S)
        finally:
            state.running -= 1
        response = state.responses.get(key)
        if response is None or not state.behaviour.deduplicate:
            state.executions[key] += 1
            response = self._build_response(operation, key)
            state.responses[key] = response
        if state.behaviour.lose_answers > 0:
            state.behaviour.lose_answers -= 1
            common.drop_connection(self)
            return
        self.set_header('Content-Type', 'application/json')
        self.write(response)

    def _build_response(self, operation: str, key: str) -> bytes:
        return msgspec.json.encode(
            {
                'target': self.state.name,
                'operation': operation,
                'key': key,
                'execution': self.state.executions[key],
                'body': msgspec.json.decode(self.request.body),
            }
        )


class _LoadHandler(_Handler):
    def get(self) -> None:
        slots = self.state.behaviour.workers or _UNBOUNDED_SLOTS
        state = 'leaving' if self.state.behaviour.leaving else 'ready'
        self.write(
            {
                'target': self.state.name,
                'state': state,
                'running': min(self.state.running, slots),
                'waiting': max(0, self.state.running - slots),
                'max_batch': slots,
                'step_ms': 1.0,
            }
        )


class _BehaviourHandler(_Handler):
    def get(self) -> None:
        self.write(msgspec.json.encode(self.state.behaviour))

    def post(self) -> None:
        behaviour = msgspec.json.decode(self.request.body, type=Behaviour)
        self.state.behaviour = behaviour
        self.state.workers = contextlib.nullcontext()
        if behaviour.workers:
            self.state.workers = asyncio.Semaphore(behaviour.workers)


class _CountsHandler(_Handler):
    def get(self) -> None:
        self.write(
            {
                'calls': self.state.calls,
                'executions': dict(self.state.executions),
            }
        )


def make_application(state: State) -> web.Application:
    """Build the HTTP application of a plain service."""
    shared = {'state': state}
    return web.Application(
        [
            (r'/v1/operations/([^/]+)', _OperationHandler, shared),
            (r'/v1/load', _LoadHandler, shared),
            (r'/control/behaviour', _BehaviourHandler, shared),
            (r'/control/counts', _CountsHandler, shared),
        ],
        log_function=lambda _: None,
    )


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description='Stand-in of a service.')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--name', default='service-1')
    options = parser.parse_args()
    state = State(options.name)
    asyncio.run(common.run(make_application(state), options.port))


if __name__ == '__main__':
    main()
