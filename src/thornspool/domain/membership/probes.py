"""Pending probes, both local and relayed for other members."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    import random as randoms

    from thornspool.domain.membership import records
    from thornspool.domain.membership import settings as settings_module
    from thornspool.domain.membership import views

_SEQUENCE_BITS = 31


@attrs.define
class Probe:
    """A probe of a member.

    Attributes
    ----------
    target : str
        Incarnation of the probed member.
    started : int
        Monotonic milliseconds.
    is_indirect : bool
        Whether relays have been requested to probe it as well.
    """

    target: str
    started: int
    is_indirect: bool = False


@attrs.frozen
class Relay:
    """A probe made on behalf of another member.

    Attributes
    ----------
    address : str
        Peer address of the requesting member.
    sequence : int
        Sequence number that the requesting member assigned.
    started : int
        Monotonic milliseconds.
    """

    address: str
    sequence: int
    started: int


class Probes:
    """Probe order and pending probes.

    Parameters
    ----------
    settings : Settings
        Timeouts.
    random : random.Random
        Source of the order and of the first sequence number.
    """

    def __init__(
        self, settings: settings_module.Settings, random: randoms.Random
    ) -> None:
        self._settings = settings
        self._random = random
        self._sequence = random.getrandbits(_SEQUENCE_BITS)
        self._order: list[str] = []
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}

    def choose_target(self, view: views.View) -> records.Record | None:
        """Return the next member to probe, in random round-robin order.

        Returns
        -------
        Record or None
            None when no other member is live.
        """
        own = view.own.incarnation
        if not self._order:
            self._order = [i for i in view.list_live() if i != own]
            self._random.shuffle(self._order)
        while self._order:
            record = view.find(self._order.pop())
            if record is not None and record.is_listed:
                return record
        return None

    def start(self, target: str, now: int) -> int:
        """Record a probe and return its sequence number."""
        self._sequence += 1
        self._probes[self._sequence] = Probe(target, now)
        return self._sequence

    def start_relay(self, address: str, sequence: int, now: int) -> int:
        """Record a relayed probe and return its local sequence number."""
        self._sequence += 1
        self._relays[self._sequence] = Relay(address, sequence, now)
        return self._sequence

    def complete(self, sequence: int) -> Relay | None:
        """Remove an answered probe; return its relay if it has one."""
        self._probes.pop(sequence, None)
        return self._relays.pop(sequence, None)

    def list_slow(self, now: int) -> list[tuple[int, Probe]]:
        """Return the overdue direct probes and mark them as indirect."""
        started_before = now - self._settings.direct_timeout_ms
        slow = [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if not probe.is_indirect and probe.started <= started_before
        ]
        for _, probe in slow:
            probe.is_indirect = True
        return slow

    def pop_failed(self, now: int) -> list[str]:
        """Remove the probes that timed out and return their targets."""
        started_before = now - self._settings.probe_timeout_ms
        failed = [
            s for s, p in self._probes.items() if p.started <= started_before
        ]
        stale = [
            s for s, r in self._relays.items() if r.started <= started_before
        ]
        for sequence in stale:
            del self._relays[sequence]
        return [self._probes.pop(sequence).target for sequence in failed]

    def clear(self) -> None:
        """Drop all pending probes."""
        self._probes.clear()
        self._relays.clear()
