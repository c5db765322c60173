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
    """Trial of a suspect on reserved servers.

    Attributes
    ----------
    names : tuple of str
        Those of its fingerprint and the parts of its prompt that are
        suspects.
    targets : tuple of str
        Names of the processes of the servers.
    """

    names: tuple[str, ...]
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
        Called with each name that is condemned when it is denied.
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
        crashes.set_proof_handler(self._handle_proof)
        quarantine.set_proof(crashes.proven_parts.__contains__)

    def check(self, fingerprint: str, parts: tuple[str, ...] = ()) -> Permit:
        """Return whether a request may be sent now.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        parts : tuple of str, optional
            Names of the parts of its prompt.
        """
        verdict = self._quarantine.check(fingerprint, parts)
        names = (fingerprint, *parts)
        if isinstance(verdict, messages.Condemned):
            for name in names:
                self._quarantine.record_refusal(name)
            for name in self._quarantine.list_condemned(names):
                self._keep_verdict(name)
            return Permit.DENIED
        if isinstance(verdict, messages.Suspect):
            return Permit.ON_TRIAL
        if any(self._is_unknown(name, names) for name in names):
            return Permit.UNKNOWN
        return Permit.GRANTED

    def _is_unknown(self, name: str, names: tuple[str, ...]) -> bool:
        """Return whether a check in progress may make a name a suspect."""
        if name in self._crashes.proven_parts:
            return False
        unresolved = self._crashes.count_checks(name)
        return unresolved > 0 and (
            unresolved + self._quarantine.count_deaths(name, names)
            >= SUSPECT_DEATHS
        )

    def may_reroute(self, run: crash_detection.TrackedRun) -> bool:
        """Return whether a run may continue on servers that it lacks now."""
        names = (run.fingerprint, *run.parts)
        return run.is_established or not any(
            self._quarantine.count_deaths(name, names) for name in names
        )

    def count_ended(self, uses: Iterable[crash_detection.ServerUse]) -> int:
        """Count the uses of servers whose processes have ended since."""
        return sum(
            self._crashes.has_ended(use.server, use.active_at) for use in uses
        )

    def compute_retry_after(
        self, fingerprint: str, parts: tuple[str, ...] = ()
    ) -> int:
        """Compute when a denied request may run again, in milliseconds."""
        verdict = self._quarantine.check(fingerprint, parts)
        if isinstance(verdict, messages.Condemned):
            return verdict.retry_after_ms
        return RETRY_AFTER_MS

    def reserve(
        self,
        fingerprint: str,
        servers: Iterable[fleet.Server],
        longest_ms: int,
        on_reply: Callable[[Trial | None], None],
        parts: tuple[str, ...] = (),
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
        parts : tuple of str, optional
            Names of the parts of its prompt.
        """
        targets = tuple(crash_detection.get_target(one) for one in servers)
        names = (fingerprint, *parts)
        self._start_task(self._reserve(names, targets, longest_ms, on_reply))

    async def _reserve(
        self,
        names: tuple[str, ...],
        targets: tuple[str, ...],
        longest_ms: int,
        on_reply: Callable[[Trial | None], None],
    ) -> None:
        try:
            suspects = await self._quarantine.reserve_trial(
                names, targets, longest_ms
            )
        except Exception:
            # The request waits for the reply and would wait for ever.
            on_reply(None)
            raise
        # Without suspects, it was cleared meanwhile and needs no trial.
        on_reply(Trial(suspects, targets) if suspects else None)

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
                self._quarantine.record_start(trial.names[0], target)
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
            trial.names[0], trial.targets[0], succeeded=False
        )

    def _handle_crash(
        self,
        server: fleet.Server,
        names: frozenset[str],
        undecided: frozenset[str],
    ) -> None:
        self._quarantine.record_crash(
            crash_detection.get_target(server), names, undecided
        )

    def _handle_proof(
        self, run: crash_detection.TrackedRun, known: frozenset[str]
    ) -> None:
        """Clear the names of a run that went well.

        Requests without parts of prompts are cleared by their completion.
        A part that ran well before may crash servers since, while runs with
        it go on that began earlier.
        """
        if not run.parts:
            return
        condemned = self._quarantine.list_condemned(run.parts)
        for name in (run.fingerprint, *run.parts):
            is_known = name in known or name in condemned
            self._quarantine.clear(
                name, run.first_progress_at if is_known else None
            )
        if run.is_on_trial:
            run.is_on_trial = False
            run.on_resolved()
            run.on_resolved = lambda: None
