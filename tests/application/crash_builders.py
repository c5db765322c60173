"""Builders of entries with services whose targets crash on some calls."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import types
import typing

import attrs

from tests import builders
from tests.application import builders as application_builders
from tests.application import fakes
from thornspool import metrics
from thornspool.application import admission_gate
from thornspool.application import calls
from thornspool.application import directory
from thornspool.application import exceptions
from thornspool.application import intake
from thornspool.application import ports
from thornspool.application import quarantine
from thornspool.application import requests
from thornspool.application import service_trials
from thornspool.application.actions import service as actions
from thornspool.application.generation import attempts as generation_attempts
from thornspool.application.generation import messages as generation_messages
from thornspool.application.generation import planning as generation_planning
from thornspool.application.generation import service as generation
from thornspool.domain.configuration import documents
from thornspool.domain.pipelines import frames
from thornspool.domain.quarantine import fingerprints
from thornspool.domain.targets import messages

if typing.TYPE_CHECKING:
    from thornspool.domain.actions import results

WORKSPACE = 'swan-coast'
MARKER = b'crash'
CRASHER = b'{"note": "crash"}'
INNOCENT = b'{"note": "fine"}'
CRASHING_PROMPT = 'crash'
TIMEOUT_MS = 2_000
FAILED_MS = 500
OPERATIONS = (
    documents.Operation('status', True, TIMEOUT_MS),
    documents.Operation('hold', False, TIMEOUT_MS),
    documents.Operation('pay', False, TIMEOUT_MS, deduplicates=True),
)


class CrashingServices:
    """Fake targets of a service; a body with the marker crashes its target.

    Attributes
    ----------
    crash_ms, latency_ms : int
        Time until a call crashes its target, and until it is answered.
    connections_to_break : int
        Number of next calls that lose the connection to a live target.
    unreachable : bool
        Whether the host of a crashed target no longer answers either.
    """

    def __init__(self) -> None:
        self.crash_ms = 3
        self.latency_ms = 5
        self.connections_to_break = 0
        self.unreachable = False
        self.crashed: list[str] = []
        self.executions: collections.Counter[bytes] = collections.Counter()
        self.reached: collections.Counter[str] = collections.Counter()
        self.keys: collections.Counter[str] = collections.Counter()
        self._ends: dict[str, asyncio.Event] = {}

    async def call(self, call: ports.ServiceCall) -> ports.ServiceResponse:
        """Run a call; its connection breaks when the target crashes."""
        if call.url in self.crashed:
            raise exceptions.TargetUnreachable('Connection refused.')
        self.reached[call.url] += 1
        self.keys[call.key] += 1
        end = self._ends.setdefault(call.url, asyncio.Event())
        if self.connections_to_break:
            self.connections_to_break -= 1
            raise exceptions.TargetConnectionBroken('Connection reset.')
        crashes = MARKER in call.body
        delay = self.crash_ms if crashes else self.latency_ms
        try:
            await asyncio.wait_for(end.wait(), delay / 1000)
        except TimeoutError:
            if not crashes:
                self.executions[call.body] += 1
                return ports.ServiceResponse(
                    200, 'application/json', call.body
                )
            if not end.is_set():
                self.crashed.append(call.url)
            end.set()
        raise exceptions.TargetConnectionBroken('Connection reset.')

    async def is_refusing(self, url: str) -> bool:
        """Return whether a probe of the target is refused."""
        await asyncio.sleep(0.001)
        return url in self.crashed and not self.unreachable


class CrashingEngines:
    """Fake engines that work in steps, each with its own phase.

    An engine crashes at the end of a step with the crashing prompt.
    """

    def __init__(self) -> None:
        self.step_ms = 49
        self.crashed: list[str] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.random = random.Random(5)
        self._ends: dict[str, asyncio.Event] = {}

    async def generate(
        self, call: generation_messages.GenerateCall, deliver: typing.Any
    ) -> None:
        """Run an attempt until its first stage crashes or the step ends."""
        first = call.route.stages[0].target
        if first in self.crashed:
            raise exceptions.TargetUnreachable('Connection refused.')
        self.runs[call.request.prompt] += 1
        end = self._ends.setdefault(first, asyncio.Event())
        delay = self.random.uniform(0, self.step_ms)
        try:
            await asyncio.wait_for(end.wait(), delay / 1000)
        except TimeoutError:
            if call.request.prompt != CRASHING_PROMPT:
                deliver([_build_end(call)])
                return
            if not end.is_set():
                self.crashed.append(first)
            end.set()
        raise exceptions.TargetResponseLost('Connection reset.')

    async def cancel(self, *_: object) -> None:
        pass


class _Targets:
    """Readiness that is unreachable from a failure until the next poll."""

    def __init__(
        self, clock: builders.FakeClock, services: CrashingServices
    ) -> None:
        self._clock = clock
        self._services = services
        self._failed_at: dict[str, int] = {}

    def read_readiness(self, target: str) -> messages.Readiness:
        failed = target in self._failed_at
        if failed and f'http://{target}' not in self._services.crashed:
            # The next poll of a live target succeeds.
            waited = self._clock.now() - self._failed_at[target]
            failed = waited < FAILED_MS
        states = messages.Readiness
        return states.UNREACHABLE if failed else states.READY

    def read_load(self, target: str) -> None:
        return None

    def record_failure(self, target: str, reason: typing.Any) -> None:
        self._failed_at[target] = self._clock.now()


@attrs.define
class Entry:
    """One entry with its intake and the services that tests inspect."""

    intake: intake.Intake
    quarantine: quarantine.QuarantineService
    targets: _Targets
    generation: generation.GenerationService


class CrashFleet:
    """Entries with one service and one model, in virtual time.

    Parameters
    ----------
    entries, targets : int
        Number of entries and of targets.
    """

    def __init__(self, entries: int = 3, targets: int = 8) -> None:
        self.clock = builders.FakeClock(now=1_000_000)
        self.network = fakes.FakeNetwork()
        self.platform = fakes.FakePlatform()
        self.services = CrashingServices()
        self.engines = CrashingEngines()
        self.seed = 0
        self._tasks: list[asyncio.Future[None]] = []
        names = tuple(f'slots-{number}' for number in range(targets))
        self.snapshot = documents.Snapshot(
            1,
            workspaces={WORKSPACE: documents.Workspace(WORKSPACE)},
            services={
                'slots': documents.Service(
                    'slots', WORKSPACE, names, OPERATIONS
                )
            },
            models={
                'text': documents.Model(
                    'text',
                    '1',
                    8,
                    tuple(documents.Stage(name, 0, 8) for name in names),
                )
            },
            targets={
                name: application_builders.build_target(name) for name in names
            },
        )
        members = tuple(
            builders.build_member(f'entry-{number}')
            for number in range(entries)
        )
        view = fakes.FakeMembers(members)
        self.entries = [self._build_entry(one, view) for one in members]
        self.clock.advance(quarantine.OWNER_SETTLE_MS)

    def _build_entry(
        self, member: ports.Member, view: fakes.FakeMembers
    ) -> Entry:
        peers = fakes.FakePeers(self.network, member)
        rng = random.Random(member.incarnation)
        targets = _Targets(self.clock, self.services)
        quarantine_service = quarantine.QuarantineService(
            view, member.incarnation, peers, self.clock, rng.random
        )
        quarantine_service._refresh_view()
        watched = service_trials.CrashDetectingServices(
            self.services,
            quarantine_service,
            self.services.is_refusing,
            targets.record_failure,
        )
        action_service = actions.ActionService(
            self.clock, self.platform, peers, watched, view, member, rng
        )
        call_service = calls.CallService(
            self.clock,
            watched,
            targets,
            rng,
            lambda name: True,
            lambda name: None,
            targets.record_failure,
            quarantine_service,
        )
        runners = intake.Runners(
            action_service,
            call_service,
            None,  # type: ignore[arg-type]
            lambda listed: directory.list_ready(listed, targets, rng),
            quarantine_service,
        )
        intake_service = intake.Intake(
            self.clock,
            lambda: self.snapshot,
            intake.AdmissionChecks(
                admission_gate.AdmissionGate(
                    self.clock, _build_open(), quarantine_service
                ).admit,
                lambda: True,
                lambda: False,
                tuple,
            ),
            runners,
            contextlib.nullcontext,
            metrics.Metrics(),
            types.SimpleNamespace(  # type: ignore[arg-type]
                record_outcome=lambda *_: None, record_time=lambda *_: None
            ),
        )
        return Entry(
            intake_service,
            quarantine_service,
            targets,
            self._build_generation(member, targets, quarantine_service, rng),
        )

    def _build_generation(
        self,
        member: ports.Member,
        targets: _Targets,
        quarantine_service: quarantine.QuarantineService,
        rng: random.Random,
    ) -> generation.GenerationService:
        planning = generation_planning.Planning(
            member.host, lambda: self.snapshot, targets, rng
        )
        hooks = generation_attempts.Hooks(
            record_failure=targets.record_failure,
            record_crash=quarantine_service.record_crash,
            trials=quarantine_service,
        )
        service = generation.GenerationService(
            self.clock, self.engines, planning, hooks
        )
        quarantine_service.set_suspect_handler(service.abandon_suspects)
        return service

    async def generate(
        self, entry: int, prompt: str
    ) -> generation_messages.GenerationEvent:
        """Request text generation and return the last event."""
        self.seed += 1
        deadline = self.clock.now() + TIMEOUT_MS
        request = build_request(f'r{self.seed}', prompt, deadline)
        stream = self.entries[entry].generation.stream(request)
        return [event async for event in stream][-1]

    def start_quarantine(self) -> None:
        """Run the quarantine exchange of all entries until the loop ends."""
        for entry in self.entries:
            task = asyncio.ensure_future(entry.quarantine.run())
            self._tasks.append(task)

    async def send(
        self,
        entry: int,
        body: bytes = CRASHER,
        operation: str = 'status',
        key: str = '',
        is_resent: bool = False,
    ) -> results.ActionResult | requests.RequestRefused:
        """Send a call with a new key, or with the given one."""
        self.seed += 1
        key = key or builders.build_key(self.seed, self.clock.wall())
        request = requests.OperationRequest(
            WORKSPACE, 'slots', operation, key, body, is_resent
        )
        try:
            return await self.entries[entry].intake.run_operation(request)
        except requests.RequestRefused as refused:
            return refused

    def check(self, body: bytes, operation: str = 'status') -> set[str]:
        """Return the kinds of quarantine verdict of all entries on a call."""
        fingerprint = fingerprints.fingerprint_call(
            WORKSPACE, 'slots', operation, body
        )
        verdicts = [one.quarantine.check(fingerprint) for one in self.entries]
        return {type(verdict).__name__ for verdict in verdicts}


def build_request(
    name: str, prompt: str, deadline: int
) -> generation_messages.GenerationRequest:
    """Build a text generation request."""
    return generation_messages.GenerationRequest(
        name, WORKSPACE, 'text', prompt, 0, 0, deadline
    )


def _build_end(call: generation_messages.GenerateCall) -> frames.Frame:
    return frames.Frame(
        request=call.request.request_id,
        attempt=call.attempt,
        end=0,
    )


def _build_open() -> typing.Any:
    """Build an admission that admits all requests."""
    return types.SimpleNamespace(
        admit=lambda *_: types.SimpleNamespace(ticket=None),
        finish=lambda *_: None,
    )
