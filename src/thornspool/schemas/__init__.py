"""JSON Schemas shipped with the program."""

from __future__ import annotations

import importlib.resources
import typing

import msgspec


def read_schema(name: str) -> dict[str, typing.Any]:
    """Read a shipped JSON Schema.

    Parameters
    ----------
    name : str
        Name of the schema without its ending, for instance ``settings``.

    Returns
    -------
    dict
        The schema.
    """
    file = importlib.resources.files(__name__).joinpath(f'{name}.json')
    schema: dict[str, typing.Any] = msgspec.json.decode(file.read_bytes())
    return schema
