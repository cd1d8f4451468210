"""Settings report all faults at once; logs are JSON lines; daemons' command lines."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import logging
import unittest
from unittest import mock

from carobspur import daemon
from carobspur.errors import SettingsError
from carobspur.logs import call_fields, configure_logs
from carobspur.settings import Settings

from . import builders

FAULTY_SETTINGS = """
[instance]
id = a b
host = example.org
[platform]
table_url = http://table:1
objects_url = http://10.0.0.1:2
live_list_url = ftp://10.0.0.1:2
table_timeout_s = nan
[entry]
port = 70000
max_body_bytes = 16M
surprise = 1
[scheduler]
port = -1
metrics_port = 3
lease_s = inf
[control]
port = 4
peer_port = 5
platform_key_sha256 = secret
[tls]
certificate = /no/such/file
[logs]
level = loud
[more]
"""
FAULTS = [
    "[instance] id = 'a b'",
    "[instance] data_centre: missing",
    "[instance] host = 'example.org'",
    "[platform] table_url = 'http://table:1'",
    "[platform] live_list_url = 'ftp://10.0.0.1:2'",
    "[platform] table_timeout_s = 'nan'",
    "[entry] port = '70000'",
    "[entry] max_body_bytes = '16M'",
    "[entry] surprise: unknown key",
    "[scheduler] port = '-1'",
    "[scheduler] lease_s = 'inf'",
    "[control] platform_key_sha256",
    "[tls] certificate = '/no/such/file'",
    "[logs] level = 'loud'",
    "[more] is not a known section",
]


class SettingsTest(unittest.TestCase):
    def test_every_fault_is_named_in_one_message(self) -> None:
        with self.assertRaises(SettingsError) as raised:
            Settings.parse(FAULTY_SETTINGS, source="bad.ini")
        lines = raised.exception.message.splitlines()
        self.assertEqual(len(lines), len(FAULTS), lines)
        for fault in FAULTS:
            found = [line for line in lines if line.startswith(f"bad.ini: {fault}")]
            self.assertEqual(len(found), 1, fault)

    def test_no_secret_of_the_settings_is_shown(self) -> None:
        with self.assertRaises(SettingsError) as raised:
            Settings.parse("[control]\nplatform_key_sha256 = my-secret\n")
        self.assertNotIn("my-secret", raised.exception.message)


class LogsTest(unittest.TestCase):
    def test_lines_are_json_with_the_calls_fields(self) -> None:
        root = logging.getLogger()
        before, level, disabled = root.handlers[:], root.level, root.manager.disable
        output = io.StringIO()
        try:
            logging.disable(logging.NOTSET)
            with mock.patch("sys.stderr", output):
                configure_logs(role="scheduler", instance="instance-1")
                fields = call_fields(organisation="oro", program="p1", call=3)
                logging.getLogger("x").warning("a\nb", extra=fields)
        finally:
            root.handlers[:] = before
            root.setLevel(level)
            logging.disable(disabled)
        (line,) = output.getvalue().splitlines()
        expected = {
            "role": "scheduler",
            "instance": "instance-1",
            "organisation": "oro",
            "program": "p1",
            "call": 3,
            "message": "a\nb",
            "level": "WARNING",
        }
        self.assertLessEqual(expected.items(), json.loads(line).items())


class DaemonCommandLineTest(unittest.TestCase):
    def start_daemon(self, *arguments: str) -> tuple[int, str]:
        """Start a daemon that must exit before it serves; return code and messages."""

        async def serve(settings: Settings, stopping: asyncio.Event) -> None:
            raise AssertionError("the daemon started to serve")

        errors = io.StringIO()
        with (
            mock.patch("sys.argv", ["carobspur-entry", *arguments]),
            contextlib.redirect_stderr(errors),
            self.assertRaises(SystemExit) as stopped,
        ):
            daemon.daemon_main("entry", serve)
        return stopped.exception.code, errors.getvalue()

    def test_wrong_command_lines_end_at_once(self) -> None:
        for arguments in (
            (),
            ("--settings=/no/such/file",),
            ("--settings=examples/settings.ini", "--surprise=1"),
            ("--settings=5", "more"),
        ):
            code, errors = self.start_daemon(*arguments)
            self.assertEqual(code, 2, arguments)
            self.assertTrue(errors, arguments)
            self.assertNotIn("Traceback", errors)

    def test_builders_settings_are_valid(self) -> None:
        self.assertEqual(builders.some_settings(2).instance.id, "instance-2")
