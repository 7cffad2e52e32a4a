"""Steps for data of other processes that cannot be decoded."""

import ast
import asyncio
import pathlib
import random

import msgspec
from behave import given, then, when
from contract_steps import make_link, run
from laburnumpier_core.decoding import decode_json, decode_msgpack
from laburnumpier_core.errors import (
    PeerUnreachableError,
    StoredValueError,
    StoreError,
    UnreadableDataError,
)
from laburnumpier_router.budget.account import Shard
from laburnumpier_router.configuration.peer_sources import FetchConfiguration
from laburnumpier_router.fleet.member import Member, MemberRecord
from laburnumpier_router.fleet.registry import MEMBER_PREFIX, MemberRegistry
from laburnumpier_router.forward.servers import ServerTable
from laburnumpier_router.forward.version_history import RECORD_KEY, VersionHistory
from laburnumpier_router.ports.key_value_service import StoredValue, decode_record
from laburnumpier_router.ports.store_era import UNKNOWN_ERA, StorePosition
from laburnumpier_standins.memory_network import MemoryPeerNetwork, NetworkHub
from laburnumpier_standins.memory_store import MemoryKeyValueService, StoreControl
from laburnumpier_standins.virtual_loop import VirtualClock

DECODING_MODULE = "packages/core/laburnumpier_core/decoding.py"
SOURCE_PATTERNS = (
    "packages/core/**/*.py",
    "packages/router/**/*.py",
    "packages/operator/**/*.py",
    "packages/measure/**/*.py",
    "platform/laburnumpier_platform/**/*.py",
)
NESTED_JSON = b'{"other":' + b"[" * 3000 + b"]" * 3000 + b"}"
NESTED_ARRAYS = b"\x91" * 5000 + b"\x01"
NESTED_MESSAGE = b"\x81\xa5other" + NESTED_ARRAYS
NESTED_ENVELOPE = b"\x94\xa1a\xa3b@2\xa5fleet" + NESTED_ARRAYS
NESTED_REPLY = b"\x82\xa4type\xb4ConfigurationFetched\xa5other" + NESTED_ARRAYS


class Entry(msgspec.Struct):
    """A value with a field of each kind."""

    number: int = 0
    share: float = 0.0
    name: str = ""


DATA = {
    "of 2000 opened arrays in an unknown field": b'{"other":' + b"[" * 2000,
    "of 3000 nested arrays in an unknown field": NESTED_JSON,
    "of 100000 opened arrays": b"[" * 100_000,
    "with a number that no float holds": b'{"share":1e400}',
    "with an integer of 5000 digits": b'{"number":' + b"9" * 5000 + b"}",
    "with bytes that are no UTF-8": b'{"name":"\xff"}',
    "of 5000 nested arrays in an unknown field": NESTED_MESSAGE,
    "of an array whose length passes its end": b"\xdd\xff\xff\xff\xff",
    "of another type": b"[]",
    "of no bytes": b"",
}


@when("{data_format} data {content} is decoded")
def decode_data(context, data_format, content):
    decode = {"JSON": decode_json, "MessagePack": decode_msgpack}[data_format]
    context.error = None
    try:
        decode(DATA[content], Entry)
    except Exception as error:
        context.error = error


@then("the data is unreadable")
def check_unreadable(context):
    assert isinstance(context.error, UnreadableDataError), repr(context.error)


@then("no module but laburnumpier_core/decoding.py calls a decoder of msgspec")
def check_decoding_modules(context):
    paths = {path for pattern in SOURCE_PATTERNS for path in pathlib.Path().glob(pattern)}
    assert pathlib.Path(DECODING_MODULE) in paths
    calls = [
        f"{path}:{node.lineno}"
        for path in sorted(paths - {pathlib.Path(DECODING_MODULE)})
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
        if isinstance(node, ast.Attribute)
        and ast.unparse(node).startswith("msgspec.")
        and node.attr in ("decode", "Decoder")
    ]
    assert not calls, calls


def make_stored(value):
    position = StorePosition(era=UNKNOWN_ERA, revision=1)
    return StoredValue(key="accounts/0", value=value, position=position)


@given("deeply nested data in the record of a VM")
def put_nested_member(context):
    control = StoreControl()
    member = Member(incarnation="a@1", vm="vm-1", data_centre="z", peers_address="a:1")
    record = msgspec.msgpack.encode(MemberRecord(member=member))
    writes = [(MEMBER_PREFIX + "vm-1", record, 0), (MEMBER_PREFIX + "vm-2", NESTED_MESSAGE, 0)]
    control.state.commit({}, writes)
    context.registry = MemberRegistry(
        store=MemoryKeyValueService(control=control), lease_seconds=5.0
    )


@then("the records of other VMs remain")
def check_other_members(context):
    records = context.virtual.run(context.registry.list_records())
    assert list(records) == ["vm-1"], records


@given("deeply nested data in the record of versions")
def put_nested_versions(context):
    control = StoreControl()
    control.state.commit({}, [(RECORD_KEY, NESTED_JSON, 0)])
    context.history = VersionHistory(
        store=MemoryKeyValueService(control=control),
        table=ServerTable(),
        clock=VirtualClock(),
        random_source=random.Random(1),
        is_registry_current=lambda: True,
        get_rank=lambda: 0,
        get_retention_seconds=lambda: 60.0,
    )


@then("no version is known from it")
def check_no_version(context):
    async def find():
        await context.history.update()
        return context.history.find_only_version("s", 60.0)

    assert context.virtual.run(find()) is None


@given("deeply nested data in a message of a peer")
def send_nested_message(context):
    hub = NetworkHub()
    link = make_link(MemoryPeerNetwork(hub=hub, address="b"), "b@2")
    run(context, link.start())
    context.reply = run(context, hub.handlers["b"](NESTED_ENVELOPE))


@then("the peer is refused")
def check_refused_peer(context):
    assert decode_msgpack(context.reply)["type"] == "Refused", context.reply


@given("deeply nested data in the reply of a peer")
def reply_nested_message(context):
    hub = NetworkHub()

    async def reply(request):
        return NESTED_REPLY

    hub.handlers["b"] = reply
    context.link = make_link(MemoryPeerNetwork(hub=hub, address="a"), "a@1")


@then("the peer is unreachable")
def check_unreachable_peer(context):
    async def call():
        try:
            await context.link.call("b", "b@2", FetchConfiguration(), 1.0)
        except PeerUnreachableError:
            return True
        return False

    assert run(context, asyncio.wait_for(call(), 5.0))


@given("deeply nested data in the stored shard of accounts")
def make_nested_shard(context):
    context.stored = make_stored(NESTED_MESSAGE)


@then("the change fails")
def check_failed_change(context):
    try:
        decode_record(context.stored, Shard)
    except StoredValueError as error:
        assert isinstance(error, StoreError)
        return
    raise AssertionError("the shard was decoded")
