"""The places of one brittle server, as its home keeps them; pure bookkeeping.

Answers this load: the routers together have more requests for a server than it runs at a time,
while the server falls over if it has to reject more than a few in a second. A request is sent only
with a place. At first there are as many places as the server has slots. A rejection shows that
there are fewer: the number falls to the places that are in use without the rejected one. It rises
by a small step after some seconds without a rejection, so that a wrong guess costs few.

A holder that falls silent is dead, or is cut off and uses its own share. The home then gives out
the share of the others only, and raises it in the same careful way. A home that takes over from
another one begins with the share of the routers that it hears of.
"""

import collections
import dataclasses
import math

LEARNING_SECONDS = 1.2
"""Time after its first message for which a home does not know all places that are in use: each
router that has asked tells them once a second."""
SILENCE_SECONDS = 3.0
"""Age of the last word of a place's holder at which the place counts as free: three of these
messages are lost. A request of a router that is gone ends at once at its server."""
GRACE_SECONDS = 0.5
"""Age up to which a place is kept that its holder does not name; the answer that leased it and the
message may have crossed."""
RAISE_SECONDS = 2.0
"""Time without a rejection after which more places are given out."""
RAISE_REJECTS = 4.0
"""Rejections a second that a server has to bear for this pace; one that bears fewer is raised more
slowly, in proportion."""
RAISE_REJECT_SHARE = 0.25
"""Part of the bearable rejections of a second that a wrong raise may cost."""
RAISE_SLOT_SHARE = 0.125
"""Part of the slots by which the places rise at most; at least it is one place."""
MAX_RAISE_SECONDS = 30.0
"""The same for a server that can bear no rejection."""
MIN_PACE_SHARE = 0.001
"""Least share of the fleet that counts for the pace of raises."""
EPOCH_SECONDS = 1.0
"""Time for which the part of a place is drawn by chance."""
RATE_WINDOW_SECONDS = 1.0
"""Time over which the pace is measured in which places become free."""
DEFAULT_PLACE_SECONDS = 0.5
"""Time after which a place is expected to be free when none was returned lately."""
FORGET_SECONDS = 30.0
"""Time after which a router that fell silent is not counted among the users of the server."""
MAX_ENDED = 256
"""Returned places that are remembered, in case their request for a lease comes after its end."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Lease:
    """A place in use.

    Attributes:
        leased_seconds: Monotonic time at which it was given out, or first heard of.
        heard_seconds: Monotonic time at which its holder was last heard of.
    """

    leased_seconds: float
    heard_seconds: float


class PlaceLedger:
    """The places of one server process."""

    __slots__ = (
        "_began_seconds",
        "_chance",
        "_ended",
        "_epoch_end_seconds",
        "_heard",
        "_is_beginning",
        "_is_takeover",
        "_leases",
        "_level",
        "_lost",
        "_max_rejects",
        "_quiet_since_seconds",
        "_returns",
        "_routers",
        "_share",
        "_slots",
        "_was_full",
    )

    def __init__(
        self,
        *,
        slots: int,
        max_rejects: int,
        routers: int,
        now_seconds: float,
        is_beginning: bool,
    ):
        """Creates a ledger that knows of no place in use.

        Args:
            slots: Requests that the server runs concurrently.
            max_rejects: Requests that it can reject in a second.
            routers: Number of routers.
            now_seconds: Current monotonic time.
            is_beginning: Whether the brittle time of the server has just begun, so that no other
                router has given out places. Requests without a place that the home is not told of
                do no harm then: the server still has its usual room for some seconds.
        """
        self._slots = slots
        self._max_rejects = max_rejects
        self._began_seconds = now_seconds
        self._is_beginning = is_beginning
        self._is_takeover = not is_beginning
        self._routers = routers
        self._share = 1.0 if is_beginning else 0.0
        self._level = self._share * slots
        self._heard: dict[str, float] = {}
        self._lost: set[str] = set()
        self._leases: dict[tuple[str, int], Lease] = {}
        self._ended: collections.OrderedDict[tuple[str, int], None] = collections.OrderedDict()
        self._returns: collections.deque[float] = collections.deque()
        self._quiet_since_seconds = now_seconds
        self._was_full = False
        self._epoch_end_seconds = -math.inf
        self._chance = 1.0

    @property
    def level(self) -> float:
        """Number of places that are given out at most; a part of one by chance in time."""
        return self._level

    @property
    def leased_count(self) -> int:
        """Number of places in use."""
        return len(self._leases)

    def is_known(self, now_seconds: float) -> bool:
        """Returns whether it is known if there is a place."""
        is_learnt = now_seconds - self._began_seconds > LEARNING_SECONDS
        is_learnt = is_learnt or len(self._heard) >= self._routers
        return self._is_beginning or is_learnt or len(self._leases) >= self._slots

    def update(self, slots: int, max_rejects: int, routers: int, now_seconds: float) -> None:
        """Takes over what is known of the server and of the fleet.

        Args:
            slots: Requests that the server runs concurrently.
            max_rejects: Requests that it can reject in a second.
            routers: Number of routers.
            now_seconds: Current monotonic time.
        """
        self._max_rejects = max_rejects
        self._routers = max(1, routers)
        if slots != self._slots:
            limit = slots * self._share
            self._level = min(self._level, limit) if slots < self._slots else limit
            self._slots = slots

    def lease(self, holder: str, place_id: int, now_seconds: float, chance: float) -> bool:
        """Gives out a place if there is one.

        Args:
            holder: Router that asks.
            place_id: Id of the place at that router.
            now_seconds: Current monotonic time.
            chance: Random number from 0 to 1, which decides over a part of a place.

        Returns:
            Whether the router has the place.
        """
        key = (holder, place_id)
        if key in self._ended:
            return False
        self._record_heard(holder, now_seconds)
        self._expire(now_seconds)
        self._raise_level(now_seconds)
        if key not in self._leases and not self._has_room(now_seconds, chance):
            self._was_full = True
            return False
        self._leases[key] = Lease(leased_seconds=now_seconds, heard_seconds=now_seconds)
        return True

    def give_back(
        self, holder: str, place_id: int, now_seconds: float, *, is_rejected: bool
    ) -> None:
        """Takes a place back; a rejection lowers the number of places at once."""
        key = (holder, place_id)
        self._record_heard(holder, now_seconds)
        self._ended[key] = None
        while len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)
        if self._leases.pop(key, None) is not None and not is_rejected:
            self._returns.append(now_seconds)
        if is_rejected:
            self._is_beginning = False
            # While not all places in use are known, their number says little.
            if self.is_known(now_seconds):
                self._level = min(self._level, max(1.0, float(len(self._leases))))
            self._quiet_since_seconds = now_seconds
            self._was_full = False

    def renew(self, holder: str, place_ids: list[int], now_seconds: float) -> None:
        """Takes over which places a router uses, also those that another home gave out."""
        self._record_heard(holder, now_seconds)
        named = set(place_ids)
        for key, lease in list(self._leases.items()):
            is_new = now_seconds - lease.leased_seconds < GRACE_SECONDS
            if key[0] == holder and key[1] not in named and not is_new:
                self.give_back(*key, now_seconds, is_rejected=False)
        for place_id in named:
            key = (holder, place_id)
            if key in self._leases:
                self._leases[key].heard_seconds = now_seconds
            elif key not in self._ended:
                self._leases[key] = Lease(leased_seconds=now_seconds, heard_seconds=now_seconds)

    def estimate_wait(self, ahead: int, now_seconds: float) -> float:
        """Returns the seconds until a place is expected to be free for one more.

        Args:
            ahead: Number of those who wait already.
            now_seconds: Current monotonic time.
        """
        while self._returns and self._returns[0] < now_seconds - RATE_WINDOW_SECONDS:
            self._returns.popleft()
        excess = max(0, len(self._leases) - max(1, math.floor(self._level)))
        if not self._returns:
            return DEFAULT_PLACE_SECONDS * (1 + ahead + excess)
        return RATE_WINDOW_SECONDS * (1 + ahead + excess) / len(self._returns)

    def _has_room(self, now_seconds: float, chance: float) -> bool:
        if now_seconds >= self._epoch_end_seconds:
            self._epoch_end_seconds = now_seconds + EPOCH_SECONDS
            self._chance = chance
        extra = int(self._chance < self._level % 1.0)
        return len(self._leases) < math.floor(self._level) + extra

    def _record_heard(self, holder: str, now_seconds: float) -> None:
        is_new = holder not in self._heard or holder in self._lost
        self._heard[holder] = now_seconds
        if is_new:
            self._lost.discard(holder)
            self._update_share(now_seconds)

    def _expire(self, now_seconds: float) -> None:
        """Frees the places of holders that have been silent for too long."""
        oldest_seconds = now_seconds - SILENCE_SECONDS
        silent = {
            key for key, lease in self._leases.items() if lease.heard_seconds < oldest_seconds
        }
        for key in silent:
            del self._leases[key]
        lost = {h for h, seconds in self._heard.items() if seconds < oldest_seconds}
        if lost - self._lost:
            self._lost |= lost
            self._update_share(now_seconds)

    def _update_share(self, now_seconds: float) -> None:
        """Lowers or raises the level with the share of the routers that are heard."""
        oldest_seconds = now_seconds - FORGET_SECONDS
        self._heard = {h: s for h, s in self._heard.items() if s > oldest_seconds}
        self._lost &= self._heard.keys()
        users = self._routers if self._is_takeover else max(1, len(self._heard))
        share = min(1.0, (len(self._heard) - len(self._lost)) / users)
        if not self._heard:
            share = self._share
        if share < self._share:
            self._level = min(self._level, self._slots * share)
            self._quiet_since_seconds = now_seconds
        else:
            self._level += self._slots * (share - self._share)
            self._level = min(self._level, float(self._slots))
        self._share = share

    def _raise_level(self, now_seconds: float) -> None:
        """Raises the level after a time without a rejection in which all places were used."""
        if self._level >= self._slots:
            return
        if now_seconds - self._quiet_since_seconds < self._get_raise_seconds():
            return
        self._quiet_since_seconds = now_seconds
        if self._was_full:
            step = min(self._max_rejects * RAISE_REJECT_SHARE, self._slots * RAISE_SLOT_SHARE)
            self._level = min(self._level + max(1.0, step), float(self._slots))
            self._was_full = False

    def _get_raise_seconds(self) -> float:
        """Returns the seconds between two raises; several homes in a cut share the pace."""
        seconds = MAX_RAISE_SECONDS
        if self._max_rejects:
            seconds = RAISE_SECONDS * max(1.0, RAISE_REJECTS / self._max_rejects)
        return min(seconds, MAX_RAISE_SECONDS) / max(self._share, MIN_PACE_SHARE)
