"""HTTP handlers of the operators' interface."""

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
    """What the handlers work with.

    Attributes
    ----------
    clock : Clock
        Source of time.
    service : ConfigurationService
        Publishes and knows what is in force.
    members : MemberView
        Who the entries are.
    tokens : sequence of Token
        Tokens of operators.
    drain : callable
        Starts the planned stop of this entry.
    look_up_action : callable
        Takes workspace and key, returns the action's record as an ``attrs``
        instance, or None if there is none.
    build_report : callable
        Takes the workspaces to report on, None for all; gathers the report,
        an ``attrs`` instance.
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
    """Return the routes of the operators' interface for tornado.

    Parameters
    ----------
    clock, service, members, tokens, drain, look_up_action, build_report
        As of ``Context``.

    Returns
    -------
    list of tuple
        Pattern, handler and its arguments.
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
        ('/v1/.*', UnknownHandler, arguments),
    ]


class OperatorHandler(web.RequestHandler):
    """Base: checks the token and answers errors as problem details."""

    def initialize(self, context: Context) -> None:
        """Take what the handlers work with."""
        self.context = context

    def prepare(self) -> None:
        """Check the token before anything is done."""
        header = self.request.headers.get('Authorization', '')
        self.token = bearer.find_token(header, self.context.tokens)

    def answer(self, body: typing.Any, status: int = 200) -> None:
        """Write an ``attrs`` instance as JSON."""
        self.set_status(status)
        media_type = bodies.MEDIA_TYPE
        if isinstance(body, bodies.ProblemBody):
            self.set_status(body.status)
            media_type = bodies.PROBLEM_MEDIA_TYPE
        self.set_header('Content-Type', media_type)
        self.write(msgspec.json.encode(body))

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Answer an error that a handler did not catch."""
        error = kwargs.get('exc_info', (None, None, None))[1]
        if isinstance(error, application_exceptions.ApplicationError):
            error = exceptions.Unavailable(error.message, error.hint)
        if isinstance(error, exceptions.Unauthorized):
            self.set_header('WWW-Authenticate', 'Bearer')
        if isinstance(error, exceptions.OperatorError):
            self.answer(_describe_error(error))
            return
        self.answer(_describe_status(status_code, self._reason))

    def log_exception(self, *details: typing.Any) -> None:
        """Log only errors that nobody raised on purpose."""
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
        """Publish, or only check in a dry run."""
        service = self.context.service
        body = publishing.read_body(self.request.body)
        publication = publishing.read_publication(body, self.token)
        if isinstance(publication, bodies.ProblemBody):
            self.answer(publication)
            return
        bearer.check_publication(self.token, service.snapshot(), publication)
        if body.dry_run:
            planned = await service.plan(publication)
            self.answer(publishing.describe_plan(planned))
            return
        result = await service.publish(publication)
        self.answer(publishing.describe_result(publication, result))


class ConfigurationHandler(OperatorHandler):
    """Shows the version in force and the latest publications."""

    def get(self) -> None:
        """Answer version and history."""
        service = self.context.service
        history = browsing.describe_history(service.contents(), self.token)
        self.answer(bodies.ConfigurationBody(service.version(), history))


class ChangesHandler(OperatorHandler):
    """Shows what one version changed."""

    def get(self, version: str) -> None:
        """Answer its record."""
        contents = self.context.service.contents()
        self.answer(browsing.find_changes(contents, self.token, int(version)))


class DocumentsHandler(OperatorHandler):
    """Shows the documents in force."""

    def get(self) -> None:
        """Answer a page of them."""
        query = bodies.Query(
            self.get_query_argument('kind', ''),
            self.get_query_argument('workspace', ''),
            self.get_query_argument('after', ''),
            self._read_limit(),
        )
        contents = self.context.service.contents()
        self.answer(browsing.list_documents(contents, self.token, query))

    def _read_limit(self) -> int:
        text = self.get_query_argument('limit', str(bodies.PAGE_LENGTH))
        limit = int(text) if text.isascii() and text.isdecimal() else 0
        if 0 < limit <= bodies.LONGEST_PAGE:
            return limit
        raise exceptions.BadRequest(
            f'"{text}" is not a length of a page.',
            f'Write a number from 1 to {bodies.LONGEST_PAGE}.',
        )


class StatusHandler(OperatorHandler):
    """Shows the entries and the version in force at each."""

    def get(self) -> None:
        """Answer the members as this entry knows them."""
        service = self.context.service
        report = service.report(service.version())
        late = {one.incarnation for one in report.stragglers}
        lines = tuple(
            _describe_member(member, member.incarnation in late)
            for member in self.context.members.list_members()
        )
        isolated = service.is_isolated(self.context.clock.now())
        self.answer(
            bodies.StatusBody(
                service.version(), isolated, lines, tuple(sorted(late))
            )
        )


class DrainHandler(OperatorHandler):
    """Starts the planned stop of this entry."""

    async def post(self) -> None:
        """Start it; 202, since requests in flight are finished first."""
        bearer.check_unlimited(self.token)
        logger.info('drain_requested', token=self.token.name)
        await self.context.drain()
        self.set_status(202)


class ActionHandler(OperatorHandler):
    """Shows what became of an action."""

    async def get(self, workspace: str, key: str) -> None:
        """Answer the record of a key."""
        bearer.check_workspace(self.token, workspace)
        record = await self.context.look_up_action(workspace, key)
        if record is None:
            raise exceptions.NotFound(
                f'Workspace "{workspace}" has no record of key "{key}".',
                'Check both; records are kept for a limited time.',
            )
        self.answer(record)


class ReportHandler(OperatorHandler):
    """Shows the report of this entry."""

    async def get(self) -> None:
        """Answer the report."""
        workspaces = self.token.workspaces
        self.answer(await self.context.build_report(workspaces))


class UnknownHandler(OperatorHandler):
    """Answers for every other address."""

    def prepare(self) -> None:
        """Refuse before a method is chosen."""
        super().prepare()
        raise exceptions.NotFound(
            f'There is nothing at {self.request.path}.',
            'See docs/admin-api.md for the addresses.',
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
        'about:blank', reason, status, 'The log of the entry tells more.'
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
