"""Fetches load reports of targets over HTTP."""

from __future__ import annotations

import typing

import attrs
from tornado import curl_httpclient
from tornado import httpclient

from thornspool import decoding
from thornspool.adapters import head_checks
from thornspool.application import exceptions
from thornspool.domain.targets import messages

if typing.TYPE_CHECKING:
    from thornspool import clock
    from thornspool.domain.configuration import documents

TIMEOUT_MS = 1000
MAX_CLIENTS = 16


@attrs.frozen
class LoadBody:
    """Body of a load report; unknown members are ignored."""

    state: str
    running: int = 0
    waiting: int = 0
    max_batch: int = 1
    step_ms: float = 1.0


class LoadReader:
    """Fetches load reports from targets.

    Parameters
    ----------
    clock : clock.Clock
        Clock for the arrival time of each report.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self._clock = clock
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def fetch(self, target: documents.Target) -> messages.LoadReport:
        """Fetch the load report of a target.

        Raises
        ------
        exceptions.TargetError
            If no report arrives within the timeout or it cannot be decoded.
        """
        request = httpclient.HTTPRequest(
            f'{target.url}/v1/load',
            connect_timeout=TIMEOUT_MS / 1000,
            request_timeout=TIMEOUT_MS / 1000,
        )
        try:
            # A leaving target responds with status 409 and its report.
            response = await head_checks.fetch(self._client, request)
            body = decoding.decode_json(response.body, LoadBody)
        except (OSError, httpclient.HTTPError, decoding.DecodeError) as error:
            reason = f'No load report from {target.name}: {error}.'
            raise exceptions.TargetUnreachable(reason) from error
        readiness = (
            messages.Readiness.LEAVING
            if body.state == messages.Readiness.LEAVING.value
            else messages.Readiness.READY
        )
        return messages.LoadReport(
            target=target.name,
            received_at=self._clock.now(),
            readiness=readiness,
            running=body.running,
            waiting=body.waiting,
            max_batch=body.max_batch,
            step_ms=body.step_ms,
        )
