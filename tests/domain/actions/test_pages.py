"""Tests of the effect of proposals on a ledger page."""

from __future__ import annotations

import unittest

from tests.domain.actions import builders
from thornspool.domain.actions import messages
from thornspool.domain.actions import pages
from thornspool.domain.actions import records


def apply(
    *proposals: messages.Proposal, page: records.Page = records.EMPTY_PAGE
) -> tuple[records.Page, messages.Verdict]:
    """Apply proposals in order, each to a new version of the page."""
    verdict: messages.Verdict | None = None
    for proposal in proposals:
        draft = pages.Draft(page, proposal.slot)
        verdict = draft.apply(proposal).verdict
        page = draft.build_page()
    assert verdict is not None
    return page, verdict


class PagesTest(unittest.TestCase):
    def test_verdict_on_a_later_grant_request(self) -> None:
        """Callers resend a key after any outcome or with another body."""
        lost = builders.build_outcome(outcome=records.LOST)
        done = builders.build_outcome()
        release = builders.build_release()
        second = builders.build_grant('a2')
        displacing = builders.build_grant('a2', displaces='a1')
        other = builders.build_grant('a2', displaces='a0')
        uncertain = builders.build_grant('a2', displaces='a1', uncertain=True)
        reused = builders.build_grant('a2', digest='two', displaces='a1')
        first = builders.build_grant()
        table: dict[str, tuple[list[messages.Proposal], type]] = {
            'held': ([second], messages.RecordFound),
            'requested twice': ([first], messages.GrantGiven),
            'displaced': ([displacing], messages.GrantGiven),
            'another displaced': ([other], messages.RecordFound),
            'other body': ([reused], messages.KeyReused),
            'released': ([release, second], messages.GrantGiven),
            'own after release': ([release, first], messages.RecordFound),
            'done': ([done, displacing], messages.RecordFound),
            'done, uncertain': ([done, uncertain], messages.RecordFound),
            'unknown': ([lost, displacing], messages.RecordFound),
            'unknown, uncertain': ([lost, uncertain], messages.GrantGiven),
            'released after done': (
                [done, release, second],
                messages.RecordFound,
            ),
        }
        for name, (proposals, expected) in table.items():
            with self.subTest(name):
                _, verdict = apply(first, *proposals)
                self.assertIsInstance(verdict, expected)

    def test_key_of_a_recycled_slot_never_runs_again(self) -> None:
        """A caller resends a key whose record was dropped.

        The page now holds a later slot. A grant would repeat a payout of
        the day before.
        """
        page, _ = apply(builders.build_grant(), builders.build_outcome())
        page, _ = apply(builders.build_grant('b1', slot=9), page=page)
        self.assertEqual(9, page.slot)
        for proposal in (builders.build_grant('a2'), builders.build_release()):
            _, verdict = apply(proposal, page=page)
            self.assertIsInstance(verdict, messages.RecordDropped)

    def test_release_before_its_grant_is_recorded(self) -> None:
        """A release arrives before the grant that it releases.

        Without a record of the release, a voided attempt would hold the key.
        """
        first = builders.build_grant()
        _, verdict = apply(builders.build_release(), first)
        self.assertIsInstance(verdict, messages.RecordFound)
        second = builders.build_grant('a2')
        _, verdict = apply(builders.build_release(), first, second)
        self.assertIsInstance(verdict, messages.GrantGiven)

    def test_released_grant_of_an_uncertain_key_stays_unknown(self) -> None:
        """The answer of a deduplicating target is lost and its retry fails.

        The first send may have run, so the key must not become free, even
        when the operation is no longer declared as deduplicating.
        """
        lost = builders.build_outcome(outcome=records.LOST)
        uncertain = builders.build_grant('a2', displaces='a1', uncertain=True)
        certain = builders.build_grant('a3', displaces='a2')
        page, verdict = apply(builders.build_grant(), lost, uncertain, certain)
        self.assertIsInstance(verdict, messages.RecordFound)
        page, _ = apply(builders.build_release('a2'), page=page)
        self.assertEqual(records.LOST, page.records['swan/a'].outcome)

    def test_full_page_reserves_capacity_for_outcomes(self) -> None:
        """More actions have keys of one slot than fit into its page.

        The platform rejects values over one megabyte, so the page could
        record no further outcomes.
        """
        draft = pages.Draft(records.EMPTY_PAGE, 4)
        verdicts = []
        for number in range(1_000):
            grant = builders.build_grant(f'a{number}', f'swan/{number}')
            verdicts.append(draft.apply(grant).verdict)
        given = [v for v in verdicts if isinstance(v, messages.GrantGiven)]
        self.assertIsInstance(verdicts[-1], messages.PageFull)
        self.assertGreater(len(given), 300)
        body = b'x' * records.MAX_OUTCOME_BYTES
        for number in range(len(given)):
            outcome = messages.OutcomeRecord(
                0,
                4,
                f'swan/{number}',
                f'a{number}',
                records.Outcome(1, '', body),
            )
            self.assertTrue(draft.apply(outcome).changed)
        value = records.encode_page(draft.build_page())
        self.assertLess(len(value), 1_000_000)
        self.assertEqual(draft.build_page(), records.decode_page(value))

    def test_fencing_tokens_increase_across_slots(self) -> None:
        page, first = apply(builders.build_grant())
        _, second = apply(builders.build_grant('b1', slot=9), page=page)
        assert isinstance(first, messages.GrantGiven)
        assert isinstance(second, messages.GrantGiven)
        self.assertGreater(second.fencing_token, first.fencing_token)
