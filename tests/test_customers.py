"""Customers and their keys: decoding, authentication, and names of stored state."""

from __future__ import annotations

import asyncio
import json
import logging
import unittest
from base64 import b64encode
from contextlib import nullcontext
from unittest import IsolatedAsyncioTestCase, mock

import msgspec

from carobspur.gateway.calls import Call, ProgramInfo
from carobspur.gateway.customers.authentication import authenticate
from carobspur.gateway.customers.customer import Customer, key_digest
from carobspur.gateway.customers.ownership import (
    previous_turn_names,
    program_name,
    scoped_name,
    turn_name,
    unscoped_name,
)
from carobspur.gateway.decisions import DecisionLog
from carobspur.gateway.explanation import LoggedEvent, explain
from carobspur.gateway.feed import TableFeed
from carobspur.gateway.program_losses import loss_groups
from carobspur.gateway.refusals import (
    NoConfigurationError,
    NoEndpointError,
    UnknownKeyError,
)
from carobspur.gateway.routes import Configuration, Route
from carobspur.gateway.rows import Row, RowKey, RowStoreAwayError, Snapshot
from carobspur.gateway.spending import AccountOwner
from carobspur.gateway.spending_records import BudgetSpentError
from carobspur.gateway.stream_calls import StreamCallHandler
from carobspur.gateway.turn_rows import TurnRows
from carobspur.gateway.turn_state import TurnState
from carobspur.gateway.turn_store import EMPTY_HISTORY, NoSuchTurnError, TurnStore
from carobspur.platform.bootstrap import decode_snapshot, load_snapshot
from carobspur.platform.configuration import (
    ConfigurationError,
    decode_configuration,
    replace_keys,
)
from carobspur.platform.headers import decode_call
from carobspur.platform.store_wire import replace_page_keys

from .account_owners import AccountOwners
from .customers import KEYS, customer_configuration, tenant
from .memory_rows import MemoryRowStore

SECRET = "secret-that-must-not-leak"
RETENTION_S = 60
ODD_IDS = ("p", "a b", "~p", "~0123456789abcdef~p", "\xe9" * 140, "x" * 8000, "t/1")


def decode(*tenants: object) -> Configuration:
    """Return the decoded configuration with these entries of customers."""
    content = customer_configuration(tenants=list(tenants))
    return decode_configuration(json.dumps(content).encode())


def call_of(
    customer: str | None, *, request: str = "r", program: str = "p", previous: str = ""
) -> Call:
    """Return a request that has been attributed to a customer."""
    info = ProgramInfo(program, previous_turn=previous)
    return Call(request, "GET", "/", "", [], b"", 0, program=info, customer=customer)


def request_with(*fields: tuple[str, str]) -> Call:
    """Return the decoded head of a request with these header fields."""
    return decode_call("GET", "/", [("Host", "h"), *fields], arrived_at=0)


class OwnershipTest(unittest.TestCase):
    def test_names_without_customers_are_the_ids(self) -> None:
        """Guards against rows that an upgrade no longer finds."""
        for name in ODD_IDS:
            call = call_of(None, request=name, program=name, previous=name)
            self.assertEqual((name, name), (turn_name(call), program_name(call)))
            self.assertEqual(name, previous_turn_names(call)[0])

    def test_names_of_different_customers_and_ids_differ(self) -> None:
        """Guards against one customer that chooses an id to reach another's state."""
        customers = ("", "a", "aa", "~", "a~a")
        names = {
            scoped_name(customer, name) for customer in customers for name in ODD_IDS
        }
        names |= {
            scoped_name(customer, scoped_name("a", name))
            for customer in customers
            for name in ODD_IDS
        }
        self.assertEqual(2 * len(customers) * len(ODD_IDS), len(names))

    def test_row_keys_stay_short(self) -> None:
        """Guards against keys that the store refuses."""
        for name in ODD_IDS:
            key = f"{scoped_name('c' * 500, name)}/rows/100000"
            self.assertLess(len(key.encode()), 200)

    def test_row_from_before_customers_is_looked_up_second(self) -> None:
        names = previous_turn_names(call_of("a", previous="t1"))
        self.assertEqual((scoped_name("a", "t1"), "t1"), names)
        self.assertEqual("", unscoped_name("t1"))

    def test_id_of_the_form_of_a_name_reads_no_row_of_another_customer(self) -> None:
        """Guards against ``Previous-Turn`` with the stored name of a foreign turn."""
        foreign = scoped_name("a", "t1")
        names = previous_turn_names(call_of("b", previous=foreign))
        self.assertEqual(1, len(names))
        self.assertNotIn(foreign, names)

    def test_requests_without_previous_turn_have_none(self) -> None:
        self.assertEqual((), previous_turn_names(call_of("a")))


