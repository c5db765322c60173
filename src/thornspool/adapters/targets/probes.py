"""Whether a target's host says that nobody listens at its address."""

from __future__ import annotations

import asyncio
import urllib.parse

TIMEOUT_MS = 500
TRIES = 2
PAUSE_MS = 20
_MS_PER_S = 1000
_DEFAULT_PORT = 80


async def is_refusing(url: str) -> bool:
    """Tell whether connections to a target are refused.

    Only a host that lives refuses: the process that listened there has
    ended. No answer at all is what a link or a host that failed would give,
    or a busy target, and says nothing about a process. It is asked twice,
    since a process that ends may close a caller's connection a moment
    before the one that it listens on.

    Parameters
    ----------
    url : str
        ``http://ip:port`` of the target.
    """
    for number in range(TRIES):
        if number:
            await asyncio.sleep(PAUSE_MS / _MS_PER_S)
        if await _is_refused(url):
            return True
    return False


async def _is_refused(url: str) -> bool:
    parts = urllib.parse.urlsplit(url)
    try:
        async with asyncio.timeout(TIMEOUT_MS / _MS_PER_S):
            _, writer = await asyncio.open_connection(
                parts.hostname, parts.port or _DEFAULT_PORT
            )
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
