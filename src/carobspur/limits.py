"""Limits that end programs which loop: calls, tokens and time."""

from __future__ import annotations

from .errors import LimitReachedError
from .inventory import Agent, Inventory
from .programs import SINGLE_CALL_AGENT, Program

SINGLE_CALL_LIMITS = Agent(SINGLE_CALL_AGENT, "", max_calls=1)


def check_limits(program: Program, inventory: Inventory, now_s: float) -> None:
    """Refuse a further call of a program that used up what its agent allows.

    Args:
        program: The program.
        inventory: Its organisation's inventory in force.
        now_s: Seconds since 1970.

    Raises:
        LimitReachedError: A limit is reached; the call is not run.
        NotFoundError: The agent is gone from the inventory.
    """
    agent = SINGLE_CALL_LIMITS
    if program.agent != SINGLE_CALL_AGENT:
        agent = inventory.agent(program.agent)
    if program.next_number > agent.max_calls:
        raise LimitReachedError(f"the program made all its {agent.max_calls} calls")
    if program.tokens_used >= agent.max_tokens:
        raise LimitReachedError(f"the program used its {agent.max_tokens} tokens")
    is_past_deadline = program.deadline_s and now_s > program.deadline_s
    if now_s - program.started_s > agent.max_time_s or is_past_deadline:
        raise LimitReachedError("the program's time is over")
