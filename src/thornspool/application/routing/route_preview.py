"""Dry run of routing: where a request would go now, and why.

Each decision is made by the code that serves requests, on copies of the state
that it changes and with a random source of its own.
"""

from __future__ import annotations

import random
import typing

import attrs

from thornspool.application.routing import exchanges
from thornspool.application.routing import ports
from thornspool.domain.paths import choice
from thornspool.domain.paths import search
from thornspool.domain.routing import decisions
from thornspool.domain.routing import messages as routing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from thornspool import clock as clock_module
    from thornspool.application.routing import calls as calls_module
    from thornspool.application.routing import intake as intake_module
    from thornspool.application.routing import (
        routing_state as routing_state_module,
    )
    from thornspool.application.routing import streams as streams_module


@attrs.frozen
class Query:
    """Request to preview.

    Attributes
    ----------
    host, path : str
        Host, in lower case, and path of the request.
    key : str or None
        API key; None for no key.
    prompt_tokens, output_tokens : float
        Tokens of a model request; 0 for what the entry assumes.
    """

    host: str
    path: str
    key: str | None = None
    prompt_tokens: float = 0.0
    output_tokens: float = 0.0


@attrs.frozen
class Hop:
    """An engine of a path and its layers, from the first to the end."""

    server: str
    failure_domain: str
    first: int
    end: int


@attrs.frozen
class PathPreview:
    """Best path of a failure domain, or the path that would be chosen.

    Attributes
    ----------
    failure_domain : str
        Failure domain of its first engine.
    cost_ms : float or None
        Expected milliseconds including penalties; None without a path.
    extra_cost_ms : float
        Additional cost of a remote failure domain.
    reason : str
        Reason why no path exists; empty for a path.
    hops : tuple of Hop
        Engines in the order of their layers.
    """

    failure_domain: str
    cost_ms: float | None
    extra_cost_ms: float
    reason: str = ''
    hops: tuple[Hop, ...] = ()


@attrs.frozen
class ModelPreview:
    """Decision on a request to a model.

    Attributes
    ----------
    prompt_tokens, output_tokens : float
        Tokens for which the request needs memory.
    path : PathPreview or None
        Path that would be chosen; None without one.
    domains : tuple of PathPreview
        Best path of each failure domain, the own one first.
    max_reserved_share : float
        Share of each engine's memory that the request may reserve.
    may_use_free : bool
        Whether this entry's share of the free memory suffices.
    estimated_wait_ms : float or None
        Estimate of the wait for memory; None where there is none.
    """

    prompt_tokens: float
    output_tokens: float
    path: PathPreview | None
    domains: tuple[PathPreview, ...]
    max_reserved_share: float
    may_use_free: bool
    estimated_wait_ms: float | None


@attrs.frozen
class ServerPreview:
    """A server of a plain service with its score; the lowest is the best."""

    server: str
    failure_domain: str
    score: float


@attrs.frozen
class CallPreview:
    """Decision on a call to a plain service.

    Attributes
    ----------
    server : str or None
        Server that would be chosen; None if no server accepts the call.
    servers : tuple of ServerPreview
        Servers to choose from, the best first, with scores without jitter.
    """

    server: str | None
    servers: tuple[ServerPreview, ...]


@attrs.frozen
class Excluded:
    """A server that can't be chosen now.

    Attributes
    ----------
    server, failure_domain : str
        The server and its failure domain.
    reason : str
        ``suspected``, ``leaving``, ``resting``, ``refusing``,
        ``limit_used_up`` or ``slots_used_up``. A path may not begin at an
        engine for the last two reasons, but may go on there.
    detail : str
        What was observed, if known.
    """

    server: str
    failure_domain: str
    reason: str
    detail: str = ''


