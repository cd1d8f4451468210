"""Settings are checked completely; all errors are reported at once."""

from __future__ import annotations

import unittest
from pathlib import Path

from carobspur.errors import SettingsError
from carobspur.gateway.answer_limits import DEFAULT_LIMITS
from carobspur.gateway.customers.rate_limit_times import RateLimitTolerance
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

    def test_admission_control_is_off_unless_a_known_policy_is_named(self) -> None:
        text = settings_text(99, PORTS, name="g")
        self.assertEqual("", GatewaySettings.parse(text).admission.policy)
        enabled = GatewaySettings.parse(text + "[admission]\npolicy = programs\n")
        self.assertEqual("programs", enabled.admission.policy)
        empty = GatewaySettings.parse(text + "[admission]\npolicy =\n")
        self.assertEqual("", empty.admission.policy)
        with self.assertRaises(SettingsError) as caught:
            GatewaySettings.parse(text + "[admission]\npolicy = luck\n")
        self.assertIn("[admission] policy: 'luck'", caught.exception.message)

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

    def test_tolerance_of_rate_limits_is_optional_and_checked(self) -> None:
        # Guards against a start that fails on a placeholder without a value, and
        # against a tolerance that the platform did not state.
        text = settings_text(99, PORTS, name="g")
        given = GatewaySettings.parse(text).rate_limits
        self.assertEqual(RateLimitTolerance(5, 0.1, 20), given)
        empty = text.replace("window_s = 5", "window_s =")
        empty = empty.replace("overage = 0.1", "overage =")
        empty = empty.replace("slack = 20", "slack =")
        section = "[rate_limits]\nwindow_s = 5\noverage = 0.1\nslack = 20\n"
        for changed in (empty, text.replace(section, "")):
            limits = GatewaySettings.parse(changed).rate_limits
            self.assertEqual(RateLimitTolerance(), limits)
        with self.assertRaises(SettingsError) as caught:
            GatewaySettings.parse(text.replace("slack = 20", "slack = -1\nslck = 2"))
        for part in ("[rate_limits] slack: '-1'", "[rate_limits] slck: no such key"):
            self.assertIn(part, caught.exception.message)

    def test_numbers_must_be_finite(self) -> None:
        # Guards against a slack that is no number: it made a bucket unlimited.
        text = settings_text(99, PORTS, name="g")
        for value in ("nan", "inf"):
            with self.subTest(value), self.assertRaises(SettingsError):
                GatewaySettings.parse(text.replace("slack = 20", f"slack = {value}"))

    def test_platform_that_permits_no_tolerance_is_no_error(self) -> None:
        """Guards against gateways that refuse to start with a slack of 0."""
        text = settings_text(99, PORTS, name="g").replace("slack = 20", "slack = 0")
        self.assertEqual(0.0, GatewaySettings.parse(text).rate_limits.slack)

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
