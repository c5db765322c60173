"""Tests of evidence against servers, and of links that this entry has lost."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

import attrs

from tests.application.routing import builders
from thornspool.application.routing import observed_servers
from thornspool.application.routing import ports
from thornspool.application.routing import server_evidence
from thornspool.domain.fleet import links as links_module
from thornspool.domain.fleet import outliers

LISTENING = ports.ProcessCheck(True)
SILENT = ports.ProcessCheck(None)
REFUSED = ports.ProcessCheck(False)
TIMEOUT_S = 10.0


class EvidenceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = builders.World()
        self.state = self.world.routing_state
        self.announced = 0
        self.limited = set()
        observed = observed_servers.ObservedServers(
            self.world.clock,
            self.world.servers,
            lambda *answer: self.evidence.record_answer(*answer),
        )
        self.evidence = server_evidence.ServerEvidence(
            self.world.clock,
            self.state,
            observed,
            links_module.Links(),
            random.Random(1),
            builders.start_task,
            lambda server_id: server_id not in self.limited,
            self.announce,
        )
        self.servers = list(self.state.servers.values())

    def announce(self):
        self.announced += 1

    def set_checks(self, found):
        self.world.servers.checks = {
            server.id: found for server in self.servers
        }

    def keep_servers(self, count):
        """Remove all servers but the first ones; return these."""
        for server in self.servers[count:]:
            del self.state.servers[server.id]
        return self.servers[:count]

    async def fail_connections(self, *servers):
        """Let connections to servers fail at the same time."""
        now = self.world.clock.now()
        for server in servers:
            self.evidence.record_unreachable(server, now)
        await self.pass_time(0)

    async def wait_until(self, check):
        async with asyncio.timeout(TIMEOUT_S):
            while not check():
                await asyncio.sleep(0)

    async def pass_time(self, milliseconds):
        self.world.clock.advance(milliseconds)
        self.evidence.tick()
        for _ in range(12):
            await asyncio.sleep(0)

    async def test_failure_counts_once_another_server_has_answered(self):
        await self.fail_connections(self.servers[0])
        self.assertEqual([self.servers[0].id], list(self.state.suspicions))
        self.assertEqual(1, self.announced)
        self.assertFalse(self.evidence.links.are_lost)

    async def test_failure_is_not_held_against_a_later_process(self):
        """Guards against a sound server excluded for the process before."""
        server = self.servers[0]
        later = attrs.evolve(server, started_at=server.started_at + 1)
        self.world.add(later)
        await self.fail_connections(server)
        self.assertEqual({}, self.state.suspicions)
        await self.fail_connections(later)
        self.assertEqual([server.id], list(self.state.suspicions))

    async def test_all_failures_count_if_any_server_answers(self):
        """Guards against losses of half of the fleet that are not found."""
        await self.fail_connections(*self.servers[:-1])
        self.assertEqual(
            {server.id for server in self.servers[:-1]},
            set(self.state.suspicions),
        )

    async def test_entry_that_reaches_no_server_suspects_none(self):
        """Guards against an entry without links that excludes the fleet."""
        for found in (SILENT, REFUSED):
            with self.subTest(found.is_listening):
                self.set_checks(found)
                await self.fail_connections(*self.servers[:3])
                self.assertTrue(self.evidence.links.are_lost)
                await self.fail_connections(*self.servers[3:])
                self.assertEqual({}, self.state.suspicions)
                self.assertEqual([], self.state.unreported_suspects)

    async def test_broken_runs_of_an_entry_without_links_eject_no_engine(self):
        """Guards against an isolated host that ejects healthy engines."""
        self.set_checks(SILENT)
        for number in range(20):
            server = self.servers[number % 5]
            self.evidence.record_failure(
                server,
                self.world.clock.now(),
                lambda server=server: self.state.record_broken_run(
                    server.id, self.world.clock.now()
                ),
            )
            await self.pass_time(1)
        now = self.world.clock.now()
        self.assertEqual((), self.state.outliers.list_announced(now))
        self.assertEqual(0, self.state.refusals.count_excluded(now))

    async def test_broken_runs_on_many_engines_count_while_others_answer(self):
        for server in self.servers[:6]:
            self.evidence.record_failure(
                server,
                self.world.clock.now(),
                lambda server=server: self.state.record_broken_run(
                    server.id, self.world.clock.now()
                ),
            )
            await self.pass_time(0)
        self.assertEqual(6, len(self.state.outliers.list_announced(0)))
        self.assertLess(0, outliers.ANNOUNCE_MS)

    async def test_suspicions_are_retracted_when_the_links_are_lost(self):
        """Guards against what was believed before the entry knew."""
        await self.fail_connections(self.servers[0])
        self.set_checks(SILENT)
        await self.pass_time(10)
        await self.fail_connections(self.servers[1])
        self.assertEqual({}, self.state.suspicions)
        self.assertEqual([self.servers[0].id], list(self.state.retractions))

    async def test_restored_links_are_found_by_few_checks(self):
        self.set_checks(SILENT)
        await self.fail_connections(self.servers[0])
        for _ in range(10):
            await self.pass_time(100)
        self.assertTrue(self.evidence.links.are_lost)
        self.set_checks(LISTENING)
        await self.pass_time(server_evidence.RESTORE_CHECK_MS)
        self.assertFalse(self.evidence.links.are_lost)

    async def test_links_to_the_only_server_that_answers_are_restored(self):
        """Guards against lost links where most servers have ended."""
        self.set_checks(REFUSED)
        await self.fail_connections(self.servers[0])
        alone = self.servers[0]
        self.world.servers.checks[alone.id] = LISTENING
        for _ in range(40):
            await self.pass_time(server_evidence.RESTORE_CHECK_MS)
        self.assertFalse(self.evidence.links.are_lost)

    async def test_attempts_from_before_the_end_of_a_cut_say_nothing(self):
        """Guards against suspicions when the links are restored."""
        began_at = self.world.clock.now()
        self.set_checks(SILENT)
        await self.fail_connections(self.servers[0])
        self.set_checks(LISTENING)
        await self.pass_time(server_evidence.RESTORE_CHECK_MS)
        self.evidence.record_unreachable(self.servers[1], began_at)
        await self.pass_time(0)
        self.assertEqual({}, self.state.suspicions)

    async def test_checks_that_end_late_say_nothing(self):
        """Guards against links that count as lost after a suspension."""
        check = self.world.servers.check

        async def check_late(server, wait_ms=ports.CHECK_MS):
            self.world.clock.advance(1_000)
            self.set_checks(LISTENING)
            return SILENT

        self.world.servers.check = check_late
        task = asyncio.ensure_future(self.fail_connections(self.servers[0]))
        await asyncio.sleep(0)
        await task
        self.assertFalse(self.evidence.links.are_lost)
        self.world.servers.check = check
        await self.pass_time(0)
        self.assertEqual([self.servers[0].id], list(self.state.suspicions))

    async def test_silent_references_delay_no_evidence(self):
        """Guards against failures that count late where a domain is lost."""
        answering = self.servers[-1]

        async def check(server, wait_ms=ports.CHECK_MS):
            if server is not answering:
                await asyncio.get_running_loop().create_future()
            return LISTENING

        self.world.servers.check = check
        with mock.patch.multiple(
            server_evidence, FIRST_WAIT_MS=1, REFERENCES=len(self.servers)
        ):
            self.evidence.record_unreachable(
                self.servers[0], self.world.clock.now()
            )
            await self.wait_until(lambda: self.state.suspicions)
        self.assertEqual([self.servers[0].id], list(self.state.suspicions))

    async def test_slow_references_are_waited_for(self):
        """Guards against links that count as lost where all hosts are busy.

        No peer has links then, so that every request would be refused.
        """

        async def check_slowly(server, wait_ms=ports.CHECK_MS):
            await asyncio.sleep(min(wait_ms, 400) / 1000)
            return LISTENING if wait_ms >= 400 else SILENT

        self.world.servers.check = check_slowly
        await self.fail_connections(self.servers[0])
        await self.wait_until(
            lambda: self.state.suspicions or self.evidence.links.are_lost
        )
        self.assertFalse(self.evidence.links.are_lost)
        self.assertEqual([self.servers[0].id], list(self.state.suspicions))

    async def test_silence_of_a_second_ends_with_the_next_answer(self):
        """Guards against exclusion for seconds of a sound engine."""
        silent = self.servers[0]
        self.world.servers.checks[silent.id] = SILENT
        await self.fail_connections(silent)
        for _ in range(8):
            await self.pass_time(100)
        self.assertIn(silent.id, self.state.suspicions)
        self.world.servers.checks[silent.id] = LISTENING
        await self.pass_time(server_evidence.SUSPECT_CHECK_MS)
        self.assertEqual({}, self.state.suspicions)
        self.assertIn(silent.id, self.state.retractions)

    async def test_links_are_confirmed_before_a_peer_relies_on_them(self):
        """Guards against requests that entries without links exchange."""
        results = []
        for found, expected in ((LISTENING, True), (SILENT, False)):
            self.set_checks(found)
            await self.pass_time(server_evidence.PROOF_MS + 1)
            self.evidence.confirm_links(results.append)
            await self.pass_time(0)
            self.assertEqual(expected, results[-1])
        self.assertTrue(self.evidence.links.are_lost)

    async def test_links_are_lost_once_for_all_who_ask(self):
        """Guards against a check of its own for each request of a peer."""
        checked, results = [], []

        async def check(server, wait_ms=ports.CHECK_MS):
            checked.append(server.id)
            await asyncio.sleep(0.01)
            return SILENT

        self.world.servers.check = check
        for _ in range(5):
            self.evidence.confirm_links(results.append)
        self.evidence.record_unreachable(
            self.servers[0], self.world.clock.now()
        )
        await self.wait_until(lambda: results)
        self.assertEqual([False] * 5, results)
        self.assertEqual(1, self.evidence.lost_count)
        self.assertLessEqual(
            len(checked),
            1 + server_evidence.REFERENCES * server_evidence.REFERENCE_CHECKS,
        )

    async def test_confirmation_needs_an_answer_of_that_moment(self):
        """Guards against answers from before a cut."""
        results = []

        async def check(server, wait_ms=ports.CHECK_MS):
            await asyncio.sleep(0.01)
            return LISTENING

        self.world.servers.check = check
        self.evidence.confirm_links(results.append)
        for _ in range(5):
            await asyncio.sleep(0)
        self.world.clock.advance(2 * server_evidence.PROOF_MS)
        self.evidence.confirm_links(results.append)
        while not results:
            await asyncio.sleep(0)
        self.assertEqual([True], results)
        await self.wait_until(lambda: len(results) > 1)
        self.assertEqual([True, True], results)

    async def test_servers_that_accept_no_check_confirm_nothing(self):
        """Guards against entries without links whose peers name limits."""
        failed, accepting, *limited = self.servers
        self.limited = {server.id for server in limited}
        self.set_checks(SILENT)
        await self.fail_connections(failed)
        self.assertEqual({}, self.state.suspicions)
        self.assertTrue(self.evidence.links.are_lost)
        self.assertEqual(accepting.id, self.world.servers.checked[0])

    async def test_failure_waits_until_a_server_accepts_a_check(self):
        """Guards against evidence that nobody could confirm."""
        failed, other, *_ = self.servers
        self.limited = {server.id for server in self.servers} - {failed.id}
        probed_at = self.world.clock.now()
        await self.pass_time(ports.REPORT_MS)
        self.evidence.record_unanswered_probe(failed, probed_at)
        await self.pass_time(100)
        self.assertEqual({}, self.state.suspicions)
        self.assertFalse(self.evidence.links.are_lost)
        self.limited.discard(other.id)
        await self.pass_time(100)
        self.assertEqual([failed.id], list(self.state.suspicions))

    async def test_answer_to_a_request_confirms_a_failure_that_waits(self):
        failed, other, *_ = self.servers
        self.limited = {server.id for server in self.servers} - {failed.id}
        await self.fail_connections(failed)
        self.evidence.record_answer(
            other, self.world.clock.now(), ports.Responder.UNKNOWN
        )
        await self.pass_time(100)
        self.assertEqual([failed.id], list(self.state.suspicions))

    async def test_failure_that_is_not_confirmed_soon_is_dropped(self):
        """Guards against evidence of a cut that counts after its end."""
        failed, other, *_ = self.servers
        self.limited = {server.id for server in self.servers} - {failed.id}
        await self.fail_connections(failed)
        for _ in range(6):
            await self.pass_time(100)
        self.evidence.record_answer(
            other, self.world.clock.now(), ports.Responder.UNKNOWN
        )
        await self.pass_time(100)
        self.assertEqual({}, self.state.suspicions)

    async def test_claimed_server_is_checked_once(self):
        """Guards against checks by all entries while a claim stands."""
        server = self.servers[0]
        for start, is_excluded in (
            (server.started_at, False),
            (server.started_at + 1, True),
        ):
            with self.subTest(start):
                await self.asyncSetUp()
                self.set_checks(ports.ProcessCheck(True, start))
                self.world.clock.advance(1)
                self.world.add(
                    attrs.evolve(
                        server, id='export', started_at=server.started_at + 1
                    )
                )
                for _ in range(20):
                    await self.pass_time(100)
                self.assertEqual([server.id], self.world.servers.checked)
                self.assertIs(is_excluded, server.id in self.state.suspicions)

    async def test_server_that_answers_alone_is_checked_now_and_then(self):
        """Guards against checks in a loop that decide nothing."""
        alone, other = self.keep_servers(2)
        self.world.servers.checks[other.id] = REFUSED
        await self.fail_connections(other)
        self.world.servers.checked.clear()
        self.evidence.record_failure(
            alone, self.world.clock.now() + 1, lambda: None
        )
        for _ in range(200):
            await asyncio.sleep(0)
        self.assertLess(len(self.world.servers.checked), 5)

    async def test_server_that_answers_again_is_not_suspected(self):
        """Guards against failures that count when they are out of date."""
        failed, other, *_ = self.servers
        self.limited = {server.id for server in self.servers} - {failed.id}
        await self.fail_connections(failed)
        await self.pass_time(50)
        self.evidence.record_answer(
            failed, self.world.clock.now(), ports.Responder.UNKNOWN
        )
        self.evidence.record_answer(
            other, self.world.clock.now(), ports.Responder.UNKNOWN
        )
        await self.pass_time(100)
        self.assertEqual({}, self.state.suspicions)

    async def test_entry_to_which_all_servers_fail_at_once_suspects_none(self):
        """Guards against an entry without links that has no reference."""
        self.set_checks(REFUSED)
        await self.fail_connections(*self.servers)
        self.assertEqual({}, self.state.suspicions)
        self.assertTrue(self.evidence.links.are_lost)

    async def test_only_server_of_a_fleet_needs_no_reference(self):
        (server,) = self.keep_servers(1)
        self.set_checks(REFUSED)
        await self.fail_connections(server)
        self.assertEqual([server.id], list(self.state.suspicions))

    async def test_answer_of_a_later_process_ends_no_suspicion(self):
        """Guards against requests to layers that a restart has emptied."""
        crashed = self.servers[0]
        self.world.servers.checks[crashed.id] = REFUSED
        await self.fail_connections(crashed)
        self.world.servers.checks[crashed.id] = ports.ProcessCheck(
            True, crashed.started_at + 1
        )
        await self.pass_time(server_evidence.SUSPECT_CHECK_MS)
        self.assertIn(crashed.id, self.state.suspicions)


class ReportTest(unittest.TestCase):
    """What peers report, and what contradicts it."""

    def setUp(self):
        self.world = builders.World()
        self.state = self.world.routing_state
        self.names = list(self.state.servers)

    def report(self, *names, host='one', now=0):
        for name in names:
            self.state.suspect(name, f'told_by_{host}', now, host)

    def test_one_peer_can_not_exclude_the_whole_fleet(self):
        self.report(*self.names)
        self.assertLess(len(self.state.suspicions), len(self.names))

    def test_own_contact_contradicts_a_report(self):
        """Guards against reports on engines that serve this entry."""
        self.report('a-0', 'a-1')
        self.state.record_contact('a-0', 0)
        self.assertEqual({'a-0', 'a-1'}, set(self.state.suspicions))
        self.state.record_contact('a-0', 30)
        self.assertEqual({'a-1'}, set(self.state.suspicions))
        self.assertEqual({}, self.state.retractions)

    def test_events_of_a_stream_contradict_reports_on_its_path(self):
        self.world.serve()
        run = self.world.servers.last
        run.begin()
        path = [hop.server.id for hop in run.run.hops]
        self.report(*path)
        self.world.clock.advance(20)
        run.send(0, 1)
        self.assertEqual({}, self.state.suspicions)

    def test_retraction_ends_the_report_of_its_peer_only(self):
        self.report('a-0')
        self.report('a-1', host='two')
        self.state.apply_retractions(('a-0', 'a-1'), 'one')
        self.assertEqual({'a-1'}, set(self.state.suspicions))

    def test_reports_do_not_exclude_the_last_servers_of_a_service(self):
        """Guards against plain services that one peer excludes at all."""
        names = [one.id for one in self.state.list_servers('ledger', 0)]
        self.report(*names)
        usable = [one.id for one in self.state.list_servers('ledger', 0)]
        self.assertEqual(names, usable)
        self.state.suspect(names[0], 'not_reached', 0)
        usable = [one.id for one in self.state.list_servers('ledger', 0)]
        self.assertEqual(names[1:], usable)
