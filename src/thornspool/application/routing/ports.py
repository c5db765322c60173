"""What the use cases need from callers, servers and peers."""

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
class Inquiry:
    """One request of a caller.

    Attributes
    ----------
    id : str
        Given by the caller, one for each attempt of his.
    method, target : str
        As sent; the target is path and query.
    host : str
        Name that it was sent to, in lower case.
    headers : tuple of pairs of str
        Headers that pass on to the server.
    body : bytes
        Whole body.
    key : str or None
        Key that he showed.
    patience_ms : int
        Time that he will wait for the whole answer, in milliseconds.
    arrived_at : int
        Milliseconds of the clock.
    prompt_tokens, answer_tokens : float
        Of a model request: tokens to read and expected tokens to write; 0
        where he did not tell.
    resume_after : str
        Last event that he has; empty for a stream from its start.
    """

    id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    key: str | None
    patience_ms: int
    arrived_at: int
    prompt_tokens: float = 0.0
    answer_tokens: float = 0.0
    resume_after: str = ''

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition('?')[0]


class Reply(typing.Protocol):
    """The answer to a caller; closed once it is whole or the caller left."""

    def set_on_close(self, call: Callable[[], None]) -> None:
        """Have a function called when the caller leaves."""

    def refuse(
        self, status: int, reason: str, retry_after_ms: int | None = None
    ) -> None:
        """Answer with an error of the router's own."""

    def begin(self, status: int, headers: Headers) -> None:
        """Begin an answer of unknown length."""

    def write(self, chunk: bytes) -> None:
        """Send a piece of it."""

    def finish(self) -> None:
        """End it as complete."""

    def abort(self) -> None:
        """Close the connection, so that it can't look complete."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""


@attrs.frozen
class Run:
    """A request on its way to a server.

    Attributes
    ----------
    inquiry : Inquiry
        What to send.
    server : fleet.Server
        Where to.
    hops : tuple of search.Hop
        Path of a model request, from this server on; empty for others.
    left_ms : int
        Time that the caller still waits.
    workspace : str
        Whose request it is; empty for nobody's.
    resume_after : str
        Last event that the caller has.
    priority : int
        Rank at the server from 0, the first, to 9.
    """

    inquiry: Inquiry
    server: fleet.Server
    hops: tuple[search.Hop, ...]
    left_ms: int
    workspace: str
    resume_after: str
    priority: int


@attrs.frozen
class Load:
    """Requests of a server as it told them with an answer."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class Head:
    """Status and headers of a server's answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of pairs of str
        Headers that pass on to the caller.
    ran : bool
        False when the server states that it did not run the request.
    fault_address : str
        Server on the path that the answer blames; empty for none.
    load : Load or None
        None where it does not tell.
    genuine : bool
        Whether it carries a server's signature and the request's own id.
    """

    status: int
    headers: Headers
    ran: bool
    fault_address: str
    load: Load | None
    genuine: bool


class Ending(enum.Enum):
    """How a run ended.

    Only ``NOT_SENT`` promises that the server has not read the request.
    """

    WHOLE = 'whole'
    NOT_SENT = 'not_sent'
    BROKEN = 'broken'


class Listener(typing.Protocol):
    """Takes what a run brings; nothing follows after it was ended."""

    def take_head(self, head: Head) -> None:
        """Take status and headers."""

    def take_body(self, chunk: bytes) -> None:
        """Take a piece of the body."""

    def take_end(self, ending: Ending) -> None:
        """Take the ending, last."""


@attrs.frozen
class Stalled:
    """A request that waits for a server on its path."""

    request: str
    address: str


REPORT_MS = 350
"""Longest wait for a report; a sound engine tells it within some 10 ms."""


@attrs.frozen
class Report:
    """State of an engine as it tells it when asked.

    Attributes
    ----------
    orders : int
        Orders that it has begun since its start.
    busy : bool
        Whether one is in progress.
    slowness : float
        Over 1 for a slow engine.
    born : int or None
        Unix milliseconds of its start.
    stalled : tuple of Stalled
        Requests that entered here and wait for another engine.
    """

    orders: int
    busy: bool
    slowness: float
    born: int | None
    stalled: tuple[Stalled, ...]


class OrderResult(enum.Enum):
    """What became of an order."""

    BEGUN = 'begun'
    DONE = 'done'
    CONFLICT = 'conflict'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class Servers(typing.Protocol):
    """Calls to engines and plain servers."""

    def send(self, run: Run, listener: Listener) -> Callable[[], None]:
        """Send a request; returns what ends it and closes its connection."""

    async def ask_report(
        self, server: fleet.Server, wait_ms: int = REPORT_MS
    ) -> Report | None:
        """Ask an engine for its state; None when it does not answer."""

    async def place(
        self, server: fleet.Server, layers: fleet.LayerRange, orders: int
    ) -> OrderResult:
        """Order an engine that has begun so many orders to hold a range."""

    async def repath(
        self, request: str, hops: tuple[search.Hop, ...]
    ) -> OrderResult:
        """Order a running request's first engine to use another path."""
