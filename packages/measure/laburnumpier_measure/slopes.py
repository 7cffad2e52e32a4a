"""Measures how the cost of control grows, for docs/CAPACITY.md.

Messages, bytes and store calls come from whole router applications on a virtual clock;
processor time and memory from idle router processes on loopback. Each line is one slope or
constant.
"""

import asyncio
import dataclasses
import logging
import pathlib
import sys
import time
import tracemalloc

import msgspec
from laburnumpier_router.budget.account import Account, Grant, Shard
from laburnumpier_router.budget.slot import Bill, Charge, Slot
from laburnumpier_standins.memory_backends import MemoryServer
from laburnumpier_standins.memory_fleet import MemoryFleet
from laburnumpier_standins.virtual_loop import run_in_virtual_time

from .bench import read_cpu_seconds
from .local_fleet import LocalFleet, make_configuration

FLEET_SIZES = (3, 9, 27, 81)
PROCESS_COUNTS = (3, 9, 27)
IDLE_SECONDS = 60.0
LOAD_SECONDS = 60.0
PROCESS_SECONDS = 10.0
SAMPLE_COUNT = 2000


def print_slope(role: str, per: str, value: float, unit: str) -> None:
    """Prints one line of the report."""
    print(f"slope role={role} per={per} value={value:.4g} unit={unit}", flush=True)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlCost:
    """Cost of one run, averaged over routers where it says so."""

    messages_per_s: float
    bytes_per_s: float
    store_calls_per_s: float
    store_writes_per_s: float


async def start_fleet(routers: int, budgets: int) -> MemoryFleet:
    """Starts a fleet with one model, a few servers and the given number of budgets."""
    fleet = MemoryFleet(seed=1)
    for index in range(routers):
        await fleet.start_router(f"vm-{index}", f"dc-{index % 3}")
    urls = {f"s{i}": fleet.add_server(MemoryServer(name=f"s{i}", capacity=64)) for i in range(6)}
    document = {
        "servers": {name: {"url": url} for name, url in urls.items()},
        "models": {"m": {"servers": list(urls)}},
        "workspaces": {
            f"w{i}": {"budget_tokens": 10_000_000, "models": ["m"]} for i in range(budgets)
        },
    }
    await fleet.configure("vm-0", document)
    await asyncio.sleep(20)
    return fleet


async def measure_control(routers: int, budgets: int, requests_per_s: float) -> ControlCost:
    """Runs a fleet under a steady load and returns its cost of control."""
    fleet = await start_fleet(routers, budgets)
    names = list(fleet.routers)

    def add_up(counter: str) -> int:
        applications = [router.application for router in fleet.routers.values()]
        return sum(app.metrics.counters.get(counter, 0) for app in applications)

    async def play_load(seconds: float) -> None:
        tasks = []
        for index in range(int(seconds * requests_per_s)):
            chat = fleet.chat(
                names[index % routers], f"w{index % budgets}", max_tokens=20, deadline=60
            )
            tasks.append(asyncio.create_task(chat))
            await asyncio.sleep(1.0 / requests_per_s)
        await asyncio.gather(*tasks)

    if requests_per_s:
        await play_load(20.0)
    before = (add_up("peer.messages_sent"), add_up("peer.bytes_sent"), fleet.store.state.calls)
    revision = fleet.store.state.revision
    seconds = IDLE_SECONDS
    if requests_per_s:
        seconds = LOAD_SECONDS
        await play_load(LOAD_SECONDS)
    else:
        await asyncio.sleep(IDLE_SECONDS)
    cost = ControlCost(
        messages_per_s=(add_up("peer.messages_sent") - before[0]) / seconds / routers,
        bytes_per_s=(add_up("peer.bytes_sent") - before[1]) / seconds / routers,
        store_calls_per_s=(fleet.store.state.calls - before[2]) / seconds,
        store_writes_per_s=(fleet.store.state.revision - revision) / seconds,
    )
    await fleet.close()
    return cost


def measure_fleet_sizes() -> None:
    """Prints the cost of control against the number of routers, without load."""
    for routers in FLEET_SIZES:
        cost = run_in_virtual_time(measure_control(routers, 10, 0))
        print_slope(f"router_of_{routers}", "second", cost.messages_per_s, "messages_sent")
        print_slope(f"router_of_{routers}", "second", cost.bytes_per_s, "bytes_sent")
        print_slope(f"fleet_of_{routers}", "second", cost.store_calls_per_s, "store_calls")


