"""Steps about fleet membership, the configuration in force and leaving backend servers."""

import asyncio
import random

import msgspec
from behave import given, then, when
from fleet_steps import DATA_CENTRES, router_name, run
from laburnumpier_core.errors import StoreError
from laburnumpier_router.configuration.record import CONFIGURATION_KEY, ConfigurationRecord
from laburnumpier_router.configuration.service import InvalidPatchError, PatchConflictError
from laburnumpier_router.fleet.member import GossipEntry, Member, MemberState
from laburnumpier_router.fleet.view import FleetView
from laburnumpier_standins.store_state import Entry


def list_live_routers(context):
    return [router for router in context.fleet.routers.values() if router.alive]


def find_homes(router, count):
    return [router.application.fleet.find_home(f"key-{i}") for i in range(count)]


@then("every router sees {count:d} live peers")
def check_all_live_counts(context, count):
    for router in list_live_routers(context):
        seen = router.application.fleet.view.live
        assert len(seen) == count, (router.name, seen)


@then("router {number:d} sees {count:d} live peers")
def check_live_count(context, number, count):
    view = context.fleet.routers[router_name(number)].application.fleet.view
    assert len(view.live) == count, view.live


@then("all routers agree on the home of {count:d} keys")
def check_homes_agree(context, count):
    homes = {tuple(find_homes(router, count)) for router in list_live_routers(context)}
    assert len(homes) == 1


@when("router 1 and the store are cut off from the other routers")
def partition_first_router(context):
    addresses = [router.address for router in context.fleet.routers.values()]
    context.fleet.hub.partition(addresses[:1], addresses[1:])
    context.fleet.store.unreachable_clients.update(list(context.fleet.routers)[1:])


@when("the homes of {count:d} keys are recorded")
def record_homes(context, count):
    context.homes = find_homes(context.fleet.routers["vm-1"], count)


@then("only keys that were placed on router {number:d} have moved")
def check_moved_homes(context, number):
    after = find_homes(context.fleet.routers["vm-1"], len(context.homes))
    pairs = list(zip(context.homes, after, strict=True))
    assert all((old != new) == old.startswith(router_name(number)) for old, new in pairs)
    assert any(old != new for old, new in pairs)


@when("every router is replaced gracefully while chats are sent")
def replace_all_routers(context):
    async def send_chats(stopped):
        index = 0
        chats = []
        while not stopped.is_set():
            names = [router.name for router in list_live_routers(context)]
            index += 1
            chat = context.fleet.chat(names[index % len(names)], "w", max_tokens=20)
            chats.append(asyncio.create_task(chat))
            await asyncio.sleep(0.1)
        return await asyncio.gather(*chats)

    async def replace_while_sending():
        stopped = asyncio.Event()
        sending = asyncio.create_task(send_chats(stopped))
        for index, name in enumerate(list(context.fleet.routers)):
            await asyncio.sleep(2)
            await context.fleet.stop(name)
            await context.fleet.start_router(name, DATA_CENTRES[index % 3])
        stopped.set()
        return await sending

    context.outcomes.extend(run(context, replace_while_sending()))


@when("all routers are killed and started again")
def restart_all_routers(context):
    async def kill_and_start():
        names = list(context.fleet.routers)
        for name in names:
            await context.fleet.kill(name)
        await asyncio.gather(
            *(
                context.fleet.start_router(name, DATA_CENTRES[index % 3])
                for index, name in enumerate(names)
            )
        )

    run(context, kill_and_start())


async def patch_once(context, router="vm-1", priority=3):
    patch = {"workspaces": {"w": {"priority": priority}}}
    context.number = await context.fleet.configure(router, patch)


@given("the configuration was patched {count:d} times")
def patch_repeatedly(context, count):
    for index in range(count):
        run(context, patch_once(context, priority=index))
    run(context, asyncio.sleep(5))


@when("the configuration is patched")
def patch_configuration(context):
    run(context, patch_once(context))


@given("the member record of VM {vm} is {content}")
def spoil_member_record(context, vm, content):
    values = {
        "no MessagePack": b"\xc1\xff{",
        "a record of an unknown format": msgspec.msgpack.encode({"member": 5, "departed": "x"}),
        "empty": b"",
    }
    context.fleet.store.state.commit({}, [(f"members/{vm}", values[content], 0)])


