"""Learns from one request at one server: time to the first event, pauses, load and rejections."""

from laburnumpier_core.clock import Clock

from ..forward.servers import ServerLoad
from ..ports.dialect import PromptPart, ResponseHead
from .server_estimate import MAX_SPEED_RATIO, PendingSend, ServerEstimate
from .service_speed import ServiceSpeed

PERCENT = 100.0


class SendObservation:
    """A request at a server, from its sending to its end; see `SendObserver`."""

    __slots__ = (
        "_clock",
        "_estimate",
        "_expects_slot",
        "_has_failed",
        "_is_closed",
        "_last_event_seconds",
        "_load",
        "_pending",
        "_prompt_parts",
        "_reason",
        "_server",
        "_service",
        "_urgency",
        "_work_factor",
    )

    def __init__(
        self,
        *,
        server: ServerLoad,
        estimate: ServerEstimate,
        service: ServiceSpeed,
        pending: PendingSend,
        load: float,
        prompt_parts: tuple[PromptPart, ...],
        urgency: int,
        reason: str,
        clock: Clock,
    ):
        """Creates the observation of a request that is sent now.

        Args:
            server: Present load of the server, with this request.
            estimate: What is known of the server.
            service: What is known of its service.
            pending: Expectations of the request.
            load: Other requests that were expected at the server.
            prompt_parts: Parts of the prompt, which the server holds once it has read them.
            urgency: From 0, the most urgent, to 9.
            reason: Why the server was chosen, in short.
            clock: Source of time.
        """
        self._server = server
        self._estimate = estimate
        self._service = service
        self._pending = pending
        self._load = load
        self._prompt_parts = prompt_parts
        self._urgency = urgency
        self._reason = reason
        self._clock = clock
        self._expects_slot = load < max(1, server.entry.slots)
        self._work_factor = 1.0
        self._last_event_seconds = float("-inf")
        self._has_failed = False
        self._is_closed = False
        estimate.record_sent(pending)
        estimate.stream_counts[urgency] = estimate.stream_counts.get(urgency, 0) + 1

    @property
    def reason(self) -> str:
        """Why the server was chosen, in short."""
        return self._reason

    def record_head(self, head: ResponseHead) -> None:
        """Takes over how long work takes by the server's own word."""
        if head.work_percent is None:
            return
        now = self._clock.monotonic_seconds()
        self._estimate.record_work(head.work_percent / PERCENT, now)
        self._work_factor = self._estimate.estimate_work(now)

    def record_progress(self) -> None:
        """Learns from the time to the first event, or since the last one."""
        now = self._clock.monotonic_seconds()
        if self._last_event_seconds == float("-inf"):
            self._learn_first_event(now)
        else:
            pause_seconds = now - self._last_event_seconds
            self._estimate.record_pause(pause_seconds, now)
            self._service.pause_seconds.add(pause_seconds)
        self._last_event_seconds = now

    def record_failure(self) -> None:
        """Records a failure as an answer that took as long as any counts.

        A server that rejects requests or fails with them at once may not look fast.
        """
        if self._last_event_seconds != float("-inf"):
            return
        self._has_failed = True
        self._estimate.record_ratio(MAX_SPEED_RATIO, self._clock.monotonic_seconds())

    def close(self) -> None:
        """Ends the observation; a request that got no event is as slow as it has waited."""
        if self._is_closed:
            return
        self._is_closed = True
        now = self._clock.monotonic_seconds()
        has_event = self._last_event_seconds != float("-inf")
        waited_seconds = now - self._pending.sent_seconds
        if has_event:
            self._service.run_seconds.add(waited_seconds)
        elif self._is_late_without_event(waited_seconds):
            self._estimate.record_ratio(waited_seconds / self._pending.usual_seconds, now)
        self._estimate.record_answered(self._pending)
        self._estimate.stream_counts[self._urgency] -= 1

    def _is_late_without_event(self, waited_seconds: float) -> bool:
        is_late = waited_seconds > self._pending.usual_seconds
        return not self._has_failed and self._pending.is_measured and is_late

    def _learn_first_event(self, now_seconds: float) -> None:
        self._estimate.record_answered(self._pending)
        self._estimate.held.record_prompt(self._prompt_parts, now_seconds)
        # A request that waited for a slot says how long others run, not how fast the server is.
        if not self._expects_slot:
            return
        seconds = (now_seconds - self._pending.sent_seconds) / self._work_factor
        model = self._service.first_event
        if self._pending.is_measured:
            self._estimate.record_ratio(seconds / self._pending.usual_seconds, now_seconds)
        model.learn(self._pending.ahead_tokens, self._load, seconds)
