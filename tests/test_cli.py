"""The operators' command line against a control process over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import os
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

import msgspec
import tornado.httpserver
from tornado.netutil import bind_sockets

from carobspur.cli import run
from carobspur.inventory import Inventory, encode_inventory

from . import builders
from .world import World


class ControlThread:
    """A deployment in a thread, with a control process that listens on a socket."""

    def __init__(self) -> None:
        self.url = ""
        self.program = ""
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._stop = asyncio.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> ControlThread:
        self._thread.start()
        assert self._ready.wait(30)
        return self

    def __exit__(self, *_: object) -> None:
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join(30)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._serve())
        self._loop.close()

    async def _serve(self) -> None:
        world = await World().start(2)
        self.program = await world.start_program("k")
        server = tornado.httpserver.HTTPServer(world.nodes[1].operators)
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        self.url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        self._ready.set()
        await self._stop.wait()
        server.stop()
        rest = [
            task for task in asyncio.all_tasks() if task is not asyncio.current_task()
        ]
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)


class CommandLineTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self._directory = Path(directory.name)

    def write(self, inventory: Inventory) -> str:
        path = self._directory / "inventory.json"
        path.write_bytes(encode_inventory(inventory))
        return str(path)

    def run_command(
        self, line: str, *, control: str = "", key: str = builders.OPERATOR_SECRET
    ) -> tuple[int, str, str]:
        """Return exit code, standard output and standard error."""
        variables = {
            "CAROBSPUR_CONTROL": control,
            "CAROBSPUR_KEY": key,
            "CAROBSPUR_ORGANISATION": builders.ORGANISATION,
        }
        out, err = io.StringIO(), io.StringIO()
        with (
            mock.patch.dict(os.environ, variables),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            code = run(line.split())
        return code, out.getvalue(), err.getvalue()

    def test_operator_session(self) -> None:
        changed = self.write(builders.an_inventory(units=7))
        with ControlThread() as control:
            dead = "http://127.0.0.1:1"

            def ask(line: str, key: str = builders.OPERATOR_SECRET) -> str:
                code, out, err = self.run_command(
                    line, control=f"{dead},{control.url}", key=key
                )
                self.assertEqual((code, err), (0, ""), line)
                return out

            def fail(line: str, expected: int, **options: str) -> str:
                code, out, err = self.run_command(line, control=control.url, **options)
                self.assertEqual((code, out), (expected, ""), (line, err))
                self.assertNotIn("Traceback", err)
                return err

            self.assertIn("instance-2  dc-2", ask("status"))
            status = json.loads(ask("status --json"))
            self.assertEqual(
                [instance["revision"] for instance in status["instances"]], [1, 1]
            )
            self.assertIn("engine-1", ask("inventory show"))
            self.assertIn("counter", ask("rules show"))
            self.assertIn("allowances/organisation", ask(f"inventory diff {changed}"))
            line = f"inventory import {changed} --revision=1 --change=c9"
            self.assertIn("revision 2 is in force", ask(line))
            self.assertIn("revision 2 was in force", ask(line))
            again = f"inventory import {changed} --revision=1"
            self.assertIn("not 1; look at the", fail(again, 4))
            history = ask("inventory history --limit=1")
            self.assertEqual(history.splitlines()[1].split()[0], "2")
            self.assertIn("clerk-1", ask(f"program show {control.program}"))
            self.assertIn("is stopped", ask(f"program stop {control.program}"))
            plot = self._directory / "burn.png"
            self.assertIn("burn 6 h", ask(f"report burn --plot={plot}"))
            self.assertTrue(plot.exists())
            fail("report burn --plot=/no/such/burn.png", 1)
            report = json.loads(ask(f"program show {control.program} --json"))
            self.assertEqual(report["end_reason"], "stopped by operator ops")
            fail("program show p1", 1)
            fail("status", 1, key="guess")
            fail("drain instance-2", 1)
            self.assertIn("over", ask("drain instance-2", builders.PLATFORM_SECRET))
            self.assertIn("again", ask("undrain instance-2", builders.PLATFORM_SECRET))
            missing = fail("drain instance-9", 1, key=builders.PLATFORM_SECRET)
            self.assertIn("live: instance-1, instance-2", missing)

    def test_wrong_command_lines(self) -> None:
        tried = [
            ("nonsense", 2),
            ("inventory", 0),
            ("inventory import", 2),
            ("inventory import no-such-file", 2),
            ("inventory import /", 2),
            ("inventory history --limit=x", 2),
            ("inventory history --limit=-1", 2),
            ("program show ../../status", 2),
            ("program stop", 2),
            ("drain a/b", 2),
            ("key new x --role=king", 2),
            ("settings check no-such-file", 1),
            ("settings", 0),
            ("status --control=nowhere", 2),
            ("status --organisation=a/b --control=http://127.0.0.1:1", 2),
            ("status --surprise=1 --control=http://127.0.0.1:1", 2),
        ]
        for line, expected in tried:
            code, _, err = self.run_command(line)
            self.assertEqual(code, expected, (line, err))
            self.assertNotIn("Traceback", err)

    def test_faults_of_a_file_are_listed(self) -> None:
        inventory = builders.an_inventory(units=-1)
        bad = self.write(msgspec.structs.replace(inventory, keys=[]))
        code, _, err = self.run_command(f"inventory import {bad}")
        self.assertEqual(code, 1)
        self.assertIn("\n  allowances[0].units: -1 is out of range", err)

    @mock.patch("carobspur.control_client.RETRY_DELAY_S", 0.0)
    def test_unreachable_control_has_its_own_exit_code(self) -> None:
        file = self.write(builders.an_inventory())
        code, _, err = self.run_command(
            f"inventory import {file}", control="http://127.0.0.1:1"
        )
        self.assertEqual(code, 3)
        self.assertIn("repeat with --change=", err)

    def test_new_key_is_named_by_its_digest(self) -> None:
        code, out, _ = self.run_command("key new shops-2 --json")
        made = json.loads(out)
        self.assertEqual(code, 0)
        digest = builders.digest_of(made["secret"])
        self.assertEqual(made["entry"]["sha256"], digest)
