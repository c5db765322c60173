"""HTTP handlers of the operator API."""

from __future__ import annotations

import typing

import attrs
import msgspec
import structlog
from tornado import web

from thornspool import exceptions as root_exceptions
from thornspool.adapters.operators import bodies
from thornspool.adapters.operators import browsing
from thornspool.adapters.operators import exceptions
from thornspool.adapters.operators import publishing
from thornspool.adapters.operators import tokens as bearer
from thornspool.application import exceptions as application_exceptions

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from thornspool import clock as clocks
    from thornspool import settings
    from thornspool.application import ports
    from thornspool.application.configuration import service as configuration

logger = structlog.get_logger(__name__)


BuildReport = typing.Callable[
    [tuple[str, ...] | None], 'Awaitable[typing.Any]'
]


@attrs.frozen
class Context:
    """Dependencies of the handlers.

    Attributes
    ----------
    clock : Clock
        Source of time.
    service : ConfigurationService
        Publishes documents and provides the configuration in force.
    members : MemberView
        View of the entries.
    tokens : sequence of Token
        Tokens of operators.
    drain : callable
        Starts draining this entry.
    look_up_action : callable
        Called with workspace and key; returns the record of the action as
        an ``attrs`` instance, or None.
    build_report : callable
        Called with the workspaces of the report, None for all; returns the
        report as an ``attrs`` instance.
    """

    clock: clocks.Clock
    service: configuration.ConfigurationService
    members: ports.MemberView
    tokens: Sequence[settings.Token]
    drain: Callable[[], Awaitable[None]]
    look_up_action: Callable[[str, str], Awaitable[typing.Any]]
    build_report: BuildReport


def make_handlers(
    clock: clocks.Clock,
    service: configuration.ConfigurationService,
    members: ports.MemberView,
    tokens: Sequence[settings.Token],
    drain: Callable[[], Awaitable[None]],
    look_up_action: Callable[[str, str], Awaitable[typing.Any]],
    build_report: BuildReport,
) -> list[tuple[str, type[web.RequestHandler], dict[str, typing.Any]]]:
    """Return the tornado routes of the operator API.

    Parameters
    ----------
    clock, service, members, tokens, drain, look_up_action, build_report
        See ``Context``.

    Returns
    -------
    list of tuple
        Pattern, handler class and arguments of the handler.
    """
    context = Context(
        clock, service, members, tokens, drain, look_up_action, build_report
    )
    arguments = {'context': context}
    return [
        ('/v1/publications', PublicationsHandler, arguments),
        ('/v1/configuration', ConfigurationHandler, arguments),
        (
            '/v1/configuration/versions/([0-9]{1,18})/changes',
            ChangesHandler,
            arguments,
        ),
        ('/v1/documents', DocumentsHandler, arguments),
        ('/v1/status', StatusHandler, arguments),
        ('/v1/drain', DrainHandler, arguments),
        (
            '/v1/workspaces/([^/]+)/actions/([^/]+)',
            ActionHandler,
            arguments,
        ),
        ('/v1/report', ReportHandler, arguments),
        ('/v1/.*', NotFoundHandler, arguments),
    ]


