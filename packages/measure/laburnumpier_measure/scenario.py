"""Seeded scenarios: a simulated fleet, a generated load and faults injected at fixed times."""

import asyncio
import dataclasses
import random

from laburnumpier_core.errors import RequestError
from laburnumpier_core.result_codes import Ran
from laburnumpier_standins.memory_backends import MemoryServer
from laburnumpier_standins.memory_fleet import ChatOutcome, MemoryFleet, MemoryRouter
from laburnumpier_standins.store_state import StoreFault

ROUTER_COUNT = 9
DATA_CENTRE_COUNT = 3
MODEL_SERVER_COUNT = 6
ORDER_SERVER_COUNT = 3
WARM_UP_SECONDS = 8.0
SETTLE_SECONDS = 90.0
MAX_ATTEMPTS = 4
RETRY_DELAY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Budgets, budget policy and load mix of one simulated organization.

    Attributes:
        budgets: Purchased tokens by workspace.
        booking_share: Share of the requests that are bookings; the others are chats.
    """

    name: str
    in_doubt_policy: str
    grant_floor_share: float
    budgets: dict[str, int]
    booking_share: float


DEPLOYMENTS = {
    "halib": Deployment(
        name="halib",
        in_doubt_policy="release",
        grant_floor_share=0.1,
        budgets={"office": 400_000, "vans": 200_000, **{f"round{i}": 60_000 for i in range(8)}},
        booking_share=0.2,
    ),
    "instituto": Deployment(
        name="instituto",
        in_doubt_policy="hold",
        grant_floor_share=0.05,
        budgets={"line": 400_000, "guides": 200_000, **{f"lodge{i}": 60_000 for i in range(8)}},
        booking_share=0.15,
    ),
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Load and faults of one scenario.

    Attributes:
        duration_seconds: Duration of the load.
        requests_per_second: Mean request rate.
        faults: Names of the faults, see `ScenarioRun._inject_fault`.
        budget_scale: Factor applied to all budgets.
        hot_workspace_share: Share of the requests sent to the first workspace; the others choose
            any workspace at random.
    """

    name: str
    duration_seconds: float = 60.0
    requests_per_second: float = 15.0
    faults: tuple[str, ...] = ()
    budget_scale: float = 1.0
    hot_workspace_share: float = 0.3


SCENARIOS = (
    Scenario(name="steady"),
    Scenario(name="burst_one_budget", hot_workspace_share=0.95, requests_per_second=30),
    Scenario(name="last_tokens", budget_scale=0.04),
    Scenario(name="store_slow", faults=("store_slow",)),
    Scenario(name="answers_lost", faults=("answers_lost",)),
    Scenario(
        name="partition_store_one_side", faults=("partition_store_one_side", "top_up_during")
    ),
    Scenario(name="partition_data_centre", faults=("partition_data_centre", "top_up_during")),
    Scenario(name="router_death", faults=("router_death",)),
    Scenario(name="holder_paused", faults=("holder_paused",)),
    Scenario(name="store_down_router_death", faults=("store_down_short", "router_death")),
    Scenario(name="partition_last_tokens", budget_scale=0.04, faults=("partition_data_centre",)),
    Scenario(
        name="store_down_10min",
        duration_seconds=660,
        requests_per_second=6,
        faults=("store_down_10min",),
    ),
)


@dataclasses.dataclass(slots=True, kw_only=True)
class LoadRequest:
    """One request of the load with the outcome of its attempts.

    Attributes:
        is_booking: Whether the request is a booking instead of a chat.
        max_cost_tokens: Tokens that the request can cost at most.
        chat_outcome: Outcome of a chat's last attempt.
        errors: Error of each failed attempt.
        budget_sufficed: For each failed attempt, whether the budget could pay the maximum cost at
            that time.
        booking_body: Response body of a served booking.
    """

    workspace: str
    idempotency_key: str
    is_booking: bool
    max_cost_tokens: int
    chat_outcome: ChatOutcome | None = None
    errors: list[RequestError] = dataclasses.field(default_factory=list)
    budget_sufficed: list[bool] = dataclasses.field(default_factory=list)
    booking_body: bytes | None = None

    @property
    def served(self) -> bool:
        """Whether an attempt returned a complete answer."""
        if self.is_booking:
            return self.booking_body is not None
        return self.chat_outcome is not None and self.chat_outcome.error is None


