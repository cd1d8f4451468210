"""Gossip of membership, configuration and loads among many control processes.

Links between them fail, messages are lost and the table is out of reach.
"""

from __future__ import annotations

import asyncio
import unittest

from carobspur.shard_rows import shard_key
from carobspur.table import Write

from .fleet import Fleet
from .virtual import run_virtual

IN_FORCE_LIMIT_S = 3.0
"""Time within which a change must have reached every control process."""
HOUR_PACE = 60
"""Factor of all sleeps while hours pass."""


class ChangesTest(unittest.TestCase):
    def test_changes_are_in_force_everywhere_within_three_seconds(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(30).start()
            took_s = [
                await fleet.until_in_force(await fleet.change()) for _ in range(5)
            ]
            self.assertLess(max(took_s), IN_FORCE_LIMIT_S)

        run_virtual(scenario)

    def test_lost_messages_only_delay_changes(self) -> None:
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

    def test_table_reads_stay_below_two_a_second_per_instance(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(30).start()
            await asyncio.sleep(5)
            before = fleet.table.reads
            await asyncio.sleep(10)
            reads_per_s = (fleet.table.reads - before) / 10
            self.assertLess(reads_per_s, 30 * 2)

        run_virtual(scenario)


class CutTest(unittest.TestCase):
    def test_region_cut_off_for_an_hour_is_not_current_until_it_returns(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(12, data_centres=6).start()
            await asyncio.sleep(5)
            fleet.is_link_cut = lambda sender, receiver: sender % 2 != receiver % 2
            fleet.reaches_table = lambda number: number % 2 == 0
            revision = await fleet.change()
            await asyncio.sleep(10)
            far = [
                control for number, control in fleet.controls.items() if number % 2 == 1
            ]
            near = [
                control for number, control in fleet.controls.items() if number % 2 == 0
            ]
            self.assertTrue(all(control.revision == revision for control in near))
            self.assertTrue(all(control.is_current for control in near))
            self.assertTrue(all(control.revision < revision for control in far))
            self.assertFalse(any(control.is_current for control in far))
            fleet.clock.pace = HOUR_PACE
            await asyncio.sleep(3600)
            fleet.clock.pace = 1.0
            await asyncio.sleep(HOUR_PACE)
            self.assertTrue(all(control.revision < revision for control in far))
            fleet.is_link_cut = lambda sender, receiver: False
            fleet.reaches_table = lambda number: True
            self.assertLess(await fleet.until_in_force(revision), IN_FORCE_LIMIT_S)

        run_virtual(scenario)

    def test_all_stay_current_while_only_the_table_is_out(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(7).start()
            fleet.reaches_table = lambda number: False
            await asyncio.sleep(20)
            fleet.clock.pace = 10
            await asyncio.sleep(600)
            fleet.clock.pace = 1.0
            await asyncio.sleep(10)
            self.assertTrue(
                all(control.is_current for control in fleet.controls.values())
            )

        run_virtual(scenario)

    def test_isolated_process_is_not_current_within_ten_seconds(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(7).start()
            fleet.is_link_cut = lambda sender, receiver: 1 in (sender, receiver)
            fleet.reaches_table = lambda number: number != 1
            await asyncio.sleep(10)
            self.assertFalse(fleet.controls[1].is_current)
            self.assertTrue(fleet.controls[2].is_current)
            alone = fleet.controls[1].rounds
            self.assertFalse(alone.is_in_contact)

        run_virtual(scenario)

    def test_a_change_reaches_a_process_that_cannot_read_the_table(self) -> None:
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
            gone = [number for number in fleet.controls if number % 3 == 0]
            for number in gone:
                fleet.kill(number)
            names = {f"i{number}" for number in gone}
            took_s = await fleet.until(
                lambda: all(
                    not names & {instance.id for instance in control.instances}
                    for control in fleet.controls.values()
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
            fleet.is_link_cut = lambda sender, receiver: 1 in (sender, receiver)
            fleet.reaches_table = lambda number: number != 1
            row = b'{"session":"s2"}'
            await fleet.table.commit([], [Write(shard_key(0), row)])
            revision = 0
            for _ in range(5):
                revision = await fleet.change()
            await asyncio.sleep(60)
            fleet.reaches_table = lambda number: number != 1
            fleet.is_link_cut = lambda sender, receiver: False
            lowest = revision
            for _ in range(100):
                await asyncio.sleep(0.05)
                others = [
                    control for number, control in fleet.controls.items() if number != 1
                ]
                lowest = min([lowest, *(control.revision for control in others)])
                self.assertTrue(
                    all(control.shard_owners[0] == "s2" for control in others)
                )
            self.assertEqual(lowest, revision)
            self.assertEqual(fleet.controls[1].revision, revision)
            self.assertEqual(fleet.controls[1].shard_owners[0], "s2")

        run_virtual(scenario)

    def test_a_restarted_instance_is_listed_again(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(7).start()
            await asyncio.sleep(60)
            fleet.kill(3)
            await asyncio.sleep(20)
            others = list(fleet.controls.values())
            self.assertFalse(
                any(
                    "i3" in {instance.id for instance in control.instances}
                    for control in others
                )
            )
            fleet.start_control(3)
            took_s = await fleet.until(
                lambda: all(
                    "i3" in {instance.id for instance in control.instances}
                    for control in others
                )
            )
            self.assertLess(took_s, 10.0)

        run_virtual(scenario)

    def test_process_is_not_current_once_a_peer_shows_a_newer_revision(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(3).start()
            old = fleet.controls[1]
            answer = await old.rounds.handle_gossip(
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
    def test_each_engine_is_polled_by_one_process_and_known_to_all(self) -> None:
        async def scenario() -> None:
            fleet = await Fleet(12, engines=24).start()
            await asyncio.sleep(10)
            before = fleet.load_requests
            await asyncio.sleep(10)
            requests_per_s = (fleet.load_requests - before) / 10
            self.assertLess(requests_per_s, 24 * 2 * 1.3)
            self.assertTrue(
                all(len(control.loads) == 24 for control in fleet.controls.values()),
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
                    address in control.loads and control.loads[address].is_draining
                    for control in fleet.controls.values()
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
                    control.shard_owners.get(5) == "s9"
                    for control in fleet.controls.values()
                )
            )
            self.assertLess(took_s, 4.0)

        run_virtual(scenario)
