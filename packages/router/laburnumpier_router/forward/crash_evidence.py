"""Decides which requests and which parts of prompts crash servers. Needs no network.

Pattern: one request that comes again, or requests with one part in common, crash every server that
begins to answer them, while nearly all other requests share their remaining parts, and servers
crash for other reasons as well.

- *Suspects.* A crash is evidence against each request that had not begun there, by its
  fingerprint, and against each shared part of its prompt. The last part of a prompt is the
  request's own and is never looked at. Both kinds are called parts below.
- *Clearing.* An answer that begins is proof that all parts of its prompt are sound, so crashes
  before it no longer count. Parts that many requests share are cleared within moments.
- *Blocking.* A part with which no answer has ever begun is blocked at its second crash, if this
  router has seen enough answers to know that. All others are blocked at their third crash.
- *Trial.* A blocked part may be sound again, or blocked by chance. One request is let through from
  time to time, more rarely after each further crash. Any answer that begins ends the block.
- *Requests.* A request that was lost beside the one that crashed its server is tried again soon
  after its second crash. After its third crash it is let through only a few times a day.
- *Common parts.* If servers crash on whatever they get, all parts are blocked, and the service
  would stand still until the next trial. Parts of a third of all requests are tried often.
"""

import collections
import dataclasses
import itertools
import math
from collections.abc import Iterable, Sequence

from .request_fingerprint import is_request_fingerprint

CRASHES_OF_NEW_PART = 2
"""Crashes that block a part with which no answer is known to have begun."""
CRASHES_OF_KNOWN_PART = 3
"""Crashes that block a part with which answers have begun before."""
ANSWERS_TO_KNOW = 30
"""Answers from which on any other request counts as never answered; for parts, answers to prompts
with shared parts."""
FIRST_TRIAL_OF_NEW_PART_SECONDS = 10.0
FIRST_TRIAL_OF_KNOWN_PART_SECONDS = 1.0
TRIAL_FACTOR = 4.0
"""Factor of the time to the next trial after each crash."""
MAX_TRIAL_SECONDS = 600.0
CRASHES_OF_CERTAIN_REQUEST = 3
"""Crashes after which a request is hardly one that was only lost beside another one."""
FIRST_TRIAL_OF_REQUEST_SECONDS = 1.0
TRIALS_OF_CERTAIN_REQUEST_SECONDS = (30.0, 300.0, 3_000.0)
"""Time from the last crash to each of the trials after that."""
LAST_TRIAL_OF_REQUEST_SECONDS = 24 * 3_600.0
TRIAL_GAP_SECONDS = 3.0
"""Time after the last crash from which on a crash is the result of a trial. Others are of requests
that were at their servers when the block came."""
COMMON_SHARE = 1 / 3
"""Share of the requests with shared parts from which on a part counts as common."""
MAX_TRIAL_OF_COMMON_PART_SECONDS = 4.0
TRIAL_RESULT_SECONDS = 5.0
"""Time within which a trial mostly shows whether it begins; no other one is let through in it."""
SAME_CRASH_SECONDS = 1.0
"""Reports about one server within this time tell of the same crash."""
EVIDENCE_SECONDS = 900.0
"""Time after which a crash no longer counts against a part that is not blocked."""
SHARE_SECONDS = 30.0
MIN_REQUESTS_OF_SHARE = 20
MAX_COUNTED_PARTS = 8192
MAX_CRASHES_PER_PART = 16
MAX_BEGUN_PARTS = 8192
MAX_SUSPECTED_PARTS = 2048

PartKey = tuple[str, str]
"""Service, and id of a part or fingerprint of a request, which may be sound at the servers of
another service."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crash:
    """A crash of a server; the server's id is empty where it is not known."""

    server_id: str
    seconds: float