@when("{count:d} other routers start at the same time in {centres:d} data centres")
def start_many(context, count, centres):
    fleet = context.fleet
    context.calls_before = fleet.store.state.call_count
    context.started = [f"z-{number:03d}" for number in range(count)]

    async def start_one(number, name):
        await asyncio.sleep(0.3 * context.random.random())
        await fleet.start_router(name, f"dc-z{number % centres}")

    async def start_all():
        await asyncio.gather(*(start_one(n, name) for n, name in enumerate(context.started)))
        context.calls_of_start = fleet.store.state.call_count - context.calls_before

    context.random = random.Random(7)
    run(context, start_all())


@then("the first {count:d} routers of each data centre know all routers there")
def check_known_in_centre(context, count):
    by_centre = {}
    for name in context.started:
        member = context.fleet.routers[name].application.fleet.member
        by_centre.setdefault(member.data_centre, []).append(member)
    for members in by_centre.values():
        names = {member.incarnation for member in members}
        for first in sorted(members, key=lambda member: member.incarnation)[:count]:
            view = context.fleet.routers[first.vm].application.fleet.view
            missing = names - set(view.live) - {first.incarnation}
            assert not missing, (first.incarnation, len(missing), len(names))


@then("the store received at most {count:g} calls for each of them")
def check_calls_of_start(context, count):
    calls = context.calls_of_start / len(context.started)
    assert calls <= count, calls


@when("router {number:d} starts")
def start_router(context, number):
    run(context, context.fleet.start_router(router_name(number), "dc-a"))


@then("router {number:d} has the same configuration number as the others")
def check_same_number(context, number):
    numbers = {router.application.configuration.number for router in list_live_routers(context)}
    assert len(numbers) == 1, numbers


@when("operators at all routers patch the same number at once")
def submit_concurrent_patches(context):
    async def submit(router, index):
        service = router.application.configuration
        patch = {"workspaces": {"w": {"priority": index % 10}}}
        try:
            record = await service.submit_patch(patch, 1, f"race-{index}", f"operator {index}")
        except (PatchConflictError, InvalidPatchError, StoreError):
            return None
        return record.find_note(f"race-{index}")

    async def submit_all():
        return await asyncio.gather(
            *(submit(router, index) for index, router in enumerate(list_live_routers(context)))
        )

    context.accepted = [note for note in run(context, submit_all()) if note is not None]


def read_stored(context):
    entry = context.fleet.store.state.entries[CONFIGURATION_KEY]
    return msgspec.json.decode(entry.value, type=ConfigurationRecord)


@then("exactly one patch was accepted")
def check_one_accepted(context):
    assert len(context.accepted) == 1, context.accepted
    assert read_stored(context).number == 2


@then("the accepted patch is in force on every router")
def check_accepted_in_force(context):
    (note,) = context.accepted
    for router in list_live_routers(context):
        record = router.application.configuration.record
        assert record.find_note(note.patch_id) == note, router.name


@when("an operator sends the same patch {count:d} times with one id")
def resubmit_patch(context, count):
    async def submit_repeatedly():
        service = context.fleet.routers["vm-2"].application.configuration
        for _ in range(count):
            try:
                await service.submit_patch(
                    {"workspaces": {"w": {"priority": 2}}}, 1, "patch-once", "test"
                )
            except StoreError:
                continue

    run(context, submit_repeatedly())


@then("the configuration number in the store has increased by 1")
def check_number_increased(context):
    assert read_stored(context).number == 2


@then("the new configuration is in force on every router within {seconds:d} seconds")
def check_in_force_within(context, seconds):
    async def wait_until_in_force():
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() <= end:
            numbers = [
                router.application.configuration.number for router in list_live_routers(context)
            ]
            if min(numbers) >= context.number:
                return True
            await asyncio.sleep(0.05)
        return False

    assert run(context, wait_until_in_force())


@then("the new configuration is in force on every router")
def check_in_force_everywhere(context):
    for router in list_live_routers(context):
        assert router.application.configuration.number == context.number, router.name


