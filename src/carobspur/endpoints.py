"""HTTP client for endpoints: model engines, tools and plain services."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

import msgspec

from .errors import (
    EndpointRejectedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    PrefixLostError,
    RequestError,
)
from .http import HttpClient, HttpError, HttpRequest, HttpResponse
from .sse import Event, EventParser
from .verdict import MAY_HAVE_RUN, NOT_RUN

CALL_ID_HEADER = "Idempotency-Key"
FENCE_HEADER = "Carobspur-Fence"
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_PREFIX_LOST = 409
HTTP_FENCED = 412
HTTP_TOO_MANY_REQUESTS = 429
PREFIX_KEY_HEX_DIGITS = 32
MAX_EXTRA_EVENTS = 16
"""Events of a stream beyond one per token: its start, its end, and a reserve."""

OnText = Callable[[str], None]
OutputTokens = Annotated[int, msgspec.Meta(ge=1, le=1 << 31)]


class ModelInput(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Input of a model call: the new prompt, without the program's history."""

    prompt: str
    max_tokens: OutputTokens = 64


class GenerateRequest(msgspec.Struct, frozen=True):
    """Body of a generate request to an engine.

    Attributes:
        call_id: Id of the call; the same id again resumes the stream.
        program: Id of the program.
        model: Name of the model.
        prefix_key: Key of the history that should be in the engine's cache, or empty
            without a history.
        prefix_tokens: Length of that history in tokens.
        history: Text of the history; empty if the engine should have it cached.
        append: Text that follows the history.
        max_tokens: Most tokens to generate.
        priority: Calls with lower values run first.
        hold_s: Seconds for which the engine should keep the extended history cached
            after the call.
    """

    call_id: str
    program: str
    model: str
    prefix_key: str
    prefix_tokens: int
    history: str
    append: str
    max_tokens: int
    priority: int = 0
    hold_s: float = 0.0


class GenerateResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """Result of a generate request, sent as the last event of its stream.

    Attributes:
        text: The whole answer.
        output_tokens: Tokens generated.
        prompt_tokens: Tokens of the history and of the text that followed it.
        cached_tokens: Tokens of the history that were found in the cache.
        call_id: Id of the call that was answered; cleared after it was checked.
    """

    text: str
    output_tokens: int
    prompt_tokens: int
    cached_tokens: int
    call_id: str = ""


class ToolRequest(msgspec.Struct, frozen=True):
    """A request to a tool or plain service.

    Attributes:
        call_id: Id of the call, sent as ``Idempotency-Key``.
        fence: Fencing number, higher than that of everything sent before.
        content: JSON text of the input.
        timeout_s: Time-out in seconds.
        send_once: Whether the HTTP client must never resend it by itself.
        is_fenced: Whether the service checks fencing numbers.
    """

    call_id: str
    fence: int
    content: bytes
    timeout_s: float
    send_once: bool = False
    is_fenced: bool = False


@dataclass(frozen=True, slots=True)
class LookupRan:
    """Look-up result: the tool ran the call, with this JSON text as its answer."""

    output: str


@dataclass(frozen=True, slots=True)
class LookupNotRun:
    """Look-up result: the tool did not run the call and will refuse it from now on."""


@dataclass(frozen=True, slots=True)
class LookupNotSeen:
    """Look-up result: the tool has not seen the call so far and may still run it."""


@dataclass(frozen=True, slots=True)
class LookupUnanswered:
    """Look-up result: the tool gave no usable answer."""


Lookup = LookupRan | LookupNotRun | LookupNotSeen | LookupUnanswered


def count_tokens(text: str) -> int:
    """Return a text's number of tokens, estimated as its number of words."""
    return len(text.split())


def extend_prefix_key(key: str, prompt: str, answer: str) -> str:
    """Return the key of a history after one more turn.

    Engines compute the same key, so that a history is identified by its content and
    never confused with another one.

    Args:
        key: Key of the history before the turn; empty if there was none.
        prompt: Input of the turn.
        answer: Output of the turn.
    """
    text = "\x00".join((key, prompt, answer))
    return hashlib.sha256(text.encode()).hexdigest()[:PREFIX_KEY_HEX_DIGITS]


