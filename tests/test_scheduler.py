"""Peer requests to a scheduler."""

from __future__ import annotations

import unittest

from carobspur.errors import NotReadyError
from carobspur.peers import START_PROGRAM, messages

from .builders import ORGANISATION
from .virtual import run_virtual
from .world import World


class RevisionTest(unittest.TestCase):
    def test_request_from_a_newer_entry_waits_for_the_revision(self) -> None:
        async def scenario() -> None:
            world = await World().start(1)
            node = world.nodes[1]
            caller = messages.Caller(
                organisation=ORGANISATION, user="clerk-1", revision=2
            )
            request = messages.StartProgram(caller=caller, program="p1", agent="quote")
            host, port = node.settings.instance.host, node.settings.scheduler.port
            with self.assertRaises(NotReadyError):
                await world.peers.call(host, port, START_PROGRAM, request)
            await world.import_inventory(world.inventory, revision=1, change="c2")
            await world.until(lambda: node.entry.view.revision == 2)
            reply = await world.start_program("k1")
            self.assertTrue(reply)

        run_virtual(scenario)
