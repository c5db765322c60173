"""Checks of JSON files against a schema, with errors a person can act on."""

from __future__ import annotations

import json
import typing

import jsonschema

from thornspool.domain.configuration import problems

if typing.TYPE_CHECKING:
    import pathlib

    from jsonschema import exceptions as schema_exceptions


Json = typing.Any
"""A decoded JSON value."""


class _RepeatedName(ValueError):
    """A JSON object names a member twice."""


class _NotJson(ValueError):
    """The text holds NaN or an infinity, which Python's reader takes."""


def read_json(
    path: pathlib.Path,
) -> tuple[Json, tuple[problems.Problem, ...]]:
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
        text = path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        remedy = f'Name a file in UTF-8 that may be read ({error}).'
        return None, (_report(path, 'unreadable', remedy),)
    return parse_json(str(path), text)


def parse_json(
    file: str, text: str
) -> tuple[Json, tuple[problems.Problem, ...]]:
    """Decode JSON text and refuse members that stand twice.

    Decoders keep the last of two members with one name, so that the first
    would be without effect and nobody would be told.

    Parameters
    ----------
    file : str
        Path of the file, for the messages.
    text : str
        What it holds.

    Returns
    -------
    tuple
        The value and no problem, or None and the problem.
    """
    try:
        value = json.loads(
            text,
            object_pairs_hook=_build_object,
            parse_constant=_refuse_constant,
        )
    except _RepeatedName as error:
        remedy = f'Keep one of the members named "{error}".'
        return None, (_report(file, 'repeated-member', remedy),)
    except _NotJson as error:
        remedy = f'Write a number; {error} is not JSON.'
        return None, (_report(file, 'json', remedy),)
    except json.JSONDecodeError as error:
        remedy = (
            f'Write JSON; line {error.lineno}, column {error.colno} is not '
            f'JSON: {error.msg}.'
        )
        return None, (_report(file, 'json', remedy),)
    return value, ()


def find_problems(
    file: str, value: Json, schema: dict[str, typing.Any]
) -> tuple[problems.Problem, ...]:
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
        problems.Problem(
            '',
            error.json_path,
            'schema',
            f'{_hint_for(error)} ({error.message})',
            file,
        )
        for error in errors
    )


def _build_object(pairs: list[tuple[str, Json]]) -> dict[str, Json]:
    built: dict[str, Json] = {}
    for name, value in pairs:
        if name in built:
            raise _RepeatedName(name)
        built[name] = value
    return built


def _refuse_constant(name: str) -> typing.NoReturn:
    """Refuse NaN, which no bound of a schema would refuse."""
    raise _NotJson(name)


def _report(
    file: str | pathlib.Path, rule: str, remedy: str
) -> problems.Problem:
    return problems.Problem('', '$', rule, remedy, str(file))


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
