"""Detection of servers that ended while they ran requests.

A connection that breaks does not show that its server has ended: it may have
been reset or cut, and a host that is suspended answers nobody. A server has
ended if nothing listens at its address any more after it broke a run, or if
another process answers in its place.

A record in the server list is no proof, as any program may write one: it is a
reason to check the process that it seems to replace. Only where checks show
nothing, a record counts that stands while the process writes none.
"""

from __future__ import annotations

import asyncio
import enum
import typing

import attrs
import structlog

from thornspool.application.routing import ports
from thornspool.application.routing import (
    routing_state as routing_state_module,
)
from thornspool.application.routing import tracked_processes
from thornspool.domain.quarantine import fingerprints as fingerprints_module
from thornspool.domain.quarantine import proofs

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable

    from thornspool import clock as clock_module
    from thornspool.application.routing import server_evidence
    from thornspool.domain.fleet import messages as fleet

ESTABLISHED_MS = 500
"""Time of progress after which a run did not cause the end of its server.

A request that crashes servers does so when they begin to run it.
"""

SECOND_CHECK_DELAY_MS = 60
"""Time between the two checks that must find no listener."""

RECHECK_MS = 500
"""Interval of the checks of a server that answered none so far."""

MAX_CHECKS = 6
"""Most checks of a server after a run broke there."""

DOUBT_MS = 10_000
"""Time for which a run that broke may still prove to have ended its server.

A crashed server is replaced after some seconds, and its successor appears in
the server list within another second.
"""

ENDED_MS = 60_000
"""Time for which the end of a server is remembered."""

SILENT_MS = 3_600
"""Time without a record of a process after which a later one has replaced it
if checks show nothing; records expire after the same time."""

_MS_PER_S = 1000.0

logger = structlog.get_logger(__name__)


class RunEnd(enum.Enum):
    """How a run ended for its servers."""

    COMPLETED = 'completed'
    """The server answered completely."""

    NOT_RUN = 'not_run'
    """No server began to run it."""

    BROKEN = 'broken'
    """The server closed the connection."""

    LEFT = 'left'
    """The entry ended the run."""


@attrs.define(eq=False)
class TrackedRun:
    """A run at one or several servers.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request.
    servers : tuple of fleet.Server
        Servers that run it.
    first_progress_at, last_progress_at : int or None
        Times of the first and the last event of its response, in
        milliseconds; None before the first.
    ended_at : int or None
        Time of its end in milliseconds; None while it runs.
    is_on_trial : bool
        Whether it is the trial of a suspect.
    ended_servers : list of fleet.Server
        Servers that ended before its response began. It may have been sent
        after that, so that its end decides whether it is a possible cause.
    on_resolved : callable
        Called once it is known whether it ended a server.
    doubts : int
        Servers that it may have ended.
    origin : TrackedRun or None
        The run from which it continues on a changed path.
    is_implicated : bool
        Whether one of its servers ended under it. Others that end at about
        the same time are a coincidence or a consequence.
    parts : tuple of str
        Names of the parts of its prompt that other requests share.
    on_established : callable
        Called once its servers have run it for a while.
    began_at : int
        Time of its begin in milliseconds.
    """

    fingerprint: str
    servers: tuple[fleet.Server, ...]
    first_progress_at: int | None = None
    last_progress_at: int | None = None
    ended_at: int | None = None
    is_on_trial: bool = False
    ended_servers: list[fleet.Server] = attrs.field(factory=list)
    on_resolved: Callable[[], None] = lambda: None
    doubts: int = 0
    origin: TrackedRun | None = None
    is_implicated: bool = False
    parts: tuple[str, ...] = ()
    on_established: Callable[[], None] = lambda: None
    began_at: int = 0

    @property
    def active_at(self) -> int:
        """Time of its last event, or of its begin, in milliseconds."""
        if self.last_progress_at is None:
            return self.began_at
        return self.last_progress_at

    def may_have_ended(self, server: fleet.Server) -> bool:
        """Return whether the run may have ended a server."""
        if self.is_established or self.is_implicated:
            return False
        origin = self.origin
        return not (
            origin is not None
            and origin.is_implicated
            and any(
                tracked_processes.get_key(one)
                == tracked_processes.get_key(server)
                for one in origin.servers
            )
        )

    def has_name(self, name: str) -> bool:
        """Return whether the request or a part of its prompt has a name."""
        return name in self.names

    @property
    def names(self) -> frozenset[str]:
        """Fingerprint of the request and names of the parts of its prompt."""
        return frozenset((self.fingerprint, *self.parts))

    def record_progress(self, now: int) -> None:
        """Record an event of the response."""
        was_established = self.is_established
        if self.first_progress_at is None:
            self.first_progress_at = now
        self.last_progress_at = now
        if self.is_established and not was_established:
            self.on_established()

    @property
    def is_waiting(self) -> bool:
        """Whether its response has not begun."""
        return self.ended_at is None and self.first_progress_at is None

    @property
    def is_established(self) -> bool:
        """Whether its servers have run it for a while."""
        return (
            self.first_progress_at is not None
            and self.last_progress_at is not None
            and self.last_progress_at - self.first_progress_at
            >= ESTABLISHED_MS
        )


