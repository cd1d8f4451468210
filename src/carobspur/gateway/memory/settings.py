"""Section ``[memory]`` of the settings, and the bounds that follow from it.

The load handled here is more clients, bodies or unread answers than the machine has
memory or descriptors for.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..answer_limits import KIB, MIB, AnswerLimits

MB = 1_000_000
PROCESS_MB = 40
"""Memory of a process without requests: 25 to 30 MB, and some for growth."""
BUFFER_SHARE = 0.35
"""Share of the remaining memory that buffered bytes may take. The rest is for
histories, objects of requests and connections, read buffers, and copies made while a
body is joined or sent. With 0.4, 400 clients took 120 of 136 MB without any history."""
ANSWER_SHARE = 0.5
"""Largest share of the buffered bytes that answers of endpoints may take."""
HISTORY_SHARE = 0.12
"""Largest share of the machine's memory for the cache of histories."""
MAX_HISTORY_BYTES = 16 * MIB
CONNECTIONS_PER_MB = 6
"""Connections for each MB beyond the process's own; one takes up to 20 kB without its
buffers, so that all of them together take an eighth of this memory."""
FILE_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files."""
OWN_SHARE = 0.25
"""Share of the other descriptors kept for endpoints, peers and the row store."""
MIN_OWN_DESCRIPTORS = 64
MIN_MACHINE_MB = 64
MIN_FDS = 320


@dataclass(frozen=True, slots=True)
class MemorySettings:
    """Section ``[memory]``: the machine's resources and the limits on callers.

    Attributes:
        machine_mb: Memory of the machine in MB.
        max_fds: Descriptors that the process may open.
        small_bytes: Largest body that counts as small; a fifth of the buffers is kept
            for small ones.
        stall_s: Seconds without progress after which a body, a head or an unread answer
            is dropped first when a bound is reached.
        body_idle_s: Longest time in seconds without progress in a body.
        unread_bytes: Most bytes of a streamed answer that wait for a slow caller while
            the endpoint's answer is read on.
        unread_s: Seconds that a caller with more unread bytes than that may go
            without receiving any of them.
        unread_idle_s: Longest time in seconds in which a caller reads nothing of an
            answer that waits for it.
    """

    machine_mb: float = 1024.0
    max_fds: float = 4096.0
    small_bytes: int = 64 * KIB
    stall_s: float = 1.0
    body_idle_s: float = 30.0
    unread_bytes: int = 1 * MIB
    unread_s: float = 1.0
    unread_idle_s: float = 30.0

    @property
    def buffer_bytes(self) -> int:
        """Most bytes that are buffered for callers and endpoints together."""
        return int((self.machine_mb - PROCESS_MB) * BUFFER_SHARE * MB)

    @property
    def history_bytes(self) -> int:
        """Largest size of the cache of histories."""
        return min(MAX_HISTORY_BYTES, int(self.machine_mb * HISTORY_SHARE * MB))

    @property
    def connections(self) -> int:
        """Most connections of callers at the same time."""
        sockets = int(self.max_fds) - FILE_DESCRIPTORS
        own = max(MIN_OWN_DESCRIPTORS, int(sockets * OWN_SHARE))
        by_memory = int((self.machine_mb - PROCESS_MB) * CONNECTIONS_PER_MB)
        return min(sockets - own, by_memory)

    def errors(self) -> list[str]:
        """Return what is wrong with the values, as ends of error messages."""
        found = []
        if not MIN_MACHINE_MB <= self.machine_mb < float("inf"):
            found.append(f"machine_mb: {self.machine_mb} is less than {MIN_MACHINE_MB}")
        if not MIN_FDS <= self.max_fds < float("inf"):
            found.append(f"max_fds: {self.max_fds} is less than {MIN_FDS}")
        return found

    def limit_answers(self, limits: AnswerLimits) -> AnswerLimits:
        """Return limits of answers that also keep to the bound of the buffers."""
        bound = int(self.buffer_bytes * ANSWER_SHARE)
        return replace(limits, answers_bytes=min(limits.answers_bytes, bound))
