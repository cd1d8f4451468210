"""Which gateways are alive: heartbeats around a ring, suspicion told to all.

Each gateway sends heartbeats to the next few members in the order of their names. A
member that its watchers no longer hear is suspected, and the watchers tell everyone;
so the number of datagrams grows with the members, not with their square.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..placement import rank

WATCHER_COUNT = 8
"""Members that hear each heartbeat: all of the usual seven, few of hundreds."""
HEARTBEAT_INTERVAL_S = 0.25
"""Time between heartbeats."""
HEARTBEATS_PER_ROW = 4
"""Every so many heartbeats carry the sender's row."""
SUSPECT_AFTER_S = 1.0
"""Silence after which a member is suspected: four heartbeats."""
NEW_MEMBER_GRACE_S = 0.8
"""How long a member that was never heard counts as alive: three heartbeats."""
REMOVE_AFTER_S = 30.0
"""Silence after which a member's row is removed: longer than a cut that heals."""
NOT_READY_TTL_S = 1.5
"""How long a member that is not watched counts as not ready without saying so again.
Members tell everyone while they are not ready, and their watchers alone afterwards."""
FULL_MESH_MAX_PEERS = 16
"""Up to so many other gateways are all told what is under way. Reports of 33 gateways
to all come to some 20 MB a minute between three data centres, worked out."""
MAX_CRASHED_NAMES = 4096
"""Former starts that are remembered: those of four days of a large deployment."""
SUSPICION_TTL_S = 1.5
"""How long a told suspicion holds without being told again."""


class Member(msgspec.Struct, frozen=True):
    """A gateway's row in the store.

    Attributes:
        name: Name of the gateway; new for every start of its process.
        data_centre: Where it stands.
        callers: ``HOST:PORT`` for callers.
        peers: ``HOST:PORT`` for other gateways.
        heartbeats: ``HOST:PORT`` for datagrams.
        started_at: Unix time in seconds at which its process started, by the clock of
            its instance.
    """

    name: str
    data_centre: str
    callers: str
    peers: str
    heartbeats: str
    started_at: float = 0.0


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """One datagram between gateways.

    Attributes:
        name: Sender.
        is_ready: Whether it should be given callers.
        suspects: Names of members that the sender no longer hears.
        reaches_store: Whether the sender reaches the row store.
        member: The sender's row, in some heartbeats; new members become known so
            while the store is away.
    """

    name: str
    is_ready: bool
    suspects: list[str] = []
    reaches_store: bool = True
    member: Member | None = None


@dataclass(slots=True)
class _Liveness:
    known_since: float
    heard_at: float = 0.0
    is_ready: bool = True
    reaches_store: bool = True
    suspected_at: float = -SUSPICION_TTL_S


