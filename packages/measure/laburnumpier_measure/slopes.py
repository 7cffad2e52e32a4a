"""Measures how control-plane overhead grows with the fleet, for docs/CAPACITY.md.

Messages, bytes and store calls are counted in complete router applications on a virtual clock.
Processor time and memory are read from idle router processes on loopback. Each printed line is
one slope or constant.
"""

import asyncio
import dataclasses
import logging
import pathlib
import sys
import time
import tracemalloc

import msgspec
from laburnumpier_core.decoding import decode_msgpack
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
PROCESS_SAMPLE_SECONDS = 10.0
ACCOUNT_COUNT = 2000


def print_slope(role: str, per: str, value: float, unit: str) -> None:
    """Prints one measured value.

    Args:
        role: Component that has the cost, for example `router_of_9` for a router of a fleet of 9.
        per: Period or item to which the value refers, for example `second`.
        value: The measured value in `unit`.
        unit: Unit of the value, for example `bytes_sent`.
    """
    print(f"slope role={role} per={per} value={value:.4g} unit={unit}", flush=True)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlOverhead:
    """Control-plane overhead of one run.

    Messages and bytes are means per router; store calls and writes are totals of the fleet.
    """

    messages_per_s: float
    bytes_per_s: float
    store_calls_per_s: float
    store_writes_per_s: float


async def start_fleet(routers: int, budgets: int) -> MemoryFleet:
    """Starts a fleet with one model, six servers and the given number of budgets."""
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


async def measure_control_overhead(
    routers: int, budgets: int, requests_per_s: float
) -> ControlOverhead:
    """Measures the overhead of a fleet under a constant request rate, or of an idle fleet."""
    fleet = await start_fleet(routers, budgets)
    router_names = list(fleet.routers)

    def sum_counter(counter: str) -> int:
        applications = [router.application for router in fleet.routers.values()]
        return sum(application.metrics.counters.get(counter, 0) for application in applications)

    async def generate_load(seconds: float) -> None:
        tasks = []
        for index in range(int(seconds * requests_per_s)):
            chat = fleet.chat(
                router_names[index % routers], f"w{index % budgets}", max_tokens=20, deadline=60
            )
            tasks.append(asyncio.create_task(chat))
            await asyncio.sleep(1.0 / requests_per_s)
        await asyncio.gather(*tasks)

    if requests_per_s:
        await generate_load(20.0)
    counters_before = (
        sum_counter("peer.messages_sent"),
        sum_counter("peer.bytes_sent"),
        fleet.store.state.call_count,
    )
    revision_before = fleet.store.state.revision
    seconds = IDLE_SECONDS
    if requests_per_s:
        seconds = LOAD_SECONDS
        await generate_load(LOAD_SECONDS)
    else:
        await asyncio.sleep(IDLE_SECONDS)
    overhead = ControlOverhead(
        messages_per_s=(sum_counter("peer.messages_sent") - counters_before[0])
        / seconds
        / routers,
        bytes_per_s=(sum_counter("peer.bytes_sent") - counters_before[1]) / seconds / routers,
        store_calls_per_s=(fleet.store.state.call_count - counters_before[2]) / seconds,
        store_writes_per_s=(fleet.store.state.revision - revision_before) / seconds,
    )
    await fleet.close()
    return overhead


def measure_fleet_sizes() -> None:
    """Prints the overhead of idle fleets of several sizes."""
    for routers in FLEET_SIZES:
        overhead = run_in_virtual_time(measure_control_overhead(routers, 10, 0))
        print_slope(f"router_of_{routers}", "second", overhead.messages_per_s, "messages_sent")
        print_slope(f"router_of_{routers}", "second", overhead.bytes_per_s, "bytes_sent")
        print_slope(f"fleet_of_{routers}", "second", overhead.store_calls_per_s, "store_calls")


def measure_store_calls_under_load() -> None:
    """Prints store calls and writes for several request rates, fleet sizes and budget counts."""
    for routers, budgets, rate in (
        (3, 10, 50),
        (9, 10, 25),
        (9, 10, 50),
        (9, 10, 100),
        (9, 10, 200),
        (9, 40, 100),
        (27, 10, 100),
    ):
        overhead = run_in_virtual_time(measure_control_overhead(routers, budgets, rate))
        role = f"fleet_of_{routers}_budgets_{budgets}_requests_{rate}"
        print_slope(role, "second", overhead.store_calls_per_s, "store_calls")
        print_slope(role, "second", overhead.store_writes_per_s, "store_writes")


