"""Validation of imported inventories: every fault is reported, with its path."""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from carobspur.errors import InventoryError
from carobspur.inventory import encode_inventory
from carobspur.inventory_checks import parse_inventory

from . import builders

Change = Callable[[dict[str, Any]], None]


def _document() -> dict[str, Any]:
    return msgspec.to_builtins(builders.an_inventory())


def _set(path: str, value: Any) -> Change:
    def _change(document: dict[str, Any]) -> None:
        target: Any = document
        *parents, last = path.split(".")
        for name in parents:
            target = target[int(name) if name.isdecimal() else name]
        if isinstance(target, list):
            target[int(last)] = value
        else:
            target[last] = value

    return _change


def _places(document: Any) -> list[str]:
    try:
        parse_inventory(json.dumps(document).encode())
    except InventoryError as error:
        return [fault["place"] for fault in json.loads(error.detail)]
    return []


NUMBERS = {
    "models.0.context_tokens": "models[0].context_tokens",
    "models.0.input_cost": "models[0].input_cost",
    "models.0.output_cost": "models[0].output_cost",
    "models.0.timeout_s": "models[0].timeout_s",
    "engines.0.kv_tokens": "engines[0].kv_tokens",
    "engines.0.in_flight": "engines[0].in_flight",
    "engines.0.prefill_tokens_per_s": "engines[0].prefill_tokens_per_s",
    "engines.0.decode_tokens_per_s": "engines[0].decode_tokens_per_s",
    "services.0.timeout_s": "services[0].timeout_s",
    "services.0.cost": "services[0].cost",
    "services.0.in_flight": "services[0].in_flight",
    "agents.0.max_calls": "agents[0].max_calls",
    "agents.0.max_tokens": "agents[0].max_tokens",
    "agents.0.max_time_s": "agents[0].max_time_s",
    "agents.0.objective_s": "agents[0].objective_s",
    "agents.0.objective_share": "agents[0].objective_share",
    "allowances.0.units": "allowances[0].units",
    "allowances.0.window_s": "allowances[0].window_s",
    "rules.weights.latency": "rules.weights.latency",
    "rules.weights.wasted_cache": "rules.weights.wasted_cache",
}
OTHER_FAULTS: list[tuple[Change, str]] = [
    (_set("services.0.replicas", []), "services[0].replicas"),
    (_set("engines.0.address", "http://engine:1"), "engines[0].address"),
    (_set("engines.0.address", "http://10.0.1.1"), "engines[0].address"),
    (_set("engines.0.address", "http://10.0.1.1:99999"), "engines[0].address"),
    (_set("engines.0.address", "http://k@10.0.1.1:1"), "engines[0].address"),
    (_set("engines.0.address", builders.ENGINE_URLS[1]), "engines[1].address"),
    (_set("engines.0.data_centre", "nowhere"), "engines[0].data_centre"),
    (_set("engines.0.models", []), "engines[0].models"),
    (_set("engines.0.models", ["other"]), "engines[0].models"),
    (_set("engines.0.speed", 1), "engines[0].speed"),
    (_set("surprise", 1), "surprise"),
    (_set("rules.surprise", 1), "rules.surprise"),
    (_set("keys", []), "keys"),
    (_set("keys.0.sha256", "ABC"), "keys[0].sha256"),
    (_set("keys.0.role", "king"), "keys[0].role"),
    (_set("allowances.0.user", "*"), "allowances[0]"),
    (_set("agents.0.priority_class", "x"), "agents[0].priority_class"),
    (_set("organisation", ".."), "organisation"),
    (_set("organisation", "a/b"), "organisation"),
    (_set("models", {"a": 1}), "models"),
    (_set("rules", None), "rules"),
    (_set("rules.stop", [{"role": "caller"}] * 2), "rules.stop[0]"),
]


class InventoryChecksTest(unittest.TestCase):
    def test_every_number_has_bounds(self) -> None:
        for path, place in NUMBERS.items():
            for value in (-1, 1e300, 1 << 60, "1", None, True, [1]):
                document = _document()
                _set(path, value)(document)
                self.assertEqual(_places(document), [place], value)

    def test_other_faults_are_named_with_their_places(self) -> None:
        for number, (change, place) in enumerate(OTHER_FAULTS):
            document = _document()
            change(document)
            self.assertIn(place, _places(document), number)

    def test_all_faults_are_named_in_one_answer(self) -> None:
        document = _document()
        for path in NUMBERS:
            _set(path, -1)(document)
        document["keys"] = []
        expected = [*NUMBERS.values(), "keys"]
        self.assertEqual(sorted(_places(document)), sorted(expected))

    def test_malformed_documents_are_refused(self) -> None:
        for text in (
            b"",
            b"[",
            b"[]",
            b"null",
            b"\xff\xfe",
            b'{"a": NaN}',
            b"[" * 9999,
        ):
            with self.assertRaises(InventoryError):
                parse_inventory(text)

    def test_examples_and_builders_pass(self) -> None:
        inventory = builders.an_inventory()
        self.assertEqual(parse_inventory(encode_inventory(inventory)), inventory)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.data())
    def test_any_replaced_value_is_accepted_or_refused_cleanly(self, data: Any) -> None:
        document = _document()
        json_values = st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(st.text(), inner, max_size=3)
            ),
            max_leaves=5,
        )
        section = data.draw(st.sampled_from(sorted(document)))
        _set(section, data.draw(json_values))(document)
        _places(document)