class KeyHeaderTest(unittest.TestCase):
    def test_every_form_of_the_key_is_recognised(self) -> None:
        for name in ("Authorization", "authorization", "AUTHORIZATION"):
            for value in (
                "Bearer k",
                "bearer k",
                "BEARER   k ",
                "Bearer\tk",
                " Bearer k",
            ):
                with self.subTest(name=name, value=value):
                    call = request_with((name, value))
                    self.assertEqual(key_digest("k"), call.key_digest)

    def test_key_beyond_ascii_is_utf_8(self) -> None:
        value = "Bearer cl\xe9\xa0".encode().decode("latin-1")
        self.assertEqual(
            key_digest("cl\xe9\xa0"), request_with(("Authorization", value)).key_digest
        )

    def test_other_forms_have_no_key_and_are_never_forwarded(self) -> None:
        """Guards against a key that reaches an endpoint since it was not recognised."""
        for fields in (
            [("Authorization", SECRET)],
            [("Authorization", f"Basic {SECRET}")],
            [("Authorization", "Bearer")],
            [("Authorization", "Bearer k"), ("authorization", f"Bearer {SECRET}")],
            [("Authorization ", f"Bearer {SECRET}"), ("authorization", "Bearer k")],
            [("Authorization", f"Bearer {SECRET}\u20ac")],
        ):
            with self.subTest(fields):
                call = request_with(*fields, ("Tenant ", SECRET), ("TENANT", SECRET))
                self.assertEqual(b"", call.key_digest)
                self.assertEqual([], call.headers)
                self.assertNotIn(SECRET, repr(call))


