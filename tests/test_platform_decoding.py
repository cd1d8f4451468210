"""Decoding of valid and invalid registry entries, configurations and headers."""

from __future__ import annotations

import json
import unittest

from carobspur.gateway.calls import EndpointLoad, PromptPart
from carobspur.gateway.endpoints import Endpoint
from carobspur.gateway.events import event_number
from carobspur.gateway.routes import RouteKind
from carobspur.platform.configuration import ConfigurationError, decode_configuration
from carobspur.platform.headers import PlatformWire, decode_call
from carobspur.platform.registry import decode_entry

from .odd_entries import odd_entries
from .platform_world import configuration, route

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 4,
    "state": "ready",
    "sequence": 3,
    "born": 12,
}


def entry(**more: object) -> bytes:
    return json.dumps({**ENTRY, **more}).encode()


ODD_ENTRIES = odd_entries(ENTRY)


class EntryTest(unittest.TestCase):
    def test_valid_entry_with_unknown_field_is_decoded(self) -> None:
        found = decode_entry("i", entry(unknown=1))
        self.assertEqual(
            Endpoint("i", "s", "10.0.0.1", 80, "z", 4, False, 12), found.endpoint
        )

    def test_invalid_entry_gives_none(self) -> None:
        for value in (
            b"",
            b"\xff\xfe",
            b"[]",
            entry(state="sleeping"),
            entry(address="nowhere"),
            entry(address=5),
            entry(slots="four"),
            entry(service=None),
            entry(service=""),
            json.dumps({"service": "s"}).encode(),
            *ODD_ENTRIES,
        ):
            with self.subTest(value[:80]):
                self.assertIsNone(decode_entry("i", value))

    def test_entry_whose_id_no_header_can_carry_gives_none(self) -> None:
        for endpoint_id in ("", "i\r\nHold: x", "i\u20ac", " i", "\x7f"):
            with self.subTest(endpoint_id):
                self.assertIsNone(decode_entry(endpoint_id, entry()))


class ConfigurationTest(unittest.TestCase):
    def test_decodes_routes_limits_and_engines(self) -> None:
        content = configuration(7)
        content["routes"].append(
            route("split", "idempotent", "")
            | {
                "trafficSplit": [
                    {"service": "a", "weight": 9},
                    {"service": "b", "weight": 1},
                ]
            }
        )
        found = decode_configuration(json.dumps(content).encode())
        chat = found.match("host.example", "/chat/x")
        split = found.match("host.example", "/split/x")
        self.assertEqual((RouteKind.STREAM, True), (chat.kind, chat.keeps_history))
        self.assertEqual(10, found.services["engines"].engine.tokens_per_event)
        self.assertEqual(15.0, found.limits.idle_timeout_s)
        chosen = [split.service_for(f"k{number}") for number in range(1000)]
        self.assertAlmostEqual(900, chosen.count("a"), delta=50)

    def test_damaged_content_is_refused(self) -> None:
        nested = b'{"extra":' + b"[" * 5000 + b"]" * 5000 + b"}"
        wrong_type = json.dumps(configuration(version="x")).encode()
        for value in (b"", b"{}", wrong_type, nested):
            with self.subTest(value[:80]), self.assertRaises(ConfigurationError):
                decode_configuration(value)
        unknown_kind = configuration()
        unknown_kind["routes"][0]["kind"] = "sometimes"
        with self.assertRaises(ConfigurationError):
            decode_configuration(json.dumps(unknown_kind).encode())


