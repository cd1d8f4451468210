"""The plug-in ``expected_cost`` in a gateway process, with engines and tools."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from unittest import IsolatedAsyncioTestCase, TestCase, mock

from carobspur.gateway.calls import Call
from carobspur.gateway.outcomes import Answered
from carobspur.gateway.placement import Need
from carobspur.gateway.plain_calls import PlainCallHandler
from carobspur.gateway.routes import Route, RouteKind, WeightedService
from carobspur.gateway.stream_calls import SLOW_WRITE_S, StreamCallHandler
from carobspur.plugins.placement_expected_cost import ExpectedCostPlacement
from carobspur.plugins.placement_predicted import PredictedTimePlacement

from .platform_world import world


class PlacementPathTest(IsolatedAsyncioTestCase):
    async def test_requests_are_observed_from_the_choice_to_the_end(self) -> None:
        """An observation that stays open would make its endpoint look full for ever."""
        seen, streams = [], []
        real = ExpectedCostPlacement.observe

        def _observe(policy, endpoint, need, health, now):
            seen.append((policy, endpoint, health, need))
            observation = real(policy, endpoint, need, health, now)
            if need.is_turn:
                streams.append(observation)
            return observation

        with mock.patch.object(ExpectedCostPlacement, "observe", _observe):
            async with world(tools=2) as deployment:
                deployment.start_gateway(policy="expected_cost")
                await deployment.until_ready()
                answers = await asyncio.gather(
                    *(
                        deployment.call(
                            path,
                            via=1,
                            body=b"x",
                            program_id=f"p{number}",
                            token_usage="600,16",
                            prompt_prefix="s:500,t:100",
                        )
                        for number in range(6)
                        for path in ("/walk/x", "/read/x")
                    )
                )
                lines = deployment.gateways[1].lines
        self.assertEqual({200}, {item.status for item in answers})
        sent = [item for item in lines if item["event"] == "sent"]
        self.assertTrue(all(item["expected_ms"] > 0 for item in sent))
        turns = [need for *_, need in seen if need.is_turn]
        self.assertEqual(6, len(turns))
        self.assertEqual({("s", "t")}, {_ids(need) for need in turns})
        # Without the events, neither the pace nor the length of turns is learned.
        self.assertTrue(all(item.is_measured for item in streams))
        for policy, endpoint, health, need in seen:
            view = policy.explain([endpoint], need, health, 1e9).chosen.view
            self.assertEqual((0, 0.0), (view.own_requests, view.own_work_ms))


class CallAffinityTest(TestCase):
    def _keys(self, placement: object, customer: str | None = None) -> tuple[str, str]:
        """Return the keys by which candidates and the endpoint of a call are chosen."""
        context = mock.Mock(placement=placement, data_centre="a")
        context.health.usual_s.return_value = 0.05
        context.endpoints.usable.return_value = []
        context.limits.allowed.side_effect = lambda endpoints, *_, **__: endpoints
        context.quarantine.isolate.side_effect = lambda endpoints, *_: endpoints
        handler = PlainCallHandler(context)
        call = replace(CALL, customer=customer)
        with mock.patch("asyncio.get_running_loop"):
            handler._choose(call, STICKY, set())
        key = context.endpoints.usable.call_args.kwargs["affinity"]
        return key, handler._need(call, STICKY).affinity

    def test_sticky_calls_are_distributed_as_before_under_other_policies(self) -> None:
        """Guards against a changed split and sample under ``predicted_time``."""
        self.assertEqual(("r1", ""), self._keys(PredictedTimePlacement()))
        self.assertEqual(("obj", "obj"), self._keys(ExpectedCostPlacement()))

    def test_equal_keys_of_two_customers_are_placed_independently(self) -> None:
        """Guards against an endpoint that gets all customers' calls of one key."""
        policy = ExpectedCostPlacement()
        keys = {self._keys(policy, customer) for customer in ("a", "b", None)}
        self.assertEqual(3, len(keys))


class CallObservationTest(IsolatedAsyncioTestCase):
    async def test_fast_errors_do_not_make_an_endpoint_look_fast(self) -> None:
        """Guards against calls drawn to an endpoint that fails each of them at once."""
        handler = PlainCallHandler(mock.Mock())
        recorded = []
        for status in (200, 304, 404, 500):
            observation = mock.Mock(expected_ms=1.0)
            answer = Answered(mock.Mock(status=status), b"")
            with (
                mock.patch.object(PlainCallHandler, "_exchange", return_value=answer),
                mock.patch.object(PlainCallHandler, "_log_sent"),
            ):
                await handler._attempt(CALL, STICKY, mock.Mock(), 1.0, observation)
            if observation.record_answer.called:
                recorded.append(status)
        self.assertEqual([200, 304], recorded)

    async def test_slow_caller_of_a_stream_is_told_to_the_observation(self) -> None:
        """Guards against gaps that a caller causes being taken for the engine's."""

        async def _pieces():
            yield b"id: 1\ndata: x\n\n"

        async def _write(_) -> None:
            await asyncio.sleep(2 * SLOW_WRITE_S)

        context = mock.Mock()
        context.answer_limits.event_bytes = 1000
        handler = StreamCallHandler(context, mock.Mock(max_turn_bytes=1000))
        observation = mock.Mock()
        await handler._forward(
            mock.Mock(output_bytes=0, call=mock.Mock(arrived_at=0.0)),
            mock.Mock(pieces=_pieces),
            mock.Mock(write=_write),
            observation,
            running=0,
            resumed_after=None,
        )
        observation.record_slow_caller.assert_called_once_with()


CALL = Call("r1", "GET", "/", "", [], b"", 0, affinity_key="obj")
STICKY = Route(
    name="read",
    host="h",
    prefix="/",
    kind=RouteKind.IDEMPOTENT,
    services=(WeightedService("s", 1),),
    timeout_s=1.0,
    target_latency_s=1.0,
    max_attempts=1,
    priority=0,
    is_sticky=True,
)


def _ids(need: Need) -> tuple[str, ...]:
    return tuple(part.id for part in need.prompt_parts)
