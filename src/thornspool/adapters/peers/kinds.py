"""Numbers that encode message kinds on the wire.

A number is never reassigned, even if its kind is no longer sent: entries of
two releases run at the same time for hours, and the older release would
decode a body of the new kind as the old one. A new kind gets the next free
number. The number of a removed kind moves to ``RETIRED``.
"""

from __future__ import annotations

NUMBERS: dict[str, int] = {
    'adapters.peers.HandlerFailed': 1,
    'adapters.peers.NoReply': 2,
    'membership.Ping': 3,
    'membership.Ack': 4,
    'membership.PingRequest': 5,
    'membership.News': 6,
    'membership.SyncRequest': 7,
    'membership.SyncReply': 8,
    'actions.GrantRequest': 9,
    'actions.OutcomeRecord': 10,
    'actions.GrantRelease': 11,
    'actions.GrantGiven': 12,
    'actions.RecordFound': 13,
    'actions.KeyReused': 14,
    'actions.RecordDropped': 15,
    'actions.PageFull': 16,
    'actions.ChangeRecorded': 17,
    'actions.LedgerUnavailable': 18,
    'actions.AttemptQuery': 19,
    'actions.AttemptReport': 20,
    'configuration.FetchHead': 21,
    'configuration.HeadReply': 22,
    'configuration.FetchBucket': 23,
    'configuration.BucketReply': 24,
    'limits.DemandReport': 25,
    'limits.GrantReply': 26,
    'quarantine.QuarantineNews': 27,
    'quarantine.QuarantineDigest': 28,
    'quarantine.ReservationRequest': 29,
    'quarantine.ReservationReply': 30,
    'quarantine.ReservationRelease': 31,
    'targets.TargetNews': 32,
    'targets.HostNews': 33,
    'objectives.CountsAsked': 34,
    'objectives.CountsReply': 35,
    'actions.ProposalQuery': 36,
    'actions.ProposalReport': 37,
    'outages.PlatformBack': 38,
}

RETIRED: frozenset[int] = frozenset()
"""Numbers of removed kinds that no release sends."""

_NAMES = {number: kind for kind, number in NUMBERS.items()}


def pack_kind(kind: str) -> int | str:
    """Return the number of a kind, or its name if it has no number."""
    return NUMBERS.get(kind, kind)


def unpack_kind(packed: int | str) -> str:
    """Return the kind name for a number or a name.

    An unknown number of a newer release results in a name that is never
    registered. The message is then rejected like any unknown kind, and the
    sender of a request receives an error.
    """
    if isinstance(packed, str):
        return packed
    return _NAMES.get(packed, f'number {packed}')
