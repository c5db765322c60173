"""The documents that operators publish, as typed data.

A document is addressed by its kind and its name. Names are unique within a
kind. The shapes here are what the rest of the program reads; checking files
against the schema is the work of other modules of this package.
"""

from __future__ import annotations

import enum

import attrs


class Fencing(enum.Enum):
    """What a target does with an order that carries an old fencing token."""

    REFUSES = 'refuses'
    IGNORES = 'ignores'


class TargetKind(enum.Enum):
    """What a target serves."""

    ENGINE = 'engine'
    SERVICE = 'service'


@attrs.frozen
class Limits:
    """Limits of a workspace across all entries; None stands for no limit.

    Attributes
    ----------
    requests_per_s : float or None
        Accepted requests in a second.
    tokens_per_s : float or None
        Generated tokens in a second.
    concurrency : int or None
        Requests in flight at once.
    """

    requests_per_s: float | None = None
    tokens_per_s: float | None = None
    concurrency: int | None = None


@attrs.frozen
class Objective:
    """Service-level objective; a latency of None is not part of it.

    Attributes
    ----------
    availability : float
        Share of requests that must succeed, over 0 and under 1.
    first_token_ms : int or None
        Bound on the time to the first token.
    between_tokens_ms : int or None
        Bound on the time between two tokens.
    latency_ms : int or None
        Bound on the whole answer of a call to a plain service.
    latency_share : float
        Share of requests that must keep the latency bounds.
    """

    availability: float = 0.999
    first_token_ms: int | None = None
    between_tokens_ms: int | None = None
    latency_ms: int | None = None
    latency_share: float = 0.95


@attrs.frozen
class Workspace:
    """A customer's space: what it may use and how much.

    Attributes
    ----------
    name : str
        Unique name.
    models : tuple of str
        Names of the models that it may use.
    limits : Limits
        Limits across all entries.
    objective : Objective
        Objective of its model requests.
    """

    name: str
    models: tuple[str, ...] = ()
    limits: Limits = Limits()
    objective: Objective = Objective()


@attrs.frozen
class Operation:
    """One operation of a plain service.

    Attributes
    ----------
    name : str
        Unique within the service.
    idempotent : bool
        Whether a call may be repeated.
    timeout_ms : int
        Longest time for the whole answer.
    deduplicates : bool
        Whether the service itself runs a key at most once, so that sending
        a key again is safe when an outcome is unknown.
    """

    name: str
    idempotent: bool
    timeout_ms: int = 2000
    deduplicates: bool = False


@attrs.frozen
class Service:
    """A plain service of one workspace.

    Attributes
    ----------
    name : str
        Unique name.
    workspace : str
        Workspace that may call it.
    targets : tuple of str
        Names of the targets that serve it.
    operations : tuple of Operation
        What can be called.
    objective : Objective
        Objective of its calls.
    """

    name: str
    workspace: str
    targets: tuple[str, ...]
    operations: tuple[Operation, ...]
    objective: Objective = Objective()

    def find_operation(self, name: str) -> Operation | None:
        """Return an operation by name."""
        for operation in self.operations:
            if operation.name == name:
                return operation
        return None


@attrs.frozen
class Stage:
    """A range of a model's layers held by one target.

    Attributes
    ----------
    target : str
        Name of the target.
    first_layer : int
        First layer of the range.
    end_layer : int
        One past the last layer of the range.
    """

    target: str
    first_layer: int
    end_layer: int


@attrs.frozen
class Model:
    """A model and the targets that hold its layers.

    Attributes
    ----------
    name : str
        Unique name.
    version : str
        Version of the weights; stages of two versions never mix.
    layers : int
        Number of layers.
    stages : tuple of Stage
        Which target holds which layers; ranges may be held many times.
    adapter : str
        Name of the adapter, empty for none.
    """

    name: str
    version: str
    layers: int
    stages: tuple[Stage, ...]
    adapter: str = ''


@attrs.frozen
class Target:
    """Where work is sent: a model engine or a plain service.

    Attributes
    ----------
    name : str
        Unique name.
    kind : TargetKind
        Engine or service.
    host : str
        Host that it runs on.
    failure_domain : str
        Where the host stands.
    url : str
        ``http://ip:port``.
    accelerator : str
        Kind of accelerator of an engine, empty for a service.
    fencing : Fencing
        What it does with an old fencing token.
    leaving : bool
        Set by an operator to give it no new work.
    """

    name: str
    kind: TargetKind
    host: str
    failure_domain: str
    url: str
    accelerator: str = ''
    fencing: Fencing = Fencing.IGNORES
    leaving: bool = False


Document = Workspace | Service | Model | Target


class DocumentKind(enum.Enum):
    """Kinds of documents, as service files name them."""

    WORKSPACE = 'workspace'
    SERVICE = 'service'
    MODEL = 'model'
    TARGET = 'target'


@attrs.frozen
class DocumentKey:
    """Address of a document.

    Attributes
    ----------
    kind : DocumentKind
        Kind of the document.
    name : str
        Name, unique within the kind.
    """

    kind: DocumentKind
    name: str

    def __str__(self) -> str:
        return f'{self.kind.value}/{self.name}'


DOCUMENT_TYPES: dict[DocumentKind, type[Document]] = {
    DocumentKind.WORKSPACE: Workspace,
    DocumentKind.SERVICE: Service,
    DocumentKind.MODEL: Model,
    DocumentKind.TARGET: Target,
}
_KINDS = {kind_type: kind for kind, kind_type in DOCUMENT_TYPES.items()}


def identify(document: Document) -> DocumentKey:
    """Return the address of a document."""
    return DocumentKey(_KINDS[type(document)], document.name)


@attrs.frozen
class Snapshot:
    """One version of the whole configuration.

    Attributes
    ----------
    version : int
        Version of the head that accepted it; 0 before any publication.
    workspaces, services, models, targets : dict of str to document
        The documents by name; never changed in place.
    """

    version: int = 0
    workspaces: dict[str, Workspace] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    models: dict[str, Model] = attrs.field(factory=dict)
    targets: dict[str, Target] = attrs.field(factory=dict)
