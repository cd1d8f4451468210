"""Histories: complete after replacements, bounded in memory, extended turn by turn."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import msgspec

from carobspur.admission import ReplaySpilled, admit_call
from carobspur.endpoints import GenerateResult, ModelInput, extend_prefix_key
from carobspur.errors import StoreError, StoreUnavailableError
from carobspur.history import Histories, model_prefix, should_spill
from carobspur.journal import CallFinished, CallOutcome, ProgramStarted
from carobspur.program_index import ProgramIndex
from carobspur.programs import Program
from carobspur_standins.objects import MemoryObjects

from . import builders
from .virtual import run_virtual
from .world import World

TURNS = 440


def finished(number: int, *, endpoint: str = "model", size: int = 400) -> CallFinished:
    text = f"word{number} " * (size // 8)
    result = GenerateResult(text, 2, 3, 0)
    return CallFinished(
        program="p",
        number=number,
        endpoint=endpoint,
        digest=f"d{number}",
        input=msgspec.json.encode(ModelInput(f"ask {number}", 5)).decode(),
        outcome=CallOutcome(
            output=msgspec.json.encode(result).decode(),
            input_tokens=2,
            output_tokens=3,
        ),
    )


def an_index() -> tuple[ProgramIndex, Program]:
    program_index = ProgramIndex()
    program_index.apply(ProgramStarted("p", "o", "u", "a", 0.0))
    return program_index, program_index.find("p")


async def a_long_program(objects: Any) -> Program:
    program_index, program = an_index()
    for number in range(1, TURNS + 1):
        endpoint = "model" if number % 3 else "other"
        program_index.apply(finished(number, endpoint=endpoint))
        if should_spill(program):
            await Histories(objects).spill(program)
    return program


class SpillTest(unittest.TestCase):
    def test_state_stays_small_and_the_history_complete(self) -> None:
        async def scenario() -> None:
            objects = MemoryObjects()
            program = await a_long_program(objects)
            self.assertLess(len(msgspec.json.encode(program)), 64 << 10)
            self.assertGreater(len(program.segments), 3)
            calls = await Histories(objects).calls(program)
            self.assertEqual([call.number for call in calls], list(range(1, TURNS + 1)))
            self.assertEqual(program.next_number, TURNS + 1)
            self.assertIsInstance(admit_call(program, 1, "d1"), ReplaySpilled)
            seventh = await Histories(objects).call(program, 7)
            self.assertEqual(seventh.digest, "d7")

        run_virtual(scenario)

    def test_prefix_equals_that_of_the_whole_text(self) -> None:
        async def scenario() -> None:
            objects = MemoryObjects()
            program = await a_long_program(objects)
            key, tokens, words = "", 0, []
            for number in range(1, TURNS + 1):
                if number % 3 == 0:
                    continue
                record = finished(number)
                answer = msgspec.json.decode(
                    record.outcome.output, type=GenerateResult
                ).text
                key = extend_prefix_key(key, f"ask {number}", answer)
                tokens += 5
                words += [f"ask {number}", answer]
            prefix = model_prefix(program, "model")
            self.assertEqual((prefix.key, prefix.tokens), (key, tokens))
            text = await Histories(objects).text(program, "model")
            self.assertEqual(text, " ".join(words))

        run_virtual(scenario)

    def test_unstored_or_missing_objects_raise_errors(self) -> None:
        async def scenario() -> None:
            objects = MemoryObjects()
            put = objects.put

            async def _unanswered(key: str, content: bytes) -> None:
                raise StoreUnavailableError("no answer")

            objects.put = _unanswered
            program_index, program = an_index()
            for number in range(1, 200):
                program_index.apply(finished(number))
            with self.assertRaises(StoreError):
                await Histories(objects).spill(program)
            self.assertEqual(len(program.calls), 199)
            objects.put = put
            await Histories(objects).spill(program)
            await objects.delete(program.segments[0].key)
            with self.assertRaises(StoreError):
                await Histories(objects).calls(program)

        run_virtual(scenario)


class ReplacementTest(unittest.TestCase):
    def test_history_survives_the_replacement_of_every_instance(self) -> None:
        async def scenario() -> None:
            world = await World(builders.an_inventory(max_calls=500)).start(3)
            program = await world.start_program("k1")
            answers: list[Any] = []
            await self._run_calls(world, program, answers, 40)
            for number in (1, 2, 3):
                await world.add_node(number + 3)
                await world.until(world.is_settled)
                world.kill(number)
                await world.until(world.is_settled)
                await self._run_calls(world, program, answers, 10)
            for number in list(world.nodes):
                world.kill(number)
            for number in (7, 8, 9):
                await world.add_node(number)
            await world.until(world.is_settled)
            await self._run_calls(world, program, answers, 1)
            reply = await world.ask("GET", f"/v1/programs/{program}/history")
            history = reply.json["history"]
            self.assertEqual(
                [msgspec.json.decode(call["outcome"]["output"]) for call in history],
                answers,
            )
            self.assertTrue([key for key in world.objects.keys if "history/" in key])
            again = await world.call(program, 2, "vault", _lot(2))
            self.assertTrue(again.json["replayed"])
            self.assertEqual(again.json["output"], answers[1])
            other = await world.call(program, 2, "vault", {"lot": "other"})
            self.assertEqual(other.status, 409)

        run_virtual(scenario)

    async def _run_calls(
        self, world: World, program: str, answers: list[Any], count: int
    ) -> None:
        for _ in range(count):
            number = len(answers) + 1
            if number % 5:
                reply = await world.call(program, number, "vault", _lot(number))
            else:
                content = {"prompt": f"quote {number}", "max_tokens": 2}
                reply = await world.call(program, number, "model", content)
            self.assertEqual(reply.status, 200, reply.body)
            answers.append(reply.json["output"])
            await asyncio.sleep(0.1)


def _lot(number: int) -> dict[str, str]:
    return {"lot": f"L-{number}", "note": "x" * 2000}