class OperatorHandler(web.RequestHandler):
    """Base class that checks tokens and reports errors as problems."""

    def initialize(self, context: Context) -> None:
        """Set the dependencies."""
        self.context = context

    def prepare(self) -> None:
        """Check the token before the request is processed."""
        header = self.request.headers.get('Authorization', '')
        self.token = bearer.find_token(header, self.context.tokens)

    def respond(self, body: typing.Any, status: int = 200) -> None:
        """Respond with an ``attrs`` instance as JSON."""
        self.set_status(status)
        media_type = bodies.MEDIA_TYPE
        if isinstance(body, bodies.ProblemBody):
            self.set_status(body.status)
            media_type = bodies.PROBLEM_MEDIA_TYPE
        self.set_header('Content-Type', media_type)
        self.write(msgspec.json.encode(body))

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Respond to an unhandled error with a problem."""
        error = kwargs.get('exc_info', (None, None, None))[1]
        if isinstance(error, application_exceptions.ApplicationError):
            error = exceptions.Unavailable(error.message, error.hint)
        if isinstance(error, exceptions.Unauthorized):
            self.set_header('WWW-Authenticate', 'Bearer')
        if isinstance(error, exceptions.OperatorError):
            self.respond(_describe_error(error))
            return
        self.respond(_describe_status(status_code, self._reason))

    def log_exception(self, *details: typing.Any) -> None:
        """Log unexpected errors only."""
        error = details[1]
        if isinstance(error, root_exceptions.ThornspoolError | web.HTTPError):
            return
        logger.error(
            'operator_request_failed',
            path=self.request.path,
            exc_info=tuple(details),
        )


class PublicationsHandler(OperatorHandler):
    """Publishes documents."""

    async def post(self) -> None:
        """Publish the documents, or validate them in a dry run."""
        service = self.context.service
        body = publishing.read_body(self.request.body)
        publication = publishing.read_publication(body, self.token)
        if isinstance(publication, bodies.ProblemBody):
            self.respond(publication)
            return
        bearer.check_publication(self.token, service.snapshot(), publication)
        if body.dry_run:
            planned = await service.plan(publication)
            self.respond(publishing.describe_plan(planned))
            return
        result = await service.publish(publication)
        self.respond(publishing.describe_result(publication, result))


class ConfigurationHandler(OperatorHandler):
    """Returns the version in force and the latest publications."""

    def get(self) -> None:
        """Respond with the version and the history."""
        service = self.context.service
        history = browsing.describe_history(service.contents(), self.token)
        self.respond(bodies.ConfigurationBody(service.version(), history))


class ChangesHandler(OperatorHandler):
    """Returns the changes of a version."""

    def get(self, version: str) -> None:
        """Respond with the history record of the version."""
        contents = self.context.service.contents()
        self.respond(browsing.find_changes(contents, self.token, int(version)))


class DocumentsHandler(OperatorHandler):
    """Lists the documents in force."""

    def get(self) -> None:
        """Respond with a page of documents."""
        query = bodies.Query(
            self.get_query_argument('kind', ''),
            self.get_query_argument('workspace', ''),
            self.get_query_argument('after', ''),
            self._read_limit(),
        )
        contents = self.context.service.contents()
        self.respond(browsing.list_documents(contents, self.token, query))

    def _read_limit(self) -> int:
        text = self.get_query_argument(
            'limit', str(bodies.DEFAULT_PAGE_LENGTH)
        )
        limit = int(text) if text.isascii() and text.isdecimal() else 0
        if 0 < limit <= bodies.MAX_PAGE_LENGTH:
            return limit
        raise exceptions.BadRequest(
            f'"{text}" is not a valid page length.',
            f'Use a number from 1 to {bodies.MAX_PAGE_LENGTH}.',
        )


class StatusHandler(OperatorHandler):
    """Lists the entries and their versions in force."""

    def get(self) -> None:
        """Respond with the entries in the local view."""
        service = self.context.service
        report = service.report_stragglers(service.version())
        straggling = {straggler.incarnation for straggler in report.stragglers}
        lines = tuple(
            _describe_member(member, member.incarnation in straggling)
            for member in self.context.members.list_members()
        )
        isolated = service.is_isolated(self.context.clock.now())
        self.respond(
            bodies.StatusBody(
                service.version(), isolated, lines, tuple(sorted(straggling))
            )
        )


class DrainHandler(OperatorHandler):
    """Starts draining this entry."""

    async def post(self) -> None:
        """Respond with 202, because in-flight requests complete first."""
        bearer.check_unlimited(self.token)
        logger.info('drain_requested', token=self.token.name)
        await self.context.drain()
        self.set_status(202)


class ActionHandler(OperatorHandler):
    """Returns the outcome of an action."""

    async def get(self, workspace: str, key: str) -> None:
        """Respond with the record of a key."""
        bearer.check_workspace(self.token, workspace)
        record = await self.context.look_up_action(workspace, key)
        if record is None:
            raise exceptions.NotFound(
                f'Workspace "{workspace}" has no record of key "{key}".',
                'Check both; records are stored for a limited time.',
            )
        self.respond(record)


class ReportHandler(OperatorHandler):
    """Returns the report of this entry."""

    async def get(self) -> None:
        """Respond with the report."""
        workspaces = self.token.workspaces
        self.respond(await self.context.build_report(workspaces))


class NotFoundHandler(OperatorHandler):
    """Responds to paths that have no route."""

    def prepare(self) -> None:
        """Raise an error for any method."""
        super().prepare()
        raise exceptions.NotFound(
            f'No resource at {self.request.path}.',
            'See docs/admin-api.md for the available paths.',
        )


def _describe_error(error: exceptions.OperatorError) -> bodies.ProblemBody:
    return bodies.ProblemBody(
        f'{bodies.PROBLEM_TYPE_PREFIX}{error.code}',
        error.code.replace('-', ' ').capitalize(),
        error.status,
        str(error),
    )


def _describe_status(status: int, reason: str) -> bodies.ProblemBody:
    return bodies.ProblemBody(
        'about:blank', reason, status, 'See the log of the entry.'
    )


def _describe_member(member: ports.Member, behind: bool) -> bodies.MemberLine:
    return bodies.MemberLine(
        member.host,
        member.incarnation,
        member.failure_domain,
        member.region,
        member.caller_url,
        member.state.value,
        member.configuration_version,
        behind,
    )
