"""Tests of requests that pass through a peer."""

from __future__ import annotations

import random
import unittest

import attrs

from tests.application.routing import builders
from thornspool.application.routing import ports
from thornspool.application.routing import relays
from thornspool.application.routing import run_notices
from thornspool.application.routing import streams
from thornspool.domain.entries import messages
from thornspool.domain.entries import view as view_module

HEAD = ports.ResponseHead(200, (('Seal', 's'),), True, '', None, True)
EVENT = b'id: %d\ndata: x\n\n'


@attrs.define(eq=False)
class Sent:
    """A request that was passed on."""

    peer: str
    relayed: ports.RelayedRequest
    listener: ports.ResponseListener
    cancelled: bool = False


class Gateway:
    """Records what is passed on to peers."""

    def __init__(self):
        self.sent = []

    @property
    def last(self):
        return self.sent[-1]

    def send(self, peer, relayed, listener):
        sent = Sent(peer.host, relayed, listener)
        self.sent.append(sent)

        def cancel():
            sent.cancelled = True

        return cancel


class RelayCase(unittest.TestCase):
    def setUp(self):
        self.world = builders.World()
        self.links = self.world.evidence.links
        self.view = view_module.View(builders.build_record())
        for host, domain in (('a-01', 'a'), ('a-02', 'a'), ('b-00', 'b')):
            self.view.apply_record(builders.build_record(host, domain), 0)
        self.gateway = Gateway()
        self.relays = relays.RelayService(
            self.world.clock,
            self.view,
            self.links,
            self.gateway,
            self.world.budget,
            random.Random(1),
        )
        self.world.streams.take_over = self.relays.take_over
        self.world.streams.offer_to_peers = self.relays.offer
        self.world.calls.take_over = self.relays.take_over
        self.world.calls.has_linked_peer = self.relays.has_linked_peer

    def lose_links(self):
        self.links.lost_since = self.world.clock.now()

    def pass_on(self, path='/brief/x', **changes):
        """Pass a request on; return its reply and what was sent."""
        self.lose_links()
        reply = self.world.serve(path, **changes)
        return reply, self.gateway.last


