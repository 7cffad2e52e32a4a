"""Measures what it costs to remember where streams began, for docs/CAPACITY.md.

A record is written in a fleet of the planned size, without a transport, and one message with one
record is exchanged by two routers over loopback. The costs of both are added up for a request.
"""

import asyncio
import logging
import random
import sys
import time
import tracemalloc

import uvloop
from laburnumpier_core.clock import SystemClock
from laburnumpier_core.metrics import Metrics
from laburnumpier_router.fleet.member import GossipEntry, Member, MemberState
from laburnumpier_router.fleet.peer_link import PeerLink
from laburnumpier_router.fleet.peer_network import PynngPeerNetwork
from laburnumpier_router.fleet.view import FleetView
from laburnumpier_router.forward import origin_messages
from laburnumpier_router.forward.origin_memory import MAX_KEPT_ORIGINS, OriginMemory
from laburnumpier_router.forward.stream_origin import StreamOrigin
from laburnumpier_router.forward.stream_origins import StreamOrigins
from laburnumpier_standins.memory_fleet import make_settings

from .local_fleet import find_free_port
from .slopes import print_slope, read_memory_megabytes

ROUTER_COUNT = 420
DATA_CENTRE_COUNT = 16
RECORD_COUNT = 2_000
MESSAGE_COUNT = 2_000
CONNECTION_COUNT = 200
KEEP_SECONDS = 120.0
CALL_TIMEOUT_SECONDS = 5.0
FLEET_TOKEN = "f" * 32
ORIGIN = StreamOrigin(service="assistant-chat", software_version="v1.2")


def make_incarnation(number: int) -> str:
    """Returns an incarnation of the usual length."""
    return f"frontend-{number:03d}@{1_764_790_000_000_000_000 + number}"


def make_attempt(source: random.Random) -> str:
    """Returns an attempt id of the usual length."""
    return f"{source.getrandbits(64):016x}"


class _SilentFleet:
    """A fleet of the planned size whose members take every message at once."""

    def __init__(self):
        members = [
            Member(
                incarnation=make_incarnation(number),
                vm=f"frontend-{number:03d}",
                data_centre=f"dc-{number % DATA_CENTRE_COUNT}",
                peers_address=f"10.0.{number // 256}.{number % 256}:7000",
            )
            for number in range(ROUTER_COUNT)
        ]
        self.member = members[0]
        self.view = FleetView(self_member=members[0], suspicion_timeout_seconds=60.0)
        for member in members[1:]:
            entry = GossipEntry(member=member, counter=1, state=MemberState.SERVING)
            self.view.merge_entry(entry, asyncio.get_running_loop().time())

    async def call(self, peer: str, message: object, timeout_seconds: float) -> object:
        """Takes a message."""
        return origin_messages.OriginsKept()


async def measure_records() -> None:
    """Prints the processor time of writing a record at the planned size, without a transport."""
    origins = StreamOrigins(fleet=_SilentFleet(), clock=SystemClock(), metrics=Metrics())
    source = random.Random(1)
    attempts = [make_attempt(source) for _ in range(RECORD_COUNT)]
    started = time.process_time()
    for attempt in attempts:
        origins.record(attempt, ORIGIN, KEEP_SECONDS)
        await asyncio.sleep(0)
    while origins.untold_count:
        await asyncio.sleep(0.001)
    used_seconds = time.process_time() - started
    await origins.close()
    print_slope(f"router_of_{ROUTER_COUNT}", "record", used_seconds / RECORD_COUNT * 1e6, "cpu_us")


def make_link(name: str, address: str, metrics: Metrics) -> PeerLink:
    """Returns a link over pynng that knows the messages about origins."""
    settings = make_settings({"router.peers_address": address})
    return PeerLink(
        network=PynngPeerNetwork(settings=settings),
        self_name=name,
        token=FLEET_TOKEN,
        message_types=origin_messages.MESSAGE_TYPES,
        metrics=metrics,
    )


async def measure_messages() -> None:
    """Prints bytes and processor time, of both ends, of one message with one record."""
    metrics = Metrics()
    address = f"127.0.0.1:{find_free_port()}"
    receiver = make_link(make_incarnation(2), address, metrics)
    sender = make_link(make_incarnation(1), f"127.0.0.1:{find_free_port()}", metrics)
    origins = StreamOrigins(fleet=_SilentFleet(), clock=SystemClock(), metrics=metrics)
    receiver.register_handler(origin_messages.TellOrigins, origins.handle_tell)
    await receiver.start()
    source = random.Random(2)

    async def send() -> None:
        message = origin_messages.group_origins([(make_attempt(source), ORIGIN, KEEP_SECONDS)])
        await sender.call(address, make_incarnation(2), message, CALL_TIMEOUT_SECONDS)

    await send()
    bytes_before = metrics.counters["peer.bytes_sent"]
    started = time.process_time()
    for _ in range(MESSAGE_COUNT):
        await send()
    used_seconds = time.process_time() - started
    sent_bytes = metrics.counters["peer.bytes_sent"] - bytes_before
    print_slope("origin_message", "message", sent_bytes / MESSAGE_COUNT, "bytes_with_reply")
    print_slope("origin_message", "message", used_seconds / MESSAGE_COUNT * 1e6, "cpu_us")
    await sender.close()
    await receiver.close()


async def measure_memory() -> None:
    """Prints the memory of one remembered origin in a full memory."""
    memory = OriginMemory(clock=SystemClock(), metrics=Metrics())
    source = random.Random(3)
    tracemalloc.start()
    for _ in range(MAX_KEPT_ORIGINS):
        memory.keep(make_attempt(source), ORIGIN, KEEP_SECONDS)
    added_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print_slope("router", "kept_origin", added_bytes / len(memory), "bytes")


async def measure_connections() -> None:
    """Prints the memory of a connection to another router, both ends, in one process."""
    metrics = Metrics()
    address = f"127.0.0.1:{find_free_port()}"
    receiver = make_link(make_incarnation(2), address, metrics)
    origins = StreamOrigins(fleet=_SilentFleet(), clock=SystemClock(), metrics=metrics)
    receiver.register_handler(origin_messages.TellOrigins, origins.handle_tell)
    await receiver.start()
    message = origin_messages.group_origins([("a" * 16, ORIGIN, KEEP_SECONDS)])
    senders = []
    memory_before = read_memory_megabytes("self")
    for number in range(CONNECTION_COUNT):
        sender = make_link(make_incarnation(number), f"127.0.0.1:{number + 1}", metrics)
        await sender.call(address, make_incarnation(2), message, CALL_TIMEOUT_SECONDS)
        senders.append(sender)
    added_megabytes = read_memory_megabytes("self") - memory_before
    kilobytes = added_megabytes * 1024 / CONNECTION_COUNT
    print_slope("router", "peer_connection", kilobytes, "kilobytes_both_ends")
    for sender in senders:
        await sender.close()
    await receiver.close()


def main() -> int:
    """Runs all measurements."""
    logging.disable(logging.CRITICAL)
    # Routers run on this kind of event loop.
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure_memory())
        runner.run(measure_records())
        runner.run(measure_messages())
        runner.run(measure_connections())
    return 0


if __name__ == "__main__":
    sys.exit(main())
