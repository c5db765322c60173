"""Client for servers that records which connections they answer."""

from __future__ import annotations

import functools
import typing

from thornspool.application.routing import ports

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock as clock_module
    from thornspool.domain.fleet import messages as fleet
    from thornspool.domain.paths import search


class ObservedServers:
    """Passes calls on to a client, and records the answers.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    client : ports.ServerClient
        The client.
    on_answer : callable
        Called with each server that answers, the time in milliseconds at
        which the connection was opened, and which process has answered.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        client: ports.ServerClient,
        on_answer: Callable[[fleet.Server, int, ports.Responder], None],
    ) -> None:
        self._clock = clock
        self._client = client
        self._on_answer = on_answer

    def send(
        self, run: ports.Run, listener: ports.ResponseListener
    ) -> Callable[[], None]:
        """Send a request; returns a function that cancels the attempt."""
        return self._client.send(
            run,
            _ObservingListener(
                listener,
                functools.partial(
                    self._on_answer, run.server, self._clock.now()
                ),
            ),
        )

    async def probe(
        self, server: fleet.Server, wait_ms: int = ports.REPORT_MS
    ) -> ports.EngineReport | None:
        """Probe an engine for its state; None if it does not respond."""
        opened_at = self._clock.now()
        report = await self._client.probe(server, wait_ms)
        if report is not None:
            self._record(server, opened_at, report.started_at)
        return report

    async def check(
        self, server: fleet.Server, wait_ms: int = ports.CHECK_MS
    ) -> ports.ProcessCheck:
        """Check whether a process listens at the address of a server."""
        opened_at = self._clock.now()
        found = await self._client.check(server, wait_ms)
        if found.is_listening:
            self._record(server, opened_at, found.started_at)
        return found

    async def assign_layers(
        self, server: fleet.Server, layers: fleet.LayerRange, order_count: int
    ) -> ports.OrderResult:
        """Order an engine to hold a range of layers."""
        opened_at = self._clock.now()
        result = await self._client.assign_layers(server, layers, order_count)
        if result is not ports.OrderResult.UNKNOWN:
            self._record(server, opened_at)
        return result

    async def reroute(
        self, request: str, hops: tuple[search.Hop, ...]
    ) -> ports.OrderResult:
        """Order the first engine of a running request to use another path."""
        opened_at = self._clock.now()
        result = await self._client.reroute(request, hops)
        if result is not ports.OrderResult.UNKNOWN:
            self._record(hops[0].server, opened_at)
        return result

    def _record(
        self,
        server: fleet.Server,
        opened_at: int,
        started_at: int | None = None,
    ) -> None:
        self._on_answer(
            server, opened_at, _identify(server.started_at, started_at)
        )


def _identify(
    listed_start: int | None, stated_start: int | None
) -> ports.Responder:
    """Find out which process has answered, by the starts of processes."""
    if listed_start is None or stated_start is None:
        return ports.Responder.UNKNOWN
    if listed_start == stated_start:
        return ports.Responder.LISTED
    return ports.Responder.OTHER


class _ObservingListener:
    """Records the head of a response and passes everything on."""

    def __init__(
        self,
        listener: ports.ResponseListener,
        on_answer: Callable[[ports.Responder], None],
    ) -> None:
        self._listener = listener
        self._on_answer = on_answer
        self.handle_body = listener.handle_body
        self.handle_completion = listener.handle_completion

    def handle_head(self, head: ports.ResponseHead) -> None:
        """Record that the server has answered."""
        self._on_answer(ports.Responder.UNKNOWN)
        self._listener.handle_head(head)
