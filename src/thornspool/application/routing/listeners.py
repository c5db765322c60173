"""Filter that drops the output of runs that are no longer current."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import contextlib

    from thornspool.application.routing import ports


class RunOwner(typing.Protocol):
    """A request that numbers its runs."""

    generation: int


class RunListener:
    """Passes on the output of a run while the run is current.

    An ended run may still deliver bytes that were in transit. Passed on, they
    would be mixed with those of the next run.

    Parameters
    ----------
    owner : RunOwner
        The request. Its generation changes when the run ends for it.
    on_head, on_body, on_end : callable
        Handle the head, a chunk of the body and the end of the answer.
        ``on_body`` returns False if the answer exceeds a limit.
    end_on_error : callable
        Creates the context in which they are called; it ends the request if
        one of them raises an error.
    """

    def __init__(
        self,
        owner: RunOwner,
        on_head: Callable[[ports.ResponseHead], None],
        on_body: Callable[[bytes], bool],
        on_end: Callable[[ports.Completion], None],
        end_on_error: Callable[[], contextlib.AbstractContextManager[None]],
    ) -> None:
        self._owner = owner
        self._generation = owner.generation
        self._on_head = on_head
        self._on_body = on_body
        self._on_end = on_end
        self._end_on_error = end_on_error

    @property
    def is_current(self) -> bool:
        """Whether the run is the latest one of its request."""
        return self._generation == self._owner.generation

    def handle_head(self, head: ports.ResponseHead) -> None:
        """Pass on the head of the answer."""
        if self.is_current:
            with self._end_on_error():
                self._on_head(head)

    def handle_body(self, chunk: bytes) -> bool:
        """Pass on a chunk of the body; False if the answer is too long."""
        if self.is_current:
            with self._end_on_error():
                return self._on_body(chunk)
        return True

    def handle_completion(self, completion: ports.Completion) -> None:
        """Pass on the end of the answer."""
        if self.is_current:
            with self._end_on_error():
                self._on_end(completion)