class DecodingTest(unittest.TestCase):
    def test_customer_is_found_by_each_of_its_keys(self) -> None:
        found = decode(tenant("a", "k1", " k2\n", ratePerS=5, burst=2, priority=0))
        expected = Customer("a", (key_digest("k1"), key_digest("k2")), 0, 5.0, 2.0)
        self.assertEqual((expected,), found.customers)
        self.assertIs(found.customers[0], found.customer_of(key_digest("k2")))

    def test_customer_without_keys_requires_a_key_and_admits_nobody(self) -> None:
        for entry in (
            tenant("a"),
            {"name": "a"},
            {"name": "a", "apiKeys": None, "ratePerS": None},
            tenant("a", "", " "),
        ):
            with self.subTest(entry):
                found = decode(entry)
                self.assertTrue(found.has_customers)
                self.assertIsNone(found.customer_of(key_digest("")))
                self.assertIsNone(found.customer_of(b""))

    def test_damaged_entry_costs_that_entry_only(self) -> None:
        """Guards against a lost configuration, and a service that admits everybody."""
        for entry in (
            None,
            "a",
            {},
            {"name": 5, "apiKeys": [SECRET]},
            tenant("", SECRET),
            tenant("a\r\nX: y", SECRET),
            tenant("\ud800", SECRET),
            tenant("a", SECRET, ratePerS=-1),
            tenant("a", SECRET, burst="many"),
            tenant("a", SECRET, burst=float("inf")),
            tenant("a", SECRET, "\ud800"),
            {"name": "a", "apiKeys": SECRET},
            {"name": "a", "apiKeys": [SECRET, 7]},
            {"name": "a", "apiKeys": {SECRET: SECRET}},
        ):
            with self.subTest(entry):
                for others in ([], [tenant("b", "k")]):
                    found = decode(entry, *others)
                    self.assertTrue(found.has_customers)
                    self.assertEqual(("0",), found.damaged_customers)
                    self.assertIsNone(found.customer_of(key_digest(SECRET)))
                    self.assertEqual(len(others), len(found.customers))
                    self.assertNotIn(SECRET, repr(found))

    def test_field_that_is_no_list_damages_the_configuration(self) -> None:
        content = customer_configuration() | {"tenants": SECRET}
        with self.assertRaises(ConfigurationError) as raised:
            decode_configuration(json.dumps(content).encode())
        self.assertNotIn(SECRET, str(raised.exception))

    def test_without_entries_there_are_no_customers(self) -> None:
        for tenants in (None, []):
            content = customer_configuration() | {"tenants": tenants}
            found = decode_configuration(json.dumps(content).encode())
            self.assertFalse(found.has_customers)

    def test_first_of_two_customers_holds_a_key(self) -> None:
        found = decode(tenant("a", "k"), tenant("b", "k"))
        self.assertEqual("a", found.customer_of(key_digest("k")).name)

    def test_replaced_keys_decode_to_the_same_configuration(self) -> None:
        value = json.dumps(customer_configuration()).encode()
        replaced = replace_keys(value)
        for key in KEYS.values():
            self.assertNotIn(key.encode(), replaced)
        self.assertEqual(replaced, replace_keys(replaced))
        self.assertEqual(decode_configuration(value), decode_configuration(replaced))

    def test_no_key_is_left_of_a_damaged_value(self) -> None:
        """Guards against keys in messages where the configuration is damaged."""
        whole = json.dumps(customer_configuration(tenants=[tenant("a", SECRET)]))
        for text in (
            whole[:-1],
            json.dumps([tenant("a", SECRET)]),
            json.dumps(SECRET),
            f'{{"tenants": [{{"apiKeys": ["{SECRET}"]}}], "tenants": null}}',
            json.dumps({"tenants": SECRET}),
            json.dumps({"tenants": {"apiKeys": [SECRET]}}),
            json.dumps({"tenants": [[SECRET], SECRET, {"apiKeys": SECRET}]}),
            json.dumps({"tenants": [{"name": "a", "apikeys": [SECRET]}]}),
        ):
            with self.subTest(text):
                self.assertNotIn(SECRET.encode(), replace_keys(text.encode()))

    def test_relayed_page_has_no_key(self) -> None:
        value = json.dumps(customer_configuration()).encode()
        row = {"table": "op", "key": "config", "value": b64encode(value).decode()}
        body = json.dumps({"rows": [row | {"ver": 3}], "ver": 4}).encode()
        page = json.loads(replace_page_keys(body))
        self.assertEqual((4, 3), (page["ver"], page["rows"][0]["ver"]))
        expected = b64encode(replace_keys(value)).decode()
        self.assertEqual(expected, page["rows"][0]["value"])

    def test_snapshot_of_an_older_version_leaves_no_key(self) -> None:
        """Guards against keys kept from a peer that does not replace them yet."""
        value = json.dumps(customer_configuration(tenants=[tenant("a", SECRET)]))
        rows = [("config", value.encode(), 3), ("other", b"x", 4)]
        snapshot = decode_snapshot(msgspec.msgpack.encode({"configuration": rows}))
        log = DecisionLog(logging.getLogger("test"))
        feed = TableFeed(mock.Mock(), "op", lambda *_: None, log)
        load_snapshot({"configuration": feed}, snapshot)
        loaded = feed.rows["config"].value
        self.assertNotIn(SECRET.encode(), loaded)
        found = decode_configuration(loaded).customer_of(key_digest(SECRET))
        self.assertEqual("a", found.name)
        self.assertEqual(b"x", feed.rows["other"].value)

    def test_other_pages_are_relayed_unchanged(self) -> None:
        for body in (b"", b"no page", b'{"rows": [], "extra": "op"}'):
            self.assertEqual(body, replace_page_keys(body))


