"""Events and commands of the stream verifier."""

from __future__ import annotations

import enum
import typing

import attrs

if typing.TYPE_CHECKING:
    from thornspool.domain.pipelines import frames as frames_module
    from thornspool.domain.pipelines import routes


class Reason(enum.Enum):
    """Why an attempt or a whole request ended without its whole answer."""

    GAP = 'a token is missing from the stream'
    RECEIPTS = 'the receipts do not cover the layers once and in order'
    ENDED_SHORT = 'the stream ended without its count'
    MALFORMED = 'the stream holds bytes that are no frame'
    STALLED = 'no token came within the bound'
    SLOWED = 'tokens come far slower than before'
    SILENT = 'a stage does not answer when it is asked'
    STAGE_LOST = 'a stage stopped answering'
    REFUSED = 'a target refuses new work'
    NOT_REACHED = 'a target could not be reached'
    DEADLINE = 'the deadline of the request has passed'
    NO_RETRY = 'the retry budget is spent'
    NO_PIPELINE = 'no set of ready targets covers the model'
    SUSPECTED = 'a target died under the same request elsewhere'
    CONDEMNED = 'the request crashed the targets that ran it'
    UNKNOWN_MODEL = 'the model is not in the configuration'


@attrs.frozen
class Started:
    """An attempt was planned; its route is what receipts must show.

    Attributes
    ----------
    route : routes.Route
        Stages that run the attempt.
    """

    route: routes.Route


@attrs.frozen
class FramesReceived:
    """Frames of a stream came in.

    Attributes
    ----------
    attempt : int
        Attempt whose stream they came from.
    frames : list of Frame
        In the order of the stream.
    """

    attempt: int
    frames: list[frames_module.Frame]


@attrs.frozen
class StreamClosed:
    """A stream is over.

    Attributes
    ----------
    attempt : int
        Attempt whose stream it was.
    reason : Reason
        What closed it; ``ENDED_SHORT`` for an orderly close.
    target : str
        Target that is to blame, empty when nobody knows.
    """

    attempt: int
    reason: Reason = Reason.ENDED_SHORT
    target: str = ''


@attrs.frozen
class StageSilent:
    """A stage of an attempt did not answer when it was checked."""

    attempt: int


@attrs.frozen
class TimePassed:
    """Nothing happened until now."""


@attrs.frozen
class Deliver:
    """Hand verified tokens to the caller.

    Attributes
    ----------
    first_index : int
        Position of the first of them in the answer.
    texts : tuple of str
        The tokens.
    """

    first_index: int
    texts: tuple[str, ...]


@attrs.frozen
class Finish:
    """The answer is whole.

    Attributes
    ----------
    count : int
        Tokens in the answer.
    """

    count: int


@attrs.frozen
class GiveUp:
    """The request ends without a whole answer.

    Attributes
    ----------
    reason : Reason
        Why.
    """

    reason: Reason


@attrs.frozen
class Cancel:
    """Stop an attempt at every stage of its route.

    Attributes
    ----------
    attempt : int
        The attempt.
    route : routes.Route
        Its route.
    reason : Reason
        Why.
    suspect : str
        Target to blame, empty when nobody knows.
    """

    attempt: int
    route: routes.Route
    reason: Reason
    suspect: str = ''


@attrs.frozen
class Replan:
    """Plan another route and resume after the last verified token.

    Attributes
    ----------
    attempt : int
        Number of the new attempt.
    excluded : frozenset of str
        Targets that must not be used.
    avoided : frozenset of str
        Targets to use only where nothing else covers the layers.
    """

    attempt: int
    excluded: frozenset[str]
    avoided: frozenset[str]


@attrs.frozen
class CheckStages:
    """Ask each stage of the present attempt whether it answers."""


Event = Started | FramesReceived | StreamClosed | StageSilent | TimePassed
Command = Deliver | Finish | GiveUp | Cancel | Replan | CheckStages
