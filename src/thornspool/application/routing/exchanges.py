"""State of one request from its arrival to its outcome."""

from __future__ import annotations

import typing

import attrs
import structlog

from thornspool.domain.fleet import timings
from thornspool.domain.quarantine import fingerprints

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from thornspool.application.routing import ports
    from thornspool.domain.routing import messages as routing

EXCLUSION_MS = 700
"""Time for which a server that refused or broke a request is excluded for it.

A server refuses the same request again when it arrives within milliseconds. An
outdated server list is current again after half a second.
"""

MAX_PARTS = 32
"""Parts of a prompt that are named; further ones are ignored.

The verdict on a request compares all its names with each other.
"""

_INTERNAL_ERROR = 500
_UNAVAILABLE = 503

_LOCAL_REASONS = frozenset({'draining', 'limited', 'links_lost', 'no_trial'})
"""Reasons of refusals that may apply to this entry alone.

Servers ask single entries for rest, and each entry has its own share of a
limit.
"""

logger = structlog.get_logger(__name__)


@attrs.define(eq=False)
class Exchange:
    """A request with its route and its progress.

    Attributes
    ----------
    request : ports.Request
        The request.
    reply : ports.ResponseWriter
        Writes the answer to the caller.
    route : routing.Route
        Route that the request matched.
    workspace : routing.Workspace or None
        Workspace of the caller; None for an anonymous caller.
    service : str
        Service that handles the request.
    version : int
        Version of the configuration that the request was routed with.
    on_end : callable
        Called once with the outcome when the request has ended.
    sends : int
        Times that the request was sent to a server.
    runs : int
        Times that a server may have run the request.
    response_started : bool
        Whether the caller has received a part of the answer.
    ended : bool
        Whether the request has ended.
    outcome_reason : str
        Reason for the outcome.
    first_event_at : int or None
        Time in milliseconds of the first event of the answer.
    path : str
        Servers of the last send, for the log.
    left_domain : str
        Reason of the last send to another failure domain; empty if there was
        none.
    link_bytes : int
        Bytes of all its sends to other failure domains and of the responses
        from there.
    timing : timings.StreamTiming
        Waiting times and event intervals of a stream.
    kept_tokens : float
        Tokens of memory that were last kept for more urgent requests.
    estimated_wait_ms : float or None
        Last estimate of its wait for memory; None if it had not to wait.
    share_tokens : float or None
        Share of its workspace of scarce memory at its arrival, in tokens per
        second; None if memory was not shared.
    is_over_share : bool
        Whether it exceeds that share.
    demanded : set of str
        Servers with a limit for which the request has counted as demand.
    fingerprint : str
        Hash of workspace, target and body, by which a request that is sent
        again is recognized. The query belongs to the target only where there
        is no body.
    parts : tuple of str
        Names of the parts of its prompt that other requests share.
    """

    request: ports.Request
    reply: ports.ResponseWriter
    route: routing.Route
    workspace: routing.Workspace | None
    service: str
    version: int
    on_end: Callable[[Exchange, str], None]
    sends: int = 0
    runs: int = attrs.field()
    response_started: bool = False
    ended: bool = False
    outcome_reason: str = ''
    first_event_at: int | None = None
    path: str = ''
    left_domain: str = ''
    link_bytes: int = 0
    timing: timings.StreamTiming = attrs.field(factory=timings.StreamTiming)
    kept_tokens: float = 0.0
    estimated_wait_ms: float | None = None
    share_tokens: float | None = None
    is_over_share: bool = False
    demanded: set[str] = attrs.field(factory=set)
    fingerprint: str = attrs.field(init=False)
    parts: tuple[str, ...] = attrs.field(init=False)
    _excluded_until: dict[str, int] = attrs.field(factory=dict)

    @runs.default
    def _count_prior_runs(self) -> int:
        relay = self.request.relay
        return 0 if relay is None else relay.prior_runs

    @fingerprint.default
    def _compute_fingerprint(self) -> str:
        request = self.request
        target = request.target
        if request.body:
            # A caller may vary the query of a request that crashes servers.
            target = target.partition('?')[0]
        return fingerprints.compute_fingerprint(
            self.workspace_name, f'{request.host}{target}', request.body
        )

    @parts.default
    def _compute_parts(self) -> tuple[str, ...]:
        return tuple(
            fingerprints.compute_part_name(self.service, part)
            for part in self.request.prompt_parts[:MAX_PARTS]
        )

    @property
    def workspace_name(self) -> str:
        """Name of the workspace; empty for an anonymous caller."""
        return '' if self.workspace is None else self.workspace.name

    @property
    def priority(self) -> int:
        """Priority from 0, the highest, to 9."""
        rank = self.route.priority
        if self.workspace is not None and self.workspace.priority is not None:
            rank = self.workspace.priority
        return min(9, max(0, rank))

    @property
    def deadline_at(self) -> int:
        """Time in milliseconds at which the request expires.

        The caller's or the route's time limit applies, whichever is shorter.
        """
        timeout_ms = self.request.timeout_ms
        if self.route.timeout_ms > 0:
            timeout_ms = min(timeout_ms, self.route.timeout_ms)
        return self.request.arrived_at + timeout_ms

    def compute_remaining_ms(self, now: int) -> int:
        """Compute the milliseconds until the deadline.

        Parameters
        ----------
        now : int
            Current time in milliseconds.
        """
        return self.deadline_at - now

    def exclude(self, server_ids: Iterable[str], now: int) -> None:
        """Exclude servers for this request for a limited time.

        Parameters
        ----------
        server_ids : iterable of str
            Ids of the servers.
        now : int
            Current time in milliseconds.
        """
        for server_id in server_ids:
            self._excluded_until[server_id] = now + EXCLUSION_MS

    def list_excluded(self, now: int) -> set[str]:
        """List the servers that are excluded for this request.

        Parameters
        ----------
        now : int
            Current time in milliseconds.

        Returns
        -------
        set of str
            Ids of the servers.
        """
        excluded = {
            server_id
            for server_id, until in self._excluded_until.items()
            if now < until
        }
        if self.request.relay is not None:
            excluded.update(self.request.relay.avoided)
        return excluded

    @property
    def is_counted(self) -> bool:
        """Whether the retry budget has counted the request elsewhere."""
        relay = self.request.relay
        return relay is not None and relay.is_counted

    def end(self, outcome: str) -> None:
        """Report the outcome, unless the request has already ended.

        Parameters
        ----------
        outcome : str
            Outcome for the log and the metrics.
        """
        if not self.ended:
            self.ended = True
            self.on_end(self, outcome)

    def break_off(self) -> None:
        """End the request after an error of this program.

        The request may have run, so that the answer must not state that it
        has not.
        """
        if self.ended:
            return
        self.outcome_reason = 'internal'
        try:
            if self.response_started:
                self.reply.abort()
            else:
                self.reply.refuse(_INTERNAL_ERROR, 'internal')
        finally:
            self.end(
                'cut'
                if self.response_started
                else f'refused_{_INTERNAL_ERROR}'
            )

    def refuse(
        self, status: int, reason: str, retry_after_ms: int | None = None
    ) -> None:
        """Answer with an error of the router itself and end the request.

        Parameters
        ----------
        status : int
            HTTP status code.
        reason : str
            Reason for the refusal.
        retry_after_ms : int, optional
            Milliseconds after which the caller may retry.
        """
        if self.ended:
            return
        self.outcome_reason = reason
        if (
            status == _UNAVAILABLE
            and reason in _LOCAL_REASONS
            and self.request.relay is not None
        ):
            self.reply.refuse_relay(status, reason, retry_after_ms, self.sends)
        else:
            self.reply.refuse(status, reason, retry_after_ms)
        self.end(f'refused_{status}')
