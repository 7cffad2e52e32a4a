"""Plays returns of the store from an older copy against a fleet, in virtual time.

`python -m laburnumpier_measure.store_returns --seeds 200` prints a line for each combination of
faults: the tokens spent beyond the purchased total, and the share of payable requests refused in
the ten seconds after a return. The budget is smaller than the demand, so tokens that are granted
twice are spent twice.
"""

import argparse
import asyncio
import dataclasses
import enum
import logging
import random
import sys

from laburnumpier_core.errors import RequestError
from laburnumpier_standins.memory_fleet import MemoryFleet
from laburnumpier_standins.virtual_loop import VirtualLoop

REQUEST_TOKENS = 150
USED_TOKENS = 100
REQUEST_SECONDS = 0.2
REQUESTS_PER_SECOND = 8.0
"""Requests at each router."""
PLAY_SECONDS = 40.0
RETURNS = 3
LEAST_AGE_SECONDS, GREATEST_AGE_SECONDS = 1.0, 10.0
DOWNTIME_SECONDS = 0.5
AFTERMATH_SECONDS = 10.0
BUDGET_SHARE = 0.7
"""Budget as a share of the demand of a play."""
SETTINGS = {
    "budget.grant_minimum_tokens": "200",
    "budget.refill_seconds": "1.5",
    "budget.grant_horizon_seconds": "12",
    "budget.grant_floor_share": "0.03",
    "budget.grant_held_share": "0.4",
    "budget.admission_wait_seconds": "0.1",
    "budget.in_doubt_policy": "hold",
    "fleet.recover_departed": "no",
}


class Trouble(enum.StrEnum):
    """What happens beside the returns.

    Attributes:
        NONE: Nothing.
        CUTS: One router after another is cut off from the store and its peers.
        CUT_FROM_PEERS: One router reaches the store only.
        ONE_KILLED: One router is killed up to three seconds before each return and restarted.
        ONE_LOST: One router is killed shortly before a return and never comes back.
        ALL_KILLED: All routers are killed shortly before a return and restarted.
    """

    NONE = "none"
    CUTS = "cuts"
    CUT_FROM_PEERS = "cut_from_peers"
    ONE_KILLED = "one_killed"
    ONE_LOST = "one_lost"
    ALL_KILLED = "all_killed"


@dataclasses.dataclass(slots=True, kw_only=True)
class PlayResult:
    """Figures of one play.

    Attributes:
        purchased: Prepaid tokens.
        spent: Tokens used at servers, whether or not their router lived to settle them.
        requests: Requests in the ten seconds after a return.
        refused: Those of them that were refused while the budget could pay for them.
    """

    purchased: int
    spent: int = 0
    requests: int = 0
    refused: int = 0

    @property
    def overspent(self) -> int:
        """Tokens spent beyond the purchased total."""
        return max(0, self.spent - self.purchased)


