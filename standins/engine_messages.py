"""Messages of the stand-in engine, as ``docs/standins/engine.md`` says."""

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
    """A file that comes with a prompt; one of the last two is empty."""

    kind: str
    media_type: str
    reference: str
    data: str


@attrs.frozen
class Generate:
    """Body of ``POST /v1/generate``.

    ``tell`` names what to tell along with the answer; other names than
    ``loads`` and ``hops`` are passed over.
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

    ``count`` tokens from ``index`` on have passed the stages before;
    ``known`` says that this stage has worked on the attempt already.
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
    """Answer of ``GET /v1/load``; it lags."""

    target: str
    state: str
    running: int
    waiting: int
    max_batch: int
    step_ms: float


@attrs.frozen
class Forwarded:
    """Answer of ``POST /v1/forward``.

    ``taken_ms`` is the time from its arrival to this answer, and ``hops``
    the times of the ways between the stages behind.
    """

    receipts: list[tuple[int, int, str]]
    loads: list[Load]
    taken_ms: float
    hops: list[float]


@attrs.frozen
class Refusal:
    """Answer with status 409: ``leaving``, ``fenced`` or ``cancelled``."""

    state: str
    target: str = ''


@attrs.frozen
class Frame:
    """A frame that carries a token."""

    request: str
    attempt: int
    index: int
    token: str
    receipts: list[tuple[int, int, str]]
    hops: list[float] | msgspec.UnsetType = msgspec.UNSET


@attrs.frozen
class End:
    """The last frame of a whole answer."""

    request: str
    attempt: int
    end: int
    loads: list[Load] | msgspec.UnsetType = msgspec.UNSET


@attrs.frozen
class Failure:
    """The last frame of an attempt that can't go on."""

    request: str
    attempt: int
    failed: str
    target: str
    loads: list[Load]


@attrs.frozen
class Control:
    """Body of ``POST /control``; absent fields change nothing.

    Attributes
    ----------
    die_after : int
        Exit the process at the n-th token that is computed from now on.
    die_when : str
        ``before``, ``during`` or ``after`` the work on that token.
    leave : bool
        Refuse new work from now on.
    fencing : str
        ``honour`` or ``ignore`` attempts older than the newest one seen.
    slow : float
        Factor on the time of a step.
    corrupt : str
        ``drop``, ``double``, ``cross``, ``late``, ``reorder`` or
        ``receipts``: a fault of the frame at ``corrupt_index``, once.
    corrupt_index : int
        Index of the token whose frame is spoilt.
    link_ms : dict of str to float
        Delay of each message to a target, in milliseconds.
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
    """Line of ``GET /control/counts``: tokens computed by this stage."""

    request: str
    attempt: int
    first_layer: int
    end_layer: int
    indexes: list[int]