class Membership:
    """Members and their liveness; pure, fed with rows, datagrams and a clock.

    Args:
        own: This gateway.

    Attributes:
        last_crash_at: Loop time at which a gateway was last known to have ended without
            leaving.
    """

    __slots__ = ("_former", "_live", "_members", "_own", "_ring", "last_crash_at")

    def __init__(self, own: Member) -> None:
        self._own = own
        self.last_crash_at = float("-inf")
        self._members: dict[str, Member] = {own.name: own}
        # The other members in the order of their names, from this gateway's on.
        self._ring: list[Member] = []
        self._live: dict[str, _Liveness] = {}
        # Names of starts that ended without leaving, oldest first.
        self._former: dict[str, None] = {}

    @property
    def own(self) -> Member:
        """This gateway."""
        return self._own

    def put(
        self, member: Member, now: float, *, is_sent_by_member: bool = False
    ) -> None:
        """Take note of a member's row.

        Args:
            member: The row.
            now: Loop time.
            is_sent_by_member: Whether the member itself has just sent it. Otherwise it
                may be of an earlier start, told by a peer or by the store.
        """
        if self.is_own_former_start(member):
            self._record_crash_once(member.name, now)
            return
        for other in list(self._members.values()):
            if other.callers == member.callers and other.name != member.name:
                if not is_sent_by_member and self._stays(other, member, now):
                    if other.started_at > member.started_at:
                        self._record_crash_once(member.name, now)
                    return
                if not self.is_leaving(other.name):
                    self._record_crash_once(other.name, now)
                self.remove(other.name)
        self._members[member.name] = member
        self._live.setdefault(member.name, _Liveness(now))
        self._order()

    def _order(self) -> None:
        names = sorted(self._members)
        start = names.index(self._own.name)
        ring = names[start + 1 :] + names[:start]
        self._ring = [self._members[name] for name in ring]

    def is_own_former_start(self, member: Member) -> bool:
        """Return whether a row is of an earlier start of this gateway."""
        return member.callers == self._own.callers and member.name != self._own.name

    def _record_crash_once(self, name: str, now: float) -> None:
        """Take note, once, that a start ended without leaving."""
        if name in self._former:
            return
        self.last_crash_at = now
        self._former[name] = None
        while len(self._former) > MAX_CRASHED_NAMES:
            del self._former[next(iter(self._former))]

    def _stays(self, known: Member, told: Member, now: float) -> bool:
        """Return whether a member stays although another start of it is told of."""
        live = self._live[known.name]
        if live.is_ready and self._has_recent_heartbeat(live, now):
            return True
        return known.started_at > told.started_at

    def keep_only(self, names: set[str], now: float) -> None:
        """Forget the members that the whole table does not show.

        Those that are heard stay: their rows may not have been written yet.
        """
        for member in list(self.others()):
            is_heard = self._has_recent_heartbeat(self._live[member.name], now)
            if member.name not in names and not is_heard:
                self.remove(member.name)

    def remove(self, name: str) -> None:
        """Forget a member; never this gateway itself."""
        if name != self._own.name:
            self._members.pop(name, None)
            self._live.pop(name, None)
            self._order()

    def get(self, name: str) -> Member | None:
        """Return a member by its name."""
        return self._members.get(name)

    def record_heartbeat(self, beat: Heartbeat, now: float) -> None:
        """Take note of a heartbeat."""
        if beat.name not in self._live and beat.member is not None and beat.is_ready:
            self.put(beat.member, now, is_sent_by_member=True)
        live = self._live.get(beat.name)
        if live is not None:
            live.heard_at = now
            live.is_ready = beat.is_ready
            live.reaches_store = beat.reaches_store
        for name in beat.suspects:
            suspect = self._live.get(name)
            if suspect is not None:
                suspect.suspected_at = now

    def has_recent_heartbeat(self, name: str, within_s: float, now: float) -> bool:
        """Return whether a member was heard lately; true where it never was.

        One that is not watched is heard while it is not ready, and then no more.
        """
        if name == self._own.name:
            return True
        live = self._live.get(name)
        if live is None:
            return False
        return not live.heard_at or now - live.heard_at < within_s

    def watchers(self) -> list[Member]:
        """Return the members that should hear this gateway's heartbeats."""
        return self._ring[:WATCHER_COUNT]

    def has_unheard_watchers(self) -> bool:
        """Return whether a member was never heard; it may not know this gateway."""
        return any(not self._live[item.name].heard_at for item in self.watchers())

    def watched(self) -> list[Member]:
        """Return the members whose heartbeats this gateway should hear."""
        return self._ring[-WATCHER_COUNT:]

    def is_leaving(self, name: str) -> bool:
        """Return whether a member has said that it leaves, or has left."""
        live = self._live.get(name)
        return live is None or not live.is_ready

    def record_silence(self, now: float) -> None:
        """Take note that a member fell silent without having left."""
        self.last_crash_at = now

    def suspects(self, now: float) -> list[str]:
        """Return the watched members that have fallen silent."""
        return [
            member.name
            for member in self.watched()
            if not self._is_responding(self._live[member.name], now)
        ]

    def dead_to_remove(self, now: float) -> list[str]:
        """Return the watched members that this gateway should remove for good."""
        alive = [member.name for member in self.alive(now)]
        return [
            member.name
            for member in self.watched()
            if self._silent_s(self._live[member.name], now) > REMOVE_AFTER_S
            and rank(member.name, [*alive, self._own.name])[0] == self._own.name
        ]

    def alive(self, now: float) -> list[Member]:
        """Return the other members that are believed alive and ready."""
        first_watched = len(self._ring) - WATCHER_COUNT
        return [
            member
            for place, member in enumerate(self._ring)
            if self._is_alive(
                self._live[member.name], now, is_watched=place >= first_watched
            )
        ]

    def load_report_recipients(self, now: float) -> list[Member]:
        """Return the members that are told what is under way here.

        All of few; of many, those of the own data centre, whose endpoints it prefers.
        """
        alive = self.alive(now)
        if len(alive) <= FULL_MESH_MAX_PEERS:
            return alive
        own = self._own.data_centre
        return [member for member in alive if member.data_centre == own]

    def reaching_store(self, now: float) -> list[Member]:
        """Return the members that have said lately that they reach the row store.

        Of many members only those that are watched say so; the others tell nothing.
        """
        return [
            member
            for member in self.alive(now)
            if self._live[member.name].reaches_store
            and self._has_recent_heartbeat(self._live[member.name], now)
        ]

    def others(self) -> list[Member]:
        """Return all other members, alive or not."""
        return list(self._ring)

    def _silent_s(self, live: _Liveness, now: float) -> float:
        return now - max(live.heard_at, live.known_since)

    def _is_responding(self, live: _Liveness, now: float) -> bool:
        if live.heard_at:
            return self._has_recent_heartbeat(live, now)
        return now - live.known_since < NEW_MEMBER_GRACE_S

    def _has_recent_heartbeat(self, live: _Liveness, now: float) -> bool:
        return bool(live.heard_at) and now - live.heard_at < SUSPECT_AFTER_S

    def _is_alive(self, live: _Liveness, now: float, *, is_watched: bool) -> bool:
        if is_watched:
            return live.is_ready and self._is_responding(live, now)
        if not live.is_ready and now - live.heard_at < NOT_READY_TTL_S:
            return False
        return now - live.suspected_at >= SUSPICION_TTL_S or (
            live.heard_at > live.suspected_at
        )
