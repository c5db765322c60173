"""Messages of the stand-in engine, see ``docs/standins/engine.md``."""

from __future__ import annotations

import attrs
import msgspec


@attrs.frozen
class Stage:
    """A stage of a route."""

    target: str
    url: str
    first_layer: int
    end_layer: int


@attrs.frozen
class Attachment:
    """A file of a prompt; either ``reference`` or ``data`` is empty."""

    kind: str
    media_type: str
    reference: str
    data: str


@attrs.frozen
class Generate:
    """Body of ``POST /v1/generate``.

    ``tell`` lists the reports that the response includes; names other than
    ``loads`` and ``hops`` are ignored.
    """

    request: str
    attempt: int
    model: str
    version: str
    adapter: str
    route: list[Stage]
    prompt: str
    resume: list[str]
    max_tokens: int
    priority: int
    attachments: list[Attachment] = attrs.field(factory=list)
    tell: list[str] = attrs.field(factory=list)


@attrs.frozen
class Forward:
    """Body of ``POST /v1/forward``, from one stage to the next.

    The previous stages have computed ``count`` tokens starting at ``index``;
    ``known`` is set when this stage already ran work of the attempt.
    """

    request: str
    attempt: int
    index: int
    count: int
    known: bool
    route: list[Stage]
    prompt: str
    priority: int


@attrs.frozen
class Cancel:
    """Body of ``POST /v1/cancel``."""

    request: str
    attempt: int


@attrs.frozen
class Load:
    """Response to ``GET /v1/load``; it lags behind the current load."""

    target: str
    state: str
    running: int
    waiting: int
    max_batch: int
    step_ms: float


@attrs.frozen
class Forwarded:
    """Response to ``POST /v1/forward``.

    ``taken_ms`` is the time from the arrival of the request to this
    response; ``hops`` are the link times in milliseconds between the stages
    that follow.
    """

    receipts: list[tuple[int, int, str]]
    loads: list[Load]
    taken_ms: float
    hops: list[float]


@attrs.frozen
class Refusal:
    """Response with status 409: ``leaving``, ``fenced`` or ``cancelled``."""

    state: str
    target: str = ''


@attrs.frozen
class Frame:
    """A frame with one token."""

    request: str
    attempt: int
    index: int
    token: str
    receipts: list[tuple[int, int, str]]
    hops: list[float] | msgspec.UnsetType = msgspec.UNSET


@attrs.frozen
class End:
    """The last frame of a complete response."""

    request: str
    attempt: int
    end: int
    loads: list[Load] | msgspec.UnsetType = msgspec.UNSET


@attrs.frozen
class Failure:
    """The last frame of an attempt that failed."""

    request: str
    attempt: int
    failed: str
    target: str
    loads: list[Load]


@attrs.frozen
class Control:
    """Body of ``POST /control``; absent fields leave the setting unchanged.

    Attributes
    ----------
    die_after : int
        Number of tokens after which the process exits.
    die_when : str
        Exit ``before``, ``during`` or ``after`` the step of that token.
    leave : bool
        Whether new work is refused.
    fencing : str
        ``honour`` to refuse attempts older than the newest one seen,
        ``ignore`` to run them.
    slow : float
        Factor that multiplies the step time.
    corrupt : str
        ``drop``, ``double``, ``cross``, ``late``, ``reorder`` or
        ``receipts``: fault injected once, at the frame ``corrupt_index``.
    corrupt_index : int
        Token index of the affected frame.
    link_ms : dict of str to float
        Delay of each message by target, in milliseconds.
    """

    die_after: int | None = None
    die_when: str = 'before'
    leave: bool | None = None
    fencing: str | None = None
    slow: float | None = None
    corrupt: str | None = None
    corrupt_index: int = 0
    link_ms: dict[str, float] | None = None


@attrs.frozen
class Count:
    """Line of ``GET /control/counts``: tokens that this stage computed."""

    request: str
    attempt: int
    first_layer: int
    end_layer: int
    indexes: list[int]
