"""One stage of the stand-in engine, with links to other stages."""

from __future__ import annotations

import asyncio
import hashlib
import os
import time

import attrs
import msgspec
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from standins import engine_batch
from standins import engine_faults
from standins import engine_messages

CONFLICT = 409
CRASH_MARKER = '<crash>'
"""A prompt that contains it crashes each engine that computes its tokens."""

_OK = 200
_FORWARD_TIMEOUT_S = 30.0
_MAX_CONNECTIONS = 64


def compute_token(prompt: str, index: int) -> str:
    """Return the token that every engine computes at an index of a prompt."""
    digest = hashlib.blake2s(f'{prompt}\0{index}'.encode(), digest_size=3)
    return f'{digest.hexdigest()} '


def _read_now_ms() -> float:
    return time.monotonic() * 1000


class Engine:
    """A stage with its batch, its links and its injected faults."""

    def __init__(self, settings: engine_batch.Settings) -> None:
        self.settings = settings
        self.batch = engine_batch.Batch(settings)
        self.link_ms: dict[str, float] = {}
        self.faults = engine_faults.FrameFaults()
        self.published_load = self.batch.read_load()
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=_MAX_CONNECTIONS
        )

    async def refresh_load(self) -> None:
        """Refresh the published load at a fixed interval, so that it lags."""
        while True:
            self.published_load = self.batch.read_load()
            await asyncio.sleep(self.settings.load_lag_ms / 1000)

    def apply_control(self, control: engine_messages.Control) -> None:
        """Apply the settings of a control request."""
        batch = self.batch
        if control.die_after is not None:
            batch.crash_after_tokens, batch.crash_phase = (
                control.die_after,
                control.die_when,
            )
        if control.leave is not None:
            batch.is_leaving = control.leave
        if control.fencing is not None:
            batch.enforces_fencing = control.fencing == 'honour'
        if control.slow is not None:
            batch.step_factor = control.slow
        if control.link_ms is not None:
            self.link_ms = dict(control.link_ms)
        if control.corrupt is not None:
            self.faults.schedule(control.corrupt, control.corrupt_index)

    async def forward(
        self, work: engine_messages.Forward
    ) -> engine_messages.Forwarded:
        """Run tokens through this stage and the stages after it.

        Raises
        ------
        RefusedError
            This stage or a later one refused or lost the work.
        """
        started_ms = _read_now_ms()
        self.batch.admit(work.request, work.attempt, work.known)
        if not work.known:
            await self.batch.process_prompt(work.prompt)
        await self.batch.compute(
            work.request, work.attempt, work.index, work.count, work.priority
        )
        if CRASH_MARKER in work.prompt:
            os._exit(1)
        receipt = (
            self.settings.first_layer,
            self.settings.end_layer,
            self.settings.name,
        )
        current_load = self.batch.read_load()
        if len(work.route) == 1:
            elapsed_ms = _read_now_ms() - started_ms
            return engine_messages.Forwarded(
                [receipt], [current_load], elapsed_ms, []
            )
        sent_ms = _read_now_ms()
        forwarded = await self._send(attrs.evolve(work, route=work.route[1:]))
        answered_ms = _read_now_ms()
        hop_ms = answered_ms - sent_ms - forwarded.taken_ms
        return engine_messages.Forwarded(
            [receipt, *forwarded.receipts],
            [current_load, *forwarded.loads],
            answered_ms - started_ms,
            [hop_ms, *forwarded.hops],
        )

    async def _send(
        self, work: engine_messages.Forward
    ) -> engine_messages.Forwarded:
        stage = work.route[0]
        await asyncio.sleep(self.link_ms.get(stage.target, 0.0) / 1000)
        try:
            response = await self._client.fetch(
                stage.url + '/v1/forward',
                method='POST',
                body=msgspec.json.encode(work),
                request_timeout=_FORWARD_TIMEOUT_S,
                raise_error=False,
            )
        except httpclient.HTTPError as error:
            state = _classify_failure(work, error)
            raise engine_batch.RefusedError(state, stage.target) from error
        if response.code == CONFLICT:
            refusal = msgspec.json.decode(
                response.body, type=engine_messages.Refusal
            )
            raise engine_batch.RefusedError(refusal.state, refusal.target)
        if response.code != _OK:
            raise engine_batch.RefusedError('lost', stage.target)
        return msgspec.json.decode(
            response.body, type=engine_messages.Forwarded
        )

    async def cancel_route(self, request: engine_messages.Generate) -> None:
        """Cancel an attempt at this stage and at every stage after it."""
        self.batch.cancel(request.request, request.attempt)
        body = msgspec.json.encode(
            engine_messages.Cancel(request.request, request.attempt)
        )
        for stage in request.route[1:]:
            await self._client.fetch(
                stage.url + '/v1/cancel',
                method='POST',
                body=body,
                raise_error=False,
            )


def _classify_failure(
    work: engine_messages.Forward, error: httpclient.HTTPError
) -> str:
    """Distinguish a stage that was already down from one that crashed.

    If both were reported as a crash, the crash would be attributed to a
    harmless request that was sent to a stage which had crashed earlier.
    """
    errno = getattr(error, 'errno', None)
    if not work.known and errno == pycurl.E_COULDNT_CONNECT:
        return 'not reached'
    return 'lost'
