"""Messages with which entries pull the configuration from peers."""

from __future__ import annotations

import attrs


@attrs.frozen
class FetchHead:
    """Request for the head that is in force at a peer.

    Attributes
    ----------
    after_version : int
        The reply contains the head only if its version is higher.
    """

    after_version: int


@attrs.frozen
class HeadReply:
    """Reply to ``FetchHead``.

    Attributes
    ----------
    version : int
        Version in force at the peer.
    value : bytes
        Encoded head; empty if its version is not higher than the requested
        one.
    """

    version: int
    value: bytes


@attrs.frozen
class FetchBucket:
    """Request for a bucket.

    Attributes
    ----------
    digest : str
        Digest of the bucket.
    """

    digest: str


@attrs.frozen
class BucketReply:
    """Reply to ``FetchBucket``.

    Attributes
    ----------
    digest : str
        Requested digest.
    value : bytes
        Encoded bucket; empty if the peer does not have it.
    """

    digest: str
    value: bytes