class HeadersTest(unittest.TestCase):
    def _call(self, *fields: tuple[str, str], target: str = "/a/b?c"):
        head = [("Host", "Name.Example:81"), ("Request-Id", "r1"), *fields]
        return decode_call("POST", target, head, arrived_at=100.0)

    def test_decodes_host_deadline_tokens_and_program(self) -> None:
        call = self._call(
            ("Deadline-Ms", "1500"),
            ("Program-Id", "p"),
            ("Token-Budget", "900"),
            ("Token-Usage", "1840,289"),
            ("Previous-Turn", "t0"),
        )
        self.assertEqual(("name.example", "/a/b"), (call.host, call.path))
        self.assertEqual(101.5, call.deadline)
        self.assertEqual((1840, 289), (call.prompt_tokens, call.max_tokens))
        self.assertEqual(900, call.program.token_budget)
        self.assertEqual("t0", call.program.previous_turn)

    def test_values_that_are_not_numbers_are_ignored(self) -> None:
        for text in ("x", "\u00b2", "-1", "1.5", "9" * 5000):
            with self.subTest(text[:8]):
                call = self._call(
                    ("Deadline-Ms", "soon"),
                    ("Token-Usage", f"{text},{text}"),
                    ("Program-Id", "p"),
                    ("Token-Budget", text),
                )
                self.assertIsNone(call.deadline)
                self.assertEqual((0, 0), (call.prompt_tokens, call.max_tokens))
                self.assertIsNone(call.program.token_budget)
                load = [("Instance-Load", f"1,{text},8")]
                self.assertIsNone(PlatformWire().decode(200, load).load)
                self.assertIsNone(event_number(text))

    def test_load_with_a_fourth_figure_is_kept(self) -> None:
        """Guards against endpoints whose queue is never seen.

        The header was dropped whole, and queues at engines looked like free slots.
        """
        for text, slowdown in (("7,4,8", 1.0), ("7,4,8,250", 2.5)):
            with self.subTest(text):
                load = PlatformWire().decode(200, [("Instance-Load", text)]).load
                self.assertEqual(EndpointLoad(7, 4, 8, slowdown), load)
        damaged = PlatformWire().decode(200, [("Instance-Load", "7,4,8,1,1")]).load
        self.assertIsNone(damaged)

    def test_decodes_parts_of_prompts_and_hints(self) -> None:
        """Guards against a damaged list of parts that is taken for a shorter prompt."""
        call = self._call(
            ("Prompt-Prefix", "5c1e:800, 91bd:410"), ("Length-Hint", "73")
        )
        self.assertEqual(
            (PromptPart("5c1e", 800), PromptPart("91bd", 410)), call.prompt_parts
        )
        self.assertEqual(73, call.expected_tokens)
        for damaged in ("5c1e", "5c1e:x", "5c1e:1,,"):
            with self.subTest(damaged):
                self.assertEqual(
                    (), self._call(("Prompt-Prefix", damaged)).prompt_parts
                )

    def test_deadlines_that_are_not_finite_are_ignored(self) -> None:
        """Guards against requests that fail because a time has no whole milliseconds.

        The refusal and the log line round the time that is left.
        """
        for value in ("nan", "inf", "-inf", "1e300", "1e400"):
            with self.subTest(value):
                call = self._call(
                    ("Deadline-Ms", value),
                    ("Program-Id", "p"),
                    ("Program-Deadline-Ms", value),
                )
                self.assertIsNone(call.deadline)
                self.assertIsNone(call.program.deadline)

    def test_internal_headers_of_callers_are_not_forwarded(self) -> None:
        call = self._call(
            ("Hold", "h"),
            ("Kv-From", "x"),
            ("Pin-Ms", "5"),
            ("Kv-Backup", "y"),
            ("Target-Instance", "i9"),
            ("Connection", "x-hop"),
            ("X-Hop", "1"),
            ("X-Own", "2"),
        )
        endpoint = Endpoint("i1", "s", "10.0.0.1", 80, "z", 1)
        sent = PlatformWire().encode(
            call, endpoint, b"body", remaining_s=1.25, last_event_id="4"
        )
        head, _, body = sent.decode().partition("\r\n\r\n")
        lines = head.split("\r\n")
        self.assertEqual("POST /a/b?c HTTP/1.1", lines[0])
        for name in ("Hold", "Kv-From", "Pin-Ms", "Kv-Backup", "X-Hop"):
            self.assertNotIn(f"\n{name}:", head)
        self.assertIn("Target-Instance: i1", lines)
        self.assertIn("X-Own: 2", lines)
        self.assertIn("Deadline-Ms: 1250", lines)
        self.assertIn("Last-Event-Id: 4", lines)
        self.assertEqual(("body", 1), (body, head.count("Request-Id")))

    def test_unsigned_and_content_encoded_answers_are_not_genuine(self) -> None:
        wire = PlatformWire()
        signature = ("Response-Signature", "x")
        self.assertTrue(wire.decode(200, [signature]).is_genuine)
        self.assertFalse(wire.decode(200, []).is_genuine)
        self.assertFalse(
            wire.decode(200, [signature, ("Content-Encoding", "gzip")]).is_genuine
        )

    def test_only_421_or_not_executed_header_means_not_run(self) -> None:
        wire = PlatformWire()
        self.assertTrue(wire.decode(503, [("Not-Executed", "1")]).has_not_run)
        self.assertTrue(wire.decode(421, []).has_not_run)
        self.assertFalse(wire.decode(503, []).has_not_run)
