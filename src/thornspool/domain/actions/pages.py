"""Rules of a ledger page: the effect of each proposal on its records."""

from __future__ import annotations

import attrs

from thornspool.domain.actions import messages
from thornspool.domain.actions import records

MAX_PAGE_BYTES = 900_000


@attrs.frozen
class Decision:
    """Result of applying a proposal to a draft.

    Attributes
    ----------
    verdict : messages.Verdict
        The verdict; if ``changed``, it holds only once the draft is written.
    changed : bool
        Whether the proposal changed the draft.
    """

    verdict: messages.Verdict
    changed: bool


class Draft:
    """The next version of a page while a batch of proposals is applied.

    Parameters
    ----------
    page : records.Page
        The version that was read; it is not modified.
    slot : int
        Slot that the proposals are for.
    max_bytes : int
        Estimated size in bytes above which no further grant is accepted.
    """

    def __init__(
        self,
        page: records.Page,
        slot: int,
        max_bytes: int = MAX_PAGE_BYTES,
    ) -> None:
        self.slot = slot
        self.fencing_token = page.fencing_token
        # A page with a higher slot has dropped the records of this slot:
        # a grant could run a key for the second time. The slot of a page
        # only grows, so the rule does not depend on any clock.
        self.recycled = page.slot > slot
        self.records: dict[str, records.Record] = {}
        if page.slot == slot:
            self.records.update(page.records)
        self._max_bytes = max_bytes
        self._size = sum(
            records.estimate_size(name, record)
            for name, record in self.records.items()
        )

    def build_page(self) -> records.Page:
        """Return the draft as a page."""
        return records.Page(self.slot, self.fencing_token, self.records)

    def apply(self, proposal: messages.Proposal) -> Decision:
        """Apply one proposal and return its verdict."""
        if self.recycled:
            return _leave_unchanged(messages.RecordDropped(proposal.attempt))
        if isinstance(proposal, messages.GrantRequest):
            return self._grant(proposal)
        if isinstance(proposal, messages.OutcomeRecord):
            return self._record_outcome(proposal)
        return self._release(proposal)

    def _grant(self, request: messages.GrantRequest) -> Decision:
        current = self.records.get(request.name)
        if current is not None and not _is_replaceable(current, request):
            return _leave_unchanged(_describe_holder(current, request))
        record = records.Record(
            records.RecordState.GRANTED,
            request.attempt,
            request.runner,
            request.runner_address,
            request.digest,
            self.fencing_token + 1,
            request.deadline,
            request.uncertain,
        )
        if not self._fits(request.name, record):
            return _leave_unchanged(messages.PageFull(request.attempt))
        self.fencing_token += 1
        self._set_record(request.name, record)
        given = messages.GrantGiven(
            request.attempt, record.fencing_token, request.uncertain
        )
        return Decision(given, True)

    def _record_outcome(self, proposal: messages.OutcomeRecord) -> Decision:
        confirmed = messages.ChangeRecorded(proposal.attempt)
        current = self.records.get(proposal.name)
        if not _is_granted_to(current, proposal.attempt):
            return _leave_unchanged(confirmed)
        assert current is not None
        outcome = records.trim_outcome(proposal.outcome)
        done = attrs.evolve(
            current, state=records.RecordState.DONE, outcome=outcome
        )
        self._set_record(proposal.name, done)
        return Decision(confirmed, True)

    def _release(self, proposal: messages.GrantRelease) -> Decision:
        confirmed = messages.ChangeRecorded(proposal.attempt)
        current = self.records.get(proposal.name)
        if current is None:
            # The release arrived before its grant. Without a record of it
            # the grant would be accepted later and hold the key for a
            # voided attempt; once its runner is gone, callers would always
            # get "outcome unknown".
            voided = records.Record(
                records.RecordState.VOIDED, proposal.attempt
            )
            if self._fits(proposal.name, voided):
                self._set_record(proposal.name, voided)
                return Decision(confirmed, True)
            return _leave_unchanged(confirmed)
        if not _is_granted_to(current, proposal.attempt):
            return _leave_unchanged(confirmed)
        self._set_record(proposal.name, _build_voided(current))
        return Decision(confirmed, True)

    def _set_record(self, name: str, record: records.Record) -> None:
        old = self.records.get(name)
        if old is not None:
            self._size -= records.estimate_size(name, old)
        self._size += records.estimate_size(name, record)
        self.records[name] = record

    def _fits(self, name: str, record: records.Record) -> bool:
        size = records.estimate_size(name, record)
        if self._size + size <= self._max_bytes:
            return True
        self._drop_voided()
        return self._size + size <= self._max_bytes

    def _drop_voided(self) -> None:
        """Drop voided records to free capacity.

        A voided record only saves a query to the runner of its attempt.
        """
        for name, record in list(self.records.items()):
            if record.state is records.RecordState.VOIDED:
                self._size -= records.estimate_size(name, record)
                del self.records[name]


def _leave_unchanged(verdict: messages.Verdict) -> Decision:
    return Decision(verdict, False)


def _is_granted_to(record: records.Record | None, attempt: str) -> bool:
    if record is None or record.attempt != attempt:
        return False
    return record.state is records.RecordState.GRANTED


def _is_replaceable(
    current: records.Record, request: messages.GrantRequest
) -> bool:
    """Return whether a new grant may replace a record."""
    if current.attempt == request.attempt:
        return False
    if current.state is records.RecordState.VOIDED:
        return True
    if (
        current.digest != request.digest
        or current.attempt != request.displaces
    ):
        return False
    # The operation may no longer be declared as deduplicating; a key that
    # may have run must then not run again.
    if current.uncertain and not request.uncertain:
        return False
    if current.state is records.RecordState.GRANTED:
        return True
    # A known outcome is never replaced. An unknown one is replaced only by
    # an uncertain request, which the runner sends only for operations that
    # deduplicate.
    assert current.outcome is not None
    return request.uncertain and not current.outcome.known


def _describe_holder(
    current: records.Record, request: messages.GrantRequest
) -> messages.Verdict:
    if _is_granted_to(current, request.attempt):
        return messages.GrantGiven(
            request.attempt, current.fencing_token, current.uncertain
        )
    voided = current.state is records.RecordState.VOIDED
    if not voided and current.digest != request.digest:
        return messages.KeyReused(request.attempt)
    return messages.RecordFound(request.attempt, current)


def _build_voided(current: records.Record) -> records.Record:
    """Return the record that replaces a released grant."""
    if current.uncertain:
        # An earlier attempt may have run, so the key must not become free.
        return attrs.evolve(
            current, state=records.RecordState.DONE, outcome=records.LOST
        )
    return records.Record(records.RecordState.VOIDED, current.attempt)
