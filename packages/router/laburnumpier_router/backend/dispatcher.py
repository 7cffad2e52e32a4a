"""Dispatches requests to backend servers and queues them while all servers are full.

The queue is ordered by priority, then by the tokens that the workspace was recently served,
then by deadline. A request that cannot meet its deadline is refused at once, so that it does not
delay requests that still can. Retries consume a retry budget that first attempts replenish, so
that retries do not multiply the load on failing servers.
"""

import asyncio
import collections
import dataclasses
import random

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import RequestError
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import ResultCode

from .choice import ChoicePolicy, ExpectedWait, choose_server
from .directory import BackendDirectory
from .server_state import ServerState

RETRIES_PER_FIRST_ATTEMPT = 0.1
MAX_SAVED_RETRIES = 10.0
MAX_QUEUED_REQUESTS = 2000
QUEUE_CHECK_SECONDS = 0.05
SERVED_TOKENS_HALF_LIFE_SECONDS = 10.0
NO_SERVER_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkItem:
    """A request to be dispatched.

    Attributes:
        servers: Names of the candidate servers.
        model: Model that must be loaded; None for a plain service.
        prefix_hash: Hash of the start of the prompt; empty if there is none.
        cost_tokens: Maximum tokens of the request; fair queueing counts them for the workspace.
        deadline_seconds: Monotonic time by which the run must end.
        exclude: Servers on which the request failed before; used only if no other is eligible.
    """

    workspace: str
    servers: list[str]
    model: str | None
    prefix_hash: str
    priority: int
    cost_tokens: int
    deadline_seconds: float
    exclude: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, kw_only=True)
class _QueuedRequest:
    item: WorkItem
    server: asyncio.Future[ServerState]
    queued_at_seconds: float