def measure_load() -> None:
    """Prints store calls against requests, routers and budgets."""
    for routers, budgets, rate in (
        (3, 10, 50),
        (9, 10, 25),
        (9, 10, 50),
        (9, 10, 100),
        (9, 10, 200),
        (9, 40, 100),
        (27, 10, 100),
    ):
        cost = run_in_virtual_time(measure_control(routers, budgets, rate))
        role = f"fleet_of_{routers}_budgets_{budgets}_requests_{rate}"
        print_slope(role, "second", cost.store_calls_per_s, "store_calls")
        print_slope(role, "second", cost.store_writes_per_s, "store_writes")


def measure_records() -> None:
    """Prints the size of stored records and of state in memory."""
    holder = "vm-123@1764790000000000000"
    grants = {f"{holder}/w{i}/7": Grant(holder=holder, amount=100_000) for i in range(3)}
    account = Account(
        configured=10**9,
        configuration_number=5000,
        settled=10**8,
        grants=grants,
        last_sequences={holder: 7},
    )
    shard = Shard(accounts={f"workspace-{i}": account for i in range(SAMPLE_COUNT)})
    size = len(msgspec.msgpack.encode(shard)) / SAMPLE_COUNT
    print_slope("store", "account_with_3_grants", size, "bytes")
    plain = Shard(
        accounts={f"workspace-{i}": Account(configured=10**9) for i in range(SAMPLE_COUNT)}
    )
    print_slope(
        "store", "idle_account", len(msgspec.msgpack.encode(plain)) / SAMPLE_COUNT, "bytes"
    )
    bill = Bill(
        workspace="workspace-1",
        request_id="r-0123456789abcdef0123456789abcdef",
        body_hash="0" * 32,
        tokens=500,
        charges=(Charge(grant_id=f"{holder}/w/7", tokens=500),),
        target="model-1",
        server="server-123",
        router=holder,
        finished_at=1.7e9,
    )
    slot = Slot(body_hash=bill.body_hash, bill=bill)
    print_slope("store", "bill", len(msgspec.msgpack.encode(slot)), "bytes")
    started = time.process_time()
    for _ in range(20):
        msgspec.msgpack.decode(msgspec.msgpack.encode(shard), type=Shard)
    seconds = (time.process_time() - started) / 20 / SAMPLE_COUNT
    print_slope("home", "account_in_written_shard", seconds * 1e6, "cpu_us")


def measure_memory() -> None:
    """Prints the memory of a router's state for each budget in use."""

    async def grow() -> float:
        fleet = await start_fleet(1, SAMPLE_COUNT)
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        budget = fleet.routers["vm-0"].application.budget
        for index in range(SAMPLE_COUNT):
            deadline = asyncio.get_running_loop().time() + 60
            budget.release(await budget.reserve(f"w{index}", 100, deadline))
        grown = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        await fleet.close()
        return grown / SAMPLE_COUNT

    print_slope("router", "budget_in_use", run_in_virtual_time(grow()), "bytes")


def read_memory_megabytes(pid: int) -> float:
    """Returns the resident memory of a process."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


async def measure_processes(count: int) -> None:
    """Prints processor time and memory of idle router processes."""
    async with LocalFleet(settings={"log.log_level": "WARNING"}) as fleet:
        await fleet.start_platform()
        engine = await fleet.start_engine("dairy", token_seconds=0.0, words=4)
        for index in range(count):
            await fleet.start_router(f"vm-{index}", f"dc-{index % 3}")
        document = make_configuration({"engine-0": engine.url}, {}, {"office": 1000})
        await fleet.call_operator(
            fleet.routers[0], "PATCH", "/configuration", document, {"If-Match": '"0"'}
        )
        await asyncio.sleep(8)
        pids = [router.process.pid for router in fleet.routers]
        before = sum(read_cpu_seconds(pid) for pid in pids)
        await asyncio.sleep(PROCESS_SECONDS)
        used = sum(read_cpu_seconds(pid) for pid in pids) - before
        memory = sum(read_memory_megabytes(pid) for pid in pids) / count
    share = 100.0 * used / PROCESS_SECONDS / count
    print_slope(f"process_of_{count}", "second", share, "percent_of_a_core")
    print_slope(f"process_of_{count}", "process", memory, "megabytes")


def main() -> int:
    """Prints all slopes."""
    logging.disable(logging.CRITICAL)
    measure_records()
    measure_memory()
    measure_fleet_sizes()
    measure_load()
    for count in PROCESS_COUNTS:
        asyncio.run(measure_processes(count))
    return 0


if __name__ == "__main__":
    sys.exit(main())
