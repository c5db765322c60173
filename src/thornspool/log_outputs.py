"""Non-blocking, rate-limited output of log lines."""

from __future__ import annotations

import os
import typing

from thornspool.domain.limits import buckets

if typing.TYPE_CHECKING:
    from thornspool import clock as clock_module

LINES_PER_S = 200.0
"""Sustained rate of lines below warning level, in lines per second.

An entry completes about 15 requests per second and logs one or two lines for
each; the remainder is for the burst of state changes that a failure causes.
"""

BURST_LINES = 600.0
"""Lines accepted in one burst; a start with 700 servers logs slightly more."""


class BoundedOutput:
    """Writes log lines to a file descriptor without blocking.

    With blocking writes, a reader that stops reading would block the event
    loop, so that the entry would neither respond to requests nor log. Lines
    that can't be written are dropped and counted, and the count is written
    before the next line that can. Warnings are exempt from the rate limit,
    so that a refusal is not lost among successes.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking mode.
    clock : clock_module.Clock
        Source of time for the rate limit.

    Attributes
    ----------
    dropped : int
        Lines dropped since the count was last written.
    """

    def __init__(self, descriptor: int, clock: clock_module.Clock) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._bucket = buckets.build_bucket(
            LINES_PER_S, BURST_LINES, clock.now()
        )
        self._unwritten = b''
        self.dropped = 0

    def info(self, message: str) -> None:
        """Write a line, or drop it if the rate limit is exceeded."""
        if self._bucket.try_acquire(1.0, self._clock.now()):
            self._write(message)
        else:
            self.dropped += 1

    def warning(self, message: str) -> None:
        """Write a line that the rate limit does not apply to."""
        self._write(message)

    debug = msg = info
    error = critical = exception = fatal = warning

    def _write(self, message: str) -> None:
        if not self._flush():
            self.dropped += 1
            return
        lines = message
        if self.dropped:
            lines = f'event=log_lines_left_out count={self.dropped}\n{lines}'
            self.dropped = 0
        self._unwritten = lines.encode('utf-8', 'replace') + b'\n'
        self._flush()

    def _flush(self) -> bool:
        """Write the rest of the last line; return whether it is complete."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except OSError:
                # The buffer is full or the reader has closed the pipe. The
                # rest is retried before the next line, which is dropped if
                # that fails.
                return False
            self._unwritten = self._unwritten[written:]
        return True
