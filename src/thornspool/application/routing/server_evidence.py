"""Evidence against servers, and what contradicts it.

A failure that this entry observes counts as evidence against the server, here
and at its peers, once another server has answered this entry on a connection
that was opened later. Until then the entry checks reference servers. If none
of them answers, the entry has lost its own links: its observations are no
evidence, so it discards its suspicions and retracts them from its peers.

A later answer of the server to this entry contradicts earlier evidence of this
entry and of its peers, and ends the suspicion.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import typing

import attrs
import structlog

from thornspool.application.routing import containment
from thornspool.application.routing import ports
from thornspool.application.routing import (
    routing_state as routing_state_module,
)

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    import random

    from thornspool import clock as clock_module
    from thornspool.domain.fleet import links as links_module
    from thornspool.domain.fleet import messages as fleet

REFERENCES = 3
"""Servers that are checked after a failure, in different failure domains if
there are several."""

FIRST_WAIT_MS = 40
"""Longest wait for the answer of the first reference; a sound server answers
within some 10 ms."""

REFERENCE_WAIT_MS = 350
"""Interval of the checks of further references."""

REFERENCE_CHECKS = 2
"""Checks of each further reference; a lost packet affects only one of them.

Together they wait for this many intervals. Busy hosts answer late although
they are sound, and an entry whose links count as lost serves no request by
itself.
"""

MAX_DELAY_MS = 50
"""Delay of this entry above which unanswered checks are inconclusive."""

PROOF_MS = 300
"""Age of an answer up to which it shows that the links work."""

SUSPECT_CHECK_MS = 400
"""Interval of the checks of a server that this entry suspects."""

RESTORE_CHECK_MS = 350
"""Interval of the checks whether lost links are restored."""

LEAD_GRACE_MS = 800
"""Time after the loss of all links for which the leadership is kept."""

RETENTION_MS = 10_000
"""Time for which answers of servers are remembered."""

UNCONFIRMED_MS = 500
"""Time for which a failure waits while no reference accepts a check.

