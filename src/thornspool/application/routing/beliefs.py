"""What an entry believes: configuration, servers, suspects, and its proof."""

from __future__ import annotations

import typing

import attrs
import structlog

from thornspool.application.routing import ports
from thornspool.domain.fleet import marks
from thornspool.domain.fleet import moves as moves_module
from thornspool.domain.fleet import outliers as outliers_module
from thornspool.domain.fleet import paces as paces_module
from thornspool.domain.fleet import refusals as refusals_module
from thornspool.domain.freshness import proofs

if typing.TYPE_CHECKING:
    from thornspool.domain.fleet import messages as fleet
    from thornspool.domain.routing import messages as routing

LEAVING_USE_MS = 1_000
"""Time for which a server that leaves may still get requests.

For plain servers, and engines whose entry went without a word; their
neighbours load their layers meanwhile. The shortest bound is 2 s from the
store's acknowledgement; the change is seen within some 200 ms of it.
"""

OUTAGE_MS = 3_000
"""Age of the copy's proof from which the store counts as having been away.

Entries lapse after 3.6 s of silence; a copy that is kept current is proved
anew every 0.4 to 2.8 s.
"""

RETURN_MS = 2_200
"""Time after the store's return for which entries that are gone are not
believed to be: servers that live are back in the list within some 2 s."""

SUSPECT_MS = 4_000
"""Time for which a server that failed is left out.

A crashed engine leaves the list 3.6 s after its last heartbeat. A shorter
suspicion let it come back in between: the layers it held counted as held,
and requests stalled on it once more.
"""

MISTAKEN_MS = 1_500
"""Time for which a server that is not what the list says is left out; the
list is right again after a heartbeat of 1.2 s."""

MAX_SUSPECT_SHARE = 0.25
"""Share of all servers that one entry may suspect by what it saw itself.

An entry that was frozen or cut off finds nobody answering; it would tell
its peers to leave out the whole fleet.
"""

MIN_SUSPECTS = 4
"""Servers that may be suspected in any fleet."""

MISDIRECTED = 'misdirected'
"""Reason of a suspicion: the server is not what the list says."""

NO_REPORT = 'no_report'
"""Reason of a suspicion: the server did not answer a question."""

NO_QUICK_REPORT = 'no_quick_report'
"""Reason of a suspicion: the server did not answer questions that were waited
for only shortly. It is left, and is not taken to have ended."""

NOT_REACHED = 'not_reached'
"""Reason of a suspicion: no connection to the server came about."""

LATE_MS = 50
"""Lateness of this entry from which the silence of a server proves nothing:
the answer may lie unread while its loop is busy."""

logger = structlog.get_logger(__name__)


@attrs.define
class Suspicion:
    """Why a server is left out, and until when."""

    until: int
    reason: str
    born: int | None


