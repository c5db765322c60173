"""JSON Schemas that are installed with the package."""

from __future__ import annotations

import importlib.resources
import typing

import msgspec


def read_schema(name: str) -> dict[str, typing.Any]:
    """Read a JSON Schema of the package.

    Parameters
    ----------
    name : str
        File name of the schema without its extension, such as ``settings``.

    Returns
    -------
    dict
        The decoded schema.
    """
    file = importlib.resources.files(__name__).joinpath(f'{name}.json')
    schema: dict[str, typing.Any] = msgspec.json.decode(file.read_bytes())
    return schema
