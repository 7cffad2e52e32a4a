"""What this router observed of one server: its speed, its load, its cache, and what it owes."""

import collections
import statistics

from ..forward.servers import ServerLoad
from .held_parts import HeldParts
from .service_speed import ServiceSpeed, SmoothedValue

REPORT_MAX_AGE_SECONDS = 1.0
"""Age at which a report of a server's load has no weight any more; the mean of the service is used
instead. A crowd of requests comes and goes within a second."""
WORK_MAX_AGE_SECONDS = 0.5
"""Age at which the reported work percentage has no weight any more; it changes many times a
second."""
MIN_WORK_FACTOR = 0.25
MAX_WORK_FACTOR = 8.0
"""Bounds of the reported work factor, so that one wrong figure attracts or repels no more than
this. What the server says wrongly all the time is part of its learnt speed."""
SPEED_WEIGHT = 0.03
"""Weight of the latest answer in the learnt speed of a server. At 0.1 the waits behind other
routers' requests became part of it, and prompts were read at more servers."""
MAX_SPEED_RATIO = 4.0
"""Bound of one answer's time as a multiple of the expected one, and of its inverse."""
SLOW_FACTOR = 3.0
"""Slowness, against the server's own usual speed, from which its latest answers replace that."""
SLOW_PAUSE_FACTOR = 3.0
"""Pauses between events, against those of the service, from which a server counts as slow. A
server with all slots in use has longer pauses than an idle one."""
RECENT_ANSWERS = 5
"""Latest answers whose median decides whether a server is slow; two outliers do not."""
RECENT_SECONDS = 10.0
"""Time after which an answer no longer says whether the server is slow."""
OVERDUE_FACTOR = 3.0
"""Waiting time, as a multiple of the expected one, from which a request without an answer counts
like an answer that took as long."""
RETRY_SECONDS = 2.0
"""Time without an answer after which a slow server is tried again, with one request."""
SPEED_FORGOTTEN_SECONDS = 10.0
"""Time without an answer in which the learnt speed moves to the usual one by half."""
PAUSE_WEIGHT = 0.2
"""Weight of the latest pause of a server; its streams have many pauses a second."""
SHARE_WEIGHT = 0.1
"""Weight of the latest report in this router's share of a server's requests."""


class PendingSend:
    """A request that was sent and has no event yet.

    Attributes:
        sent_seconds: Monotonic time of sending.
        usual_seconds: Time to the first event expected of a server of usual speed.
        tokens: Tokens that the server has to read for it.
        is_measured: Whether that is a learnt time, and not a first guess.
        ahead_tokens: Tokens that it has to read before the first event, also for earlier requests.
    """

    __slots__ = ("ahead_tokens", "is_measured", "sent_seconds", "tokens", "usual_seconds")

    def __init__(
        self,
        *,
        sent_seconds: float,
        usual_seconds: float,
        is_measured: bool,
        tokens: int,
        ahead_tokens: int,
    ):
        """Creates the record of a request that is sent now."""
        self.sent_seconds = sent_seconds
        self.usual_seconds = usual_seconds
        self.is_measured = is_measured
        self.tokens = tokens
        self.ahead_tokens = ahead_tokens


