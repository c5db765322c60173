"""The entries of the platform as members of the quarantine's fleet."""

from __future__ import annotations

import typing

from thornspool.application import ports
from thornspool.domain.entries import messages

if typing.TYPE_CHECKING:
    from thornspool import clock as clock_module
    from thornspool.domain.entries import view as view_module


class RegisteredMembers:
    """Entries that are registered in the store and count as alive.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    view : view_module.View
        The other entries.
    """

    def __init__(
        self, clock: clock_module.Clock, view: view_module.View
    ) -> None:
        self._clock = clock
        self._view = view

    def list_members(self) -> tuple[ports.Member, ...]:
        """List the live entries by incarnation, with the local one."""
        now = self._clock.now()
        members = [_build_member(self._view.local, messages.State.SERVING)]
        members += [
            _build_member(peer.record, peer.state)
            for peer in self._view.peers.values()
            if self._view.is_alive(peer, now)
        ]
        return tuple(sorted(members, key=lambda one: one.incarnation))

    def find(self, incarnation: str) -> ports.Member | None:
        """Find a live entry by its incarnation."""
        for member in self.list_members():
            if member.incarnation == incarnation:
                return member
        return None


def _build_member(
    record: messages.Record, state: messages.State
) -> ports.Member:
    is_leaving = state is messages.State.LEAVING
    return ports.Member(
        record.incarnation,
        record.host,
        record.failure_domain,
        '',
        record.peers,
        record.callers,
        ports.MemberState.LEAVING if is_leaving else ports.MemberState.ALIVE,
    )
