"""Decodes and encodes the platform's HTTP headers of requests and answers."""

from __future__ import annotations

import math

from ..gateway.calls import (
    AnswerHead,
    Call,
    EndpointLoad,
    Headers,
    ProgramInfo,
    PromptPart,
)
from ..gateway.customers.customer import key_digest
from ..gateway.decimals import parse_decimal
from ..gateway.endpoint_client import EndpointCodec
from ..gateway.endpoints import Endpoint
from ..gateway.http_pool import encode_request

# Milliseconds that the sender still waits, not a point in time; each hop sends the
# time that remains.
DEADLINE_HEADER = "Deadline-Ms"
# Longest time, 11 days, that is taken for a deadline.
_MAX_DEADLINE_MS = 1e9
# Id of the start of the only replica that may run the request.
TARGET_HEADER = "Target-Instance"
LAST_EVENT_HEADER = "Last-Event-Id"

# Proves that the answer is the replica's own.
_SIGNATURE_HEADER = "response-signature"
# With any value: the request has not run and never will.
_NOT_EXECUTED_HEADER = "not-executed"
# Requests running, requests waiting and slots of the replica, separated by commas; at
# some services also how long work takes there now, in percent of the usual.
_LOAD_HEADER = "instance-load"
# "1" in all answers of a replica that shuts down, even if its registry entry says
# "ready".
_LEAVING_HEADER = "server-leaving"
# Requests a second that the replica takes from all gateways together, as a decimal
# number; in its answers for as long as the limit holds.
_LIMIT_HEADER = "server-limit"
# Prompt tokens and the maximum of output tokens, separated by a comma; despite the
# name not the tokens that were used.
_TOKENS_HEADER = "token-usage"
# Name of the customer whose key the caller presented, as the system has found it.
_CUSTOMER_HEADER = "Tenant"
# From 0, the first, to 9.
_PRIORITY_HEADER = "Request-Priority"
_KEY_SCHEME = "bearer"
_CREDENTIAL_FIELDS = frozenset({"authorization", "tenant"})
# HTTP libraries hand over header values as Latin-1; names and keys are UTF-8.
_FIELD_ENCODING = "latin-1"
_MISDIRECTED_STATUS = 421
_EVENT_STREAM = "text/event-stream"

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Fields that the gateway sets itself or that callers may not pass on to replicas.
_SET_BY_GATEWAY = frozenset(
    {
        "content-length",
        "deadline-ms",
        "expect",
        "expected-version",
        "hold",
        "host",
        "kv-backup",
        "kv-fetch",
        "kv-from",
        "last-event-id",
        "pin-ms",
        "request-priority",
        "target-instance",
    }
)


def decode_call(
    method: str,
    target: str,
    fields: list[tuple[str, str]],
    *,
    arrived_at: float,
) -> Call:
    """Decode the head of a caller's request; the body of the call is empty.

    Deadlines and token counts that are not numbers are ignored.

    Args:
        method: HTTP method.
        target: Path and query, or an absolute URL.
        fields: Header fields in the order in which they came.
        arrived_at: Loop time in seconds at which the head was read.
    """
    by_name = {name.lower(): value for name, value in fields}
    host = by_name.get("host", "")
    if "://" in target[:8]:
        host, slash, rest = target.split("://", 1)[1].partition("/")
        target = slash + rest or "/"
    return Call(
        id=by_name.get("request-id", ""),
        method=method,
        target=target,
        host=host.rpartition("@")[2].partition(":")[0].lower(),
        headers=_select_forwarded(fields, by_name.get("connection", "")),
        body=b"",
        arrived_at=arrived_at,
        deadline=_decode_deadline(by_name.get("deadline-ms", ""), arrived_at),
        program=_decode_program(by_name, arrived_at),
        prompt_tokens=_decode_number_pair(by_name.get(_TOKENS_HEADER, ""))[0],
        max_tokens=_decode_number_pair(by_name.get(_TOKENS_HEADER, ""))[1],
        last_event_id=by_name.get("last-event-id", ""),
        prompt_parts=_decode_prompt_parts(by_name.get("prompt-prefix", "")),
        expected_tokens=parse_decimal(by_name.get("length-hint", "")) or 0,
        affinity_key=by_name.get("affinity-key", ""),
        key_digest=_decode_key(fields),
        credential_headers=_select_credentials(fields, by_name.get("connection", "")),
    )


