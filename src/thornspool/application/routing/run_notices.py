"""Notices about the runs of a relayed stream, within its answer.

An entry that serves a stream for a peer informs it of the runs that it has
used. The peer needs the number to keep to the attempts of the route, and the
servers so that no other run begins at one of them. A notice is a comment of
the event stream; the peer removes it. It names the incarnation of the peer,
which servers do not know, so that no server can write one.
"""

from __future__ import annotations

import re

import attrs

_MARK = b': relayed-runs '
_NOTICE = re.compile(
    rb'^: relayed-runs (\S+) (\d{1,6}) (open|left) ([^ \r\n]*)\n\n',
    re.MULTILINE,
)


@attrs.frozen
class Notice:
    """Runs of a relayed stream.

    Attributes
    ----------
    runs : int
        Runs that count towards the attempts of the route.
    servers : tuple of str
        Ids of the first servers of the open runs.
    has_left : bool
        Whether the serving entry starts no further run, so that the peer may
        start one elsewhere.
    """

    runs: int
    servers: tuple[str, ...]
    has_left: bool = False


def encode(notice: Notice, incarnation: str) -> bytes:
    """Encode a notice as a comment of an event stream.

    Parameters
    ----------
    notice : Notice
        The notice.
    incarnation : str
        Incarnation of the peer that relays the stream.
    """
    state = 'left' if notice.has_left else 'open'
    servers = ','.join(notice.servers)
    text = f'{incarnation} {notice.runs} {state} {servers}\n\n'
    return _MARK + text.encode('latin-1')


def extract(complete: bytes, incarnation: str) -> tuple[bytes, Notice | None]:
    """Remove the notices from complete events.

    Parameters
    ----------
    complete : bytes
        Complete events.
    incarnation : str
        Incarnation of this entry.

    Returns
    -------
    tuple of bytes and Notice or None
        The events without the notices, and the last notice.
    """
    if _MARK not in complete:
        return complete, None
    expected = incarnation.encode('latin-1')
    notice = None
    rest = []
    end = 0
    for match in _NOTICE.finditer(complete):
        if match[1] != expected:
            continue
        servers = match[4].decode('latin-1').split(',')
        notice = Notice(
            int(match[2]), tuple(filter(None, servers)), match[3] == b'left'
        )
        rest.append(complete[end : match.start()])
        end = match.end()
    rest.append(complete[end:])
    return b''.join(rest), notice
