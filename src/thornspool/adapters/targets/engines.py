"""HTTP client of model engines, based on tornado's curl client."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import attrs
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from thornspool.adapters import head_checks
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
"""Concurrent streams; tornado's client queues others without a signal."""

MAX_STREAM_BYTES = 100 * 1024 * 1024
"""Response limit; 32,768 tokens, the request limit, need a tenth of it."""

_CONNECT_TIMEOUT_MS = 1_000
_CLOSE_TIMEOUT_MS = 1_000
_OK = 200
_CONFLICT = 409
_UNAVAILABLE = 503


@attrs.define
class _Transfer:
    """A transfer of tornado's curl client that can be aborted."""

    read: Callable[[bytes], int] | None = None
    handle: pycurl.Curl | None = None
    aborted: bool = False
    may_have_written: bool = False

    def prepare(self, handle: pycurl.Curl) -> None:
        """Set the callbacks by which curl can abort the transfer."""
        self.handle = handle
        handle.setopt(pycurl.NOPROGRESS, 0)
        handle.setopt(pycurl.XFERINFOFUNCTION, self._read_progress)
        handle.setopt(pycurl.PREREQFUNCTION, self._record_connected)
        if self.read is not None:
            handle.setopt(pycurl.WRITEFUNCTION, self.read)

    def abort(self) -> None:
        """Close the connection.

        tornado's client cannot cancel a transfer: it would continue until
        its timeout, and the engine would compute tokens without a reader.
        Pausing and resuming the transfer makes curl call
        ``_read_progress`` immediately.
        """
        self.aborted = True
        if self.handle is None:
            return
        with contextlib.suppress(pycurl.error):
            self.handle.pause(pycurl.PAUSE_RECV)
            self.handle.pause(pycurl.PAUSE_CONT)

    def _record_connected(self, *_addresses: object) -> int:
        """Record that the request may be written from now on."""
        self.may_have_written = True
        return int(pycurl.PREREQFUNC_OK)

    def release(self, fetch: asyncio.Future[httpclient.HTTPResponse]) -> None:
        """Release the handle, which tornado reuses for other requests."""
        self.handle = None
        # No task awaits an aborted transfer. Its exception is retrieved here,
        # because the loop would otherwise log it as never retrieved.
        if not fetch.cancelled():
            fetch.exception()

    def _read_progress(self, *_sizes: int) -> int:
        return 1 if self.aborted else 0


class CurlEngines:
    """HTTP client of model engines.

    Parameters
    ----------
    max_streams : int
        Maximum number of concurrent streams and requests.
    """

    def __init__(self, max_streams: int = MAX_STREAMS) -> None:
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=max_streams
        )
        self._fetches: set[asyncio.Future[httpclient.HTTPResponse]] = set()

    async def close(self) -> None:
        """Wait a limited time for transfers, then close every connection.

        If tornado's client is closed during a transfer, it calls curl again
        and logs the resulting error.
        """
        if self._fetches:
            await asyncio.wait(self._fetches, timeout=_CLOSE_TIMEOUT_MS / 1000)
        self._client.close()

    async def generate(
        self,
        call: generation_messages.GenerateCall,
        deliver: Callable[[list[frames.Frame]], None],
    ) -> None:
        """Run an attempt and deliver its frames in order of arrival.

        Parameters
        ----------
        call : generation_messages.GenerateCall
            The attempt.
        deliver : callable
            Called with the frames of each chunk.

        Raises
        ------
        TargetUnreachable
            If no byte of the request was written.
        EngineRefused
            If the engine rejected the attempt.
        StreamMalformed
            If the stream contains an invalid frame.
        TargetResponseLost
            If the stream broke.
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
                f'The engine returned status {response.code}.',
                'The request is retried at another engine.',
            )
        if reader.error is not None:
            raise generation_exceptions.StreamMalformed(
                str(reader.error)
            ) from reader.error
        _check_status(response)

    async def cancel(
        self, url: str, request_id: str, attempt: int, timeout_ms: int
    ) -> None:
        """Cancel an attempt at one engine.

        Parameters
        ----------
        url : str
            ``http://ip:port`` of the engine.
        request_id : str
            Identifier of the request.
        attempt : int
            Number of the attempt.
        timeout_ms : int
            Timeout in milliseconds.

        Raises
        ------
        TargetUnreachable, TargetResponseLost
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
        fetch = asyncio.ensure_future(head_checks.fetch(self._client, request))
        self._fetches.add(fetch)
        fetch.add_done_callback(self._fetches.discard)
        fetch.add_done_callback(transfer.release)
        try:
            return await asyncio.shield(fetch)
        except asyncio.CancelledError:
            transfer.abort()
            raise
        except httpclient.HTTPError as error:
            raise _convert_error(error, transfer.may_have_written) from error


class _ChunkReader:
    """Decodes chunks and discards all data after a malformed one."""

    def __init__(self, deliver: Callable[[list[frames.Frame]], None]) -> None:
        self.error: pipeline_exceptions.MalformedFrame | None = None
        self._reader = frames.FrameReader()
        self._deliver = deliver
        self._size = 0

    def read(self, chunk: bytes) -> int:
        """Deliver the frames of a chunk and return the bytes consumed.

        This runs inside a curl callback, where an exception would be lost
        and a call of the client would be reentrant. It therefore only
        decodes the frames and appends them to the queue of the request.
        """
        self._size += len(chunk)
        if self._size > MAX_STREAM_BYTES:
            # An engine that never terminates a line would exhaust the memory
            # of the entry. Consuming fewer bytes aborts the transfer.
            return 0
        if self.error is not None:
            return len(chunk)
        try:
            self._deliver(self._reader.read(chunk))
        except pipeline_exceptions.MalformedFrame as error:
            self.error = error
        return len(chunk)


def _convert_error(
    error: httpclient.HTTPError, may_have_written: bool
) -> exceptions.TargetError:
    if may_have_written:
        return exceptions.TargetResponseLost(
            f'The stream of the engine broke: {error}.'
        )
    return exceptions.TargetUnreachable(
        f'The engine could not be reached: {error}.'
    )


def _check_status(response: httpclient.HTTPResponse) -> None:
    if response.code != _OK:
        raise exceptions.TargetResponseLost(
            f'The engine returned status {response.code}.',
            'See the log of the engine.',
        )
