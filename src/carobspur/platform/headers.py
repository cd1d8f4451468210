"""Header names of requests and answers, decoded into the gateway's types."""

from __future__ import annotations

from ..gateway.calls import AnswerHead, Call, EndpointLoad, ProgramPart
from ..gateway.endpoints import Endpoint
from ..gateway.http_pool import encode_request
from ..gateway.sender import EndpointWire

# Time that the sender will still wait, not a moment; each hop sends what is left.
DEADLINE = "Deadline-Ms"
# The only replica that may run the request, by the id of its start.
ONLY_ENDPOINT = "Target-Instance"
LAST_EVENT = "Last-Event-Id"

# The replica's proof that the answer is its own.
_PROOF = "response-signature"
# Present, with any value: the request has not run and never will.
_NOT_RUN = "not-executed"
# Running, waiting and slots of the replica, separated by commas.
_LOAD = "instance-load"
# "1" in all answers of a replica that shuts down, even where its entry says ready.
_LEAVING = "server-leaving"
# Prompt tokens and the most output tokens, not what was used.
_TOKENS = "token-usage"
_MISDIRECTED = 421

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
_SET_HERE = frozenset(
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
    arrived: float,
) -> Call:
    """Return a caller's request without its body.

    Args:
        method: HTTP method.
        target: Path and query, or an absolute URL.
        fields: Header fields in order.
        arrived: Loop time of arrival.
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
        headers=_forwarded(fields, known.get("connection", "")),
        body=b"",
        arrived=arrived,
        deadline=_deadline(known.get("deadline-ms", ""), arrived),
        program=_program(known),
        prompt_tokens=_numbers(known.get(_TOKENS, ""))[0],
        max_tokens=_numbers(known.get(_TOKENS, ""))[1],
        last_event=known.get("last-event-id", ""),
    )


class PlatformWire(EndpointWire):
    """The protocol of the platform's replicas."""

    __slots__ = ()

    def encode(
        self,
        call: Call,
        endpoint: Endpoint,
        body: bytes,
        *,
        remaining_s: float,
        last_event: str,
    ) -> bytes:
        """Return a whole request; see :class:`EndpointWire`."""
        headers = [
            ("Host", call.host),
            *call.headers,
            (DEADLINE, str(max(1, int(remaining_s * 1000)))),
            (ONLY_ENDPOINT, endpoint.id),
        ]
        if last_event:
            headers.append((LAST_EVENT, last_event))
        return encode_request(call.method, call.target, headers, body)

    def answers(self, call: Call, headers: dict[str, str]) -> bool:
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
            is_genuine=bool(known.get(_PROOF)) and encoding == "identity",
            is_not_run=_NOT_RUN in known or status == _MISDIRECTED,
            load=_load(known.get(_LOAD, "")),
            is_leaving=known.get(_LEAVING, "") == "1",
        )


def _forwarded(fields: list[tuple[str, str]], connection: str) -> list[tuple[str, str]]:
    named = {item.strip().lower() for item in connection.split(",")}
    dropped = _HOP_BY_HOP | _SET_HERE | named
    return [(name, value) for name, value in fields if name.lower() not in dropped]


def _deadline(text: str, arrived: float) -> float | None:
    try:
        return arrived + float(text) / 1000
    except ValueError:
        return None


def _program(known: dict[str, str]) -> ProgramPart | None:
    program = known.get("program-id", "")
    if not program:
        return None
    budget = known.get("token-budget", "")
    return ProgramPart(
        id=program,
        token_budget=int(budget) if budget.isdigit() else None,
        previous_turn=known.get("previous-turn", ""),
    )


def _numbers(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    return (
        int(first) if first.strip().isdigit() else 0,
        int(second) if second.strip().isdigit() else 0,
    )


def _load(text: str) -> EndpointLoad | None:
    numbers = text.split(",")
    if len(numbers) != 3 or not all(item.strip().isdigit() for item in numbers):
        return None
    running, waiting, slots = (int(item) for item in numbers)
    return EndpointLoad(running, waiting, slots)
