"""Messages about requests that crash targets."""

from __future__ import annotations

import attrs


@attrs.frozen
class Clear:
    """Verdict that the request may run without restrictions."""


@attrs.frozen
class Suspect:
    """Verdict on a request that was in flight on a target that died.

    It may run only on trial, apart from other suspects.
    """


@attrs.frozen
class Condemned:
    """Verdict on a request during whose trial a target died; it may not run.

    Attributes
    ----------
    retry_after_ms : int
        Milliseconds until the verdict expires.
    """

    retry_after_ms: int


Verdict = Clear | Suspect | Condemned


@attrs.frozen
class Death:
    """Death of a target on which a request was in flight.

    Entries have no common clock, so times are sent as ages.

    Attributes
    ----------
    target : str
        Name of the target.
    reporter : str
        Incarnation of the entry that had sent the request there.
    sequence : int
        Sequence number of the death, assigned by the reporter.
    on_trial : bool
        Whether the request ran there on trial, apart from other suspects.
    age_ms : int
        Milliseconds since the death.
    was_proven : bool
        Whether an entry had seen the part of prompts run well before.
    """

    target: str
    reporter: str
    sequence: int
    on_trial: bool
    age_ms: int
    was_proven: bool = False


@attrs.frozen
class Record:
    """Deaths and clearance of one fingerprint.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request.
    deaths : tuple of Death
        Its latest deaths.
    cleared_age_ms : int or None
        Milliseconds since the request last completed; earlier deaths do
        not count.
    refused_age_ms : int or None
        Milliseconds since a refusal that extends the verdict.
    """

    fingerprint: str
    deaths: tuple[Death, ...]
    cleared_age_ms: int | None = None
    refused_age_ms: int | None = None


@attrs.frozen
class QuarantineNews:
    """Records broadcast to every entry, or sent in reply to a digest."""

    records: tuple[Record, ...]


@attrs.frozen
class QuarantineDigest:
    """Request for the records of a peer if its digest differs.

    Attributes
    ----------
    digest : int
        64-bit hash of the sender's records; 0 if it has none.
    """

    digest: int


@attrs.frozen
class ReservationRequest:
    """Request to the owner of a name to reserve it for one holder.

    Attributes
    ----------
    name : str
        Name to reserve.
    holder : str
        Incarnation of the entry that requests it.
    ttl_ms : int
        Lifetime of the reservation, in milliseconds.
    """

    name: str
    holder: str
    ttl_ms: int


@attrs.frozen
class ReservationReply:
    """Reply that states whether the name was reserved for the holder."""

    reserved: bool


@attrs.frozen
class ReservationRelease:
    """Release of a name before its reservation expires."""

    name: str
    holder: str