@dataclasses.dataclass(slots=True, kw_only=True)
class SuspectedPart:
    """Evidence against a part.

    Attributes:
        is_request: Whether it is a whole request.
        crashes: Crashes since an answer with the part began, oldest first.
        is_blocked: Whether requests with the part are refused.
        is_certain: Whether it was blocked as a part with which no answer has ever begun.
        is_common: Whether many requests have it.
        trial_after_seconds: Time before which no request is let through, beyond what follows from
            the crashes.
    """

    is_request: bool = False
    crashes: list[Crash] = dataclasses.field(default_factory=list)
    is_blocked: bool = False
    is_certain: bool = False
    is_common: bool = False
    trial_after_seconds: float = -math.inf

    def add_crash(self, crash: Crash) -> None:
        """Adds a crash, unless it is known already; it is also the result of a trial."""
        if any(_is_same_crash(known, crash) for known in self.crashes):
            return
        if not self.is_blocked:
            oldest_seconds = crash.seconds - EVIDENCE_SECONDS
            self.crashes = [known for known in self.crashes if known.seconds > oldest_seconds]
        crashes = sorted([*self.crashes, crash], key=lambda known: known.seconds)
        self.crashes = crashes[-MAX_CRASHES_PER_PART:]
        self.trial_after_seconds = -math.inf

    @property
    def trial_interval_seconds(self) -> float:
        """Time from the last crash to the next trial."""
        if self.is_request:
            return self._get_trial_interval_of_request()
        first, limit = FIRST_TRIAL_OF_KNOWN_PART_SECONDS, CRASHES_OF_KNOWN_PART
        if self.is_certain:
            first, limit = FIRST_TRIAL_OF_NEW_PART_SECONDS, CRASHES_OF_NEW_PART
        most = MAX_TRIAL_OF_COMMON_PART_SECONDS if self.is_common else MAX_TRIAL_SECONDS
        further = max(0, len(self.crashes) - limit)
        return min(most, first * TRIAL_FACTOR**further)

    def _get_trial_interval_of_request(self) -> float:
        if len(self.crashes) < CRASHES_OF_CERTAIN_REQUEST:
            return FIRST_TRIAL_OF_REQUEST_SECONDS
        trials = sum(
            later.seconds - earlier.seconds > TRIAL_GAP_SECONDS
            for earlier, later in itertools.pairwise(self.crashes)
        )
        if trials >= len(TRIALS_OF_CERTAIN_REQUEST_SECONDS):
            return LAST_TRIAL_OF_REQUEST_SECONDS
        return TRIALS_OF_CERTAIN_REQUEST_SECONDS[trials]

    @property
    def trial_seconds(self) -> float:
        """Time from which a request is let through."""
        return max(
            self.crashes[-1].seconds + self.trial_interval_seconds, self.trial_after_seconds
        )


class PartShares:
    """Shares of the requests of each service that have a part, over the last interval or two."""

    __slots__ = ("_before", "_current", "_started_seconds")

    def __init__(self):
        """Creates it without a request."""
        self._before: collections.Counter[PartKey] = collections.Counter()
        self._current: collections.Counter[PartKey] = collections.Counter()
        self._started_seconds = -math.inf

    def record(self, service: str, parts: Iterable[str], seconds: float) -> None:
        """Records a request."""
        if seconds - self._started_seconds >= SHARE_SECONDS:
            self._before, self._current = self._current, collections.Counter()
            self._started_seconds = seconds
        # The empty part counts the requests themselves.
        for part in {"", *parts}:
            if (service, part) in self._current or len(self._current) < MAX_COUNTED_PARTS:
                self._current[service, part] += 1

    def get_share(self, service: str, part: str) -> float:
        """Returns the share of a part; 0 if there were hardly any requests."""
        requests = self._before[service, ""] + self._current[service, ""]
        if requests < MIN_REQUESTS_OF_SHARE:
            return 0.0
        return (self._before[service, part] + self._current[service, part]) / requests


