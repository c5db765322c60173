"""Interfaces to callers and servers, and the types they exchange."""

from __future__ import annotations

import enum
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.domain.fleet import messages as fleet
    from thornspool.domain.paths import search

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class Relay:
    """Passing on of a request by an entry that reaches no server.

    Attributes
    ----------
    host, incarnation : str
        Entry that passes it on.
    receiver : str
        Incarnation of the entry to which it is passed on.
    prior_runs : int
        Times that a server may have run the request before.
    is_counted : bool
        Whether the retry budget has counted the request before.
    configuration_version : int
        Version of the configuration that allows the request; 0 for unknown.
    avoided : tuple of str
        Ids of the servers that may still run the request.
    """

    host: str
    incarnation: str
    receiver: str
    prior_runs: int
    is_counted: bool
    configuration_version: int = 0
    avoided: tuple[str, ...] = ()


@attrs.frozen
class Request:
    """A request as it arrived from a caller.

    Attributes
    ----------
    id : str
        Identifier set by the caller; each of its attempts has its own.
    method, target : str
        HTTP method and request target (path and query) as sent.
    host : str
        Requested host name in lower case.
    headers : tuple of pairs of str
        Headers that are forwarded to the server.
    body : bytes
        Complete body.
    key : str or None
        API key of the request; None if it has none.
    timeout_ms : int
        Time that the caller waits for the complete response, in
        milliseconds.
    arrived_at : int
        Time of arrival, in milliseconds of the clock.
    prompt_tokens, output_tokens : float
        Prompt tokens and expected output tokens of a model request; 0 if
        the caller did not state them.
    resume_after : str
        Identifier of the last event that the caller has received; empty for
        a stream from its start.
    prompt_parts : tuple of str
        Identifiers of the parts of the prompt that other requests may share,
        in order; the last part of a prompt is its own and left out.
    relay : Relay or None
        How a peer has passed it on; None for a request of a caller.
    """

    id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    key: str | None
    timeout_ms: int
    arrived_at: int
    prompt_tokens: float = 0.0
    output_tokens: float = 0.0
    resume_after: str = ''
    prompt_parts: tuple[str, ...] = ()
    relay: Relay | None = None

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition('?')[0]


class ResponseWriter(typing.Protocol):
    """Response to a caller; closed when complete or the caller disconnects."""

    def set_disconnect_callback(self, call: Callable[[], None]) -> None:
        """Set a function to call when the caller disconnects."""

    def refuse(
        self, status: int, reason: str, retry_after_ms: int | None = None
    ) -> None:
        """Send an error response of the router itself."""

    def refuse_relay(
        self,
        status: int = 503,
        reason: str = 'relay_refused',
        retry_after_ms: int | None = None,
        sends: int | None = None,
    ) -> None:
        """Refuse a request that a peer has passed on, without running it.

        The peer may pass it on to another entry.

        Parameters
        ----------
        status : int, optional
            HTTP status code.
        reason : str, optional
            Reason for the refusal.
        retry_after_ms : int, optional
            Milliseconds after which the caller may retry.
        sends : int, optional
            Times it was sent to servers, which refused it; None if this
            entry has not counted it in the retry budget.
        """

    def begin(self, status: int, headers: Headers) -> None:
        """Begin a response of unknown length."""

    def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""

    def finish(self) -> None:
        """Complete the response."""

    def abort(self) -> None:
        """Close the connection so that the response is seen as incomplete."""

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""


@attrs.frozen
class Run:
    """One attempt to serve a request at a server.

    Attributes
    ----------
    request : Request
        Request to send.
    server : fleet.Server
        Server that receives the request.
    hops : tuple of search.Hop
        Path of a model request, starting at this server; empty for other
        requests.
    remaining_ms : int
        Time until the deadline, in milliseconds.
    workspace : str
        Workspace of the request; empty for an anonymous one.
    resume_after : str
        Identifier of the last event that the caller has received.
    priority : int
        Priority at the server from 0 (highest) to 9.
    """

    request: Request
    server: fleet.Server
    hops: tuple[search.Hop, ...]
    remaining_ms: int
    workspace: str
    resume_after: str
    priority: int


@attrs.frozen
class RelayedRequest:
    """A request that is passed on to a peer.

    Attributes
    ----------
    request : Request
        The request as it arrived.
    remaining_ms : int
        Time until the deadline, in milliseconds.
    resume_after : str
        Identifier of the last event that the caller has received.
    relay : Relay
        How it is passed on.
    """

    request: Request
    remaining_ms: int
    resume_after: str
    relay: Relay


@attrs.frozen
class Load:
    """Load that a server reports with a response.

    Attributes
    ----------
    running, waiting : int
        Requests that are executed and that are queued.
    slots : int
        Requests that the server can execute at once.
    """

    running: int
    waiting: int
    slots: int


