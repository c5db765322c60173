"""Settings of gossip; docs/design/membership.md derives the values."""

from __future__ import annotations

import attrs


@attrs.frozen
class Settings:
    """Periods, timeouts and limits; all times in milliseconds.

    Attributes
    ----------
    period_ms : int
        Period in which one member is probed.
    direct_timeout_ms : int
        Timeout of the direct probe, after which relays are requested.
    probe_timeout_ms : int
        Time from the start of a probe until the member is suspected.
    relays : int
        Number of members requested to probe indirectly.
    suspicion_ms : int
        Time in which a suspect can refute; longer than it takes gossip to
        reach all members twice.
    dead_memory_ms : int
        How long the record of a dead member is retained.
    sync_period_ms : int
        Period of the full sync with one member.
    compare_ms : int
        Minimum time between syncs requested because lists differ.
    join_tries : int
        Number of syncs with seeds after the start, one a period.
    push_fanout : int
        Number of members that an update is pushed to.
    push_delay_ms : int
        Delay that batches updates into one message.
    push_interval_ms : int
        Minimum time between two pushes.
    max_updates : int
        Maximum number of updates in one message, except in a full sync.
    transmissions : int
        How often an update is sent, for each decimal digit of the number
        of members.
    pause_ms : int
        A longer time between two ticks means that the process was suspended.
    renotify_ms : int
        Minimum time before the same higher version is reported again.
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
