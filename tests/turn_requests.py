"""Builder of requests for turns, for the tests of admission control."""

from __future__ import annotations

from carobspur.gateway.calls import Call, ProgramInfo, PromptPart


def a_turn(
    request: str = "r",
    *,
    program: str = "p",
    arrived_at: float = 0.0,
    left_s: float = 2.0,
    previous: str = "",
    parts: int = 1,
    prompt: int = 1000,
    customer: str = "",
    priority: int = 0,
) -> Call:
    """Return a turn of a program that should end in ``left_s``."""
    info = ProgramInfo(program, previous_turn=previous, deadline=arrived_at + left_s)
    call = Call(request, "POST", "/", "h", [], b"", arrived_at, program=info)
    call.prompt_tokens = prompt
    call.prompt_parts = (PromptPart("s", 9),) * parts
    call.customer = customer
    call.priority = priority
    return call
