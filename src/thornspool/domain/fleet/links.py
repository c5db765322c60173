"""The links of this entry to the servers, as its connections show them.

That a server does not answer this entry is evidence against the server only if
another server has answered on a connection that was opened later. Otherwise
the entry may have lost its own links.
"""

from __future__ import annotations

import attrs


@attrs.define
class Links:
    """Latest connections that servers have answered.

    Attributes
    ----------
    lost_since : int or None
        Time in milliseconds since which the links to all servers are lost;
        None while they work.
    restored_at : int or None
        Time in milliseconds at which they were last restored. Attempts from
        before are no evidence against servers.
    """

    lost_since: int | None = None
    restored_at: int | None = None
    _opened_at: dict[str, int] = attrs.field(factory=dict)

    @property
    def are_lost(self) -> bool:
        """Whether this entry reaches no server."""
        return self.lost_since is not None

    def record_answer(self, server_id: str, opened_at: int) -> None:
        """Record that a server has answered.

        Parameters
        ----------
        server_id : str
            Id of the server.
        opened_at : int
            Time in milliseconds at which the connection was opened.
        """
        self._opened_at[server_id] = max(
            opened_at, self._opened_at.get(server_id, opened_at)
        )

    def has_answer_since(self, opened_at: int, excluded: str) -> bool:
        """Return whether another server answers on later connections.

        Parameters
        ----------
        opened_at : int
            Time in milliseconds from which connections count.
        excluded : str
            Id of the server that has not answered.
        """
        return any(
            at >= opened_at and server_id != excluded
            for server_id, at in self._opened_at.items()
        )

    def forget_old(self, now: int, retention_ms: int) -> None:
        """Forget the answers on connections that were opened long ago."""
        self._opened_at = {
            server_id: at
            for server_id, at in self._opened_at.items()
            if now - at <= retention_ms
        }