@then("at most {count:d} routers of each data centre watch the store")
def check_watchers(context, count):
    watchers = {}
    for router in list_live_routers(context):
        if router.application.watches_store():
            data_centre = router.application.fleet.member.data_centre
            watchers[data_centre] = watchers.get(data_centre, 0) + 1
    assert all(1 <= number <= count for number in watchers.values()), watchers


@given("routers 5 and 6 are cut off from the store only")
def disconnect_from_store(context):
    context.fleet.store.unreachable_clients.update({"vm-5", "vm-6"})


@when("the store returns the oldest configuration to every reader")
def return_oldest(context):
    state = context.fleet.store.state
    old = msgspec.json.encode(ConfigurationRecord(number=1, document={}))
    current = state.entries[CONFIGURATION_KEY]
    state.entries[CONFIGURATION_KEY] = Entry(
        value=old, revision=current.revision + 1000, lease_id=0
    )


@then("no router has reverted to an older configuration")
def check_not_reverted(context):
    for router in list_live_routers(context):
        assert router.application.configuration.number >= context.number


@then("the new configuration is in force on router 1 only")
def check_in_force_on_first_only(context):
    for router in list_live_routers(context):
        number = router.application.configuration.number
        assert (number == context.number) == (router.name == "vm-1"), router.name


def get_server(context, name):
    return context.fleet.backends.servers[f"http://{name}"]


@given("no fault is injected")
def inject_no_fault(context):
    """Placeholder for table rows without a fault."""


@given("the VM list is outdated")
def make_vm_list_outdated(context):
    context.fleet.vm_list.set({"vm-s0": "live"})


@when("server {name} is reported as leaving by {source}")
def report_leaving(context, name, source):
    async def report():
        if source == "the server itself":
            get_server(context, name).leaving = True
        elif source == "the configuration":
            await context.fleet.configure("vm-1", {"servers": {name: {"leaving": True}}})
        else:
            context.fleet.vm_list.set({f"vm-{name}": "leaving"})

    run(context, report())
    context.started_before = len(get_server(context, name).started)


@then("no chat was sent to server {name} after that")
def check_no_new_chats(context, name):
    started = get_server(context, name).started
    assert len(started) == context.started_before, len(started) - context.started_before


@when("server {name} stops responding")
def silence_server(context, name):
    get_server(context, name).silent = True
    context.started_before = len(get_server(context, name).started)


@when("server {name} responds again")
def restore_server(context, name):
    get_server(context, name).silent = False


@then("server {name} was sent chats again")
def check_new_chats(context, name):
    assert len(get_server(context, name).started) > context.started_before


class CountingView(FleetView):
    """A view that counts how often all members are looked at."""

    looks = 0

    def refresh(self, now_seconds):
        """Counts and refreshes."""
        self.looks += 1
        super().refresh(now_seconds)


def make_member(number):
    return Member(
        incarnation=f"vm-{number:03d}@1", vm=f"vm-{number:03d}", data_centre="dc", peers_address=""
    )


@when(
    "a view of {count:d} members merges {rounds:d} newer entries about each, all within a second"
)
def merge_entries(context, count, rounds):
    context.view = CountingView(self_member=make_member(999), suspicion_timeout_seconds=5.0)
    for counter in range(rounds + 1):
        for number in range(count):
            merge(context.view, number, counter, 100.0 + counter / rounds)


def merge(view, number, counter, now_seconds):
    entry = GossipEntry(member=make_member(number), counter=counter, state=MemberState.SERVING)
    view.merge_entry(entry, now_seconds)


@then("the members were looked at all together at most {count:d} times")
def check_looks(context, count):
    assert context.view.looks <= count, context.view.looks


@then("the view has {count:d} live members")
def check_live_members(context, count):
    assert len(context.view.live) == count, len(context.view.live)


@when(
    "{count:d} of them are silent for longer than the suspicion timeout while the others are not"
)
def silence_members(context, count):
    for number in range(count, len(context.view.known)):
        merge(context.view, number, 10, 107.0)
    context.view.refresh(107.0)
