"""Parsing of service files into documents.

All errors of a set of files are collected rather than only the first one.
"""

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
_ERROR_PATH = re.compile(r' - at `(?P<path>.*)`$')


@attrs.frozen
class SourceFile:
    """Path and text of a service file.

    Attributes
    ----------
    path : str
        Path of the file, used in error messages.
    text : str
        JSON text of the file.
    """

    path: str
    text: str


@attrs.frozen
class Origin:
    """Location of a document in a service file.

    Attributes
    ----------
    file : str
        Path of the file.
    path : str
        JSONPath of the document in the file; ``$`` for the whole file.
    """

    file: str
    path: str


@attrs.frozen
class CollectedDocuments:
    """Documents and problems of a set of service files.

    Attributes
    ----------
    documents : tuple of Document
        Documents that conform to the schema.
    raw : tuple of dict
        The same documents as JSON values, to be sent in a publication.
    origins : dict of str to Origin
        Location of each document by its ``kind/name`` key.
    problems : tuple of Problem
        All violations of the schema.
    """

    documents: tuple[documents.Document, ...]
    raw: tuple[validation.Json, ...]
    origins: dict[str, Origin]
    problems: tuple[problems.Problem, ...]


@attrs.define
class _CollectionBuilder:
    """Mutable state while documents are collected."""

    documents: list[documents.Document] = attrs.field(factory=list)
    raw: list[validation.Json] = attrs.field(factory=list)
    origins: dict[str, Origin] = attrs.field(factory=dict)
    problems: list[problems.Problem] = attrs.field(factory=list)

    def build(self) -> CollectedDocuments:
        return CollectedDocuments(
            tuple(self.documents),
            tuple(self.raw),
            self.origins,
            tuple(self.problems),
        )


def collect_documents(files: Iterable[SourceFile]) -> CollectedDocuments:
    """Read service files and check each document against the schema.

    Parameters
    ----------
    files : iterable of SourceFile
        Files in the order in which their problems are reported.

    Returns
    -------
    Collection
        Valid documents and all problems of the files.
    """
    builder = _CollectionBuilder()
    for file in files:
        value, found = validation.parse_json(file.path, file.text)
        if found:
            builder.problems.extend(found)
            continue
        _add_value(builder, file.path, value)
    return builder.build()


def parse_documents(value: validation.Json) -> CollectedDocuments:
    """Check decoded documents, such as those in a publication's body.

    Parameters
    ----------
    value : JSON value
        One document or a list of documents.

    Returns
    -------
    Collection
        Valid documents and all problems.
    """
    builder = _CollectionBuilder()
    _add_value(builder, '', value)
    return builder.build()


def serialize_document(document: documents.Document) -> dict[str, typing.Any]:
    """Return a document in the form of a service file, without defaults."""
    kind = documents.build_key(document).kind.value
    value: dict[str, typing.Any] = attrs.asdict(
        document, filter=_differs_from_default, value_serializer=_serialize
    )
    if isinstance(document, documents.Target):
        value['serves'] = value.pop('kind')
    return {'kind': kind, **value}


def locate_problem(
    problem: problems.Problem, origins: dict[str, Origin]
) -> problems.Problem:
    """Add the file and the path in it if the document's origin is known."""
    origin = origins.get(problem.document)
    has_location = problem.file or problem.path.startswith('$[')
    if origin is None or has_location:
        return problem
    return attrs.evolve(
        problem,
        file=origin.file,
        path=_join_paths(origin.path, problem.path),
    )


def _differs_from_default(
    attribute: attrs.Attribute[typing.Any], value: object
) -> bool:
    """Return whether a value differs from its attribute's default."""
    factory = getattr(attribute.default, 'factory', None)
    return bool(value != (factory() if factory else attribute.default))


def _serialize(_instance: object, _attribute: object, value: object) -> object:
    if isinstance(value, enum.Enum):
        return value.value
    return list(value) if isinstance(value, tuple) else value


def _add_value(
    builder: _CollectionBuilder, file: str, value: validation.Json
) -> None:
    if not isinstance(value, list):
        _add_document(builder, Origin(file, '$'), value)
        return
    for index, item in enumerate(value):
        _add_document(builder, Origin(file, f'$[{index}]'), item)


def _add_document(
    builder: _CollectionBuilder, origin: Origin, value: validation.Json
) -> None:
    key = _read_key(value)
    found = _check_schema(origin, key, value)
    if found:
        builder.problems.extend(found)
        return
    document = _convert_document(value)
    if isinstance(document, msgspec.ValidationError):
        builder.problems.append(_report_type(origin, key, document))
        return
    first = builder.origins.get(key)
    if first is not None:
        builder.problems.append(_report_duplicate(origin, key, first))
        return
    builder.origins[key] = origin
    builder.documents.append(document)
    builder.raw.append(value)


def _read_key(value: validation.Json) -> str:
    if not isinstance(value, dict) or not value.get('name'):
        return ''
    return f'{value.get("kind")}/{value["name"]}'


def _convert_document(
    value: dict[str, validation.Json],
) -> documents.Document | msgspec.ValidationError:
    """Convert a document that conforms to the schema to its class.

    Files store a target's kind as "serves", since "kind" is the document
    kind there. JSON Schema accepts 2.0 as an integer and the document
    classes do not, so the conversion can still fail.
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
    origin: Origin, key: str, value: validation.Json
) -> list[problems.Problem]:
    kind = value.get('kind') if isinstance(value, dict) else None
    found = validation.find_problems(
        origin.file, value, _choose_schema(str(kind))
    )
    return [
        attrs.evolve(
            one, document=key, path=_join_paths(origin.path, one.path)
        )
        for one in found
    ]


@functools.cache
def _choose_schema(kind: str) -> dict[str, validation.Json]:
    """Return the schema of one document kind.

    Errors of the combined schema would not name the invalid member.
    """
    definitions = schemas.read_schema(_SCHEMA)['$defs']
    if kind in [one.value for one in documents.DocumentKind]:
        return {'$ref': f'#/$defs/{kind}', '$defs': definitions}
    document = definitions['document']
    return {part: document[part] for part in document if part != 'oneOf'}


def _join_paths(outer: str, inner: str) -> str:
    return f'{outer}{inner.removeprefix("$")}'


def _report_type(
    origin: Origin, key: str, error: msgspec.ValidationError
) -> problems.Problem:
    match = _ERROR_PATH.search(str(error))
    return problems.Problem(
        key,
        _join_paths(origin.path, match['path'] if match else '$'),
        'schema',
        f'Write a value of the right type ({error}).',
        origin.file,
    )


def _report_duplicate(
    origin: Origin, key: str, first: Origin
) -> problems.Problem:
    return problems.Problem(
        key,
        origin.path,
        'duplicate-document',
        'Give it another name or remove it; the name is already used by '
        f'{first.file} {first.path}.',
        origin.file,
    )
