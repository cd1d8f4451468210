"""``/healthz``, ``/readyz`` and ``/metrics`` of every daemon."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import tornado.web
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest

Route = tuple[str, type, dict[str, Any]]


class HealthHandler(tornado.web.RequestHandler):
    """Answers 200 while the process runs."""

    def get(self) -> None:
        """Answer."""
        self.write({"status": "ok"})


class ReadyHandler(tornado.web.RequestHandler):
    """Answers 200 if the process can serve, else 503."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Take the function that tells whether the process can serve."""
        self._is_ready = is_ready

    def get(self) -> None:
        """Answer."""
        if self._is_ready():
            self.write({"status": "ready"})
        else:
            self.set_status(503)
            self.write({"status": "not ready"})


class MetricsHandler(tornado.web.RequestHandler):
    """Answers with metrics in Prometheus' text format."""

    def get(self) -> None:
        """Answer with all metrics, or with those that ``name[]`` names."""
        names = self.get_query_arguments("name[]")
        registry = REGISTRY.restricted_registry(names) if names else REGISTRY
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.write(generate_latest(registry))


def health_routes(is_ready: Callable[[], bool]) -> list[Route]:
    """Return the routes that every daemon serves.

    Args:
        is_ready: Tells whether the process can serve.
    """
    return [
        (r"/healthz", HealthHandler, {}),
        (r"/readyz", ReadyHandler, {"is_ready": is_ready}),
        (r"/metrics", MetricsHandler, {}),
    ]