class StoreReturnPlay:
    """One seeded play of a fleet whose store comes back from older copies."""

    def __init__(self, *, seed: int, trouble: Trouble, routers: int = 7):
        """Creates a play.

        Args:
            seed: Seed of times, ages and victims.
            trouble: What happens beside the returns.
            routers: Size of the fleet.
        """
        demand = routers * REQUESTS_PER_SECOND * USED_TOKENS * PLAY_SECONDS
        self._purchased = int(demand * BUDGET_SHARE)
        self._random = random.Random(seed)
        self._trouble = trouble
        self._names = [f"vm-{number}" for number in range(1, routers + 1)]
        self._fleet = MemoryFleet(seed=seed, settings=SETTINGS)
        self._result = PlayResult(purchased=self._purchased)
        self._returned_seconds: list[float] = []
        self._background: list[asyncio.Task[None]] = []

    async def play(self) -> PlayResult:
        """Plays and returns the figures."""
        for name in self._names:
            await self._start_router(name)
        workspace = {"budget_tokens": self._purchased, "models": [], "services": []}
        await self._fleet.configure(self._names[0], {"workspaces": {"w": workspace}})
        await asyncio.sleep(8.0)
        try:
            async with asyncio.timeout(PLAY_SECONDS):
                await asyncio.gather(
                    self._return_store_periodically(),
                    *(self._call_periodically(name) for name in self._names),
                )
        except TimeoutError:
            pass
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        await self._fleet.close()
        return self._result

    async def _start_router(self, name: str) -> None:
        router = await self._fleet.start_router(name)
        refill = router.application.budget.refill_periodically()
        self._background.append(asyncio.create_task(refill))

    async def _call_periodically(self, name: str) -> None:
        while True:
            await asyncio.sleep(self._random.expovariate(REQUESTS_PER_SECOND))
            router = self._fleet.routers[name]
            if router.alive:
                self._background.append(asyncio.create_task(self._call(name)))

    async def _call(self, name: str) -> None:
        router = self._fleet.routers[name]
        loop = asyncio.get_running_loop()
        budget = router.application.budget
        is_after_return = any(
            0 <= loop.time() - at <= AFTERMATH_SECONDS for at in self._returned_seconds
        )
        # A request is refused falsely only if the budget can pay for it.
        is_payable = self._result.spent + 2 * REQUEST_TOKENS < 0.97 * self._purchased
        counts = is_after_return and is_payable
        self._result.requests += counts
        try:
            reservation = await budget.reserve("w", REQUEST_TOKENS, loop.time() + 1.0)
        except RequestError:
            self._result.refused += counts
            return
        self._result.spent += USED_TOKENS
        await asyncio.sleep(REQUEST_SECONDS)
        if router.alive:
            budget.settle_unbilled(reservation, USED_TOKENS)

    async def _return_store_periodically(self) -> None:
        pause_seconds = PLAY_SECONDS / (RETURNS + 1)
        for _ in range(RETURNS):
            await asyncio.sleep(pause_seconds * self._random.uniform(0.7, 1.0))
            await self._begin_trouble()
            await self._return_store()
            await asyncio.sleep(2.0)
            await self._end_trouble()

    async def _return_store(self) -> None:
        store = self._fleet.store
        store.unreachable_clients.update(self._names)
        await asyncio.sleep(DOWNTIME_SECONDS)
        age_seconds = self._random.uniform(LEAST_AGE_SECONDS, GREATEST_AGE_SECONDS)
        store.state.rewind(seconds=age_seconds, rewritten_prefixes=("configuration",))
        store.unreachable_clients.difference_update(self._names)
        store.unreachable_clients.update(self._cut_off)
        self._returned_seconds.append(asyncio.get_running_loop().time())

    @property
    def _cut_off(self) -> set[str]:
        return {
            name
            for name in self._names
            if self._fleet.routers[name].address in self._fleet.hub.isolated
            and self._trouble is Trouble.CUTS
        }

    async def _begin_trouble(self) -> None:
        victim = self._random.choice(self._names)
        match self._trouble:
            case Trouble.NONE:
                return
            case Trouble.CUTS | Trouble.CUT_FROM_PEERS:
                if self._fleet.routers[victim].alive:
                    self._fleet.isolate(victim, from_store=self._trouble is Trouble.CUTS)
            case Trouble.ONE_KILLED | Trouble.ONE_LOST:
                if self._trouble is Trouble.ONE_LOST and self._returned_seconds:
                    return
                await self._fleet.kill(victim)
            case Trouble.ALL_KILLED:
                for name in self._names:
                    await self._fleet.kill(name)
        await asyncio.sleep(self._random.uniform(0.0, 3.0))

    async def _end_trouble(self) -> None:
        self._fleet.heal_partitions()
        if self._trouble is Trouble.ONE_LOST:
            return
        for name in self._names:
            if not self._fleet.routers[name].alive:
                await self._start_router(name)


def play_seed(seed: int, trouble: Trouble, routers: int = 7) -> PlayResult:
    """Plays one seed in virtual time and returns its figures."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(StoreReturnPlay(seed=seed, trouble=trouble, routers=routers).play())


def main() -> int:
    """Plays all combinations and prints their figures."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seeds", type=int, default=200, help="plays of each combination")
    parser.add_argument("--routers", type=int, default=7)
    parser.add_argument("--first-seed", type=int, default=0)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    has_overspent = False
    for trouble in Trouble:
        results = [
            play_seed(options.first_seed + i, trouble, options.routers)
            for i in range(options.seeds)
        ]
        overspent = sum(result.overspent for result in results)
        requests = sum(result.requests for result in results)
        refused = sum(result.refused for result in results)
        has_overspent = has_overspent or overspent > 0
        print(
            f"trouble={trouble.value} plays={len(results)} overspent={overspent} "
            f"plays_overspent={sum(result.overspent > 0 for result in results)} "
            f"spent_share={sum(r.spent / r.purchased for r in results) / len(results):.3f} "
            f"refused_after_return={refused / max(1, requests):.3f} of {requests}",
            flush=True,
        )
    return 1 if has_overspent else 0


if __name__ == "__main__":
    sys.exit(main())
