"""Tests of model requests on paths that break."""

from __future__ import annotations

import unittest

import attrs

from tests.application.routing import builders
from tests.domain.fleet import builders as fleet_builders
from thornspool.application.routing import ports
from thornspool.application.routing import streams
from thornspool.domain.routing import messages as routing

WHOLE = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(10))


class StreamTest(unittest.TestCase):
    def setUp(self):
        self.world = builders.World()
        self.servers = self.world.servers

    def test_a_stream_is_passed_on_whole(self):
        reply = self.world.serve()
        run = self.servers.last
        self.assertEqual('north', run.run.workspace)
        self.assertEqual(80, run.run.hops[-1].end)
        run.begin()
        run.send(0, 10)
        run.end()
        self.assertEqual(
            (200, WHOLE, True), (reply.status, reply.body, reply.whole)
        )
        self.assertEqual({}, self.world.taken.own)

    def test_a_broken_stream_goes_on_behind_its_last_whole_event(self):
        """An engine dies in the middle of an event of a draft."""
        reply = self.world.serve()
        first = self.servers.last
        first.begin()
        first.send(0, 4)
        first.listener.take_body(b'id: 4\nda')
        first.end(ports.Ending.BROKEN)
        second = self.servers.last
        self.assertIsNot(first, second)
        self.assertEqual('3', second.run.resume_after)
        self.assertNotEqual(first.run.server, second.run.server)
        second.begin()
        second.send(4, 10)
        second.end()
        self.assertEqual(WHOLE, reply.body)
        self.assertTrue(reply.whole)

    def test_an_answer_that_ends_inside_an_event_is_not_complete(self):
        reply = self.world.serve()
        first = self.servers.last
        first.begin()
        first.send(0, 4)
        first.listener.take_body(b'id: 4\nda')
        first.end()
        self.assertFalse(reply.whole)
        self.assertIsNot(first, self.servers.last)

    def test_a_stream_that_may_not_resume_is_cut_not_run_again(self):
        """The same break on a route whose streams may run only once."""
        reply = self.world.serve('/once/x')
        run = self.servers.last
        run.begin()
        run.send(0, 4)
        run.end(ports.Ending.BROKEN)
        self.assertEqual(1, len(self.servers.runs))
        self.assertTrue(reply.aborted)
        self.assertFalse(reply.whole)

    def test_what_ran_once_at_most_is_never_called_not_run(self):
        """The engine of such a stream dies before its first event."""
        reply = self.world.serve('/once/x')
        self.servers.last.end(ports.Ending.BROKEN)
        self.assertEqual(502, reply.status)
        self.assertEqual(1, len(self.servers.runs))

    def test_a_success_without_a_signature_is_no_success(self):
        """Some other process answers at an engine's address."""
        reply = self.world.serve('/once/x')
        run = self.servers.last
        run.begin(genuine=False)
        run.send(0, 10)
        run.end()
        self.assertEqual(502, reply.status)

    def test_an_engine_that_refuses_is_not_asked_again_at_once(self):
        """An engine has given up layers that the list still shows."""
        reply = self.world.serve()
        refused = set()
        for _ in range(3):
            run = self.servers.last
            self.assertNotIn(run.run.server.id, refused)
            refused.add(run.run.server.id)
            run.refuse(421)
            if reply.whole:
                break
        self.assertLessEqual(len(self.servers.runs), 3)

    def test_an_engine_that_refuses_is_left_out_for_all_requests(self):
        """An engine gives up layers and keeps their memory for seconds."""
        self.world.serve(number=0)
        blamed = self.servers.last.run.hops[1].server
        self.servers.last.refuse(503, blamed.address)
        for number in range(1, 6):
            self.world.serve(number=number)
            hops = self.servers.last.run.hops
            self.assertNotIn(blamed.id, [hop.server.id for hop in hops])

    def test_a_large_request_that_finds_no_room_says_nothing_of_others(self):
        self.world.serve(number=0, prompt_tokens=2_200.0)
        blamed = self.servers.last.run.hops[1].server
        self.servers.last.refuse(503, blamed.address)
        now = self.world.clock.now()
        self.assertFalse(
            self.world.beliefs.refusals.is_refusing(blamed.id, now)
        )

    def test_requests_wait_for_a_domain_rather_than_crowd_the_links(self):
        """One engine of each domain refuses for a moment."""
        known = self.world.beliefs.configuration
        model = fleet_builders.build_model(
            activation_bytes=59_000.0, pipe_mbps=100.0
        )
        services = {
            **known.services,
            'drafting': routing.Service('drafting', model),
        }
        self.world.beliefs.configuration = attrs.evolve(
            known, services=services
        )
        now = self.world.clock.now()
        for name in ('a-0', 'b-1'):
            self.world.beliefs.refusals.note(name, now)
        for number in range(20):
            self.world.serve(number=number)
        crossed = len(self.servers.runs)
        self.assertLess(crossed, 4)
        self.world.advance(400)
        self.assertEqual(20, len(self.servers.runs))

    def test_when_all_refuse_requests_wait_and_nothing_is_sent(self):
        """All engines are short of memory at once."""
        self.world.serve(number=0)
        for _ in range(2):
            run = self.servers.last
            run.refuse(503, run.run.hops[1].server.address)
        sent = len(self.servers.runs)
        late = self.world.serve(number=1)
        self.assertIsNone(late.status)
        self.assertEqual(sent, len(self.servers.runs))
        self.world.advance(400)
        self.assertGreater(len(self.servers.runs), sent)

    def test_refused_by_engines_that_moved_it_is_told_at_once(self):
        reply = self.world.serve()
        self.servers.last.refuse(421)
        self.servers.last.refuse(421)
        self.assertEqual(503, reply.status)
        self.assertIsNotNone(reply.retry_after_ms)

    def test_refused_by_full_engines_it_is_tried_again_later(self):
        reply = self.world.serve()
        self.servers.last.refuse()
        self.servers.last.refuse()
        self.world.advance(500)
        self.assertEqual(2, len(self.servers.runs))
        self.assertIsNone(reply.status)
        self.world.advance(300)
        self.assertEqual(3, len(self.servers.runs))

    def test_without_a_path_callers_are_told_at_once(self):
        """No domain holds all layers."""
        for number in ('a-1', 'b-1'):
            del self.world.beliefs.servers[number]
        reply = self.world.serve()
        self.assertEqual(503, reply.status)
        self.assertEqual('not_covered', reply.reason)
        self.assertGreater(reply.retry_after_ms, 0)

    def test_a_caller_that_leaves_ends_the_work_for_him(self):
        """A clerk closes the window while his draft is written."""
        reply = self.world.serve()
        run = self.servers.last
        run.begin()
        reply.leave()
        self.assertTrue(run.stopped)
        self.assertEqual({}, self.world.taken.own)
        self.assertEqual(0, self.world.intake.in_flight)

    def test_a_request_past_its_deadline_gets_its_answer(self):
        reply = self.world.serve(patience_ms=1_000)
        self.world.advance(1_100)
        self.assertEqual(504, reply.status)
        self.assertTrue(self.servers.last.stopped)

    def test_late_bytes_of_a_run_that_was_left_go_nowhere(self):
        """A silent engine wakes after its stream went elsewhere."""
        reply = self.world.serve()
        first = self.servers.last
        first.begin()
        first.send(0, 3)
        flight = next(iter(self.world.streams.flights))
        self.world.streams.mend(flight, 'silent')
        second = self.servers.last
        second.begin()
        first.send(3, 8)
        first.end(ports.Ending.BROKEN)
        second.send(3, 10)
        second.end()
        self.assertEqual(WHOLE, reply.body)

    def test_repeats_end_with_the_budget(self):
        """Every engine fails every request."""
        self.world = builders.World(slack=2.0)
        servers = self.world.servers
        replies = [self.world.serve(number=number) for number in range(20)]
        played = 0
        for _ in range(200):
            while played < len(servers.runs):
                played += 1
                servers.runs[played - 1].end(ports.Ending.BROKEN)
            self.world.advance(25)
        self.assertTrue(all(one.whole for one in replies))
        self.assertLessEqual(len(servers.runs), 20 + 2 + 0.2 * 20)

    def test_repeats_are_kept_for_callers_who_have_a_part(self):
        """Engines give up layers and refuse hundreds of new requests."""
        self.world = builders.World(slack=10.0)
        servers = self.world.servers
        reply = self.world.serve(number=0)
        first = servers.last
        first.begin()
        first.send(0, 4)
        for number in range(1, 20):
            self.world.serve(number=number)
            for _ in range(3):
                servers.last.refuse()
        first.end(ports.Ending.BROKEN)
        self.assertFalse(reply.aborted)
        self.world.advance(streams.QUEUE_MS - 100)
        resumed = [one.run.resume_after for one in servers.runs]
        self.assertIn('3', resumed)

    def test_a_broken_stream_waits_for_a_repeat_that_comes_free(self):
        """A draft breaks just when nothing may be repeated any more."""
        self.world = builders.World(slack=3.0)
        servers = self.world.servers
        while self.world.budget.take('drafting', urgent=True):
            pass
        self.world.advance(9_000)
        reply = self.world.serve()
        servers.last.begin()
        servers.last.send(0, 4)
        servers.last.end(ports.Ending.BROKEN)
        self.assertFalse(reply.aborted)
        self.assertEqual(1, len(servers.runs))
        self.world.advance(1_200)
        self.assertEqual(2, len(servers.runs))
        self.assertEqual('3', servers.last.run.resume_after)

    def test_full_engines_make_requests_wait_and_then_refuse_them(self):
        """More drafts are asked for than the engines have memory for."""
        replies = []
        for number in range(2_000):
            reply = self.world.serve(number=number)
            replies.append(reply)
            if len(self.servers.runs) <= number:
                break
        self.assertIsNone(replies[-1].status)
        done = self.servers.runs[0]
        done.begin()
        done.end()
        self.world.advance(25)
        self.assertEqual(len(replies), len(self.servers.runs))
        late = self.world.serve(number=9_999)
        self.world.advance(streams.QUEUE_MS + 50)
        self.assertEqual(503, late.status)
        self.assertEqual('no_room', late.reason)

    def test_a_drain_takes_only_what_ends_before_it(self):
        """A host is stopped, and callers who hold its address come still."""
        self.world.streams.set_end(self.world.clock.now() + 5_000)
        short = self.world.serve(number=1, answer_tokens=50.0)
        long = self.world.serve(number=2, answer_tokens=4_000.0)
        self.assertIsNone(short.status)
        self.assertEqual((503, 'draining'), (long.status, long.reason))
        self.assertEqual(1, len(self.servers.runs))

    def test_urgent_requests_go_first_when_room_comes_free(self):
        for number in range(2_000):
            self.world.serve(number=number)
            if len(self.servers.runs) <= number:
                break
        plain = build_urgent(self.world, 5, 'plain')
        urgent = build_urgent(self.world, 0, 'urgent')
        for run in self.servers.runs[:2]:
            run.begin()
            run.end()
        self.world.advance(25)
        started = [run.run.inquiry.id for run in self.servers.runs[-2:]]
        self.assertIn('urgent', started)
        self.assertIsNone(plain.status)
        self.assertIsNone(urgent.status)