class _StreamReader:
    """Reads the event stream of a model call; ignores data after a protocol fault.

    Args:
        request: The call.
        address: The engine's base URL.
        on_text: Called with each piece of the answer.

    Attributes:
        fault: The protocol fault that was found, if any.
    """

    __slots__ = (
        "_address",
        "_answered_call_id",
        "_event_count",
        "_on_text",
        "_parser",
        "_request",
        "_results",
        "fault",
    )

    def __init__(self, request: GenerateRequest, address: str, on_text: OnText) -> None:
        self._request = request
        self._address = address
        self._on_text = on_text
        self._parser = EventParser()
        self._event_count = 0
        self._answered_call_id = request.call_id
        self._results: list[GenerateResult] = []
        self.fault: EndpointTimeoutError | None = None

    def feed(self, data: bytes) -> None:
        """Process the next chunk of the stream."""
        if self.fault:
            # The HTTP client ends the transfer at its size limit or time-out.
            return
        try:
            for event in self._parser.feed(data):
                self._handle_event(event)
        except EndpointTimeoutError as error:
            self.fault = error

    def _handle_event(self, event: Event) -> None:
        self._event_count += 1
        if self._event_count > self._request.max_tokens + MAX_EXTRA_EVENTS:
            raise EndpointTimeoutError(
                f"{self._address} exceeded {self._request.max_tokens} tokens",
                verdict=MAY_HAVE_RUN,
            )
        if event.name == "start":
            self._answered_call_id = msgspec.json.decode(event.data, type=str)
        elif event.name == "done":
            self._results.append(msgspec.json.decode(event.data, type=GenerateResult))
        elif event.name == "token" and self._answered_call_id == self._request.call_id:
            self._on_text(msgspec.json.decode(event.data, type=str))

    def result(self) -> GenerateResult:
        """Return the result from the stream's last event.

        Raises:
            EndpointTimeoutError: The stream ended without one, or it belongs to
                another call.
        """
        if not self._results:
            raise EndpointTimeoutError(
                f"{self._address} ended the stream before its last event"
            )
        result = self._results[0]
        for answered_id in (self._answered_call_id, result.call_id):
            _require_same_call(answered_id, self._request.call_id, self._address)
        return msgspec.structs.replace(result, call_id="")


