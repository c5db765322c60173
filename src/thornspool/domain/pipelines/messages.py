"""Events that the stream verifier handles, and commands that it returns."""

from __future__ import annotations

import enum
import typing

import attrs

if typing.TYPE_CHECKING:
    from thornspool.domain.pipelines import frames as frames_module
    from thornspool.domain.pipelines import routes


class Reason(enum.Enum):
    """Why an attempt or a request ended without a complete response."""

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
    """An attempt was started; its receipts must match the route.

    Attributes
    ----------
    route : routes.Route
        Stages that run the attempt.
    """

    route: routes.Route


@attrs.frozen
class FramesReceived:
    """Frames of a stream were received.

    Attributes
    ----------
    attempt : int
        Number of the attempt whose stream they belong to.
    frames : list of Frame
        In the order of the stream.
    """

    attempt: int
    frames: list[frames_module.Frame]


@attrs.frozen
class StreamClosed:
    """A stream was closed.

    Attributes
    ----------
    attempt : int
        Number of the attempt that the stream belongs to.
    reason : Reason
        Why it was closed; ``ENDED_SHORT`` for an orderly close.
    target : str
        Target that the failure is attributed to, empty when unknown.
    """

    attempt: int
    reason: Reason = Reason.ENDED_SHORT
    target: str = ''


@attrs.frozen
class StageUnresponsive:
    """A stage of an attempt did not respond to a probe."""

    attempt: int


@attrs.frozen
class TimerExpired:
    """A timeout of the verifier may have been reached."""


@attrs.frozen
class Deliver:
    """Send verified tokens to the caller.

    Attributes
    ----------
    first_index : int
        Position of the first of them in the response.
    texts : tuple of str
        The tokens.
    """

    first_index: int
    texts: tuple[str, ...]


@attrs.frozen
class Finish:
    """Finish the request; its response is complete.

    Attributes
    ----------
    count : int
        Number of tokens in the response.
    """

    count: int


@attrs.frozen
class Fail:
    """Fail the request; its response is not complete.

    Attributes
    ----------
    reason : Reason
        Why it failed.
    """

    reason: Reason


@attrs.frozen
class Cancel:
    """Cancel an attempt at every stage of its route.

    Attributes
    ----------
    attempt : int
        Number of the attempt.
    route : routes.Route
        Its route.
    reason : Reason
        Why it is cancelled.
    suspect : str
        Target that the failure is attributed to, empty when unknown.
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
        Targets to use only when no others cover the layers.
    """

    attempt: int
    excluded: frozenset[str]
    avoided: frozenset[str]


@attrs.frozen
class ProbeStages:
    """Probe each stage of the current attempt."""


Event = (
    Started | FramesReceived | StreamClosed | StageUnresponsive | TimerExpired
)
Command = Deliver | Finish | Fail | Cancel | Replan | ProbeStages
