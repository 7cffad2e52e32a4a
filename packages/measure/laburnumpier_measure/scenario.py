"""Seeded scenarios: a fleet over the in-memory stand-ins, a load, and faults at given moments."""

import asyncio
import dataclasses
import random

from laburnumpier_core.errors import RequestError
from laburnumpier_core.result_codes import Ran
from laburnumpier_standins.memory_backends import MemoryServer
from laburnumpier_standins.memory_fleet import ChatOutcome, MemoryFleet, MemoryRouter
from laburnumpier_standins.store_state import StoreFault

ROUTERS = 9
DATA_CENTRES = 3
MODEL_SERVERS = 6
ORDER_SERVERS = 3
WARM_UP_SECONDS = 8.0
SETTLE_SECONDS = 90.0
MAX_TRIES = 4
RETRY_PAUSE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Sizes and policy of one user.

    Attributes:
        budgets: Purchased tokens by workspace.
        booking_share: Share of requests that are bookings.
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
    """What happens while the load runs.

    Attributes:
        seconds: Length of the load.
        requests_per_second: Mean rate of the load.
        faults: Names of the faults, see `play_faults`.
        budget_scale: Factor on all budgets.
        hot_share: Share of requests that go to the first workspace.
    """

    name: str
    seconds: float = 60.0
    requests_per_second: float = 15.0
    faults: tuple[str, ...] = ()
    budget_scale: float = 1.0
    hot_share: float = 0.3


SCENARIOS = (
    Scenario(name="steady"),
    Scenario(name="burst_one_budget", hot_share=0.95, requests_per_second=30),
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
        name="store_down_10min", seconds=660, requests_per_second=6, faults=("store_down_10min",)
    ),
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempted:
    """One request of the load and how its last try ended.

    Attributes:
        booking: Whether it was a booking instead of a chat.
        refused: Error of every try that failed, with the time at which it did.
        could_pay: For each refused try, whether the budget could have paid at that moment.
        body: A booking's answer.
    """

    workspace: str
    key: str
    booking: bool
    greatest_cost: int
    outcome: ChatOutcome | None = None
    refused: list[RequestError] = dataclasses.field(default_factory=list)
    could_pay: list[bool] = dataclasses.field(default_factory=list)
    body: bytes | None = None

    @property
    def served(self) -> bool:
        """Whether the caller got a whole answer in the end."""
        if self.booking:
            return self.body is not None
        return self.outcome is not None and self.outcome.error is None


