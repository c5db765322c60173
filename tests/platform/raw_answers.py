"""Answers whose heads are spoiled, by what is wrong with them."""

from __future__ import annotations

from standins import raw_answers

_LENGTH = 'Content-Length: {length}'


def _spoil_status(status_line):
    return raw_answers.RawAnswer(_LENGTH, status_line=status_line)


BROKEN_HEADS = {
    'status 000': _spoil_status('HTTP/1.1 000 OK'),
    'status 099': _spoil_status('HTTP/1.1 099 OK'),
    'status 101': _spoil_status('HTTP/1.1 101 OK'),
    'status 600': _spoil_status('HTTP/1.1 600 OK'),
    'status 999': _spoil_status('HTTP/1.1 999 OK'),
    'version in lower case': _spoil_status('http/1.1 200 OK'),
}
"""Answers that are broken off before their bodies."""
