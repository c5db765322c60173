"""Engines, plain servers and the shape of the model they share."""

from __future__ import annotations

import attrs

BYTES_PER_MB = 1_000_000.0


@attrs.frozen(order=True)
class LayerRange:
    """Consecutive layers of a model.

    Attributes
    ----------
    first : int
        First layer, counted from 0.
    end : int
        One past the last layer.
    """

    first: int
    end: int

    @property
    def count(self) -> int:
        """Number of layers."""
        return self.end - self.first

    def contains(self, other: LayerRange) -> bool:
        """Tell whether every layer of another range is in this one."""
        return self.first <= other.first and other.end <= self.end


@attrs.frozen
class Server:
    """One instance of a service: a model engine or a plain server.

    Attributes
    ----------
    id : str
        Name of this instance in the list of servers.
    service : str
        Service that it belongs to.
    address : str
        ``ip:port``.
    failure_domain : str
        Where it stands.
    slots : int
        Requests that it runs at once.
    draining : bool
        Whether it has announced that it will end.
    born : int or None
        Unix milliseconds of its start; tells two starts under one id apart.
    kind : str
        Kind of accelerator; empty for a plain server.
    layers : LayerRange or None
        Layers that it holds; None while it is empty.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    born: int | None = None
    kind: str = ''
    layers: LayerRange | None = None


@attrs.frozen
class Accelerator:
    """A kind of accelerator.

    Attributes
    ----------
    memory_mb : float
        Memory for layers and requests together.
    step_factor : float
        Times that a decoding step takes longer than on the fastest kind.
    read_factor : float
        The same for reading a prompt.
    """

    memory_mb: float
    step_factor: float
    read_factor: float


@attrs.frozen
class Model:
    """Sizes and speeds of a model that engines share by layers.

    Attributes
    ----------
    layers : int
        Number of layers.
    layer_mb : float
        Megabytes of weights a layer.
    token_bytes : float
        Bytes of cache that one token takes over all layers.
    step_ms : float
        Milliseconds of one decoding step over all layers.
    per_sequence_ms : float
        Milliseconds that each running request adds to a step.
    read_per_s : float
        Prompt tokens read a second over all layers.
    load_s : float
        Seconds to load all layers.
    usual_prompt, usual_answer : float
        Mean tokens of a request.
    accelerators : dict of str to Accelerator
        By kind.
    activation_bytes : float
        Bytes that one token hands from one engine to the next.
    pipe_mbps : float
        Megabits a second of the link between two failure domains, which
        all requests share; 0 for unknown.
    """

    layers: int
    layer_mb: float
    token_bytes: float
    step_ms: float
    per_sequence_ms: float
    read_per_s: float
    load_s: float
    usual_prompt: float
    usual_answer: float
    accelerators: dict[str, Accelerator]
    activation_bytes: float = 0.0
    pipe_mbps: float = 0.0

    @property
    def layer_token_mb(self) -> float:
        """Megabytes of cache that one token takes in one layer."""
        return self.token_bytes / self.layers / BYTES_PER_MB

    def compute_room(self, kind: str, held: int) -> float:
        """Compute the room for requests beside held layers.

        Parameters
        ----------
        kind : str
            Kind of accelerator.
        held : int
            Layers held.

        Returns
        -------
        float
            Tokens times layers; 0 for a kind that is not known.
        """
        accelerator = self.accelerators.get(kind)
        if accelerator is None:
            return 0.0
        free = accelerator.memory_mb - held * self.layer_mb
        return max(0.0, free / self.layer_token_mb)
