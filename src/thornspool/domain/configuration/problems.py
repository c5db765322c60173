"""Problems in files and publications, with location and remedy."""

from __future__ import annotations

import attrs


@attrs.frozen
class Problem:
    """A violation of one rule.

    Attributes
    ----------
    document : str
        ``kind/name`` key of the document; empty if it has none, as in a
        settings file.
    path : str
        JSONPath of the violation, ``$`` for the whole value; relative to the
        file if there is one, otherwise to the document.
    rule : str
        Name of the rule.
    remedy : str
        Instruction for correcting it, as a sentence.
    file : str
        Path of the file; empty if the document has no file.
    """

    document: str
    path: str
    rule: str
    remedy: str
    file: str = ''

    def __str__(self) -> str:
        location = self.file or self.document
        return f'{location}: {self.path}: {self.rule}: {self.remedy}'