class PlatformWire(EndpointCodec):
    """Encodes requests to the platform's replicas and decodes their answers."""

    __slots__ = ()

    def encode(
        self,
        call: Call,
        endpoint: Endpoint,
        body: bytes,
        *,
        remaining_s: float,
        last_event_id: str,
    ) -> bytes:
        """Return a request's bytes; see :meth:`EndpointCodec.encode`."""
        headers = [
            ("Host", call.host),
            *call.headers,
            *_credentials(call),
            (DEADLINE_HEADER, str(max(1, int(remaining_s * 1000)))),
            (TARGET_HEADER, endpoint.id),
        ]
        if call.engine_priority is not None:
            headers.append((_PRIORITY_HEADER, str(call.engine_priority)))
        if last_event_id:
            headers.append((LAST_EVENT_HEADER, last_event_id))
        return encode_request(call.method, call.target, headers, body)

    def request_id(self, headers: dict[str, str]) -> str:
        """Return the request id that an answer echoes; empty without one."""
        return headers.get("request-id", "")

    def decode(self, status: int, headers: list[tuple[str, str]]) -> AnswerHead:
        """Decode the head of an answer.

        It counts as genuine if it is signed and its body has no content encoding.
        """
        by_name = {name.lower(): value for name, value in headers}
        encoding = by_name.get("content-encoding", "identity").lower()
        media_type = by_name.get("content-type", "").partition(";")[0].strip().lower()
        return AnswerHead(
            status=status,
            headers=[
                (name, value)
                for name, value in headers
                if name.lower() not in _HOP_BY_HOP and name.lower() != "content-length"
            ],
            is_genuine=bool(by_name.get(_SIGNATURE_HEADER)) and encoding == "identity",
            has_not_run=_NOT_EXECUTED_HEADER in by_name
            or status == _MISDIRECTED_STATUS,
            is_event_stream=media_type == _EVENT_STREAM,
            load=_decode_load(by_name.get(_LOAD_HEADER, "")),
            is_draining=by_name.get(_LEAVING_HEADER, "") == "1",
            rate_limit=_decode_limit(by_name.get(_LIMIT_HEADER)),
        )


def _select_forwarded(
    fields: list[tuple[str, str]], connection: str
) -> list[tuple[str, str]]:
    dropped = _HOP_BY_HOP | _SET_BY_GATEWAY | _CREDENTIAL_FIELDS | _named(connection)
    return [
        (name, value) for name, value in fields if name.strip().lower() not in dropped
    ]


def _select_credentials(fields: list[tuple[str, str]], connection: str) -> Headers:
    kept = _CREDENTIAL_FIELDS - _named(connection)
    return [(name, value) for name, value in fields if name.strip().lower() in kept]


def _named(connection: str) -> set[str]:
    """Return the header fields that concern only the connection, in lower case."""
    return {item.strip().lower() for item in connection.split(",")}


def _credentials(call: Call) -> Headers:
    """Return the header fields about the caller's identity that a replica receives."""
    if call.customer is None:
        return call.credential_headers
    if not call.customer:
        return []
    return [(_CUSTOMER_HEADER, call.customer.encode().decode(_FIELD_ENCODING))]


def _decode_key(fields: list[tuple[str, str]]) -> bytes:
    """Return the digest of the API key; empty without exactly one well-formed key."""
    values = [
        value for name, value in fields if name.strip().lower() == "authorization"
    ]
    if len(values) != 1:
        return b""
    scheme, _, key = values[0].replace("\t", " ").strip(" ").partition(" ")
    # Without an argument, ``strip`` would also remove bytes of UTF-8 characters.
    key = key.strip(" ")
    if scheme.lower() != _KEY_SCHEME or not key:
        return b""
    try:
        return key_digest(key.encode(_FIELD_ENCODING).decode())
    except UnicodeError:
        return b""


def _decode_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; none if any of them is malformed."""
    parts = []
    for item in text.split(",") if text else ():
        part, _, length = item.strip().rpartition(":")
        tokens = parse_decimal(length)
        if not part or tokens is None:
            return ()
        parts.append(PromptPart(part, tokens))
    return tuple(parts)


def _decode_deadline(text: str, arrived_at: float) -> float | None:
    try:
        left_ms = float(text)
    except ValueError:
        return None
    # ``float`` also accepts "nan" and "inf", with which later arithmetic fails.
    return arrived_at + left_ms / 1000 if abs(left_ms) <= _MAX_DEADLINE_MS else None


def _decode_program(by_name: dict[str, str], arrived_at: float) -> ProgramInfo | None:
    program = by_name.get("program-id", "")
    if not program:
        return None
    budget = by_name.get("token-budget", "")
    return ProgramInfo(
        id=program,
        token_budget=parse_decimal(budget),
        previous_turn=by_name.get("previous-turn", ""),
        session=by_name.get("session-id", ""),
        deadline=_decode_deadline(by_name.get("program-deadline-ms", ""), arrived_at),
    )


def _decode_number_pair(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    return (
        parse_decimal(first.strip()) or 0,
        parse_decimal(second.strip()) or 0,
    )


def _decode_limit(text: str | None) -> float | None:
    """Return the requests a second; ``None`` without the field, NaN if malformed."""
    if text is None:
        return None
    whole, _, fraction = text.strip().partition(".")
    if parse_decimal(whole) is None or (fraction and parse_decimal(fraction) is None):
        return math.nan
    return float(text)


def _decode_load(text: str) -> EndpointLoad | None:
    numbers = [parse_decimal(item.strip()) for item in text.split(",")]
    if len(numbers) not in (3, 4) or None in numbers:
        return None
    running, waiting, slots, *slowdown = numbers
    return EndpointLoad(running, waiting, slots, slowdown[0] / 100 if slowdown else 1.0)
