"""News between entries: who serves, what is taken, who failed."""

from __future__ import annotations

import typing

import structlog

from thornspool.domain.entries import collectors
from thornspool.domain.entries import messages
from thornspool.domain.entries import totals as totals_module
from thornspool.domain.entries import view as view_module

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from thornspool import clock as clock_module
    from thornspool.application.routing import beliefs as beliefs_module
    from thornspool.application.routing import repeats
    from thornspool.domain.paths import reservations

GROUP_TURNS = 2
"""Turns of which a fleet with collectors uses one: news every 400 ms."""

UNKNOWN_COLLECTORS = 3
"""Entries of another failure domain that are told news while its collector
is not known; they are the first in the order in which it is chosen."""

FEED_SILENCE_MS = 1_000
"""Silence of the collector after which an entry follows the store itself."""

FEED_AGE_MS = 1_900
"""Age of the collector's proof past which it is no longer relied on.

A collector's watch waits 0.8 s and its proof is dated at the sending, so
that it is 1.6 s old at most while the store answers.
"""

BEHIND_MS = 500
"""Time for which the own copy may lag behind the collector's.

Changes are sent at once. Of one that was lost the collector learns by the
next news, within 400 ms, and sends it again.
"""

FED_PROOF_MS = 2_800
"""Age of the own proof past which an entry asks the store itself, though it
is told news: two turns after the oldest proof that a collector tells."""

AHEAD_MS = 500
"""Time by which the own proof has to be newer than the collector's to show
that the store has answered this entry; it covers the ways of the news."""

OUTDATED_MS = 1_500
"""Time for which another entry must be more current than this one before
callers are led elsewhere.

When the store returns, entries get its proof one after the other, within two
turns of news; without this time each of them would take itself out, and tell
all others twice.
"""

MAX_ADDRESSES = 64
"""Addresses that callers take from one answer."""

logger = structlog.get_logger(__name__)


