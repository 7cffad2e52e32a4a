"""What the other routers say about their connections to servers, and which of them may relay."""

import dataclasses
import random
from collections.abc import Callable

from ..fleet.member import MAX_TOLD_CONTACTS, ServerContact, ServerReach

MAX_CONTACT_AGE_SECONDS = 3.0
"""Age up to which a router's report is trusted, some heartbeats long. A router without a younger
report is asked last, and is asked by a message whether it reaches servers."""
MAX_KNOWN_ROUTERS = 1000
"""Limit of the routers whose reports are kept, twice the largest planned fleet."""
HOLD_OFF_SECONDS = {"busy": 0.2, "stopping": 5.0, "unreached": 1.0, "silent": 1.0}
"""Time for which a router is not asked again, by the reason of its last refusal."""


@dataclasses.dataclass(slots=True, kw_only=True)
class PeerContact:
    """What is known of one router, in monotonic seconds.

    Attributes:
        reached_seconds: When it last reached a server.
        failed_seconds: When it last said that its connections fail.
        hold_off_until_seconds: Time before which it is not asked to relay.
    """

    reached_seconds: float = float("-inf")
    failed_seconds: float = float("-inf")
    hold_off_until_seconds: float = float("-inf")

    @property
    def latest_seconds(self) -> float:
        """Time of the latest news."""
        return max(self.reached_seconds, self.failed_seconds, self.hold_off_until_seconds)


class PeerContacts:
    """Reports of the other routers, with their age."""

    __slots__ = ("_contacts", "_random")

    def __init__(self, *, random_source: random.Random):
        """Creates contacts without reports.

        Args:
            random_source: Spreads relayed requests over the routers.
        """
        self._contacts: dict[str, PeerContact] = {}
        self._random = random_source

    def adopt(self, sender: str, reach: ServerReach, now_seconds: float) -> None:
        """Takes over a router's report about itself and others; older reports change nothing."""
        if reach.own_age_ms is not None:
            self.record_reached(sender, now_seconds - reach.own_age_ms / 1000)
        if reach.is_failing:
            self._find(sender).failed_seconds = now_seconds
        for contact in reach.others:
            self.record_reached(contact.router, now_seconds - contact.age_ms / 1000)

    def record_reached(self, router: str, seconds: float) -> None:
        """Records when a router reached a server."""
        contact = self._find(router)
        contact.reached_seconds = max(contact.reached_seconds, seconds)

    def hold_off(self, router: str, reason: str, now_seconds: float) -> None:
        """Records that a router does not relay now."""
        contact = self._find(router)
        contact.hold_off_until_seconds = now_seconds + HOLD_OFF_SECONDS.get(reason, 0.0)
        if reason == "unreached":
            contact.failed_seconds = now_seconds

    def has_reaching(
        self, now_seconds: float, live: list[str], since_seconds: float = float("-inf")
    ) -> bool:
        """Whether a live router is known to reach servers, and has reached one since a time."""
        return any(
            self._is_reaching(name, now_seconds)
            and self._contacts[name].reached_seconds >= since_seconds
            for name in live
        )

    def list_candidates(
        self,
        now_seconds: float,
        live: list[str],
        since_seconds: float,
        is_near: Callable[[str], bool],
    ) -> list[str]:
        """Returns the routers to ask for a relay.

        Those that have reached servers since a time come first, as many may have been cut off
        then; others that reach servers follow, and unknown ones. Within each group near ones come
        first, unless more near ones are known to fail than to reach servers: the few would get
        the requests of many. Otherwise the order is random, so that requests are spread.

        Args:
            now_seconds: Monotonic time.
            live: The other live routers.
            since_seconds: Start of the failures of this router.
            is_near: Whether a router is in the data centre of this one.
        """
        ready = [name for name in live if self._is_ready(name, now_seconds)]
        self._random.shuffle(ready)
        reaching = [name for name in ready if self._is_reaching(name, now_seconds)]
        unknown = [name for name in ready if self._is_unknown(name, now_seconds)]
        near_balance = sum(is_near(name) for name in reaching) - sum(
            is_near(name) for name in live if self._is_failing(name, now_seconds)
        )
        if near_balance >= 0:
            reaching.sort(key=lambda name: not is_near(name))
        reaching.sort(key=lambda name: self._contacts[name].reached_seconds < since_seconds)
        return reaching + unknown

    def list_told(self, now_seconds: float) -> list[ServerContact]:
        """Returns the youngest reports of routers that reach servers, as told to others."""
        names = [name for name in self._contacts if self._is_reaching(name, now_seconds)]
        names.sort(key=lambda name: -self._contacts[name].reached_seconds)
        return [
            ServerContact(
                router=name,
                age_ms=max(0, round((now_seconds - self._contacts[name].reached_seconds) * 1000)),
            )
            for name in names[:MAX_TOLD_CONTACTS]
        ]

    def _is_reaching(self, name: str, now_seconds: float) -> bool:
        contact = self._contacts.get(name)
        if contact is None or contact.failed_seconds > contact.reached_seconds:
            return False
        return now_seconds - contact.reached_seconds <= MAX_CONTACT_AGE_SECONDS

    def _is_failing(self, name: str, now_seconds: float) -> bool:
        contact = self._contacts.get(name)
        if contact is None or contact.failed_seconds < contact.reached_seconds:
            return False
        return now_seconds - contact.failed_seconds <= MAX_CONTACT_AGE_SECONDS

    def _is_ready(self, name: str, now_seconds: float) -> bool:
        contact = self._contacts.get(name)
        return contact is None or now_seconds >= contact.hold_off_until_seconds

    def _is_unknown(self, name: str, now_seconds: float) -> bool:
        contact = self._contacts.get(name)
        if contact is None:
            return True
        news_seconds = max(contact.reached_seconds, contact.failed_seconds)
        return now_seconds - news_seconds > MAX_CONTACT_AGE_SECONDS

    def _find(self, name: str) -> PeerContact:
        contact = self._contacts.get(name)
        if contact is None:
            if len(self._contacts) >= MAX_KNOWN_ROUTERS:
                oldest = min(self._contacts, key=lambda key: self._contacts[key].latest_seconds)
                del self._contacts[oldest]
            contact = self._contacts[name] = PeerContact()
        return contact
