"""Service files: from JSON text to documents, with every error at once."""

from __future__ import annotations

import enum
import functools
import re
import typing

import attrs
import msgspec

from thornspool import schemas
from thornspool import validation
from thornspool.domain.configuration import documents
from thornspool.domain.configuration import problems

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

_SCHEMA = 'service-file'
_PLACE = re.compile(r' - at `(?P<place>.*)`$')


@attrs.frozen
class SourceFile:
    """A service file as it was read.

    Attributes
    ----------
    path : str
        Where it was found, for messages.
    text : str
        Its JSON text.
    """

    path: str
    text: str


@attrs.frozen
class Origin:
    """Where a document stands.

    Attributes
    ----------
    file : str
        File that holds it.
    path : str
        JSONPath of it within the file, ``$`` for the whole file.
    """

    file: str
    path: str


@attrs.frozen
class Collection:
    """What a set of service files says.

    Attributes
    ----------
    documents : tuple of Document
        The documents that keep the schema.
    raw : tuple of dict
        The same documents as JSON values, to send on.
    origins : dict of str to Origin
        Where each ``kind/name`` stands.
    problems : tuple of Problem
        Every broken rule of the schema.
    """

    documents: tuple[documents.Document, ...]
    raw: tuple[validation.Json, ...]
    origins: dict[str, Origin]
    problems: tuple[problems.Problem, ...]


@attrs.define
class _Collecting:
    """What was collected so far."""

    documents: list[documents.Document] = attrs.field(factory=list)
    raw: list[validation.Json] = attrs.field(factory=list)
    origins: dict[str, Origin] = attrs.field(factory=dict)
    problems: list[problems.Problem] = attrs.field(factory=list)

    def freeze(self) -> Collection:
        return Collection(
            tuple(self.documents),
            tuple(self.raw),
            self.origins,
            tuple(self.problems),
        )


def collect_documents(files: Iterable[SourceFile]) -> Collection:
    """Read service files and check each document against the schema.

    Parameters
    ----------
    files : iterable of SourceFile
        The files, in the order in which problems are to be reported.
    """
    collecting = _Collecting()
    for file in files:
        value, found = validation.parse_json(file.path, file.text)
        if found:
            collecting.problems.extend(found)
            continue
        _add_value(collecting, file.path, value)
    return collecting.freeze()


def read_documents(value: validation.Json) -> Collection:
    """Check documents that arrive decoded, as in a publication's body.

    Parameters
    ----------
    value : JSON value
        One document or a list of documents.
    """
    collecting = _Collecting()
    _add_value(collecting, '', value)
    return collecting.freeze()


def write_document(document: documents.Document) -> dict[str, typing.Any]:
    """Return a document as a service file holds it, without defaults."""
    kind = documents.identify(document).kind.value
    value: dict[str, typing.Any] = attrs.asdict(
        document, filter=_is_given, value_serializer=_serialize
    )
    if isinstance(document, documents.Target):
        value['serves'] = value.pop('kind')
    return {'kind': kind, **value}


def locate_problem(
    problem: problems.Problem, origins: dict[str, Origin]
) -> problems.Problem:
    """Add the file and the path within it, if the document has a file."""
    origin = origins.get(problem.document)
    is_placed = problem.file or problem.path.startswith('$[')
    if origin is None or is_placed:
        return problem
    return attrs.evolve(
        problem,
        file=origin.file,
        path=_join_paths(origin.path, problem.path),
    )


def _is_given(attribute: attrs.Attribute[typing.Any], value: object) -> bool:
    """Tell whether a value differs from what stands for its absence."""
    factory = getattr(attribute.default, 'factory', None)
    return bool(value != (factory() if factory else attribute.default))


def _serialize(_instance: object, _attribute: object, value: object) -> object:
    if isinstance(value, enum.Enum):
        return value.value
    return list(value) if isinstance(value, tuple) else value


def _add_value(
    collecting: _Collecting, file: str, value: validation.Json
) -> None:
    if not isinstance(value, list):
        _add_document(collecting, Origin(file, '$'), value)
        return
    for index, item in enumerate(value):
        _add_document(collecting, Origin(file, f'$[{index}]'), item)


def _add_document(
    collecting: _Collecting, origin: Origin, value: validation.Json
) -> None:
    address = _read_address(value)
    found = _check_schema(origin, address, value)
    if found:
        collecting.problems.extend(found)
        return
    document = _convert(value)
    if isinstance(document, msgspec.ValidationError):
        collecting.problems.append(_report_type(origin, address, document))
        return
    first = collecting.origins.get(address)
    if first is not None:
        collecting.problems.append(_report_duplicate(origin, address, first))
        return
    collecting.origins[address] = origin
    collecting.documents.append(document)
    collecting.raw.append(value)


def _read_address(value: validation.Json) -> str:
    if not isinstance(value, dict) or not value.get('name'):
        return ''
    return f'{value.get("kind")}/{value["name"]}'


def _convert(
    value: dict[str, validation.Json],
) -> documents.Document | msgspec.ValidationError:
    """Turn a document that keeps the schema into its type.

    A target's own kind stands under "serves" in files, since "kind" tells
    the kind of document there. JSON Schema takes 2.0 for an integer and
    the typed documents do not, so an error is still possible.
    """
    kind = documents.DocumentKind(value['kind'])
    fields = {name: item for name, item in value.items() if name != 'kind'}
    if kind is documents.DocumentKind.TARGET:
        fields['kind'] = fields.pop('serves')
    try:
        return msgspec.convert(fields, documents.DOCUMENT_TYPES[kind])
    except msgspec.ValidationError as error:
        return error


def _check_schema(
    origin: Origin, address: str, value: validation.Json
) -> list[problems.Problem]:
    kind = value.get('kind') if isinstance(value, dict) else None
    found = validation.find_problems(
        origin.file, value, _choose_schema(str(kind))
    )
    return [
        attrs.evolve(
            one, document=address, path=_join_paths(origin.path, one.path)
        )
        for one in found
    ]


@functools.cache
def _choose_schema(kind: str) -> dict[str, validation.Json]:
    """Return the schema of one kind, so that its errors name the place."""
    definitions = schemas.read_schema(_SCHEMA)['$defs']
    if kind in [one.value for one in documents.DocumentKind]:
        return {'$ref': f'#/$defs/{kind}', '$defs': definitions}
    document = definitions['document']
    return {part: document[part] for part in document if part != 'oneOf'}


def _join_paths(outer: str, inner: str) -> str:
    return f'{outer}{inner.removeprefix("$")}'


def _report_type(
    origin: Origin, address: str, error: msgspec.ValidationError
) -> problems.Problem:
    place = _PLACE.search(str(error))
    return problems.Problem(
        address,
        _join_paths(origin.path, place['place'] if place else '$'),
        'schema',
        f'Write a value of the right type ({error}).',
        origin.file,
    )


def _report_duplicate(
    origin: Origin, address: str, first: Origin
) -> problems.Problem:
    return problems.Problem(
        address,
        origin.path,
        'duplicate-document',
        'Give it another name or remove it; the name is taken by '
        f'{first.file} {first.path}.',
        origin.file,
    )
