"""Settings of gossip; docs/design/membership.md gives the figures."""

from __future__ import annotations

import attrs


@attrs.frozen
class Settings:
    """Periods, timeouts and bounds; all times in milliseconds.

    Attributes
    ----------
    period_ms : int
        One member is probed in each period.
    direct_timeout_ms : int
        Wait for the acknowledgement before others are asked to probe.
    probe_timeout_ms : int
        Wait from the start of a probe until the member is suspected.
    relays : int
        Members asked to probe in one's place.
    suspicion_ms : int
        Time a suspect has to refute; longer than two spreads of gossip.
    dead_memory_ms : int
        How long a dead member is remembered.
    sync_period_ms : int
        Period of the full comparison with one member.
    compare_ms : int
        Least time between comparisons made because lists differ.
    join_tries : int
        Comparisons with seeds, one a period, after the start.
    push_fanout : int
        Members that news is sent to at once.
    push_delay_ms : int
        Wait that gathers news into one message.
    push_interval_ms : int
        Least time between two such messages to the same number of members.
    max_updates : int
        Most updates in one message, but for the full comparison.
    transmissions : int
        Times that an update is sent, for each decimal digit of the number
        of members.
    pause_ms : int
        A gap between two ticks over this shows that the process was paused.
    renotify_ms : int
        Least time before the same higher version is reported again.
    """

    period_ms: int = 1000
    direct_timeout_ms: int = 500
    probe_timeout_ms: int = 1500
    relays: int = 3
    suspicion_ms: int = 3000
    dead_memory_ms: int = 30 * 60 * 1000
    sync_period_ms: int = 10_000
    compare_ms: int = 2000
    join_tries: int = 8
    push_fanout: int = 4
    push_delay_ms: int = 20
    push_interval_ms: int = 500
    max_updates: int = 6
    transmissions: int = 4
    pause_ms: int = 2500
    renotify_ms: int = 500
