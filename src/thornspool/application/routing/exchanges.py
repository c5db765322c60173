"""What one request has been through, and the one line that tells it."""

from __future__ import annotations

import typing

import attrs
import structlog

from thornspool.domain.fleet import timings

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from thornspool.application.routing import ports
    from thornspool.domain.routing import messages as routing

AVOID_MS = 700
"""Time for which a server that refused or broke a request is left out for it.

A request that comes back to the same engine within milliseconds is refused
again. A list that lags is right again after half a second.
"""

logger = structlog.get_logger(__name__)


@attrs.define(eq=False)
class Exchange:
    """A request with its route, and how far it is.

    Attributes
    ----------
    inquiry : ports.Inquiry
        The request.
    reply : ports.Reply
        The way back to the caller.
    route : routing.Route
        Route that it matched.
    workspace : routing.Workspace or None
        Whose it is.
    service : str
        Service that takes it.
    version : int
        Configuration that decided it.
    on_end : callable
        Called once, with the outcome, when nothing more will happen.
    sends : int
        Times that it was sent to a server.
    runs : int
        Times that a server may have run it.
    begun : bool
        Whether the caller has had a part of the answer.
    ended : bool
        Whether the outcome is known.
    note : str
        Why it ended as it did.
    first_event_at : int or None
        When the first part of the answer came.
    path : str
        Servers of the last send, for the log.
    timing : timings.StreamTiming
        Waits and pauses of a stream.
    """

    inquiry: ports.Inquiry
    reply: ports.Reply
    route: routing.Route
    workspace: routing.Workspace | None
    service: str
    version: int
    on_end: Callable[[Exchange, str], None]
    sends: int = 0
    runs: int = 0
    begun: bool = False
    ended: bool = False
    note: str = ''
    first_event_at: int | None = None
    path: str = ''
    timing: timings.StreamTiming = attrs.field(factory=timings.StreamTiming)
    _avoided: dict[str, int] = attrs.field(factory=dict)

    @property
    def workspace_name(self) -> str:
        """Name of the workspace; empty for nobody."""
        return '' if self.workspace is None else self.workspace.name

    @property
    def priority(self) -> int:
        """Rank from 0, the first, to 9."""
        rank = self.route.priority
        if self.workspace is not None and self.workspace.priority is not None:
            rank = self.workspace.priority
        return min(9, max(0, rank))

    @property
    def deadline_at(self) -> int:
        """Time at which the caller or the operator stops waiting."""
        patience = self.inquiry.patience_ms
        if self.route.timeout_ms > 0:
            patience = min(patience, self.route.timeout_ms)
        return self.inquiry.arrived_at + patience

    def compute_left(self, now: int) -> int:
        """Return the milliseconds that are left."""
        return self.deadline_at - now

    def avoid(self, names: Iterable[str], now: int) -> None:
        """Leave servers out for this request, for a while."""
        for name in names:
            self._avoided[name] = now + AVOID_MS

    def list_avoided(self, now: int) -> set[str]:
        """List the servers that are left out for this request."""
        return {name for name, end in self._avoided.items() if now < end}

    def end(self, outcome: str) -> None:
        """Note the outcome, once."""
        if not self.ended:
            self.ended = True
            self.on_end(self, outcome)

    def refuse(
        self, status: int, reason: str, retry_after_ms: int | None = None
    ) -> None:
        """Answer with an error of the router's own and end."""
        if self.ended:
            return
        self.note = reason
        self.reply.refuse(status, reason, retry_after_ms)
        self.end(f'refused_{status}')
