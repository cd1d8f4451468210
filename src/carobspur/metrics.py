"""Metrics of all roles, in the form of ``prometheus_client``."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

_LATENCY_BUCKETS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300, 600
)  # fmt: skip

REQUESTS = Counter(
    "carobspur_requests_total",
    "Requests of callers by outcome (ok, or the error's cause code).",
    ["organisation", "kind", "outcome"],
)
CALL_SECONDS = Histogram(
    "carobspur_call_seconds",
    "Time of a call from its arrival at the scheduler to its commit.",
    ["organisation", "endpoint"],
    buckets=_LATENCY_BUCKETS_S,
)
PROGRAM_SECONDS = Histogram(
    "carobspur_program_seconds",
    "Time of a whole program from its start to its end.",
    ["organisation", "agent"],
    buckets=_LATENCY_BUCKETS_S,
)
PROGRAM_OBJECTIVE = Counter(
    "carobspur_program_objective_total",
    "Ended programs by whether they met their agent's objective.",
    ["organisation", "agent", "met"],
)
WAITING = Gauge("carobspur_waiting_calls", "Calls that wait for an endpoint.")
PROGRAMS = Gauge("carobspur_programs", "Programs that this scheduler holds.")
SHARDS = Gauge("carobspur_shards", "Shards that this scheduler holds.")
PREFIX_TOKENS = Counter(
    "carobspur_prefix_tokens_total",
    "History tokens of model calls, by whether the engine still had them.",
    ["organisation", "found"],
)
REVISION = Gauge("carobspur_inventory_revision", "Inventory revision in force.")
