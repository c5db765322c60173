"""Which requests may run, as far as they may crash servers.

After a server has ended, the requests that had just begun there are sent on
like any others; most of them only ran beside the cause. After two ends, a
request is a suspect of the quarantine: it runs on trial, on servers that are
reserved for it among all suspects. If a server ends during its trial, all
entries refuse it from then on.
"""

from __future__ import annotations

import enum
import typing

import attrs

from thornspool.application.routing import crash_detection
from thornspool.domain.quarantine import messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable

    from thornspool.application import quarantine as quarantine_module
    from thornspool.domain.fleet import messages as fleet

SUSPECT_DEATHS = 2
"""Ended servers from which on a request is a suspect."""

MAX_SYNC_RECORDS = 64
"""Records in a reply to a peer, which has to fit into a datagram."""

TRIAL_POLL_MS = 100
"""Interval between attempts to reserve servers for a trial."""

RETRY_AFTER_MS = 1_000
"""Retry-After of a suspect for which no trial was possible in time."""


class Permit(enum.Enum):
    """Whether a request may be sent to servers."""

    GRANTED = 'granted'

    UNKNOWN = 'unknown'
    """Checks are in progress whether it has ended servers."""

    ON_TRIAL = 'on_trial'
    """Only on servers that are reserved for it."""

    DENIED = 'denied'


@attrs.define(eq=False)
class Trial:
    """Trial of a suspect on reserved servers."""

    fingerprint: str
    targets: tuple[str, ...]


class RunPermits:
    """Grants runs, and reports their ends to the quarantine.

    Parameters
    ----------
    quarantine : quarantine_module.QuarantineService
        Verdicts on requests, shared by all entries.
    crashes : crash_detection.CrashDetector
        Detects servers that end while they run requests.
    start_task : callable
        Runs a coroutine as a background task.
    keep_verdict : callable, optional
        Called with the fingerprint of each request that is denied.
    """

    def __init__(
        self,
        quarantine: quarantine_module.QuarantineService,
        crashes: crash_detection.CrashDetector,
        start_task: Callable[[Coroutine[typing.Any, typing.Any, None]], None],
        keep_verdict: Callable[[str], None] = lambda fingerprint: None,
    ) -> None:
        self._quarantine = quarantine
        self._crashes = crashes
        self._start_task = start_task
        self._keep_verdict = keep_verdict
        crashes.set_crash_handler(self._handle_crash)

    def check(self, fingerprint: str) -> Permit:
        """Return whether a request may be sent now."""
        verdict = self._quarantine.check(fingerprint)
        if isinstance(verdict, messages.Condemned):
            self._quarantine.record_refusal(fingerprint)
            self._keep_verdict(fingerprint)
            return Permit.DENIED
        if isinstance(verdict, messages.Suspect):
            return Permit.ON_TRIAL
        unresolved = self._crashes.count_checks(fingerprint)
        if not unresolved:
            return Permit.GRANTED
        deaths = self._quarantine.count_deaths(fingerprint)
        if unresolved + deaths < SUSPECT_DEATHS:
            return Permit.GRANTED
        return Permit.UNKNOWN

    def may_reroute(self, run: crash_detection.TrackedRun) -> bool:
        """Return whether a run may continue on servers that it lacks now."""
        return run.is_established or not (
            self._quarantine.count_deaths(run.fingerprint)
        )

    def count_ended(self, servers: Iterable[fleet.Server]) -> int:
        """Count the servers whose processes are known to have ended."""
        return sum(self._crashes.has_ended(server) for server in servers)

    def compute_retry_after(self, fingerprint: str) -> int:
        """Compute when a denied request may run again, in milliseconds."""
        verdict = self._quarantine.check(fingerprint)
        if isinstance(verdict, messages.Condemned):
            return verdict.retry_after_ms
        return RETRY_AFTER_MS

    def reserve(
        self,
        fingerprint: str,
        servers: Iterable[fleet.Server],
        longest_ms: int,
        on_reply: Callable[[Trial | None], None],
    ) -> None:
        """Reserve servers for a trial.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the suspect.
        servers : iterable of fleet.Server
            Servers that would run it.
        longest_ms : int
            Longest time of the trial in milliseconds.
        on_reply : callable
            Called with the trial, which must be begun or abandoned, or with
            None if it is not possible now.
        """
        trial = Trial(fingerprint, tuple(get_target(one) for one in servers))
        self._start_task(self._reserve(trial, longest_ms, on_reply))

    async def _reserve(
        self,
        trial: Trial,
        longest_ms: int,
        on_reply: Callable[[Trial | None], None],
    ) -> None:
        reserved = await self._quarantine.reserve_run_on_all(
            trial.fingerprint, trial.targets, longest_ms
        )
        if reserved and self._quarantine.find_trial(trial.fingerprint) is None:
            # It was cleared meanwhile and needs no trial.
            reserved = False
        on_reply(trial if reserved else None)

    def abandon(self, trial: Trial) -> None:
        """Release the servers of a trial that does not begin."""
        self._end_trial(trial)

    def begin(
        self,
        fingerprint: str,
        servers: Iterable[fleet.Server],
        trial: Trial | None = None,
        parts: tuple[str, ...] = (),
    ) -> crash_detection.TrackedRun:
        """Record that a request is sent to servers."""
        run = self._crashes.begin(fingerprint, servers, parts=parts)
        if trial is not None:
            for target in trial.targets:
                self._quarantine.record_start(fingerprint, target)
            run.is_on_trial = True
            run.on_resolved = lambda: self._end_trial(trial)
        return run

    def reroute(
        self,
        run: crash_detection.TrackedRun,
        servers: Iterable[fleet.Server],
    ) -> crash_detection.TrackedRun:
        """Record that a run continues on other servers."""
        self._crashes.end(run, crash_detection.RunEnd.LEFT)
        return self._crashes.begin(run.fingerprint, servers, run, run.parts)

    def end(
        self,
        run: crash_detection.TrackedRun,
        ending: crash_detection.RunEnd,
    ) -> None:
        """Record the end of a run; a trial lasts until its cause is known."""
        if ending is crash_detection.RunEnd.COMPLETED:
            self._quarantine.record_completion(run.fingerprint)
        self._crashes.end(run, ending)

    def _end_trial(self, trial: Trial) -> None:
        self._quarantine.record_end(
            trial.fingerprint, trial.targets[0], succeeded=False
        )

    def _handle_crash(
        self, server: fleet.Server, fingerprints: frozenset[str]
    ) -> None:
        self._quarantine.record_crash(get_target(server), fingerprints)


def get_target(server: fleet.Server) -> str:
    """Return the name by which the quarantine knows a server's process."""
    return f'{server.id}@{server.started_at}'
