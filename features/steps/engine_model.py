"""Deterministic model of engines, and of routers that place requests on them, in virtual time.

An engine works in steps. In each step it reads a bounded number of prompt tokens, in order of
arrival, and sends one event of each stream whose prompt is read; both take time. Parts of prompts
that it holds are not read again. Everything follows from the seed of the load.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from laburnumpier_core.metrics import Metrics
from laburnumpier_router.estimates.estimate_placement import EstimatePlacement
from laburnumpier_router.estimates.request_estimate import EstimateRequest
from laburnumpier_router.forward.placement import PlacementRequest, choose_server
from laburnumpier_router.forward.servers import ServerLoad
from laburnumpier_router.ports.dialect import PromptPart, ResponseHead
from laburnumpier_router.ports.server_registry import RegisteredServer

CHUNK_TOKENS = 2048
STEP_MS = 8.0
STEP_MS_PER_STREAM = 0.25


class ModelClock:
    """Clock that the model moves."""

    def __init__(self):
        self.seconds = 0.0

    def monotonic_seconds(self):
        """Returns the virtual time."""
        return self.seconds


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelRequest:
    """A request: when it arrives, its prompt, its length in events and its targets."""

    at_seconds: float
    parts: tuple[PromptPart, ...]
    events: int
    target_seconds: float
    target_gap_seconds: float = 0.2
    urgency: int = 3
    work_ms: float = 0.0

    @property
    def prompt_tokens(self):
        """Tokens of the whole prompt."""
        return sum(part.tokens for part in self.parts)


@dataclasses.dataclass(eq=False, kw_only=True)
class ModelRun:
    """A request at an engine."""

    request: ModelRequest
    on_event: object
    on_end: object
    unread: int = 0
    sent: int = 0


class ModelEngine:
    """One engine; see the module."""

    def __init__(self, world, *, name, slots, memory, tokens_per_ms, report_age_seconds=0.0):
        self.world = world
        self.name = name
        self.slots = slots
        self.memory = memory
        self.tokens_per_ms = tokens_per_ms
        self.slow_factor = 1.0
        self.report_age_seconds = report_age_seconds
        self.read_tokens = 0
        self.waiting = collections.deque()
        self.running = []
        self.cache = collections.OrderedDict()
        self.history = collections.deque([(0.0, 0, 0)])
        self.is_stepping = False

    def submit(self, run):
        """Takes a request into the queue."""
        self.waiting.append(run)
        self._note()
        if not self.is_stepping:
            self._step()

    def report(self):
        """Returns the running and waiting requests, as of the age of reports."""
        until = self.world.clock.seconds - self.report_age_seconds
        while len(self.history) > 1 and self.history[1][0] <= until:
            self.history.popleft()
        return self.history[0][1:]

    def _note(self):
        self.history.append((self.world.clock.seconds, len(self.running), len(self.waiting)))

    def _running_tokens(self):
        return sum(run.request.prompt_tokens + run.request.events for run in self.running)

    def _admit(self):
        while self.waiting and len(self.running) < self.slots:
            run = self.waiting[0]
            needed = run.request.prompt_tokens + run.request.events
            if self.running and self._running_tokens() + needed > self.memory:
                break
            self.waiting.popleft()
            held = 0
            for part in run.request.parts:
                if part.part_id not in self.cache:
                    break
                self.cache.move_to_end(part.part_id)
                held += part.tokens
            run.unread = run.request.prompt_tokens - held
            self.read_tokens += run.unread
            self.running.append(run)

    def _step(self):
        self._admit()
        if not self.running:
            self.is_stepping = False
            return
        self.is_stepping = True
        budget = CHUNK_TOKENS
        work_ms = STEP_MS
        for run in self.running:
            chunk = min(budget, run.unread)
            run.unread -= chunk
            budget -= chunk
            work_ms += chunk / self.tokens_per_ms
            work_ms += STEP_MS_PER_STREAM if run.unread == 0 else 0.0
        self.world.after(work_ms / 1000 * self.slow_factor, self._end_step)

    def _end_step(self):
        ended = []
        for run in self.running:
            if run.unread:
                continue
            if run.sent == 0:
                self._keep(run.request.parts)
            run.sent += 1
            if run.sent >= run.request.events:
                ended.append(run)
        emitting = [run for run in self.running if run.sent and not run.unread]
        self.running = [run for run in self.running if run not in ended]
        self._note()
        for run in emitting:
            run.on_event()
        for run in ended:
            run.on_end()
        self._step()

    def _keep(self, parts):
        for part in parts:
            self.cache[part.part_id] = part.tokens
            self.cache.move_to_end(part.part_id)
        # The own parts of running requests are among the kept ones already.
        while len(self.cache) > len(parts) and sum(self.cache.values()) > self.memory:
            self.cache.popitem(last=False)


class ModelPlainServer:
    """A server of a plain service: each request takes its work, as many at once as slots."""

    def __init__(self, world, *, name, slots, slow_factor=1.0, report_age_seconds=0.0):
        self.world = world
        self.name = name
        self.slots = slots
        self.slow_factor = slow_factor
        self.report_age_seconds = report_age_seconds
        self.read_tokens = 0
        self.waiting = collections.deque()
        self.running = []
        self.history = collections.deque([(0.0, 0, 0)])

    report = ModelEngine.report
    _note = ModelEngine._note

    def submit(self, run):
        """Takes a request into the queue."""
        self.waiting.append(run)
        self._start()

    def _start(self):
        while self.waiting and len(self.running) < self.slots:
            run = self.waiting.popleft()
            self.running.append(run)
            seconds = run.request.work_ms / 1000 * self.slow_factor
            self.world.after(seconds, lambda run=run: self._end(run))
        self._note()

    def _end(self, run):
        self.running.remove(run)
        self._note()
        run.on_event()
        run.on_end()
        self._start()


class ModelRouter:
    """One router: its view of the servers, and its placement."""

    def __init__(self, world, *, name, entries, placement, cache_tokens, router_count, seed):
        self.world = world
        self.name = name
        self.random = random.Random(seed)
        self.loads = {entry.server_id: ServerLoad(entry=entry) for entry in entries}
        self.estimates = None
        if placement == "estimate":
            self.estimates = EstimatePlacement(
                clock=world.clock,
                metrics=Metrics(),
                random_source=self.random,
                find_cache_tokens=lambda service: cache_tokens,
                count_routers=lambda: router_count,
            )

    def choose(self, request):
        """Returns the server for a request."""
        servers = list(self.loads.values())
        if self.estimates is not None:
            return self.estimates.choose(servers, make_estimate_request(request))
        placement = PlacementRequest(prompt_parts=request.parts, data_centre="near")
        return choose_server(servers, placement, self.world.clock.seconds, self.random)

    def send(self, request):
        """Sends a request to the server that is chosen for it."""
        load = self.choose(request)
        observer = None
        if self.estimates is not None:
            observer = self.estimates.begin(load, make_estimate_request(request))
        load.record_start(request.prompt_tokens)
        sent_seconds = self.world.clock.seconds
        engine = self.world.engines[load.entry.server_id]
        state = {"last": None}

        def on_event():
            now = self.world.clock.seconds
            if state["last"] is None:
                load.record_prompt_processed(request.prompt_tokens)
                self.world.first_events.append((request, load.entry.server_id, now - sent_seconds))
                running, waiting = engine.report()
                self.world.deliver_report(self, load.entry.server_id, running, waiting)
                if observer is not None:
                    observer.record_head(make_head(running, waiting))
            else:
                self.world.pauses.append((request, now - state["last"]))
            state["last"] = now
            if observer is not None:
                observer.record_progress()

        def on_end():
            load.record_success()
            load.record_finish()
            if observer is not None:
                observer.close()

        self.world.sends.append((sent_seconds, self.name, load.entry.server_id))
        engine.submit(ModelRun(request=request, on_event=on_event, on_end=on_end))


def make_head(running, waiting, work_percent=None):
    return ResponseHead(
        attempt_id="a",
        not_executed=False,
        running=running,
        waiting=waiting,
        work_percent=work_percent,
    )


def make_estimate_request(request):
    return EstimateRequest(
        prompt_parts=request.parts,
        prompt_tokens=request.prompt_tokens,
        max_output_tokens=request.events if request.parts else 0,
        urgency=request.urgency,
        target_gap_seconds=request.target_gap_seconds if request.parts else 0.0,
    )


class ModelWorld:
    """Engines and routers in one virtual time."""

    def __init__(self):
        self.clock = ModelClock()
        self.engines = {}
        self.routers = []
        self.first_events = []
        self.pauses = []
        self.sends = []
        self.shares_reports = False
        self._queue = []
        self._numbers = itertools.count()

    def at(self, seconds, action):
        """Runs an action at a time."""
        heapq.heappush(self._queue, (seconds, next(self._numbers), action))

    def after(self, seconds, action):
        """Runs an action after a time."""
        self.at(self.clock.seconds + seconds, action)

    def deliver_report(self, router, server_id, running, waiting):
        """Tells routers the load of a server."""
        heard = self.routers if self.shares_reports else [router]
        for each in heard:
            each.loads[server_id].record_report(running, waiting, self.clock.seconds)

    def add_routers(self, count, *, placement, cache_tokens, seed):
        """Adds routers that know all engines."""
        entries = [
            RegisteredServer(
                server_id=engine.name,
                service="s",
                address=f"{engine.name}:80",
                data_centre="near",
                slots=engine.slots,
                started_ms=1,
            )
            for engine in self.engines.values()
        ]
        for n in range(count):
            self.routers.append(
                ModelRouter(
                    self,
                    name=f"router-{n}",
                    entries=entries,
                    placement=placement,
                    cache_tokens=cache_tokens,
                    router_count=count,
                    seed=seed + n,
                )
            )

    def play(self, requests):
        """Sends requests in turn from all routers, and runs to their end."""
        for n, request in enumerate(requests):
            router = self.routers[n % len(self.routers)]
            self.at(request.at_seconds, lambda q=request, r=router: r.send(q))
        self.run()

    def run(self):
        """Runs all actions in the order of time."""
        while self._queue:
            self.clock.seconds, _, action = heapq.heappop(self._queue)
            action()

    def share_within_target(self):
        """Returns the share of first events within the target."""
        met = sum(seconds <= request.target_seconds for request, _, seconds in self.first_events)
        return met / len(self.first_events)

    def share_of_pauses_within_target(self):
        """Returns the share of pauses within the target."""
        met = sum(seconds <= request.target_gap_seconds for request, seconds in self.pauses)
        return met / len(self.pauses) if self.pauses else 1.0

    def tokens_read_again(self):
        """Returns the tokens of shared parts that were read more often than once."""
        read = sum(engine.read_tokens for engine in self.engines.values())
        parts = {part.part_id: part.tokens for r, _, _ in self.first_events for part in r.parts}
        return read - sum(parts.values())
