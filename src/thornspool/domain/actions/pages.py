"""Rules of a ledger page: what each proposal does to its records."""

from __future__ import annotations

import attrs

from thornspool.domain.actions import messages
from thornspool.domain.actions import records

MAX_PAGE_BYTES = 900_000


@attrs.frozen
class Decision:
    """What a proposal comes to.

    Attributes
    ----------
    verdict : messages.Verdict
        The answer; holds only once ``changed`` drafts are written.
    changed : bool
        Whether the draft differs from the page because of it.
    """

    verdict: messages.Verdict
    changed: bool


class Draft:
    """A page's next version while a batch of proposals is applied.

    Parameters
    ----------
    page : records.Page
        Version that was read; it is not changed.
    slot : int
        Slot that the proposals are for.
    max_bytes : int
        Estimated size past which no further grant is accepted.
    """

    def __init__(
        self,
        page: records.Page,
        slot: int,
        max_bytes: int = MAX_PAGE_BYTES,
    ) -> None:
        self.slot = slot
        self.fencing_token = page.fencing_token
        # A page whose slot is higher has dropped the records of this slot:
        # accepting a grant would run a key again that has run before. The
        # slot only grows, so this holds whatever any clock says.
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
        """Apply one proposal."""
        if self.recycled:
            return _keep(messages.RecordDropped(proposal.attempt))
        if isinstance(proposal, messages.GrantRequest):
            return self._grant(proposal)
        if isinstance(proposal, messages.OutcomeRecord):
            return self._record(proposal)
        return self._release(proposal)

    def _grant(self, request: messages.GrantRequest) -> Decision:
        held = self.records.get(request.name)
        if held is not None and not _yields(held, request):
            return _keep(_report_holder(held, request))
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
            return _keep(messages.PageFull(request.attempt))
        self.fencing_token += 1
        self._put(request.name, record)
        given = messages.GrantGiven(
            request.attempt, record.fencing_token, request.uncertain
        )
        return Decision(given, True)

    def _record(self, proposal: messages.OutcomeRecord) -> Decision:
        confirmed = messages.ChangeRecorded(proposal.attempt)
        held = self.records.get(proposal.name)
        if not _is_granted_to(held, proposal.attempt):
            return _keep(confirmed)
        assert held is not None
        outcome = records.trim_outcome(proposal.outcome)
        done = attrs.evolve(
            held, state=records.RecordState.DONE, outcome=outcome
        )
        self._put(proposal.name, done)
        return Decision(confirmed, True)

    def _release(self, proposal: messages.GrantRelease) -> Decision:
        confirmed = messages.ChangeRecorded(proposal.attempt)
        held = self.records.get(proposal.name)
        if held is None:
            # The release has overtaken its grant. Without a trace of it the
            # grant would be accepted afterwards and hold the key for an
            # attempt that is dead; callers would get "outcome unknown" for
            # good once its runner is gone.
            voided = records.Record(
                records.RecordState.VOIDED, proposal.attempt
            )
            if self._fits(proposal.name, voided):
                self._put(proposal.name, voided)
                return Decision(confirmed, True)
            return _keep(confirmed)
        if not _is_granted_to(held, proposal.attempt):
            return _keep(confirmed)
        self._put(proposal.name, _void(held))
        return Decision(confirmed, True)

    def _put(self, name: str, record: records.Record) -> None:
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
        """Make room; a voided record only saves a question to a runner."""
        for name, record in list(self.records.items()):
            if record.state is records.RecordState.VOIDED:
                self._size -= records.estimate_size(name, record)
                del self.records[name]


def _keep(verdict: messages.Verdict) -> Decision:
    return Decision(verdict, False)


def _is_granted_to(record: records.Record | None, attempt: str) -> bool:
    if record is None or record.attempt != attempt:
        return False
    return record.state is records.RecordState.GRANTED


def _yields(held: records.Record, request: messages.GrantRequest) -> bool:
    """Return whether a record makes way for a new grant."""
    if held.attempt == request.attempt:
        return False
    if held.state is records.RecordState.VOIDED:
        return True
    if held.digest != request.digest or held.attempt != request.displaces:
        return False
    # The operation may have lost its declaration that it deduplicates
    # since; then a key that may have run must not run again.
    if held.uncertain and not request.uncertain:
        return False
    if held.state is records.RecordState.GRANTED:
        return True
    # A known outcome stays; an unknown one makes way only for a sender that
    # says so, which the runner does for operations that deduplicate.
    assert held.outcome is not None
    return request.uncertain and not held.outcome.known


def _report_holder(
    held: records.Record, request: messages.GrantRequest
) -> messages.Verdict:
    if _is_granted_to(held, request.attempt):
        return messages.GrantGiven(
            request.attempt, held.fencing_token, held.uncertain
        )
    voided = held.state is records.RecordState.VOIDED
    if not voided and held.digest != request.digest:
        return messages.KeyReused(request.attempt)
    return messages.RecordFound(request.attempt, held)


def _void(held: records.Record) -> records.Record:
    """Return what is left of a grant that was given up."""
    if held.uncertain:
        # An attempt before it may have run, so the key is not free.
        return attrs.evolve(
            held, state=records.RecordState.DONE, outcome=records.LOST
        )
    return records.Record(records.RecordState.VOIDED, held.attempt)
