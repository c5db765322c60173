"""Detects whether the host of a target refuses connections."""

from __future__ import annotations

import asyncio
import urllib.parse

TIMEOUT_MS = 500
MAX_ATTEMPTS = 2
RETRY_DELAY_MS = 20
_MS_PER_S = 1000
_DEFAULT_PORT = 80


async def is_refusing(url: str) -> bool:
    """Return whether connections to a target are refused.

    Only a running host refuses connections, so the process that listened
    there has ended. A timeout may be caused by a failed network link, a
    failed host or a busy target, and proves nothing about the process. The
    target is probed twice, because a terminating process may close the
    connection of a caller shortly before its listening socket.

    Parameters
    ----------
    url : str
        ``http://ip:port`` of the target.
    """
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await asyncio.sleep(RETRY_DELAY_MS / _MS_PER_S)
        if await _is_refused(url):
            return True
    return False


async def _is_refused(url: str) -> bool:
    split_url = urllib.parse.urlsplit(url)
    try:
        async with asyncio.timeout(TIMEOUT_MS / _MS_PER_S):
            _, writer = await asyncio.open_connection(
                split_url.hostname, split_url.port or _DEFAULT_PORT
            )
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
