"""Calls over tornado's curl client whose fate can be told afterwards.

The curl client hides two ways in which a request is sent twice or too
late. A request written to a kept-alive connection that the other side has
just closed is sent again by libcurl on a new connection; the second sending
of a compare-and-swap then meets its own first one and looks like a
conflict, and the second sending of a payout pays twice. A request that
waits in the client's queue is sent even after its caller was cancelled.
Here a call that must not be repeated gets a connection of its own, on which
libcurl never resends, and no call ever enters the client's queue.
"""

from __future__ import annotations

import asyncio
import typing

import attrs
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from thornspool.adapters.platform import exceptions

_MS_PER_S = 1000.0

_BEFORE_SENDING = frozenset(
    {
        pycurl.E_URL_MALFORMAT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_OPERATION_TIMEDOUT,
    }
)

_BROKEN = frozenset(
    {
        # A kept connection broke and libcurl found no listener to send the
        # request to once more.
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_GOT_NOTHING,
        pycurl.E_PARTIAL_FILE,
        pycurl.E_RECV_ERROR,
        pycurl.E_SEND_ERROR,
    }
)


@attrs.frozen
class Call:
    """A request that goes to its address alone.

    Attributes
    ----------
    url : str
        Whole address.
    method : str
        HTTP method.
    timeout_ms : int
        Longest time for the whole answer, in milliseconds.
    repeatable : bool
        Whether sending it twice is harmless.
    headers : dict of str to str
        Request headers.
    body : bytes or None
        Request body.
    """

    url: str
    method: str
    timeout_ms: int
    repeatable: bool
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes | None = None


class Client:
    """A bounded number of concurrent calls.

    Must be built inside a running loop.

    Parameters
    ----------
    max_calls : int
        Most calls at once.
    max_body : int
        Bytes of the largest answer.
    """

    def __init__(self, max_calls: int, max_body: int) -> None:
        self._free = asyncio.Semaphore(max_calls)
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=max_calls,
            max_body_size=max_body,
        )

    async def fetch(self, call: Call, wait_ms: int) -> httpclient.HTTPResponse:
        """Send a request as soon as a connection is free.

        Parameters
        ----------
        call : Call
            What to send.
        wait_ms : int
            Longest wait for a free connection, in milliseconds.

        Returns
        -------
        tornado.httpclient.HTTPResponse
            An answer of any status.

        Raises
        ------
        NotSent
            When not one byte was written.
        AnswerLost
            When a byte may have been written and no whole answer came;
            ``ConnectionBroken`` when the connection ended under it.
        """
        await self._take_connection(wait_ms)
        sending = _Sending(call.repeatable)
        answer = asyncio.ensure_future(
            self._client.fetch(
                _build_request(call, sending), raise_error=False
            )
        )
        # A cancelled caller leaves its transfer running in libcurl. Freeing
        # the slot then would let the next request queue behind it, where
        # it would outlive its own caller; so the slot follows the transfer.
        answer.add_done_callback(self._release_connection)
        try:
            return await asyncio.shield(answer)
        except (httpclient.HTTPError, ValueError) as error:
            if _was_never_sent(error, sending):
                raise exceptions.NotSent(str(error)) from error
            if _is_broken(error):
                raise exceptions.ConnectionBroken(str(error)) from error
            raise exceptions.AnswerLost(str(error)) from error

    def close(self) -> None:
        """Close every connection; calls in flight get no answer."""
        self._client.close()

    async def _take_connection(self, wait_ms: int) -> None:
        try:
            async with asyncio.timeout(wait_ms / _MS_PER_S):
                await self._free.acquire()
        except TimeoutError as error:
            raise exceptions.NotSent('Every connection is in use.') from error

    def _release_connection(
        self, answer: asyncio.Future[httpclient.HTTPResponse]
    ) -> None:
        self._free.release()
        if not answer.cancelled():
            # Marks the error as seen when the caller was cancelled.
            answer.exception()


class _Sending:
    """Options of one transfer, and whether libcurl began to send it."""

    def __init__(self, repeatable: bool) -> None:
        self._repeatable = repeatable
        self.begun = False

    def prepare(self, curl: typing.Any) -> None:
        # A proxy from the environment answers for hosts never reached.
        curl.setopt(pycurl.PROXY, '')
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.PREREQFUNCTION, self._note_begun)
        if not self._repeatable:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def _note_begun(self, *_: typing.Any) -> int:
        """Run by libcurl once connected, before the request's first byte."""
        self.begun = True
        return int(pycurl.PREREQFUNC_OK)


def _build_request(call: Call, sending: _Sending) -> httpclient.HTTPRequest:
    seconds = max(call.timeout_ms, 1) / _MS_PER_S
    return httpclient.HTTPRequest(
        call.url,
        method=call.method,
        headers=call.headers,
        body=call.body,
        connect_timeout=seconds,
        request_timeout=seconds,
        # Following a redirect sends the body a second time.
        follow_redirects=False,
        decompress_response=False,
        prepare_curl_callback=sending.prepare,
    )


def _was_never_sent(error: Exception, sending: _Sending) -> bool:
    """Tell whether it is certain that no byte of a request was written.

    Two witnesses must agree: libcurl had not announced the request, and
    its error is one that comes up before sending. A ``ValueError`` is
    raised while the transfer is set up, before libcurl sees it.
    """
    if isinstance(error, ValueError):
        return not sending.begun
    if not isinstance(error, curl_httpclient.CurlError):
        return False
    return not sending.begun and error.errno in _BEFORE_SENDING


def _is_broken(error: Exception) -> bool:
    """Tell whether the other side, or the way to it, ended a connection."""
    if not isinstance(error, curl_httpclient.CurlError):
        return False
    return error.errno in _BROKEN
