"""Local, possibly outdated view of the fleet and the placement of keys on its members.

Each member increments its own heartbeat counter, and the others gossip the highest value they
know. A member counts as live while its counter keeps increasing. Safety does not depend on the
view: a wrong view costs extra calls, but never hands out more tokens or runs a request twice.
"""

import dataclasses

from laburnumpier_core.hashing import rank_by_rendezvous

from .member import GossipEntry, Member, MemberState

WRITERS_PER_KEY = 3
"""Members that may write a key for others: its home, and two fallbacks if it does not respond."""
MAX_CACHED_HOMES = 10_000


@dataclasses.dataclass(slots=True, kw_only=True)
class KnownMember:
    """Last known state of one other member.

    Attributes:
        counter: Highest heartbeat counter received.
        last_increase_seconds: Monotonic time of the last increase of the counter.
        store_reached: Whether its calls to the store succeed, as it reported itself.
    """

    member: Member
    counter: int
    state: MemberState
    last_increase_seconds: float
    store_reached: bool = True


class FleetView:
    """Known members, and the rendezvous placement of keys on the live ones."""

    __slots__ = (
        "_departed",
        "_homes",
        "_known",
        "_live",
        "_live_names",
        "_self_member",
        "_writers",
        "suspicion_timeout_seconds",
    )

    def __init__(self, *, self_member: Member, suspicion_timeout_seconds: float):
        """Creates a view that holds only this process.

        Args:
            self_member: This process.
            suspicion_timeout_seconds: Time without an increase of its counter after which a member
                no longer counts as live.
        """
        self._self_member = self_member
        self.suspicion_timeout_seconds = suspicion_timeout_seconds
        self._known: dict[str, KnownMember] = {}
        self._departed: set[str] = set()
        self._live: list[str] = []
        self._live_names: set[str] = set()
        self._homes: dict[str, str] = {}
        self._writers: dict[str, list[str]] = {}

    @property
    def known(self) -> dict[str, KnownMember]:
        """All other known members by incarnation."""
        return self._known

    @property
    def live(self) -> list[str]:
        """Other members that are live and serving, those of the own data centre first.

        A change of the fleet replaces the list, so a caller may keep it over an await.
        """
        return self._live

    def merge_entry(self, entry: GossipEntry, now_seconds: float) -> None:
        """Merges a gossip entry into the view; an entry that is not newer is ignored.

        Most entries only confirm that a live member is live. They must not cost a look at all
        members; those that have become suspect meanwhile are found by `refresh`.

        Args:
            entry: Received state of a member.
            now_seconds: Current monotonic time.
        """
        name = entry.member.incarnation
        if name == self._self_member.incarnation or name in self._departed:
            return
        known = self._known.get(name)
        if known is None:
            self._known[name] = KnownMember(
                member=entry.member,
                counter=entry.counter,
                state=entry.state,
                last_increase_seconds=now_seconds,
                store_reached=entry.store_reached,
            )
        elif entry.counter > known.counter:
            is_change = known.state is not entry.state or name not in self._live_names
            known.counter = entry.counter
            known.state = entry.state
            if known.store_reached != entry.store_reached:
                known.store_reached = entry.store_reached
                self._writers.clear()
            known.last_increase_seconds = now_seconds
            if not is_change:
                return
        else:
            return
        self.refresh(now_seconds)

    def mark_departed(self, incarnation: str) -> None:
        """Removes a member that is proven to have ended and ignores later gossip about it."""
        self._departed.add(incarnation)
        self._known.pop(incarnation, None)
        if incarnation in self._live:
            self._live = [name for name in self._live if name != incarnation]
            self._live_names.discard(incarnation)
            self._clear_placement_caches()

    def refresh(self, now_seconds: float) -> None:
        """Recomputes the live members as of the given monotonic time."""
        live = [
            known
            for known in self._known.values()
            if now_seconds - known.last_increase_seconds <= self.suspicion_timeout_seconds
            and known.state is MemberState.SERVING
        ]
        own = self._self_member.data_centre
        live.sort(key=lambda known: (known.member.data_centre != own, known.member.incarnation))
        names = [known.member.incarnation for known in live]
        if names != self._live:
            self._live = names
            self._live_names = set(names)
            self._clear_placement_caches()

    def find_home(self, key: str) -> str:
        """Returns the incarnation that a key is placed on."""
        home = self._homes.get(key)
        if home is None:
            home = rank_by_rendezvous(key, [self._self_member.incarnation, *self._live])[0]
            if len(self._homes) > MAX_CACHED_HOMES:
                self._homes.clear()
            self._homes[key] = home
        return home

    def list_writers(self, key: str) -> list[str]:
        """Returns the members that may write a key for others, in order of preference.

        Candidates are the live members that report that they reach the store, and this process
        regardless, because the caller knows its own reachability directly.
        """
        writers = self._writers.get(key)
        if writers is None:
            peers_with_store = [name for name in self._live if self._known[name].store_reached]
            writers = rank_by_rendezvous(key, [self._self_member.incarnation, *peers_with_store])[
                :WRITERS_PER_KEY
            ]
            if len(self._writers) > MAX_CACHED_HOMES:
                self._writers.clear()
            self._writers[key] = writers
        return writers

    def _clear_placement_caches(self) -> None:
        self._homes.clear()
        self._writers.clear()

    def select_gossip(self, limit: int, start: int) -> list[GossipEntry]:
        """Returns up to `limit` entries on other members, round-robin from position `start`."""
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
