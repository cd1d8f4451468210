"""Model calls: repeatable, streamed, and sent without history that the engine caches.

A request names the program's earlier conversation by its prefix key and carries only
the new prompt. The whole text is sent to an engine that does not hold it in its cache.
"""

from __future__ import annotations

from functools import partial

import msgspec

from ..endpoints import (
    GenerateRequest,
    GenerateResult,
    ModelInput,
    count_tokens,
    decode_model_input,
    extend_prefix_key,
)
from ..errors import NotFoundError, PrefixLostError, RequestError
from ..execution import CallContext, CallRuntime, Price
from ..history import model_prefix
from ..holds import HoldDecision, Keep
from ..inventory import Model
from ..journal import CallIntended, CallOutcome
from ..metrics import PREFIX_TOKENS
from ..plugin_registry import PluginKind, register
from ..pool import CachedPrefix, EndpointState
from ..programs import Prefix, StoredCall
from ..routing import RouteRequest


@register(PluginKind.CALLS, "model")
class ModelCalls:
    """Runs model calls.

    Args:
        runtime: Parts of the scheduler that the kinds of calls share.
    """

    __slots__ = ("_runtime",)

    def __init__(self, runtime: CallRuntime) -> None:
        self._runtime = runtime

    async def run(self, context: CallContext) -> StoredCall:
        """Generate an answer and commit it; see :class:`..execution.CallKind`.

        Raises:
            RequestError: History, prompt and answer would exceed the model's context.
            CarobspurError: The call failed.
        """
        model = _model(context)
        content = decode_model_input(context.request.content)
        history = model_prefix(context.program, model.name)
        new_tokens = count_tokens(content.prompt)
        if history.tokens + new_tokens + content.max_tokens > model.context_tokens:
            raise RequestError(
                f"history, prompt and answer exceed {model.context_tokens} tokens"
            )
        price = _price(model, new_tokens, content.max_tokens)
        result, engine = await self._generate(context, model, content, history, price)
        outcome = CallOutcome(
            output=msgspec.json.encode(result).decode(),
            cost_units=min(price.max_units, price.cost_of(result)),
            input_tokens=new_tokens,
            output_tokens=result.output_tokens,
            address=engine.address,
        )
        stored = await self._runtime.finish(context, outcome)
        self._record_prefix(context, engine, history, content, result)
        return stored

    async def settle(self, context: CallContext, intent: CallIntended) -> StoredCall:
        """Run the call again, since model calls are repeatable.

        ``CallService`` resolves every intent with the at-most-once plug-in, so it never
        calls this.
        """
        return await self.run(context)

    async def _generate(
        self,
        context: CallContext,
        model: Model,
        content: ModelInput,
        history: Prefix,
        price: Price[GenerateResult],
    ) -> tuple[GenerateResult, EndpointState]:
        self._restore_cached_prefix(context, history)
        hold_manager, now_s = (
            self._runtime.hold_manager,
            self._runtime.clock.monotonic(),
        )
        hold_manager.before_call(context.program, model.name, now_s)
        route = RouteRequest(
            program=context.program.id,
            model=model.name,
            prefix_key=history.key,
            prefix_tokens=history.tokens,
            new_tokens=count_tokens(content.prompt),
            output_tokens=content.max_tokens,
            data_centre=self._runtime.data_centre,
            can_move=hold_manager.can_move(context.program.id, model.name, now_s),
            weights=context.inventory.rules.weights,
        )
        request = GenerateRequest(
            call_id=context.call_id,
            program=context.program.id,
            model=model.name,
            prefix_key=history.key,
            prefix_tokens=history.tokens,
            history="",
            append=content.prompt,
            max_tokens=content.max_tokens,
            priority=context.rank,
        )

        async def _send_to(engine: EndpointState) -> GenerateResult:
            context.running.restart(str(self._runtime.fences.take()))
            held_request = _with_hold(
                request, self._decide_hold(context, history, engine)
            )
            return await self._generate_on(
                engine, context, held_request, history, model
            )

        candidates = self._runtime.pool.endpoints_for(context.inventory, model.name)
        return await self._runtime.send(context, route, candidates, _send_to, price)

    def _restore_cached_prefix(self, context: CallContext, history: Prefix) -> None:
        """After a takeover, assume that the last turn's engine caches the history.

        The pool of a new owner does not know yet where histories are cached.
        """
        program, model = context.program.id, context.request.endpoint
        if (
            not history.engine
            or self._runtime.pool.warm_engine(program, model) is not None
        ):
            return
        engine = self._runtime.pool.find(history.engine)
        if engine is not None:
            now_s = self._runtime.clock.monotonic()
            cached = CachedPrefix(history.key, history.tokens, now_s)
            self._runtime.pool.record_prefix(program, model, engine, cached)

    async def _generate_on(
        self,
        engine: EndpointState,
        context: CallContext,
        request: GenerateRequest,
        history: Prefix,
        model: Model,
    ) -> GenerateResult:
        """Generate on one engine, without the history if the engine has it cached.

        If the engine is not known to have it, the history is transferred from the
        engine that has it, or sent as text where that fails. If the engine reports the
        history lost, the request is sent once more with the text.
        """
        cached = engine.prefixes.get((request.program, request.model))
        is_cached = cached is not None and cached.key == history.key
        if history.key and not is_cached:
            is_transferred = await self._runtime.hold_manager.move_history(
                request.program, request.model, history.key, engine
            )
            if not is_transferred:
                request = await self._with_history(request, context)
        try:
            result = await self._send(engine, context, request, model)
        except PrefixLostError:
            self._runtime.pool.forget_program(request.program)
            request = await self._with_history(request, context)
            result = await self._send(engine, context, request, model)
        organisation = context.program.organisation
        reused_tokens = min(result.cached_tokens, history.tokens)
        PREFIX_TOKENS.labels(organisation, "yes").inc(reused_tokens)
        PREFIX_TOKENS.labels(organisation, "no").inc(history.tokens - reused_tokens)
        return result

    async def _with_history(
        self, request: GenerateRequest, context: CallContext
    ) -> GenerateRequest:
        histories = self._runtime.histories
        text = await histories.text(context.program, request.model)
        return msgspec.structs.replace(request, history=text)

    async def _send(
        self,
        engine: EndpointState,
        context: CallContext,
        request: GenerateRequest,
        model: Model,
    ) -> GenerateResult:
        return await self._runtime.endpoints.generate(
            engine.address,
            request,
            timeout_s=model.timeout_s,
            on_text=partial(context.running.add_text, context.running.generation),
        )

    def _record_prefix(
        self,
        context: CallContext,
        engine: EndpointState,
        history: Prefix,
        content: ModelInput,
        result: GenerateResult,
    ) -> None:
        """Record which engine now caches the history, and apply the hold decision.

        An engine that had it before releases it.
        """
        program, model = context.program, context.request.endpoint
        key = extend_prefix_key(history.key, content.prompt, result.text)
        tokens = history.tokens + count_tokens(content.prompt) + result.output_tokens
        cached = CachedPrefix(key, tokens, self._runtime.clock.monotonic())
        former = self._runtime.pool.record_prefix(program.id, model, engine, cached)
        if former is not None:
            self._runtime.hold_manager.after_move(program.id, former)
        decision = self._decide_hold(context, history, engine)
        self._runtime.hold_manager.after_call(program.id, model, key, decision)

    def _decide_hold(
        self, context: CallContext, history: Prefix, engine: EndpointState
    ) -> HoldDecision:
        weights = context.inventory.rules.weights
        return self._runtime.hold_manager.decide(
            context.program, history.tokens, engine, weights
        )


def _model(context: CallContext) -> Model:
    name = context.request.endpoint
    model = context.inventory.model(name)
    if model is None:
        raise NotFoundError(f"no model is called {name!r}")
    return model


def _price(model: Model, new_tokens: int, max_tokens: int) -> Price[GenerateResult]:
    """Return the price of one send: new prompt tokens and generated tokens.

    History that an engine must process again is not charged to the caller.
    """

    def _cost(output_tokens: int) -> int:
        return new_tokens * model.input_cost + output_tokens * model.output_cost

    return Price(_cost(max_tokens), lambda result: _cost(result.output_tokens))


def _with_hold(request: GenerateRequest, decision: HoldDecision) -> GenerateRequest:
    """Return the request with the hold time, if the decision is to hold."""
    match decision:
        case Keep(ttl_s):
            return msgspec.structs.replace(request, hold_s=ttl_s)
        case _:
            return request
