"""Tells requests of running programs from those that start one; a pure module.

Handles overload by one customer: the requests of programs that have begun are served
first. A program may send its requests to any gateway, so several signs count.
"""

from __future__ import annotations

from collections import OrderedDict

from ..calls import Call
from ..routes import Route, RouteKind

MAX_PROGRAMS = 4096
"""Programs that are remembered: those of two minutes on the busiest gateway."""
MAX_ROUTES = 256
"""Routes whose shortest prompts are remembered."""
PARTS_DECAY = 0.02
"""Part of the distance to a longer prompt by which the remembered number of parts
rises, so that one unusually short prompt does not count for ever."""


class ProgramStarts:
    """What one gateway knows about programs that have begun."""

    __slots__ = ("_fewest_parts", "_programs")

    def __init__(self) -> None:
        # The least recently used first.
        self._programs: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._fewest_parts: dict[str, float] = {}

    def is_running(self, call: Call, route: Route) -> bool:
        """Return whether a request belongs to a program that has begun.

        It does if it is a tool call, continues a turn, resumes a stream, if this
        gateway has admitted a request of its program, or if its prompt has more parts
        than the prompts with which programs on its route begin.

        Args:
            call: The request.
            route: Its route.
        """
        if call.last_event_id:
            return True
        program = call.program
        if program is None:
            return False
        if route.kind is not RouteKind.STREAM or program.previous_turn:
            return True
        if (call.customer or "", program.id) in self._programs:
            return True
        return self._is_longer_than_first(len(call.prompt_parts), route)

    def record(self, call: Call) -> None:
        """Record that a request was admitted."""
        if call.program is None:
            return
        key = call.customer or "", call.program.id
        self._programs[key] = None
        self._programs.move_to_end(key)
        if len(self._programs) > MAX_PROGRAMS:
            self._programs.popitem(last=False)

    def _is_longer_than_first(self, parts: int, route: Route) -> bool:
        if not parts:
            return False
        fewest = self._fewest_parts.get(route.name)
        if fewest is None:
            if len(self._fewest_parts) < MAX_ROUTES:
                self._fewest_parts[route.name] = float(parts)
            return False
        if parts <= fewest:
            self._fewest_parts[route.name] = float(parts)
        else:
            self._fewest_parts[route.name] += PARTS_DECAY * (parts - fewest)
        return parts >= fewest + 1
