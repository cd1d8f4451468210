"""Prometheus metrics of the gateway."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from .objectives import OBJECTIVES_METRIC

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.8,
    1.2,
    2.0,
    3.0,
    5.0,
)


class Telemetry:
    """Metrics of one gateway process.

    Label values come from small fixed sets, which bounds the number of time series.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.answers = Counter(
            "carobspur_answers",
            "Answers to callers by route kind, status and cause.",
            ["kind", "status", "cause"],
            registry=self.registry,
        )
        self.answer_seconds = Histogram(
            "carobspur_answer_seconds",
            "Time from a request's head to the end of its answer.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.objectives = Counter(
            OBJECTIVES_METRIC,
            "Answers by route kind and whether they met their route's objective.",
            ["kind", "outcome"],
            registry=self.registry,
        )
        self.first_event_seconds = Histogram(
            "carobspur_first_event_seconds",
            "Time from a request's head to the first event of its stream.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.sends = Counter(
            "carobspur_sends",
            "Requests sent to endpoints by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.connections = Counter(
            "carobspur_connections",
            "Connections opened to endpoints.",
            registry=self.registry,
        )
        self.store_calls = Counter(
            "carobspur_store_calls",
            "Calls of the row store by operation, way and outcome.",
            ["operation", "way", "outcome"],
            registry=self.registry,
        )
        self.store_seconds = Histogram(
            "carobspur_store_seconds",
            "Time of answered calls of the row store.",
            ["operation"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.customer_requests = Counter(
            "carobspur_customer_requests",
            "Requests of customers with a rate limit by customer and outcome.",
            ["customer", "outcome"],
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "carobspur_in_flight",
            "Callers' requests under way.",
            registry=self.registry,
        )
        self.admission_refusals = Counter(
            "carobspur_admission_refusals",
            "Requests refused by admission control by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.admitted_share = Gauge(
            "carobspur_admitted_share",
            "Share of new programs that admission control admits, by service.",
            ["service"],
            registry=self.registry,
        )
        self.endpoint_limits = Gauge(
            "carobspur_endpoint_limits",
            "Endpoints that name a rate limit at present.",
            registry=self.registry,
        )
        self.endpoint_limit_changes = Counter(
            "carobspur_endpoint_limit_changes",
            "Rate limits of endpoints that started, changed or ended.",
            ["change"],
            registry=self.registry,
        )
        self.limited_requests = Counter(
            "carobspur_limited_requests",
            "Requests that waited for endpoints' rate limits or were refused.",
            ["outcome"],
            registry=self.registry,
        )
        self.endpoint_crashes = Counter(
            "carobspur_endpoint_crashes",
            "Endpoints that crashed while this gateway had requests there.",
            registry=self.registry,
        )
        self.quarantined_requests = Gauge(
            "carobspur_quarantined_requests",
            "Different requests that were found to crash endpoints.",
            registry=self.registry,
        )
        self.quarantine_refusals = Counter(
            "carobspur_quarantine_refusals",
            "Requests refused because the same request crashed endpoints, or may have.",
            ["state"],
            registry=self.registry,
        )
        self.log_lines_dropped = Counter(
            "carobspur_log_lines_dropped",
            "Log lines dropped because nobody read standard output.",
            registry=self.registry,
        )
        self.limits_reached = Counter(
            "carobspur_limits_reached",
            "Callers refused or disconnected by the bound that was reached.",
            ["bound"],
            registry=self.registry,
        )
        self.buffered_bytes = Gauge(
            "carobspur_buffered_bytes",
            "Bytes buffered for callers and endpoints.",
            registry=self.registry,
        )
        self.caller_connections = Gauge(
            "carobspur_caller_connections",
            "Open connections of callers.",
            registry=self.registry,
        )