class MembershipService:
    """Tells peers news and hears theirs.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    view : view_module.View
        The other entries.
    beliefs : beliefs_module.Beliefs
        Suspects and the proof of freshness.
    taken : reservations.Reservations
        Memory that requests hold.
    budget : repeats.Repeats
        Requests and repeats.
    send : callable
        Sends news to ``ip:port``.
    read_revision : callable
        Returns the revision of the store that the copy has reached.
    send_missed : callable, optional
        Sends the changes after a revision to ``ip:port``.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        view: view_module.View,
        beliefs: beliefs_module.Beliefs,
        taken: reservations.Reservations,
        budget: repeats.Repeats,
        send: Callable[[str, messages.News], None],
        read_revision: Callable[[], int],
        send_missed: Callable[[str, int], None] = lambda address, since: None,
    ) -> None:
        self._clock = clock
        self._view = view
        self._beliefs = beliefs
        self._taken = taken
        self._send = send
        self._read_revision = read_revision
        self._send_missed = send_missed
        self._told_revision = 0
        self._budget = budget
        self._totals = totals_module.Totals()
        self._work = totals_module.Totals()
        self._collectors: dict[str, tuple[str, int]] = {}
        self._alive: dict[str, bool] = {}
        self._feed: messages.News | None = None
        self._fed_at = 0
        self._behind_since: int | None = None
        self._turn = 0
        self._current_at = clock.now()
        self.state = messages.State.STARTING

    def work(self) -> None:
        """Tell news to those who need them; run every 200 ms."""
        self._view.choose_collector(self._clock.now())
        self._note_changes()
        self._told_revision = self._read_revision()
        self._turn += 1
        if self._view.is_mesh:
            self._tell(self._view.peers.values())
        elif self._turn % GROUP_TURNS == 0:
            self._tell_group()
        self._sum_taken()

    def tell_failures(self) -> None:
        """Tell at once which servers have just failed or refused work.

        Until all entries know, each of them sends its requests there.
        Refusals and breaks go to those who use the same engines, the own
        failure domain, and to the other collectors.
        """
        if self._beliefs.fresh_suspects:
            self._tell(self._view.peers.values())
        elif (
            self._beliefs.refusals.has_news
            or self._beliefs.outliers.has_news
            or self._beliefs.moves.has_news
        ):
            self._tell(self._list_concerned())
        self._beliefs.fresh_suspects.clear()
        self._beliefs.refusals.has_news = False
        self._beliefs.outliers.has_news = False
        self._beliefs.moves.has_news = False

    def _list_concerned(self) -> list[view_module.Peer]:
        if self._view.is_mesh:
            return list(self._view.peers.values())
        concerned = self._view.list_near()
        for domain in self._view.list_domains():
            if domain != self._view.own.failure_domain:
                concerned += self._find_collectors(domain)
        return concerned

    def set_state(self, state: messages.State) -> None:
        """Change what callers may expect, and tell all peers."""
        if state is not self.state:
            self.state = state
            logger.info('entry_state', state=state.value)
            self._tell(self._view.peers.values())

    def update_state(self, has_configuration: bool, bound_ms: float) -> None:
        """Choose anew whether callers may use this entry, unless it leaves.

        An entry that the store doesn't talk to leaves callers to those that
        are current. While the store is away from all, each would do so, and
        callers got no address at all: routes that need no key went without
        service, and other callers without the word when to come back.

        Parameters
        ----------
        has_configuration : bool
            Whether this entry knows any configuration.
        bound_ms : float
            Age of the proof up to which requests with a key are served.
        """
        if self.state is messages.State.LEAVING:
            return
        now = self._clock.now()
        if self._beliefs.proof.is_within(
            bound_ms, now
        ) or not self._view.is_anyone_current(bound_ms, now):
            self._current_at = now
        ready = has_configuration and now - self._current_at <= OUTDATED_MS
        self.set_state(
            messages.State.SERVING if ready else messages.State.STARTING
        )

    def take_news(self, news: messages.News) -> None:
        """Take what a peer tells."""
        now = self._clock.now()
        peer = self._view.take_news(news, now)
        if peer is None:
            return
        domain = peer.record.failure_domain
        self._totals.note(news, domain, news.taken, now)
        self._work.note(news, domain, news.work, now)
        if news.scope is messages.Scope.DOMAIN:
            self._collectors[domain] = (news.host, now)
        if news.scope is not messages.Scope.ENTRY:
            self._view.note_absent(peer.record, news, now)
        direct = self._is_from_member(news, domain)
        if direct and 0 < news.revision < self._told_revision:
            # It missed a change that was sent a turn ago or earlier.
            self._send_missed(peer.record.peers, news.revision)
        self._beliefs.paces.note_told(news.slow, now, direct)
        self._beliefs.moves.note_told(news.moving, now)
        self._beliefs.take_breaks(news.host, news.breaking, now)
        self._beliefs.take_refusals(news.refusing, now, direct)
        for name in news.suspects:
            self._beliefs.suspect(name, f'told_by_{news.host}', now, told=True)
        if news.proof_age_ms >= 0 and news.heard_stamp > 0:
            self._take_proof(news, now)
        if news.host == self._view.choice.current:
            self._take_feed(news, now)

    def _is_from_member(self, news: messages.News, domain: str) -> bool:
        """Tell whether this entry passes on what a peer has seen itself."""
        if self._view.is_mesh or not self._view.collects:
            return False
        return (
            news.scope is messages.Scope.ENTRY
            and domain == self._view.own.failure_domain
        )

    def _take_proof(self, news: messages.News, now: int) -> None:
        """Take a peer's proof where its copy is the same as ours.

        A datagram may have been under way for any time. It was told after
        the peer had heard our stamp, so the proof is dated from that stamp.
        """
        if news.revision != self._read_revision():
            return
        if news.heard_stamp > now:
            return
        self._beliefs.proof.renew(news.heard_stamp - news.proof_age_ms)

    def _take_feed(self, news: messages.News, now: int) -> None:
        """Note how far the collector's copy is."""
        self._feed = news
        self._fed_at = now
        current = news.revision <= self._read_revision() and self._is_proved(
            now
        )
        if current or not self._is_feed_current():
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def _is_proved(self, now: int) -> bool:
        age = self._beliefs.proof.compute_age(now)
        return age is not None and age <= FED_PROOF_MS

    def _is_feed_current(self) -> bool:
        """Tell whether the collector reached the store a moment ago."""
        feed = self._feed
        return feed is not None and 0 <= feed.proof_age_ms <= FEED_AGE_MS

    def _hears_feed(self, now: int) -> bool:
        return (
            self.has_collector()
            and self._feed is not None
            and now - self._fed_at <= FEED_SILENCE_MS
        )

    def may_catch_up(self) -> bool:
        """Tell whether the collector will bring what this copy lacks.

        After an outage of the store it is current first, and all entries
        that it feeds would ask the store at that moment.
        """
        now = self._clock.now()
        since = self._behind_since
        return (
            since is not None
            and self._hears_feed(now)
            and self._is_feed_current()
            and now - since <= BEHIND_MS
        )

    def has_collector(self) -> bool:
        """Tell whether another entry is to keep this one current."""
        return not self._view.is_mesh and not self._view.collects

    def is_fed(self) -> bool:
        """Tell whether the collector keeps this entry's copy current.

        The store prices each call, so that only collectors follow it. What
        they tell may be lost, or they may be turned away by the store; an
        entry that relied on them then would not see a withdrawn key.
        """
        now = self._clock.now()
        return (
            self._hears_feed(now)
            and self._is_feed_current()
            and not self._is_behind(now)
            and self._is_proved(now)
        )

    def shares_outage(self) -> bool:
        """Tell whether the collector speaks, but can't reach the store.

        An entry that the store has answered since waits for it no longer.
        """
        now = self._clock.now()
        return (
            self._hears_feed(now)
            and not self._is_feed_current()
            and not self._is_ahead_of_feed(now)
        )

    def _is_ahead_of_feed(self, now: int) -> bool:
        """Tell whether the own proof is newer than the collector's."""
        assert self._feed is not None
        age = self._beliefs.proof.compute_age(now)
        if age is None:
            return False
        told = self._feed.proof_age_ms
        return told < 0 or age + AHEAD_MS < told + now - self._fed_at

    def _is_behind(self, now: int) -> bool:
        """Tell whether a change that the collector has did not come."""
        assert self._feed is not None
        since = self._behind_since
        if since is None or self._feed.revision <= self._read_revision():
            return False
        return now - since > BEHIND_MS

    def hand_over(self) -> None:
        """Leave collecting to another entry, as the store turns this one away.

        The members of the domain hear it at once: they follow another
        collector before their proofs are too old.
        """
        near = self._view.list_near()
        if self._view.is_mesh or not self._view.collects or not near:
            return
        now = self._clock.now()
        own = self._view.own.host
        self._view.choice.note_shut_out(own, now + collectors.SHUT_OUT_MS)
        logger.warning(
            'collecting_handed_over',
            shut_out=self._view.choice.count_shut_out(now),
        )
        self._tell(near)
        self._view.choose_collector(now)

    def list_fed(self) -> list[str]:
        """List the addresses of those whom this entry keeps current."""
        if self._view.is_mesh or not self._view.collects:
            return []
        return [one.record.peers for one in self._view.list_near()]

    def list_addresses(self, domain: str) -> tuple[str, ...]:
        """List the addresses for a caller of a failure domain."""
        now = self._clock.now()
        serving = self._view.list_serving(now)
        if self.state is messages.State.SERVING:
            serving.append(self._view.own)
        return view_module.choose_addresses(serving, domain, MAX_ADDRESSES)

    def _note_changes(self) -> None:
        now = self._clock.now()
        for host, peer in self._view.peers.items():
            alive = self._view.is_alive(peer, now)
            if self._alive.setdefault(host, True) is not alive:
                self._alive[host] = alive
                logger.info('peer_changed', peer=host, alive=alive)
            if not alive:
                self._forget(host)
        for host in [
            one for one in self._alive if one not in self._view.peers
        ]:
            del self._alive[host]
            self._forget(host)

    def _forget(self, host: str) -> None:
        self._totals.forget(host)
        self._work.forget(host)

    def _sum_taken(self) -> None:
        """Add up what the requests of all other entries hold and were."""
        self._taken.others = self._sum_others(self._totals)
        self._budget.take_others(self._sum_others(self._work))

    def _sum_others(
        self, totals: totals_module.Totals
    ) -> totals_module.Amounts:
        now = self._clock.now()
        if self._view.is_mesh:
            return totals.sum_entries(self._view.peers, now)
        if not self._view.collects:
            return totals.read_rest(now)
        return totals_module.add_up(
            (
                self._sum_near(totals),
                totals.sum_domains(self._view.own.failure_domain, now),
            )
        )

    def _sum_near(self, totals: totals_module.Totals) -> totals_module.Amounts:
        return totals.sum_entries(
            (one.record.host for one in self._view.list_near()),
            self._clock.now(),
        )

    def _tell_group(self) -> None:
        """Tell the collector, or, as the collector, those who need sums."""
        if self._view.collects:
            self._tell_members()
            self._tell_collectors()
            return
        choice = self._view.choice
        self._tell(
            self._view.peers[host]
            for host in (choice.current, choice.backup)
            if host in self._view.peers
        )

    def _tell_members(self) -> None:
        """Tell each entry of the domain what all but itself hold."""
        now = self._clock.now()
        taken = totals_module.add_up(
            (self._sum_others(self._totals), self._taken.list_marked())
        )
        work = totals_module.add_up(
            (self._sum_others(self._work), self._budget.list_marked())
        )
        absent = self._list_absent(self._view.peers.values())
        for peer in self._view.list_near():
            own = [peer.record.host]
            self._send_news(
                peer,
                totals_module.subtract(
                    taken, self._totals.sum_entries(own, now)
                ),
                totals_module.subtract(work, self._work.sum_entries(own, now)),
                messages.Scope.REST,
                absent,
            )

    def _tell_collectors(self) -> None:
        """Tell the collectors of the other failure domains."""
        own_domain = self._view.own.failure_domain
        taken = totals_module.add_up(
            (self._sum_near(self._totals), self._taken.list_marked())
        )
        work = totals_module.add_up(
            (self._sum_near(self._work), self._budget.list_marked())
        )
        absent = self._list_absent(self._view.list_near())
        for domain in self._view.list_domains():
            if domain == own_domain:
                continue
            for peer in self._find_collectors(domain):
                self._send_news(
                    peer, taken, work, messages.Scope.DOMAIN, absent
                )

    def _find_collectors(self, domain: str) -> list[view_module.Peer]:
        now = self._clock.now()
        host, heard_at = self._collectors.get(domain, ('', 0))
        known = self._view.peers.get(host)
        if known is not None and now - heard_at <= self._view.silence_ms:
            return [known]
        near = self._view.list_domain(domain)
        alive = [one for one in near if self._view.is_alive(one, now)]
        return alive[:UNKNOWN_COLLECTORS]

    def _list_absent(
        self, peers: Iterable[view_module.Peer]
    ) -> tuple[str, ...]:
        now = self._clock.now()
        return tuple(
            one.record.host
            for one in peers
            if one.state is not messages.State.SERVING
            or not self._view.is_alive(one, now)
        )

    def _tell(self, peers: Iterable[view_module.Peer]) -> None:
        taken = self._taken.list_marked()
        work = self._budget.list_marked()
        for peer in list(peers):
            self._send_news(peer, taken, work)

    def _send_news(
        self,
        peer: view_module.Peer,
        taken: totals_module.Amounts,
        work: totals_module.Amounts,
        scope: messages.Scope = messages.Scope.ENTRY,
        absent: tuple[str, ...] = (),
    ) -> None:
        now = self._clock.now()
        age = self._beliefs.proof.compute_age(now)
        own = self._view.own
        direct_only = scope is not messages.Scope.REST
        news = messages.News(
            host=own.host,
            incarnation=own.incarnation,
            state=self.state,
            stamp=now,
            heard_stamp=peer.heard_stamp,
            revision=self._read_revision(),
            proof_age_ms=-1 if age is None else age,
            taken=taken,
            suspects=tuple(self._beliefs.fresh_suspects),
            scope=scope,
            absent=absent,
            slow=self._beliefs.paces.list_slow(now, direct_only),
            refusing=self._beliefs.refusals.list_fresh(now, direct_only),
            work=work,
            breaking=self._beliefs.outliers.list_fresh(now),
            moving=self._beliefs.moves.list_known(direct_only),
            shut_out_ms=self._view.choice.compute_shut_out(own.host, now),
        )
        self._send(peer.record.peers, news)
