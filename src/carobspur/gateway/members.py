"""Membership of gateways: heartbeats around a ring, suspicions sent to all members.

Members form a ring in the order of their names. Each sends heartbeats to the next few
members of the ring, its watchers. When these stop receiving them, they suspect the
member and say so in the heartbeats that they then send to everyone. The number of
datagrams therefore grows with the number of members, not with its square.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..placement import rank

WATCHER_COUNT = 8
"""Members that receive each heartbeat: all others in the usual deployment of seven
gateways, a few in one of hundreds."""
HEARTBEAT_INTERVAL_S = 0.25
HEARTBEATS_PER_ROW = 4
"""One heartbeat in this many carries the sender's row."""
SUSPECT_AFTER_S = 1.0
"""Time without a heartbeat after which a member is suspected: four intervals."""
NEW_MEMBER_GRACE_S = 0.8
"""How long a new member counts as alive before its first heartbeat: three intervals."""
REMOVE_AFTER_S = 30.0
"""Time without a heartbeat after which a member's row is removed: longer than network
partitions that heal."""
NOT_READY_TTL_S = 1.5
"""How long an unwatched member counts as not ready after it last said so. A member that
is not ready sends its heartbeats to everyone, and to its watchers alone once it is
ready, so an unwatched member's readiness shows only in its silence."""
FULL_MESH_MAX_PEERS = 16
"""Up to this many other gateways all receive load reports. Reports of 33 gateways to
all others are calculated to take some 20 MB a minute between three data centres."""
MAX_CRASHED_NAMES = 4096
"""Crashed gateway processes that are remembered: four days' worth in a large
deployment."""
SUSPICION_TTL_S = 1.5
"""Time after which another member's reported suspicion expires unless it is repeated.
"""


class Member(msgspec.Struct, frozen=True):
    """A gateway's row in the store.

    Attributes:
        name: Name of the gateway; unique to each start of its process.
        data_centre: Data centre that it runs in.
        callers: ``HOST:PORT`` for callers; the same across restarts.
        peers: ``HOST:PORT`` for requests of other gateways.
        heartbeats: ``HOST:PORT`` for datagrams of other gateways.
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
    """A datagram by which other gateways know that its sender is alive.

    Attributes:
        name: Name of the sender.
        is_ready: Whether callers should be directed to the sender.
        suspects: Names of members whose heartbeats the sender no longer receives.
        reaches_store: Whether the sender reaches the row store.
        member: The sender's row, in some heartbeats; it makes new members known while
            the row store is unreachable.
        has_unrecorded: Whether the sender has granted tokens that no row counts. Its
            end would lose them.
    """

    name: str
    is_ready: bool
    suspects: list[str] = []
    reaches_store: bool = True
    member: Member | None = None
    has_unrecorded: bool = False


@dataclass(slots=True)
class _Liveness:
    """State from which a member's liveness is judged; all times are loop times."""

    known_since: float
    last_heartbeat_at: float = 0.0
    is_ready: bool = True
    was_ready: bool = False
    has_unrecorded: bool = False
    reaches_store: bool = True
    suspected_at: float = -SUSPICION_TTL_S