def measure_record_sizes() -> None:
    """Prints the size of stored records and the processor time of writing an account."""
    holder = "vm-123@1764790000000000000"
    grants = {f"{holder}/w{i}/7": Grant(holder=holder, amount=100_000) for i in range(3)}
    account = Account(
        configured=10**9,
        configuration_number=5000,
        settled=10**8,
        grants=grants,
        last_sequences={holder: 7},
    )
    shard = Shard(accounts={f"workspace-{i}": account for i in range(ACCOUNT_COUNT)})
    account_bytes = len(msgspec.msgpack.encode(shard)) / ACCOUNT_COUNT
    print_slope("store", "account_with_3_grants", account_bytes, "bytes")
    idle_shard = Shard(
        accounts={f"workspace-{i}": Account(configured=10**9) for i in range(ACCOUNT_COUNT)}
    )
    print_slope(
        "store", "idle_account", len(msgspec.msgpack.encode(idle_shard)) / ACCOUNT_COUNT, "bytes"
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
        decode_msgpack(msgspec.msgpack.encode(shard), Shard)
    seconds = (time.process_time() - started) / 20 / ACCOUNT_COUNT
    print_slope("home", "account_in_written_shard", seconds * 1e6, "cpu_us")


def measure_state_memory() -> None:
    """Prints the memory of a router's state per budget in use."""

    async def measure_growth() -> float:
        fleet = await start_fleet(1, ACCOUNT_COUNT)
        tracemalloc.start()
        bytes_before = tracemalloc.get_traced_memory()[0]
        budget = fleet.routers["vm-0"].application.budget
        for index in range(ACCOUNT_COUNT):
            deadline = asyncio.get_running_loop().time() + 60
            budget.release(await budget.reserve(f"w{index}", 100, deadline))
        added_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
        tracemalloc.stop()
        await fleet.close()
        return added_bytes / ACCOUNT_COUNT

    print_slope("router", "budget_in_use", run_in_virtual_time(measure_growth()), "bytes")


def read_memory_megabytes(pid: int | str) -> float:
    """Returns the resident set size of a process in mebibytes."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


async def measure_idle_processes(count: int) -> None:
    """Prints processor time and memory of the given number of idle router processes."""
    async with LocalFleet(settings={"log.log_level": "WARNING"}) as fleet:
        await fleet.start_platform()
        engine = await fleet.start_engine("dairy", token_seconds=0.0, answer_tokens=4)
        for index in range(count):
            await fleet.start_router(f"vm-{index}", f"dc-{index % 3}")
        document = make_configuration({"engine-0": engine.url}, {}, {"office": 1000})
        await fleet.call_operator(
            fleet.routers[0], "PATCH", "/configuration", document, {"If-Match": '"0"'}
        )
        await asyncio.sleep(8)
        pids = [router.process.pid for router in fleet.routers]
        cpu_seconds_before = sum(read_cpu_seconds(pid) for pid in pids)
        await asyncio.sleep(PROCESS_SAMPLE_SECONDS)
        used_cpu_seconds = sum(read_cpu_seconds(pid) for pid in pids) - cpu_seconds_before
        mean_megabytes = sum(read_memory_megabytes(pid) for pid in pids) / count
    core_percent = 100.0 * used_cpu_seconds / PROCESS_SAMPLE_SECONDS / count
    print_slope(f"process_of_{count}", "second", core_percent, "percent_of_a_core")
    print_slope(f"process_of_{count}", "process", mean_megabytes, "megabytes")


def main() -> int:
    """Runs all measurements."""
    logging.disable(logging.CRITICAL)
    measure_record_sizes()
    measure_state_memory()
    measure_fleet_sizes()
    measure_store_calls_under_load()
    for count in PROCESS_COUNTS:
        asyncio.run(measure_idle_processes(count))
    return 0


if __name__ == "__main__":
    sys.exit(main())
