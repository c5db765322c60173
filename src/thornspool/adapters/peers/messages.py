"""Replies sent by the messaging layer itself."""

from __future__ import annotations

import attrs


@attrs.frozen
class HandlerFailed:
    """The handler of a request failed or does not exist.

    Attributes
    ----------
    reason : str
        Description of the failure for the log of the requester.
    """

    reason: str


@attrs.frozen
class NoReply:
    """The handler of a request returned None."""
