"""What this process believes of the fleet. A view is only ever a hint.

Each member raises its own heartbeat counter; the others pass the highest one they know along.
A member counts as live while its counter keeps rising. Nothing that must be true rests on it:
a wrong view makes calls go the long way round, never more tokens or a second run.
"""

import dataclasses

from laburnumpier_core.hashing import rank_by_rendezvous

from .member import GossipEntry, Member, MemberState

WRITERS = 3
"""Members that may write a key for others: the home, and two where it is silent."""
MAX_CACHED_HOMES = 10_000


@dataclasses.dataclass(slots=True, kw_only=True)
class KnownMember:
    """What is known of one other member.

    Attributes:
        counter: Highest heartbeat counter seen.
        heard_seconds: Monotonic time at which the counter last rose.
        store_reached: Whether its calls reach the store, by its own word.
    """

    member: Member
    counter: int
    state: MemberState
    heard_seconds: float
    store_reached: bool = True


class FleetView:
    """Members heard of, and the placement of keys on the live ones."""

    __slots__ = (
        "_departed",
        "_homes",
        "_known",
        "_live",
        "_self",
        "_writers",
        "suspect_seconds",
    )

    def __init__(self, *, self_member: Member, suspect_seconds: float):
        """Creates a view that holds only this process.

        Args:
            self_member: This process.
            suspect_seconds: A member silent for longer does not count as live.
        """
        self._self = self_member
        self.suspect_seconds = suspect_seconds
        self._known: dict[str, KnownMember] = {}
        self._departed: set[str] = set()
        self._live: list[str] = []
        self._homes: dict[str, str] = {}
        self._writers: dict[str, list[str]] = {}

    @property
    def known(self) -> dict[str, KnownMember]:
        """All other members heard of, by incarnation."""
        return self._known

    @property
    def live(self) -> list[str]:
        """Other members that count as live and serving, those of the own data centre first."""
        return self._live

    def learn(self, entry: GossipEntry, now_seconds: float) -> None:
        """Takes in what was heard of a member.

        Args:
            entry: The gossip.
            now_seconds: Monotonic time.
        """
        name = entry.member.incarnation
        if name == self._self.incarnation or name in self._departed:
            return
        known = self._known.get(name)
        if known is None:
            self._known[name] = KnownMember(
                member=entry.member,
                counter=entry.counter,
                state=entry.state,
                heard_seconds=now_seconds,
                store_reached=entry.store_reached,
            )
        elif entry.counter > known.counter:
            known.counter = entry.counter
            known.state = entry.state
            if known.store_reached != entry.store_reached:
                known.store_reached = entry.store_reached
                self._writers.clear()
            known.heard_seconds = now_seconds
        else:
            return
        self.refresh(now_seconds)

    def forget(self, incarnation: str) -> None:
        """Drops a member that is proven to have ended; later gossip of it is ignored."""
        self._departed.add(incarnation)
        self._known.pop(incarnation, None)
        if incarnation in self._live:
            self._live.remove(incarnation)
            self._forget_homes()

    def refresh(self, now_seconds: float) -> None:
        """Recomputes which members count as live at the given monotonic time."""
        live = [
            known
            for known in self._known.values()
            if now_seconds - known.heard_seconds <= self.suspect_seconds
            and known.state is MemberState.SERVING
        ]
        own = self._self.data_centre
        live.sort(key=lambda known: (known.member.data_centre != own, known.member.incarnation))
        names = [known.member.incarnation for known in live]
        if names != self._live:
            self._live = names
            self._forget_homes()

    def find_home(self, key: str) -> str:
        """Returns the incarnation that a key is placed on."""
        home = self._homes.get(key)
        if home is None:
            home = rank_by_rendezvous(key, [self._self.incarnation, *self._live])[0]
            if len(self._homes) > MAX_CACHED_HOMES:
                self._homes.clear()
            self._homes[key] = home
        return home

    def list_writers(self, key: str) -> list[str]:
        """Returns the members to write a key for others, the preferred one first.

        This process is among them as it knows best itself whether it reaches the store; the
        others are those that say that they do.
        """
        writers = self._writers.get(key)
        if writers is None:
            able = [name for name in self._live if self._known[name].store_reached]
            writers = rank_by_rendezvous(key, [self._self.incarnation, *able])[:WRITERS]
            if len(self._writers) > MAX_CACHED_HOMES:
                self._writers.clear()
            self._writers[key] = writers
        return writers

    def _forget_homes(self) -> None:
        self._homes.clear()
        self._writers.clear()

    def select_gossip(self, limit: int, start: int) -> list[GossipEntry]:
        """Returns up to `limit` entries about others, going round from position `start`."""
        names = list(self._known)
        if not names:
            return []
        chosen = [names[(start + i) % len(names)] for i in range(min(limit, len(names)))]
        return [
            GossipEntry(
                member=self._known[name].member,
                counter=self._known[name].counter,
                state=self._known[name].state,
                store_reached=self._known[name].store_reached,
            )
            for name in chosen
        ]
