"""Decides whether this router is cut off from all servers.

The decision follows from outcomes of new connections and from other routers' reports. The code
runs without a network.
"""

import dataclasses
import enum

from .peer_contacts import PeerContacts

FAILURE_WINDOW_SECONDS = 2.0
"""Age up to which a failed connection counts. A cut must be answered from 2 s after its start."""
MIN_FAILED_SERVERS = 2
"""Servers to which new connections must have failed; a single one is more likely down itself."""
MAX_FAILURES = 64
"""Limit of the failed connections that are remembered, one for each server."""


class Contact(enum.Enum):
    """What this router believes about its connections to servers.

    Attributes:
        REACHED: New connections succeed, or nothing speaks against it.
        CUT_OFF: They fail here, while another router reaches servers.
        ALL_FAIL: They fail here, and no other router is known to reach servers.
    """

    REACHED = "reached"
    CUT_OFF = "cut_off"
    ALL_FAIL = "all_fail"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """The latest failure of a new connection to one server, in monotonic seconds."""

    started_seconds: float
    noted_seconds: float


class ContactEvidence:
    """Outcomes of this router's new connections.

    Only the start of a call that was answered counts as the time of a success. Answers on
    connections that were opened earlier say nothing about new ones.
    """

    __slots__ = ("_failures", "_reached_seconds")

    def __init__(self):
        """Creates evidence without outcomes."""
        self._failures: dict[str, Failure] = {}
        self._reached_seconds = float("-inf")

    @property
    def reached_seconds(self) -> float:
        """Start of the latest call that was answered, in monotonic seconds."""
        return self._reached_seconds

    def record_reached(self, started_seconds: float) -> None:
        """Records that a server answered on a connection that was opened after a time."""
        if started_seconds <= self._reached_seconds:
            return
        self._reached_seconds = started_seconds
        self._failures = {
            name: failure
            for name, failure in self._failures.items()
            if failure.started_seconds > started_seconds
        }

    def record_failure(self, server_id: str, started_seconds: float, now_seconds: float) -> None:
        """Records a connection that failed or brought no answer; an older one does not count."""
        if started_seconds <= self._reached_seconds:
            return
        self._failures.pop(server_id, None)
        self._failures[server_id] = Failure(
            started_seconds=started_seconds, noted_seconds=now_seconds
        )
        while len(self._failures) > MAX_FAILURES:
            del self._failures[next(iter(self._failures))]

    @property
    def failed_count(self) -> int:
        """Number of servers to which the newest connection failed, while none succeeded since."""
        return len(self._failures)

    def has_failed_at(self, server_id: str) -> bool:
        """Whether the newest connection to a server failed and none to another has succeeded."""
        return server_id in self._failures

    def find_first_failure(self, now_seconds: float) -> float:
        """Returns the start of the oldest failed call that counts, or the current time."""
        oldest_seconds = now_seconds - FAILURE_WINDOW_SECONDS
        counted = [f for f in self._failures.values() if f.noted_seconds >= oldest_seconds]
        return min((failure.started_seconds for failure in counted), default=now_seconds)

    def has_lost_contact(self, now_seconds: float, usable_count: int) -> bool:
        """Whether new connections to several servers failed lately and none succeeded since.

        Args:
            now_seconds: Monotonic time.
            usable_count: Servers that may get requests. If there is one, its failure suffices.
        """
        oldest_seconds = now_seconds - FAILURE_WINDOW_SECONDS
        count = sum(f.noted_seconds >= oldest_seconds for f in self._failures.values())
        return count >= max(1, min(MIN_FAILED_SERVERS, usable_count))


class ContactJudge:
    """Decides what this router believes about its connections to servers.

    The load answered: all new connections of some routers fail at a moment, with others that still
    reach the servers; or the servers are down for all, where relaying would only add load.
    """

    __slots__ = ("_contact", "_evidence", "_first_failure_seconds", "_lost_seconds", "_peers")

    def __init__(self, *, evidence: ContactEvidence, peers: PeerContacts):
        """Creates a judge that believes that servers are reached.

        Args:
            evidence: Outcomes of this router's connections.
            peers: What other routers say of theirs.
        """
        self._evidence = evidence
        self._peers = peers
        self._contact = Contact.REACHED
        self._first_failure_seconds = float("-inf")
        self._lost_seconds = float("-inf")

    @property
    def contact(self) -> Contact:
        """What was decided last."""
        return self._contact

    @property
    def first_failure_seconds(self) -> float:
        """Start of the first of the failures by which contact was lost last."""
        return self._first_failure_seconds

    def has_proof_of_peer(self, now_seconds: float, live: list[str]) -> bool:
        """Whether another router has reached servers since the failures here began.

        Older news may be from before the servers went down for all.
        """
        since_seconds = self._first_failure_seconds
        if self._contact is Contact.REACHED:
            since_seconds = self._evidence.find_first_failure(now_seconds)
        return self._peers.has_reaching(now_seconds, live, since_seconds=since_seconds)

    def judge(self, now_seconds: float, usable_count: int, live: list[str]) -> Contact:
        """Decides again.

        Contact that was lost is there again only when a call that was started afterwards is
        answered. The lack of failures is no evidence while requests are relayed.

        Args:
            now_seconds: Monotonic time.
            usable_count: Servers that may get requests.
            live: The other live routers.
        """
        if self._contact is Contact.REACHED:
            if not self._evidence.has_lost_contact(now_seconds, usable_count):
                return self._contact
            self._lost_seconds = now_seconds
            self._first_failure_seconds = self._evidence.find_first_failure(now_seconds)
            self._contact = Contact.ALL_FAIL
        elif self._evidence.reached_seconds >= self._lost_seconds:
            self._contact = Contact.REACHED
            return self._contact
        has_proof = self.has_proof_of_peer(now_seconds, live)
        self._contact = Contact.CUT_OFF if has_proof else Contact.ALL_FAIL
        return self._contact
