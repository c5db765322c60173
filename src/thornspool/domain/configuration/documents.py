"""Typed documents that operators publish.

A document is identified by its kind and name; names are unique within a kind.
The ``files`` module checks service files against the schema, and the ``rules``
module checks references between documents.
"""

from __future__ import annotations

import enum

import attrs


class Fencing(enum.Enum):
    """How a target handles a request with an outdated fencing token."""

    REFUSES = 'refuses'
    IGNORES = 'ignores'


class TargetKind(enum.Enum):
    """Whether a target is a model engine or a plain service."""

    ENGINE = 'engine'
    SERVICE = 'service'


@attrs.frozen
class Limits:
    """Limits of a workspace across all entries; None means unlimited.

    Attributes
    ----------
    requests_per_s : float or None
        Accepted requests per second.
    tokens_per_s : float or None
        Generated tokens per second.
    concurrency : int or None
        Maximum number of in-flight requests.
    """

    requests_per_s: float | None = None
    tokens_per_s: float | None = None
    concurrency: int | None = None


@attrs.frozen
class Objective:
    """Service-level objective; a latency of None sets no bound.

    Attributes
    ----------
    availability : float
        Share of requests that must succeed, between 0 and 1, exclusive.
    first_token_ms : int or None
        Maximum time to the first token, in milliseconds.
    between_tokens_ms : int or None
        Maximum time between two tokens, in milliseconds.
    latency_ms : int or None
        Maximum time for a complete response of a plain service, in
        milliseconds.
    latency_share : float
        Share of requests that must meet the latency bounds.
    """

    availability: float = 0.999
    first_token_ms: int | None = None
    between_tokens_ms: int | None = None
    latency_ms: int | None = None
    latency_share: float = 0.95


@attrs.frozen
class Workspace:
    """A customer's workspace: allowed models, limits and objective.

    Attributes
    ----------
    name : str
        Unique name.
    models : tuple of str
        Names of the models that its requests may use.
    limits : Limits
        Limits across all entries.
    objective : Objective
        Service-level objective of its model requests.
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
        Whether a call may be retried.
    timeout_ms : int
        Timeout for the complete response, in milliseconds.
    deduplicates : bool
        Whether the service executes each idempotency key at most once, so
        that retrying a key is safe when the outcome is unknown.
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
        Names of the targets that run the service.
    operations : tuple of Operation
        Operations that can be called.
    objective : Objective
        Service-level objective of its calls.
    """

    name: str
    workspace: str
    targets: tuple[str, ...]
    operations: tuple[Operation, ...]
    objective: Objective = Objective()

    def find_operation(self, name: str) -> Operation | None:
        """Return the operation of a name, or None if there is none."""
        for operation in self.operations:
            if operation.name == name:
                return operation
        return None


@attrs.frozen
class Stage:
    """A range of a model's layers that one target holds.

    Attributes
    ----------
    target : str
        Name of the target.
    first_layer : int
        First layer of the range.
    end_layer : int
        Exclusive end of the range.
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
        Version of the weights; a path never combines two versions.
    layers : int
        Number of layers.
    stages : tuple of Stage
        Layer ranges of the targets; several targets may hold a range.
    adapter : str
        Name of the adapter; empty if there is none.
    """

    name: str
    version: str
    layers: int
    stages: tuple[Stage, ...]
    adapter: str = ''


@attrs.frozen
class Target:
    """A server that requests are sent to: an engine or a plain service.

    Attributes
    ----------
    name : str
        Unique name.
    kind : TargetKind
        Whether it is an engine or a plain service.
    host : str
        Name of the host that it runs on.
    failure_domain : str
        Failure domain of the host.
    url : str
        Address in the form ``http://ip:port``.
    accelerator : str
        Accelerator type of an engine; empty for a service.
    fencing : Fencing
        How it handles an outdated fencing token.
    leaving : bool
        Whether an operator drains it; it then receives no new requests.
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
    """Document kinds by the names that service files use."""

    WORKSPACE = 'workspace'
    SERVICE = 'service'
    MODEL = 'model'
    TARGET = 'target'


@attrs.frozen
class DocumentKey:
    """Key of a document.

    Attributes
    ----------
    kind : DocumentKind
        Kind of the document.
    name : str
        Name that is unique within the kind.
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


def build_key(document: Document) -> DocumentKey:
    """Return the key of a document."""
    return DocumentKey(_KINDS[type(document)], document.name)


@attrs.frozen
class Snapshot:
    """All documents of one version of the configuration.

    Attributes
    ----------
    version : int
        Version of the head; 0 before the first publication.
    workspaces, services, models, targets : dict of str to document
        Documents by name; never modified in place.
    """

    version: int = 0
    workspaces: dict[str, Workspace] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    models: dict[str, Model] = attrs.field(factory=dict)
    targets: dict[str, Target] = attrs.field(factory=dict)
