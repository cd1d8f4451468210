"""Limits on a program's calls, tokens and time, which stop programs that loop."""

from __future__ import annotations

from .errors import LimitReachedError
from .inventory import Agent, Inventory
from .programs import SINGLE_CALL_AGENT, Program

SINGLE_CALL_LIMITS = Agent(SINGLE_CALL_AGENT, "", max_calls=1)


def check_limits(program: Program, inventory: Inventory, now_s: float) -> None:
    """Reject a new call of a program that has reached a limit of its agent.

    Args:
        program: The program.
        inventory: The inventory in force of its organisation.
        now_s: Unix time in seconds.

    Raises:
        LimitReachedError: A limit is reached; the call is not run.
        NotFoundError: The inventory no longer lists the agent.
    """
    agent = SINGLE_CALL_LIMITS
    if program.agent != SINGLE_CALL_AGENT:
        agent = inventory.agent(program.agent)
    if program.next_number > agent.max_calls:
        raise LimitReachedError(f"the program has made all {agent.max_calls} calls")
    if program.tokens_used >= agent.max_tokens:
        raise LimitReachedError(f"the program has used all {agent.max_tokens} tokens")
    is_past_deadline = program.deadline_s and now_s > program.deadline_s
    if now_s - program.started_s > agent.max_time_s or is_past_deadline:
        raise LimitReachedError("the program's time limit or deadline has passed")
