"""Frames of an engine's token stream, and their decoder.

An engine responds with JSON objects, one a line. Their schema is described
in ``docs/standins/engine.md``.
"""

from __future__ import annotations

import attrs
import msgspec

from thornspool import decoding
from thornspool.domain.pipelines import exceptions

NO_INDEX = -1
_NEWLINE = b'\n'


@attrs.frozen
class StageLoad:
    """Load that a stage reports in a stream, which saves a poll.

    Attributes
    ----------
    target : str
        Name of the target.
    state : str
        ``ready`` or ``leaving``.
    running, waiting, max_batch : int
        Requests in the batch, requests in the queue, and the maximum size
        of the batch.
    step_ms : float
        Time of one step of the batch, in milliseconds.
    """

    target: str
    state: str = 'ready'
    running: int = 0
    waiting: int = 0
    max_batch: int = 1
    step_ms: float = 1.0


@attrs.define
class Frame:
    """One line of a token stream: a token, an end or a failure.

    The class is not frozen because creating an instance of a frozen
    ``attrs`` class takes three times as long, and one is created for each
    token.

    Attributes
    ----------
    request : str
        Identifier of the request.
    attempt : int
        Number of the attempt.
    index : int
        Position of the token in the response; ``NO_INDEX`` for other frames.
    token : str
        Text of the token.
    receipts : list of tuple
        First layer, end layer and target of each stage that processed the
        token, in order.
    end : int
        Number of tokens in the complete response, including those before a
        resumption; ``NO_INDEX`` for other frames.
    failed : str
        Why the attempt failed; empty otherwise.
    target : str
        Target that a failure is attributed to.
    loads : list of StageLoad
        Loads of the route's stages, on frames that end an attempt.
    hops : list of float
        Transfer time from each stage to the next in milliseconds, on some
        frames.
    """

    request: str = ''
    attempt: int = NO_INDEX
    index: int = NO_INDEX
    token: str = ''
    receipts: list[tuple[int, int, str]] = attrs.field(factory=list)
    end: int = NO_INDEX
    failed: str = ''
    target: str = ''
    loads: list[StageLoad] = attrs.field(factory=list)
    hops: list[float] = attrs.field(factory=list)


class FrameReader:
    """Incremental decoder of the frames of one stream."""

    def __init__(self) -> None:
        self._decoder = msgspec.json.Decoder(Frame)
        self._partial_line = b''

    def read(self, chunk: bytes) -> list[Frame]:
        """Decode the lines that a chunk completes.

        Parameters
        ----------
        chunk : bytes
            The next bytes of the stream, split at any position.

        Returns
        -------
        list of Frame
            The frames that are complete.

        Raises
        ------
        MalformedFrame
            When a line is not a frame.
        """
        complete, newline, partial_line = chunk.rpartition(_NEWLINE)
        if not newline:
            self._partial_line += chunk
            return []
        lines, self._partial_line = self._partial_line + complete, partial_line
        try:
            with decoding.translate_errors():
                return self._decoder.decode_lines(lines)
        except decoding.DecodeError as error:
            raise exceptions.MalformedFrame(
                f'The stream contains a line that is not a frame: {error}.',
                'See docs/standins/engine.md for the stream format.',
            ) from error