class Dispatcher:
    """Assigns servers to requests; each `acquire` must be paired with a `release`."""

    __slots__ = (
        "_available_retries",
        "_clock",
        "_decayed_at_seconds",
        "_directory",
        "_metrics",
        "_policy",
        "_queue",
        "_queue_task",
        "_queued_models",
        "_random",
        "_served_tokens",
        "_start_times",
    )

    def __init__(
        self,
        *,
        directory: BackendDirectory,
        policy: ChoicePolicy,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
    ):
        """Creates a dispatcher with an empty queue."""
        self._directory = directory
        self._policy = policy
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._queue: list[_QueuedRequest] = []
        self._served_tokens: collections.Counter[str] = collections.Counter()
        self._decayed_at_seconds = 0.0
        self._available_retries = MAX_SAVED_RETRIES
        self._start_times: collections.deque[float] = collections.deque(maxlen=64)
        self._queued_models: set[str] = set()
        self._queue_task: asyncio.Task[None] | None = None

    @property
    def queued_count(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    async def acquire(self, item: WorkItem, *, is_retry: bool = False) -> ServerState:
        """Acquires a server for one run of a request, waiting if all are full.

        Args:
            item: Request to dispatch.
            is_retry: Whether an earlier run of the request failed.

        Returns:
            The server, whose in-flight count includes the run.

        Raises:
            RequestError: If no server can run it before the deadline or the retry budget is empty.
        """
        if is_retry:
            self._consume_retry()
        else:
            self._available_retries = min(
                MAX_SAVED_RETRIES, self._available_retries + RETRIES_PER_FIRST_ATTEMPT
            )
        if not self._queue:
            server = self._choose_server(item)
            if server is not None:
                return self._start_run(item, server)
        return await self._wait_in_queue(item)

    def take_queued_models(self) -> set[str]:
        """Returns the models with requests that had to queue since the last call."""
        models, self._queued_models = self._queued_models, set()
        return models

    def release(self, server: ServerState) -> None:
        """Releases a server at the end of a run and starts queued requests."""
        server.finish_run()
        self._start_queued_requests()

    def _consume_retry(self) -> None:
        if self._available_retries < 1.0:
            self._metrics.count("dispatch.retry_budget_empty")
            raise RequestError(ResultCode.SERVER_FAILED, retry_after_seconds=1.0)
        self._available_retries -= 1.0
        self._metrics.count("dispatch.retries")

    async def _wait_in_queue(self, item: WorkItem) -> ServerState:
        now_seconds = self._clock.monotonic_seconds()
        requests_ahead = sum(entry.item.priority >= item.priority for entry in self._queue)
        is_full = len(self._queue) >= MAX_QUEUED_REQUESTS
        if is_full or self._would_miss_deadline(item, now_seconds, requests_ahead):
            raise self._make_refusal(item)
        entry = _QueuedRequest(
            item=item,
            server=asyncio.get_running_loop().create_future(),
            queued_at_seconds=now_seconds,
        )
        self._queue.append(entry)
        if item.model is not None:
            self._queued_models.add(item.model)
        if self._queue_task is None or self._queue_task.done():
            self._queue_task = asyncio.create_task(self._process_queue_periodically())
        try:
            return await entry.server
        except asyncio.CancelledError:
            self._remove_from_queue(entry)
            raise

    def _remove_from_queue(self, entry: _QueuedRequest) -> None:
        """Removes a request whose caller was cancelled.

        Releases the server if one was assigned before the cancellation took effect.
        """
        if entry in self._queue:
            self._queue.remove(entry)
        if entry.server.done() and not entry.server.cancelled() and not entry.server.exception():
            self.release(entry.server.result())

    async def _process_queue_periodically(self) -> None:
        """Starts queued requests and sheds late or unservable ones until the queue is empty."""
        while self._queue:
            await asyncio.sleep(QUEUE_CHECK_SECONDS)
            self._start_queued_requests()
            now_seconds = self._clock.monotonic_seconds()
            for requests_ahead, entry in enumerate(list(self._queue)):
                is_late = self._would_miss_deadline(entry.item, now_seconds, requests_ahead)
                if is_late or self._has_no_server(entry, now_seconds):
                    self._queue.remove(entry)
                    if not entry.server.done():
                        entry.server.set_exception(self._make_refusal(entry.item))

    def _start_queued_requests(self) -> None:
        """Starts queued requests in queue order while servers have capacity."""
        if not self._queue:
            return
        self._decay_served_tokens()
        self._queue.sort(
            key=lambda entry: (
                -entry.item.priority,
                self._served_tokens[entry.item.workspace],
                entry.item.deadline_seconds,
            )
        )
        for entry in list(self._queue):
            server = self._choose_server(entry.item)
            if server is None:
                continue
            self._queue.remove(entry)
            if not entry.server.done():
                entry.server.set_result(self._start_run(entry.item, server))

    def _choose_server(self, item: WorkItem) -> ServerState | None:
        eligible = self._directory.list_eligible(item.servers, item.model)
        not_excluded = [server for server in eligible if server.name not in item.exclude]
        now_seconds = self._clock.monotonic_seconds()
        candidates = [
            server
            for server in (not_excluded or eligible)
            if self._has_capacity(server)
            and now_seconds + server.run_seconds <= item.deadline_seconds
        ]
        if not candidates:
            return None
        return choose_server(self._policy, candidates, item.prefix_hash, self._random)

    def _has_capacity(self, server: ServerState) -> bool:
        """Returns whether a server has capacity; the baseline policies ignore the limit."""
        return server.is_below_limit or not isinstance(self._policy, ExpectedWait)

    def _start_run(self, item: WorkItem, server: ServerState) -> ServerState:
        server.start_run()
        self._served_tokens[item.workspace] += item.cost_tokens
        self._start_times.append(self._clock.monotonic_seconds())
        return server

    def _would_miss_deadline(
        self, item: WorkItem, now_seconds: float, requests_ahead: int
    ) -> bool:
        """Returns whether the queue ahead and a run on the fastest server exceed the deadline."""
        eligible = self._directory.list_eligible(item.servers, item.model)
        run_seconds = min((server.run_seconds for server in eligible), default=0.0)
        available_seconds = item.deadline_seconds - now_seconds - run_seconds
        if available_seconds <= 0:
            return True
        if len(self._start_times) < self._start_times.maxlen:
            return False
        span_seconds = now_seconds - self._start_times[0]
        starts_per_second = len(self._start_times) / max(span_seconds, 1e-3)
        return requests_ahead / starts_per_second > available_seconds

    def _has_no_server(self, entry: _QueuedRequest, now_seconds: float) -> bool:
        """Returns whether no server is eligible after a wait longer than a probe takes."""
        if now_seconds - entry.queued_at_seconds < NO_SERVER_TIMEOUT_SECONDS:
            return False
        return not self._directory.list_eligible(entry.item.servers, entry.item.model)

    def _make_refusal(self, item: WorkItem) -> RequestError:
        self._metrics.count("dispatch.shed")
        if not self._directory.list_eligible(item.servers, item.model):
            return RequestError(ResultCode.NO_SERVER, retry_after_seconds=1.0)
        return RequestError(ResultCode.OVERLOADED, retry_after_seconds=1.0)

    def _decay_served_tokens(self) -> None:
        """Decays the served tokens, so that the queue order reflects recent usage only."""
        now_seconds = self._clock.monotonic_seconds()
        elapsed_seconds = now_seconds - self._decayed_at_seconds
        if elapsed_seconds < 1.0:
            return
        self._decayed_at_seconds = now_seconds
        factor = 0.5 ** (elapsed_seconds / SERVED_TOKENS_HALF_LIFE_SECONDS)
        for workspace in list(self._served_tokens):
            self._served_tokens[workspace] = int(self._served_tokens[workspace] * factor)
            if not self._served_tokens[workspace]:
                del self._served_tokens[workspace]
