"""The decision log is bounded and never blocks on its reader."""

from __future__ import annotations

import json
import logging
import os
import time
import unittest

from carobspur.gateway.decisions import (
    MAX_BUFFERED_LINES,
    MAX_LINES_PER_SECOND,
    DecisionLog,
    NonblockingHandler,
)


class DecisionsTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, logging.CRITICAL)
        self._reader, self._writer = os.pipe()
        self._handler = NonblockingHandler(self._writer)
        self._handler.setFormatter(logging.Formatter("%(message)s %(request)s"))
        self._logger = logging.getLogger("test.decisions")
        self._logger.handlers[:] = [self._handler]
        self._logger.propagate = False
        self._logger.setLevel(logging.INFO)

    def tearDown(self) -> None:
        os.close(self._reader)
        os.close(self._writer)

    def test_logging_does_not_block_while_nobody_reads_the_pipe(self) -> None:
        drops: list[None] = []
        self._handler.on_drop = lambda: drops.append(None)
        started = time.monotonic()
        for number in range(50_000):
            self._logger.info("sent", extra={"request": "r" * 100 + str(number)})
        self.assertLess(time.monotonic() - started, 5.0)
        self.assertGreater(self._handler.dropped, 0)
        self.assertEqual(self._handler.dropped, len(drops))
        self.assertLessEqual(len(self._handler._lines), MAX_BUFFERED_LINES)

    def test_buffered_lines_are_written_complete_and_in_order(self) -> None:
        for number in range(1500):
            self._logger.info("sent", extra={"request": "r" * 90 + str(number)})
        data = b""
        while True:
            self._handler.drain()
            os.set_blocking(self._reader, False)
            try:
                data += os.read(self._reader, 1 << 20)
            except BlockingIOError:
                break
        lines = data.decode().splitlines()
        self.assertEqual(1500, len(lines))
        self.assertTrue(lines[-1].endswith("1499"))

    def test_lines_of_one_event_are_limited_and_dropped_ones_are_counted(self) -> None:
        logged: list[tuple[str, dict]] = []

        class _Logger:
            def info(self, event: str, extra: dict) -> None:
                logged.append((event, extra))

        log = DecisionLog(_Logger())
        while time.monotonic() % 1 > 0.5:
            time.sleep(0.01)
        for _ in range(MAX_LINES_PER_SECOND + 7):
            log.record("sent", request="r")
        log.record("placed", request="r")
        time.sleep(1.1)
        log.record("placed", request="r")
        dropped = [extra for event, extra in logged if event == "lines_dropped"]
        self.assertEqual([{"by_event": {"sent": 7}}], dropped)
        self.assertEqual(MAX_LINES_PER_SECOND, sum(e == "sent" for e, _ in logged))

    def test_line_is_one_json_object(self) -> None:
        log = DecisionLog.to_stdout(instance="i", on_drop=lambda: None)
        formatter = logging.getLogger().handlers[0].formatter
        logging.getLogger().handlers.clear()
        os.set_blocking(1, True)
        del log
        record = logging.LogRecord("x", logging.INFO, "", 0, "sent", None, None)
        record.request = "r1"
        line = json.loads(formatter.format(record))
        self.assertEqual(("sent", "r1", "i"), tuple(line[k] for k in _KEYS))


_KEYS = ("event", "request", "instance")
