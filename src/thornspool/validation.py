"""Validation of JSON files against a schema, with a remedy per problem."""

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


class _DuplicateName(ValueError):
    """A JSON object has two members of the same name."""


class _NonJsonConstant(ValueError):
    """The text has NaN or Infinity, which Python's decoder accepts."""


def read_json(
    path: pathlib.Path,
) -> tuple[Json, tuple[problems.Problem, ...]]:
    """Read a JSON file.

    Parameters
    ----------
    path : pathlib.Path
        Path of the file.

    Returns
    -------
    tuple of object and tuple of problems.Problem
        The decoded value and no problem, or None and the problem.
    """
    try:
        text = path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        remedy = f'Specify a readable file in UTF-8 ({error}).'
        return None, (_build_problem(path, 'unreadable', remedy),)
    return parse_json(str(path), text)


def parse_json(
    file: str, text: str
) -> tuple[Json, tuple[problems.Problem, ...]]:
    """Decode JSON text and reject duplicate member names.

    Python's decoder keeps the last of two members of the same name, so the
    first would silently have no effect.

    Parameters
    ----------
    file : str
        Path of the file, for the messages.
    text : str
        Content of the file.

    Returns
    -------
    tuple of object and tuple of problems.Problem
        The decoded value and no problem, or None and the problem.
    """
    try:
        value = json.loads(
            text,
            object_pairs_hook=_build_object,
            parse_constant=_reject_constant,
        )
    except _DuplicateName as error:
        remedy = f'Keep one of the members named "{error}".'
        return None, (_build_problem(file, 'repeated-member', remedy),)
    except _NonJsonConstant as error:
        remedy = f'Write a number; {error} is not JSON.'
        return None, (_build_problem(file, 'json', remedy),)
    except json.JSONDecodeError as error:
        remedy = (
            f'Write JSON; line {error.lineno}, column {error.colno} is not '
            f'JSON: {error.msg}.'
        )
        return None, (_build_problem(file, 'json', remedy),)
    return value, ()


def find_problems(
    file: str, value: Json, schema: dict[str, typing.Any]
) -> tuple[problems.Problem, ...]:
    """Validate a value against a schema and describe every violation.

    Parameters
    ----------
    file : str
        Path of the file, for the messages.
    value : object
        Decoded JSON value.
    schema : dict
        JSON Schema, draft 2020-12.

    Returns
    -------
    tuple of problems.Problem
        All problems, sorted by their JSONPath.
    """
    validator = jsonschema.Draft202012Validator(schema)
    errors = sorted(
        validator.iter_errors(value), key=lambda error: error.json_path
    )
    return tuple(
        problems.Problem(
            '',
            error.json_path,
            'schema',
            f'{_describe_remedy(error)} ({error.message})',
            file,
        )
        for error in errors
    )


def _build_object(pairs: list[tuple[str, Json]]) -> dict[str, Json]:
    members: dict[str, Json] = {}
    for name, value in pairs:
        if name in members:
            raise _DuplicateName(name)
        members[name] = value
    return members


def _reject_constant(name: str) -> typing.NoReturn:
    """Reject NaN, which satisfies every numeric bound of a schema."""
    raise _NonJsonConstant(name)


def _build_problem(
    file: str | pathlib.Path, rule: str, remedy: str
) -> problems.Problem:
    return problems.Problem('', '$', rule, remedy, str(file))


def _describe_remedy(error: schema_exceptions.ValidationError) -> str:
    """Return the remedy for a violation of the schema."""
    schema = error.schema if isinstance(error.schema, dict) else {}
    description = schema.get('description', '')
    match error.validator:
        case 'enum':
            allowed = ', '.join(str(value) for value in error.validator_value)
            return f'Write one of: {allowed}.'
        case 'required':
            return f'Add it. {description}'.strip()
        case 'additionalProperties':
            allowed = ', '.join(sorted(schema.get('properties', {})))
            return f'Remove it or write one of: {allowed}.'
        case 'pattern':
            remedy = f'Write text of the form {error.validator_value}.'
            return f'{remedy} {description}'.strip()
        case 'type':
            return f'Write a value of type {error.validator_value}.'
        case _:
            return description or 'See the schema for what is allowed.'
