"""Frames of an engine's token stream and how they are decoded.

An engine answers with JSON objects, one a line. The shapes are those of
``docs/standins/engine.md``.
"""

from __future__ import annotations

import attrs
import msgspec

from thornspool.domain.pipelines import exceptions

NO_INDEX = -1
_NEWLINE = b'\n'


@attrs.frozen
class StageLoad:
    """What a stage says of its load inside an answer; saves a poll.

    Attributes
    ----------
    target : str
        Name of the target.
    state : str
        ``ready`` or ``leaving``.
    running, waiting, max_batch : int
        Requests in its batch, in its queue, and the largest batch.
    step_ms : float
        Time of one step of its batch, in milliseconds.
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

    It is not frozen because a frozen ``attrs`` class is made three times
    slower, and one is made for each token.

    Attributes
    ----------
    request : str
        Request that it belongs to.
    attempt : int
        Attempt that it belongs to.
    index : int
        Position of the token in the answer; ``NO_INDEX`` for other frames.
    token : str
        Text of the token.
    receipts : list of tuple
        First layer, end layer and target of each stage that worked on the
        token, in the order of the work.
    end : int
        Tokens in the whole answer, resumed ones included; ``NO_INDEX`` for
        other frames.
    failed : str
        Why the attempt ends without a whole answer; empty otherwise.
    target : str
        Target that a failure names.
    loads : list of StageLoad
        Loads of the route's stages, on frames that end an attempt.
    hops : list of float
        Milliseconds of the way from each stage to the next, on some frames.
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
    """Bytes of one stream that do not make a whole line yet."""

    def __init__(self) -> None:
        self._decoder = msgspec.json.Decoder(Frame)
        self._rest = b''

    def read(self, chunk: bytes) -> list[Frame]:
        """Decode the whole lines of a chunk.

        Parameters
        ----------
        chunk : bytes
            The next bytes of the stream, cut anywhere.

        Returns
        -------
        list of Frame
            Frames whose last byte has come.

        Raises
        ------
        MalformedFrame
            When a line is no frame.
        """
        whole, newline, rest = chunk.rpartition(_NEWLINE)
        if not newline:
            self._rest += chunk
            return []
        lines, self._rest = self._rest + whole, rest
        try:
            return self._decoder.decode_lines(lines)
        except msgspec.MsgspecError as error:
            raise exceptions.MalformedFrame(
                f'The stream holds a line that is no frame: {error}.',
                'Compare the engine with docs/standins/engine.md.',
            ) from error
