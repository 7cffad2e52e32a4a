"""What this process observes of one backend server."""

import dataclasses

from .engine_port import LoadReport

SMOOTHING = 0.2
START_LIMIT = 8.0
MINIMUM_LIMIT = 1.0
LIMIT_STEP = 1.0
LIMIT_CUT = 0.85
SLOW_FACTOR = 4.0
USED_SHARE = 0.8
BEST_FORGETTING = 1.001
START_FIRST_TOKEN_SECONDS = 0.2
MINIMUM_SAMPLES = 8


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerState:
    """Live figures of one server, as seen from this process.

    Attributes:
        name: Name in the configuration.
        url: Base URL.
        in_flight: Runs of this process at the server.
        report: Newest load report; None before the first.
        reported_at_seconds: Monotonic time of the report.
        sent_since_report: Runs that this process started since the report.
        first_token_seconds: Smoothed time to the first event.
        best_first_token_seconds: Smallest smoothed time seen, slowly forgotten.
        run_seconds: Smoothed time of a whole run; 0 before the first.
        next_adjustment_seconds: The limit stays as it is until this monotonic time.
        limit: Most runs that this process keeps in flight there.
        samples: Number of first-token times taken in.
        failures: Failed attempts since the last success.
        blocked_until_seconds: No new work before this monotonic time.
    """

    name: str
    url: str
    in_flight: int = 0
    report: LoadReport | None = None
    reported_at_seconds: float = float("-inf")
    sent_since_report: int = 0
    first_token_seconds: float = START_FIRST_TOKEN_SECONDS
    best_first_token_seconds: float = START_FIRST_TOKEN_SECONDS
    run_seconds: float = 0.0
    next_adjustment_seconds: float = float("-inf")
    concurrency_limit: float = START_LIMIT
    samples: int = 0
    failures: int = 0
    blocked_until_seconds: float = float("-inf")

    @property
    def outstanding(self) -> int:
        """Estimated requests at the server: its lagging report and what was sent since."""
        reported = 0
        if self.report is not None:
            reported = self.report.running + self.report.waiting + self.sent_since_report
        return max(self.in_flight, reported)

    @property
    def capacity(self) -> int:
        """Requests that the server can run at once."""
        return max(1, self.report.capacity) if self.report is not None else 1

    @property
    def has_room(self) -> bool:
        """Whether this process may start another run there."""
        return self.in_flight < self.concurrency_limit

    def take_report(self, report: LoadReport, now_seconds: float) -> None:
        """Takes in a load report at the given monotonic time."""
        self.report = report
        self.reported_at_seconds = now_seconds
        self.sent_since_report = 0

    def start_run(self) -> None:
        """Counts a run that is sent to the server."""
        self.in_flight += 1
        self.sent_since_report += 1

    def finish_run(self) -> None:
        """Counts the end of a run."""
        self.in_flight -= 1
        if self.sent_since_report > self.in_flight:
            self.sent_since_report = self.in_flight

    def record_first_token(self, seconds: float, now_seconds: float) -> None:
        """Adapts speed and concurrency limit to the time that a first event took.

        Once in each such time, the limit grows by a step while it is used and latency stays
        near the best seen, and is cut when latency is far above it, which means that requests
        wait inside the server.

        Args:
            seconds: Time from sending the request to its first event.
            now_seconds: Monotonic time.
        """
        self.failures = 0
        self.samples += 1
        weight = max(SMOOTHING, 1.0 / self.samples)
        self.first_token_seconds += weight * (seconds - self.first_token_seconds)
        forgotten = self.best_first_token_seconds * BEST_FORGETTING
        self.best_first_token_seconds = min(forgotten, self.first_token_seconds)
        if self.samples < MINIMUM_SAMPLES or now_seconds < self.next_adjustment_seconds:
            return
        self.next_adjustment_seconds = now_seconds + self.first_token_seconds
        if self.first_token_seconds > SLOW_FACTOR * self.best_first_token_seconds:
            self.concurrency_limit = max(MINIMUM_LIMIT, self.concurrency_limit * LIMIT_CUT)
        elif self.in_flight >= USED_SHARE * self.concurrency_limit:
            self.concurrency_limit += LIMIT_STEP

    def record_run(self, seconds: float) -> None:
        """Takes in how long a whole run took."""
        if self.run_seconds == 0.0:
            self.run_seconds = seconds
        self.run_seconds += SMOOTHING * (seconds - self.run_seconds)

    def record_failure(self, now_seconds: float) -> None:
        """Keeps new work away for a while that doubles with each failure in a row."""
        self.failures += 1
        pause_seconds = min(10.0, 0.25 * 2.0 ** min(self.failures, 6))
        self.blocked_until_seconds = now_seconds + pause_seconds
        self.concurrency_limit = max(MINIMUM_LIMIT, self.concurrency_limit * LIMIT_CUT)
