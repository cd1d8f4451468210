"""Membership and configuration among many control processes whose links fail."""

from __future__ import annotations

import asyncio
import unittest

from carobspur.shard_rows import shard_key
from carobspur.table import Write

from .fleet import Fleet
from .virtual import run_virtual

IN_FORCE_LIMIT_S = 3.0
HOUR_PACE = 60


class ChangesTest(unittest.TestCase):
    def test_changes_are_in_force_everywhere_within_three_seconds(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(30).start()
            took_s = [
                await fleet.until_in_force(await fleet.change()) for _ in range(5)
            ]
            self.assertLess(max(took_s), IN_FORCE_LIMIT_S)

        run_virtual(scenario)

    def test_lost_messages_only_delay(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(30).start()
            fleet.loss_share = 0.3
            for _ in range(5):
                took_s = await fleet.until_in_force(await fleet.change())
                self.assertLess(took_s, IN_FORCE_LIMIT_S)

        run_virtual(scenario)

    def test_a_day_of_changes_in_a_few_minutes(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(12).start()
            for _ in range(150):
                revision = await fleet.change()
                await asyncio.sleep(0.2)
            self.assertLess(await fleet.until_in_force(revision), IN_FORCE_LIMIT_S)

        run_virtual(scenario)

    def test_few_read_the_table(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(30).start()
            await asyncio.sleep(5)
            before = fleet.table.reads
            await asyncio.sleep(10)
            reads_per_s = (fleet.table.reads - before) / 10
            self.assertLess(reads_per_s, 30 * 2)

        run_virtual(scenario)


class CutTest(unittest.TestCase):
    def test_an_hour_without_the_other_region(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(12, data_centres=6).start()
            await asyncio.sleep(5)
            fleet.is_link_cut = lambda a, b: a % 2 != b % 2
            fleet.reaches_table = lambda number: number % 2 == 0
            revision = await fleet.change()
            await asyncio.sleep(10)
            far = [c for n, c in fleet.controls.items() if n % 2 == 1]
            near = [c for n, c in fleet.controls.items() if n % 2 == 0]
            self.assertTrue(all(c.revision == revision for c in near))
            self.assertTrue(all(c.is_current for c in near))
            self.assertTrue(all(c.revision < revision for c in far))
            self.assertFalse(any(c.is_current for c in far))
            fleet.clock.pace = HOUR_PACE
            await asyncio.sleep(3600)
            fleet.clock.pace = 1.0
            await asyncio.sleep(HOUR_PACE)
            self.assertTrue(all(c.revision < revision for c in far))
            fleet.is_link_cut = lambda a, b: False
            fleet.reaches_table = lambda number: True
            self.assertLess(await fleet.until_in_force(revision), IN_FORCE_LIMIT_S)

        run_virtual(scenario)

    def test_table_is_out_and_peers_are_there(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(7).start()
            fleet.reaches_table = lambda number: False
            await asyncio.sleep(20)
            fleet.clock.pace = 10
            await asyncio.sleep(600)
            fleet.clock.pace = 1.0
            await asyncio.sleep(10)
            self.assertTrue(all(c.is_current for c in fleet.controls.values()))

        run_virtual(scenario)

    def test_one_that_sees_nobody_is_not_current_within_limit(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(7).start()
            fleet.is_link_cut = lambda a, b: 1 in (a, b)
            fleet.reaches_table = lambda number: number != 1
            await asyncio.sleep(10)
            self.assertFalse(fleet.controls[1].is_current)
            self.assertTrue(fleet.controls[2].is_current)
            alone = fleet.controls[1].rounds
            self.assertFalse(alone.is_in_contact)

        run_virtual(scenario)

    def test_a_change_reaches_one_that_does_not_see_the_table(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(7).start()
            fleet.reaches_table = lambda number: number != 1
            took_s = await fleet.until_in_force(await fleet.change())
            self.assertLess(took_s, IN_FORCE_LIMIT_S)
            self.assertTrue(fleet.controls[1].is_current)

        run_virtual(scenario)

    def test_a_lost_data_centre_gets_no_callers(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(12).start()
            await asyncio.sleep(5)
            gone = [n for n in fleet.controls if n % 3 == 0]
            for number in gone:
                fleet.kill(number)
            names = {f"i{n}" for n in gone}
            took_s = await fleet.until(
                lambda: all(
                    not names & {i.id for i in c.instances}
                    for c in fleet.controls.values()
                )
            )
            self.assertLess(took_s, 8.0)
            revision = await fleet.change()
            self.assertLess(await fleet.until_in_force(revision), IN_FORCE_LIMIT_S)

        run_virtual(scenario)


class ReturnTest(unittest.TestCase):
    def test_old_items_never_revert_anything(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(7).start()
            await asyncio.sleep(5)
            fleet.is_link_cut = lambda a, b: 1 in (a, b)
            fleet.reaches_table = lambda number: number != 1
            row = b'{"session":"s2"}'
            await fleet.table.commit([], [Write(shard_key(0), row)])
            revision = 0
            for _ in range(5):
                revision = await fleet.change()
            await asyncio.sleep(60)
            fleet.reaches_table = lambda number: number != 1
            fleet.is_link_cut = lambda a, b: False
            lowest = revision
            for _ in range(100):
                await asyncio.sleep(0.05)
                others = [c for n, c in fleet.controls.items() if n != 1]
                lowest = min([lowest, *(c.revision for c in others)])
                self.assertTrue(all(c.shard_owners[0] == "s2" for c in others))
            self.assertEqual(lowest, revision)
            self.assertEqual(fleet.controls[1].revision, revision)
            self.assertEqual(fleet.controls[1].shard_owners[0], "s2")

        run_virtual(scenario)

    def test_a_restarted_instance_is_heard_again(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(7).start()
            await asyncio.sleep(60)
            fleet.kill(3)
            await asyncio.sleep(20)
            others = list(fleet.controls.values())
            self.assertFalse(any("i3" in {i.id for i in c.instances} for c in others))
            fleet.start_control(3)
            took_s = await fleet.until(
                lambda: all("i3" in {i.id for i in c.instances} for c in others)
            )
            self.assertLess(took_s, 10.0)

        run_virtual(scenario)

    def test_a_started_one_is_not_current_below_what_peers_show(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(3).start()
            old = fleet.controls[1]
            answer = await old.rounds.answer(
                _round_that_shows(old, revision=old.revision + 1)
            )
            self.assertEqual(answer.revision, old.revision + 1)
            self.assertFalse(old.is_current)

        run_virtual(scenario)


def _round_that_shows(control: object, *, revision: int) -> object:
    message = control.rounds._message("dc-1")
    message.revision = revision
    return message


class EngineLoadTest(unittest.TestCase):
    def test_each_engine_is_asked_by_one_and_known_to_all(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(12, engines=24).start()
            await asyncio.sleep(10)
            before = fleet.load_requests
            await asyncio.sleep(10)
            asked_per_s = (fleet.load_requests - before) / 10
            self.assertLess(asked_per_s, 24 * 2 * 1.3)
            self.assertTrue(
                all(len(c.loads) == 24 for c in fleet.controls.values()),
            )

        run_virtual(scenario)

    def test_a_leaving_engine_is_known_everywhere_within_three_seconds(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(30, data_centres=6, engines=150).start()
            await asyncio.sleep(10)
            address = "http://10.9.0.7:1"
            fleet.leaving_engines.add(address)
            took_s = await fleet.until(
                lambda: all(
                    address in c.loads and c.loads[address].is_leaving
                    for c in fleet.controls.values()
                )
            )
            self.assertLess(took_s, IN_FORCE_LIMIT_S)

        run_virtual(scenario)


class ShardTest(unittest.TestCase):
    def test_a_moved_shard_is_known_everywhere(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(30, shards=64).start()
            await asyncio.sleep(5)
            await fleet.table.commit([], [Write(shard_key(5), b'{"session":"s9"}')])
            took_s = await fleet.until(
                lambda: all(
                    c.shard_owners.get(5) == "s9" for c in fleet.controls.values()
                )
            )
            self.assertLess(took_s, 4.0)

        run_virtual(scenario)
