"""Servers that spoil some of their answers.

The users' list of disruptions gives servers that "break off or spoil" a share
of at most 0.03 of their answers, on at most 0.6 of the servers, for 5.0 s.
One byte of the head is spoiled here: the value of ``Weight-Versions``, which
all servers add to their answers, becomes a control character.
"""

from __future__ import annotations

SPOILED_SHARE = 0.03
SERVER_SHARE = 0.6
FOR_S = 5.0
SOUND_HEADER = ('Weight-Versions', '1')
SPOILED_HEADER = ('Weight-Versions', '\x01')


class Spoiler:
    """Decides which answers are spoiled; never more than the share."""

    def __init__(self, servers):
        count = int(len(servers) * SERVER_SHARE)
        self.servers = {one.id for one in servers[:count]}
        self.is_on = False
        self.answers = 0
        self.spoiled = set()

    def choose_header(self, server, attempt):
        """Return the header of the next answer of a server."""
        if not self.is_on or server.id not in self.servers:
            return SOUND_HEADER
        self.answers += 1
        if len(self.spoiled) + 1 > SPOILED_SHARE * self.answers:
            return SOUND_HEADER
        self.spoiled.add(attempt)
        server.world.record(
            f'server {server.id} spoils a byte in the head of its answer '
            f'to {attempt}'
        )
        return SPOILED_HEADER
