"""Client of model engines over HTTP, by tornado's curl client."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import attrs
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from thornspool.adapters.targets import engine_messages
from thornspool.application import exceptions
from thornspool.application.generation import (
    exceptions as generation_exceptions,
)
from thornspool.domain.pipelines import exceptions as pipeline_exceptions
from thornspool.domain.pipelines import frames

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.application.generation import (
        messages as generation_messages,
    )

MAX_STREAMS = 512
"""Streams at once; tornado's client queues what is above, unseen."""

MAX_STREAM_BYTES = 100 * 1024 * 1024
"""Longest answer; 32,768 tokens, the most of a request, have a tenth."""

_CONNECT_TIMEOUT_MS = 1_000
_CLOSE_TIMEOUT_MS = 1_000
_OK = 200
_CONFLICT = 409
_UNAVAILABLE = 503


@attrs.define
class _Transfer:
    """One transfer of curl, to be able to break it off."""

    read: Callable[[bytes], int] | None = None
    handle: pycurl.Curl | None = None
    unwanted: bool = False
    may_have_written: bool = False

    def prepare(self, handle: pycurl.Curl) -> None:
        """Have curl ask now and then whether to go on."""
        self.handle = handle
        handle.setopt(pycurl.NOPROGRESS, 0)
        handle.setopt(pycurl.XFERINFOFUNCTION, self._read_progress)
        handle.setopt(pycurl.PREREQFUNCTION, self._note_connected)
        if self.read is not None:
            handle.setopt(pycurl.WRITEFUNCTION, self.read)

    def abort(self) -> None:
        """Close the connection.

        tornado's client can't drop a transfer: it would go on until its
        timeout, and the engine would go on computing for nobody. Pausing
        and resuming makes curl look at the transfer, and thus ask
        ``_read_progress``, at once.
        """
        self.unwanted = True
        if self.handle is None:
            return
        with contextlib.suppress(pycurl.error):
            self.handle.pause(pycurl.PAUSE_RECV)
            self.handle.pause(pycurl.PAUSE_CONT)

    def _note_connected(self, *_addresses: object) -> int:
        """Note that the request is written next."""
        self.may_have_written = True
        return int(pycurl.PREREQFUNC_OK)

    def forget(self, fetch: asyncio.Future[httpclient.HTTPResponse]) -> None:
        """Let go of the handle: tornado uses it again for another call."""
        self.handle = None
        # Nobody waits for a transfer that was broken off; its error is read
        # here, or the loop would log each one as forgotten.
        if not fetch.cancelled():
            fetch.exception()

    def _read_progress(self, *_sizes: int) -> int:
        return 1 if self.unwanted else 0


class CurlEngines:
    """Calls to model engines.

    Parameters
    ----------
    max_streams : int
        Streams and calls at once.
    """

    def __init__(self, max_streams: int = MAX_STREAMS) -> None:
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=max_streams
        )
        self._fetches: set[asyncio.Future[httpclient.HTTPResponse]] = set()

    async def close(self) -> None:
        """Wait a while for transfers to end, then close every connection.

        tornado's client, closed under a running transfer, calls curl once
        more and logs the error that this gives.
        """
        if self._fetches:
            await asyncio.wait(self._fetches, timeout=_CLOSE_TIMEOUT_MS / 1000)
        self._client.close()

    async def generate(
        self,
        call: generation_messages.GenerateCall,
        deliver: Callable[[list[frames.Frame]], None],
    ) -> None:
        """Run an attempt, handing over its frames in order as they come.

        Parameters
        ----------
        call : generation_messages.GenerateCall
            The attempt.
        deliver : callable
            Told the frames of each chunk.

        Raises
        ------
        TargetNotReached
            Not one byte was written.
        EngineRefused
            The engine did not take the work.
        StreamMalformed
            It sent what is no frame.
        TargetAnswerLost
            The stream broke.
        """
        reader = _ChunkReader(deliver)
        response = await self._post(
            call.route.stages[0].url + '/v1/generate',
            engine_messages.encode_generate(call),
            call.timeout_ms,
            reader.read,
        )
        if response.code in (_CONFLICT, _UNAVAILABLE):
            raise generation_exceptions.EngineRefused(
                f'The engine answered {response.code}.',
                'Another engine will be tried.',
            )
        if reader.error is not None:
            raise generation_exceptions.StreamMalformed(
                str(reader.error)
            ) from reader.error
        _check_status(response)

    async def cancel(
        self, url: str, request_id: str, attempt: int, timeout_ms: int
    ) -> None:
        """Stop an attempt at one engine.

        Parameters
        ----------
        url : str
            ``http://ip:port`` of the engine.
        request_id : str
            The request.
        attempt : int
            The attempt.
        timeout_ms : int
            Longest wait.

        Raises
        ------
        TargetNotReached, TargetAnswerLost
            As for ``generate``.
        """
        body = engine_messages.encode_cancel(request_id, attempt)
        _check_status(
            await self._post(url + '/v1/cancel', body, timeout_ms, None)
        )

    async def _post(
        self,
        url: str,
        body: bytes,
        timeout_ms: int,
        read: Callable[[bytes], int] | None,
    ) -> httpclient.HTTPResponse:
        transfer = _Transfer(read)
        request = httpclient.HTTPRequest(
            url,
            method='POST',
            body=body,
            connect_timeout=min(timeout_ms, _CONNECT_TIMEOUT_MS) / 1000,
            request_timeout=timeout_ms / 1000,
            prepare_curl_callback=transfer.prepare,
            headers={'Content-Type': 'application/json', 'Expect': ''},
            decompress_response=False,
        )
        fetch = asyncio.ensure_future(
            self._client.fetch(request, raise_error=False)
        )
        self._fetches.add(fetch)
        fetch.add_done_callback(self._fetches.discard)
        fetch.add_done_callback(transfer.forget)
        try:
            return await asyncio.shield(fetch)
        except asyncio.CancelledError:
            transfer.abort()
            raise
        except httpclient.HTTPError as error:
            raise _translate(error, transfer.may_have_written) from error


class _ChunkReader:
    """Decodes chunks until one is malformed, then drops the rest."""

    def __init__(self, deliver: Callable[[list[frames.Frame]], None]) -> None:
        self.error: pipeline_exceptions.MalformedFrame | None = None
        self._reader = frames.FrameReader()
        self._deliver = deliver
        self._size = 0

    def read(self, chunk: bytes) -> int:
        """Hand over the frames of a chunk and return how much was read.

        It runs inside of curl, where an error would be lost and a call of
        the client would reenter it. Frames are decoded and put into their
        request's queue here, no more.
        """
        self._size += len(chunk)
        if self._size > MAX_STREAM_BYTES:
            # An engine that never ends its line would fill the memory of
            # the entry. To read less than was given ends the transfer.
            return 0
        if self.error is not None:
            return len(chunk)
        try:
            self._deliver(self._reader.read(chunk))
        except pipeline_exceptions.MalformedFrame as error:
            self.error = error
        return len(chunk)


def _translate(
    error: httpclient.HTTPError, may_have_written: bool
) -> exceptions.TargetError:
    if may_have_written:
        return exceptions.TargetAnswerLost(
            f'The stream of the engine broke: {error}.'
        )
    return exceptions.TargetNotReached(
        f'The engine could not be reached: {error}.'
    )


def _check_status(response: httpclient.HTTPResponse) -> None:
    if response.code != _OK:
        raise exceptions.TargetAnswerLost(
            f'The engine answered {response.code}.',
            'See the log of the engine.',
        )
