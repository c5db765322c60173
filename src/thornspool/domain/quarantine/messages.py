"""Typed messages about requests that crash targets."""

from __future__ import annotations

import attrs


@attrs.frozen
class Clear:
    """Nothing is known against the request."""


@attrs.frozen
class Suspect:
    """It was in flight on a target that died; it may run on trial."""


@attrs.frozen
class Condemned:
    """A target died under its trial; it may not run.

    Attributes
    ----------
    retry_after_ms : int
        When the verdict expires, in milliseconds.
    """

    retry_after_ms: int


Verdict = Clear | Suspect | Condemned


@attrs.frozen
class Death:
    """A request was in flight on a target that died.

    Entries share no clock, so times travel as ages.

    Attributes
    ----------
    target : str
        Name of the target.
    reporter : str
        Incarnation of the entry that had the request there.
    sequence : int
        Number of the death at that entry.
    on_trial : bool
        Whether it ran there apart from other suspects.
    age_ms : int
        Milliseconds since the death.
    """

    target: str
    reporter: str
    sequence: int
    on_trial: bool
    age_ms: int


@attrs.frozen
class Record:
    """What is known of one fingerprint.

    Attributes
    ----------
    fingerprint : str
        The request.
    deaths : tuple of Death
        The latest ones.
    cleared_age_ms : int or None
        Milliseconds since it ran to its end; deaths before that are void.
    """

    fingerprint: str
    deaths: tuple[Death, ...]
    cleared_age_ms: int | None = None


@attrs.frozen
class QuarantineNews:
    """Records told to every entry, or in answer to a digest."""

    records: tuple[Record, ...]


@attrs.frozen
class QuarantineDigest:
    """Asks a peer for its records if they differ.

    Attributes
    ----------
    digest : int
        64-bit hash of the sender's records; 0 for none.
    """

    digest: int


@attrs.frozen
class ReservationRequest:
    """Asks the owner of a name to keep it for one holder.

    Attributes
    ----------
    name : str
        What is to be kept apart.
    holder : str
        Who will hold it.
    ttl_ms : int
        For how long, in milliseconds.
    """

    name: str
    holder: str
    ttl_ms: int


@attrs.frozen
class ReservationReply:
    """Whether the name is the holder's now."""

    reserved: bool


@attrs.frozen
class ReservationRelease:
    """Gives a name back before its time is up."""

    name: str
    holder: str