An answer after the end of a cut is no evidence about failures during the cut.
"""

_MS_PER_S = 1000.0

logger = structlog.get_logger(__name__)


@attrs.frozen
class Failure:
    """A server that has not answered.

    Attributes
    ----------
    server : fleet.Server
        The server.
    opened_at : int
        Time in milliseconds of the attempt.
    recorded_at : int
        Time in milliseconds at which it failed.
    apply : callable
        Called once the failure counts.
    is_contradicted_by_answer : bool
        Whether a later answer of the server contradicts it.
    """

    server: fleet.Server
    opened_at: int
    recorded_at: int
    apply: Callable[[], None]
    is_contradicted_by_answer: bool


@attrs.frozen
class Confirmation:
    """A question whether this entry reaches servers.

    Attributes
    ----------
    proven_since : int
        Time in milliseconds from which connections that are answered count.
    on_result : callable
        Called with the result.
    """

    proven_since: int
    on_result: Callable[[bool], None]


class ServerEvidence:
    """Decides which failures of servers count.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    routing_state : routing_state_module.RoutingState
        Known servers and suspicions.
    servers : ports.ServerClient
        Client for calls to servers, which records the answers.
    links : links_module.Links
        Links of this entry.
    random_source : random.Random
        Source of all random choices.
    start_task : callable
        Runs a coroutine as a background task.
    try_acquire : callable, optional
        Returns whether a server accepts a check now.
    announce : callable, optional
        Sends new evidence to peers at once.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        routing_state: routing_state_module.RoutingState,
        servers: ports.ServerClient,
        links: links_module.Links,
        random_source: random.Random,
        start_task: Callable[[Coroutine[typing.Any, typing.Any, None]], None],
        try_acquire: Callable[[str], bool] = lambda server_id: True,
        announce: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self.servers = servers
        self.links = links
        self._random = random_source
        self._start_task = start_task
        self._announce = announce
        self._try_acquire = try_acquire
        self._failures: list[Failure] = []
        self._confirmations: list[Confirmation] = []
        self._suspects_checked_at: dict[str, int] = {}
        self._is_checking = False
        self._checks: set[asyncio.Task[ports.ProcessCheck]] = set()
        self._checked_at = clock.now()
        self.lost_count = 0

    def record_failure(
        self,
        server: fleet.Server,
        opened_at: int,
        apply: Callable[[], None],
        is_contradicted_by_answer: bool = False,
    ) -> None:
        """Record that a server has not answered this entry.

        Parameters
        ----------
        server : fleet.Server
            The server.
        opened_at : int
            Time in milliseconds at which the connection was opened, or at
            which it broke.
        apply : callable
            Called once the failure counts; not called if the links of this
            entry are lost.
        is_contradicted_by_answer : bool, optional
            Whether a later answer of the server contradicts the failure.
        """
        restored_at = self.links.restored_at
        if self.links.are_lost or (
            restored_at is not None and opened_at <= restored_at
        ):
            return
        if self.links.has_answer_since(opened_at, server.id):
            apply()
            return
        self._failures.append(
            Failure(
                server,
                opened_at,
                self._clock.now(),
                apply,
                is_contradicted_by_answer,
            )
        )
        self.check_links()

    def record_unanswered_probe(
        self,
        server: fleet.Server,
        probed_at: int,
        wait_ms: int = ports.REPORT_MS,
        reason: str = routing_state_module.NO_REPORT,
        max_delay_ms: int = MAX_DELAY_MS,
    ) -> None:
        """Suspect a server that has not answered a probe in time.

        Parameters
        ----------
        server : fleet.Server
            The server.
        probed_at : int
            Time in milliseconds at which the probe was sent.
        wait_ms : int, optional
            Timeout of the probe in milliseconds.
        reason : str, optional
            Reason of the suspicion.
        max_delay_ms : int, optional
            Delay of this entry in milliseconds above which the missing answer
            is ignored, as it may be unread.
        """
        waited_ms = self._clock.now() - probed_at
        if waited_ms > wait_ms + max_delay_ms:
            logger.info('silence_doubted', server=server.id, waited=waited_ms)
            return
        self.record_failure(
            server,
            probed_at,
            lambda: self.suspect(server, reason),
            is_contradicted_by_answer=True,
        )

    def record_unreachable(
        self, server: fleet.Server | None, opened_at: int
    ) -> None:
        """Suspect a server to which no connection could be opened.

        Parameters
        ----------
        server : fleet.Server or None
            The server; None when there was none.
        opened_at : int
            Time in milliseconds of the attempt.
        """
        if server is not None:
            self.record_failure(
                server,
                opened_at,
                lambda: self.suspect(server, routing_state_module.NOT_REACHED),
                is_contradicted_by_answer=True,
            )

    def suspect(self, server: fleet.Server, reason: str) -> None:
        """Suspect a server from now on, unless it has been replaced."""
        if self._routing_state.has_later_process(server):
            return
        self._routing_state.suspect(server.id, reason, self._clock.now())

    def record_answer(
        self, server: fleet.Server, opened_at: int, responder: ports.Responder
    ) -> None:
        """Record that a server has answered.

        Parameters
        ----------
        server : fleet.Server
            The server.
        opened_at : int
            Time in milliseconds at which the connection was opened.
        responder : ports.Responder
            The process that has answered.
        """
        self.links.record_answer(server.id, opened_at)
        if responder is not ports.Responder.OTHER:
            self._routing_state.record_contact(
                server.id,
                self._clock.now(),
                responder is ports.Responder.LISTED,
            )
            self._failures = [
                one
                for one in self._failures
                if one.server.id != server.id
                or one.opened_at >= opened_at
                or not one.is_contradicted_by_answer
            ]

    def may_lead(self) -> bool:
        """Return whether this entry may give orders to engines.

        An entry that reaches none hands the leadership over; it keeps it for
        a moment, as a check may have failed by chance.
        """
        since = self.links.lost_since
        return since is None or self._clock.now() - since < LEAD_GRACE_MS

    @property
    def is_checking(self) -> bool:
        """Whether it is open if the links of this entry are lost."""
        return self._is_checking and not self.links.are_lost

    def confirm_links(self, on_result: Callable[[bool], None]) -> None:
        """Check whether this entry reaches servers.

        Parameters
        ----------
        on_result : callable
            Called with the result, at once if a server has just answered.
        """
        proven_since = self._clock.now() - PROOF_MS
        if self.links.are_lost:
            on_result(False)
        elif self.links.has_answer_since(proven_since, ''):
            on_result(True)
        else:
            self._confirmations.append(Confirmation(proven_since, on_result))
            self.check_links()

    async def _is_any_answering(self) -> bool | None:
        """Check references; None if there is none that accepts a check."""
        # Most failures are those of a server, so that one answers.
        references = self._choose_references(1)
        if references and await self._await_answer(
            references, FIRST_WAIT_MS, 1
        ):
            return True
        references = self._choose_references(REFERENCES)
        return await self._await_answer(references) if references else None

    def check_links(self) -> None:
        """Check references unless that is in progress or links are lost."""
        if not self._is_checking and not self.links.are_lost:
            self._is_checking = True
            self._start_task(self._check_links())

    def tick(self) -> None:
        """Decide what is open about the links; called about every 100 ms."""
        now = self._clock.now()
        self.links.forget_old(now, RETENTION_MS)
        if not self.links.are_lost:
            self._check_suspects(now)
            if self._failures:
                self.check_links()
        if (
            self.links.are_lost
            and not self._is_checking
            and now - self._checked_at >= RESTORE_CHECK_MS
        ):
            self._is_checking = True
            self._start_task(self._check_restored())

    def _check_suspects(self, now: int) -> None:
        """Check the servers that this entry suspects.

        A sound server may be silent for a second.
        """
        for server_id in self._routing_state.list_own_suspects():
            server = self._routing_state.servers.get(server_id)
            if (
                server is not None
                and self._is_check_due(server_id, now)
                and self._try_acquire(server_id)
            ):
                self._suspects_checked_at[server_id] = now
                self._routing_state.suspicions[server_id].is_checked = True
                self._start_task(self._check_suspect(server))
        self._suspects_checked_at = {
            server_id: at
            for server_id, at in self._suspects_checked_at.items()
            if now - at <= SUSPECT_CHECK_MS
        }

    def _is_check_due(self, server_id: str, now: int) -> bool:
        """Return whether a suspected server is to be checked now.

        A server at a claimed address is checked once: all entries have the
        claim, and the next record of the server ends it as well.
        """
        suspicion = self._routing_state.suspicions[server_id]
        if suspicion.is_checked and (
            suspicion.reason == routing_state_module.ADDRESS_CLAIMED
        ):
            return False
        return (
            now - self._suspects_checked_at.get(server_id, 0)
            >= SUSPECT_CHECK_MS
        )

    async def _check_suspect(self, server: fleet.Server) -> None:
        # An answer is recorded like any other one.
        await self.servers.check(server)

    async def _check_links(self) -> None:
        """Check references until all failures are decided.

        Those that no reference decides wait for the next tick.
        """
        try:
            self._apply_failures()
            while self._failures or self._confirmations:
                began_at = self._clock.now()
                is_answering = await self._is_any_answering()
                if is_answering is False:
                    if not self._was_delayed(began_at):
                        self._lose_links()
                    continue
                self._apply_failures()
                self._confirm(is_answering is not None)
                if not (
                    self._confirmations or self._has_failures_since(began_at)
                ):
                    self._drop_unconfirmed()
                    return
        finally:
            self._is_checking = False

    async def _await_answer(
        self,
        servers: list[fleet.Server],
        wait_ms: int = REFERENCE_WAIT_MS,
        count: int = REFERENCE_CHECKS,
    ) -> bool:
        """Check servers until one of them answers.

        Parameters
        ----------
        servers : list of fleet.Server
            The servers.
        wait_ms : int, optional
            Interval of the checks in milliseconds; earlier ones go on.
        count : int, optional
            Number of checks of each server.

        Returns
        -------
        bool
            Whether one has answered before the end of the last interval.
        """
        checks: set[asyncio.Task[ports.ProcessCheck]] = set()
        for remaining in range(count, 0, -1):
            checks |= {
                self._start_check(server, remaining * wait_ms)
                for server in servers
            }
            with contextlib.suppress(TimeoutError):
                for check in asyncio.as_completed(
                    checks, timeout=wait_ms / _MS_PER_S
                ):
                    if (await check).is_listening:
                        return True
        return False

    def _start_check(
        self, server: fleet.Server, wait_ms: int
    ) -> asyncio.Task[ports.ProcessCheck]:
        task = asyncio.ensure_future(self.servers.check(server, wait_ms))
        # A check that is no longer awaited still records its answer.
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)
        return task

    def _was_delayed(self, began_at: int) -> bool:
        longest_ms = FIRST_WAIT_MS + REFERENCE_CHECKS * REFERENCE_WAIT_MS
        return self._clock.now() - began_at > longest_ms + MAX_DELAY_MS

    def _list_servers(self) -> list[fleet.Server]:
        return [
            server
            for server in self._routing_state.servers.values()
            if server.id not in self._routing_state.leaving
        ]

    def _choose_references(self, count: int) -> list[fleet.Server]:
        """Choose servers that accept a check, of different failure domains.

        Servers with failures are chosen only if there are no others: then an
        answer of any of them shows that the links work.
        """
        servers = self._list_servers()
        excluded = {one.server.id for one in self._failures}
        excluded.update(self._routing_state.suspicions)
        candidates = [one for one in servers if one.id not in excluded]
        if not candidates and len(servers) > 1:
            candidates = servers
        self._random.shuffle(candidates)
        ranks: collections.Counter[str] = collections.Counter()
        ranked: list[tuple[int, fleet.Server]] = []
        for server in candidates:
            ranked.append((ranks[server.failure_domain], server))
            ranks[server.failure_domain] += 1
        ranked.sort(key=lambda one: one[0])
        accepting = (
            server for _, server in ranked if self._try_acquire(server.id)
        )
        return list(itertools.islice(accepting, count))

    def _apply_failures(self) -> None:
        """Apply the failures that a later answer confirms.

        Where there is one server only, none can be confirmed.
        """
        is_alone = len(self._list_servers()) <= 1
        failures, self._failures = self._failures, []
        for failure in failures:
            if is_alone or self.links.has_answer_since(
                failure.opened_at, failure.server.id
            ):
                with containment.contain_error():
                    failure.apply()
            else:
                self._failures.append(failure)
        if len(self._failures) < len(failures):
            self._announce()

    def _has_failures_since(self, began_at: int) -> bool:
        return any(one.recorded_at > began_at for one in self._failures)

    def _drop_unconfirmed(self) -> None:
        now = self._clock.now()
        self._failures = [
            one
            for one in self._failures
            if now - one.recorded_at <= UNCONFIRMED_MS
        ]

    def _confirm(self, has_references: bool) -> None:
        """Confirm the links for requests from before the last answer."""
        confirmations, self._confirmations = self._confirmations, []
        for one in confirmations:
            if not has_references or self.links.has_answer_since(
                one.proven_since, ''
            ):
                with containment.contain_error():
                    one.on_result(True)
            else:
                self._confirmations.append(one)

    def _lose_links(self) -> None:
        now = self._clock.now()
        logger.warning('links_lost', failures=len(self._failures))
        self.lost_count += 1
        self.links.lost_since = now
        self._checked_at = now
        self._failures.clear()
        self._routing_state.retract_suspicions(now)
        self._announce()
        confirmations, self._confirmations = self._confirmations, []
        for one in confirmations:
            with containment.contain_error():
                one.on_result(False)

    async def _check_restored(self) -> None:
        """Check one server, and further ones if it answers.

        Two answers restore the links, also of the same server if the others
        have ended.
        """
        try:
            self._checked_at = self._clock.now()
            references = self._choose_references(REFERENCES)
            if not references:
                return
            first, *others = references
            if not await self._await_answer([first]):
                return
            if (
                not others
                or await self._await_answer(others)
                or await self._await_answer([first])
            ):
                since = self.links.lost_since or self._clock.now()
                self.links.lost_since = None
                self.links.restored_at = self._clock.now()
                logger.info(
                    'links_restored', after_ms=self._clock.now() - since
                )
        finally:
            self._is_checking = False
