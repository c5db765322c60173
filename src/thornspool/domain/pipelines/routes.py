"""Routes: the ordered stages that run one attempt of a request."""

from __future__ import annotations

import attrs


@attrs.frozen
class RouteStage:
    """One stage of a route.

    Attributes
    ----------
    target : str
        Name of the target.
    url : str
        ``http://ip:port`` of the target.
    first_layer, end_layer : int
        Range of its layers; the end is one past the last.
    failure_domain : str
        Failure domain of the target.
    """

    target: str
    url: str
    first_layer: int
    end_layer: int
    failure_domain: str


@attrs.frozen
class Route:
    """Stages whose layer ranges cover a model once, in order.

    Attributes
    ----------
    stages : tuple of RouteStage
        The stages in the order of their layers.
    cost_ms : float
        Expected time of one token through the route and back to the first
        stage, in milliseconds.
    """

    stages: tuple[RouteStage, ...]
    cost_ms: float = 0.0

    def list_targets(self) -> tuple[str, ...]:
        """Return the names of the targets in order."""
        return tuple(stage.target for stage in self.stages)

    def build_receipts(self) -> list[tuple[int, int, str]]:
        """Return the receipts that each token of this route must have."""
        return [
            (stage.first_layer, stage.end_layer, stage.target)
            for stage in self.stages
        ]

    def list_links(self) -> tuple[tuple[str, str], ...]:
        """Return the links that a token uses, including the one back.

        Returns
        -------
        tuple of (str, str)
            Pairs of failure domains, one for each stage.
        """
        domains = [stage.failure_domain for stage in self.stages]
        following = domains[1:] + domains[:1]
        return tuple(zip(domains, following, strict=True))

    def covers(self, layers: int) -> bool:
        """Return whether every layer is covered once and in order."""
        boundary = 0
        for stage in self.stages:
            if stage.first_layer != boundary:
                return False
            if stage.end_layer <= boundary:
                return False
            boundary = stage.end_layer
        return boundary == layers
