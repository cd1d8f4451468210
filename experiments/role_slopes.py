"""Processor time of a call, a token and a peer call; memory of programs, inventories.

Most measurements run a whole deployment in one process under virtual time. Their
processor times contain the stand-ins, so they are upper bounds.

    PYTHONPATH=src:. python experiments/role_slopes.py
"""

from __future__ import annotations

import asyncio
import logging
import time
import tracemalloc

import msgspec
from tests import builders
from tests.virtual import run_virtual
from tests.world import World
from tornado.netutil import bind_sockets

from carobspur.configuration import OrganisationRow
from carobspur.in_force import InventoriesInForce
from carobspur.inventory import Inventory
from carobspur.peer_client import PeerClient
from carobspur.peer_server import PeerServer
from carobspur.peers import RECONCILE, messages

CALLS = 400
PROGRAMS = 300
INVENTORIES = 1000
PEER_CALLS = 3000
MESSAGE_BYTES = 1400
PORT_HOST = "127.0.0.1"


async def call_cost_s(max_tokens: int) -> float:
    """Return the processor seconds of a model call with so many output tokens."""
    world = await World(builders.an_inventory(units=10**9, user_units=10**9)).start(1)
    programs = [await world.start_program(f"k{number}") for number in range(CALLS // 4)]
    content = {"prompt": "what do we pay", "max_tokens": max_tokens}
    started_s = time.process_time()
    for number in range(1, 5):
        calls = (world.call(item, number, "model", content) for item in programs)
        replies = await asyncio.gather(*calls)
        assert all(reply.status == 200 for reply in replies), replies[0].body
    return (time.process_time() - started_s) / CALLS


async def program_bytes(turns: int) -> float:
    """Return the bytes of memory of a program after some turns of 1 kB each."""
    world = await World(builders.an_inventory(units=10**9, user_units=10**9)).start(1)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for key in range(PROGRAMS):
        program = await world.start_program(f"k{key}")
        for number in range(1, turns + 1):
            content = {"prompt": "word " * 200, "max_tokens": 4}
            await world.call(program, number, "model", content)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / PROGRAMS


def inventory_bytes() -> float:
    """Return the bytes of memory of one small current inventory."""
    in_force = InventoriesInForce()
    encoded = [
        msgspec.json.encode(builders.an_inventory(f"o{number}"))
        for number in range(INVENTORIES)
    ]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    rows = [
        OrganisationRow(1, "", msgspec.json.decode(content, type=Inventory))
        for content in encoded
    ]
    in_force.apply(rows, 1)
    del rows
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / INVENTORIES


async def peer_call_cost_s() -> float:
    """Return the processor seconds of both ends of a peer call over loopback TCP."""
    server = PeerServer()

    async def _answer(request: object, emit: object) -> object:
        return messages.Reconciled(items=[])

    server.register(RECONCILE, _answer)
    sockets = listen(server)
    client = PeerClient()
    request = messages.Reconcile(items=[], wanted=b"x" * MESSAGE_BYTES)
    await client.call(PORT_HOST, sockets, RECONCILE, request)
    started_s = time.process_time()
    for _ in range(PEER_CALLS):
        await client.call(PORT_HOST, sockets, RECONCILE, request)
    used_s = time.process_time() - started_s
    client.close()
    server.stop()
    return used_s / PEER_CALLS


def listen(server: PeerServer) -> int:
    """Let a server listen on a free port; return the port."""
    sockets = bind_sockets(0, PORT_HOST)
    server.add_sockets(sockets)
    return sockets[0].getsockname()[1]


def main() -> None:
    """Run all measurements and print a line for each."""
    logging.disable(logging.CRITICAL)
    short_s = run_virtual(lambda: call_cost_s(16))
    long_s = run_virtual(lambda: call_cost_s(256))
    token_s = (long_s - short_s) / 240
    print(f"model call, 16 tokens: {1e6 * short_s:.0f} us of processor time")
    print(f"each further token: {1e6 * token_s:.1f} us")
    print(f"peer call, both ends: {1e6 * asyncio.run(peer_call_cost_s()):.0f} us")
    one = run_virtual(lambda: program_bytes(1))
    five = run_virtual(lambda: program_bytes(5))
    print(f"program after 1 turn: {one:.0f} B; each further: {(five - one) / 4:.0f} B")
    print(f"small inventory in force: {inventory_bytes():.0f} B")


if __name__ == "__main__":
    main()
