"""Construction of the application services of one entry."""

from __future__ import annotations

import typing

import attrs

from thornspool.adapters.targets import engines
from thornspool.adapters.targets import loads
from thornspool.adapters.targets import probes
from thornspool.adapters.targets import services
from thornspool.application import admission
from thornspool.application import admission_gate
from thornspool.application import calls
from thornspool.application import capacity
from thornspool.application import directory
from thornspool.application import drain
from thornspool.application import exceptions
from thornspool.application import intake
from thornspool.application import membership
from thornspool.application import objectives
from thornspool.application import quarantine
from thornspool.application import service_trials
from thornspool.application import targets
from thornspool.application import timed_services
from thornspool.application.actions import service as actions
from thornspool.application.configuration import service as configuration
from thornspool.application.generation import attempts as generation_attempts
from thornspool.application.generation import planning as generation_planning
from thornspool.application.generation import service as generation
from thornspool.domain.pipelines import report_requests
from thornspool.domain.retries import budget
from thornspool.domain.targets import messages as target_messages

if typing.TYPE_CHECKING:
    import random

    from thornspool import clock as clock_module
    from thornspool import metrics as metrics_module
    from thornspool.application import ports
    from thornspool.domain.pipelines import frames
    from thornspool.domain.pipelines import messages as pipeline_messages


@attrs.frozen
class Dependencies:
    """Dependencies of the application services of an entry.

    Attributes
    ----------
    clock : clock_module.Clock
        Source of time.
    random_source : random.Random
        Source of every random choice.
    platform : ports.Platform
        Client of the platform.
    peers : ports.Peers
        Transport of messages between entries.
    local_member : ports.Member
        Member record of this entry.
    metrics : metrics_module.Metrics
        Metrics of this entry.
    """

    clock: clock_module.Clock
    random_source: random.Random
    platform: ports.Platform
    peers: ports.Peers
    local_member: ports.Member
    metrics: metrics_module.Metrics


