"""Observed state of one backend server, and its adaptive concurrency limit."""

import dataclasses

from .engine_port import LoadReport

SMOOTHING_FACTOR = 0.2
INITIAL_CONCURRENCY_LIMIT = 8.0
MIN_CONCURRENCY_LIMIT = 1.0
CONCURRENCY_LIMIT_STEP = 1.0
CONCURRENCY_LIMIT_DECREASE_FACTOR = 0.85
CONGESTED_LATENCY_RATIO = 4.0
USED_LIMIT_SHARE = 0.8
BEST_LATENCY_GROWTH_FACTOR = 1.001
INITIAL_FIRST_TOKEN_SECONDS = 0.2
MIN_LATENCY_SAMPLES = 8


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerState:
    """State of one server as observed by this process.

    Attributes:
        name: Name in the configuration.
        url: Base URL.
        in_flight: Runs that this process has in flight at the server.
        report: Latest load report; None before the first.
        reported_at_seconds: Monotonic time of the latest report.
        sent_since_report: Runs that this process started since the latest report.
        first_token_seconds: Exponential moving average of the time to first token.
        best_first_token_seconds: Lowest such average; raised slightly with each sample, so that
            old values are forgotten.
        run_seconds: Exponential moving average of the run duration; 0 before the first.
        next_adjustment_seconds: Monotonic time before which the limit is not adjusted.
        concurrency_limit: Maximum runs of this process in flight at the server.
        first_token_samples: Number of recorded times to first token.
        consecutive_failures: Failed attempts since the last success.
        blocked_until_seconds: Monotonic time before which the server gets no new runs.
    """

    name: str
    url: str
    in_flight: int = 0
    report: LoadReport | None = None
    reported_at_seconds: float = float("-inf")
    sent_since_report: int = 0
    first_token_seconds: float = INITIAL_FIRST_TOKEN_SECONDS
    best_first_token_seconds: float = INITIAL_FIRST_TOKEN_SECONDS
    run_seconds: float = 0.0
    next_adjustment_seconds: float = float("-inf")
    concurrency_limit: float = INITIAL_CONCURRENCY_LIMIT
    first_token_samples: int = 0
    consecutive_failures: int = 0
    blocked_until_seconds: float = float("-inf")

    @property
    def outstanding(self) -> int:
        """Estimated requests at the server: its last report plus the runs sent since."""
        reported = 0
        if self.report is not None:
            reported = self.report.running + self.report.waiting + self.sent_since_report
        return max(self.in_flight, reported)

    @property
    def capacity(self) -> int:
        """Number of requests that the server can run concurrently."""
        return max(1, self.report.capacity) if self.report is not None else 1

    @property
    def is_below_limit(self) -> bool:
        """Whether this process may start another run at the server."""
        return self.in_flight < self.concurrency_limit

    def record_report(self, report: LoadReport, now_seconds: float) -> None:
        """Records a load report received at a monotonic time."""
        self.report = report
        self.reported_at_seconds = now_seconds
        self.sent_since_report = 0

    def start_run(self) -> None:
        """Counts a run as in flight."""
        self.in_flight += 1
        self.sent_since_report += 1

    def finish_run(self) -> None:
        """Removes a run from the in-flight count."""
        self.in_flight -= 1
        if self.sent_since_report > self.in_flight:
            self.sent_since_report = self.in_flight

    def record_first_token(self, seconds: float, now_seconds: float) -> None:
        """Records a time to first token and adjusts the concurrency limit (AIMD).

        At most once per time to first token, the limit is increased by a step if most of it is
        used and latency is near the best observed. It is decreased by a factor if latency is far
        above the best, which indicates that requests queue inside the server.

        Args:
            seconds: Time from sending the request to its first event.
            now_seconds: Current monotonic time.
        """
        self.consecutive_failures = 0
        self.first_token_samples += 1
        weight = max(SMOOTHING_FACTOR, 1.0 / self.first_token_samples)
        self.first_token_seconds += weight * (seconds - self.first_token_seconds)
        raised_best_seconds = self.best_first_token_seconds * BEST_LATENCY_GROWTH_FACTOR
        self.best_first_token_seconds = min(raised_best_seconds, self.first_token_seconds)
        if (
            self.first_token_samples < MIN_LATENCY_SAMPLES
            or now_seconds < self.next_adjustment_seconds
        ):
            return
        self.next_adjustment_seconds = now_seconds + self.first_token_seconds
        if self.first_token_seconds > CONGESTED_LATENCY_RATIO * self.best_first_token_seconds:
            self.concurrency_limit = max(
                MIN_CONCURRENCY_LIMIT, self.concurrency_limit * CONCURRENCY_LIMIT_DECREASE_FACTOR
            )
        elif self.in_flight >= USED_LIMIT_SHARE * self.concurrency_limit:
            self.concurrency_limit += CONCURRENCY_LIMIT_STEP

    def record_run(self, seconds: float) -> None:
        """Records the duration of a run."""
        if self.run_seconds == 0.0:
            self.run_seconds = seconds
        self.run_seconds += SMOOTHING_FACTOR * (seconds - self.run_seconds)

    def record_failure(self, now_seconds: float) -> None:
        """Blocks the server and decreases its concurrency limit.

        The backoff doubles with each consecutive failure, up to a maximum.
        """
        self.consecutive_failures += 1
        backoff_seconds = min(10.0, 0.25 * 2.0 ** min(self.consecutive_failures, 6))
        self.blocked_until_seconds = now_seconds + backoff_seconds
        self.concurrency_limit = max(
            MIN_CONCURRENCY_LIMIT, self.concurrency_limit * CONCURRENCY_LIMIT_DECREASE_FACTOR
        )
