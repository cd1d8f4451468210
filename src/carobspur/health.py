"""HTTP handlers of ``/healthz``, ``/readyz`` and ``/metrics`` in every daemon."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import tornado.web
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest

Route = tuple[str, type, dict[str, Any]]


class HealthHandler(tornado.web.RequestHandler):
    """Liveness probe: answers 200 while the process runs."""

    def get(self) -> None:
        """Answer 200."""
        self.write({"status": "ok"})


class ReadyHandler(tornado.web.RequestHandler):
    """Readiness probe: answers 200 if the process can serve requests, else 503."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Set the function that returns whether the process can serve requests."""
        self._is_ready = is_ready

    def get(self) -> None:
        """Answer 200 or 503."""
        if self._is_ready():
            self.write({"status": "ready"})
        else:
            self.set_status(503)
            self.write({"status": "not ready"})


class MetricsHandler(tornado.web.RequestHandler):
    """Answers with the process's metrics in Prometheus' text format."""

    def get(self) -> None:
        """Answer with all metrics, or only those named by ``name[]`` arguments."""
        names = self.get_query_arguments("name[]")
        registry = REGISTRY.restricted_registry(names) if names else REGISTRY
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.write(generate_latest(registry))


def health_routes(is_ready: Callable[[], bool]) -> list[Route]:
    """Return the routes that every daemon serves.

    Args:
        is_ready: Returns whether the process can serve requests.
    """
    return [
        (r"/healthz", HealthHandler, {}),
        (r"/readyz", ReadyHandler, {"is_ready": is_ready}),
        (r"/metrics", MetricsHandler, {}),
    ]
