"""Dependencies of the handlers of the caller API."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from thornspool.application import membership
    from thornspool.application import requests


class RequestPort(typing.Protocol):
    """Use cases that process requests of callers."""

    async def run_operation(
        self, request: requests.OperationRequest
    ) -> typing.Any:
        """Run an operation and return an action result."""
        ...

    def mint_key(self, workspace: str) -> str:
        """Create an idempotency key that only this process may run."""
        ...

    async def look_up(self, workspace: str, key: str) -> typing.Any:
        """Look up an action and return its action result."""
        ...

    def stream(
        self, request: requests.ModelRequest
    ) -> AsyncIterator[typing.Any]:
        """Generate text and yield generation events."""
        ...


@attrs.frozen
class CallerContext:
    """Dependencies of the handlers."""

    requests: RequestPort
    list_entries: typing.Callable[[], membership.EntriesResponse]
    make_request_id: typing.Callable[[], str]
    is_ready: typing.Callable[[], bool]
