"""``GET /metrics`` for metrics collectors."""

from __future__ import annotations

import typing

from tornado import web

if typing.TYPE_CHECKING:
    from thornspool import metrics as metrics_module


class MetricsHandler(web.RequestHandler):
    """Responds with all metrics.

    No token is required, because collectors scrape by address and the
    metrics contain no secrets.
    """

    def initialize(self, metrics: metrics_module.Metrics) -> None:
        """Set the metrics."""
        self._metrics = metrics

    def get(self) -> None:
        """Respond with the rendered metrics."""
        accepts = tuple(self.request.headers.get_list('Accept'))
        body, content_type = self._metrics.render(accepts)
        self.set_header('Content-Type', content_type)
        self.finish(body)


def make_route(
    metrics: metrics_module.Metrics,
) -> tuple[str, type[web.RequestHandler], dict[str, typing.Any]]:
    """Return the tornado route of the metrics."""
    return ('/metrics', MetricsHandler, {'metrics': metrics})
