"""Gives requests to servers, and lets them wait in a fair order when all servers are full.

Waiting requests are ordered by priority, then by how much their workspace has been served
lately, then by deadline. A request that cannot start before its deadline is refused at once,
so that work that can still be in time is not late too. Retries are paid from a budget that
recent first tries fill, so that failing servers are not met with a multiple of the load.
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

RETRY_SHARE = 0.1
RETRY_BURST = 10.0
MAX_WAITING = 2000
CHECK_SECONDS = 0.05
SERVED_HALF_LIFE_SECONDS = 10.0
NO_SERVER_GRACE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkItem:
    """A request as the dispatcher sees it.

    Attributes:
        servers: Names of the servers that may run it.
        model: Model that must be loaded; None for a plain service.
        prefix: Hash of the prompt's first part; may be empty.
        cost: Tokens that it may use, the measure of fairness.
        deadline_seconds: Monotonic time by which it must have ended.
        exclude: Servers that failed it before.
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
class _Waiting:
    item: WorkItem
    chosen: asyncio.Future[ServerState]
    since_seconds: float


class Dispatcher:
    """Hands out runs on servers; each must be given back by `finish`."""

    __slots__ = (
        "_clock",
        "_directory",
        "_metrics",
        "_policy",
        "_pump",
        "_random",
        "_retry_tokens",
        "_served",
        "_served_at_seconds",
        "_start_times",
        "_waiting",
        "_wanting",
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
        """Creates a dispatcher with nothing waiting."""
        self._directory = directory
        self._policy = policy
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._waiting: list[_Waiting] = []
        self._served: collections.Counter[str] = collections.Counter()
        self._served_at_seconds = 0.0
        self._retry_tokens = RETRY_BURST
        self._start_times: collections.deque[float] = collections.deque(maxlen=64)
        self._wanting: set[str] = set()
        self._pump: asyncio.Task[None] | None = None

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a server."""
        return len(self._waiting)

    async def acquire(self, item: WorkItem, *, is_retry: bool = False) -> ServerState:
        """Waits for a server for one run of a request.

        Args:
            item: The request.
            is_retry: Whether an earlier run of it failed.

        Returns:
            The server, with the run counted as in flight there.

        Raises:
            RequestError: If no server can start it in time, or the retry budget is empty.
        """
        if is_retry:
            self._pay_retry()
        else:
            self._retry_tokens = min(RETRY_BURST, self._retry_tokens + RETRY_SHARE)
        if not self._waiting:
            server = self._choose(item)
            if server is not None:
                return self._start(item, server)
        return await self._wait(item)

    def take_queued_models(self) -> set[str]:
        """Returns the models whose requests found no room since the last call."""
        wanting, self._wanting = self._wanting, set()
        return wanting

    def release(self, server: ServerState) -> None:
        """Counts the end of a run and lets the next waiting request start."""
        server.finish_run()
        self._serve_waiting()

    def _pay_retry(self) -> None:
        if self._retry_tokens < 1.0:
            self._metrics.count("dispatch.retry_budget_empty")
            raise RequestError(ResultCode.SERVER_FAILED, retry_after_seconds=1.0)
        self._retry_tokens -= 1.0
        self._metrics.count("dispatch.retries")

    async def _wait(self, item: WorkItem) -> ServerState:
        now = self._clock.monotonic_seconds()
        ahead = sum(entry.item.priority >= item.priority for entry in self._waiting)
        if len(self._waiting) >= MAX_WAITING or self._cannot_start(item, now, ahead):
            raise self._make_overload(item)
        entry = _Waiting(
            item=item, chosen=asyncio.get_running_loop().create_future(), since_seconds=now
        )
        self._waiting.append(entry)
        if item.model is not None:
            self._wanting.add(item.model)
        if self._pump is None or self._pump.done():
            self._pump = asyncio.create_task(self._check_waiting())
        try:
            return await entry.chosen
        except asyncio.CancelledError:
            self._withdraw(entry)
            raise

    def _withdraw(self, entry: _Waiting) -> None:
        """Removes a waiting request whose caller gave up, also one that was served just now."""
        if entry in self._waiting:
            self._waiting.remove(entry)
        if entry.chosen.done() and not entry.chosen.cancelled() and not entry.chosen.exception():
            self.release(entry.chosen.result())

    async def _check_waiting(self) -> None:
        """Serves and sheds waiting requests until none is left."""
        while self._waiting:
            await asyncio.sleep(CHECK_SECONDS)
            self._serve_waiting()
            now = self._clock.monotonic_seconds()
            for ahead, entry in enumerate(list(self._waiting)):
                late = self._cannot_start(entry.item, now, ahead)
                if late or self._has_no_server(entry, now):
                    self._waiting.remove(entry)
                    if not entry.chosen.done():
                        entry.chosen.set_exception(self._make_overload(entry.item))

    def _serve_waiting(self) -> None:
        """Starts waiting requests in fair order while servers have room."""
        if not self._waiting:
            return
        self._decay_served()
        self._waiting.sort(
            key=lambda entry: (
                -entry.item.priority,
                self._served[entry.item.workspace],
                entry.item.deadline_seconds,
            )
        )
        for entry in list(self._waiting):
            server = self._choose(entry.item)
            if server is None:
                continue
            self._waiting.remove(entry)
            if not entry.chosen.done():
                entry.chosen.set_result(self._start(entry.item, server))

    def _choose(self, item: WorkItem) -> ServerState | None:
        eligible = self._directory.list_eligible(item.servers, item.model)
        fresh = [server for server in eligible if server.name not in item.exclude]
        now = self._clock.monotonic_seconds()
        with_room = [
            server
            for server in (fresh or eligible)
            if self._may_start(server) and now + server.run_seconds <= item.deadline_seconds
        ]
        if not with_room:
            return None
        return choose_server(self._policy, with_room, item.prefix_hash, self._random)

    def _may_start(self, server: ServerState) -> bool:
        """Whether a server has room; the simple ways of choosing know no limit."""
        return server.has_room or not isinstance(self._policy, ExpectedWait)

    def _start(self, item: WorkItem, server: ServerState) -> ServerState:
        server.start_run()
        self._served[item.workspace] += item.cost_tokens
        self._start_times.append(self._clock.monotonic_seconds())
        return server

    def _cannot_start(self, item: WorkItem, now: float, ahead: int) -> bool:
        """Whether too little time is left for the queue ahead and a run on the fastest server."""
        eligible = self._directory.list_eligible(item.servers, item.model)
        run_seconds = min((server.run_seconds for server in eligible), default=0.0)
        left_seconds = item.deadline_seconds - now - run_seconds
        if left_seconds <= 0:
            return True
        if len(self._start_times) < self._start_times.maxlen:
            return False
        span_seconds = now - self._start_times[0]
        starts_per_second = len(self._start_times) / max(span_seconds, 1e-3)
        return ahead / starts_per_second > left_seconds

    def _has_no_server(self, entry: _Waiting, now: float) -> bool:
        """Whether nothing was eligible for the request, for longer than a probe takes."""
        if now - entry.since_seconds < NO_SERVER_GRACE_SECONDS:
            return False
        return not self._directory.list_eligible(entry.item.servers, entry.item.model)

    def _make_overload(self, item: WorkItem) -> RequestError:
        self._metrics.count("dispatch.shed")
        if not self._directory.list_eligible(item.servers, item.model):
            return RequestError(ResultCode.NO_SERVER, retry_after_seconds=1.0)
        return RequestError(ResultCode.OVERLOADED, retry_after_seconds=1.0)

    def _decay_served(self) -> None:
        """Forgets old service, so that fairness looks at recent time only."""
        now = self._clock.monotonic_seconds()
        elapsed = now - self._served_at_seconds
        if elapsed < 1.0:
            return
        self._served_at_seconds = now
        factor = 0.5 ** (elapsed / SERVED_HALF_LIFE_SECONDS)
        for workspace in list(self._served):
            self._served[workspace] = int(self._served[workspace] * factor)
            if not self._served[workspace]:
                del self._served[workspace]
