"""Checks of JSON files against a schema, with errors a person can act on."""

from __future__ import annotations

import typing

import attrs
import jsonschema
import msgspec

if typing.TYPE_CHECKING:
    import pathlib

    from jsonschema import exceptions as schema_exceptions


@attrs.frozen
class Problem:
    """One thing wrong in a file.

    Attributes
    ----------
    file : str
        Path of the file.
    path : str
        Place in the file, JSONPath, ``$`` for the whole.
    rule : str
        What was expected and what was found.
    hint : str
        What to write instead.
    """

    file: str
    path: str
    rule: str
    hint: str

    def __str__(self) -> str:
        return f'{self.file}: {self.path}: {self.rule}. {self.hint}'


def read_json(path: pathlib.Path) -> tuple[typing.Any, tuple[Problem, ...]]:
    """Read a JSON file.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    tuple
        The value and no problem, or None and the problem.
    """
    try:
        return msgspec.json.decode(path.read_bytes()), ()
    except OSError as error:
        hint = 'Name a file that exists and may be read.'
        return None, (Problem(str(path), '$', str(error), hint),)
    except msgspec.DecodeError as error:
        hint = 'Write one JSON value, without comments.'
        rule = f'not JSON: {error}'
        return None, (Problem(str(path), '$', rule, hint),)


def find_problems(
    file: str, value: typing.Any, schema: dict[str, typing.Any]
) -> tuple[Problem, ...]:
    """Check a value against a schema and describe every error.

    Parameters
    ----------
    file : str
        Path of the file, for the messages.
    value : object
        The decoded JSON value.
    schema : dict
        JSON Schema, draft 2020-12.

    Returns
    -------
    tuple of Problem
        All problems, in the order of their place in the file.
    """
    validator = jsonschema.Draft202012Validator(schema)
    errors = sorted(validator.iter_errors(value), key=lambda e: e.json_path)
    return tuple(
        Problem(file, error.json_path, error.message, _hint_for(error))
        for error in errors
    )


def _hint_for(error: schema_exceptions.ValidationError) -> str:
    """Say what to write instead."""
    schema = error.schema if isinstance(error.schema, dict) else {}
    description = schema.get('description', '')
    match error.validator:
        case 'enum':
            allowed = ', '.join(str(value) for value in error.validator_value)
            return f'Write one of: {allowed}.'
        case 'required':
            return f'Add it. {description}'.strip()
        case 'additionalProperties':
            known = ', '.join(sorted(schema.get('properties', {})))
            return f'Remove it or write one of: {known}.'
        case 'pattern':
            form = f'Write text of the form {error.validator_value}.'
            return f'{form} {description}'.strip()
        case 'type':
            return f'Write a value of type {error.validator_value}.'
        case _:
            return description or 'See the schema for what is allowed.'
