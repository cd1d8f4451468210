"""Decisions based on an organisation's rules."""

from __future__ import annotations

from .inventory import Role, Rules


def may_stop(rules: Rules, *, role: Role, user: str, program_user: str) -> bool:
    """Return whether a key may be used to stop a program of its organisation.

    Args:
        rules: The organisation's rules in force.
        role: Role of the key.
        user: The user that the request acts for.
        program_user: The user that the program runs for.
    """
    for rule in rules.stop:
        if rule.role == role:
            return not rule.own_only or user == program_user
    return False
