"""What a run brings goes to its request only while it is its last run."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.application.routing import ports


class Numbered(typing.Protocol):
    """A request that counts its runs."""

    generation: int


class RunListener:
    """Drops what comes of a run that was left.

    A run that was ended may still bring bytes that were under way; passed
    on, they would stand among those of the next run.

    Parameters
    ----------
    owner : Numbered
        The request; a run ends for it when its generation changes.
    on_head, on_body, on_end : callable
        Take what the run brings.
    """

    def __init__(
        self,
        owner: Numbered,
        on_head: Callable[[ports.Head], None],
        on_body: Callable[[bytes], None],
        on_end: Callable[[ports.Ending], None],
    ) -> None:
        self._owner = owner
        self._generation = owner.generation
        self._on_head = on_head
        self._on_body = on_body
        self._on_end = on_end

    @property
    def is_current(self) -> bool:
        """Whether the run is still the last one."""
        return self._generation == self._owner.generation

    def take_head(self, head: ports.Head) -> None:
        """Take the head of the answer."""
        if self.is_current:
            self._on_head(head)

    def take_body(self, chunk: bytes) -> None:
        """Take a piece of the body."""
        if self.is_current:
            self._on_body(chunk)

    def take_end(self, ending: ports.Ending) -> None:
        """Take the end."""
        if self.is_current:
            self._on_end(ending)
