"""The share of a server's places that a router uses while their home is silent."""

import dataclasses
import math
import random

from .place_ledger import EPOCH_SECONDS

SHARE_FACTOR = 0.75
"""Part of the places that all routers use together without a home. Shares below one place are used
by chance, so the sum varies; with 8 places and 195 routers it exceeds them by more than 4 about
once in a hundred seconds."""
MAX_HOLD_OFF_SECONDS = 60.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Draw:
    """Whether the part of a place is used, until a monotonic time in seconds."""

    until_seconds: float
    extra: int


class OwnShares:
    """The own shares of all brittle servers, by server id."""

    __slots__ = ("_draws", "_held_off_until", "_random")

    def __init__(self, *, random_source: random.Random):
        """Creates it without any use of a share.

        Args:
            random_source: Decides over parts of places.
        """
        self._random = random_source
        self._draws: dict[str, Draw] = {}
        self._held_off_until: dict[str, float] = {}

    def has_room(
        self, server_id: str, slots: int, routers: int, in_use: int, now_seconds: float
    ) -> bool:
        """Returns whether one more request may be sent to a server.

        Args:
            server_id: Id of the server.
            slots: Requests that it runs concurrently.
            routers: Number of routers that share its places.
            in_use: Requests of this router that are in progress there.
            now_seconds: Current monotonic time.
        """
        if now_seconds < self._held_off_until.get(server_id, -math.inf):
            return False
        share = SHARE_FACTOR * slots / max(1, routers)
        draw = self._draws.get(server_id)
        if draw is None or now_seconds >= draw.until_seconds:
            self._forget_past(now_seconds)
            draw = self._draws[server_id] = Draw(
                until_seconds=now_seconds + EPOCH_SECONDS,
                extra=int(self._random.random() < share % 1.0),
            )
        return in_use < math.floor(share) + draw.extra

    def record_rejection(
        self, server_id: str, routers: int, max_rejects: int, now_seconds: float
    ) -> None:
        """Stops the use of a share for a while.

        All routers together cause half of the rejections that the server bears, if each one does
        once after its wait.
        """
        hold_off_seconds = 2.0 * routers / max(1, max_rejects)
        hold_off_seconds = min(max(EPOCH_SECONDS, hold_off_seconds), MAX_HOLD_OFF_SECONDS)
        self._held_off_until[server_id] = now_seconds + hold_off_seconds

    def _forget_past(self, now_seconds: float) -> None:
        self._draws = {s: d for s, d in self._draws.items() if d.until_seconds > now_seconds}
        held_off = self._held_off_until.items()
        self._held_off_until = {s: until for s, until in held_off if until > now_seconds}
