"""Steps for the limits of callers that come with a configuration."""

import json
import random

import msgspec
from behave import given, then, when
from laburnumpier_core.clock import SystemClock
from laburnumpier_core.metrics import Metrics
from laburnumpier_platform.records import PlatformRecordFormat
from laburnumpier_router.configuration.peer_sources import ConfigurationFetched
from laburnumpier_router.configuration.record import ConfigurationRecord
from laburnumpier_router.configuration.service import ConfigurationService
from laburnumpier_router.intake.limits import CallerLimits
from laburnumpier_router.intake.memory import make_caller_memory
from laburnumpier_router.intake.service import Intake, IntakeSettings
from process_steps import CONFIGURATION

DEFAULTS = CallerLimits(
    max_header_bytes=2048,
    max_body_bytes=4096,
    header_timeout_seconds=30.0,
    idle_timeout_seconds=3600.0,
)


class EarlierRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The record of a configuration as 876f8d1 reads it."""

    number: int = 0
    document: dict = {}
    notes: tuple[dict, ...] = ()


class EarlierFetched(msgspec.Struct, frozen=True, kw_only=True, tag="ConfigurationFetched"):
    """The message with a record as 876f8d1 reads it."""

    record: EarlierRecord


def read_configuration(context, limits):
    stored = dict(CONFIGURATION)
    if limits != "no limits":
        stored["Limits"] = json.loads(limits)
    context.record = PlatformRecordFormat().decode(json.dumps(stored).encode())
    context.intake = Intake(
        settings=IntakeSettings(limits=DEFAULTS),
        memory=make_caller_memory(0),
        clock=SystemClock(),
        metrics=Metrics(),
    )
    context.intake.set_stated_limits(context.record.limits)


@when("a configuration of the platform has {limits}")
def decode_configuration(context, limits):
    read_configuration(context, limits)


@given("a configuration of the platform with a limit of {size:d} bytes for bodies")
def decode_limited_configuration(context, size):
    read_configuration(context, json.dumps({"MaxBodyBytes": size}))


@then("its routes are in force")
def check_routes(context):
    assert list(context.record.document["routes"]) == ["r"], context.record


@then("a caller may send bodies of {body:d} bytes and heads of {head:d} bytes")
def check_limits(context, body, head):
    limits = context.intake.get_limits(context.intake.open_callers_table())
    assert (limits.max_body_bytes, limits.max_header_bytes) == (body, head), limits


@then("a router of an earlier release reads its record, from a message and from the store")
def check_earlier_reader(context):
    message = msgspec.msgpack.encode(ConfigurationFetched(record=context.record))
    fetched = msgspec.msgpack.decode(message, type=EarlierFetched)
    stored = msgspec.json.decode(msgspec.json.encode(context.record), type=EarlierRecord)
    # Tuples of the document are read as lists.
    document = msgspec.json.decode(msgspec.json.encode(context.record.document))
    for read in (fetched.record, stored):
        assert (read.number, read.document) == (context.record.number, document), read


@then("a record of an earlier release leaves a limit of {size:d} bytes in force")
def check_earlier_record(context, size):
    earlier = EarlierRecord(number=9, document=context.record.document)
    record = msgspec.msgpack.decode(msgspec.msgpack.encode(earlier), type=ConfigurationRecord)
    context.intake.set_stated_limits(record.limits)
    limits = context.intake.get_limits(context.intake.open_callers_table())
    assert limits.max_body_bytes == size, limits


@when("a router gets its record without limits from another router, and then from the store")
def apply_twice(context):
    changes = []
    context.service = ConfigurationService(
        store=None,
        fleet=None,
        clock=SystemClock(),
        metrics=Metrics(),
        random_source=random.Random(1),
        is_watcher=lambda: True,
        on_change=changes.append,
        record_format=PlatformRecordFormat(),
    )
    assert context.service.apply(msgspec.structs.replace(context.record, limits=None))
    assert not context.service.apply(context.record)
    assert len(changes) == 2, changes


@then("the configuration service has a limit of {size:d} bytes")
def check_service_limits(context, size):
    assert context.service.record.limits.max_body_bytes == size, context.service.record


@then("listeners that callers do not use keep a limit of {size:d} bytes")
def check_other_listeners(context, size):
    limits = context.intake.get_limits(context.intake.open_other_table())
    assert limits.max_body_bytes == size, limits
