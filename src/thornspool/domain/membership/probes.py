"""Probes in flight, own ones and those made for others."""

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
        Incarnation that is probed.
    started : int
        Monotonic milliseconds.
    is_indirect : bool
        Whether others were asked to probe as well.
    """

    target: str
    started: int
    is_indirect: bool = False


@attrs.frozen
class Relay:
    """A probe made for another member.

    Attributes
    ----------
    address : str
        Peer address of who asked for it.
    sequence : int
        Number that it gave the probe.
    started : int
        Monotonic milliseconds.
    """

    address: str
    sequence: int
    started: int


class Probes:
    """Order of probing and probes without an answer yet.

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
        """Return the next member to probe, each once before any twice.

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
            if record is not None and record.is_live:
                return record
        return None

    def start(self, target: str, now: int) -> int:
        """Note a probe and return its sequence number."""
        self._sequence += 1
        self._probes[self._sequence] = Probe(target, now)
        return self._sequence

    def start_relay(self, address: str, sequence: int, now: int) -> int:
        """Note a probe for another member and return its own number."""
        self._sequence += 1
        self._relays[self._sequence] = Relay(address, sequence, now)
        return self._sequence

    def settle(self, sequence: int) -> Relay | None:
        """Take an answer in; return the relay that it is to be passed to."""
        self._probes.pop(sequence, None)
        return self._relays.pop(sequence, None)

    def list_slow(self, now: int) -> list[tuple[int, Probe]]:
        """Return the probes that others are to help with from now on."""
        bound = now - self._settings.direct_timeout_ms
        slow = [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if not probe.is_indirect and probe.started <= bound
        ]
        for _, probe in slow:
            probe.is_indirect = True
        return slow

    def take_failed(self, now: int) -> list[str]:
        """Remove the probes whose time is up and return their targets."""
        bound = now - self._settings.probe_timeout_ms
        failed = [s for s, p in self._probes.items() if p.started <= bound]
        stale = [s for s, r in self._relays.items() if r.started <= bound]
        for sequence in stale:
            del self._relays[sequence]
        return [self._probes.pop(sequence).target for sequence in failed]

    def clear(self) -> None:
        """Forget every probe in flight."""
        self._probes.clear()
        self._relays.clear()
