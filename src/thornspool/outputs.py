"""Log lines on a descriptor that never holds the process up."""

from __future__ import annotations

import os
import typing

from thornspool.domain.limits import buckets

if typing.TYPE_CHECKING:
    from thornspool import clock as clock_module

LINES_PER_S = 200.0
"""Lines written a second in the long run.

An entry ends some 15 requests a second with one or two lines each; the
rest is for the changes that come in a burst when something fails.
"""

BURST_LINES = 600.0
"""Lines written at once, a start with 700 servers nearly."""


class BoundedOutput:
    """Writes lines to a descriptor while its reader keeps up.

    A reader that stops would otherwise block the one loop of the process in
    a write; one would notice by an entry that answers nobody and says
    nothing. Lines that can't be written are counted, and the count is
    written with the next one that can. Warnings are written beyond the
    steady rate, so that a refusal is not lost among successes.

    Parameters
    ----------
    descriptor : int
        Where to; it is made non-blocking.
    clock : clock_module.Clock
        Source of time.
    """

    def __init__(self, descriptor: int, clock: clock_module.Clock) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._bucket = buckets.build_bucket(
            LINES_PER_S, BURST_LINES, clock.now()
        )
        self._rest = b''
        self.left_out = 0

    def info(self, message: str) -> None:
        """Write a line, if the rate allows it."""
        if self._bucket.take(1.0, self._clock.now()):
            self._write(message)
        else:
            self.left_out += 1

    def warning(self, message: str) -> None:
        """Write a line that matters more than the steady rate."""
        self._write(message)

    debug = msg = info
    error = critical = exception = fatal = warning

    def _write(self, message: str) -> None:
        if not self._flush():
            self.left_out += 1
            return
        lines = message
        if self.left_out:
            lines = f'event=log_lines_left_out count={self.left_out}\n{lines}'
            self.left_out = 0
        self._rest = lines.encode('utf-8', 'replace') + b'\n'
        self._flush()

    def _flush(self) -> bool:
        """Write what is left of the last line; False when it is not done."""
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except OSError:
                # Full, or its reader is gone; the line is kept or counted.
                return False
            self._rest = self._rest[written:]
        return True
