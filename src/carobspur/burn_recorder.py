"""Records the samples of burn reports in the table.

Instances have no storage of their own and are replaced, so once a minute each control
process reads the counters of its instance's scheduler and adds the increase to the
instance's row of the day. The row also holds the counters as they were last read and
the start time of the scheduler process: a restarted control process therefore counts
nothing twice, and the counters of a restarted scheduler count from 0.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from .burn import BUCKET_S, WINDOW_S, BurnSample
from .clock import Clock
from .errors import CarobspurError, StoreConflictError, StoreUnavailableError
from .http import HttpClient, HttpRequest
from .table import ABSENT_VERSION, Check, Row, Table, Write

BURN_PREFIX = "burn/"
DAY_S = 86_400
RECORD_PERIOD_S = 60.0
OBJECTIVE_METRIC = "carobspur_program_objective_total"
START_METRIC = "process_start_time_seconds"
_METRICS_TIMEOUT_S = 2.0

_logger = logging.getLogger(__name__)


class CounterTotal(msgspec.Struct, frozen=True, array_like=True):
    """A scheduler's counter of ended programs.

    Attributes:
        organisation: Name of the organisation.
        agent: Name of the agent.
        met: Whether it counts the programs that met the objective or those that did
            not.
        count: Value of the counter.
    """

    organisation: str
    agent: str
    met: bool
    count: int


class CounterReading(msgspec.Struct, frozen=True):
    """Counters of one scheduler process, as read at one time.

    Attributes:
        started_s: Unix time of the start of the process, in seconds.
        totals: The counters.
    """

    started_s: float = 0.0
    totals: list[CounterTotal] = []


class BurnRow(msgspec.Struct, frozen=True):
    """Row of one instance and day.

    Attributes:
        reading: The counters as last read.
        samples: The samples of the day.
    """

    reading: CounterReading = CounterReading()
    samples: list[BurnSample] = []


def parse_counters(text: str) -> CounterReading:
    """Parse the counters from a scheduler's metrics in Prometheus' text format."""
    started_s = 0.0
    totals = []
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == START_METRIC:
                started_s = sample.value
            elif sample.name == OBJECTIVE_METRIC:
                totals.append(_counter_total(sample.labels, int(sample.value)))
    return CounterReading(started_s, totals)


def _counter_total(labels: Mapping[str, str], count: int) -> CounterTotal:
    met = labels["met"] == "yes"
    return CounterTotal(labels["organisation"], labels["agent"], met, count)


def add_reading(row: BurnRow, reading: CounterReading, bucket: int) -> BurnRow:
    """Return a row with the increase of the counters since its last reading added.

    Args:
        row: The present row.
        reading: The scheduler's counters now.
        bucket: Number of the bucket to which the increase is added.
    """
    is_same_process = row.reading.started_s == reading.started_s
    counted = _by_series(row.reading.totals) if is_same_process else {}
    samples = {
        (sample.bucket, sample.organisation, sample.agent): sample
        for sample in row.samples
    }
    for item in reading.totals:
        added = item.count - counted.get((item.organisation, item.agent, item.met), 0)
        if added <= 0:
            continue
        key = (bucket, item.organisation, item.agent)
        previous = samples.get(key, BurnSample(*key, met=0, missed=0))
        met = previous.met + (added if item.met else 0)
        missed = previous.missed + (0 if item.met else added)
        samples[key] = BurnSample(*key, met=met, missed=missed)
    return BurnRow(reading, list(samples.values()))


async def read_samples(table: Table, now_s: float) -> list[BurnSample]:
    """Read the samples of all instances for the whole window."""
    samples: list[BurnSample] = []
    today = int(now_s // DAY_S)
    for day in range(today - WINDOW_S // DAY_S, today + 1):
        for row in await table.scan(_day_prefix(day)):
            samples.extend(_decode(row).samples)
    return samples


class BurnRecorder:
    """Records the counters of one instance's scheduler.

    Args:
        table: The table service.
        client: HTTP client for the scheduler's metrics.
        clock: Source of time.
        instance: Id of the instance.
        metrics_url: Base URL of its scheduler's HTTP server for metrics.
    """

    __slots__ = ("_client", "_clock", "_instance", "_table", "_counters_url")

    def __init__(
        self,
        *,
        table: Table,
        client: HttpClient,
        clock: Clock,
        instance: str,
        metrics_url: str,
    ) -> None:
        self._table = table
        self._client = client
        self._clock = clock
        self._instance = instance
        self._counters_url = (
            f"{metrics_url}/metrics?name[]={OBJECTIVE_METRIC}&name[]={START_METRIC}"
        )

    async def run(self) -> None:
        """Record every ``RECORD_PERIOD_S`` until the task is cancelled."""
        while True:
            try:
                await self.record()
            except CarobspurError as error:
                _logger.info(
                    "samples of burn reports not recorded, will be retried: %s",
                    error.message,
                )
            await self._clock.sleep(RECORD_PERIOD_S)

    async def record(self) -> None:
        """Add the counters' increase to the row of the day, unless it is unchanged.

        Raises:
            CarobspurError: The counters or the row can't be read or written; the next
                call adds the increase.
        """
        request = HttpRequest("GET", self._counters_url, timeout_s=_METRICS_TIMEOUT_S)
        response = await self._client.fetch(request)
        reading = parse_counters(response.body.decode())
        now_s = self._clock.wall()
        key = f"{_day_prefix(int(now_s // DAY_S))}{self._instance}"
        stored = await self._table.read(key)
        row = await self._load_row(key, stored)
        updated = add_reading(row, reading, int(now_s // BUCKET_S))
        if updated == row:
            return
        version = ABSENT_VERSION if stored is None else stored.version
        write = Write(key, msgspec.json.encode(updated))
        await self._table.commit([Check(key, version)], [write])

    async def _load_row(self, key: str, stored: Row | None) -> BurnRow:
        """Return the row of the day; a new one starts with yesterday's reading."""
        if stored is not None:
            return _decode(stored)
        day = int(key.split("/")[1])
        await self._delete_expired(day)
        last_row = await self._table.read(f"{_day_prefix(day - 1)}{self._instance}")
        return BurnRow() if last_row is None else BurnRow(_decode(last_row).reading)

    async def _delete_expired(self, day: int) -> None:
        expired = await self._table.scan(_day_prefix(day - WINDOW_S // DAY_S - 1))
        for row in expired:
            check = Check(row.key, row.version)
            try:
                await self._table.commit([check], [Write(row.key, None)])
            except (StoreConflictError, StoreUnavailableError):
                _logger.info(
                    "expired row %s not deleted, possibly because another "
                    "instance deleted it",
                    row.key,
                )


def _by_series(totals: Iterable[CounterTotal]) -> dict[tuple[str, str, bool], int]:
    return {(item.organisation, item.agent, item.met): item.count for item in totals}


def _day_prefix(day: int) -> str:
    return f"{BURN_PREFIX}{day}/"


def _decode(row: Row) -> BurnRow:
    return msgspec.json.decode(row.value, type=BurnRow)