class ScenarioRun:
    """Runs one scenario with one seed, design and deployment."""

    def __init__(self, *, scenario: Scenario, deployment: Deployment, design: str, seed: int):
        """Creates the run without starting the fleet."""
        self.scenario = scenario
        self.deployment = deployment
        self.random = random.Random(f"{scenario.name}/{deployment.name}/{seed}")
        self.budgets = {
            name: int(tokens * scenario.budget_scale)
            for name, tokens in deployment.budgets.items()
        }
        settings = {
            "budget.in_doubt_policy": deployment.in_doubt_policy,
            "budget.grant_floor_share": str(deployment.grant_floor_share),
            "budget.allocation": design,
            "backend.probe_seconds": "3",
            "backend.probe_freshness_seconds": "10",
        }
        self.fleet = MemoryFleet(seed=seed, settings=settings)
        self.load_requests: list[LoadRequest] = []
        self.first_token_seconds: list[float] = []
        self.store_calls = 0
        self._unreachable_routers: set[str] = set()

    async def execute(self) -> None:
        """Starts the fleet, generates load and faults, then waits for recovery without faults."""
        await self._start_fleet()
        calls_before = self.fleet.store.state.call_count
        fault_tasks = [
            asyncio.create_task(self._inject_fault(name)) for name in self.scenario.faults
        ]
        await self._generate_load()
        self.store_calls = self.fleet.store.state.call_count - calls_before
        await asyncio.gather(*fault_tasks)
        self.fleet.heal_partitions()
        self.fleet.store.fault = StoreFault.NONE
        self.fleet.store.answer_loss_probability = 0.0
        self.fleet.hub.reply_loss_probability = 0.0
        await asyncio.sleep(SETTLE_SECONDS)

    async def _start_fleet(self) -> None:
        fleet = self.fleet
        for index in range(ROUTER_COUNT):
            await fleet.start_router(f"vm-{index}", f"dc-{index % DATA_CENTRE_COUNT}")
        models = {}
        for index in range(MODEL_SERVER_COUNT):
            # One server in three simulates an older VM, which takes twice as long.
            slowdown_factor = 2.0 if index % 3 == 0 else 1.0
            server = MemoryServer(
                name=f"s{index}",
                token_seconds=0.008 * slowdown_factor,
                prefill_seconds=0.04 * slowdown_factor,
            )
            models[server.name] = fleet.add_server(server)
        orders = {}
        for index in range(ORDER_SERVER_COUNT):
            server = MemoryServer(name=f"o{index}", models=[], prefill_seconds=0.01)
            orders[server.name] = fleet.add_server(server)
        document = {
            "servers": {name: {"url": url} for name, url in {**models, **orders}.items()},
            "models": {"m": {"servers": list(models)}},
            "services": {"orders": {"servers": list(orders), "price_tokens": 10}},
            "workspaces": {
                name: {"budget_tokens": tokens, "models": ["m"], "services": ["orders"]}
                for name, tokens in self.budgets.items()
            },
        }
        await fleet.configure("vm-0", document)
        await asyncio.sleep(WARM_UP_SECONDS)

    async def _generate_load(self) -> None:
        """Sends requests with exponentially distributed gaps and waits for all of them."""
        loop = asyncio.get_running_loop()
        end_seconds = loop.time() + self.scenario.duration_seconds
        tasks = []
        sequence = 0
        while loop.time() < end_seconds:
            await asyncio.sleep(self.random.expovariate(self.scenario.requests_per_second))
            sequence += 1
            tasks.append(asyncio.create_task(self._send_request(sequence)))
        await asyncio.gather(*tasks)

    async def _send_request(self, sequence: int) -> None:
        workspaces = list(self.budgets)
        uses_hot_workspace = self.random.random() < self.scenario.hot_workspace_share
        workspace = workspaces[0] if uses_hot_workspace else self.random.choice(workspaces)
        is_booking = self.random.random() < self.deployment.booking_share
        prompt = f"{workspace} asks " + "x" * self.random.randrange(10, 200)
        max_tokens = self.random.randrange(10, 120)
        # Counted as the simulated servers do: a booking has a fixed price, a prompt has one token
        # per 4 bytes and 3 more for its message.
        max_cost_tokens = 10 if is_booking else len(prompt) // 4 + 3 + max_tokens
        request = LoadRequest(
            workspace=workspace,
            idempotency_key=f"k{sequence}",
            is_booking=is_booking,
            max_cost_tokens=max_cost_tokens,
        )
        self.load_requests.append(request)
        words = self.random.randrange(5, max_tokens + 1)
        for _ in range(MAX_ATTEMPTS):
            router = self._choose_router()
            if is_booking:
                error = await self._send_booking(router, request)
            else:
                error = await self._send_chat(router, request, prompt, max_tokens, words)
            if error is None:
                return
            request.errors.append(error)
            request.budget_sufficed.append(self._is_budget_sufficient(request))
            # Callers retry if the request may have run, for example after its router died. They do
            # not retry a request that was refused without running.
            if error.ran is Ran.NO:
                return
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _send_chat(
        self, router: MemoryRouter, request: LoadRequest, prompt: str, max_tokens: int, words: int
    ) -> RequestError | None:
        outcome = await self.fleet.chat(
            router.name,
            request.workspace,
            prompt=prompt,
            max_tokens=max_tokens,
            words=words,
            key=request.idempotency_key,
            deadline=30.0,
            streamed=self.random.random() < 0.5,
        )
        request.chat_outcome = outcome
        if outcome.error is None and outcome.first_event_seconds:
            self.first_token_seconds.append(outcome.first_event_seconds)
        return outcome.error

    async def _send_booking(
        self, router: MemoryRouter, request: LoadRequest
    ) -> RequestError | None:
        try:
            answer = await self.fleet.call(
                router.name, request.workspace, key=request.idempotency_key, deadline=10.0
            )
        except RequestError as error:
            return error
        request.booking_body = answer.body
        return None

    def _choose_router(self) -> MemoryRouter:
        """Chooses a random reachable router, as the platform's load balancer does."""
        reachable = [
            router
            for router in self.fleet.routers.values()
            if router.alive
            and router.name not in self._unreachable_routers
            and router.application.is_ready()
        ]
        return self.random.choice(reachable)

    def _is_budget_sufficient(self, request: LoadRequest) -> bool:
        """Whether the servers' ledgers leave enough budget for the request's maximum cost now."""
        executed_tokens = count_executed_tokens(self.fleet, request.workspace)
        return self.budgets[request.workspace] - executed_tokens >= request.max_cost_tokens

    async def _inject_fault(self, name: str) -> None:
        """Injects the named fault; `execute` removes what is left of it after the load."""
        fleet, third_seconds = self.fleet, self.scenario.duration_seconds / 3
        match name:
            case "store_down_10min":
                await asyncio.sleep(30)
                fleet.store.fault = StoreFault.DOWN
                await asyncio.sleep(600)
                fleet.store.fault = StoreFault.NONE
            case "store_down_short":
                await asyncio.sleep(third_seconds / 2)
                fleet.store.fault = StoreFault.DOWN
                await asyncio.sleep(third_seconds * 2)
                fleet.store.fault = StoreFault.NONE
            case "store_slow":
                await asyncio.sleep(third_seconds)
                fleet.store.fault = StoreFault.SLOW
                await asyncio.sleep(third_seconds)
                fleet.store.fault = StoreFault.NONE
            case "answers_lost":
                fleet.store.answer_loss_probability = 0.3
                fleet.hub.reply_loss_probability = 0.1
            case "partition_store_one_side":
                await asyncio.sleep(third_seconds)
                self._partition_routers([f"vm-{i}" for i in range(4)])
                await asyncio.sleep(third_seconds)
                fleet.heal_partitions()
            case "partition_data_centre":
                await asyncio.sleep(third_seconds)
                self._partition_routers(
                    [f"vm-{i}" for i in range(ROUTER_COUNT) if i % DATA_CENTRE_COUNT == 2]
                )
                await asyncio.sleep(third_seconds)
                fleet.heal_partitions()
            case "top_up_during":
                await asyncio.sleep(third_seconds * 1.5)
                await self._top_up()
            case "router_death":
                await asyncio.sleep(third_seconds)
                await fleet.kill("vm-4")
                await asyncio.sleep(10)
                await fleet.start_router("vm-4", "dc-1")
            case "holder_paused":
                await asyncio.sleep(third_seconds)
                self._unreachable_routers.add("vm-3")
                fleet.isolate("vm-3")
                await asyncio.sleep(third_seconds)
                fleet.heal_partitions()
                self._unreachable_routers.discard("vm-3")
            case _:
                raise ValueError(f"unknown fault: {name}")

    def _partition_routers(self, names: list[str]) -> None:
        """Isolates the named routers from all other routers and from the store."""
        fleet = self.fleet
        isolated_addresses = [fleet.routers[name].address for name in names]
        other_addresses = [
            router.address for router in fleet.routers.values() if router.name not in names
        ]
        fleet.hub.partition(isolated_addresses, other_addresses)
        fleet.store.cut_off.update(names)

    async def _top_up(self) -> None:
        """Tops up the first budget twice with the same ID, at a router outside the partitions.

        The second request must have no effect.
        """
        workspace = next(iter(self.budgets))
        service = self.fleet.routers["vm-7"].application.configuration
        for _ in range(2):
            await service.top_up(workspace, 50_000, "top-up-1", "measure")
        self.budgets[workspace] += 50_000


def count_executed_tokens(fleet: MemoryFleet, workspace: str) -> int:
    """Returns the tokens that servers ran for a workspace.

    Runs in progress count with their maximum.
    """
    total = 0
    for server in fleet.backends.servers.values():
        for run_id, run in server.runs.items():
            if not run_id.startswith(f"{workspace}/"):
                continue
            if run.finished:
                total += run.events[-1]["usage"]["total_tokens"] if run.events else 0
            else:
                total += run.prompt_tokens + run.max_tokens
        # A booking costs 10 tokens, the price in the configuration.
        total += 10 * sum(key.startswith(f"{workspace}/") for key in server.calls)
    return total
