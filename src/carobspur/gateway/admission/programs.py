"""Tells what stage a request's program is in; pure.

Guards against work for programs that can no longer earn anything, and against programs
that loop endlessly. A gateway sees only some of the requests of each program, so it
judges mainly by what the request itself states.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import StrEnum

import xxhash

from ..calls import Call
from ..customers.ownership import program_name

MAX_PROGRAMS = 8192
"""Most programs that are remembered; some hundreds run at a gateway at a time."""
PROGRAM_TTL_S = 30.0
OBJECTIVE_DECAY = 0.999
"""Factor by which the longest objective shrinks with each new program. With 0.99 the
retries after a load of 20 times the capacity made it so short that programs were taken
for lost 2.7 s before their end."""
COUNT_WEIGHT = 0.02
"""Weight of the newest turn in the usual number of turns of programs so far."""
MIN_COUNTED = 50
"""Turns of a route from which its usual number counts."""
LOOP_FACTOR = 4.0
MIN_LOOP_COUNT = 16
"""A program with this many turns or prompt parts, and this many times the usual number,
loops endlessly."""
MIN_PARTS_WEIGHT = 0.001
"""Weight of the newest turn by which the least number of prompt parts rises again, so
that one turn with unusually few parts does not count for good."""


class Stage(StrEnum):
    """Stage of a program, in the order in which programs take precedence."""

    IN_PROGRESS = "in_progress"
    LATE = "late"
    NEW = "new"
    EXPIRED = "expired"
    """A new program that can no longer end on time."""
    LOOPING = "looping"
    LOST = "lost"


class _Seen:
    __slots__ = ("at", "turns")

    def __init__(self) -> None:
        self.at = 0.0
        self.turns = 0


def _key(call: Call) -> int:
    """Return the key of a program; a digest, as callers may choose ids of 64 kB."""
    return xxhash.xxh64_intdigest(program_name(call))


class ProgramTracker:
    """Programs that one gateway has admitted, and what is usual on each route."""

    __slots__ = ("_counted", "_longest_s", "_min_parts", "_programs", "_usual_count")

    def __init__(self) -> None:
        self._programs: OrderedDict[int, _Seen] = OrderedDict()
        self._longest_s: dict[str, float] = {}
        self._min_parts: dict[str, float] = {}
        self._usual_count: dict[str, float] = {}
        self._counted: dict[str, int] = {}

    def longest_objective_s(self, route: str, *, is_turn: bool = True) -> float:
        """Return the longest time that new programs of a route had recently.

        Args:
            route: Name of the route.
            is_turn: Whether it is a route of turns; the calls of a program may come on
                any other route, so the longest time of all routes is taken for them.
        """
        if not is_turn:
            return max(self._longest_s.values(), default=0.0)
        return self._longest_s.get(route, 0.0)

    def stage(
        self, call: Call, route: str, *, is_turn: bool, least_s: float, now: float
    ) -> Stage:
        """Return the stage of a request's program.

        Args:
            call: The request; it has a program.
            route: Name of its route.
            is_turn: Whether it is a turn, not a plain call.
            least_s: Least time that the request takes.
            now: Loop time.
        """
        program = call.program
        seen = self._programs.get(_key(call))
        is_known = seen is not None and now - seen.at <= PROGRAM_TTL_S
        has_begun = is_known or not is_turn or self._has_history(call, route)
        if is_turn and program.deadline is not None and not has_begun:
            remaining_s = program.deadline - call.arrived_at
            longest_s = OBJECTIVE_DECAY * self._longest_s.get(route, 0.0)
            self._longest_s[route] = max(remaining_s, longest_s)
        if program.deadline is not None:
            slack_s = program.deadline - now - least_s
            longest_s = self.longest_objective_s(route, is_turn=is_turn)
            # The smaller credit ends at twice the objective. Without a known objective
            # nothing is taken for lost.
            if longest_s and slack_s < -longest_s:
                return Stage.LOST
        if is_turn and self._is_looping(call, route, seen if is_known else None):
            return Stage.LOOPING
        if program.deadline is not None and slack_s < 0:
            return Stage.LATE if has_begun else Stage.EXPIRED
        return Stage.IN_PROGRESS if has_begun else Stage.NEW

    def record_admitted(
        self, call: Call, route: str, *, is_turn: bool, now: float
    ) -> None:
        """Remember the program of a request that was admitted."""
        key = _key(call)
        seen = self._programs.get(key)
        if seen is None:
            seen = self._programs[key] = _Seen()
            if len(self._programs) > MAX_PROGRAMS:
                self._programs.popitem(last=False)
        self._programs.move_to_end(key)
        seen.at = now
        if is_turn:
            seen.turns += 1
            count = max(seen.turns, len(call.prompt_parts))
            usual = self._usual_count.get(route, float(count))
            counted = self._counted.get(route, 0) + 1
            if counted > MIN_COUNTED:
                # A looping program raises the usual number by little.
                count = min(count, LOOP_FACTOR * usual)
            weight = max(COUNT_WEIGHT, 1 / counted)
            self._usual_count[route] = usual + weight * (count - usual)
            self._counted[route] = counted

    def _has_history(self, call: Call, route: str) -> bool:
        """Return whether the request continues an earlier turn.

        Where turns are not stored, only the number of prompt parts shows it.
        """
        if call.program.previous_turn:
            return True
        parts = len(call.prompt_parts)
        if not parts:
            return False
        least = self._min_parts.get(route, float(parts))
        least = min(parts, least + MIN_PARTS_WEIGHT * (parts - least))
        self._min_parts[route] = least
        return parts > least + 1

    def _is_looping(self, call: Call, route: str, seen: _Seen | None) -> bool:
        usual = self._usual_count.get(route)
        if usual is None or self._counted[route] < MIN_COUNTED:
            return False
        count = max(seen.turns if seen else 0, len(call.prompt_parts))
        return count >= max(MIN_LOOP_COUNT, LOOP_FACTOR * usual)
