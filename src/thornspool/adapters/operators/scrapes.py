"""``GET /metrics`` for the collector of metrics."""

from __future__ import annotations

import typing

from tornado import web

if typing.TYPE_CHECKING:
    from thornspool import metrics as metrics_module


class MetricsHandler(web.RequestHandler):
    """Answers with all metrics.

    It asks for no token: collectors scrape by address, and nothing in the
    metrics is secret.
    """

    def initialize(self, metrics: metrics_module.Metrics) -> None:
        """Keep the metrics."""
        self._metrics = metrics

    def get(self) -> None:
        """Render the metrics."""
        accepts = tuple(self.request.headers.get_list('Accept'))
        body, content_type = self._metrics.render(accepts)
        self.set_header('Content-Type', content_type)
        self.finish(body)


def make_route(
    metrics: metrics_module.Metrics,
) -> tuple[str, type[web.RequestHandler], dict[str, typing.Any]]:
    """Return the route of metrics for tornado."""
    return ('/metrics', MetricsHandler, {'metrics': metrics})
