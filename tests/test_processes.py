"""Deployments of real processes survive kills, pauses, outages and planned stops."""

from __future__ import annotations

import base64
import json
import signal
import tempfile
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any
from urllib.request import Request, urlopen

import msgspec
from examples.caller import Caller, Refusal
from examples.deployment import (
    PLATFORM_KEY,
    Deployment,
    Instance,
    example_inventory,
)

from carobspur.inventory import encode_inventory
from carobspur.journal import decode_chunk
from carobspur.placement import shard_of

SHARDS = 64
LIMIT_S = 60.0
LEASE_S = 1.0
CALLER_KEY = "oro-example-caller"


def get_json(url: str, *, key: str = "") -> Any:
    request = Request(url, headers={"Authorization": f"Bearer {key}"})
    with urlopen(request, timeout=10) as answer:
        return json.loads(answer.read())


def eventually(attempt: Callable[[], Any]) -> Any:
    """Repeat an attempt until it succeeds, up to ``LIMIT_S``; return its result."""
    deadline = time.monotonic() + LIMIT_S
    while True:
        try:
            return attempt()
        except (Refusal, OSError, AssertionError):
            if time.monotonic() > deadline:
                raise
            time.sleep(0.05)


class ProcessTest(unittest.TestCase):
    """Each test runs a deployment of its own: three instances and all stand-ins."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.running = Deployment(Path(directory.name), lease_s=LEASE_S)
        self.addCleanup(self.running.stop)
        self.running.start_platform()
        inventory = example_inventory("oro-recupero")
        self.inventory = self.running.start_endpoints(inventory)
        for number in (1, 2, 3):
            self.running.start_instance(f"instance-{number}", f"ar-centro-{number}")
        self.running.wait_ready()
        self.import_inventory()
        for instance in self.running.instances:
            eventually(self.caller(instance).addresses)

    def import_inventory(self) -> None:
        request = Request(
            f"{self.running.instances[0].control_url}"
            "/v1/organisations/oro-recupero/inventory",
            method="PUT",
            data=encode_inventory(self.inventory),
            headers={
                "Authorization": f"Bearer {PLATFORM_KEY}",
                "If-Match": '"0"',
                "Carobspur-Change": "first",
            },
        )
        with urlopen(request, timeout=10):
            pass

    def caller(self, instance: Instance) -> Caller:
        return Caller(instance.entry_url, CALLER_KEY, "clerk-1")

    def owner(self, program: str) -> Instance:
        """Return the instance whose scheduler serves a program."""
        table = self.running.platform["table"]
        key = f"shard%2F{shard_of(program, SHARDS):05d}"
        row = get_json(f"{table}/v1/rows/{key}")
        session = json.loads(row_value(row))["session"]
        row = get_json(f"{table}/v1/rows/session%2F{session}")
        name = json.loads(row_value(row))["instance"]
        return next(item for item in self.running.instances if item.id == name)

    def other(self, instance: Instance) -> Instance:
        return next(item for item in self.running.instances if item is not instance)

    def runs(self) -> list[str]:
        address = self.inventory.service("payout").replicas[0].address
        return [run["call_id"] for run in get_json(f"{address}/v1/runs")]

    def fault(self, url: str, **order: Any) -> None:
        body = json.dumps(order).encode()
        urlopen(Request(f"{url}/v1/faults", data=body, method="POST"), timeout=10)

    def test_killed_scheduler_is_taken_over_in_mid_payout(self) -> None:
        program = self.caller(self.running.instances[0]).start("quote")
        owner = self.owner(program)
        caller = self.caller(self.other(owner))
        address = self.inventory.service("payout").replicas[0].address
        self.fault(address, kind="slow", delay_s=0.5, count=1, path="/v1/run")
        with ThreadPoolExecutor() as pool:
            calling = pool.submit(caller.call, program, 1, "payout", {"pesos": 5})
            eventually(lambda: self.assertTrue(self._is_intended(program)))
            self.running.kill(owner.processes["scheduler"])
            try:
                answer = calling.result(LIMIT_S)
            except Refusal as refusal:
                # The scheduler was killed between the commit of the intent and the
                # send to the tool.
                self.assertEqual(refusal.problem["verdict"], "not_run")
                self.assertEqual(self.runs(), [])
                answer = caller.call(program, 1, "payout", {"pesos": 5})
        self.assertEqual(answer["number"], 1)
        self.assertEqual(self.runs(), [f"{program}.1"])

    def test_frozen_scheduler_wakes_after_takeover(self) -> None:
        program = self.caller(self.running.instances[0]).start("quote")
        owner = self.owner(program)
        frozen = owner.processes["scheduler"]
        caller = self.caller(self.other(owner))
        frozen.send(signal.SIGSTOP)
        answer = eventually(lambda: caller.call(program, 1, "payout", {"pesos": 5}))
        self.assertEqual(answer["number"], 1)
        self.running.expect_exit(frozen)
        frozen.send(signal.SIGCONT)
        self.assertNotEqual(frozen.popen.wait(LIMIT_S), 0)
        again = caller.call(program, 1, "payout", {"pesos": 5})
        self.assertTrue(again["replayed"])
        self.assertEqual(self.runs(), [f"{program}.1"])

    def test_two_of_three_schedulers_die_at_once_and_twice(self) -> None:
        program = self.caller(self.running.instances[0]).start("quote")
        survivor = self.other(self.owner(program))
        caller = self.caller(survivor)
        for number in (1, 2):
            dying = [
                instance
                for instance in self.running.instances
                if instance is not survivor
            ]
            for instance in dying:
                self.running.kill(instance.processes["scheduler"])
            answer = eventually(
                lambda number=number: caller.call(
                    program, number, "payout", {"pesos": number}
                )
            )
            self.assertEqual(answer["number"], number)
            for instance in dying:
                self.running.start_daemon(instance, "scheduler")
            eventually(lambda: self.assertEqual(self._sessions(), 3))
        self.assertEqual(self.runs(), [f"{program}.1", f"{program}.2"])

    def test_planned_stop_cuts_no_request(self) -> None:
        callers = [self.caller(item) for item in self.running.instances]
        programs = [callers[number % 3].start("quote") for number in range(9)]
        content = {"prompt": "a chain", "max_tokens": 100}

        def _stream(number: int) -> int:
            words: list[str] = []
            caller = callers[number % 3]
            caller.stream(programs[number], 1, "quote-model", content, words.append)
            return len(words)

        with ThreadPoolExecutor(9) as pool:
            streaming = [pool.submit(_stream, number) for number in range(9)]
            eventually(lambda: self.assertTrue(self._engines_run(3)))
            leaving = self.running.instances[0]
            for process in leaving.processes.values():
                self.running.expect_exit(process)
                process.send(signal.SIGTERM)
            self.assertEqual([item.result(LIMIT_S) for item in streaming], [100] * 9)
        codes = [item.popen.wait(LIMIT_S) for item in leaving.processes.values()]
        self.assertEqual(codes, [0, 0, 0])

    def test_calls_succeed_again_after_a_table_outage(self) -> None:
        caller = self.caller(self.running.instances[0])
        program = caller.start("quote")
        caller.call(program, 1, "payout", {"pesos": 5})
        table = self.running.platform["table"]
        self.fault(table, kind="drop")
        with self.assertRaises(Refusal) as refused:
            caller.call(program, 2, "payout", {"pesos": 6})
        self.assertIn(refused.exception.problem["verdict"], ("not_run", "may_have_run"))
        self.fault(table, kind="none")
        answer = eventually(lambda: caller.call(program, 2, "payout", {"pesos": 6}))
        self.assertEqual(answer["number"], 2)
        self.assertEqual(self.runs(), [f"{program}.1", f"{program}.2"])

    def _sessions(self) -> int:
        table = self.running.platform["table"]
        return len(get_json(f"{table}/v1/rows?prefix=session%2F")["rows"])

    def _is_intended(self, program: str) -> bool:
        table = self.running.platform["table"]
        rows = get_json(f"{table}/v1/rows?prefix=journal%2F")["rows"]
        return any(
            record["type"] == "intended" and record["program"] == program
            for row in rows
            for record in msgspec.to_builtins(decode_chunk(row_value(row)).records)
        )

    def _engines_run(self, calls: int) -> bool:
        loads = [
            get_json(f"{engine.address}/v1/load") for engine in self.inventory.engines
        ]
        return sum(item["running"] for item in loads) >= calls


def row_value(row: dict[str, Any]) -> bytes:
    return base64.b64decode(row["value"])
