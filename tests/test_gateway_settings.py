"""Settings are checked completely; all errors are reported at once."""

from __future__ import annotations

import unittest
from pathlib import Path

from carobspur.errors import SettingsError
from carobspur.gateway.answer_limits import DEFAULT_LIMITS
from carobspur.gateway.memory.settings import MemorySettings
from carobspur.gateway.settings import GatewaySettings

from .platform_world import settings_text

PORTS = {
    name: 1000 + number
    for number, name in enumerate(
        ("callers", "ready", "directory", "peers", "metrics", "heartbeats")
    )
}
TEMPLATE = Path(__file__).parent.parent / "deploy" / "gateway.ini"


class GatewaySettingsTest(unittest.TestCase):
    def test_reads_addresses_and_seeds(self) -> None:
        text = settings_text(99, PORTS, name="g", seeds=[5, 6])
        settings = GatewaySettings.parse(text)
        self.assertEqual("127.0.0.1:99", settings.store.address)
        self.assertEqual(["127.0.0.1:5", "127.0.0.1:6"], settings.store.seed_addresses)

    def test_reports_all_errors_at_once(self) -> None:
        text = settings_text(99, PORTS, name="g").replace("127.0.0.1:99", "nowhere")
        text = text.replace("stop_s = 8", "stop_s = soon").replace("region = r\n", "")
        text += "[colours]\nred = 1\n"
        with self.assertRaises(SettingsError) as caught:
            GatewaySettings.parse(text)
        message = caught.exception.message
        for part in ("[colours]", "region: missing", "address: 'nowhere'", "stop_s"):
            self.assertIn(part, message)

    def test_unknown_keys_are_refused(self) -> None:
        text = settings_text(99, PORTS, name="g") + "colour = red\n"
        with self.assertRaises(SettingsError) as caught:
            GatewaySettings.parse(text)
        self.assertIn("[times] colour: no such key", caught.exception.message)

    def test_unknown_policy_is_refused_with_the_known_ones(self) -> None:
        text = settings_text(99, PORTS, name="g").replace("predicted_time", "luck")
        with self.assertRaises(SettingsError) as caught:
            GatewaySettings.parse(text)
        self.assertIn("least_loaded, predicted_time", caught.exception.message)

    def test_machine_has_defaults_and_is_checked(self) -> None:
        text = settings_text(99, PORTS, name="g")
        # A placeholder of the platform without a value leaves the text empty.
        empty = GatewaySettings.parse(text + "[memory]\nmachine_mb =\nmax_fds =\n")
        self.assertEqual(MemorySettings(), empty.memory)
        small = GatewaySettings.parse(text + "[memory]\nmachine_mb = 136\n").memory
        self.assertLess(small.buffer_bytes + small.history_bytes, 96_000_000)
        for line in ("machine_mb = 10", "max_fds = 250", "machine_mb = nan"):
            with self.subTest(line), self.assertRaises(SettingsError) as caught:
                GatewaySettings.parse(f"{text}[memory]\n{line}\n")
            self.assertIn(f"[memory] {line[:7]}", caught.exception.message)

    def test_limits_of_answers_have_defaults_and_are_checked(self) -> None:
        text = settings_text(99, PORTS, name="g")
        self.assertEqual(DEFAULT_LIMITS, GatewaySettings.parse(text).answers)
        changed = GatewaySettings.parse(text + "[answers]\nevent_bytes = 4096\n")
        self.assertEqual(4096, changed.answers.event_bytes)
        with self.assertRaises(SettingsError) as caught:
            GatewaySettings.parse(text + "[answers]\nhead_bytes = 0\nbody = 3\n")
        for part in ("[answers] head_bytes: '0'", "[answers] body: no such key"):
            self.assertIn(part, caught.exception.message)

    def test_placement_may_be_left_out(self) -> None:
        text = settings_text(99, PORTS, name="g")
        text = text.replace("[placement]\npolicy = predicted_time\n", "")
        settings = GatewaySettings.parse(text)
        self.assertEqual("predicted_time", settings.placement.policy)

    def test_text_that_is_no_ini_and_missing_files_are_refused(self) -> None:
        for read in (
            lambda: GatewaySettings.parse("no section"),
            lambda: GatewaySettings.read("/nonexistent"),
        ):
            with self.assertRaises(SettingsError):
                read()

    def test_template_has_the_same_keys_as_the_settings_of_the_tests(self) -> None:
        keys = {
            line.partition("=")[0].strip()
            for line in TEMPLATE.read_text().splitlines()
            if "=" in line
        }
        text = settings_text(99, PORTS, name="g", seeds=[1])
        text += "[memory]\nmachine_mb = 136\nmax_fds = 1638\n"
        used = {line.partition("=")[0].strip() for line in text.splitlines()}
        self.assertEqual({key for key in used if key and key[0] != "["}, keys)
