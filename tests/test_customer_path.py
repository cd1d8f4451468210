"""End-to-end tests of customers' keys: callers, gateways, store and replicas."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64decode
from unittest import IsolatedAsyncioTestCase

import msgspec

from carobspur.gateway.customers.ownership import scoped_name
from carobspur.platform.gateway import KEY_FRESH_S
from carobspur.platform.store import RELAY_PATH, RelayAnswer, RelayRequest

from .customers import (
    APPLY_S,
    KEYS,
    bearer,
    call_as,
    configure,
    customer_configuration,
    tenant,
)
from .platform_world import ENGINES, TOOLS, World, call, configuration, world

CONFIG_APPLY_S = 3.0


def replica_of(deployment: World, service: str):
    """Return the only replica of a service."""
    (found,) = [r for r in deployment.replicas.values() if r.service == service]
    return found


class KeysTest(IsolatedAsyncioTestCase):
    async def test_endpoint_gets_the_name_and_never_the_key(self) -> None:
        """Guards against keys and forged names that are passed on."""
        async with world() as deployment:
            await configure(deployment, customer_configuration())
            tool = replica_of(deployment, TOOLS)
            forms = [f"Bearer {KEYS['lima']}", f"bEARER  \t{KEYS['lima']}  "]
            for path in ("/read/a", "/open/a"):
                for form in forms:
                    answer = await deployment.call(
                        path, authorization=form, tenant="forged"
                    )
                    self.assertEqual(200, answer.status)
            named = [seen.headers.get("tenant") for seen in tool.seen]
            tool.seen.clear()
            for form in (bearer("unknown"), KEYS["lima"], f"Basic {KEYS['lima']}"):
                for headers in ({"authorization": form}, {}):
                    answer = await deployment.call(
                        "/open/a", tenant="forged", **headers
                    )
                    self.assertEqual(200, answer.status)
                answer = await deployment.call("/read/a", authorization=form)
                self.assertEqual(401, answer.status)
                self.assertEqual("Bearer", answer.headers["www-authenticate"])
            anonymous = [seen.headers.get("tenant") for seen in tool.seen]
            has_key = any("authorization" in seen.headers for seen in tool.seen)
        self.assertEqual(["lima"] * 4, named)
        self.assertEqual([None] * 6, anonymous)
        self.assertFalse(has_key)

    async def test_without_customers_both_headers_pass_as_before(self) -> None:
        async with world() as deployment:
            await deployment.call("/read/a", authorization="Bearer k", tenant="t")
            (seen,) = replica_of(deployment, TOOLS).seen
        self.assertEqual("Bearer k", seen.headers["authorization"])
        self.assertEqual("t", seen.headers["tenant"])

    async def test_streams_carry_the_name_and_not_the_key(self) -> None:
        async with world() as deployment:
            await configure(deployment, customer_configuration())
            answer = await call_as(deployment, "rome", "/walk/a", tenant="forged")
            (seen,) = replica_of(deployment, ENGINES).seen
        self.assertEqual(200, answer.status)
        self.assertEqual("rome", seen.headers["tenant"])
        self.assertNotIn("authorization", seen.headers)

    async def test_unknown_key_gets_503_while_the_version_may_be_old(self) -> None:
        """Guards against a 401 for a key that a newer version holds."""
        async with world() as deployment:
            await configure(deployment, customer_configuration())
            current = await deployment.call("/read/a", authorization="Bearer no")
            deployment.store.faults.is_silent = True
            await asyncio.sleep(KEY_FRESH_S + 0.1)
            stale = await deployment.call("/read/a", authorization="Bearer no")
            known = await call_as(deployment, "lima", "/read/a")
        self.assertEqual((401, 503), (current.status, stale.status))
        self.assertGreater(float(stale.headers["retry-after"]), 0)
        self.assertEqual(200, known.status)

    async def test_unknown_key_gets_503_after_a_damaged_version(self) -> None:
        """Guards against a 401 where the newest version could not be decoded."""
        async with world() as deployment:
            await configure(deployment, customer_configuration())
            deployment.configure({"version": 3, "tenants": []})
            async with asyncio.timeout(APPLY_S):
                while not deployment.gateways[0].events("configuration_refused"):
                    await asyncio.sleep(0.02)
            unknown = await deployment.call("/read/a", authorization="Bearer no")
            known = await call_as(deployment, "lima", "/read/a")
        self.assertEqual((503, 200), (unknown.status, known.status))

    async def test_versions_in_quick_succession_end_with_the_newest(self) -> None:
        """Guards against a moved or revoked key of a version in between."""
        async with world() as deployment:
            await configure(deployment, customer_configuration())
            deployment.configure(
                customer_configuration(3, [tenant("lima", "k1"), tenant("rome", "k2")])
            )
            deployment.configure(customer_configuration(5, [tenant("rome", "k1")]))
            newest = customer_configuration(6, [tenant("rome", "k1"), tenant("lima")])
            await configure(deployment, newest)
            deployment.configure(customer_configuration(4, [tenant("lima", "k2")]))
            await asyncio.sleep(0.2)
            statuses = [
                (await deployment.call("/read/a", authorization=bearer(key))).status
                for key in ("k1", "k2", KEYS["lima"])
            ]
            (seen,) = replica_of(deployment, TOOLS).seen
        self.assertEqual([200, 401, 401], statuses)
        self.assertEqual("rome", seen.headers["tenant"])

    async def test_stream_in_flight_when_its_key_is_revoked_is_completed(
        self,
    ) -> None:
        async with world(events=12) as deployment:
            await configure(deployment, customer_configuration())
            engine = replica_of(deployment, ENGINES)
            engine.event_s = 0.1
            running = asyncio.ensure_future(
                call_as(deployment, "lima", "/walk/a", deadline_ms=30_000)
            )
            while not engine.seen:
                await asyncio.sleep(0.01)
            await configure(
                deployment, customer_configuration(3, [tenant("rome", "k")])
            )
            refused = await call_as(deployment, "lima", "/walk/a")
            is_in_flight = not running.done()
            answer = await running
        self.assertTrue(is_in_flight)
        self.assertEqual(
            (401, 200, True), (refused.status, answer.status, answer.is_whole)
        )

    async def test_gateway_that_the_store_rejects_learns_through_a_peer(self) -> None:
        """Guards against a revoked key that works where the store does not answer."""
        for name in ("silent_ports", "rejecting_ports"):
            with self.subTest(name):
                await self._revoke_beside_a_cut(name)

    async def _revoke_beside_a_cut(self, faulty_ports: str) -> None:
        async with world(gateways=2) as deployment:
            await configure(deployment, customer_configuration())
            cut_off = deployment.gateways[1]
            getattr(deployment.store.faults, faulty_ports).add(cut_off.store_port)
            async with asyncio.timeout(APPLY_S):
                while not cut_off.events("store_lost"):
                    await asyncio.sleep(0.02)
            written_at = time.monotonic()
            await configure(
                deployment, customer_configuration(3, [tenant("lima", "new")])
            )
            taken_s = time.monotonic() - written_at
            revoked = await call_as(deployment, "lima", "/read/a", via=1)
            added = await deployment.call("/read/a", via=1, authorization=bearer("new"))
            lost = cut_off.events("store_lost")
            regained = cut_off.events("store_regained")
        self.assertEqual((len(lost), 200), (len(regained) + 1, added.status))
        self.assertIn(revoked.status, (401, 503))
        self.assertLess(taken_s, CONFIG_APPLY_S)

    async def test_no_key_in_logs_metrics_answers_or_messages(self) -> None:
        """Guards against keys in what the gateway writes, tells peers and answers."""
        async with world() as deployment:
            await configure(deployment, customer_configuration())
            gateway = deployment.gateways[0]
            key = KEYS["lima"]
            told = [await call_as(deployment, "lima", "/read/a")]
            for value in (key, f"Basic {key}", f"Bearer {key}x"):
                told.append(await deployment.call("/read/a", authorization=value))
            told.append(await call(gateway.ports["metrics"], "/metrics"))
            told.append(await call(gateway.ports["peers"], "/snapshot"))
            target = "/carobspur/rows-get?table=op&part=&limit=500"
            relayed = await call(
                gateway.ports["peers"],
                RELAY_PATH,
                body=msgspec.msgpack.encode(RelayRequest("GET", target, b"", 2.0)),
            )
            page = msgspec.msgpack.decode(relayed.body, type=RelayAnswer).body
            lines = json.dumps(gateway.lines, default=repr)
        (row,) = json.loads(page)["rows"]
        texts = [lines.encode(), b64decode(row["value"]), page]
        texts += [answer.body + repr(answer.headers).encode() for answer in told]
        self.assertIn(b"keyDigests", told[-1].body)
        for text in texts:
            self.assertNotIn(key.encode(), text)


class StateOfCustomersTest(IsolatedAsyncioTestCase):
    async def test_same_ids_share_neither_history_nor_budget(self) -> None:
        """Guards against prompts and budgets that leak between customers."""
        more = {"program_id": "p", "token_budget": 200, "token_usage": "10,150"}
        async with world() as deployment:
            await configure(deployment, customer_configuration())
            engine = replica_of(deployment, ENGINES)
            first = [
                await call_as(
                    deployment,
                    name,
                    "/chat/a",
                    body=f"of {name}.".encode(),
                    request_id="same",
                    **more,
                )
                for name in KEYS
            ]
            following = [
                await call_as(
                    deployment,
                    name,
                    "/chat/a",
                    body=b"next",
                    previous_turn="same",
                    **more,
                )
                for name in KEYS
            ]
            third = await call_as(
                deployment,
                "lima",
                "/chat/a",
                body=b"x",
                **more | {"token_usage": "1,190"},
            )
            bodies = [seen.body for seen in engine.seen[2:4]]
        self.assertEqual([200] * 4, [item.status for item in first + following])
        self.assertEqual(402, third.status)
        for name, body in zip(KEYS, bodies, strict=True):
            others = set(KEYS) - {name}
            self.assertIn(f"of {name}.".encode(), body)
            self.assertFalse([item for item in others if item.encode() in body])

    async def test_foreign_turn_is_answered_like_an_unknown_one(self) -> None:
        async with world(gateways=2) as deployment:
            await configure(deployment, customer_configuration())
            more = {"program_id": "p", "body": b"x"}
            await call_as(deployment, "lima", "/chat/a", request_id="turn-1", **more)
            found = {}
            for previous in ("turn-1", "turn-2", scoped_name("lima", "turn-1")):
                for via in (0, 1):
                    answer = await call_as(
                        deployment,
                        "rome",
                        "/chat/a",
                        previous_turn=previous,
                        via=via,
                        **more,
                    )
                    text = answer.body.replace(previous.encode(), b"ID")
                    found[previous, via] = (answer.status, text)
            own = await call_as(
                deployment, "lima", "/chat/a", previous_turn="turn-1", via=1, **more
            )
        self.assertEqual(200, own.status)
        self.assertEqual({404}, {status for status, _ in found.values()})
        self.assertEqual(1, len(set(found.values())), found)

    async def test_program_from_before_customers_continues(self) -> None:
        """Guards against an upgrade that loses the history of running programs."""
        more = {"program_id": "p", "token_budget": 2000, "token_usage": "10,50"}
        async with world() as deployment:
            await deployment.call("/chat/a", body=b"old.", request_id="turn-1", **more)
            await configure(deployment, customer_configuration())
            answer = await call_as(
                deployment, "lima", "/chat/a", body=b"x", previous_turn="turn-1", **more
            )
            seen = replica_of(deployment, ENGINES).seen[-1]
            reserved = deployment.gateways[0].events("reserved")
            turns = {row["key"] for row in deployment.store.rows("turns")}
        self.assertEqual(200, answer.status)
        self.assertTrue(seen.body.startswith(b"old."))
        self.assertGreater(reserved[-1]["others"], 0)
        self.assertIn("turn-1", turns)

    async def test_rows_without_customers_have_the_names_of_before(self) -> None:
        more = {"program_id": "p", "token_budget": 2000, "token_usage": "10,50"}
        async with world() as deployment:
            deployment.configure(configuration(2, tenants=[]))
            await deployment.call("/chat/a", body=b"x", request_id="turn-1", **more)
            turns = [row["key"] for row in deployment.store.rows("turns")]
            accounts = [row["key"] for row in deployment.store.rows("spending")]
        self.assertEqual((["turn-1"], ["p"]), (turns, accounts))