@attrs.frozen
class RoutePreview:
    """What would happen to a request.

    Attributes
    ----------
    verdict : decisions.Verdict
        What the copy of the configuration proves.
    copy_age_ms : int or None
        Age of this copy in milliseconds; None if it was never confirmed.
    configuration : int
        Its version.
    outcome : str
        ``sent``, ``waits`` or ``refused``.
    reason : str
        Reason why the request is not sent now.
    route, kind, service, workspace : str
        What the request matches; empty where it was refused before.
    links_lost : bool
        Whether this entry reaches no server and would pass the request on.
    random_choices : tuple of str
        Choices in this preview that are random for each request.
    model : ModelPreview or None
        Decision on a request to a model.
    call : CallPreview or None
        Decision on a call to a plain service.
    excluded : tuple of Excluded
        Servers of the service that can't be chosen now.
    """

    verdict: decisions.Verdict
    copy_age_ms: int | None
    configuration: int
    outcome: str
    reason: str
    route: str = ''
    kind: str = ''
    service: str = ''
    workspace: str = ''
    links_lost: bool = False
    random_choices: tuple[str, ...] = ()
    model: ModelPreview | None = None
    call: CallPreview | None = None
    excluded: tuple[Excluded, ...] = ()


@attrs.frozen
class Services:
    """Services of the entry that decide on requests."""

    clock: clock_module.Clock
    routing_state: routing_state_module.RoutingState
    intake: intake_module.Intake
    streams: streams_module.StreamService
    calls: calls_module.CallService


def preview_route(services: Services, query: Query) -> RoutePreview | None:
    """Decide on a request without sending it.

    No state of the entry changes, and no random number is drawn from it.

    Parameters
    ----------
    services : Services
        Services of the entry.
    query : Query
        The request.

    Returns
    -------
    RoutePreview or None
        None before the first configuration.
    """
    state = services.routing_state
    configuration = state.configuration
    if configuration is None:
        return None
    request = _build_request(query, services.clock.now())
    decision = services.intake.decide(request)
    unavailability = services.intake.find_unavailability(decision)
    route = decision.route
    preview = RoutePreview(
        decision.verdict,
        state.freshness.compute_age(services.clock.now()),
        configuration.version,
        'refused',
        decision.reason if unavailability is None else unavailability[0],
        '' if route is None else route.name,
        '' if route is None else route.kind.value,
        links_lost=services.streams.links_are_lost,
    )
    if (
        route is None
        or unavailability is not None
        or decision.verdict is not decisions.Verdict.ALLOWED
    ):
        return preview
    random_source = random.Random()
    exchange = exchanges.Exchange(
        request,
        # Only requests that are served get a response.
        typing.cast(ports.ResponseWriter, None),
        route,
        decision.workspace,
        routing.choose_service(route, random_source.random()),
        configuration.version,
        lambda exchange, outcome: None,
    )
    preview = attrs.evolve(
        preview,
        service=exchange.service,
        workspace=exchange.workspace_name,
        excluded=tuple(_list_excluded(services, exchange.service)),
        random_choices=('service_weight',) if len(route.shares) > 1 else (),
    )
    if state.find_model(exchange.service) is None:
        return _add_call(
            preview, services.calls.run_dry(exchange, random_source)
        )
    return _add_model(
        preview, services.streams.run_dry(exchange, random_source)
    )


_CALLER_TIMEOUT_MS = 2**31
"""Timeout of the caller; that of the route is shorter and applies."""


def _build_request(query: Query, now: int) -> ports.Request:
    return ports.Request(
        '',
        'POST',
        query.path,
        query.host,
        (),
        b'',
        query.key,
        _CALLER_TIMEOUT_MS,
        now,
        query.prompt_tokens,
        query.output_tokens,
    )


