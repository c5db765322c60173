"""Replies that the peer adapter itself sends."""

from __future__ import annotations

import attrs


@attrs.frozen
class HandlerFailed:
    """The handler of a question raised, or there was none.

    Attributes
    ----------
    reason : str
        What a log of the asker may say about it.
    """

    reason: str


@attrs.frozen
class NoReply:
    """The handler of a question returned None."""
