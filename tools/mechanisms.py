"""Mechanisms that can be disabled, each as a list of source edits."""

from __future__ import annotations

import attrs

_ROUTING = 'src/thornspool/application/routing'
_DOMAIN = 'src/thornspool/domain'
_ADMISSION = 'src/thornspool/domain/admission'
_FLEET = 'src/thornspool/domain/fleet'
_PATHS = 'src/thornspool/domain/paths'
_RETRIES = 'src/thornspool/domain/retries'
_PLACEMENT = 'src/thornspool/domain/placement'
_PLATFORM = 'src/thornspool/platform'


@attrs.frozen
class Edit:
    """Replacement of a text in one file.

    Attributes
    ----------
    path : str
        Path of the file, relative to the root.
    old, new : str
        Text that occurs exactly once in the file, and its replacement.
    """

    path: str
    old: str
    new: str


MECHANISMS: dict[str, tuple[Edit, ...]] = {
    'outlier-ejection': (
        Edit(
            f'{_ROUTING}/fault_attribution.py',
            'if run.head is None:\n            self._evidence.record_failure',
            'if False:\n            self._evidence.record_failure',
        ),
    ),
    'confirmed-evidence': (
        Edit(
            f'{_ROUTING}/server_evidence.py',
            'if self.links.has_answer_since(opened_at, server.id):\n',
            'if opened_at >= 0:\n',
        ),
    ),
    'relays': (
        Edit(
            f'{_ROUTING}/relays.py',
            'if not self._links.are_lost or exchange.request.relay',
            'if self._view is not None or exchange.request.relay',
        ),
    ),
    'second-transfers': (
        Edit(
            f'{_ROUTING}/relays.py',
            'return self._may_pass_on(relay, peer)\n',
            'return False\n',
        ),
    ),
    'shared-silence': (
        Edit(
            f'{_ROUTING}/failure_detection.py',
            'if delay_ms > MAX_CHECK_DELAY_MS or self.is_link_busy():\n',
            'if delay_ms >= 0:\n',
        ),
    ),
    'busy-entries': (
        Edit(
            f'{_ROUTING}/failure_detection.py',
            'self._busy_until = now + BUSY_SETTLE_MS\n',
            'return\n',
        ),
        Edit(
            f'{_ROUTING}/failure_detection.py',
            'if unresponsive and self._is_busy():\n',
            'if False:\n',
        ),
    ),
    'doubted-losses': (
        Edit(
            f'{_ROUTING}/placement.py',
            'if now - since < DOUBT_MS:\n',
            'if False:\n',
        ),
    ),
    'reading-queue': (
        Edit(
            f'{_PATHS}/search.py',
            'hop_cost_ms = HOP_COST_MS + candidate.wait_ms\n',
            'hop_cost_ms = HOP_COST_MS\n',
        ),
    ),
    'overlap': (
        Edit(
            f'{_PLACEMENT}/layout.py',
            'end = min(layers, first + layer_counts[engine.id])\n',
            'end = math.floor((offset + layer_counts[engine.id]) * scale)\n',
        ),
    ),
    'mending-by-neighbours': (
        Edit(
            f'{_PLACEMENT}/planning.py',
            'if extended is not None:\n            return [*extended',
            'if False:\n            return [*extended',
        ),
    ),
    'moves-told': (
        Edit(
            f'{_ROUTING}/placement.py',
            'if self._routing_state.retained_ranges.begin('
            'order.server, retained):\n',
            'if False:\n',
        ),
    ),
    'no-moves-while-slow': (
        Edit(
            f'{_ROUTING}/placement.py',
            'if self._routing_state.slowdowns.select(\n'
            '            (engine.id for engine in engines), now\n'
            '        ):\n',
            'if False:\n',
        ),
    ),
    'sweep': (
        Edit(
            f'{_ROUTING}/failure_detection.py',
            'self._begin_sweep(server.service, now)\n',
            'pass\n',
        ),
    ),
    'resume-in-another-run': (
        Edit(
            f'{_ROUTING}/streams.py',
            'exchange.route.retryable\n            and exchange.runs <',
            'exchange.route.retryable\n'
            '            and not exchange.response_started\n'
            '            and exchange.runs <',
        ),
    ),
    'repath': (
        Edit(
            f'{_ROUTING}/rerouting.py',
            'run.head is not None or not may_retry)\n',
            'not may_retry)\n',
        ),
    ),
    'stalled-runs-stay-open': (
        Edit(
            f'{_ROUTING}/second_runs.py',
            'if in_flight.second is not None:\n'
            '            self._owner.close_run('
            'in_flight, self._choose_surplus(in_flight))\n',
            'for run in in_flight.open_runs:\n'
            '            self._owner.close_run(in_flight, run)\n',
        ),
    ),
    'end-of-surplus-runs': (
        Edit(
            f'{_ROUTING}/second_runs.py',
            'if other is not run:\n',
            'if other is None:\n',
        ),
    ),
    'spread-of-second-runs': (
        Edit(
            f'{_ROUTING}/second_runs.py',
            'SPREAD_MS = 100\n',
            'SPREAD_MS = 0\n',
        ),
    ),
    'one-run-at-a-first-engine': (
        Edit(
            f'{_ROUTING}/second_runs.py',
            'own = {run.first_server.id for run in in_flight.open_runs}\n',
            'own: set[str] = set()\n',
        ),
    ),
    'urgent-streams-first': (
        Edit(
            f'{_ROUTING}/failure_detection.py',
            'key=lambda one: one[0].rank\n',
            'key=lambda one: id(one[0])\n',
        ),
    ),
    'quarantine': (
        Edit(
            f'{_ROUTING}/run_permits.py',
            'verdict = self._quarantine.check(fingerprint, parts)\n'
            '        names = (fingerprint, *parts)\n',
            'return Permit.GRANTED\n        names = (fingerprint, *parts)\n',
        ),
    ),
    'parts-of-prompts': (
        Edit(
            f'{_ROUTING}/exchanges.py',
            'for part in self.request.prompt_parts[:MAX_PARTS]\n',
            'for part in ()\n',
        ),
    ),
    'proofs-of-parts': (
        Edit(
            f'{_ROUTING}/run_permits.py',
            'quarantine.set_proof(crashes.proven_parts.__contains__)\n',
            'pass\n',
        ),
    ),
    'proofs-of-peers': (
        Edit(
            'src/thornspool/application/quarantine.py',
            'and self._records.mark_proven(record.fingerprint, now)\n',
            'and False\n',
        ),
    ),
    'cleared-by-progress': (
        Edit(
            f'{_ROUTING}/crash_detection.py',
            'run.on_established = lambda: self._record_proof(run)\n',
            'pass\n',
        ),
    ),
    'parts-explain-requests': (
        Edit(
            f'{_DOMAIN}/quarantine/records.py',
            'and self._has_suspect_deaths(other, now)\n',
            'and False\n',
        ),
    ),
    'parts-explain-proven-parts': (
        Edit(
            f'{_DOMAIN}/quarantine/records.py',
            'if death.was_proven:\n'
            '                if self.count_deaths(other, now)',
            'if death.was_proven:\n'
            '                if -self.count_deaths(other, now)',
        ),
    ),
    'own-names-no-rivals': (
        Edit(
            f'{_DOMAIN}/quarantine/records.py',
            'return found - others - {name}\n',
            'return found - {name}\n',
        ),
    ),
    'proof-by-start': (
        Edit(
            f'{_ROUTING}/run_permits.py',
            'name, run.first_progress_at if is_known else None\n',
            'name\n',
        ),
    ),
    'probation-of-parts': (
        Edit(
            f'{_DOMAIN}/quarantine/records.py',
            'ttl_ms = CONDEMNED_TTL_MS + PROBATION_MS\n',
            'ttl_ms = CONDEMNED_TTL_MS\n',
        ),
    ),
    'drawn-holders': (
        Edit(
            f'{_PATHS}/choice.py',
            'factor = -math.log(1.0 - draw_random())\n',
            'factor = 1.0\n',
        ),
    ),
    'lone-streams': (
        Edit(
            f'{_PATHS}/stalls.py',
            'if shared and stalled_streams >= MIN_STALLED_STREAMS:\n',
            'if shared or stalled_streams >= 0:\n',
        ),
    ),
    'rhythm-of-streams': (
        Edit(
            f'{_ROUTING}/streams.py',
            'in_flight.event_interval.mean_ms\n'
            '            or self.event_interval',
            'self.event_interval',
        ),
    ),
    'losses-told-at-once': (
        Edit(
            f'{_ROUTING}/failure_detection.py',
            '        self._announce_suspects()\n'
            '        self.reroute_from_suspects()\n',
            '        return\n',
        ),
    ),
    'lost-with-the-entry': (
        Edit(
            f'{_ROUTING}/routing_state.py',
            'if server_id in self.suspicions:\n            # It failed',
            'if False:\n            # It failed',
        ),
    ),
    'suspicion-told': (
        Edit(
            f'{_ROUTING}/routing_state.py',
            'for server_id in suspects:\n',
            'for server_id in ():\n',
        ),
    ),
    'refusals-told': (
        Edit(
            f'{_ROUTING}/membership.py',
            'routing_state.apply_reported_refusals(update.refusing, now, '
            'direct)\n',
            'pass\n',
        ),
    ),
    'workspace-shares': (
        Edit(
            f'{_DOMAIN}/admission/workspace_shares.py',
            'if unmet_tokens > start:\n',
            'if False:\n',
        ),
    ),
    'server-limits': (
        Edit(
            f'{_FLEET}/named_limits.py',
            '        if not self._limits:\n            return None\n',
            '        return None\n',
        ),
    ),
    'server-rests': (
        Edit(
            f'{_FLEET}/rests.py',
            '        if not self._ends:\n            return 0\n',
            '        return 0\n',
        ),
        Edit(
            f'{_FLEET}/rests.py',
            '        if not self._ends:\n            return {}\n',
            '        return {}\n',
        ),
    ),
    'departures': (
        Edit(
            f'{_ROUTING}/routing_state.py',
            'if notice.is_leaving and',
            'if False and',
        ),
    ),
    'server-limits-told': (
        Edit(
            f'{_ROUTING}/membership.py',
            'in update.limits.items():\n',
            'in ():\n',
        ),
    ),
    'shared-repeats': (
        Edit(
            f'{_RETRIES}/pools.py',
            'self._reported_at > REPORT_VALID_MS:\n',
            'self._reported_at >= 0:\n',
        ),
    ),
    'turns-for-repeats': (
        Edit(
            f'{_RETRIES}/pools.py',
            'math.floor(share) + self._may_round_up(share, now)\n',
            'math.floor(share)\n',
        ),
    ),
    'collectors': (
        Edit(
            'src/thornspool/domain/entries/view.py',
            'MESH_LIMIT = 12\n',
            'MESH_LIMIT = 10_000\n',
        ),
    ),
    'waiting-for-room': (
        Edit(
            f'{_ROUTING}/streams.py',
            'MAX_QUEUE_MS = 1_500\n',
            'MAX_QUEUE_MS = 0\n',
        ),
        Edit(
            f'{_ADMISSION}/queueing.py',
            'MAX_USEFUL_WAIT_MS = 1_500.0\n',
            'MAX_USEFUL_WAIT_MS = 0.0\n',
        ),
    ),
    'headroom-for-urgent-requests': (
        Edit(
            f'{_ADMISSION}/headroom.py',
            'if kept_tokens <= 0:\n',
            'if kept_tokens <= math.inf:\n',
        ),
    ),
    'claims-between-reports': (
        Edit(
            f'{_ADMISSION}/claims.py',
            'return claimed + drawn * tokens < claimable\n',
            'return True\n',
        ),
    ),
    'early-refusal': (
        Edit(
            f'{_ADMISSION}/queueing.py',
            'if queued_tokens <= 0 or released_tokens <= 0:\n',
            'if queued_tokens >= 0 or released_tokens <= 0:\n',
        ),
    ),
    'refusal-backoff': (
        Edit(
            f'{_FLEET}/refusals.py',
            'INITIAL_BACKOFF_MS = 300\n',
            'INITIAL_BACKOFF_MS = 0\n',
        ),
    ),
    'paces': (
        Edit(
            f'{_FLEET}/slowdowns.py',
            'SLOW_FACTOR = 1.5\n',
            'SLOW_FACTOR = 1e9\n',
        ),
    ),
    'noise-in-costs': (
        Edit(
            f'{_PATHS}/choice.py',
            'COST_JITTER_SHARE = 0.1\n',
            'COST_JITTER_SHARE = 0.0\n',
        ),
    ),
    'spillover': (
        Edit(
            f'{_ROUTING}/spillover.py',
            '            or not self.is_enabled\n',
            '            or True\n',
        ),
        Edit(
            f'{_FLEET}/server_scores.py',
            'if not own or any(load is None for _, load in own):\n',
            'if True:\n',
        ),
    ),
    'crossing-bound': (
        Edit(
            f'{_PATHS}/crossings.py',
            'MAX_LINK_SHARE = 0.4\n',
            'MAX_LINK_SHARE = 1e9\n',
        ),
    ),
    'leaving-cost': (
        Edit(
            f'{_PATHS}/choice.py',
            'DRAINING_LAYER_COST_MS = 300.0\n',
            'DRAINING_LAYER_COST_MS = 0.0\n',
        ),
    ),
    'steep-cost-of-memory': (
        Edit(
            f'{_PATHS}/search.py',
            'STEEP_COST_SHARE = 0.45\n',
            'STEEP_COST_SHARE = 9.0\n',
        ),
    ),
    'repeats-for-begun-streams-first': (
        Edit(
            f'{_ROUTING}/retry_pools.py',
            'REGULAR_SHARE = 0.6\n',
            'REGULAR_SHARE = 1.0\n',
        ),
    ),
    'balancing-moves': (
        Edit(
            f'{_PLACEMENT}/planning.py',
            '[plans[name] for name in sorted(complete) if name in stable]',
            '[]',
        ),
    ),
    'half-the-room': (
        Edit(
            f'{_PLACEMENT}/layout.py',
            'TARGET_CONCURRENT_REQUESTS = 64\n',
            'TARGET_CONCURRENT_REQUESTS = 32\n',
        ),
    ),
    'twice-the-room': (
        Edit(
            f'{_PLACEMENT}/layout.py',
            'TARGET_CONCURRENT_REQUESTS = 64\n',
            'TARGET_CONCURRENT_REQUESTS = 128\n',
        ),
    ),
    'handover-of-collecting': (
        Edit(
            f'{_PLATFORM}/follower.py',
            'self._coordination.hand_over_collection()\n',
            'pass\n',
        ),
    ),
    'missed-changes-sent-again': (
        Edit(
            f'{_ROUTING}/membership.py',
            'if direct and 0 < update.revision < self._reported_revision:\n',
            'if False:\n',
        ),
    ),
    'waiting-for-the-feed': (
        Edit(
            f'{_PLATFORM}/follower.py',
            'return age < FEED_WAIT_MS\n',
            'return False\n',
        ),
    ),
    'patience-in-shared-outages': (
        Edit(
            f'{_PLATFORM}/follower.py',
            'return age < self._query_age_ms\n',
            'return False\n',
        ),
    ),
    'old-lease': (
        Edit(
            f'{_ROUTING}/registration.py',
            'if old_lease and not self._tried_old_lease:\n',
            'if False:\n',
        ),
    ),
    'outdated-retry': (
        Edit(
            f'{_ROUTING}/intake.py',
            'if self._is_peer_current(limit_ms):\n',
            'if False:\n',
        ),
    ),
    'denials-of-current-copies': (
        Edit(
            f'{_DOMAIN}/routing/decisions.py',
            'not copy.is_within(limits.denial_ms)\n',
            'False\n',
        ),
    ),
    'versions-of-peers': (
        Edit(
            f'{_DOMAIN}/routing/decisions.py',
            'or configuration.version < copy.newest_version\n',
            'or False\n',
        ),
    ),
    'confirmations': (
        Edit(
            f'{_PLATFORM}/follower.py',
            'await self._fetch_changes(CONFIRMATION_WATCH_MS)\n',
            'await asyncio.sleep(0)\n',
        ),
    ),
    'shared-confirmations': (
        Edit(
            f'{_PLATFORM}/follower.py',
            'if now < self._next_confirmation_at:\n',
            'if False:\n',
        ),
    ),
    'bounded-waits': (
        Edit(
            f'{_DOMAIN}/freshness/age_limits.py',
            'return self.denial_ms - QUERY_SPREAD_MS, self.denial_ms\n',
            'return 3_200, 6_000\n',
        ),
    ),
    'bounded-copies': (
        Edit(
            f'{_DOMAIN}/freshness/age_limits.py',
            'return min(MAX_COPY_AGE_MS, self.denial_ms)\n',
            'return MAX_COPY_AGE_MS\n',
        ),
    ),
    'versions-of-relays': (
        Edit(
            f'{_ROUTING}/intake.py',
            'relay is not None\n            and relay.configuration_version\n',
            'False\n            and relay.configuration_version\n',
        ),
    ),
    'overlapping-changes': (
        Edit(
            f'{_PLATFORM}/follower.py',
            'for one in self._change_sets\n',
            'for one in list(self._change_sets)[-1:]\n',
        ),
    ),
    'waits-that-add-up': (
        Edit(
            f'{_ROUTING}/membership.py',
            'return since is None or now - since > CATCH_UP_INTERVAL_MS\n',
            'return since is None or now - since > MAX_LAG_MS\n',
        ),
    ),
    'limit-on-events': (
        Edit(
            f'{_FLEET}/events.py',
            'if match.end() - end > MAX_EVENT_BYTES:\n',
            'if False:\n',
        ),
        Edit(
            f'{_FLEET}/events.py',
            'if len(partial) > MAX_EVENT_BYTES:\n',
            'if False:\n',
        ),
    ),
    'slots-of-first-engines': (
        Edit(
            f'{_PATHS}/choice.py',
            'return starts / max(1, engine.slots)\n',
            'return 0.0 * starts\n',
        ),
    ),
}