class EntryServices:
    """Application services of one entry.

    Parameters
    ----------
    dependencies : Dependencies
        Clock, clients and metrics that the services use.
    """

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._retry_budgets: dict[str, budget.RetryBudget] = {}
        self._build_state_services()
        self._build_request_services()

    def _build_state_services(self) -> None:
        """Build the services that track members, configuration and targets."""
        dependencies = self._dependencies
        clock, peers, local_member = (
            dependencies.clock,
            dependencies.peers,
            dependencies.local_member,
        )
        self.members = membership.MembershipService(
            clock,
            peers,
            dependencies.platform,
            local_member,
            dependencies.random_source,
            lambda: self.configuration.version(),
            lambda address, version: (
                self.configuration.record_reported_version(address, version)
            ),
        )
        self.configuration = configuration.ConfigurationService(
            clock,
            dependencies.platform,
            peers,
            self.members,
            local_member.incarnation,
            dependencies.random_source,
        )
        self.configuration.set_version_poll(self.members.request_versions)
        self.configuration.subscribe(
            lambda snapshot: self.members.announce_version()
        )
        snapshot = self.configuration.snapshot
        self.objectives = objectives.ObjectiveService(
            clock, snapshot, peers, self.members, local_member.incarnation
        )
        self.load_reader = loads.LoadReader(clock)
        self.targets = targets.TargetService(
            clock,
            peers,
            self.members,
            local_member.incarnation,
            snapshot,
            self.load_reader.fetch,
            dependencies.random_source,
        )
        self.members.watch_hosts(self.targets.apply_host_list)
        self.drain = drain.DrainService(clock, self.members.announce_leaving)

    def _build_request_services(self) -> None:
        """Build the services that admit and run requests."""
        dependencies, snapshot = (
            self._dependencies,
            self.configuration.snapshot,
        )
        clock, draw_random = (
            dependencies.clock,
            dependencies.random_source.random,
        )
        incarnation = dependencies.local_member.incarnation
        self.admission = admission.AdmissionService(
            snapshot,
            self.members,
            incarnation,
            dependencies.peers,
            clock,
            draw_random,
            capacity.CapacityReader(clock, snapshot, self.targets).read,
        )
        self.quarantine = quarantine.QuarantineService(
            self.members, incarnation, dependencies.peers, clock, draw_random
        )
        self.services = services.HttpServices()
        timed_client = timed_services.TimedServices(
            clock,
            self.services,
            self.admission.observe,
            self.admission.record_timeout,
        )
        crash_detecting_services = service_trials.CrashDetectingServices(
            timed_client,
            self.quarantine,
            probes.is_refusing,
            self.targets.record_failure,
        )
        self.engines = engines.CurlEngines()
        self.actions = actions.ActionService(
            clock,
            dependencies.platform,
            dependencies.peers,
            crash_detecting_services,
            self.members,
            dependencies.local_member,
            dependencies.random_source,
        )
        self.calls = calls.CallService(
            clock,
            crash_detecting_services,
            self.targets,
            dependencies.random_source,
            self._spend_retry,
            self._record_success,
            self._record_call_failure,
            self.quarantine,
        )
        planning = generation_planning.Planning(
            dependencies.local_member.host,
            snapshot,
            self.targets,
            dependencies.random_source,
            read_limits=lambda: report_requests.compute_limits(
                len(self.members.list_members())
            ),
        )
        hooks = generation_attempts.Hooks(
            take_retry=lambda: self._spend_retry('generation'),
            record_failure=self._record_engine_failure,
            record_crash=self.quarantine.record_crash,
            record_loads=self._apply_loads,
            is_responsive=self.targets.is_responsive,
            trials=self.quarantine,
        )
        self.generation = generation.GenerationService(
            clock, self.engines, planning, hooks
        )
        self.quarantine.set_suspect_handler(self.generation.abandon_suspects)

    def build_intake(
        self, list_alternatives: typing.Callable[[], tuple[str, ...]]
    ) -> intake.Intake:
        """Build the service that receives the requests of callers.

        Parameters
        ----------
        list_alternatives : callable
            Returns the caller URLs of other entries, to which callers are
            referred during a drain.

        Returns
        -------
        intake.Intake
            The service.
        """
        dependencies = self._dependencies
        gate = admission_gate.AdmissionGate(
            dependencies.clock, self.admission, self.quarantine
        )
        runners = intake.Runners(
            self.actions,
            self.calls,
            self.generation,
            lambda listed: directory.list_ready(
                listed, self.targets, dependencies.random_source
            ),
            self.quarantine,
        )
        return intake.Intake(
            dependencies.clock,
            self.configuration.snapshot,
            intake.AdmissionChecks(
                admit=gate.admit,
                is_accepting=self.drain.is_accepting,
                is_isolated=self.is_isolated,
                list_alternatives=list_alternatives,
            ),
            runners,
            self.drain.track,
            dependencies.metrics,
            self.objectives,
        )

    def is_isolated(self) -> bool:
        """Return whether neither the platform nor any peer responds."""
        return self.configuration.is_isolated(self._dependencies.clock.now())

    def is_ready(self) -> bool:
        """Return whether the entry accepts new requests."""
        return (
            self.configuration.version() > 0
            and self.drain.is_accepting()
            and not self.is_isolated()
        )

    async def close(self) -> None:
        """Close all connections to targets."""
        self.load_reader.close()
        self.services.close()
        await self.engines.close()

    def _get_retry_budget(self, name: str) -> budget.RetryBudget:
        """Return the retry budget of a target group, created on first use."""
        retry_budget = self._retry_budgets.get(name)
        if retry_budget is None:
            retry_budget = budget.build_budget(self._dependencies.clock.now())
            self._retry_budgets[name] = retry_budget
        return retry_budget

    def _record_success(self, name: str) -> None:
        """Record a success, which replenishes a retry budget."""
        self._get_retry_budget(name).record_success(
            self._dependencies.clock.now()
        )

    def _spend_retry(self, name: str) -> bool:
        """Spend one retry of a budget and count the result as an event.

        Returns
        -------
        bool
            Whether the budget permits the retry.
        """
        permitted = self._get_retry_budget(name).spend(
            self._dependencies.clock.now()
        )
        event = 'retry' if permitted else 'retry_refused'
        self._dependencies.metrics.count_event(event)
        return permitted

    def _record_call_failure(
        self, target: str, error: exceptions.TargetError
    ) -> None:
        """Exclude a service target that failed or is leaving."""
        self._dependencies.metrics.count_event('target_failure')
        if isinstance(error, exceptions.TargetLeaving):
            self.targets.apply_load_report(
                target_messages.LoadReport(
                    target,
                    self._dependencies.clock.now(),
                    target_messages.Readiness.LEAVING,
                )
            )
            return
        self.targets.record_failure(target, error.message)

    def _record_engine_failure(
        self, target: str, reason: pipeline_messages.Reason
    ) -> None:
        """Exclude an engine that failed."""
        self._dependencies.metrics.count_event('target_failure')
        self.targets.record_failure(target, reason.value)

    def _apply_loads(self, stage_loads: list[frames.StageLoad]) -> None:
        """Apply the loads that engines report with a response."""
        now = self._dependencies.clock.now()
        for load in stage_loads:
            self.targets.apply_load_report(
                target_messages.LoadReport(
                    load.target,
                    now,
                    target_messages.Readiness(load.state),
                    load.running,
                    load.waiting,
                    load.max_batch,
                    load.step_ms,
                )
            )
