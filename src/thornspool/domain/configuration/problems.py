"""What is wrong in a file or a publication, where, and what to write."""

from __future__ import annotations

import attrs


@attrs.frozen
class Problem:
    """One broken rule.

    Attributes
    ----------
    document : str
        ``kind/name`` of the document; empty if it has no such address, as
        in a settings file.
    path : str
        JSONPath of the place within the document, ``$`` for the whole;
        within the file, if there is one.
    rule : str
        Name of the rule.
    remedy : str
        What to write instead, as a sentence.
    file : str
        File that holds the document; empty if it came without one.
    """

    document: str
    path: str
    rule: str
    remedy: str
    file: str = ''

    def __str__(self) -> str:
        place = self.file or self.document
        return f'{place}: {self.path}: {self.rule}: {self.remedy}'
