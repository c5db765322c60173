"""Tests of the messages about limits between entries."""

from __future__ import annotations

import random
import unittest

import msgspec

from thornspool.domain.configuration import documents
from thornspool.domain.limits import messages
from thornspool.domain.limits import shares

LIMITS = documents.Limits(1000 / 7, 20_000 / 3, 41)
USUAL = messages.Amounts(12.3456, 4567.891, 17.0)


def transfer(message):
    """Encode and decode a message as between two entries."""
    data = msgspec.msgpack.encode(message)
    return msgspec.msgpack.decode(data, type=type(message))


class EncodingTest(unittest.TestCase):
    def test_shares_are_transferred_without_loss(self) -> None:
        """A granted share is rounded by its encoding.

        The owner would then count a different sum of shares from the one
        that the holders use. Callers of a workspace could exceed its limit
        although each entry enforces its own share correctly.
        """
        draw = random.Random(20261202)
        ledger = shares.ShareLedger()
        held = dict.fromkeys(('a', 'b', 'c'), messages.Amounts())
        for now in range(0, 60_000, 500):
            holder = draw.choice(sorted(held))
            demand = messages.Amounts(*(draw.random() * 900 for _ in '...'))
            line = messages.WorkspaceDemand('w', now, demand, held[holder])
            (received,) = messages.unpack_report(
                transfer(messages.pack_report([line]))
            )
            self.assertEqual(held[holder], received.held)
            self.assertEqual(now, received.sequence)
            grant = ledger.grant(holder, received, LIMITS, 3, True, now)
            assert grant is not None
            reply = messages.pack_reply(now, grant.ttl_ms, [grant])
            self.assertEqual((grant,), messages.unpack_reply(transfer(reply)))
            held[holder] = grant.share

    def test_share_is_never_rounded_up(self) -> None:
        for value in (0.0, 0.0004, 0.0009999, 1 / 3, 2 / 3, 12_345.67899):
            with self.subTest(value=value):
                share = messages.Amounts(value, value, value)
                rounded = messages.round_share(share)
                self.assertLessEqual(rounded.tokens_per_s, value)
                self.assertAlmostEqual(value, rounded.tokens_per_s, delta=1e-3)

    def test_empty_report_has_no_lines(self) -> None:
        report = transfer(messages.pack_report([]))
        self.assertEqual((), messages.unpack_report(report))

    def test_lines_are_small(self) -> None:
        """Reports grow until control messages exceed their bandwidth.

        The operator sees traffic between entries that serve no requests.
        """
        line = messages.WorkspaceDemand('workspace-12345', 1, USUAL, USUAL)
        grant = messages.WorkspaceGrant('workspace-12345', 1, USUAL, 5000)
        one = messages.pack_report([line])
        two = messages.pack_report([line, line])
        self.assertLessEqual(_measure_size(two) - _measure_size(one), 45)
        reply = messages.pack_reply(1, 5000, [grant])
        replies = messages.pack_reply(1, 5000, [grant, grant])
        self.assertLessEqual(_measure_size(replies) - _measure_size(reply), 32)


def _measure_size(message: object) -> int:
    return len(msgspec.msgpack.encode(message))