class Membership:
    """Members and their liveness.

    Does no I/O: callers pass in rows, heartbeats and the loop time.

    Args:
        own: This gateway's row.

    Attributes:
        last_crash_at: Loop time at which this gateway last learned that another one, or
            its own earlier process, had ended or fallen silent without leaving.
        last_departure_at: Loop time at which this gateway last learned that another one
            was leaving or had left.
    """

    __slots__ = (
        "_crashed_names",
        "_ended_at",
        "_left_names",
        "_live",
        "_members",
        "_own",
        "_ring",
        "last_crash_at",
        "last_departure_at",
    )

    def __init__(self, own: Member) -> None:
        self._own = own
        self.last_crash_at = float("-inf")
        self.last_departure_at = float("-inf")
        self._members: dict[str, Member] = {own.name: own}
        # The other members in the order of their names, starting after this gateway.
        self._ring: list[Member] = []
        self._live: dict[str, _Liveness] = {}
        # Names of processes that ended without leaving, oldest first.
        self._crashed_names: dict[str, None] = {}
        # Names of processes that have left and whose rows may still be there.
        self._left_names: dict[str, None] = {}
        # Loop time at which a process was found silent or ended, oldest first.
        self._ended_at: dict[str, float] = {}

    @property
    def own(self) -> Member:
        """This gateway's row."""
        return self._own

    def put(
        self, member: Member, now: float, *, is_sent_by_member: bool = False
    ) -> None:
        """Add a member, or replace the earlier process of the same gateway.

        Two rows with the same address for callers are processes of one gateway, of
        which only the later one is kept.

        Args:
            member: The row.
            now: Loop time.
            is_sent_by_member: Whether the member itself has just sent the row. A row
                from the store or from a peer may be of an earlier process.
        """
        if self.is_own_former_start(member):
            self._record_crash_once(member.name, now)
            return
        for other in list(self._members.values()):
            if other.callers == member.callers and other.name != member.name:
                if not is_sent_by_member and self._keeps_known(other, member, now):
                    if other.started_at > member.started_at:
                        self._record_crash_once(member.name, now)
                    return
                if self._has_left(other.name):
                    self._left_names[other.name] = None
                else:
                    self._record_crash_once(other.name, now)
                self.remove(other.name)
        self._members[member.name] = member
        self._live.setdefault(member.name, _Liveness(now))
        self._rebuild_ring()

    def _rebuild_ring(self) -> None:
        names = sorted(self._members)
        start = names.index(self._own.name)
        ring = names[start + 1 :] + names[:start]
        self._ring = [self._members[name] for name in ring]

    def is_own_former_start(self, member: Member) -> bool:
        """Return whether a row is of a former start of this gateway's own process."""
        return member.callers == self._own.callers and member.name != self._own.name

    def _record_crash_once(self, name: str, now: float) -> None:
        """Record that a process ended without leaving, unless that is known already."""
        if name in self._crashed_names:
            return
        self._record_end(name, now)
        self._crashed_names[name] = None
        while len(self._crashed_names) > MAX_CRASHED_NAMES:
            del self._crashed_names[next(iter(self._crashed_names))]

    def _record_end(self, name: str, now: float) -> None:
        self.last_crash_at = now
        self._ended_at.pop(name, None)
        self._ended_at[name] = now
        while len(self._ended_at) > MAX_CRASHED_NAMES:
            del self._ended_at[next(iter(self._ended_at))]

    def ended_since(self, moment: float) -> list[str]:
        """Return the members found silent or ended, without having left, since then.

        Args:
            moment: Loop time.
        """
        return [name for name, at in self._ended_at.items() if at >= moment]

    def _keeps_known(self, known: Member, new: Member, now: float) -> bool:
        """Return whether a known member is kept when a row of another start arrives.

        A member with a recent heartbeat stays whatever the start times say: the clock
        of an instance may be set between two starts.
        """
        live = self._live[known.name]
        if live.is_ready and self._has_recent_heartbeat(live, now):
            return True
        return known.started_at > new.started_at

    def keep_only(self, names: set[str], now: float) -> None:
        """Remove the members without a row in the full table.

        Members with a recent heartbeat stay: their rows may not be written yet.
        """
        for member in list(self.others()):
            has_heartbeat = self._has_recent_heartbeat(self._live[member.name], now)
            if member.name not in names and not has_heartbeat:
                self.record_departure(member.name, now)
                self.remove(member.name)
        for name in self._ended_at.keys() - names:
            self.record_row_removed(name, now)

    def record_departure(self, name: str, now: float) -> None:
        """Record that a member is leaving, or that its row was removed."""
        if name in self._live:
            self.last_departure_at = now

    def record_row_removed(self, name: str, now: float) -> None:
        """Record that the store has no row of a member: it has lost no grants."""
        self.record_departure(name, now)
        ended_at = self._ended_at.pop(name, None)
        if ended_at is not None:
            self.last_departure_at = max(self.last_departure_at, ended_at)
            self.last_crash_at = max(self._ended_at.values(), default=float("-inf"))

    def remove(self, name: str) -> None:
        """Remove a member; this gateway itself always stays."""
        if name != self._own.name:
            self._members.pop(name, None)
            self._live.pop(name, None)
            self._rebuild_ring()

    def get(self, name: str) -> Member | None:
        """Return a member by name, this gateway included."""
        return self._members.get(name)

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a received heartbeat and the suspicions that it reports."""
        if (
            heartbeat.name not in self._live
            and heartbeat.member is not None
            and heartbeat.is_ready
        ):
            self.put(heartbeat.member, now, is_sent_by_member=True)
        live = self._live.get(heartbeat.name)
        if live is not None:
            if live.is_ready and live.last_heartbeat_at and not heartbeat.is_ready:
                self.record_departure(heartbeat.name, now)
            live.last_heartbeat_at = now
            live.is_ready = heartbeat.is_ready
            live.was_ready = live.was_ready or heartbeat.is_ready
            live.has_unrecorded = heartbeat.has_unrecorded
            live.reaches_store = heartbeat.reaches_store
        for name in heartbeat.suspects:
            suspect = self._live.get(name)
            if suspect is not None:
                suspect.suspected_at = now

    def has_recent_heartbeat(self, name: str, within_s: float, now: float) -> bool:
        """Return whether a member's last heartbeat came within the given time.

        Also true for a member without any heartbeat so far and for this gateway; false
        for an unknown member. An unwatched member sends this gateway heartbeats only
        while it is not ready or suspects another member, so that silence afterwards
        does not mean that it is down.
        """
        if name == self._own.name:
            return True
        live = self._live.get(name)
        if live is None:
            return False
        return not live.last_heartbeat_at or now - live.last_heartbeat_at < within_s

    def watchers(self) -> list[Member]:
        """Return the members that receive this gateway's heartbeats."""
        return self._ring[:WATCHER_COUNT]

    def has_unheard_watchers(self) -> bool:
        """Return whether a watcher has sent no heartbeat yet.

        Such a watcher may not know this gateway, which should send it its row.
        """
        return any(
            not self._live[item.name].last_heartbeat_at for item in self.watchers()
        )

    def watched(self) -> list[Member]:
        """Return the members whose heartbeats this gateway should receive."""
        return self._ring[-WATCHER_COUNT:]

    def is_leaving(self, name: str) -> bool:
        """Return whether a member is unknown or last reported that it is not ready."""
        live = self._live.get(name)
        return live is None or not live.is_ready

    def _has_left(self, name: str) -> bool:
        """Return whether a member may end without a loss of grants."""
        live = self._live[name]
        return not live.is_ready and not live.has_unrecorded

    def with_unrecorded(self, now: float) -> list[Member]:
        """Return the members, alive or leaving, that report unrecorded grants.

        In a large deployment only watched members send this gateway such reports.
        """
        return [
            item
            for item in self._ring
            if self._live[item.name].has_unrecorded
            and self._has_recent_heartbeat(self._live[item.name], now)
        ]

    def has_leaving_members(self) -> bool:
        """Return whether a member that is leaving still has unrecorded grants."""
        return any(
            not live.is_ready and live.has_unrecorded for live in self._live.values()
        )

    def has_unheard_members(self) -> bool:
        """Return whether a watched member has sent no heartbeat yet."""
        return any(
            not self._live[item.name].last_heartbeat_at for item in self.watched()
        )

    def record_lost_leavers(self, now: float) -> list[str]:
        """Record members that fell silent before all their grants were recorded.

        A member that leaves sends heartbeats to everyone until it ends.

        Returns:
            The names of those that were not recorded before.
        """
        lost = [
            name
            for name, live in self._live.items()
            if not live.is_ready
            and live.has_unrecorded
            and self._silent_s(live, now) > SUSPECT_AFTER_S
            and name not in self._crashed_names
        ]
        for name in lost:
            self._record_crash_once(name, now)
        return lost

    def record_silence(self, name: str, now: float) -> None:
        """Record that a member stopped sending heartbeats without having left."""
        self._record_end(name, now)

    def suspects(self, now: float) -> list[str]:
        """Return the names of the watched members that this gateway suspects."""
        return [
            member.name
            for member in self.watched()
            if not self._is_responding(self._live[member.name], now)
        ]

    def left_to_remove(self, now: float) -> list[str]:
        """Return the names of members that have left whose rows are to be removed.

        They could not remove them in an outage. Rendezvous hashing assigns each row to
        one of the gateways that are alive.
        """
        silent = [
            name
            for name, live in self._live.items()
            if live.was_ready
            and self._has_left(name)
            and self._silent_s(live, now) > SUSPECT_AFTER_S
        ]
        alive = [member.name for member in self.alive(now)]
        names = [
            name
            for name in [*self._left_names, *silent]
            if rank(name, [*alive, self._own.name])[0] == self._own.name
        ]
        self._left_names.clear()
        return names

    def dead_to_remove(
        self, now: float, *, after_s: float = REMOVE_AFTER_S
    ) -> list[str]:
        """Return the names of dead members whose rows this gateway has to remove.

        Only watched members are checked. Rendezvous hashing assigns each row to one of
        the gateways that are alive.

        Args:
            now: Loop time.
            after_s: Time without a heartbeat after which a row is removed.
        """
        alive = [member.name for member in self.alive(now)]
        return [
            member.name
            for member in self.watched()
            if self._silent_s(self._live[member.name], now) > after_s
            and rank(member.name, [*alive, self._own.name])[0] == self._own.name
        ]

    def alive(self, now: float) -> list[Member]:
        """Return the other members that count as alive and ready.

        Watched members are judged by their heartbeats, the rest by what others report.
        """
        first_watched = len(self._ring) - WATCHER_COUNT
        return [
            member
            for index, member in enumerate(self._ring)
            if self._is_alive(
                self._live[member.name], now, is_watched=index >= first_watched
            )
        ]

    def load_report_recipients(self, now: float) -> list[Member]:
        """Return the members that receive this gateway's load reports.

        These are all members that are alive, up to ``FULL_MESH_MAX_PEERS``; above that,
        those in the gateway's own data centre, whose endpoints it prefers.
        """
        alive = self.alive(now)
        if _is_full_mesh(alive):
            return alive
        own = self._own.data_centre
        return [member for member in alive if member.data_centre == own]

    def exchanges_all_loads(self, now: float) -> bool:
        """Return whether all gateways send each other load reports."""
        return _is_full_mesh(self.alive(now))

    def load_report_share(self, now: float) -> float:
        """Return the share of all gateways that exchange load reports with this one.

        It includes this gateway. A member that is silent counts among the others: it
        may be cut off only from this gateway and serve its callers.
        """
        reporting = 1 + len(self.load_report_recipients(now))
        return reporting / (1 + len(self._ring))

    def reaching_store(self, now: float) -> list[Member]:
        """Return the members that recently reported that they reach the row store.

        In a large deployment only watched members send this gateway such reports.
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
        return now - max(live.last_heartbeat_at, live.known_since)

    def _is_responding(self, live: _Liveness, now: float) -> bool:
        if live.last_heartbeat_at:
            return self._has_recent_heartbeat(live, now)
        return now - live.known_since < NEW_MEMBER_GRACE_S

    def _has_recent_heartbeat(self, live: _Liveness, now: float) -> bool:
        return (
            bool(live.last_heartbeat_at)
            and now - live.last_heartbeat_at < SUSPECT_AFTER_S
        )

    def _is_alive(self, live: _Liveness, now: float, *, is_watched: bool) -> bool:
        if is_watched:
            return live.is_ready and self._is_responding(live, now)
        if not live.is_ready and now - live.last_heartbeat_at < NOT_READY_TTL_S:
            return False
        return now - live.suspected_at >= SUSPICION_TTL_S or (
            live.last_heartbeat_at > live.suspected_at
        )


def _is_full_mesh(alive: list[Member]) -> bool:
    """Return whether all gateways exchange load reports with so many others alive."""
    return len(alive) <= FULL_MESH_MAX_PEERS