class ScenarioRun:
    """One scenario played with one seed, design and deployment."""

    def __init__(self, *, scenario: Scenario, deployment: Deployment, design: str, seed: int):
        """Prepares the run."""
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
        self.attempts: list[Attempted] = []
        self.first_token_seconds: list[float] = []
        self.store_calls = 0
        self._unreachable: set[str] = set()

    async def play(self) -> None:
        """Starts the fleet, plays load and faults, and lets everything settle."""
        await self._start_fleet()
        calls_before = self.fleet.store.state.calls
        faults = [asyncio.create_task(self._play_fault(name)) for name in self.scenario.faults]
        await self._play_load()
        self.store_calls = self.fleet.store.state.calls - calls_before
        await asyncio.gather(*faults)
        self.fleet.heal_partitions()
        self.fleet.store.fault = StoreFault.NONE
        self.fleet.store.loss_share = 0.0
        self.fleet.hub.loss_share = 0.0
        await asyncio.sleep(SETTLE_SECONDS)

    async def _start_fleet(self) -> None:
        fleet = self.fleet
        for index in range(ROUTERS):
            await fleet.start_router(f"vm-{index}", f"dc-{index % DATA_CENTRES}")
        models = {}
        for index in range(MODEL_SERVERS):
            # Old VMs take twice as long as new ones.
            factor = 2.0 if index % 3 == 0 else 1.0
            server = MemoryServer(
                name=f"s{index}", token_seconds=0.008 * factor, prefill_seconds=0.04 * factor
            )
            models[server.name] = fleet.add_server(server)
        orders = {}
        for index in range(ORDER_SERVERS):
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

    async def _play_load(self) -> None:
        """Sends requests at random moments and waits for all of them."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self.scenario.seconds
        tasks = []
        sequence = 0
        while loop.time() < end:
            await asyncio.sleep(self.random.expovariate(self.scenario.requests_per_second))
            sequence += 1
            tasks.append(asyncio.create_task(self._send(sequence)))
        await asyncio.gather(*tasks)

    async def _send(self, sequence: int) -> None:
        names = list(self.budgets)
        hot = self.random.random() < self.scenario.hot_share
        workspace = names[0] if hot else self.random.choice(names)
        booking = self.random.random() < self.deployment.booking_share
        prompt = f"{workspace} asks " + "x" * self.random.randrange(10, 200)
        tokens = self.random.randrange(10, 120)
        cost = 10 if booking else len(prompt) // 4 + 3 + tokens
        attempt = Attempted(
            workspace=workspace, key=f"k{sequence}", booking=booking, greatest_cost=cost
        )
        self.attempts.append(attempt)
        words = self.random.randrange(5, tokens + 1)
        for _ in range(MAX_TRIES):
            router = self._choose_router()
            if booking:
                error = await self._book(router, attempt)
            else:
                error = await self._chat(router, attempt, prompt, tokens, words)
            if error is None:
                return
            attempt.refused.append(error)
            attempt.could_pay.append(self._could_pay(attempt))
            # A caller tries again after its router died; a refusal is taken as final.
            if error.ran is Ran.NO:
                return
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    async def _chat(
        self, router: MemoryRouter, attempt: Attempted, prompt: str, tokens: int, words: int
    ) -> RequestError | None:
        outcome = await self.fleet.chat(
            router.name,
            attempt.workspace,
            prompt=prompt,
            max_tokens=tokens,
            words=words,
            key=attempt.key,
            deadline=30.0,
            streamed=self.random.random() < 0.5,
        )
        attempt.outcome = outcome
        if outcome.error is None and outcome.first_event_seconds:
            self.first_token_seconds.append(outcome.first_event_seconds)
        return outcome.error

    async def _book(self, router: MemoryRouter, attempt: Attempted) -> RequestError | None:
        try:
            answer = await self.fleet.call(
                router.name, attempt.workspace, key=attempt.key, deadline=10.0
            )
        except RequestError as error:
            return error
        attempt.body = answer.body
        return None

    def _choose_router(self) -> MemoryRouter:
        """Chooses as the platform's balancer does: any router that it can reach."""
        live = [
            router
            for router in self.fleet.routers.values()
            if router.alive
            and router.name not in self._unreachable
            and router.application.is_ready()
        ]
        return self.random.choice(live)

    def _could_pay(self, attempt: Attempted) -> bool:
        """Tells from the servers' own ledgers whether the budget could pay at this moment."""
        spent = count_true_spending(self.fleet, attempt.workspace)
        return self.budgets[attempt.workspace] - spent >= attempt.greatest_cost

    async def _play_fault(self, name: str) -> None:
        """Brings about one fault; see the names in `SCENARIOS`."""
        fleet, third = self.fleet, self.scenario.seconds / 3
        match name:
            case "store_down_10min":
                await asyncio.sleep(30)
                fleet.store.fault = StoreFault.DOWN
                await asyncio.sleep(600)
                fleet.store.fault = StoreFault.NONE
            case "store_down_short":
                await asyncio.sleep(third / 2)
                fleet.store.fault = StoreFault.DOWN
                await asyncio.sleep(third * 2)
                fleet.store.fault = StoreFault.NONE
            case "store_slow":
                await asyncio.sleep(third)
                fleet.store.fault = StoreFault.SLOW
                await asyncio.sleep(third)
                fleet.store.fault = StoreFault.NONE
            case "answers_lost":
                fleet.store.loss_share = 0.3
                fleet.hub.loss_share = 0.1
            case "partition_store_one_side":
                await asyncio.sleep(third)
                self._partition([f"vm-{i}" for i in range(4)])
                await asyncio.sleep(third)
                fleet.heal_partitions()
            case "partition_data_centre":
                await asyncio.sleep(third)
                self._partition([f"vm-{i}" for i in range(ROUTERS) if i % DATA_CENTRES == 2])
                await asyncio.sleep(third)
                fleet.heal_partitions()
            case "top_up_during":
                await asyncio.sleep(third * 1.5)
                await self._top_up()
            case "router_death":
                await asyncio.sleep(third)
                await fleet.kill("vm-4")
                await asyncio.sleep(10)
                await fleet.start_router("vm-4", "dc-1")
            case "holder_paused":
                await asyncio.sleep(third)
                self._unreachable.add("vm-3")
                fleet.isolate("vm-3")
                await asyncio.sleep(third)
                fleet.heal_partitions()
                self._unreachable.discard("vm-3")
            case _:
                raise ValueError(name)

    def _partition(self, names: list[str]) -> None:
        """Cuts the named routers off from all others and from the store."""
        fleet = self.fleet
        side = [fleet.routers[name].address for name in names]
        rest = [r.address for r in fleet.routers.values() if r.name not in names]
        fleet.hub.partition(side, rest)
        fleet.store.cut_off.update(names)

    async def _top_up(self) -> None:
        """Raises the first budget through a router that reaches the store, twice with one id."""
        workspace = next(iter(self.budgets))
        service = self.fleet.routers["vm-7"].application.configuration
        for _ in range(2):
            await service.top_up(workspace, 50_000, "top-up-1", "measure")
        self.budgets[workspace] += 50_000


def count_true_spending(fleet: MemoryFleet, workspace: str) -> int:
    """Returns what the servers ran for a workspace; runs in progress count at their cap."""
    total = 0
    for server in fleet.backends.servers.values():
        for run_id, run in server.runs.items():
            if not run_id.startswith(f"{workspace}/"):
                continue
            if run.finished:
                total += run.events[-1]["usage"]["total_tokens"] if run.events else 0
            else:
                total += run.prompt_tokens + run.max_tokens
        total += 10 * sum(key.startswith(f"{workspace}/") for key in server.calls)
    return total