class CrashEvidence:
    """What a router knows of crashes and of answers that began."""

    __slots__ = ("_answer_counts", "_begun", "_prompt_answer_counts", "_shares", "_suspected")

    def __init__(self):
        """Creates it without any evidence."""
        self._answer_counts: collections.Counter[str] = collections.Counter()
        self._prompt_answer_counts: collections.Counter[str] = collections.Counter()
        self._shares = PartShares()
        self._begun: collections.OrderedDict[PartKey, float] = collections.OrderedDict()
        self._suspected: collections.OrderedDict[PartKey, SuspectedPart] = (
            collections.OrderedDict()
        )

    def record_request(self, service: str, parts: Sequence[str], seconds: float) -> None:
        """Records a request with shared parts, whether it is refused or not."""
        if parts:
            self._shares.record(service, parts, seconds)

    def record_crash(
        self, service: str, server_id: str, parts: Iterable[str], seconds: float
    ) -> None:
        """Records a crash and the parts of requests that had not begun at the server.

        Args:
            service: Service of the server.
            server_id: The server; empty if it is not known.
            parts: Shared parts of these requests.
            seconds: Monotonic time of the crash.
        """
        for part in parts:
            self._add_crash((service, part), Crash(server_id=server_id, seconds=seconds))

    def record_answer(
        self, service: str, parts: Sequence[str], seconds: float, fingerprint: str = ""
    ) -> list[PartKey]:
        """Records an answer that began here; returns the parts that were blocked until now.

        Args:
            service: Service of the server.
            parts: Shared parts of the prompt.
            seconds: Monotonic time of the answer.
            fingerprint: Identifies the request; empty if it is not to be remembered.
        """
        self._answer_counts[service] += bool(fingerprint)
        self._prompt_answer_counts[service] += bool(parts)
        suspects = [*parts, fingerprint] if fingerprint else parts
        return self.record_begun(service, suspects, seconds)

    def record_begun(self, service: str, parts: Iterable[str], seconds: float) -> list[PartKey]:
        """Records that answers with parts began; returns those that were blocked until now."""
        unblocked = []
        for part in parts:
            key = (service, part)
            self._begun[key] = max(seconds, self._begun.get(key, -math.inf))
            self._begun.move_to_end(key)
            suspected = self._suspected.get(key)
            if suspected is not None and self._clear(key, suspected, seconds):
                unblocked.append(key)
        while len(self._begun) > MAX_BEGUN_PARTS:
            self._begun.popitem(last=False)
        return unblocked

    def get_begun_seconds(self, service: str, part: str) -> float:
        """Returns when an answer with a part last began; minus infinity if none is known."""
        return self._begun.get((service, part), -math.inf)

    def block_suspects(
        self, service: str, parts: Iterable[str], *, others_answered: bool
    ) -> list[PartKey]:
        """Blocks those parts that have enough crashes; returns the ones that were not blocked.

        Args:
            service: Service of the servers.
            parts: The parts to look at.
            others_answered: Whether most other routers have told what began there.
        """
        blocked = []
        for part in parts:
            key = (service, part)
            suspected = self._suspected.get(key)
            if suspected is None or suspected.is_blocked:
                continue
            counts = self._answer_counts if suspected.is_request else self._prompt_answer_counts
            knows_answers = others_answered and counts[service] >= ANSWERS_TO_KNOW
            is_common = self._shares.get_share(service, part) >= COMMON_SHARE
            is_certain = knows_answers and key not in self._begun and not is_common
            limit = CRASHES_OF_NEW_PART if is_certain else CRASHES_OF_KNOWN_PART
            if len(suspected.crashes) >= limit:
                suspected.is_blocked = True
                suspected.is_certain, suspected.is_common = is_certain, is_common
                blocked.append(key)
        return blocked

    def get_suspected(self, key: PartKey) -> SuspectedPart:
        """Returns the evidence against a part that crashes were recorded of."""
        return self._suspected[key]

    def adopt_block(
        self, key: PartKey, crash_seconds: Iterable[float], *, is_certain: bool, is_common: bool
    ) -> bool:
        """Takes over a block from another router, with the times of its crashes.

        Returns:
            Whether the part is blocked here only now. It is not if an answer began here later
            than the last of these crashes.
        """
        for seconds in sorted(crash_seconds):
            self._add_crash(key, Crash(server_id="", seconds=seconds))
        suspected = self._suspected.get(key)
        if suspected is None or suspected.is_blocked:
            return False
        suspected.is_blocked = True
        suspected.is_certain, suspected.is_common = is_certain, is_common
        return True

    def is_blocked(self, key: PartKey) -> bool:
        """Returns whether a part is blocked."""
        suspected = self._suspected.get(key)
        return suspected is not None and suspected.is_blocked

    def list_blocked(self, service: str, parts: Iterable[str]) -> list[PartKey]:
        """Returns those parts that are blocked."""
        if not self._suspected:
            return []
        return [(service, part) for part in parts if self.is_blocked((service, part))]

    def list_all_blocked(self) -> dict[PartKey, SuspectedPart]:
        """Returns all blocked parts with their evidence."""
        return {key: part for key, part in self._suspected.items() if part.is_blocked}

    def get_trial_seconds(self, keys: list[PartKey]) -> float:
        """Returns the time from which a request with these blocked parts is let through.

        A request with one blocked part shows more than one with several, and is let through first.
        """
        parts = [self._suspected[key] for key in keys]
        due_seconds = max(part.trial_seconds for part in parts)
        if len(parts) == 1:
            return due_seconds
        return due_seconds + max(part.trial_interval_seconds for part in parts)

    def try_grant_trial(self, keys: list[PartKey], now_seconds: float) -> bool:
        """Lets a request with blocked parts through if its time has come."""
        if now_seconds < self.get_trial_seconds(keys):
            return False
        self.postpone_trial(keys, now_seconds + TRIAL_RESULT_SECONDS)
        return True

    def postpone_trial(self, keys: list[PartKey], until_seconds: float) -> None:
        """Lets no request with blocked parts through before a time."""
        for key in keys:
            suspected = self._suspected[key]
            suspected.trial_after_seconds = max(suspected.trial_after_seconds, until_seconds)

    def _add_crash(self, key: PartKey, crash: Crash) -> None:
        begun_seconds = self._begun.get(key, -math.inf)
        if crash.seconds <= begun_seconds:
            return
        suspected = self._suspected.get(key)
        if suspected is None:
            suspected = self._suspected[key] = SuspectedPart(
                is_request=is_request_fingerprint(key[1])
            )
        self._suspected.move_to_end(key)
        suspected.add_crash(crash)
        while len(self._suspected) > MAX_SUSPECTED_PARTS:
            self._suspected.popitem(last=False)

    def _clear(self, key: PartKey, suspected: SuspectedPart, begun_seconds: float) -> bool:
        """Removes the crashes before an answer began; returns whether that ends a block."""
        suspected.crashes = [crash for crash in suspected.crashes if crash.seconds > begun_seconds]
        if suspected.crashes:
            return False
        del self._suspected[key]
        return suspected.is_blocked


def _is_same_crash(first: Crash, second: Crash) -> bool:
    is_same_server = first.server_id == second.server_id or not (
        first.server_id and second.server_id
    )
    return is_same_server and abs(first.seconds - second.seconds) < SAME_CRASH_SECONDS