@attrs.frozen
class ResponseHead:
    """Status and headers of a server's response.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of pairs of str
        Headers that are forwarded to the caller.
    executed : bool
        False if the server states that it did not execute the request.
    fault_address : str
        Address of the server on the path that the response names as the
        cause of the failure; empty for none.
    load : Load or None
        Reported load; None if the server does not report it.
    is_authentic : bool
        Whether the response has a server's signature and the identifier of
        the request.
    is_relay_refused : bool
        Whether a peer refuses to serve a request that is passed on to it.
    relayed_sends : int or None
        Times that this peer had sent the request to servers; None if it has
        not counted the request in its retry budget.
    has_length : bool
        Whether the response states the length of its body.
    is_event_stream : bool
        Whether the media type of the body is that of a stream of events.
    """

    status: int
    headers: Headers
    executed: bool
    fault_address: str
    load: Load | None
    is_authentic: bool
    is_relay_refused: bool = False
    relayed_sends: int | None = None
    has_length: bool = False
    is_event_stream: bool = False


@attrs.frozen
class ServerNotice:
    """What a server states about itself in a response of any kind.

    Attributes
    ----------
    is_authentic : bool
        Whether this is a signed response to a request. Only such a response
        shows that the server no longer names a limit.
    limit_per_s : float or None
        Requests per second that the server accepts from all entries together;
        None if the response names no limit.
    rest_ms : int
        Milliseconds for which the server wants no request of this entry; 0
        for none.
    is_leaving : bool
        Whether the server will stop soon.
    """

    is_authentic: bool
    limit_per_s: float | None = None
    rest_ms: int = 0
    is_leaving: bool = False


class Completion(enum.Enum):
    """How an attempt ended.

    Only ``NOT_SENT`` guarantees that the server has not read the request.
    """

    COMPLETE = 'whole'
    NOT_SENT = 'not_sent'
    BROKEN = 'broken'


class ResponseListener(typing.Protocol):
    """Receives the response of an attempt, up to its end or cancellation."""

    def handle_head(self, head: ResponseHead) -> None:
        """Handle status and headers."""

    def handle_body(self, chunk: bytes) -> bool:
        """Handle a chunk of the body.

        Returns
        -------
        bool
            False if the response exceeds a limit. The client then closes the
            connection to the server and ends the attempt as broken.
        """

    def handle_completion(self, completion: Completion) -> None:
        """Handle the end of the attempt; called last."""


@attrs.frozen
class StalledRequest:
    """A request that is stalled by a server on its path.

    Attributes
    ----------
    request : str
        Identifier of the request.
    address : str
        Address of the server that it waits for.
    """

    request: str
    address: str


REPORT_MS = 350
"""Timeout of a probe; a healthy engine responds within about 10 ms."""


@attrs.frozen
class EngineReport:
    """State that an engine reports when probed.

    Attributes
    ----------
    order_count : int
        Number of orders that the engine has begun since its start.
    busy : bool
        Whether an order is in progress.
    slowdown_factor : float
        Slowdown factor; over 1 for a slow engine.
    started_at : int or None
        Start of the engine's process, in Unix milliseconds.
    stalled : tuple of StalledRequest
        Requests that entered at this engine and wait for another one.
    """

    order_count: int
    busy: bool
    slowdown_factor: float
    started_at: int | None
    stalled: tuple[StalledRequest, ...]


class Responder(enum.Enum):
    """Process that has answered at the address of a server."""

    LISTED = 'listed'
    """The one that the record of the server describes."""

    OTHER = 'other'

    UNKNOWN = 'unknown'
    """The answer does not state when its process started."""


CHECK_MS = 150
"""Timeout of a check; the connection attempt is answered at once by any host
that runs."""


@attrs.frozen
class ProcessCheck:
    """Result of a check whether the process of a server still runs.

    Attributes
    ----------
    is_listening : bool or None
        Whether a process listens at the address; None if nothing answered.
    started_at : int or None
        Start of that process, in Unix milliseconds; None if it does not tell.
    """

    is_listening: bool | None
    started_at: int | None = None


class OrderResult(enum.Enum):
    """Result of an order to an engine."""

    BEGUN = 'begun'
    DONE = 'done'
    CONFLICT = 'conflict'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class ServerClient(typing.Protocol):
    """Client for engines and plain servers."""

    def send(self, run: Run, listener: ResponseListener) -> Callable[[], None]:
        """Send a request; returns a function that cancels the attempt.

        Cancelling closes the connection to the server.
        """

    async def probe(
        self, server: fleet.Server, wait_ms: int = REPORT_MS
    ) -> EngineReport | None:
        """Probe an engine for its state; None if it does not respond."""

    async def check(
        self, server: fleet.Server, wait_ms: int = CHECK_MS
    ) -> ProcessCheck:
        """Check whether a process listens at the address of a server."""

    async def assign_layers(
        self, server: fleet.Server, layers: fleet.LayerRange, order_count: int
    ) -> OrderResult:
        """Order an engine to hold a range of layers.

        Parameters
        ----------
        server : fleet.Server
            The engine.
        layers : fleet.LayerRange
            Layers that it is to hold.
        order_count : int
            Number of orders that it must have begun so far; it refuses the
            order otherwise.
        """

    async def reroute(
        self, request: str, hops: tuple[search.Hop, ...]
    ) -> OrderResult:
        """Order the first engine of a running request to use another path."""
