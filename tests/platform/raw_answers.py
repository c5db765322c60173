"""Answers whose heads are spoiled, by what is wrong with them."""

from __future__ import annotations

from standins import raw_answers

_LENGTH = 'Content-Length: {length}'


def _hide_length(lines):
    """Build an answer that breaks off and whose length is not seen."""
    return raw_answers.RawAnswer(lines, 'half')


def _spoil_coding(lines):
    return raw_answers.RawAnswer(lines, 'chunks')


def _spoil_line(line):
    """Build an answer that is whole, with a line that is no field."""
    return raw_answers.RawAnswer(f'{line}\r\n{_LENGTH}')


def _spoil_status(status_line):
    return raw_answers.RawAnswer(_LENGTH, status_line=status_line)


_INTERIM = 'HTTP/1.1 103 Early Hints\r\n\r\n'


BROKEN_FRAMING = {
    'blank before the colon of the length': _hide_length(
        'Content-Length : {length}'
    ),
    'tab before the colon of the length': _hide_length(
        'Content-Length\t: {length}'
    ),
    'control byte before the colon of the length': _hide_length(
        'Content-Length\x01: {length}'
    ),
    'length on the first line, behind a blank': _hide_length(
        ' Content-Length: {length}'
    ),
    'length on a folded line': _hide_length(
        'X: 1\r\n Content-Length: {length}'
    ),
    'first letter of the length is a blank': _hide_length(
        'X: 1\r\n ontent-Length: {length}'
    ),
    'length of 30 digits': _hide_length('Content-Length: ' + '9' * 30),
    'length of 5000 digits': _hide_length('Content-Length: ' + '9' * 5000),
    'list of lengths': raw_answers.RawAnswer('Content-Length: 3, 3'),
    'lengths that differ': raw_answers.RawAnswer(
        'Content-Length: 3\r\nContent-Length: {length}'
    ),
    'blank before the colon of the coding': _spoil_coding(
        'Transfer-Encoding : chunked'
    ),
    'coding on a folded line': _spoil_coding(
        'X: 1\r\n Transfer-Encoding: chunked'
    ),
    'no coding': _spoil_coding('Transfer-Encoding:'),
    'identity': _spoil_coding('Transfer-Encoding: identity'),
    'odd coding': _spoil_coding('Transfer-Encoding: chunkee'),
    'list of codings': _spoil_coding('Transfer-Encoding: chunked, chunked'),
    'blank before the colon of a coding beside a length': _spoil_coding(
        'Transfer-Encoding : chunked\r\n' + _LENGTH
    ),
    'chunks in HTTP/1.0': raw_answers.RawAnswer(
        'Transfer-Encoding: chunked', 'chunks', 'HTTP/1.0 200 OK'
    ),
    'status 000': _spoil_status('HTTP/1.1 000 OK'),
    'status 000 without a length': raw_answers.RawAnswer(
        '', status_line='HTTP/1.1 000 OK'
    ),
    'status 000 in chunks': raw_answers.RawAnswer(
        'Transfer-Encoding: chunked', 'chunks', 'HTTP/1.1 000 OK'
    ),
    'status 000 of HTTP/1.0': _spoil_status('HTTP/1.0 000 OK'),
    'status 000 of HTTP/2': _spoil_status('HTTP/2 000'),
    'status 000, cut': raw_answers.RawAnswer(
        _LENGTH, 'half', 'HTTP/1.1 000 OK'
    ),
    'status 00': _spoil_status('HTTP/1.1 00 OK'),
    'status 099': _spoil_status('HTTP/1.1 099 OK'),
    'status 101': _spoil_status('HTTP/1.1 101 OK'),
    'status 600': _spoil_status('HTTP/1.1 600 OK'),
    'status 999': _spoil_status('HTTP/1.1 999 OK'),
    'status 204 with a length': _spoil_status('HTTP/1.1 204 OK'),
    'version in lower case': _spoil_status('http/1.1 200 OK'),
}
"""Answers whose end or status no reader can tell."""

BROKEN_LINES = {
    'length without a colon': _hide_length('Content-Length {length}'),
    'line without a colon': _spoil_line('X 1'),
    'no name': _spoil_line(': 1'),
    'blank in a name': _spoil_line('X Y: 1'),
    'blank before a colon': _spoil_line('X : 1'),
    'blank before a name': _spoil_line(' X: 1'),
    'control byte in a name': _spoil_line('X\x01Y: 1'),
}
"""Answers that hold a line that no server may send."""

BROKEN_SUCCESSORS = {
    'status 000 behind another head': _spoil_status(
        f'{_INTERIM}HTTP/1.1 000 OK'
    ),
}
"""Answers whose first head is sound."""

BROKEN_HEADS = BROKEN_FRAMING | BROKEN_LINES | BROKEN_SUCCESSORS
"""Answers that are broken off before their bodies."""

CUT_HEADS = {
    f'{name}, {missing} bytes missing': raw_answers.RawAnswer(
        lines, status_line=status_line, missing=missing
    )
    for name, lines, status_line in (
        ('no length', '', 'HTTP/1.1 200 OK'),
        ('length', _LENGTH, 'HTTP/1.1 200 OK'),
        ('length of zero', 'Content-Length: 0', 'HTTP/1.1 200 OK'),
        ('chunks', 'Transfer-Encoding: chunked', 'HTTP/1.1 200 OK'),
        ('HTTP/1.0', '', 'HTTP/1.0 200 OK'),
        ('no content', '', 'HTTP/1.1 204 No Content'),
        ('interim head', '', f'{_INTERIM}HTTP/1.1 200 OK'),
    )
    for missing in (1, 2, 6)
}
"""Answers of servers that stop in the middle of their heads.

Of an empty line, its line feed, the whole, or also the end of the field before
it are missing.
"""

EXCEEDED_LENGTHS = {
    'length that is too small': raw_answers.RawAnswer('Content-Length: 3'),
    'length of zero': raw_answers.RawAnswer('Content-Length: 0'),
}
"""Answers that are broken off in their bodies."""

BROKEN_CODINGS = {
    name: answer
    for name, answer in BROKEN_HEADS.items()
    if answer.body == 'chunks'
}
"""Answers that hold sizes of chunks."""
