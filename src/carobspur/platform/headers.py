"""Header names of requests and answers, decoded into the gateway's types."""

from __future__ import annotations

from ..gateway.calls import AnswerHead, Call, EndpointLoad, ProgramInfo
from ..gateway.endpoint_client import EndpointCodec
from ..gateway.endpoints import Endpoint
from ..gateway.http_pool import encode_request

# Time that the sender will still wait, not a moment; each hop sends what is left.
DEADLINE_HEADER = "Deadline-Ms"
# The only replica that may run the request, by the id of its start.
TARGET_HEADER = "Target-Instance"
LAST_EVENT_HEADER = "Last-Event-Id"

# The replica's proof that the answer is its own.
_SIGNATURE_HEADER = "response-signature"
# Present, with any value: the request has not run and never will.
_NOT_EXECUTED_HEADER = "not-executed"
# Running, waiting and slots of the replica, separated by commas.
_LOAD_HEADER = "instance-load"
# "1" in all answers of a replica that shuts down, even where its entry says ready.
_LEAVING_HEADER = "server-leaving"
# Prompt tokens and the most output tokens, not what was used.
_TOKENS_HEADER = "token-usage"
_MISDIRECTED_STATUS = 421

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
    """Return a caller's request without its body.

    Args:
        method: HTTP method.
        target: Path and query, or an absolute URL.
        fields: Header fields in order.
        arrived_at: Loop time of arrival.
    """
    known = {name.lower(): value for name, value in fields}
    host = known.get("host", "")
    if "://" in target[:8]:
        host, slash, rest = target.split("://", 1)[1].partition("/")
        target = slash + rest or "/"
    return Call(
        id=known.get("request-id", ""),
        method=method,
        target=target,
        host=host.rpartition("@")[2].partition(":")[0].lower(),
        headers=_select_forwarded(fields, known.get("connection", "")),
        body=b"",
        arrived_at=arrived_at,
        deadline=_decode_deadline(known.get("deadline-ms", ""), arrived_at),
        program=_decode_program(known),
        prompt_tokens=_decode_number_pair(known.get(_TOKENS_HEADER, ""))[0],
        max_tokens=_decode_number_pair(known.get(_TOKENS_HEADER, ""))[1],
        last_event_id=known.get("last-event-id", ""),
    )


class PlatformWire(EndpointCodec):
    """The protocol of the platform's replicas."""

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
        """Return a whole request; see :class:`EndpointCodec`."""
        headers = [
            ("Host", call.host),
            *call.headers,
            (DEADLINE_HEADER, str(max(1, int(remaining_s * 1000)))),
            (TARGET_HEADER, endpoint.id),
        ]
        if last_event_id:
            headers.append((LAST_EVENT_HEADER, last_event_id))
        return encode_request(call.method, call.target, headers, body)

    def is_answer_to(self, call: Call, headers: dict[str, str]) -> bool:
        """Return whether an answer echoes the request's id."""
        return headers.get("request-id", call.id) == call.id

    def decode(self, status: int, headers: list[tuple[str, str]]) -> AnswerHead:
        """Return what an answer's head says."""
        known = {name.lower(): value for name, value in headers}
        encoding = known.get("content-encoding", "identity").lower()
        return AnswerHead(
            status=status,
            headers=[
                (name, value)
                for name, value in headers
                if name.lower() not in _HOP_BY_HOP and name.lower() != "content-length"
            ],
            is_genuine=bool(known.get(_SIGNATURE_HEADER)) and encoding == "identity",
            has_not_run=_NOT_EXECUTED_HEADER in known or status == _MISDIRECTED_STATUS,
            load=_decode_load(known.get(_LOAD_HEADER, "")),
            is_draining=known.get(_LEAVING_HEADER, "") == "1",
        )


def _select_forwarded(
    fields: list[tuple[str, str]], connection: str
) -> list[tuple[str, str]]:
    named = {item.strip().lower() for item in connection.split(",")}
    dropped = _HOP_BY_HOP | _SET_BY_GATEWAY | named
    return [(name, value) for name, value in fields if name.lower() not in dropped]


def _decode_deadline(text: str, arrived_at: float) -> float | None:
    try:
        return arrived_at + float(text) / 1000
    except ValueError:
        return None


def _decode_program(known: dict[str, str]) -> ProgramInfo | None:
    program = known.get("program-id", "")
    if not program:
        return None
    budget = known.get("token-budget", "")
    return ProgramInfo(
        id=program,
        token_budget=int(budget) if budget.isdigit() else None,
        previous_turn=known.get("previous-turn", ""),
    )


def _decode_number_pair(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    return (
        int(first) if first.strip().isdigit() else 0,
        int(second) if second.strip().isdigit() else 0,
    )


def _decode_load(text: str) -> EndpointLoad | None:
    numbers = text.split(",")
    if len(numbers) != 3 or not all(item.strip().isdigit() for item in numbers):
        return None
    running, waiting, slots = (int(item) for item in numbers)
    return EndpointLoad(running, waiting, slots)
