"""The gate that applies rate limits to calls, at a gateway that is alone."""

from __future__ import annotations

import asyncio
import logging
import unittest
from collections.abc import Awaitable, Callable

from carobspur.gateway.calls import Call, ProgramInfo
from carobspur.gateway.customers.customer import Customer
from carobspur.gateway.customers.rate_limit_gate import RateLimitGate
from carobspur.gateway.decisions import DecisionLog
from carobspur.gateway.members import Member, Membership
from carobspur.gateway.refusals import OverLimitError
from carobspur.gateway.routes import Configuration, Route, RouteKind, WeightedService
from carobspur.gateway.telemetry import Telemetry

from .rate_limit_world import TOLERANCE
from .virtual import run_virtual

ROUTE = Route("r", "h", "/", RouteKind.ONCE, (WeightedService("s", 1),), 3.0, 1.0, 1)
LARGE = [Customer(f"large {number}", rate_per_s=100) for number in range(100)]
CUSTOMER = Customer("c", rate_per_s=1)


class _NoSender:
    def send_rate_message(self, message: object, address: object) -> None:
        raise AssertionError("a gateway that is alone sends nothing")


def run_gate(scenario: Callable[[RateLimitGate, Telemetry], Awaitable[None]]) -> None:
    """Run a scenario with the gate of a gateway that is alone, with a full bucket."""

    async def _run() -> None:
        telemetry = Telemetry()
        gate = RateLimitGate(
            Membership(Member("a/1", "d", "a:1", "a:2", "a:3")),
            _NoSender(),
            tolerance=TOLERANCE,
            is_table_current=lambda: True,
            is_ready=lambda: True,
            log=DecisionLog(logging.getLogger("test")),
            telemetry=telemetry,
            clock=asyncio.get_running_loop().time,
        )
        gate.configure(Configuration(1, (ROUTE,), {}, customers=(CUSTOMER, *LARGE)))
        task = asyncio.ensure_future(gate.run_forever())
        await asyncio.sleep(30)
        await scenario(gate, telemetry)
        task.cancel()

    run_virtual(_run)


def a_call(customer: str = "c") -> Call:
    """Return a tool call of a program."""
    call = Call("id", "GET", "/", "h", [], b"", 0.0, program=ProgramInfo("p"))
    call.customer = customer
    return call


async def admitted(gate: RateLimitGate, count: int) -> list[Call]:
    """Return those of some requests that were admitted."""
    calls = []
    for _ in range(count):
        call = a_call()
        try:
            await gate.admit(call, ROUTE, CUSTOMER)
        except OverLimitError as error:
            assert error.retry_after_s > 0
        else:
            calls.append(call)
    return calls


class RateLimitGateTest(unittest.TestCase):
    def test_token_of_an_unsent_request_is_used_again(self) -> None:
        # Guards against requests refused for overload that use up a customer's limit.
        async def _scenario(gate: RateLimitGate, telemetry: Telemetry) -> None:
            unsent, sent, *rest = await admitted(gate, 10)
            self.assertEqual(8, len(rest))
            self.assertEqual([], await admitted(gate, 1))
            sent.was_sent = True
            gate.finished(sent, ROUTE, None)
            gate.finished(unsent, ROUTE, None)
            self.assertEqual(1, len(await admitted(gate, 3)))

        run_gate(_scenario)

    def test_requests_without_a_limit_pass(self) -> None:
        async def _scenario(gate: RateLimitGate, telemetry: Telemetry) -> None:
            for _ in range(100):
                await gate.admit(a_call(), ROUTE, None)
                await gate.admit(a_call(), ROUTE, Customer("free"))

        run_gate(_scenario)

    def test_time_series_are_bounded(self) -> None:
        # Guards against metrics that grow with the number of customers.
        async def _scenario(gate: RateLimitGate, telemetry: Telemetry) -> None:
            for customer in LARGE:
                await gate.admit(a_call(customer.name), ROUTE, customer)
            metrics = list(telemetry.customer_requests.collect())
            names = {item.labels["customer"] for item in metrics[0].samples}
            self.assertEqual(21, len(names))
            self.assertIn("other", names)

        run_gate(_scenario)