class AuthenticationTest(unittest.TestCase):
    def _authenticate(
        self, key: str, *, is_current: bool = True, is_open: bool = False
    ) -> Call:
        call = request_with(("Authorization", f"Bearer {key}"))
        found = decode(tenant("a", "k", priority=0))
        name = "open" if is_open else "read"
        route: Route = next(item for item in found.routes if item.name == name)
        authenticate(call, route, found, is_current=is_current)
        return call

    def test_known_key_sets_customer_and_priority(self) -> None:
        for is_open in (False, True):
            call = self._authenticate("k", is_open=is_open, is_current=False)
            self.assertEqual(("a", 0), (call.customer, call.priority))

    def test_unknown_key_is_anonymous_on_an_open_route(self) -> None:
        call = self._authenticate(SECRET, is_open=True)
        self.assertEqual(("", 1), (call.customer, call.priority))

    def test_request_has_no_customer_once_the_last_one_is_removed(self) -> None:
        """Guards against lost header fields and turns if that happens meanwhile."""
        call = request_with(("Authorization", f"Bearer {SECRET}"))
        before, after = decode(tenant("a", "k")), decode()
        route = next(item for item in before.routes if item.name == "read")
        with self.assertRaises(UnknownKeyError):
            authenticate(call, route, before, is_current=True)
        self.assertIsNone(authenticate(call, route, after, is_current=True))
        self.assertIsNone(call.customer)

    def test_unknown_key_is_refused_finally_only_if_the_version_is_the_newest(
        self,
    ) -> None:
        """Guards against a 401, which ends a program, for a key just added."""
        with self.assertRaises(UnknownKeyError) as final:
            self._authenticate(SECRET)
        with self.assertRaises(NoConfigurationError) as other:
            self._authenticate(SECRET, is_current=False)
        self.assertEqual((401, 503), (final.exception.status, other.exception.status))
        self.assertGreater(other.exception.retry_after_s, 0)
        for raised in (final, other):
            self.assertNotIn(SECRET, str(raised.exception))


class _CountingRowStore(MemoryRowStore):
    """Row store that counts the reads."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0

    async def read(self, *args: object, **named: object) -> Snapshot:
        self.reads += 1
        return await super().read(*args, **named)


class NamesInUseTest(IsolatedAsyncioTestCase):
    def test_reservations_of_the_same_request_id_differ(self) -> None:
        """Guards against a settlement that is applied to another customer's turn."""
        names = set()
        for customer in ("a", "b", "", None):
            turn = TurnState(call_of(customer, request="t"), None, 0.0)
            names.add(turn.reservation_id)
            turn.prepare_attempts = 2
            names.add(turn.reservation_id)
        self.assertEqual(8, len(names))
        self.assertTrue({"t", "t/2"} <= names)

    async def test_programs_of_the_same_id_are_placed_independently(self) -> None:
        """Guards against engines that get all programs of one popular id."""
        affinities = []
        configuration = decode()
        route = next(item for item in configuration.routes if item.name == "walk")
        for customer in ("a", "b", None):
            context = mock.Mock(configuration=configuration, hold_bytes=nullcontext)
            context.endpoints.usable.return_value = []
            context.limits.wait = mock.AsyncMock(return_value=False)
            context.placement.engine.return_value = None
            lifecycle = mock.Mock(prepare=mock.AsyncMock())
            handler = StreamCallHandler(context, lifecycle)
            with self.assertRaises(NoEndpointError):
                await handler.serve(
                    call_of(customer), route, mock.Mock(), deadline=float("inf")
                )
            affinities.append(context.placement.engine.call_args.args[1].affinity)
        self.assertEqual(
            [scoped_name("a", "p"), scoped_name("b", "p"), "p"], affinities
        )

    def test_explanation_includes_lines_with_stored_names(self) -> None:
        """Guards against an explanation without the lines on the token account."""
        answered = {"request": "r", "program": "p", "customer": "a"}
        lines = [
            ("account_adopted", {"program": scoped_name("a", "p")}),
            ("account_adopted", {"program": scoped_name("b", "p")}),
            ("not_settled", {"request": scoped_name("a", "r")}),
            ("answered", answered),
        ]
        events = [
            LoggedEvent(float(time), "g", event, fields)
            for time, (event, fields) in enumerate(lines)
        ]
        found = explain("r", events)
        self.assertEqual([events[2], events[3]], found.events)
        self.assertEqual([events[0]], found.program)

    def test_lost_programs_of_the_same_id_are_counted_separately(self) -> None:
        """Guards against a lost program hidden by another customer's success."""
        events = [
            LoggedEvent(1.0, "g", "failed", {"status": 503, "customer": "a"}),
            LoggedEvent(2.0, "g", "answered", {"status": 200, "customer": "b"}),
        ]
        for event in events:
            event.fields.update(request="r", program="p", cause="overloaded")
        (group,) = loss_groups(events)
        self.assertEqual(1, group.programs)


class TurnsOfCustomersTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = _CountingRowStore()
        rows = TurnRows(
            self.store,
            usual_s=lambda: 0.01,
            is_unreachable=lambda: False,
            log=DecisionLog(logging.getLogger("test")),
        )
        self.turns = TurnStore(rows, row_bytes=65536)

    async def _commit(self, customer: str | None, turn: str, text: bytes) -> None:
        name = turn_name(call_of(customer, request=turn))
        await self.turns.commit(
            EMPTY_HISTORY, name, text, retention_s=RETENTION_S, timeout_s=1
        )

    async def _text(self, customer: str | None, turn: str) -> bytes | None:
        for name in previous_turn_names(call_of(customer, previous=turn)):
            try:
                return (await self.turns.history(name, timeout_s=1)).text
            except NoSuchTurnError:
                continue
        return None

    async def test_same_id_of_two_customers_has_two_histories(self) -> None:
        await self._commit("a", "t", b"of a")
        await self._commit("b", "t", b"of b")
        await self._commit("", "t", b"anonymous")
        found = [await self._text(customer, "t") for customer in ("a", "b", "")]
        self.assertEqual([b"of a", b"of b", b"anonymous"], found)

    async def test_foreign_turn_takes_the_same_reads_as_an_unknown_one(self) -> None:
        """Guards against answers that reveal ids of other customers' turns."""
        await self._commit("a", "t", b"of a")
        reads = []
        for customer, turn in (("b", "t"), ("b", "unknown"), ("", "t")):
            before = self.store.reads
            self.assertIsNone(await self._text(customer, turn))
            reads.append(self.store.reads - before)
        self.assertEqual(1, len(set(reads)), reads)

    async def test_turn_from_before_customers_is_found(self) -> None:
        await self._commit(None, "t", b"old")
        self.assertEqual(b"old", await self._text("a", "t"))