@attrs.frozen
class ServerUse:
    """Use of a server by a run.

    Attributes
    ----------
    server : fleet.Server
        The server.
    active_at : int
        Time in milliseconds of the last sign that the server runs it: of its
        last event, or of its send.
    """

    server: fleet.Server
    active_at: int


_CrashHandler = typing.Callable[
    ['fleet.Server', frozenset[str], frozenset[str]], None
]


class CrashDetector:
    """Tracks the runs of an entry and detects servers that ended under them.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    routing_state : routing_state_module.RoutingState
        Listed servers, and those that leave or are suspected.
    evidence : server_evidence.ServerEvidence
        Client for the servers, and what counts against them.
    try_acquire : callable
        Returns whether a server accepts a check now.
    start_task : callable
        Runs a coroutine as a background task.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        routing_state: routing_state_module.RoutingState,
        evidence: server_evidence.ServerEvidence,
        try_acquire: Callable[[str], bool],
        start_task: Callable[[Coroutine[typing.Any, typing.Any, None]], None],
    ) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._evidence = evidence
        self._servers = evidence.servers
        self._try_acquire = try_acquire
        self._start_task = start_task
        self._on_crash: _CrashHandler = lambda server, names, undecided: None
        self._on_proof: Callable[[TrackedRun, frozenset[str]], None] = (
            lambda run, known: None
        )
        self._processes: dict[
            tracked_processes.Key, tracked_processes.Process
        ] = {}
        self._ended: dict[tracked_processes.Key, int] = {}
        self._revision = 0
        self.proven_parts = proofs.ProvenParts()
        self.ended_count = 0

    def set_crash_handler(self, handler: _CrashHandler) -> None:
        """Set the callback for servers that ended.

        It receives the server and the names that may have caused its end:
        the fingerprints of the requests that had just begun there, and the
        parts of their prompts. The third argument has the names that run
        there without a response; they are reported again when their runs end
        unless no server ran them.
        """
        self._on_crash = handler

    def set_proof_handler(
        self, handler: Callable[[TrackedRun, frozenset[str]], None]
    ) -> None:
        """Set the callback for runs that show that their parts run well.

        It receives the run and the parts that others showed before.
        """
        self._on_proof = handler

    def has_ended(self, server: fleet.Server, active_at: int = 0) -> bool:
        """Return whether the process of a server is known to have ended.

        Parameters
        ----------
        server : fleet.Server
            The server.
        active_at : int, optional
            Time in milliseconds of its last sign of life. An end that was
            found before it is wrong, or is the end of another process.
        """
        ended_at = self._ended.get(tracked_processes.get_key(server))
        return ended_at is not None and active_at <= ended_at

    def count_checks(self, name: str) -> int:
        """Count the servers that are being checked after they broke a run.

        Parameters
        ----------
        name : str
            Fingerprint of the request, or name of a part of its prompt.
        """
        return sum(
            process.is_checking
            and any(run.has_name(name) for run in process.doubtful)
            for process in self._processes.values()
        )

    def begin(
        self,
        fingerprint: str,
        servers: Iterable[fleet.Server],
        origin: TrackedRun | None = None,
        parts: tuple[str, ...] = (),
    ) -> TrackedRun:
        """Record that a run is sent to servers, or continues on them."""
        run = TrackedRun(
            fingerprint,
            tuple(servers),
            origin=origin,
            parts=parts,
            began_at=self._clock.now(),
        )
        run.on_established = lambda: self._record_proof(run)
        for server in run.servers:
            self._find_process(server).running.add(run)
        return run

    def end(self, run: TrackedRun, ending: RunEnd) -> None:
        """Record that a run has ended.

        Parameters
        ----------
        run : TrackedRun
            The run.
        ending : RunEnd
            How it ended.
        """
        run.ended_at = self._clock.now()
        may_be_cause = (
            ending in {RunEnd.BROKEN, RunEnd.LEFT} and not run.is_established
        )
        self._close(run, may_be_cause)
        if ending is RunEnd.COMPLETED:
            self._record_completion(run)
        if may_be_cause:
            for server in run.ended_servers:
                self._on_crash(server, run.names, frozenset())
        if not run.doubts:
            run.on_resolved()
        elif ending is RunEnd.BROKEN:
            self._start_check(run.servers[0])
        for server in run.servers:
            if run.is_on_trial or server.id in self._routing_state.suspicions:
                self._start_check(server)

    def _close(self, run: TrackedRun, may_be_cause: bool) -> None:
        """Remove a run from its servers, or keep it there as doubtful."""
        is_doubtful = may_be_cause and not any(
            tracked_processes.get_key(one) in self._ended
            for one in run.servers
        )
        for server in run.servers:
            process = self._find_process(server)
            process.running.discard(run)
            if is_doubtful and self._is_staying(server):
                process.doubtful.add(run)
                run.doubts += 1
            self._drop_if_unused(process)

    def _record_proof(self, run: TrackedRun) -> None:
        """Record that servers ran the parts of a run well."""
        known = frozenset(
            part for part in run.parts if part in self.proven_parts
        )
        for part in run.parts:
            self.proven_parts.record(part)
        self._on_proof(run, known)

    def _is_staying(self, server: fleet.Server) -> bool:
        """Return whether a server is listed and does not leave.

        Others end by themselves, with the runs that they still have.
        """
        return (
            server.id in self._routing_state.servers
            and server.id not in self._routing_state.leaving
        )

    def _record_completion(self, run: TrackedRun) -> None:
        """Drop the doubts about a request that a server has completed."""
        if run.first_progress_at is not None:
            self._record_proof(run)
        for process in list(self._processes.values()):
            self._resolve(
                process,
                [
                    one
                    for one in process.doubtful
                    if one.fingerprint == run.fingerprint
                ],
            )

    def _resolve(
        self, process: tracked_processes.Process, runs: Iterable[TrackedRun]
    ) -> None:
        """Drop the doubts about runs at a process."""
        for run in list(runs):
            process.doubtful.discard(run)
            run.doubts -= 1
            if not run.doubts:
                run.on_resolved()
        self._drop_if_unused(process)

    def tick(self) -> None:
        """Check processes that may have ended, and repeat checks."""
        now = self._clock.now()
        if self._revision != self._routing_state.revision:
            self._revision = self._routing_state.revision
            tracked_processes.update_claims(
                self._processes.values(),
                self._routing_state.servers.values(),
                now,
            )
        for process in list(self._processes.values()):
            self._resolve(
                process,
                [
                    run
                    for run in process.doubtful
                    if run.ended_at is None or now - run.ended_at > DOUBT_MS
                ],
            )
            if self._is_silent(process, now):
                self._record_end(process.server, 'replaced')
            elif self._is_check_due(process, now):
                self._start_check(process.server)
        self._ended = {
            key: at for key, at in self._ended.items() if now - at <= ENDED_MS
        }

    def _is_silent(self, process: tracked_processes.Process, now: int) -> bool:
        """Return whether a later record has stood while none was written.

        While the store is unavailable, no process writes any.
        """
        claim = process.claim
        if claim is None or not process.is_claimed:
            return False
        active_at = max(
            claim.since,
            self._find_listed_at(process.server),
            *(run.active_at for run in process.running),
        )
        return now - active_at >= SILENT_MS and not (
            self._routing_state.is_stale(now)
            or self._routing_state.is_settling(now)
        )

    def _find_listed_at(self, server: fleet.Server) -> int:
        """Find when a process has last been listed; 0 if it is not listed."""
        listed = self._routing_state.servers.get(server.id)
        if listed is None or listed.started_at != server.started_at:
            return 0
        return self._routing_state.listed_at.get(server.id, 0)

    def _is_check_due(
        self, process: tracked_processes.Process, now: int
    ) -> bool:
        if process.checks and now - process.checked_at < RECHECK_MS:
            return False
        return (
            bool(process.doubtful) and process.checks > 0
        ) or self._is_end_open(process)

    def _is_end_open(self, process: tracked_processes.Process) -> bool:
        """Return whether records or runs differ from what is known."""
        if tracked_processes.get_key(process.server) in self._ended:
            return self._shows_life(process)
        return process.is_claimed

    def _shows_life(self, process: tracked_processes.Process) -> bool:
        """Return whether a process that has ended goes on."""
        ended_at = self._ended.get(tracked_processes.get_key(process.server))
        return ended_at is not None and (
            self._find_listed_at(process.server) > ended_at
            or any(run.active_at > ended_at for run in process.running)
        )

    def _find_process(self, server: fleet.Server) -> tracked_processes.Process:
        key = tracked_processes.get_key(server)
        process = self._processes.get(key)
        if process is None:
            process = self._processes[key] = tracked_processes.Process(
                server,
                has_doubted_start=self._routing_state.has_doubted_start(
                    server
                ),
            )
        return process

    def _drop_if_unused(self, process: tracked_processes.Process) -> None:
        if not (process.running or process.doubtful or process.is_checking):
            self._processes.pop(
                tracked_processes.get_key(process.server), None
            )

    def _start_check(self, server: fleet.Server) -> None:
        """Check a server unless that is in progress or can tell nothing."""
        process = self._processes.get(tracked_processes.get_key(server))
        if (
            process is None
            or process.is_checking
            or process.checks >= MAX_CHECKS
            or not (process.doubtful or self._is_end_open(process))
        ):
            return
        process.checked_at = self._clock.now()
        if self._evidence.links.are_lost:
            return
        process.checks += 1
        if not self._try_acquire(server.id):
            return
        process.is_checking = True
        self._start_task(self._check(process))

    async def _check(self, process: tracked_processes.Process) -> None:
        """Check a server twice before it counts as ended."""
        opened_at = self._clock.now()
        try:
            found = await self._servers.check(process.server)
            if found.is_listening is False:
                await asyncio.sleep(SECOND_CHECK_DELAY_MS / _MS_PER_S)
                opened_at = self._clock.now()
                found = await self._servers.check(process.server)
        finally:
            process.is_checking = False
        if found.is_listening is False:
            self._evidence.record_failure(
                process.server,
                opened_at,
                lambda: self._record_end(
                    process.server,
                    'replaced' if process.is_claimed else 'not_listening',
                ),
            )
        elif process.has_successor(found.started_at):
            self._record_end(
                process.server,
                'replaced' if process.is_claimed else 'restarted',
            )
        elif found.is_listening:
            self._record_life(process, found.started_at, opened_at)
        self._drop_if_unused(process)

    def _record_life(
        self,
        process: tracked_processes.Process,
        started_at: int | None,
        opened_at: int,
    ) -> None:
        """Record that a process, or one of an unknown start, listens."""
        is_identified = started_at is not None and (
            started_at == process.server.started_at
        )
        if is_identified or not process.is_claimed:
            process.checks = 0
            self._resolve(process, process.doubtful)
        if not is_identified:
            return
        if process.claim is not None:
            process.claim.is_refuted = True
        key = tracked_processes.get_key(process.server)
        if opened_at > self._ended.get(key, opened_at):
            del self._ended[key]
            logger.warning(
                'server_end_withdrawn',
                server=process.server.id,
                born=process.server.started_at,
            )

    def _record_end(self, server: fleet.Server, evidence: str) -> None:
        """Record that the process of a server has ended."""
        key = tracked_processes.get_key(server)
        process = self._processes.get(key)
        if process is None or key in self._ended:
            return
        self._ended[key] = self._clock.now()
        self._evidence.suspect(server, routing_state_module.NOT_REACHED)
        runs = set(process.doubtful)
        if self._is_staying(server):
            runs |= process.running
        runs = {run for run in runs if run.may_have_ended(server)}
        # A process that has been replaced ended seconds ago.
        undecided = {
            run
            for run in runs
            if run.is_waiting and (run.is_on_trial or evidence == 'replaced')
        }
        for run in undecided:
            run.ended_servers.append(server)
        fingerprints = frozenset(run.fingerprint for run in runs)
        if fingerprints:
            self.ended_count += 1
            for run in runs:
                run.is_implicated = True
            logger.warning(
                'server_ended',
                server=server.id,
                born=server.started_at,
                evidence=evidence,
                runs=len(runs),
                fingerprints=','.join(sorted(fingerprints)),
                **self._describe_parts(runs),
            )
            names = _collect_names(runs - undecided)
            if names:
                self._on_crash(server, names, _collect_names(undecided))
        self._resolve_everywhere(process.doubtful)

    def _describe_parts(self, runs: Iterable[TrackedRun]) -> dict[str, str]:
        """Describe the parts of runs by whether others ran them well."""
        parts = sorted({part for run in runs for part in run.parts})
        proven = [part for part in parts if part in self.proven_parts]
        unproven = [part for part in parts if part not in self.proven_parts]
        return {
            'parts': fingerprints_module.shorten(unproven),
            'proven_parts': fingerprints_module.shorten(proven),
        }

    def _resolve_everywhere(self, runs: set[TrackedRun]) -> None:
        """Drop the doubts about runs that one of their servers has broken."""
        explained = set(runs)
        for process in list(self._processes.values()):
            self._resolve(process, process.doubtful & explained)


def _collect_names(runs: Iterable[TrackedRun]) -> frozenset[str]:
    return frozenset(name for run in runs for name in run.names)


def get_target(server: fleet.Server) -> str:
    """Return the name by which the quarantine knows a server's process."""
    return f'{server.id}@{server.started_at}'


def classify_end(
    head: ports.ResponseHead | None, completion: ports.Completion
) -> RunEnd:
    """Return how a run ended for its servers.

    Parameters
    ----------
    head : ports.ResponseHead or None
        Head of the response; None if none arrived.
    completion : ports.Completion
        How the attempt ended.
    """
    if completion is ports.Completion.NOT_SENT:
        return RunEnd.NOT_RUN
    if head is not None and not head.executed:
        return RunEnd.NOT_RUN
    if completion is ports.Completion.BROKEN or head is None:
        return RunEnd.BROKEN
    return RunEnd.COMPLETED if head.is_authentic else RunEnd.BROKEN
