"""Tests of streams that pause, and of engines that are gone or slow."""

from __future__ import annotations

import asyncio
import random
import unittest

from tests.application.routing import builders
from tests.domain.fleet import builders as fleet_builders
from thornspool.application.routing import detection
from thornspool.application.routing import ports
from thornspool.domain.paths import silence

WHOLE = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(10))


class DetectionTest(unittest.IsolatedAsyncioTestCase):
    """An engine in the middle of a path goes dark.

    Its neighbours wait for it, seconds pass before they say so, and the
    callers have left by then.
    """

    async def asyncSetUp(self):
        self.world = builders.World()
        self.servers = self.world.servers
        self.reply = self.world.serve()
        self.run = self.servers.last
        self.run.begin()
        self.run.send(0, 3)
        self.first = self.run.run.hops[0].server
        self.middle = self.run.run.hops[1].server
        for name in self.world.beliefs.servers:
            self.servers.reports[name] = ports.Report(1, False, 1.0, 1, ())

    async def pass_time(self, milliseconds):
        for _ in range(0, milliseconds, 100):
            self.world.advance(100, look=True)
            self.world.detector.work()
            for _ in range(8):
                await builders_sleep()

    def blame(self, server):
        self.servers.reports[self.first.id] = ports.Report(
            1, False, 1.0, 1, (ports.Stalled('request-1', server.address),)
        )

    async def test_the_first_engine_is_asked_and_the_stream_goes_on(self):
        self.blame(self.middle)
        await self.pass_time(700)
        path = [hop.server.id for hop in self.run.run.hops]
        self.assertEqual(path, self.servers.asked[: len(path)])
        self.assertIn(self.middle.id, self.world.beliefs.suspects)
        second = self.servers.last
        self.assertEqual('2', second.run.resume_after)
        self.assertNotIn(
            self.middle.id, [hop.server.id for hop in second.run.hops]
        )
        self.assertTrue(self.run.stopped)

    async def test_a_first_engine_that_does_not_answer_is_left(self):
        del self.servers.reports[self.first.id]
        await self.pass_time(700)
        self.assertIn(self.first.id, self.world.beliefs.suspects)
        self.assertIsNot(self.run, self.servers.last)

    async def test_a_stream_runs_on_no_more_engines_than_its_route_allows(
        self,
    ):
        """Engines in the middle of a draft's paths die, one after another."""
        for name in ('a', 'b'):
            self.world.add(
                fleet_builders.build_engine(f'{name}-7', 'large', 27, 54)
            )
        for name in self.world.beliefs.servers:
            self.servers.reports[name] = ports.Report(1, False, 1.0, 1, ())
        for _ in range(2):
            last = self.servers.last
            first, middle = (hop.server for hop in last.run.hops[:2])
            last.begin()
            self.servers.reports[first.id] = ports.Report(
                1,
                False,
                1.0,
                1,
                (ports.Stalled('request-1', middle.address),),
            )
            await self.pass_time(900)
        self.assertEqual(2, len(self.servers.runs))
        self.assertEqual(1, len(self.servers.repaths))

    async def test_a_stream_that_may_not_run_again_changes_its_path(self):
        """The same loss on a route whose streams may run once only."""
        reply = self.world.serve('/once/x', number=2)
        run = self.servers.last
        run.begin()
        run.send(0, 3)
        first, middle = (hop.server for hop in run.run.hops[:2])
        spare = fleet_builders.build_engine(
            f'{first.failure_domain}-7', 'large', 27, 54
        )
        self.world.add(spare)
        self.servers.reports[spare.id] = ports.Report(1, False, 1.0, 1, ())
        self.servers.reports[first.id] = ports.Report(
            1,
            False,
            1.0,
            1,
            (ports.Stalled('request-2', middle.address),),
        )
        await self.pass_time(700)
        (hops,) = (
            hops
            for request, hops in self.servers.repaths
            if request == 'request-2'
        )
        self.assertEqual(first, hops[0].server)
        self.assertNotIn(middle, [hop.server for hop in hops])
        run.send(3, 10)
        run.end()
        self.assertEqual(WHOLE, reply.body)

    async def test_only_the_lost_part_of_a_path_is_replaced(self):
        """Guards against a crash that spends a repeat on each stream."""
        spare = fleet_builders.build_engine(
            f'{self.first.failure_domain}-7', 'large', 27, 54
        )
        self.world.add(spare)
        self.servers.reports[spare.id] = ports.Report(1, False, 1.0, 1, ())
        self.blame(self.middle)
        await self.pass_time(500)
        ((request, hops),) = self.servers.repaths
        self.assertEqual('request-1', request)
        before = [hop.server.id for hop in self.run.run.hops]
        self.assertEqual(
            [before[0], spare.id, before[2]],
            [hop.server.id for hop in hops],
        )
        self.assertFalse(self.run.stopped)
        self.run.send(3, 10)
        self.run.end()
        self.assertEqual(WHOLE, self.reply.body)
        self.assertEqual(1, len(self.servers.runs))

    async def test_a_path_changes_again_for_the_next_lost_engine(self):
        """Guards against a second loss that costs a whole new run."""
        domain = self.first.failure_domain
        for name, first, end in (('7', 27, 54), ('8', 54, 80)):
            one = fleet_builders.build_engine(
                f'{domain}-{name}', 'large', first, end
            )
            self.world.add(one)
            self.servers.reports[one.id] = ports.Report(1, False, 1.0, 1, ())
        last = self.run.run.hops[2].server
        self.world.advance(200)
        for server in (self.middle, last):
            self.world.beliefs.suspect(server.id, 'no_report', 200)
            await self.pass_time(25)
        self.assertEqual(2, len(self.servers.repaths))
        self.assertEqual(
            [self.first.id, f'{domain}-7', f'{domain}-8'],
            [hop.server.id for hop in self.servers.repaths[-1][1]],
        )
        self.assertEqual(1, len(self.servers.runs))

    async def test_a_run_without_an_answer_yet_is_sent_anew(self):
        self.world.serve(number=2)
        second = self.servers.last
        middle = second.run.hops[1].server
        self.world.add(
            fleet_builders.build_engine(
                f'{middle.failure_domain}-7', 'large', 27, 54
            )
        )
        self.world.advance(500)
        self.world.beliefs.suspect(middle.id, 'no_report', 500)
        await self.pass_time(100)
        self.assertTrue(second.stopped)
        self.assertNotIn(
            'request-2', [request for request, _ in self.servers.repaths]
        )

    async def test_a_stream_whose_path_can_not_change_runs_anew(self):
        """Guards against a stream that its first engine does not move."""
        spare = fleet_builders.build_engine(
            f'{self.first.failure_domain}-7', 'large', 27, 54
        )
        self.world.add(spare)
        self.servers.reports[spare.id] = ports.Report(1, False, 1.0, 1, ())
        self.servers.repath_result = ports.OrderResult.CONFLICT
        self.blame(self.middle)
        await self.pass_time(500)
        self.assertEqual(1, len(self.servers.repaths))
        self.assertTrue(self.run.stopped)
        self.assertEqual('2', self.servers.last.run.resume_after)

    async def test_a_stream_for_which_there_is_no_other_path_stays(self):
        """Engines of all domains are replaced, and one more is suspected."""
        for name in ('b-0', 'b-1', 'b-2'):
            self.world.beliefs.suspect(name, 'not_reached', 0)
        self.blame(self.middle)
        await self.pass_time(1_900)
        self.assertIn(self.middle.id, self.world.beliefs.suspects)
        self.assertFalse(self.reply.aborted)
        self.assertFalse(self.run.stopped)

    async def test_a_stream_that_can_not_go_on_elsewhere_stays(self):
        """The same loss when nothing may be repeated any more."""
        while self.world.budget.take('drafting', urgent=True):
            pass
        self.blame(self.middle)
        await self.pass_time(1_900)
        self.assertFalse(self.reply.aborted)
        self.assertFalse(self.run.stopped)
        self.run.send(3, 10)
        self.run.end()
        self.assertEqual(WHOLE, self.reply.body)

    async def test_a_slow_engine_is_not_suspected(self):
        self.servers.reports[self.first.id] = ports.Report(
            1, False, 3.0, 1, ()
        )
        await self.pass_time(900)
        self.assertEqual({}, self.world.beliefs.suspects)
        self.assertEqual(1, len(self.servers.runs))
        now = self.world.clock.now()
        pace = self.world.beliefs.paces.get(self.first.id, now)
        self.assertEqual(3.0, pace)

    async def test_requests_leave_an_engine_that_has_turned_slow(self):
        """An engine takes many times as long, and fails nothing."""
        slow = self.middle
        self.servers.reports[slow.id] = ports.Report(1, False, 24.0, 1, ())
        self.world.serve(number=2)
        await self.pass_time(300)
        now = self.world.clock.now()
        self.assertEqual(24.0, self.world.beliefs.paces.get(slow.id, now))
        self.assertEqual({}, self.world.beliefs.suspects)
        for number in range(3, 9):
            self.world.serve(number=number)
            hops = self.servers.last.run.hops
            self.assertNotIn(slow.id, [hop.server.id for hop in hops])

    async def test_a_slow_engine_is_asked_again_and_used_again(self):
        self.servers.reports[self.middle.id] = ports.Report(
            1, False, 12.0, 1, ()
        )
        await self.pass_time(300)
        self.run.send(3, 10)
        self.run.end()
        self.servers.reports[self.middle.id] = ports.Report(
            1, False, 1.0, 1, ()
        )
        await self.pass_time(3_300)
        now = self.world.clock.now()
        self.assertEqual(
            1.0, self.world.beliefs.paces.get(self.middle.id, now)
        )

    async def test_engines_that_turn_slow_together_are_found_together(self):
        """Guards against slow engines that are found one after another."""
        for name in (self.middle.id, 'b-1', 'b-2'):
            self.servers.reports[name] = ports.Report(1, False, 12.0, 1, ())
        await self.pass_time(600)
        now = self.world.clock.now()
        for name in ('b-1', 'b-2'):
            self.assertEqual(12.0, self.world.beliefs.paces.get(name, now))
        self.assertLess(len(self.servers.asked), 30)

    async def test_an_engine_of_the_path_that_is_gone_is_found_early(self):
        """An engine in the middle of a path crashes."""
        del self.servers.reports[self.middle.id]
        await self.pass_time(300)
        self.assertIn(self.middle.id, self.world.beliefs.suspects)
        self.assertEqual('2', self.servers.last.run.resume_after)

    async def test_an_engine_in_whose_name_work_is_refused_is_asked(self):
        """An engine is gone, and the store with the list is away."""
        del self.servers.reports[self.middle.id]
        self.world.serve(number=2)
        self.servers.last.refuse(fault=self.middle.address)
        await self.pass_time(100)
        self.assertIn(self.middle.id, self.world.beliefs.suspects)

    async def test_an_engine_that_refuses_and_lives_is_used_again(self):
        """An engine is short of memory for a moment."""
        self.world.serve(number=2)
        self.servers.last.refuse(fault=self.middle.address)
        await self.pass_time(100)
        self.assertIn(self.middle.id, self.servers.asked)
        self.assertEqual({}, self.world.beliefs.suspects)

    async def test_an_answer_that_this_entry_reads_late_blames_nobody(self):
        """Many streams are sent elsewhere at once, and the loop is busy."""
        del self.servers.reports[self.first.id]
        answer = self.servers.ask_report

        async def ask_late(server, wait_ms=ports.REPORT_MS):
            self.world.clock.advance(wait_ms + 100)
            return await answer(server, wait_ms)

        self.servers.ask_report = ask_late
        await self.pass_time(700)
        self.assertIn(self.first.id, self.servers.asked)
        self.assertNotIn(self.first.id, self.world.beliefs.suspects)

    async def test_the_word_of_others_allows_no_further_run(self):
        """Another entry is mistaken about the first engines of two paths."""
        third = fleet_builders.build_engine('a-8', 'large', 0, 27)
        self.world.add(third)
        self.servers.reports[third.id] = self.servers.reports[self.first.id]
        for _ in range(2):
            (flight,) = self.world.streams.flights
            self.servers.last.begin()
            self.world.beliefs.suspect(
                flight.first_server.id,
                'told_by_one',
                self.world.clock.now(),
                told=True,
            )
            await self.pass_time(900)
        self.assertEqual(2, len(self.servers.runs))

    async def test_questions_about_paces_are_bounded(self):
        """Every stream of every entry is late."""
        for number in range(2, 40):
            self.world.serve(number=number)
        await self.pass_time(3_000)
        asked = len(self.servers.asked)
        fleet = len(self.world.beliefs.servers)
        self.assertLess(asked, 12 + 3 * fleet + 3 * 6)

    async def test_a_silent_request_that_may_not_be_repeated_stays(self):
        """Nothing came for a second and a half, and repeats are used up."""
        reply = self.world.serve(number=2)
        while self.world.budget.take('drafting'):
            pass
        await self.pass_time(2_000)
        self.assertIsNone(reply.status)
        run = next(
            one
            for one in self.servers.runs
            if one.run.inquiry.id == 'request-2'
        )
        self.assertFalse(run.stopped)

    async def test_a_host_that_stood_still_blames_nobody(self):
        """The host of the entry is suspended for seconds."""
        self.world.detector.work()
        self.world.clock.advance(5_000)
        self.world.detector.work()
        await builders_sleep()
        self.assertEqual([], self.servers.asked)
        self.assertEqual({}, self.world.beliefs.suspects)

    async def test_one_entry_can_not_condemn_the_fleet(self):
        for name in list(self.world.beliefs.servers):
            self.world.beliefs.suspect(name, 'not_reached', 0)
        self.assertLess(len(self.world.beliefs.suspects), 9)