def build_urgent(world, priority, name):
    """Serve a request of a workspace with a rank."""
    known = world.beliefs.configuration
    workspaces = dict(known.workspaces)
    workspaces[name] = builders.routing.Workspace(name, priority)
    world.beliefs.configuration = attrs.evolve(known, workspaces=workspaces)
    return world.serve(key=name, id=name)


class OutlierTest(unittest.TestCase):
    """Engines reset what they are sent, and their health is good."""

    def setUp(self):
        self.world = builders.World()
        self.servers = self.world.servers

    def play(self, faulty, seconds=10, per_s=20):
        """Send requests at a steady rate; returns answers and resets.

        Engines named in `faulty` reset every run before they answer; others
        serve it at once.
        """
        replies, resets, played = [], 0, 0
        for number in range(seconds * per_s):
            replies.append(self.world.serve(number=number))
            while played < len(self.servers.runs):
                run = self.servers.runs[played]
                played += 1
                if run.run.server.id in faulty:
                    resets += 1
                    run.end(ports.Ending.BROKEN)
                else:
                    run.begin()
                    run.send(0, 10)
                    run.end()
            self.world.advance(1_000 // per_s)
        return replies, resets

    def test_an_engine_that_resets_all_it_is_sent_is_ejected(self):
        """Guards against the repeats of a service going to one engine."""
        replies, resets = self.play({'a-0'})
        self.assertTrue(all(one.body == WHOLE for one in replies))
        self.assertLessEqual(resets, 8)

    def test_an_ejected_engine_that_recovers_is_used_again(self):
        self.play({'a-0'}, seconds=3)
        self.world.advance(6_000)
        count = len(self.servers.runs)
        self.play(set(), seconds=2)
        first = {one.run.server.id for one in self.servers.runs[count:]}
        self.assertIn('a-0', first)

    def test_breaks_of_all_engines_eject_few(self):
        """Guards against an entry with a faulty link ejecting a fleet."""
        self.play({'a-0', 'b-0'}, seconds=2)
        now = self.world.clock.now()
        self.assertLess(self.world.beliefs.refusals.count_left_out(now), 4)


class SuspicionTest(unittest.TestCase):
    def test_a_suspicion_ends_when_the_server_starts_anew(self):
        world = builders.World()
        world.beliefs.suspect('a-0', 'not_reached', 0)
        again = attrs.evolve(
            fleet_builders.build_engine('a-0', 'large'), born=2
        )
        world.add(again)
        self.assertEqual({}, world.beliefs.suspects)

    def test_a_lost_engine_is_gone_with_its_entry(self):
        """Guards against its use once the suspicion has run out."""
        world = builders.World()
        world.beliefs.suspect('a-1', 'no_report', 0)
        world.beliefs.remove_server('a-1', 100)
        self.assertNotIn('a-1', world.beliefs.servers)

    def test_an_engine_at_an_address_ends_the_one_before_it(self):
        """Guards against runs for an engine that a newer one replaced."""
        world = builders.World()
        old = world.beliefs.servers['a-1']
        new = attrs.evolve(old, id='a-8', born=old.born + 1, layers=None)
        world.add(new)
        self.assertNotIn('a-1', world.beliefs.servers)
        world.add(attrs.evolve(old, draining=True))
        self.assertIn('a-8', world.beliefs.servers)

    def test_who_refuses_is_found_on_the_path(self):
        """Guards against blame for the next engine at an address."""
        world = builders.World()
        world.serve()
        run = world.servers.last
        lost = run.run.hops[1].server
        world.beliefs.servers['a-8'] = attrs.evolve(
            lost, id='a-8', born=lost.born + 1
        )
        run.refuse(421, lost.address)
        self.assertIn(lost.id, world.beliefs.suspects)
        self.assertNotIn('a-8', world.beliefs.suspects)
