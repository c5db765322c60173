"""News between entries: who serves, what is taken, who failed."""

from __future__ import annotations

import typing

import structlog

from thornspool.domain.entries import messages
from thornspool.domain.entries import view as view_module

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from thornspool import clock as clock_module
    from thornspool.application.routing import beliefs as beliefs_module
    from thornspool.domain.paths import reservations

NEWS_FANOUT = 6
"""Peers that are told news at each turn.

Six hosts hear each other at each turn of 200 ms; with 350, a peer is heard
every 12 s and the load of the others is known in the mean only.
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
    send : callable
        Sends news to ``ip:port``.
    read_revision : callable
        Returns the revision of the store that the copy has reached.
    random_source : random.Random
        Chooses peers.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        view: view_module.View,
        beliefs: beliefs_module.Beliefs,
        taken: reservations.Reservations,
        send: Callable[[str, messages.News], None],
        read_revision: Callable[[], int],
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._view = view
        self._beliefs = beliefs
        self._taken = taken
        self._send = send
        self._read_revision = read_revision
        self._random = random_source
        self._alive: dict[str, bool] = {}
        self.state = messages.State.STARTING

    def work(self) -> None:
        """Tell news to some peers; run every 200 ms."""
        self._note_changes()
        peers = list(self._view.peers.values())
        if len(peers) > NEWS_FANOUT:
            peers = self._random.sample(peers, NEWS_FANOUT)
        self._tell(peers)

    def tell_suspects(self) -> None:
        """Tell all peers at once which servers have just failed."""
        if self._beliefs.fresh_suspects:
            self._tell(list(self._view.peers.values()))
            self._beliefs.fresh_suspects.clear()

    def set_state(self, state: messages.State) -> None:
        """Change what callers may expect, and tell all peers."""
        if state is not self.state:
            self.state = state
            logger.info('entry_state', state=state.value)
            self._tell(list(self._view.peers.values()))

    def take_news(self, news: messages.News) -> None:
        """Take what a peer tells."""
        now = self._clock.now()
        peer = self._view.take_news(news, now)
        if peer is None:
            return
        self._taken.note_peer(news.host, news.taken)
        for name in news.suspects:
            self._beliefs.suspect(name, f'told_by_{news.host}', now, told=True)
        if news.proof_age_ms >= 0 and news.heard_stamp > 0:
            self._take_proof(news, now)

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

    def list_addresses(self, domain: str) -> tuple[str, ...]:
        """List the addresses for a caller of a failure domain."""
        now = self._clock.now()
        serving = self._view.list_serving(now)
        if self.state is messages.State.SERVING:
            serving.append(self._view.own)
        return view_module.choose_addresses(serving, domain, MAX_ADDRESSES)

    def count_entries(self) -> int:
        """Count the entries that run."""
        return self._view.count_entries(self._clock.now())

    def _note_changes(self) -> None:
        now = self._clock.now()
        for host, peer in self._view.peers.items():
            alive = self._view.is_alive(peer, now)
            if self._alive.get(host) is not alive:
                self._alive[host] = alive
                logger.info('peer_changed', peer=host, alive=alive)
            if not alive:
                self._taken.forget_peer(host)
        for host in [
            one for one in self._alive if one not in self._view.peers
        ]:
            del self._alive[host]
            self._taken.forget_peer(host)

    def _tell(self, peers: list[view_module.Peer]) -> None:
        now = self._clock.now()
        age = self._beliefs.proof.compute_age(now)
        own = self._view.own
        for peer in peers:
            self._send(
                peer.record.peers,
                messages.News(
                    host=own.host,
                    incarnation=own.incarnation,
                    state=self.state,
                    stamp=now,
                    heard_stamp=peer.heard_stamp,
                    revision=self._read_revision(),
                    proof_age_ms=-1 if age is None else age,
                    taken=self._taken.list_marked(),
                    suspects=tuple(self._beliefs.fresh_suspects),
                ),
            )