@attrs.define
class Beliefs:
    """The local copy of what the store says, and what was seen since.

    Attributes
    ----------
    revision : int
        Counts the changes of servers and configuration.
    doubted : set of str
        Engines that have refused work and are to be asked whether they live.
    """

    configuration: routing.Configuration | None = None
    servers: dict[str, fleet.Server] = attrs.field(factory=dict)
    leaving: dict[str, int] = attrs.field(factory=dict)
    unlisted: dict[str, int] = attrs.field(factory=dict)
    lapsed: set[str] = attrs.field(factory=set)
    suspects: dict[str, Suspicion] = attrs.field(factory=dict)
    paces: paces_module.Paces = attrs.field(factory=paces_module.Paces)
    refusals: refusals_module.Refusals = attrs.field(
        factory=refusals_module.Refusals
    )
    outliers: outliers_module.Outliers = attrs.field(
        factory=outliers_module.Outliers
    )
    moves: moves_module.Moves = attrs.field(factory=moves_module.Moves)
    proof: proofs.Proof = attrs.field(factory=proofs.Proof)
    servers_changed_at: int = 0
    revision: int = 0
    first_contact_at: int | None = None
    store_back_at: int | None = None
    fresh_suspects: list[str] = attrs.field(factory=list)
    doubted: set[str] = attrs.field(factory=set)
    _at_address: dict[str, str] = attrs.field(factory=dict, init=False)

    def take_configuration(self, read: routing.Configuration) -> None:
        """Take a newer version; an older one is ignored."""
        known = self.configuration
        if known is not None and read.version < known.version:
            logger.warning(
                'configuration_ignored',
                version=read.version,
                in_force=known.version,
            )
            return
        self.configuration = read
        self.revision += 1
        logger.info(
            'configuration_in_force',
            version=read.version,
            routes=sum(len(found) for found in read.routes.values()),
            keys=len(read.workspaces),
        )

    def note_contact(self, now: int) -> None:
        """Note that the store's word has come, before it is taken."""
        if self.proof.current_at is None:
            self.first_contact_at = now
        elif self.is_outdated(now):
            self.store_back_at = now

    def is_outdated(self, now: int) -> bool:
        """Tell whether the copy is older than a store that answers lets it."""
        age = self.proof.compute_age(now)
        return age is None or age > OUTAGE_MS

    def is_settling(self, now: int) -> bool:
        """Tell whether the list may still lack servers that live.

        Entries lapse while the store is away. Taken for gone at its return,
        servers lost their requests, and whole failure domains were given
        new layers that were there all the time.
        """
        return _is_recent(self.store_back_at, now)

    def is_list_young(self, now: int) -> bool:
        """Tell whether nothing should be concluded from what is missing.

        A process that has just started can't tell whether the store had
        been away before.
        """
        return self.is_settling(now) or _is_recent(self.first_contact_at, now)

    def take_server(self, server: fleet.Server, now: int) -> None:
        """Take a server's entry as it was written last."""
        known = self.servers.get(server.id)
        self.lapsed.discard(server.id)
        if known == server and server.id not in self.unlisted:
            return
        self.unlisted.pop(server.id, None)
        self._drop_predecessor(server, now)
        self.servers[server.id] = server
        self.servers_changed_at = now
        self.revision += 1
        if server.draining:
            self.leaving.setdefault(server.id, now)
        else:
            self.leaving.pop(server.id, None)
        suspicion = self.suspects.get(server.id)
        if suspicion is not None and suspicion.born != server.born:
            del self.suspects[server.id]
        logger.info(
            'server_listed',
            server=server.id,
            address=server.address,
            draining=server.draining,
            layers=_show_layers(server),
            born=server.born,
        )

    def remove_server(self, name: str, now: int) -> None:
        """Note that a server's entry is gone.

        Some servers leave without a word: their entry goes first and they
        serve on for a while. So it is used a moment longer, like one that
        has announced its end.
        """
        if name not in self.servers:
            return
        if self.is_settling(now):
            self.lapsed.add(name)
            logger.info('server_lapsed', server=name)
            return
        if name in self.suspects:
            # It failed before its entry went, so it does not serve on.
            self._drop(name, now)
            return
        self.servers_changed_at = now
        self.leaving.setdefault(name, now)
        self.unlisted.setdefault(name, now)
        logger.info('server_unlisted', server=name)

    def forget_left(self, now: int) -> None:
        """Forget what no longer counts: servers, suspicions, paces."""
        if self.lapsed and not self.is_settling(now):
            # They had their time to come back, and refuse every run now.
            lapsed, self.lapsed = self.lapsed, set()
            for name in lapsed:
                self._drop(name, now)
        for name, since in list(self.unlisted.items()):
            if now - since > LEAVING_USE_MS:
                self._drop(name, now)
        for name, suspicion in list(self.suspects.items()):
            if now >= suspicion.until:
                del self.suspects[name]
        self.paces.forget_old(now)
        self.refusals.forget_old(now)
        self.outliers.forget_old(now)
        self.moves.forget_old(now)

    def _drop_predecessor(self, server: fleet.Server, now: int) -> None:
        """Forget the server that had the address of a newer one."""
        known = self.servers.get(self._at_address.get(server.address, ''))
        if known is None or known.id == server.id:
            self._at_address[server.address] = server.id
        elif (known.born or 0) < (server.born or 0):
            self._at_address[server.address] = server.id
            self._drop(known.id, now)

    def _drop(self, name: str, now: int) -> None:
        """Forget a server that is gone."""
        self.unlisted.pop(name, None)
        self.leaving.pop(name, None)
        dropped = self.servers.pop(name, None)
        if dropped is not None:
            if self._at_address.get(dropped.address) == name:
                del self._at_address[dropped.address]
            self.servers_changed_at = now
            self.revision += 1
            logger.info('server_dropped', server=name)

    def suspect(
        self, name: str, reason: str, now: int, told: bool = False
    ) -> None:
        """Leave a server out for a while.

        Parameters
        ----------
        name : str
            The server.
        reason : str
            What was seen.
        now : int
            Milliseconds of the clock.
        told : bool, optional
            Whether a peer saw it, so that it is not told on.
        """
        server = self.servers.get(name)
        if server is None:
            return
        if name not in self.suspects and not self._may_suspect():
            logger.warning('suspicion_dropped', server=name, reason=reason)
            return
        if name not in self.suspects:
            logger.warning('server_suspected', server=name, reason=reason)
            if not told:
                self.fresh_suspects.append(name)
        length = MISTAKEN_MS if reason == MISDIRECTED else SUSPECT_MS
        self.suspects[name] = Suspicion(now + length, reason, server.born)

    def note_silence(
        self,
        name: str,
        asked_at: int,
        now: int,
        wait_ms: int = ports.REPORT_MS,
        reason: str = NO_REPORT,
        late_ms: int = LATE_MS,
    ) -> None:
        """Suspect a server that has not answered a question in time.

        Parameters
        ----------
        name : str
            The server.
        asked_at, now : int
            When it was asked, and when the wait was over.
        wait_ms : int, optional
            Time that it was given.
        reason : str, optional
            What the silence shows.
        late_ms : int, optional
            Lateness of this entry from which it shows nothing.
        """
        if now - asked_at > wait_ms + late_ms:
            logger.info('silence_doubted', server=name, waited=now - asked_at)
            return
        self.suspect(name, reason, now)

    def note_broken_run(self, name: str, now: int) -> None:
        """Note that an engine closed a connection before any answer.

        Its health may be good all the while. It is asked whether it lives,
        and left out by all entries once it has broken enough runs.
        """
        self.doubted.add(name)
        if not self.outliers.note_break(name, now):
            logger.info('break_doubted', server=name)
            return
        if self._may_eject(name, now) and self.refusals.note(
            name, now, refusals_module.MAX_EJECTED_MS
        ):
            logger.warning('server_ejected', server=name)

    def take_breaks(
        self, host: str, told: typing.Iterable[int], now: int
    ) -> None:
        """Take what a peer tells of engines that break runs."""
        new = self.outliers.note_told(host, told, now)
        if not new:
            return
        for name in self.servers:
            if marks.compute_mark(name) in new and self._may_eject(name, now):
                self.take_refusals((marks.compute_mark(name),), now, False)

    def _may_eject(self, name: str, now: int) -> bool:
        """Tell whether an engine is an outlier, and enough others are left."""
        mark = marks.compute_mark(name)
        if not self.outliers.is_outlier(mark, now) and not (
            self.outliers.has_broken(mark)
            and self.refusals.is_on_trial(name, now)
        ):
            return False
        allowed = outliers_module.MAX_EJECTED_SHARE * len(self.servers)
        if self.refusals.count_left_out(now) < allowed:
            return True
        logger.warning('ejection_dropped', server=name)
        return False

    def take_refusals(
        self, told: typing.Iterable[int], now: int, direct: bool
    ) -> None:
        """Take what a peer tells of engines that are left out."""
        for mark in told:
            longest = refusals_module.MAX_MS
            if self.outliers.has_broken(mark):
                longest = refusals_module.MAX_EJECTED_MS
            self.refusals.note_told((mark,), now, direct, longest)

    def is_lost(self, name: str) -> bool:
        """Tell whether this entry itself has seen that a server is gone.

        Others may be mistaken, and a server that only waits for another one
        has not ended.
        """
        suspicion = self.suspects.get(name)
        return suspicion is not None and suspicion.reason in {
            NO_REPORT,
            NOT_REACHED,
        }

    def _may_suspect(self) -> bool:
        allowed = max(MIN_SUSPECTS, MAX_SUSPECT_SHARE * len(self.servers))
        return len(self.suspects) < allowed

    def is_usable(self, server: fleet.Server, now: int) -> bool:
        """Tell whether a server may get a request now."""
        if server.id in self.suspects:
            return False
        if server.draining and server.kind:
            # Engines that drain refuse new work at once.
            return False
        since = self.leaving.get(server.id)
        return since is None or now - since <= LEAVING_USE_MS

    def list_servers(self, service: str, now: int) -> list[fleet.Server]:
        """List the servers of a service that may get requests."""
        return [
            one
            for one in self.servers.values()
            if one.service == service and self.is_usable(one, now)
        ]

    def find_by_address(self, address: str) -> fleet.Server | None:
        """Find the newest server at an address."""
        found = [
            one for one in self.servers.values() if one.address == address
        ]
        if not found:
            return None
        return max(found, key=lambda one: one.born or 0)

    def find_model(self, service: str) -> fleet.Model | None:
        """Find the model of a service; None for a plain one."""
        if self.configuration is None:
            return None
        known = self.configuration.services.get(service)
        return None if known is None else known.model


def _is_recent(at: int | None, now: int) -> bool:
    return at is not None and now - at < RETURN_MS


def _show_layers(server: fleet.Server) -> str:
    held = server.layers
    return '' if held is None else f'{held.first}-{held.end}'
