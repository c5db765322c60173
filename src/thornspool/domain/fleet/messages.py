"""Engines, plain servers and the model that engines share by layers."""

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
        """Return whether this range includes every layer of another one."""
        return self.first <= other.first and other.end <= self.end


@attrs.frozen
class Server:
    """One instance of a service: a model engine or a plain server.

    Attributes
    ----------
    id : str
        Name of the instance in the list of servers.
    service : str
        Service of the instance.
    address : str
        ``ip:port``.
    failure_domain : str
        Failure domain of the instance.
    slots : int
        Maximum number of concurrent requests.
    draining : bool
        Whether the instance has announced that it will stop.
    started_at : int or None
        Unix milliseconds of its start, which distinguish two starts under
        one id.
    kind : str
        Kind of accelerator; empty for a plain server.
    layers : LayerRange or None
        Layers that it has loaded; None while it has none.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    started_at: int | None = None
    kind: str = ''
    layers: LayerRange | None = None


@attrs.frozen
class Accelerator:
    """A kind of accelerator.

    Attributes
    ----------
    memory_mb : float
        Megabytes of memory for layers and requests together.
    step_factor : float
        Duration of a decoding step, relative to the fastest kind.
    read_factor : float
        Duration of reading a prompt, relative to the fastest kind.
    """

    memory_mb: float
    step_factor: float
    read_factor: float


@attrs.frozen
class Model:
    """Memory sizes and speeds of a model that engines share by layers.

    Attributes
    ----------
    layers : int
        Number of layers.
    layer_mb : float
        Megabytes of weights per layer.
    token_bytes : float
        Bytes of cache per token over all layers.
    step_ms : float
        Milliseconds of one decoding step over all layers.
    per_sequence_ms : float
        Milliseconds that each running request adds to a step.
    read_per_s : float
        Prompt tokens per second over all layers.
    load_s : float
        Seconds to load all layers.
    usual_prompt, usual_answer : float
        Mean number of tokens of the prompt and the answer of a request.
    accelerators : dict of str to Accelerator
        Accelerators by kind.
    activation_bytes : float
        Bytes that one engine sends to the next one per token.
    pipe_mbps : float
        Bandwidth of the link between two failure domains in megabits per
        second, which all requests share; 0 for unknown.
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
        """Megabytes of cache per token and layer."""
        return self.token_bytes / self.layers / BYTES_PER_MB

    def compute_free_capacity(self, kind: str, held: int) -> float:
        """Compute the memory that loaded layers leave for requests.

        Parameters
        ----------
        kind : str
            Kind of accelerator.
        held : int
            Number of loaded layers.

        Returns
        -------
        float
            Token-layers (tokens times layers); 0 for an unknown kind.
        """
        accelerator = self.accelerators.get(kind)
        if accelerator is None:
            return 0.0
        free_mb = accelerator.memory_mb - held * self.layer_mb
        return max(0.0, free_mb / self.layer_token_mb)