class Endpoints:
    """Sends calls to endpoints and translates failures to errors with verdicts.

    Args:
        client: The HTTP client.
    """

    __slots__ = ("_client",)

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def generate(
        self,
        address: str,
        request: GenerateRequest,
        *,
        timeout_s: float,
        on_text: OnText,
    ) -> GenerateResult:
        """Run a model call.

        Args:
            address: The engine's base URL.
            request: The call.
            timeout_s: Seconds until the last event must have arrived.
            on_text: Called with each piece of the answer.

        Raises:
            PrefixLostError: The engine no longer has the history.
            EndpointUnreachableError: The request was not sent.
            EndpointTimeoutError: The engine did not finish in time, or the stream
                ended early or was invalid.
            EndpointRejectedError: The engine answered with an error status.
        """
        reader = _StreamReader(request, address, on_text)
        message = HttpRequest(
            "POST",
            f"{address}/v1/generate",
            body=msgspec.json.encode(request),
            timeout_s=timeout_s,
            on_data=reader.feed,
        )
        try:
            response = await self._fetch(message)
        except EndpointTimeoutError as error:
            raise reader.fault or error from error
        if reader.fault:
            raise reader.fault
        if response.status == HTTP_PREFIX_LOST:
            raise PrefixLostError(f"{address} no longer has the history")
        _require_success(response, address)
        return reader.result()

    async def cancel(self, address: str, call: str) -> None:
        """Ask an engine to stop a call.

        Best effort: the response's status is ignored.

        Raises:
            EndpointUnreachableError: The request was not sent.
            EndpointTimeoutError: No response in time.
        """
        message = HttpRequest("POST", f"{address}/v1/cancel/{call}", body=b"")
        await self._fetch(message)

    async def run(self, address: str, tool_request: ToolRequest) -> str:
        """Run a tool or plain service call and return the JSON text of its answer.

        Raises:
            EndpointUnreachableError: The request was not sent.
            EndpointTimeoutError: No answer in time, or one to another call; the call
                may have run.
            EndpointRejectedError: The service answered with an error status.
        """
        headers = {
            "Content-Type": "application/json",
            CALL_ID_HEADER: tool_request.call_id,
            FENCE_HEADER: str(tool_request.fence),
        }
        message = HttpRequest(
            "POST",
            f"{address}/v1/run",
            body=tool_request.content,
            headers=headers,
            timeout_s=tool_request.timeout_s,
            send_once=tool_request.send_once,
        )
        response = await self._fetch(message)
        if tool_request.is_fenced and response.status == HTTP_FENCED:
            raise EndpointRejectedError(
                f"{address} refused an outdated fencing number", verdict=NOT_RUN
            )
        _require_success(response, address)
        answered_id = response.headers.get(CALL_ID_HEADER, "")
        _require_same_call(answered_id, tool_request.call_id, address)
        return _json_text(response.body)

    async def look_up(
        self, address: str, call: str, *, fence: int, is_fenced: bool, timeout_s: float
    ) -> Lookup:
        """Ask a tool whether a call ran.

        Only a tool that checks fencing numbers can prove that a call did not run:
        after this look-up it refuses the call if that arrives later.

        Args:
            address: The tool's base URL.
            call: Id of the call.
            fence: Fencing number, higher than in all earlier requests for the call.
            is_fenced: Whether the tool checks fencing numbers.
            timeout_s: Time-out in seconds.
        """
        message = HttpRequest(
            "GET",
            f"{address}/v1/run/{call}",
            headers={FENCE_HEADER: str(fence)},
            timeout_s=timeout_s,
        )
        try:
            response = await self._fetch(message)
        except (EndpointUnreachableError, EndpointTimeoutError):
            return LookupUnanswered()
        if response.status == HTTP_NOT_FOUND:
            return LookupNotRun() if is_fenced else LookupNotSeen()
        if response.status != HTTP_OK:
            return LookupUnanswered()
        if response.headers.get(CALL_ID_HEADER, call) != call:
            return LookupUnanswered()
        return LookupRan(_json_text(response.body))

    async def _fetch(self, message: HttpRequest) -> HttpResponse:
        try:
            return await self._client.fetch(message)
        except HttpError as failure:
            if failure.verdict == NOT_RUN:
                raise EndpointUnreachableError(failure.message) from failure
            raise EndpointTimeoutError(
                failure.message, verdict=MAY_HAVE_RUN
            ) from failure


def decode_model_input(content: bytes) -> ModelInput:
    """Decode the JSON input of a model call.

    Raises:
        RequestError: The input is invalid.
    """
    try:
        return msgspec.json.decode(content, type=ModelInput)
    except msgspec.MsgspecError as error:
        raise RequestError(f"invalid input of a model call: {error}") from error


def _require_same_call(answered_id: str, requested_id: str, address: str) -> None:
    """Raise if an answer names another call; endpoints may leave the id out."""
    if answered_id not in ("", requested_id):
        raise EndpointTimeoutError(f"{address} answered with the id of another call")


def _json_text(body: bytes) -> str:
    """Return a body as JSON text; a body that is not JSON becomes a JSON string."""
    try:
        msgspec.json.decode(body)
    except msgspec.DecodeError:
        return msgspec.json.encode(body.decode(errors="replace")).decode()
    return body.decode()


def _require_success(response: HttpResponse, address: str) -> None:
    """Raise for an error status; after 5xx and 429 the call may have run."""
    if response.status >= 500 or response.status == HTTP_TOO_MANY_REQUESTS:
        raise EndpointRejectedError(
            f"{address} answered {response.status}", verdict=MAY_HAVE_RUN
        )
    if response.status >= 400:
        raise EndpointRejectedError(f"{address} answered {response.status}")