def _list_excluded(services: Services, service: str) -> Iterable[Excluded]:
    """List the servers of a service that can't be chosen, with the reason."""
    state = services.routing_state
    now = services.clock.now()
    of_service = [
        one for one in state.servers.values() if one.service == service
    ]
    usable = {one.id for one in state.list_servers(service, now)}
    rests = state.rests.select(usable, now)
    refusing = (
        state.refusals.select(usable, now)
        if state.find_model(service) is not None
        else set()
    )
    exhausted = services.streams.limits.detach().select_exhausted(of_service)
    reserved = services.streams.paths.reservations
    for one in of_service:
        suspicion = state.suspicions.get(one.id)
        reason, detail = '', ''
        if one.id not in usable:
            reason = 'leaving' if suspicion is None else 'suspected'
            detail = '' if suspicion is None else suspicion.reason
        elif one.id in rests:
            reason, detail = 'resting', f'{rests[one.id]} ms'
        elif one.id in refusing:
            reason = 'refusing'
        elif one.id in exhausted:
            reason = 'limit_used_up'
        elif (
            choice.compute_start_share(reserved, one) >= choice.MAX_START_SHARE
        ):
            reason = 'slots_used_up'
        if reason:
            yield Excluded(one.id, one.failure_domain, reason, detail)


def _add_call(
    preview: RoutePreview, dry_run: calls_module.DryRun
) -> RoutePreview:
    """Add the decision on a call to a plain service."""
    draws = ['score_jitter']
    if dry_run.call.domain_draw is not None:
        draws.append('domain_share')
    servers = [
        ServerPreview(server.id, server.failure_domain, cost)
        for server, cost in sorted(dry_run.costs, key=lambda one: one[1])
    ]
    server = dry_run.server
    return attrs.evolve(
        preview,
        outcome='refused' if dry_run.refusal else 'sent',
        reason=dry_run.refusal,
        random_choices=(*preview.random_choices, *draws),
        call=CallPreview(
            None if server is None else server.id, tuple(servers)
        ),
    )


def _add_model(
    preview: RoutePreview, dry_run: streams_module.DryRun
) -> RoutePreview:
    """Add the decision on a request to a model."""
    in_flight = dry_run.in_flight
    outcome = 'sent'
    if dry_run.refusal:
        outcome = 'waits' if dry_run.would_wait else 'refused'
    draws = ['cost_jitter']
    if in_flight.may_cross is not None:
        draws.append('crossing_share')
    if in_flight.domain_draw is not None:
        draws.append('domain_share')
    if dry_run.draws_rank:
        draws.append('rank')
    path, domains = _describe_paths(dry_run)
    return attrs.evolve(
        preview,
        outcome=outcome,
        reason=dry_run.refusal,
        random_choices=(*preview.random_choices, *draws),
        model=ModelPreview(
            in_flight.request_size.prompt_tokens,
            in_flight.request_size.output_tokens,
            path,
            domains,
            in_flight.max_reserved_share,
            dry_run.may_use_free,
            in_flight.exchange.estimated_wait_ms,
        ),
    )


def _describe_paths(
    dry_run: streams_module.DryRun,
) -> tuple[PathPreview | None, tuple[PathPreview, ...]]:
    """Describe the path that would be chosen and those of all domains."""
    path_search = dry_run.path_search
    if path_search is None:
        return None, ()
    snapshot = path_search.fleet_snapshot
    domains = tuple(
        _describe_domain(snapshot, one) for one in path_search.domain_paths
    )
    found = path_search.found
    if not isinstance(found, search.Path):
        return None, domains
    domain = found.hops[0].server.failure_domain
    extra_ms = next(
        one.extra_ms
        for one in path_search.domain_paths
        if one.domain == domain
    )
    return _describe_path(domain, extra_ms, found), domains


def _describe_domain(
    snapshot: choice.FleetSnapshot, domain_path: choice.DomainPath
) -> PathPreview:
    domain, extra_ms = domain_path.domain, domain_path.extra_ms
    if domain_path.path is not None:
        return _describe_path(domain, extra_ms, domain_path.path)
    of_domain = tuple(
        one for one in snapshot.engines if one.failure_domain == domain
    )
    reason = choice.find_no_path_reason(
        attrs.evolve(snapshot, engines=of_domain)
    )
    return PathPreview(domain, None, extra_ms, reason.value)


def _describe_path(
    domain: str, extra_ms: float, path: search.Path
) -> PathPreview:
    hops = tuple(
        Hop(hop.server.id, hop.server.failure_domain, hop.first, hop.end)
        for hop in path.hops
    )
    return PathPreview(domain, path.cost_ms, extra_ms, hops=hops)
