"""Imports of inventories: races, lost answers, claims, permissions, drains.

Guards against a change that is applied twice or in part, an instance that reverts to
an older inventory, and an organisation that uses another's keys, endpoints or programs.
"""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from carobspur.configuration import Configuration, ImportResult
from carobspur.errors import ConflictError, StoreUnavailableError
from carobspur.inventory import Inventory, Key, Role, StopRule
from carobspur.table import HttpTable
from carobspur.verdict import MAY_HAVE_RUN
from carobspur_standins.app import FaultKind, FaultOrder, InProcessClient
from carobspur_standins.table import MemoryTable

from . import builders
from .virtual import run_virtual
from .world import Reply, World

OTHER = "jalbandi"
OTHER_OPERATOR = "x-" + builders.OPERATOR_SECRET
STATUS = f"/v1/organisations/{builders.ORGANISATION}/status"


def other_inventory(**changes: object) -> Inventory:
    inventory = builders.an_inventory(OTHER, secret_prefix="x-")
    return msgspec.structs.replace(inventory, **changes)


class ImportTest(unittest.TestCase):
    def test_lost_answer_applies_once_even_after_another_change(self) -> None:
        async def scenario() -> None:
            client = InProcessClient({builders.TABLE_URL: MemoryTable()})
            configuration = Configuration(HttpTable(client, builders.TABLE_URL))

            async def put(units: int, expected: int, change: str) -> ImportResult:
                return await configuration.import_inventory(
                    builders.an_inventory(units=units),
                    expected=expected,
                    change=change,
                    operator="ops",
                    now_s=0.0,
                )

            client.faults(builders.TABLE_URL).set(
                FaultOrder(FaultKind.LOSE_ANSWER, count=1, path="/v1/commit")
            )
            with self.assertRaises(StoreUnavailableError) as raised:
                await put(1, 0, "a")
            self.assertEqual(raised.exception.verdict, MAY_HAVE_RUN)
            self.assertEqual((await put(2, 1, "b")).revision, 2)
            for expected in (0, 2):
                again = await put(1, expected, "a")
                self.assertEqual((again.revision, again.changed), (1, False))
            stored = await configuration.organisation(builders.ORGANISATION)
            self.assertEqual(stored.inventory.allowances[0].units, 2)
            with self.assertRaises(ConflictError):
                await put(3, 2, "a")

        run_virtual(scenario)

    def test_many_operators_race_and_one_wins(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            replies = await asyncio.gather(
                *(
                    world.import_inventory(
                        builders.an_inventory(units=number),
                        revision=1,
                        change=f"c-{number}",
                        node=number % 3 + 1,
                    )
                    for number in range(100, 110)
                )
            )
            won = [reply for reply in replies if reply.status == 200]
            lost = [reply for reply in replies if reply.status == 409]
            self.assertEqual((len(won), len(lost)), (1, 9))
            for reply in lost:
                place = reply.json["detail"][0]["place"]
                self.assertEqual(place, "allowances/organisation/3600s")
            history = await world.operate("GET", _path("inventory/history"))
            self.assertEqual([item["revision"] for item in history.json], [1, 2])

        run_virtual(scenario)

    def test_changes_of_two_organisations_never_share_a_revision(self) -> None:
        async def scenario() -> None:
            world = await World().start(2)
            own = builders.an_inventory(units=5)
            replies = await asyncio.gather(
                world.import_inventory(own, revision=1, change="a", node=1),
                world.import_inventory(
                    other_inventory(), revision=0, change="b", node=2
                ),
            )
            self.assertEqual(
                sorted(reply.json["revision"] for reply in replies), [2, 3]
            )
            await world.until(lambda: _revisions(world) == {3})
            for node in world.nodes.values():
                self.assertEqual(
                    set(node.control.inventories), {own.organisation, OTHER}
                )

        run_virtual(scenario)

    def test_history_reads_only_the_organisations_own_changes(self) -> None:
        async def scenario() -> None:
            world = await World().start(1)
            await world.import_inventory(other_inventory(), revision=0, change="x")
            for revision in (1, 3, 4):
                inventory = builders.an_inventory(units=revision)
                await world.import_inventory(
                    inventory, revision=revision, change=f"c-{revision}"
                )
            reply = await world.operate("GET", _path("inventory/history?limit=3"))
            self.assertEqual([change["revision"] for change in reply.json], [3, 4, 5])
            self.assertEqual(
                {change["organisation"] for change in reply.json}, {"oro-recupero"}
            )

        run_virtual(scenario)

    def test_change_is_in_force_on_every_instance_within_3_s(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            reply = await world.import_inventory(
                builders.an_inventory(units=5), revision=1, change="a"
            )
            revision = reply.json["revision"]
            seconds = await world.until(lambda: _revisions(world) == {revision})
            self.assertLess(seconds, 3.0)
            shown = await world.operate("GET", STATUS, node=3)
            self.assertEqual(
                [item["revision"] for item in shown.json["instances"]], [2] * 3
            )

        run_virtual(scenario)

    def test_no_instance_reverts_over_outage_and_replacement(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            reply = await world.import_inventory(
                builders.an_inventory(units=5), revision=1, change="a"
            )
            await world.until(lambda: _revisions(world) == {reply.json["revision"]})
            faults = world.client.faults(builders.TABLE_URL)
            faults.set(FaultOrder(FaultKind.DOWN))
            refused = await world.import_inventory(
                builders.an_inventory(units=6), revision=2, change="b"
            )
            self.assertEqual(refused.status, 503)
            await asyncio.sleep(2)
            self.assertEqual(_revisions(world), {2})
            shown = await world.operate("GET", STATUS)
            self.assertEqual((shown.status, shown.json["budgets"]), (200, None))
            faults.set(FaultOrder(FaultKind.NONE))
            world.kill(2)
            await world.add_node(2)
            replacement = world.nodes[2].entry
            self.assertFalse(replacement.is_ready)
            await world.until(lambda: replacement.is_ready)
            self.assertEqual(replacement.view.revision, 2)
            units = (
                replacement.view.inventory(builders.ORGANISATION).allowances[0].units
            )
            self.assertEqual(units, 5)

        run_virtual(scenario)


class OwnershipTest(unittest.TestCase):
    def test_only_the_platforms_key_registers_an_organisation(self) -> None:
        async def scenario() -> None:
            world = await World().start(1)
            inventory = other_inventory()
            for secret in (OTHER_OPERATOR, builders.OPERATOR_SECRET, "guess"):
                reply = await world.import_inventory(
                    inventory, revision=0, change="c", secret=secret
                )
                self.assertIn(reply.status, (401, 403), secret)
                self.assertEqual(reply.json["verdict"], "not_run")
            reply = await world.import_inventory(inventory, revision=0, change="c")
            self.assertEqual(reply.status, 200, reply.body)
            again = await world.import_inventory(inventory, revision=0, change="d")
            self.assertEqual((again.status, "detail" in again.json), (409, False))
            later = await world.import_inventory(
                inventory, revision=2, change="e", secret=builders.PLATFORM_SECRET
            )
            self.assertEqual(later.status, 403)

        run_virtual(scenario)

    def test_operators_see_and_change_only_their_own(self) -> None:
        async def scenario() -> None:
            world = await World().start(1)
            await world.import_inventory(other_inventory(), revision=0, change="x")
            program = await world.start_program("k")
            requests = [
                ("GET", "inventory", None),
                ("PUT", "inventory", msgspec.to_builtins(world.inventory)),
                ("POST", "inventory/difference", {}),
                ("GET", "inventory/history", None),
                ("GET", "rules", None),
                ("GET", "status", None),
                ("GET", f"programs/{program}", None),
                ("DELETE", f"programs/{program}", None),
            ]
            for method, tail, body in requests:
                reply = await world.operate(
                    method, _path(tail), body, secret=OTHER_OPERATOR
                )
                self.assertEqual(reply.status, 403, (method, tail, reply.body))
                path = _path(tail, OTHER)
                if "programs" in tail:
                    reply = await world.operate(
                        method, path, body, secret=OTHER_OPERATOR
                    )
                    self.assertEqual(reply.status, 404, (method, tail, reply.body))

        run_virtual(scenario)

    def test_claims_of_others_are_refused_with_their_places(self) -> None:
        async def scenario() -> None:
            own = builders.an_inventory()
            services = [msgspec.structs.replace(own.services[0], shared=False)]
            world = await World(
                msgspec.structs.replace(own, services=services + own.services[1:])
            ).start(1)
            bad = other_inventory()
            engines = [msgspec.structs.replace(bad.engines[0], checks_fencing=False)]
            stolen = Key(
                "stolen", builders.digest_of(builders.CALLER_SECRET), Role.CALLER
            )
            bad = msgspec.structs.replace(
                bad, engines=engines, keys=[*bad.keys, stolen]
            )
            reply = await world.import_inventory(bad, revision=0, change="x")
            self.assertEqual(reply.status, 422, reply.body)
            self.assertEqual(
                {fault["place"] for fault in reply.json["detail"]},
                {"keys[2].sha256", "engines[0]", "services[0].replicas[0]"},
            )
            good = other_inventory(services=other_inventory().services[1:])
            reply = await world.import_inventory(good, revision=0, change="y")
            self.assertEqual(reply.status, 200, reply.body)

        run_virtual(scenario)

    def test_dropped_claim_is_free_and_racing_claims_have_one_winner(self) -> None:
        async def scenario() -> None:
            own = builders.an_inventory()
            world = await World(own).start(2)
            key = Key("new", builders.digest_of("fresh"), Role.CALLER)
            mine = msgspec.structs.replace(own, keys=[*own.keys, key])
            theirs = other_inventory(keys=[*other_inventory().keys, key])
            replies = await asyncio.gather(
                world.import_inventory(mine, revision=1, change="m", node=1),
                world.import_inventory(theirs, revision=0, change="t", node=2),
            )
            self.assertEqual(sorted(reply.status for reply in replies), [200, 422])
            if replies[0].status == 200:
                reply = await world.import_inventory(own, revision=2, change="m2")
                self.assertEqual(reply.status, 200)
                reply = await world.import_inventory(theirs, revision=0, change="t")
                self.assertEqual(reply.status, 200, reply.body)

        run_virtual(scenario)


class StopTest(unittest.TestCase):
    def stop(self, rules: list[StopRule], **options: str) -> int:
        """Return the HTTP status of stopping a program under rules.

        An operator sends the request, or the user that ``options`` name.
        """

        async def scenario() -> Reply:
            inventory = builders.an_inventory()
            changed = msgspec.structs.replace(inventory.rules, stop=rules)
            world = await World(
                msgspec.structs.replace(inventory, rules=changed)
            ).start(1)
            program = await world.start_program("k")
            if options:
                path = f"/v1/programs/{program}"
                return await world.ask("DELETE", path, **options)
            return await world.operate("DELETE", _path(f"programs/{program}"))

        return run_virtual(scenario).status

    def test_rules_decide_who_may_stop_programs(self) -> None:
        own = StopRule(Role.CALLER, own_only=True)
        any_user = StopRule(Role.CALLER, own_only=False)
        operator = StopRule(Role.OPERATOR, own_only=False)
        cases = [
            ([own], {"user": "clerk-1"}, 204),
            ([own], {"user": "clerk-2"}, 404),
            ([any_user], {"user": "clerk-2"}, 204),
            ([operator], {"user": "clerk-1"}, 403),
            ([operator], {}, 204),
            ([own], {}, 403),
            ([], {}, 403),
        ]
        for rules, options, expected in cases:
            status = self.stop(rules, **options)
            self.assertEqual(status, expected, (rules, options))


class DrainTest(unittest.TestCase):
    def test_instance_releases_shards_on_drain_and_claims_on_undrain(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            path = "/v1/instances/instance-2/"
            refused = await world.operate("POST", path + "drain", {})
            self.assertEqual(refused.status, 401)
            secret = builders.PLATFORM_SECRET
            reply = await world.operate("POST", path + "drain", {}, secret=secret)
            self.assertEqual(reply.status, 200, reply.body)
            drained = world.nodes[2].scheduler.shard_manager
            await world.until(lambda: not drained.owned)
            program = await world.start_program("k", node=2)
            self.assertNotEqual(world.owner_of(program), 2)
            shown = await world.operate("GET", STATUS)
            states = [item["state"] for item in shown.json["instances"]]
            self.assertEqual(states, ["ready", "leaving", "ready"])
            reply = await world.operate("POST", path + "undrain", {}, secret=secret)
            self.assertEqual(reply.status, 200, reply.body)
            await world.until(lambda: bool(drained.owned))

        run_virtual(scenario)


def _path(tail: str, organisation: str = builders.ORGANISATION) -> str:
    return f"/v1/organisations/{organisation}/{tail}"


def _revisions(world: World) -> set[int]:
    return {node.entry.view.revision for node in world.nodes.values()}
