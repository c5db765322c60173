"""Root of the tree of errors; each layer derives its own branch."""

from __future__ import annotations


class ThornspoolError(Exception):
    """Base of every error that this project raises on purpose.

    Parameters
    ----------
    message : str
        What went wrong, in one sentence.
    hint : str, optional
        What the reader can do next.
    """

    def __init__(self, message: str, hint: str = '') -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint

    def __str__(self) -> str:
        if not self.hint:
            return self.message
        return f'{self.message} {self.hint}'