class ServerEstimate:
    """Observations of one server process.

    Attributes:
        started_ms: Start of the process; another start has another cache and speed.
        held: Model of its prefix cache.
        pending: Requests without an event, in the order of sending.
        pending_tokens: Tokens that it has to read for them.
        stream_counts: Streams of this router in progress there, by urgency.
        own_share: This router's share of the requests there.
        is_slow: Whether it was slow at the last answer.
    """

    __slots__ = (
        "_answered_seconds",
        "_others_load",
        "_pause",
        "_paused_seconds",
        "_recent",
        "_reported_seconds",
        "_speed",
        "_work_factor",
        "_work_seconds",
        "held",
        "is_slow",
        "own_share",
        "pending",
        "pending_tokens",
        "started_ms",
        "stream_counts",
    )

    def __init__(self, *, started_ms: int):
        """Creates the estimate of a server process that nothing is known of."""
        self.started_ms = started_ms
        self.held = HeldParts()
        self.pending: dict[PendingSend, None] = {}
        self.pending_tokens = 0
        self.stream_counts: dict[int, int] = {}
        self.own_share = SmoothedValue(weight=SHARE_WEIGHT)
        self.is_slow = False
        self._recent: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=RECENT_ANSWERS
        )
        self._speed = 1.0
        self._answered_seconds = float("-inf")
        self._others_load = 0.0
        self._reported_seconds = float("-inf")
        self._work_factor = 1.0
        self._work_seconds = float("-inf")
        self._pause = SmoothedValue(weight=PAUSE_WEIGHT)
        self._paused_seconds = float("-inf")

    @property
    def reported_seconds(self) -> float:
        """Monotonic time of the report of the load that was taken over last."""
        return self._reported_seconds

    def record_sent(self, pending: PendingSend) -> None:
        """Adds a request that is sent now."""
        self.pending[pending] = None
        self.pending_tokens += pending.tokens

    def record_answered(self, pending: PendingSend) -> None:
        """Removes a request that has an event or has ended."""
        if pending in self.pending:
            del self.pending[pending]
            self.pending_tokens -= pending.tokens

    def record_ratio(self, ratio: float, now_seconds: float) -> None:
        """Records how long an answer took, against the time expected at the usual speed."""
        bounded = min(MAX_SPEED_RATIO, max(1.0 / MAX_SPEED_RATIO, ratio / self._speed))
        self._speed *= bounded**SPEED_WEIGHT
        self._recent.append((now_seconds, ratio))
        self._answered_seconds = now_seconds

    def take_report(self, server: ServerLoad, service: ServiceSpeed) -> None:
        """Takes over a new report of the server's load, less the requests of this router.

        It is taken over before the next request is sent there, so all requests sent since then
        count on top of it.
        """
        self._reported_seconds = server.reported_seconds
        own = server.in_flight
        total = max(own, server.running + server.waiting)
        self._others_load = total - own
        service.others_load.add(total - own)
        if own:
            self.own_share.add(own / total)

    def record_work(self, work_factor: float, now_seconds: float) -> None:
        """Records how long work takes by the server's own word, 1 as usual."""
        self._work_factor = min(MAX_WORK_FACTOR, max(MIN_WORK_FACTOR, work_factor))
        self._work_seconds = now_seconds

    def record_pause(self, seconds: float, now_seconds: float) -> None:
        """Records the time between two events of a stream."""
        self._pause.add(seconds)
        self._paused_seconds = now_seconds

    def estimate_others(self, mean_load: float, now_seconds: float) -> float:
        """Returns the expected requests of other routers at the server.

        The report loses weight with its age and gives way to the mean of the service.

        Args:
            mean_load: Mean requests of other routers at a server of the service.
            now_seconds: Present monotonic time.
        """
        weight = 1.0 - (now_seconds - self._reported_seconds) / REPORT_MAX_AGE_SECONDS
        if weight <= 0.0:
            return mean_load
        return weight * self._others_load + (1.0 - weight) * mean_load

    def estimate_work(self, now_seconds: float) -> float:
        """Returns how long work takes at the server by its own word, 1 as usual."""
        weight = 1.0 - (now_seconds - self._work_seconds) / WORK_MAX_AGE_SECONDS
        return 1.0 if weight <= 0.0 else 1.0 + weight * (self._work_factor - 1.0)

    def estimate_pause(self, usual_seconds: float, now_seconds: float) -> float:
        """Returns the expected time between two events of a stream, in seconds.

        Args:
            usual_seconds: That time at the servers of the service; 0 if unknown.
            now_seconds: Present monotonic time.
        """
        if now_seconds - self._paused_seconds > REPORT_MAX_AGE_SECONDS:
            return usual_seconds
        return self._pause.value

    def estimate_slowness(self, usual_pause_seconds: float, now_seconds: float) -> float:
        """Returns the time that work takes, as a multiple of what is usual in the service.

        Answers the load of a server that slows down: its latest answers, requests that wait for
        one too long and long pauses count at once. It is tried again with one request after a
        while, as the speed without answers moves back to the usual one.

        Args:
            usual_pause_seconds: Time between events at the servers of the service; 0 if unknown.
            now_seconds: Present monotonic time.
        """
        slowness = self._speed
        silent_seconds = now_seconds - self._answered_seconds
        if not self.pending:
            if silent_seconds > RETRY_SECONDS:
                forgotten = silent_seconds / SPEED_FORGOTTEN_SECONDS
                return slowness ** (0.5**forgotten) if slowness != 1.0 else 1.0
        elif self._is_overdue(next(iter(self.pending)), now_seconds):
            return self._find_recent_slowness(now_seconds)
        if self._recent and self._recent[-1][1] > SLOW_FACTOR * slowness:
            slowness = self._find_recent_slowness(now_seconds)
        if usual_pause_seconds and now_seconds - self._paused_seconds <= REPORT_MAX_AGE_SECONDS:
            pause_slowness = self._pause.value / usual_pause_seconds
            if pause_slowness > SLOW_PAUSE_FACTOR:
                return max(slowness, pause_slowness)
        return slowness

    def _is_overdue(self, pending: PendingSend, now_seconds: float) -> bool:
        if not pending.is_measured:
            return False
        waited_seconds = now_seconds - pending.sent_seconds
        return waited_seconds > OVERDUE_FACTOR * self._speed * pending.usual_seconds

    def _find_recent_slowness(self, now_seconds: float) -> float:
        """Returns the median of the latest answers if it is slow, else the learnt speed."""
        oldest_seconds = now_seconds - RECENT_SECONDS
        ratios = [ratio for at_seconds, ratio in self._recent if at_seconds >= oldest_seconds]
        ratios += [
            (now_seconds - pending.sent_seconds) / pending.usual_seconds
            for pending in self.pending
            if self._is_overdue(pending, now_seconds)
        ]
        ratios = ratios[-RECENT_ANSWERS:]
        if len(ratios) < RECENT_ANSWERS:
            ratios.append(self._speed)
        median = statistics.median_low(ratios)
        return median if median > SLOW_FACTOR * self._speed else self._speed
