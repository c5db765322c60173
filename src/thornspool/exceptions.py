"""Base class of all errors; each layer derives its own base class from it."""

from __future__ import annotations


class ThornspoolError(Exception):
    """Base class of every error that this project raises itself.

    Parameters
    ----------
    message : str
        Description of the failure in one sentence.
    hint : str, optional
        Suggested remedy, appended to the message.
    """

    def __init__(self, message: str, hint: str = '') -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint

    def __str__(self) -> str:
        if not self.hint:
            return self.message
        return f'{self.message} {self.hint}'