class RelayTest(RelayCase):
    def test_requests_pass_through_a_peer_only_while_links_are_lost(self):
        self.world.serve()
        self.assertEqual([], self.gateway.sent)
        _, sent = self.pass_on(number=2)
        self.assertIn(sent.peer, {'a-01', 'a-02'})
        self.assertEqual(1, len(self.world.servers.runs))
        self.links.lost_since = None
        self.world.serve(number=3)
        self.assertEqual(1, len(self.gateway.sent))

    def test_answer_is_passed_on_unchanged(self):
        reply, sent = self.pass_on()
        sent.listener.handle_head(HEAD)
        sent.listener.handle_body(EVENT % 0 + b'id: 1\nda')
        self.assertEqual(EVENT % 0, reply.body)
        sent.listener.handle_body(b'ta: x\n\n')
        sent.listener.handle_completion(ports.Completion.COMPLETE)
        self.assertEqual(
            (200, EVENT % 0 + EVENT % 1), (reply.status, reply.body)
        )
        self.assertTrue(reply.whole)
        self.assertEqual(0, self.world.intake.in_flight)

    def test_refusal_of_a_peer_is_passed_on(self):
        reply, sent = self.pass_on('/hold/x')
        sent.listener.handle_head(attrs.evolve(HEAD, status=503))
        sent.listener.handle_completion(ports.Completion.COMPLETE)
        self.assertEqual(503, reply.status)

    def test_peer_that_did_not_get_a_request_is_replaced(self):
        reply, first = self.pass_on('/hold/x')
        first.listener.handle_completion(ports.Completion.NOT_SENT)
        second = self.gateway.last
        self.assertNotEqual(first.peer, second.peer)
        second.listener.handle_head(
            attrs.evolve(HEAD, status=503, is_relay_refused=True)
        )
        second.listener.handle_completion(ports.Completion.COMPLETE)
        third = self.gateway.last
        self.assertEqual('b-00', third.peer)
        third.listener.handle_completion(ports.Completion.NOT_SENT)
        self.assertEqual(503, reply.status)
        self.assertIsNotNone(reply.retry_after_ms)

    def test_refusal_of_one_peer_alone_is_not_passed_on(self):
        """Guards against rest of one peer that binds all entries."""
        refusal = attrs.evolve(
            HEAD,
            status=503,
            headers=(('Retry-After', '2.500'),),
            is_authentic=False,
            is_relay_refused=True,
        )
        reply, first = self.pass_on()
        first.listener.handle_head(refusal)
        first.listener.handle_body(b'limited')
        first.listener.handle_completion(ports.Completion.COMPLETE)
        self.assertIsNone(reply.status)
        for _ in range(2):
            last = self.gateway.last
            last.listener.handle_head(refusal)
            last.listener.handle_body(b'limited')
            last.listener.handle_completion(ports.Completion.COMPLETE)
        self.assertEqual(3, len({one.peer for one in self.gateway.sent}))
        self.assertEqual((503, b'limited'), (reply.status, reply.body))
        self.assertEqual(refusal.headers, reply.headers)

    def test_refusal_for_conditions_of_this_entry_is_marked(self):
        """Guards against callers of peers that get this entry's rest."""
        self.links.lost_since = None
        relay = ports.Relay('a-01', 'a-01-1', 'a-00-1', 0, True)
        for server in self.world.routing_state.servers.values():
            self.world.servers.on_notice(
                server, ports.ServerNotice(False, rest_ms=2_500)
            )
        for number, path in enumerate(('/brief/x', '/hold/x')):
            with self.subTest(path):
                reply = self.world.serve(path, number, relay=relay)
                self.assertEqual(
                    (503, 'limited', 2_500),
                    (reply.status, reply.reason, reply.retry_after_ms),
                )
                self.assertTrue(reply.is_relay_refused)
                reply = self.world.serve(path, number + 10)
                self.assertFalse(reply.is_relay_refused)

    def test_action_with_an_unknown_outcome_is_not_passed_on_again(self):
        """Guards against actions that run twice through two peers."""
        reply, sent = self.pass_on('/hold/x')
        sent.listener.handle_completion(ports.Completion.BROKEN)
        self.assertEqual(1, len(self.gateway.sent))
        self.assertEqual(502, reply.status)

    def test_stream_of_a_lost_peer_resumes_through_another_one(self):
        reply, sent = self.pass_on()
        sent.listener.handle_head(HEAD)
        sent.listener.handle_body(EVENT % 0 + EVENT % 1 + b'id: 2')
        sent.listener.handle_completion(ports.Completion.BROKEN)
        second = self.gateway.last
        self.assertEqual('1', second.relayed.resume_after)
        self.assertEqual(1, second.relayed.relay.prior_runs)
        second.listener.handle_head(HEAD)
        second.listener.handle_body(EVENT % 2)
        second.listener.handle_completion(ports.Completion.COMPLETE)
        self.assertEqual(b''.join(EVENT % one for one in range(3)), reply.body)
        self.assertTrue(reply.whole)

    def test_runs_before_and_through_peers_count_as_attempts(self):
        """Guards against more runs than the route allows."""
        reply, sent = self.pass_on()
        sent.listener.handle_completion(ports.Completion.BROKEN)
        self.gateway.last.listener.handle_completion(ports.Completion.BROKEN)
        self.assertEqual(2, len(self.gateway.sent))
        self.assertEqual(502, reply.status)

    def test_stream_that_breaks_when_links_are_lost_resumes_at_a_peer(self):
        reply = self.world.serve()
        run = self.world.servers.last
        run.begin()
        run.send(0, 3)
        self.lose_links()
        run.end(ports.Completion.BROKEN)
        sent = self.gateway.last
        self.assertEqual('2', sent.relayed.resume_after)
        self.assertEqual(1, sent.relayed.relay.prior_runs)
        self.assertTrue(sent.relayed.relay.is_counted)
        sent.listener.handle_head(HEAD)
        sent.listener.handle_body(EVENT % 3)
        sent.listener.handle_completion(ports.Completion.COMPLETE)
        self.assertEqual(b''.join(EVENT % one for one in range(4)), reply.body)

    def test_close_and_deadline_of_the_caller_reach_the_peer(self):
        """Guards against work for a caller that has left."""
        reply, sent = self.pass_on(timeout_ms=1_000)
        self.assertLessEqual(sent.relayed.remaining_ms, 1_000)
        reply.leave()
        self.assertTrue(sent.cancelled)
        reply, sent = self.pass_on('/hold/x', number=2, timeout_ms=1_000)
        self.world.clock.advance(1_001)
        self.relays.tick()
        self.assertTrue(sent.cancelled)
        self.assertEqual(504, reply.status)

    def test_request_of_a_dead_peer_is_passed_on_again(self):
        _, sent = self.pass_on('/read/x')
        self.silence(sent.peer)
        self.view.remove(sent.peer, self.world.clock.now())
        self.relays.tick()
        self.assertTrue(sent.cancelled)
        self.assertNotEqual(sent.peer, self.gateway.last.peer)

    def test_request_of_a_silent_peer_stays_until_another_answers(self):
        """Guards against cut answers whose peer is suspended for a second.

        Actions do not run twice; a read goes to another peer as well.
        """
        for path, sends in (('/hold/x', 1), ('/read/x', 2)):
            with self.subTest(path):
                self.setUp()
                reply, sent = self.pass_on(path)
                self.silence(sent.peer)
                self.relays.tick()
                self.world.clock.advance(relays.SILENT_MS)
                self.relays.tick()
                self.assertEqual(sends, len(self.gateway.sent))
                self.assertFalse(sent.cancelled)
                self.complete(sent)
                self.assertEqual(b'done', reply.body)
                for other in self.gateway.sent[1:]:
                    self.assertTrue(other.cancelled)

    def test_read_of_a_silent_peer_is_served_by_another_one(self):
        """Guards against reads that wait for a peer that is lost."""
        reply, sent = self.pass_on('/read/x')
        self.silence(sent.peer)
        self.world.clock.advance(relays.SILENT_MS)
        self.relays.tick()
        self.complete(self.gateway.last)
        self.assertTrue(sent.cancelled)
        self.assertEqual(b'done', reply.body)
        self.assertEqual(0, self.world.intake.in_flight)

    def test_read_of_a_silent_peer_outlives_the_refusal_of_another(self):
        """Guards against errors while the first peer still serves a read."""
        for status in (502, 503):
            with self.subTest(status):
                self.setUp()
                reply, sent = self.pass_on('/read/x')
                self.silence(sent.peer)
                self.world.clock.advance(relays.SILENT_MS)
                self.relays.tick()
                self.complete(self.gateway.last, status)
                self.assertIsNone(reply.status)
                self.complete(sent)
                self.assertEqual((200, b'done'), (reply.status, reply.body))

    def test_answering_peer_that_counts_as_absent_keeps_its_request(self):
        """Guards against streams that a leaving peer could complete."""
        reply, sent = self.pass_on()
        sent.listener.handle_head(HEAD)
        self.silence(sent.peer)
        for number in range(10):
            self.world.clock.advance(relays.SILENT_MS // 2)
            sent.listener.handle_body(EVENT % number)
            self.relays.tick()
        self.assertEqual(1, len(self.gateway.sent))
        sent.listener.handle_completion(ports.Completion.COMPLETE)
        self.assertTrue(reply.whole)

    def complete(self, sent, status=200):
        """Let a peer answer a call."""
        sent.listener.handle_head(attrs.evolve(HEAD, status=status))
        sent.listener.handle_body(b'done')
        sent.listener.handle_completion(ports.Completion.COMPLETE)

    def silence(self, host):
        """Let a peer count as absent, though it is registered."""
        self.view.peers[host].last_update_at = -builders.FAR_FUTURE

    def test_late_output_of_a_peer_is_dropped(self):
        reply, sent = self.pass_on('/read/x')
        self.silence(sent.peer)
        self.view.remove(sent.peer, self.world.clock.now())
        self.relays.tick()
        sent.listener.handle_head(HEAD)
        sent.listener.handle_body(b'late')
        sent.listener.handle_completion(ports.Completion.COMPLETE)
        self.assertIsNone(reply.status)

    def test_peers_without_links_get_nothing(self):
        for peer in self.view.peers.values():
            peer.has_links = False
        self.lose_links()
        reply = self.world.serve()
        self.assertEqual([], self.gateway.sent)
        self.assertEqual(503, reply.status)
        self.assertIsNotNone(reply.retry_after_ms)

    def test_relayed_request_is_not_passed_on_again(self):
        """Guards against requests that circle between entries."""
        self.lose_links()
        relay = ports.Relay('a-01', 'a-01-1', 'a-00-1', 0, True)
        reply = self.world.serve(relay=relay)
        self.assertEqual([], self.gateway.sent)
        self.assertIsNone(reply.status)

    def test_request_is_counted_by_one_entry(self):
        """Guards against a retry budget that counts a request twice."""
        self.pass_on()
        self.assertEqual(0.0, self.world.budget.estimate_rate('drafting'))
        self.links.lost_since = None
        counted = ports.Relay('a-01', 'a-01-1', 'a-00-1', 0, True)
        self.world.serve(number=2, relay=counted)
        self.assertEqual(0.0, self.world.budget.estimate_rate('drafting'))
        self.world.serve(
            number=3, relay=attrs.evolve(counted, is_counted=False)
        )
        self.assertLess(0.0, self.world.budget.estimate_rate('drafting'))

    def refuse(self, sent, sends):
        """Refuse what was passed on, after a number of sends to servers."""
        sent.listener.handle_head(
            attrs.evolve(
                HEAD,
                status=503,
                headers=(('Retry-After', '2.500'),),
                is_authentic=False,
                is_relay_refused=True,
                relayed_sends=sends,
            )
        )
        sent.listener.handle_completion(ports.Completion.COMPLETE)

    def test_request_that_a_peer_has_sent_needs_a_retry_at_the_next(self):
        """Guards against retries that pass for the first send of a peer."""
        for sends, peers in ((None, 3), (0, 3), (1, 1)):
            with self.subTest(sends):
                self.setUp()
                reply, _ = self.pass_on()
                while self.world.budget.acquire('drafting', urgent=True):
                    pass
                for _ in range(3):
                    if reply.status is None:
                        self.refuse(self.gateway.last, sends)
                self.assertEqual(peers, len(self.gateway.sent))
                self.assertEqual(503, reply.status)

    def test_request_that_a_peer_has_counted_is_not_counted_again(self):
        """Guards against refusals of peers that make more retries."""
        for sends, is_counted in ((None, False), (0, True), (1, True)):
            with self.subTest(sends):
                self.setUp()
                _, sent = self.pass_on()
                self.refuse(sent, sends)
                relay = self.gateway.last.relayed.relay
                self.assertNotEqual(sent, self.gateway.last)
                self.assertIs(is_counted, relay.is_counted)
        self.setUp()
        _, sent = self.pass_on()
        sent.listener.handle_completion(ports.Completion.BROKEN)
        self.assertTrue(self.gateway.last.relayed.relay.is_counted)

    def test_request_that_servers_refused_needs_a_retry_at_a_peer(self):
        """Guards against retries that pass for the first send of a peer."""
        for can_retry in (True, False):
            with self.subTest(can_retry):
                self.setUp()
                reply = self.world.serve()
                run = self.world.servers.last
                while not can_retry and self.world.budget.acquire(
                    'drafting', urgent=True
                ):
                    pass
                self.lose_links()
                run.begin(status=503, executed=False)
                run.end()
                self.assertEqual(int(can_retry), len(self.gateway.sent))
                self.assertEqual(None if can_retry else 503, reply.status)

    def test_refusal_states_the_sends_to_servers(self):
        """Guards against sends that the entry of the caller can not count."""
        self.links.lost_since = None
        relay = ports.Relay('a-01', 'a-01-1', 'a-00-1', 0, True)
        reply = self.world.serve(relay=relay)
        run = self.world.servers.last
        for server in self.world.routing_state.servers.values():
            self.world.servers.on_notice(
                server, ports.ServerNotice(False, rest_ms=2_500)
            )
        run.begin(status=503, executed=False)
        run.end()
        self.world.advance(25)
        self.assertEqual((503, 'limited'), (reply.status, reply.reason))
        self.assertEqual(1, reply.relayed_sends)

    def test_runs_before_the_relay_count_at_the_peer(self):
        relay = ports.Relay('a-01', 'a-01-1', 'a-00-1', 1, True)
        reply = self.world.serve('/brief/x', relay=relay)
        self.world.servers.last.end(ports.Completion.BROKEN)
        self.assertEqual(502, reply.status)
        self.assertEqual(1, len(self.world.servers.runs))


class StallTest(RelayCase):
    """Streams stall while this entry reaches no server."""

    def stall(self, **changes):
        """Serve a stream that stalls; return its reply and its run."""
        self.world.streams.has_linked_peer = lambda: True
        reply = self.world.serve(**changes)
        run = self.world.servers.last
        run.begin()
        run.send(0, 4)
        self.lose_links()
        self.world.clock.advance(streams.LOST_LINKS_IDLE_MS)
        return reply, run

    def check_stays(self, reply, run):
        self.world.streams.leave_lost_links()
        self.assertFalse(run.stopped)
        self.assertEqual([], self.gateway.sent)
        run.send(4, 10)
        run.end()
        self.assertTrue(reply.whole)

    def test_stream_is_handed_over_with_the_next_event_of_a_peer(self):
        reply, run = self.stall()
        self.world.streams.leave_lost_links()
        sent = self.gateway.last
        self.assertEqual('3', sent.relayed.resume_after)
        self.assertEqual((run.run.server.id,), sent.relayed.relay.avoided)
        sent.listener.handle_head(HEAD)
        self.assertFalse(run.stopped)
        sent.listener.handle_body(EVENT % 4)
        self.assertTrue(run.stopped)
        sent.listener.handle_completion(ports.Completion.COMPLETE)
        self.assertTrue(reply.whole)
        self.assertEqual(0, self.world.intake.in_flight)

    def test_run_that_continues_withdraws_the_offer(self):
        """Guards against a stream that two runs continue."""
        reply, run = self.stall()
        self.world.streams.leave_lost_links()
        run.send(4, 10)
        self.assertTrue(self.gateway.last.cancelled)
        self.gateway.last.listener.handle_body(EVENT % 4)
        run.end()
        self.assertTrue(reply.whole)
        self.assertEqual(10, reply.body.count(b'id: '))

    def test_run_that_ends_during_an_offer_leaves_the_stream_to_the_peer(self):
        """Guards against a cut stream that a peer is about to continue."""
        reply, run = self.stall()
        self.world.streams.leave_lost_links()
        run.end(ports.Completion.BROKEN)
        self.assertFalse(reply.aborted)
        sent = self.gateway.last
        sent.listener.handle_head(HEAD)
        sent.listener.handle_body(EVENT % 4)
        sent.listener.handle_completion(ports.Completion.COMPLETE)
        self.assertTrue(reply.whole)

    def test_caller_that_leaves_ends_run_and_offer(self):
        """Guards against work for a caller that has left."""
        reply, run = self.stall()
        self.world.streams.leave_lost_links()
        reply.leave()
        self.assertTrue(run.stopped)
        self.assertTrue(self.gateway.last.cancelled)
        self.assertEqual(0, self.world.intake.in_flight)

    def test_stream_without_a_retry_stays(self):
        """Guards against cut streams while all servers are silent."""
        reply, run = self.stall()
        while self.world.budget.acquire('drafting', urgent=True):
            pass
        self.check_stays(reply, run)

    def test_relayed_stream_that_may_not_run_again_stays(self):
        """Guards against a break that the sender can only pass on."""
        relay = ports.Relay('a-01', 'a-01-1', 'a-00-1', 1, True)
        self.check_stays(*self.stall(relay=relay))

    def test_relayed_stream_stays_while_its_sender_passes_it_on(self):
        """Guards against a cut stream that no other peer accepts.

        The sender is informed once, and no further run begins here.
        """
        relay = ports.Relay('a-01', 'a-01-1', 'a-00-1', 0, True)
        reply, run = self.stall(relay=relay)
        for _ in range(2):
            self.world.streams.leave_lost_links()
        self.assertFalse(run.stopped)
        self.assertFalse(reply.aborted)
        body, notice = run_notices.extract(reply.body, 'a-01-1')
        self.assertEqual(
            run_notices.Notice(1, (run.run.server.id,), True), notice
        )
        self.assertEqual(1, reply.body.count(b' left '))
        self.links.lost_since = None
        run.end(ports.Completion.BROKEN)
        self.assertEqual(1, len(self.world.servers.runs))
        self.assertTrue(reply.aborted)
        self.assertEqual(4, body.count(b'id: '))

    def test_relayed_stream_ends_once_its_sender_closes_it(self):
        """Guards against two runs after another entry has gone on."""
        relay = ports.Relay('a-01', 'a-01-1', 'a-00-1', 0, True)
        reply, run = self.stall(relay=relay)
        self.world.streams.leave_lost_links()
        reply.leave()
        self.assertTrue(run.stopped)
        self.assertEqual(0, self.world.intake.in_flight)

    def test_offer_counts_as_an_attempt(self):
        """Guards against a third run once the links are restored."""
        reply, run = self.stall()
        self.world.streams.leave_lost_links()
        run.send(4, 6)
        self.links.lost_since = None
        run.end(ports.Completion.BROKEN)
        self.assertEqual(1, len(self.world.servers.runs))
        self.assertTrue(reply.aborted)

    def test_refused_offer_does_not_count_as_an_attempt(self):
        """Guards against a stream that lacks an attempt nobody has used."""
        _, run = self.stall()
        self.world.streams.leave_lost_links()
        for _ in range(3):
            self.gateway.last.listener.handle_completion(
                ports.Completion.NOT_SENT
            )
        self.links.lost_since = None
        run.end(ports.Completion.BROKEN)
        self.assertEqual(2, len(self.world.servers.runs))


class SecondTransferTest(RelayCase):
    """The peer that serves a stream loses its links as well."""

    def stall(self, runs=1, has_left=True):
        """Pass on a stream that stalls; return its reply and transfer."""
        reply, sent = self.pass_on()
        sent.listener.handle_head(HEAD)
        sent.listener.handle_body(EVENT % 0)
        self.world.clock.advance(streams.LOST_LINKS_IDLE_MS)
        self.inform(sent, runs, has_left)
        self.relays.tick()
        return reply, sent

    def inform(self, sent, runs, has_left):
        notice = run_notices.Notice(runs, ('a-9',), has_left)
        sent.listener.handle_body(
            run_notices.encode(notice, self.view.local.incarnation)
        )

    def check_whole(self, reply, events):
        self.assertTrue(reply.whole)
        self.assertEqual(
            b''.join(EVENT % number for number in range(events)), reply.body
        )
        self.assertEqual(0, self.world.intake.in_flight)

    def test_next_event_of_another_peer_ends_the_first_transfer(self):
        reply, first = self.stall()
        second = self.gateway.last
        self.assertNotEqual(first.peer, second.peer)
        self.assertEqual('0', second.relayed.resume_after)
        self.assertEqual(1, second.relayed.relay.prior_runs)
        self.assertEqual(('a-9',), second.relayed.relay.avoided)
        second.listener.handle_head(HEAD)
        self.assertFalse(first.cancelled)
        second.listener.handle_body(EVENT % 1)
        self.assertTrue(first.cancelled)
        second.listener.handle_completion(ports.Completion.COMPLETE)
        self.check_whole(reply, 2)

    def test_next_event_of_the_first_peer_ends_the_other_transfer(self):
        """Guards against a stream that two peers continue."""
        reply, first = self.stall()
        first.listener.handle_body(EVENT % 1)
        self.assertTrue(self.gateway.last.cancelled)
        self.gateway.last.listener.handle_body(EVENT % 1)
        first.listener.handle_completion(ports.Completion.COMPLETE)
        self.check_whole(reply, 2)

    def test_stream_stays_if_no_other_peer_accepts_it(self):
        """Guards against streams that are cut while their engines stall."""
        reply, first = self.stall()
        while len(self.gateway.sent) < relays.MAX_SENDS:
            self.gateway.last.listener.handle_completion(
                ports.Completion.NOT_SENT
            )
        self.gateway.last.listener.handle_completion(ports.Completion.NOT_SENT)
        self.assertFalse(first.cancelled)
        self.assertFalse(reply.aborted)
        first.listener.handle_body(EVENT % 1)
        first.listener.handle_completion(ports.Completion.COMPLETE)
        self.check_whole(reply, 2)

    def test_break_of_the_first_peer_leaves_the_stream_to_the_other(self):
        """Guards against a cut stream that a peer is about to continue."""
        reply, first = self.stall()
        first.listener.handle_completion(ports.Completion.BROKEN)
        self.assertFalse(reply.aborted)
        second = self.gateway.last
        second.listener.handle_head(HEAD)
        second.listener.handle_body(EVENT % 1)
        second.listener.handle_completion(ports.Completion.COMPLETE)
        self.check_whole(reply, 2)

    def test_stream_without_an_attempt_or_a_retry_stays(self):
        """Guards against more runs than the route and the budget allow."""
        reply, first = self.stall(runs=2)
        self.assertEqual([first], self.gateway.sent)
        self.assertFalse(reply.aborted)
        self.setUp()
        while self.world.budget.acquire('drafting', urgent=True):
            pass
        reply, first = self.stall()
        self.assertEqual([first], self.gateway.sent)
        self.assertFalse(reply.aborted)

    def test_caller_that_leaves_ends_both_transfers(self):
        """Guards against work for a caller that has left."""
        reply, first = self.stall()
        reply.leave()
        self.assertTrue(first.cancelled)
        self.assertTrue(self.gateway.last.cancelled)
        self.assertEqual(0, self.world.intake.in_flight)

    def test_deadline_ends_both_transfers(self):
        reply, first = self.stall()
        self.world.clock.advance(builders.FAR_FUTURE)
        self.relays.tick()
        self.assertTrue(first.cancelled)
        self.assertTrue(self.gateway.last.cancelled)
        self.assertTrue(reply.aborted)

    def test_stream_of_a_silent_peer_is_passed_on_as_well(self):
        """Guards against streams that end with the host of a peer."""
        _, first = self.stall(has_left=False)
        self.assertEqual([first], self.gateway.sent)
        self.world.clock.advance(relays.SILENT_STREAM_MS)
        for host, peer in self.view.peers.items():
            peer.last_update_at = self.world.clock.now()
            if host == first.peer:
                peer.last_update_at = -builders.FAR_FUTURE
        self.relays.tick()
        self.assertEqual(2, len(self.gateway.sent))
        self.assertFalse(first.cancelled)


class RunNoticeTest(unittest.TestCase):
    def test_notices_are_removed_from_the_events(self):
        notice = run_notices.Notice(2, ('a-9', 'b-9'), True)
        encoded = run_notices.encode(notice, 'a-01-1')
        self.assertEqual(
            (EVENT % 0 + EVENT % 1, notice),
            run_notices.extract(EVENT % 0 + encoded + EVENT % 1, 'a-01-1'),
        )

    def test_comments_of_servers_are_passed_on(self):
        """Guards against servers that change the runs of a request."""
        for events in (
            EVENT % 0,
            b': ping\n\n',
            run_notices.encode(run_notices.Notice(0, ()), 'a-01-2'),
        ):
            with self.subTest(events):
                self.assertEqual(
                    (events, None), run_notices.extract(events, 'a-01-1')
                )


class RelayIntakeTest(RelayCase):
    def setUp(self):
        super().setUp()
        self.served = []
        self.relayed = 0
        self.is_available = True
        self.relay_intake = relays.RelayIntake(
            self.view,
            lambda on_result: self.confirm(on_result),
            lambda request, reply: self.served.append(request.id),
            lambda: self.relayed,
            lambda request: 9 if request.path.startswith('/low') else 0,
            lambda request: self.is_available,
        )

    def confirm(self, on_result):
        on_result(not self.links.are_lost)

    def submit(self, path='/brief/x', relay=None):
        reply = builders.FakeResponseWriter()
        request = builders.build_request(path, relay=relay)
        self.relay_intake.serve(request, reply)
        return reply

    def test_requests_of_others_are_denied_before_their_body(self):
        """Guards against bodies that strangers send to the port of peers."""
        decided = []
        reply = builders.FakeResponseWriter()
        request = builders.build_request('/brief/x')
        self.relay_intake.check_body(request, reply, decided.append)
        self.assertEqual((403, [None]), (reply.status, decided))

    def test_only_registered_entries_are_served(self):
        """Guards against callers that use the address of peers."""
        relay = ports.Relay('a-01', 'a-01-1', 'a-00-1', 0, False)
        table = (
            None,
            attrs.evolve(relay, host='a-09'),
            attrs.evolve(relay, incarnation='a-01-2'),
            attrs.evolve(relay, receiver='a-00-2'),
        )
        for denied in table:
            with self.subTest(denied):
                self.assertEqual(403, self.submit(relay=denied).status)
        self.assertEqual([], self.served)
        self.submit(relay=relay)
        self.assertEqual(1, len(self.served))

    def test_denied_request_may_pass_through_another_peer(self):
        """Guards against 403 for callers after a peer has restarted."""
        relay = ports.Relay('a-01', 'a-01-1', 'a-00-0', 0, False)
        reply = self.submit(relay=relay)
        self.assertEqual((403, True), (reply.status, reply.is_relay_refused))

    def test_full_entry_refuses_what_is_less_urgent_first(self):
        """Guards against an entry that requests of peers overload."""
        relay = ports.Relay('a-01', 'a-01-1', 'a-00-1', 0, False)
        self.relayed = relays.MAX_RELAYED - 10
        self.assertEqual(503, self.submit('/low/x', relay).status)
        self.assertIsNone(self.submit('/brief/x', relay).status)
        self.relayed = relays.MAX_RELAYED
        self.assertEqual(503, self.submit('/brief/x', relay).status)

    def test_entry_without_links_refuses_requests_of_peers(self):
        self.lose_links()
        relay = ports.Relay('a-01', 'a-01-1', 'a-00-1', 0, False)
        self.assertEqual(503, self.submit(relay=relay).status)

    def test_entry_that_may_not_serve_refuses_requests_of_peers(self):
        """Guards against callers that get the refusal of one peer alone."""
        self.is_available = False
        relay = ports.Relay('a-01', 'a-01-1', 'a-00-1', 0, False)
        reply = self.submit(relay=relay)
        self.assertTrue(reply.is_relay_refused)
        self.assertEqual([], self.served)

    def test_request_that_is_withdrawn_during_a_check_is_not_served(self):
        """Guards against runs for peers that have passed a request on."""
        results = []
        self.confirm = results.append
        relay = ports.Relay('a-01', 'a-01-1', 'a-00-1', 0, False)
        kept = self.submit(relay=relay)
        self.submit(relay=relay).leave()
        for on_result in results:
            on_result(True)
        self.assertEqual(1, len(self.served))
        kept.leave()


class VersionTest(RelayCase):
    def test_entry_with_an_older_configuration_refuses_a_relay(self):
        """Guards against 404 of a peer for a route that the sender has."""
        relay = ports.Relay('a-01', 'a-01-1', 'a-00-1', 0, False, 2)
        request = builders.build_request('/added/x', relay=relay)
        self.assertFalse(self.world.intake.is_available(request))
        self.world.routing_state.apply_configuration(
            builders.build_configuration(version=2)
        )
        self.assertTrue(self.world.intake.is_available(request))

    def test_version_that_routed_a_request_is_passed_on(self):
        _, sent = self.pass_on()
        self.assertEqual(1, sent.relayed.relay.configuration_version)


class LookupTest(RelayCase):
    def test_entries_without_links_are_no_choice_while_others_have_them(self):
        self.view.peers['a-01'].has_links = False
        now = self.world.clock.now()
        linked = [one.host for one in self.view.list_linked(now)]
        self.assertEqual(['a-02', 'b-00'], linked)
        self.assertEqual(3, len(self.view.list_serving(now)))
        self.assertIs(messages.State.SERVING, self.view.peers['a-01'].state)
