"""The use cases of one entry, built from the platform outwards."""

from __future__ import annotations

import typing

import attrs

from thornspool.adapters.targets import engines
from thornspool.adapters.targets import loads
from thornspool.adapters.targets import probes
from thornspool.adapters.targets import services
from thornspool.application import admission
from thornspool.application import calls
from thornspool.application import capacity
from thornspool.application import directory
from thornspool.application import drain
from thornspool.application import exceptions
from thornspool.application import gates
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
from thornspool.domain.pipelines import questions
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
class Outside:
    """What the use cases of an entry are built on.

    Attributes
    ----------
    clock : clock_module.Clock
        Source of time.
    random_source : random.Random
        Source of every random choice.
    platform : ports.Platform
        The platform.
    peers : ports.Peers
        Messages between entries.
    own : ports.Member
        This entry.
    metrics : metrics_module.Metrics
        Its metrics.
    """

    clock: clock_module.Clock
    random_source: random.Random
    platform: ports.Platform
    peers: ports.Peers
    own: ports.Member
    metrics: metrics_module.Metrics


class Parts:
    """The use cases of one entry.

    Parameters
    ----------
    outside : Outside
        What they are built on.
    """

    def __init__(self, outside: Outside) -> None:
        self._outside = outside
        self._budgets: dict[str, budget.RetryBudget] = {}
        self._build_state()
        self._build_runners()

    def _build_state(self) -> None:
        """Build what follows the other entries, platform and targets."""
        outside = self._outside
        clock, peers, own = outside.clock, outside.peers, outside.own
        self.members = membership.MembershipService(
            clock,
            peers,
            outside.platform,
            own,
            outside.random_source,
            lambda: self.configuration.version(),
            lambda address, version: self.configuration.hear_version(
                address, version
            ),
        )
        self.configuration = configuration.ConfigurationService(
            clock,
            outside.platform,
            peers,
            self.members,
            own.incarnation,
            outside.random_source,
        )
        self.configuration.ask_stragglers_with(self.members.poll_versions)
        self.configuration.subscribe(
            lambda snapshot: self.members.announce_version()
        )
        snapshot = self.configuration.snapshot
        self.objectives = objectives.ObjectiveService(
            clock, snapshot, peers, self.members, own.incarnation
        )
        self.load_reader = loads.LoadReader(clock)
        self.targets = targets.TargetService(
            clock,
            peers,
            self.members,
            own.incarnation,
            snapshot,
            self.load_reader.fetch,
            outside.random_source,
        )
        self.members.watch_hosts(self.targets.hear_hosts)
        self.drain = drain.DrainService(clock, self.members.announce_leaving)

    def _build_runners(self) -> None:
        """Build what admits and runs requests."""
        outside, snapshot = self._outside, self.configuration.snapshot
        clock, draw = outside.clock, outside.random_source.random
        incarnation = outside.own.incarnation
        self.admission = admission.AdmissionService(
            snapshot,
            self.members,
            incarnation,
            outside.peers,
            clock,
            draw,
            capacity.CapacityReader(clock, snapshot, self.targets).read,
        )
        self.quarantine = quarantine.QuarantineService(
            self.members, incarnation, outside.peers, clock, draw
        )
        self.services = services.HttpServices()
        timed = timed_services.TimedServices(
            clock,
            self.services,
            self.admission.observe,
            self.admission.note_late,
        )
        watched = service_trials.WatchedServices(
            timed,
            self.quarantine,
            probes.is_refusing,
            self.targets.note_failure,
        )
        self.engines = engines.CurlEngines()
        self.actions = actions.ActionService(
            clock,
            outside.platform,
            outside.peers,
            watched,
            self.members,
            outside.own,
            outside.random_source,
        )
        self.calls = calls.CallService(
            clock,
            watched,
            self.targets,
            outside.random_source,
            self._take_retry,
            self._record_success,
            self._note_call_failure,
            self.quarantine,
        )
        planning = generation_planning.Planning(
            outside.own.host,
            snapshot,
            self.targets,
            outside.random_source,
            read_limits=lambda: questions.compute_limits(
                len(self.members.list_members())
            ),
        )
        hooks = generation_attempts.Hooks(
            take_retry=lambda: self._take_retry('generation'),
            note_failure=self._note_engine_failure,
            note_death=self.quarantine.note_death,
            note_loads=self._hear_loads,
            is_answering=self.targets.is_answering,
            trials=self.quarantine,
        )
        self.generation = generation.GenerationService(
            clock, self.engines, planning, hooks
        )
        self.quarantine.leave_with(self.generation.leave_suspects)

    def build_intake(
        self, list_instead: typing.Callable[[], tuple[str, ...]]
    ) -> intake.Intake:
        """Build the use case that takes callers' requests.

        Parameters
        ----------
        list_instead : callable
            Returns URLs of entries to use instead of this one.
        """
        outside = self._outside
        gatekeeper = gates.Gatekeeper(
            outside.clock, self.admission, self.quarantine
        )
        runners = intake.Runners(
            self.actions,
            self.calls,
            self.generation,
            lambda listed: directory.list_ready(
                listed, self.targets, outside.random_source
            ),
            self.quarantine,
        )
        return intake.Intake(
            outside.clock,
            self.configuration.snapshot,
            intake.Gates(
                admit=gatekeeper.admit,
                is_accepting=self.drain.is_accepting,
                is_isolated=self.is_isolated,
                list_instead=list_instead,
            ),
            runners,
            self.drain.track,
            outside.metrics,
            self.objectives,
        )

    def is_isolated(self) -> bool:
        """Tell whether neither platform nor any other entry answers."""
        return self.configuration.is_isolated(self._outside.clock.now())

    def is_ready(self) -> bool:
        """Tell whether new work is taken."""
        return (
            self.configuration.version() > 0
            and self.drain.is_accepting()
            and not self.is_isolated()
        )

    async def close(self) -> None:
        """Close the connections to targets."""
        self.load_reader.close()
        self.services.close()
        await self.engines.close()

    def _find_budget(self, name: str) -> budget.RetryBudget:
        """Return the retry budget of a target group."""
        found = self._budgets.get(name)
        if found is None:
            found = budget.build_budget(self._outside.clock.now())
            self._budgets[name] = found
        return found

    def _record_success(self, name: str) -> None:
        """Let a success add to a retry budget."""
        self._find_budget(name).record_success(self._outside.clock.now())

    def _take_retry(self, name: str) -> bool:
        """Take one retry from a budget and count it."""
        taken = self._find_budget(name).spend(self._outside.clock.now())
        event = 'retry' if taken else 'retry_refused'
        self._outside.metrics.count_event(event)
        return taken

    def _note_call_failure(
        self, target: str, error: exceptions.TargetError
    ) -> None:
        """Give a service's target that failed no work for now."""
        self._outside.metrics.count_event('target_failure')
        if isinstance(error, exceptions.TargetLeaving):
            self.targets.hear_load(
                target_messages.LoadReport(
                    target,
                    self._outside.clock.now(),
                    target_messages.Readiness.LEAVING,
                )
            )
            return
        self.targets.note_failure(target, error.message)

    def _note_engine_failure(
        self, target: str, reason: pipeline_messages.Reason
    ) -> None:
        """Give an engine that failed no work for now."""
        self._outside.metrics.count_event('target_failure')
        self.targets.note_failure(target, reason.value)

    def _hear_loads(self, heard: list[frames.StageLoad]) -> None:
        """Take in the loads that came along with an answer."""
        now = self._outside.clock.now()
        for load in heard:
            self.targets.hear_load(
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