class SharedSilenceTest(unittest.IsolatedAsyncioTestCase):
    """Forty streams run through one chain of engines."""

    async def asyncSetUp(self):
        self.world = builders.World()
        self.servers = self.world.servers
        self.replies = [self.world.serve(number=one) for one in range(40)]
        self.runs = list(self.servers.runs)
        for name in self.world.beliefs.servers:
            self.servers.reports[name] = ports.Report(1, False, 1.0, 1, ())
        for run in self.runs:
            run.begin()
        await self.stream(1_000)

    async def stream(self, milliseconds, pause_ms=40):
        """Let all first runs bring an event every few milliseconds."""
        for number in range(milliseconds // pause_ms):
            for run in self.runs:
                run.send(number, number + 1)
            await self.pass_time(pause_ms, step=20)

    async def pass_time(self, milliseconds, step=25):
        for _ in range(0, milliseconds, step):
            self.world.advance(step, step, look=True)
            for _ in range(6):
                await builders_sleep()

    def find_through(self, name):
        return [
            run
            for run in self.runs
            if name in [hop.server.id for hop in run.run.hops]
        ]

    async def test_a_crashed_engine_is_left_within_130_ms(self):
        """Guards against streams that wait for a pause that is unusual."""
        through = self.find_through('a-1')
        self.assertGreater(len(through), 10)
        del self.servers.reports['a-1']
        began = self.world.clock.now()
        for _ in range(20):
            if 'a-1' in self.world.beliefs.suspects:
                break
            for run in self.runs:
                if run not in through:
                    run.send(30, 31)
            await self.pass_time(25)
        await self.pass_time(25)
        self.assertLessEqual(self.world.clock.now() - began, 130)
        self.assertTrue(all(run.stopped for run in through))
        self.assertEqual(['a-1'], list(self.world.beliefs.suspects))

    async def test_a_slow_engine_is_not_taken_for_a_lost_one(self):
        """Guards against streams that are moved again and again."""
        self.servers.reports['a-1'] = ports.Report(1, False, 12.0, 1, ())
        await self.stream(2_000, pause_ms=200)
        self.assertEqual({}, self.world.beliefs.suspects)
        self.assertEqual(40, len(self.servers.runs))

    async def test_engines_are_not_asked_while_streams_move(self):
        await self.stream(1_000)
        self.assertEqual([], self.servers.asked)

    async def test_one_lost_question_proves_nothing(self):
        """Guards against a lost packet that takes a sound engine away."""
        answer = self.servers.ask_report
        lost = set()

        async def lose_first(server, wait_ms=ports.REPORT_MS):
            if server.id not in lost:
                lost.add(server.id)
                self.world.clock.advance(wait_ms)
                return None
            return await answer(server, wait_ms)

        self.servers.ask_report = lose_first
        await self.pass_time(100)
        self.assertTrue(lost)
        self.assertEqual({}, self.world.beliefs.suspects)

    async def test_a_look_that_comes_late_asks_nobody(self):
        """Guards against a busy host that takes all engines for lost."""
        self.world.clock.advance(300)
        self.world.detector.look()
        await builders_sleep()
        self.assertEqual([], self.servers.asked)


class _SilenceCase(unittest.IsolatedAsyncioTestCase):
    """Streams over the same engines that have shown their rhythm."""

    streams = 1

    async def asyncSetUp(self):
        self.world = builders.World()
        self.servers = self.world.servers
        for number in range(self.streams):
            self.world.serve(number=number)
        self.runs = list(self.servers.runs)
        self.run = self.runs[0]
        self.names = [hop.server.id for hop in self.run.run.hops]
        for name in self.world.beliefs.servers:
            self.servers.reports[name] = ports.Report(1, False, 1.0, 1, ())
        for run in self.runs:
            self.assertEqual(
                self.names, [hop.server.id for hop in run.run.hops]
            )
            run.begin()
        for number in range(20):
            for run in self.runs:
                run.send(number, number + 1)
            await self.pass_time(50)

    async def pass_time(self, milliseconds, step=25):
        for _ in range(0, milliseconds, step):
            self.world.advance(step, step, look=True)
            for _ in range(6):
                await builders_sleep()


class QuestionsTest(_SilenceCase):
    """Streams over the same engines stop, and these are asked together."""

    streams = silence.LEAST_STREAMS

    async def test_a_lost_question_is_asked_again(self):
        """Guards against a lost packet that takes a sound engine away."""
        answer = self.servers.ask_report
        asked = []

        async def lose_first(server, wait_ms=ports.REPORT_MS):
            if server.id == self.names[1]:
                asked.append(wait_ms)
                if len(asked) == 1:
                    self.world.clock.advance(wait_ms)
                    return None
            return await answer(server, wait_ms)

        self.servers.ask_report = lose_first
        await self.pass_time(125)
        self.assertEqual(2, len(asked))
        self.assertEqual({}, self.world.beliefs.suspects)

    async def play_silence(self, silent):
        """Let some engines answer nothing, and ask them."""

        async def hang(server, wait_ms=ports.REPORT_MS):
            if server.id in silent:
                await asyncio.sleep(wait_ms / 1_000)
                return None
            return self.servers.reports[server.id]

        self.servers.ask_report = hang
        await self.pass_time(50)
        await asyncio.sleep(0.2)

    async def test_a_silent_engine_beside_others_that_answer_is_lost(self):
        await self.play_silence({self.names[1]})
        self.assertEqual({self.names[1]}, set(self.world.beliefs.suspects))

    async def test_silence_to_short_questions_grants_no_further_run(self):
        """Guards against a third run, where a busy host missed an answer."""
        first = self.names[0]
        await self.play_silence({first})
        self.assertIn(first, self.world.beliefs.suspects)
        self.assertFalse(self.world.beliefs.is_lost(first))
        for run in self.servers.runs[len(self.runs) :]:
            run.end(ports.Ending.BROKEN)
        self.assertEqual(2 * len(self.runs), len(self.servers.runs))

    async def test_a_busy_host_takes_no_answer_for_silence(self):
        """Guards against sound engines that are left for its own lateness."""
        answer = self.servers.ask_report

        async def answer_late(server, wait_ms=ports.REPORT_MS):
            if server.id != self.names[1]:
                return await answer(server, wait_ms)
            await asyncio.sleep(wait_ms / 1_000)
            self.world.clock.advance(wait_ms + 10)
            return None

        self.servers.ask_report = answer_late
        await self.pass_time(50)
        await asyncio.sleep(0.2)
        self.assertEqual({}, self.world.beliefs.suspects)

    async def test_a_host_that_is_cut_off_blames_nobody(self):
        """Guards against whole paths that a fleet leaves out for one host."""
        await self.play_silence(set(self.names))
        self.assertEqual({}, self.world.beliefs.suspects)


class LoneStreamTest(_SilenceCase):
    """An entry of a large fleet, which has one stream at a time."""

    async def test_its_silence_has_the_engines_of_its_path_asked(self):
        """Guards against crashes that are noticed by whole groups alone."""
        lost = self.names[1]
        del self.servers.reports[lost]
        await self.pass_time(150)
        self.assertEqual([lost], list(self.world.beliefs.suspects))
        self.assertTrue(self.run.stopped)
        self.assertIsNot(self.run, self.servers.last)

    async def test_one_that_moves_has_nobody_asked(self):
        self.assertEqual([], self.servers.asked)

    async def test_peers_hear_of_a_lost_engine_at_once(self):
        """Guards against streams that stand still until the next turn."""
        told = []
        beliefs = self.world.beliefs
        detector = detection.Detector(
            self.world.clock,
            beliefs,
            self.world.streams,
            self.servers,
            random.Random(1),
            lambda: 1,
            lambda: told.append(list(beliefs.fresh_suspects)),
        )
        self.world.detector = detector
        lost = self.names[1]
        del self.servers.reports[lost]
        await self.pass_time(150)
        self.assertIn([lost], told)

    async def test_a_stream_that_is_overdue_leaves_what_a_peer_suspects(self):
        """Guards against a wait for its own proof of the loss."""
        self.run.send(20, 21)
        now = self.world.clock.now()
        self.world.beliefs.suspect(self.names[1], 'told_by_b', now, told=True)
        self.world.clock.advance(50)
        self.world.detector.leave_suspects()
        self.assertFalse(self.run.stopped)
        self.world.clock.advance(20)
        self.world.detector.leave_suspects()
        self.assertTrue(self.run.stopped)


async def builders_sleep():
    """Let tasks run."""
    await asyncio.sleep(0)