class AccountsOfCustomersTest(IsolatedAsyncioTestCase):
    async def _reserve(
        self, owner: AccountOwner, customer: str | None, turn: str, tokens: int
    ) -> int:
        return await owner.reserve(
            scoped_name(customer, "p"),
            scoped_name(customer, turn),
            tokens,
            1000,
            retention_s=RETENTION_S,
        )

    async def test_two_customers_have_a_budget_each(self) -> None:
        owner = AccountOwners().start("a")
        others = [
            await self._reserve(owner, customer, "t", 900)
            for customer in ("a", "b", "", None)
        ]
        self.assertEqual([0, 0, 0, 0], others)

    async def test_early_settlement_ends_no_turn_of_another_customer(self) -> None:
        """Guards against a cancellation that is applied to a turn of the same id."""
        owner = AccountOwners().start("a")
        owner.settle(scoped_name("a", "p"), scoped_name("a", "t"), 0)
        self.assertEqual(0, await self._reserve(owner, "b", "t", 900))

    async def test_tokens_spent_before_customers_count(self) -> None:
        """Guards against a budget that begins anew with an upgrade."""
        for is_alive in (True, False):
            with self.subTest(is_alive=is_alive):
                owners = AccountOwners()
                first = owners.start("a")
                await self._reserve(first, None, "t1", 300)
                first.settle("p", "t1", 300)
                if not is_alive:
                    owners.remove(first)
                second = owners.start("b")
                other = await self._reserve(second, "x", "t2", 300)
                self.assertGreaterEqual(other, 300)
                if is_alive:
                    self.assertEqual(300, other)
                with self.assertRaises(BudgetSpentError):
                    await self._reserve(second, "x", "t3", 500)

    async def test_allowance_of_the_own_old_account_does_not_count_as_spent(
        self,
    ) -> None:
        """Guards against a budget lost where one gateway owns both accounts."""
        owner = AccountOwners().start("a")
        budget = 10_000
        await owner.reserve("p", "t1", 300, budget, retention_s=RETENTION_S)
        owner.settle("p", "t1", 100)
        other = await owner.reserve(
            scoped_name("x", "p"), "t2", 300, budget, retention_s=RETENTION_S
        )
        self.assertEqual(100, other)

    async def test_tokens_spent_before_customers_count_once(self) -> None:
        """Guards against a turn refused since old tokens were counted twice."""
        owners = AccountOwners()
        first = owners.start("a")
        await self._reserve(first, None, "t1", 300)
        first.settle("p", "t1", 300)
        second = owners.start("b")
        await self._reserve(second, "x", "t2", 300)
        second.settle(scoped_name("x", "p"), scoped_name("x", "t2"), 300)
        moved = await second.move_out(scoped_name("x", "p"))
        third = owners.start("c")
        self.assertTrue(third.take_over(moved))
        self.assertEqual(600, await self._reserve(third, "x", "t4", 300))

    async def test_old_tokens_count_if_the_owner_stops_after_an_outage(self) -> None:
        """Guards against a row without them, which ends the search for the old one."""
        owners = AccountOwners()
        first = owners.start("a")
        await self._reserve(first, None, "t1", 300)
        first.settle("p", "t1", 300)
        await first.flush()
        owners.remove(first)
        owners.may_grant_unrecorded = True
        second = owners.start("b")
        owners.store.is_unreachable = True
        self.assertEqual(0, await self._reserve(second, "x", "t2", 10))
        second.settle(scoped_name("x", "p"), scoped_name("x", "t2"), 10)
        owners.store.is_unreachable = False
        await second.flush()
        owners.remove(second)
        third = owners.start("c")
        self.assertEqual(310, await self._reserve(third, "x", "t3", 10))

    async def test_old_row_that_is_removed_meanwhile_blocks_no_turn(self) -> None:
        owners = AccountOwners()
        first = owners.start("a")
        await self._reserve(first, None, "t1", 100)
        first.settle("p", "t1", 100)
        second = owners.start("b")
        await self._reserve(second, "x", "t2", 100)
        owners.store.rows.clear()
        third = owners.start("c")
        owners.remove(second)
        self.assertEqual(0, await self._reserve(third, "x", "t3", 100))


class ConfirmationTest(IsolatedAsyncioTestCase):
    async def _confirm(self, known: int, answer: Snapshot | Exception | None) -> bool:
        class _Store:
            async def read(self, *_: object, **__: object) -> Snapshot:
                if answer is None:
                    await asyncio.sleep(3600)
                if isinstance(answer, Exception):
                    raise answer
                return answer

        log = DecisionLog(logging.getLogger("test"))
        feed = TableFeed(_Store(), "op", lambda *_: None, log)
        feed.load([Row(RowKey("op", "", "config"), b"x", known)])
        return await feed.confirm(max_age_s=1, timeout_s=0.05)

    async def test_only_a_copy_equal_to_the_store_is_current(self) -> None:
        """Guards against a 401 from a gateway that has missed a new version."""
        key = RowKey("op", "", "config")
        page = Snapshot([Row(key, b"x", 3)], 9)
        self.assertTrue(await self._confirm(3, page))
        removed = Row(RowKey("op", "", "removed"), None, 8)
        self.assertTrue(await self._confirm(3, Snapshot([*page.rows, removed], 9)))
        self.assertFalse(await self._confirm(2, page))
        self.assertFalse(await self._confirm(3, RowStoreAwayError("away")))
        self.assertFalse(await self._confirm(3, ValueError("damaged")))
        self.assertFalse(await self._confirm(3, None))
