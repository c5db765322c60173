"""Messages between entries about the configuration."""

from __future__ import annotations

import attrs


@attrs.frozen
class FetchHead:
    """Ask a peer for the head that is in force there.

    Attributes
    ----------
    after_version : int
        The head is sent only if it is past this version.
    """

    after_version: int


@attrs.frozen
class HeadReply:
    """A peer's head.

    Attributes
    ----------
    version : int
        Version in force at the peer.
    value : bytes
        The encoded head; empty if it is not past the version asked for.
    """

    version: int
    value: bytes


@attrs.frozen
class FetchBucket:
    """Ask a peer for a bucket.

    Attributes
    ----------
    digest : str
        Digest of the bucket.
    """

    digest: str


@attrs.frozen
class BucketReply:
    """A peer's copy of a bucket.

    Attributes
    ----------
    digest : str
        Digest that was asked for.
    value : bytes
        The encoded bucket; empty if the peer does not hold it.
    """

    digest: str
    value: bytes
