"""Background jobs are restarted after unexpected errors, and the errors are logged."""

from __future__ import annotations

import asyncio
import gc
import logging
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from carobspur.background import background
from carobspur.gateway.decisions import DecisionLog

LOGGER = "test.background"


class BackgroundTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, logging.CRITICAL)
        self.log = DecisionLog(logging.getLogger(LOGGER))
        self.starts = 0
        self.errors: list[str] = []
        patcher = patch("carobspur.background.RESTART_S", 0.01)
        patcher.start()
        self.addCleanup(patcher.stop)

    def _record(self, job: str, error: Exception) -> None:
        self.assertIn("_fails_twice", job)
        self.errors.append(repr(error))

    async def _fails_twice(self) -> None:
        self.starts += 1
        if self.starts < 3:
            raise KeyError("unforeseen")
        await asyncio.Event().wait()

    async def _ends(self) -> None:
        self.starts += 1

    async def test_failed_job_is_restarted_and_its_error_logged(self) -> None:
        async with background(self._fails_twice, on_error=self._record):
            await asyncio.sleep(0.1)
        self.assertEqual(3, self.starts)
        self.assertEqual(["KeyError('unforeseen')"] * 2, self.errors)

    async def test_job_that_returned_is_not_restarted(self) -> None:
        async with background(self._ends, on_error=self._record):
            await asyncio.sleep(0.05)
        self.assertEqual(1, self.starts)

    async def test_error_of_a_task_that_nobody_awaits_is_logged(self) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.log.record_unhandled_error)
        self.addCleanup(loop.set_exception_handler, None)

        async def failing_task() -> None:
            raise KeyError("unforeseen")

        with self.assertLogs(LOGGER) as logged:
            task = loop.create_task(failing_task())
            await asyncio.wait([task])
            del task
            gc.collect()
        self.assertIn("unseen_error", [record.msg for record in logged.records])
