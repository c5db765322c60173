"""What the handlers of callers need from the use cases."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from thornspool.application import membership
    from thornspool.application import requests


class RequestPort(typing.Protocol):
    """The use cases behind callers' requests."""

    async def run_operation(
        self, request: requests.OperationRequest
    ) -> typing.Any:
        """Run an operation; returns an action result."""
        ...

    def mint_key(self, workspace: str) -> str:
        """Make a key that only this process may run."""
        ...

    async def look_up(self, workspace: str, key: str) -> typing.Any:
        """Tell what became of an action; returns an action result."""
        ...

    def stream(
        self, request: requests.ModelRequest
    ) -> AsyncIterator[typing.Any]:
        """Generate text; yields generation events."""
        ...


@attrs.frozen
class CallerContext:
    """Everything that the handlers of callers use."""

    requests: RequestPort
    list_entries: typing.Callable[[], membership.EntriesAnswer]
    make_request_id: typing.Callable[[], str]
    is_ready: typing.Callable[[], bool]
