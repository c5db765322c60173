"""Links of one entry to all servers, which can be cut.

The entry reads the list of servers through a copy of the store whose records
name an address of its own for each server.
"""

from __future__ import annotations

import asyncio
import base64
import json
import typing

from tornado import httpclient
from tornado import simple_httpclient
from tornado import web

from standins import common
from tests.soak import proxies

if typing.TYPE_CHECKING:
    from tornado import httpserver

    from tests.platform import deployment as deployment_module

MAX_CALLS = 200
CALL_TIMEOUT_S = 60.0
_SERVERS_PREFIX = 'servers/'
ODD_PREFIX = _SERVERS_PREFIX + 'odd-'
"""Prefix of the entries that no one can read."""


class ServerLinks:
    """Proxies between one entry and all servers.

    Servers recognize the entry by the address of these connections, also if
    it serves a request that a peer has passed on.

    Parameters
    ----------
    deployment : deployment_module.Deployment
        The store and the servers.
    host : str
        Name of the entry.
    number : int
        Number of the entry, from 0.
    """

    def __init__(
        self,
        deployment: deployment_module.Deployment,
        host: str,
        number: int,
    ) -> None:
        self._deployment = deployment
        self._host = host
        self._source = f'127.0.1.{number + 1}'
        self._proxies: dict[str, proxies.Proxy] = {}
        self._lock = asyncio.Lock()
        self._kind = ''
        self._listener: httpserver.HTTPServer | None = None
        self.client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CALLS
        )

    def start(self) -> str:
        """Serve the copy of the store; return its address."""
        self._deployment.control(sources={self._source: self._host})
        application = web.Application(
            [('/.*', _StoreHandler, {'links': self})],
            log_function=lambda handler: None,
        )
        self._listener, url = common.listen(application)
        return url.removeprefix('http://')

    async def stop(self) -> None:
        """Close all proxies and the copy of the store."""
        if self._listener is not None:
            self._listener.stop()
            await self._listener.close_all_connections()
        self.client.close()
        for proxy in self._proxies.values():
            await proxy.stop()

    @property
    def store_url(self) -> str:
        """URL of the store."""
        return self._deployment.store_url

    async def follow(self, listening: set[str]) -> None:
        """Refuse connections to servers that have ended, as their hosts do.

        Parameters
        ----------
        listening : set of str
            Addresses at which servers listen.
        """
        for address, proxy in list(self._proxies.items()):
            if address not in listening:
                proxy.refuse()
            elif self._kind in {'', 'silent'}:
                await proxy.accept()

    def cut(self, kind: str) -> None:
        """Cut the links to all servers.

        Parameters
        ----------
        kind : str
            ``silent`` (nothing is forwarded), ``reset`` (open connections
            break, new ones are refused) or ``refused`` (open connections live
            on, new ones are refused).
        """
        self._kind = kind
        for proxy in self._proxies.values():
            self._cut(proxy)

    def _cut(self, proxy: proxies.Proxy) -> None:
        if self._kind == 'silent':
            proxy.link_fault = proxies.LinkFault(
                blocks_upstream=True, blocks_downstream=True
            )
        elif self._kind:
            proxy.refuse()
        if self._kind == 'reset':
            proxy.reset()

    async def heal(self) -> None:
        """Restore the links."""
        self._kind = ''
        for proxy in list(self._proxies.values()):
            proxy.link_fault = proxies.LinkFault()
        await self.follow(await read_listening(self._deployment))

    async def rewrite(self, items: list[dict[str, typing.Any]]) -> None:
        """Replace the addresses of servers in items of the store."""
        for item in items:
            key = item['key']
            if not key.startswith(_SERVERS_PREFIX) or key.startswith(
                ODD_PREFIX
            ):
                continue
            if item.get('value'):
                record = json.loads(base64.b64decode(item['value']))
                if 'address' in record:
                    record['address'] = await self._find(record['address'])
                item['value'] = base64.b64encode(
                    json.dumps(record).encode()
                ).decode()

    async def _find(self, address: str) -> str:
        """Return the address of the proxy for a server."""
        async with self._lock:
            proxy = self._proxies.get(address)
            if proxy is None:
                proxy = proxies.Proxy(address, self._source)
                await proxy.start()
                await asyncio.to_thread(
                    self._deployment.control, alias={proxy.address: address}
                )
                self._proxies[address] = proxy
                self._cut(proxy)
        return proxy.address


async def read_listening(
    deployment: deployment_module.Deployment,
) -> set[str]:
    """Read the addresses at which servers listen."""
    client = httpclient.AsyncHTTPClient()
    response = await client.fetch(
        f'{deployment.fleet.ready["url"]}/control?listening=1'
    )
    return set(json.loads(response.body)['listening'])


class _StoreHandler(web.RequestHandler):
    """Forwards calls to the store and rewrites the records of servers."""

    def initialize(self, links: ServerLinks) -> None:
        self.links = links

    async def get(self) -> None:
        """Forward a reading call."""
        await self._forward(None)

    async def post(self) -> None:
        """Forward a writing call."""
        await self._forward(self.request.body)

    async def delete(self) -> None:
        """Forward the end of a lease."""
        await self._forward(None)

    async def _forward(self, body: bytes | None) -> None:
        request = httpclient.HTTPRequest(
            f'{self.links.store_url}{self.request.uri}',
            str(self.request.method),
            body=body,
            connect_timeout=CALL_TIMEOUT_S,
            request_timeout=CALL_TIMEOUT_S,
        )
        try:
            response = await self.links.client.fetch(
                request, raise_error=False
            )
        except (OSError, httpclient.HTTPError):
            common.drop_connection(self)
            return
        if response.code >= 599:
            common.drop_connection(self)
            return
        self.set_status(response.code)
        if response.code == 200 and self.request.method == 'GET':
            document = json.loads(response.body)
            for name in ('items', 'events'):
                await self.links.rewrite(document.get(name, []))
            if 'key' in document:
                await self.links.rewrite([document])
            self.finish(document)
        else:
            self.finish(response.body)
