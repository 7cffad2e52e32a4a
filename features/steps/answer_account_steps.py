"""Steps for the account of what servers' answers hold, with answers of known size and age."""

import asyncio

from behave import given, then, when
from contract_steps import run
from laburnumpier_router.intake.memory import make_caller_memory
from laburnumpier_router.ports.read_turns import ReadTurns
from laburnumpier_router.ports.response_memory import BodyMemory
from laburnumpier_router.ports.server_memory import AnswerShare, ServerMemory
from laburnumpier_router.relay.messages import ExchangeHead, ExchangeReply, ExchangeState
from laburnumpier_router.relay.relayed_exchange import RelayedExchange
from laburnumpier_router.response_end import EndMarker

KIBIBYTE = 1024
STATED_LENGTHS = {
    "states no length": None,
    "states 512 KiB": 512 * KIBIBYTE,
    "states more than 1 GB": 2_000_000_000,
}
RELAYED_LINES = {
    "is relayed with no length": [],
    "is relayed with one": [(b"content-length", b"524288")],
}

POSITIONS = {"A": (False, 0), "B": (True, 1), "C": (False, 2)}
"""Whether a body states no length, and its number."""
PLAY_SECONDS = 4.0
"""Time after which a body that has no turn gets none."""
TOLERANCE_SECONDS = 0.2


class SilentSession:
    """Messages to a relaying router that sends no more of the body."""

    async def read(self, **_):
        """Waits until it is cancelled."""
        await asyncio.Event().wait()


def hold_answer(memory, length_bytes, held_bytes, give_way):
    """Returns the share of an answer that holds bytes from now on."""
    held = [held_bytes]

    def drop():
        held[0] = 0
        give_way()

    share = AnswerShare(
        memory=memory, count_held=lambda: held[0], count_passed=lambda: 0, give_way=drop
    )
    share.state_length(length_bytes)
    share.update()
    return share


def hold_relayed_answer(memory, lines, held_bytes):
    """Returns a relayed answer whose reader has read nothing."""
    marker = EndMarker.LENGTH if lines else EndMarker.CLOSE
    head = ExchangeHead(status=200, headers=lines, end_marker=marker.value)
    return RelayedExchange(
        session=SilentSession(),
        head=head,
        reply=ExchangeReply(state=ExchangeState.OPEN, head=head, data=bytes(held_bytes)),
        memory=BodyMemory(callers=make_caller_memory(0)),
        server_memory=memory,
        count_kept=None,
    )


@given("an account of {kibibytes:d} KiB for the answers of servers")
def make_account(context, kibibytes):
    context.account = ServerMemory(limit_bytes=kibibytes * KIBIBYTE)
    context.planned, context.gave_way, context.relayed = [], [], {}


@given("an answer {name:w} that {length} holds {kibibytes:d} KiB for {milliseconds:d} ms")
def plan_answer(context, name, length, kibibytes, milliseconds):
    context.planned.append((milliseconds / 1000, name, length, kibibytes * KIBIBYTE))


@when("a further answer holds {kibibytes:d} KiB")
def hold_answers(context, kibibytes):
    async def hold():
        ages = sorted(context.planned, reverse=True)
        for (age, name, length, held_bytes), following in zip(
            ages, [*(other[0] for other in ages[1:]), 0.0], strict=True
        ):
            hold_planned(context, name, length, held_bytes)
            await asyncio.sleep(age - following)
        hold_answer(context.account, None, kibibytes * KIBIBYTE, lambda: None)
        for name, exchange in context.relayed.items():
            if exchange._error is not None:
                context.gave_way.append(name)
            await exchange.close()

    run(context, hold())


def hold_planned(context, name, length, held_bytes):
    if length in STATED_LENGTHS:
        length_bytes = STATED_LENGTHS[length]
        hold_answer(
            context.account, length_bytes, held_bytes, lambda: context.gave_way.append(name)
        )
        return
    lines = RELAYED_LINES[length]
    context.relayed[name] = hold_relayed_answer(context.account, lines, held_bytes)


@then("only answer {name:w} has given way")
def check_gave_way(context, name):
    assert context.gave_way == [name], context.gave_way


@given(
    "bodies that lose their turns after {pause:g} s without progress and after {turn:g} s, "
    "of which A has one"
)
def make_turns(context, pause, turn):
    context.is_short = True
    context.turns = ReadTurns(
        is_short=lambda: context.is_short, pause_seconds=pause, turn_seconds=turn
    )


@when("B, which states no length, and C, which states one, wait and {event}")
def play_turns(context, event):
    context.turn_seconds = {}

    async def wait(name, began_seconds):
        await context.turns.wait(POSITIONS[name])
        context.turn_seconds[name] = asyncio.get_running_loop().time() - began_seconds

    async def go_on():
        while True:
            await context.turns.wait(POSITIONS["A"])
            await asyncio.sleep(0.02)

    async def play():
        await context.turns.wait(POSITIONS["A"])
        began_seconds = asyncio.get_running_loop().time()
        names = ("B", "C") if event == "B begins first" else ("C", "B")
        tasks = [asyncio.create_task(wait(name, began_seconds)) for name in names]
        await asyncio.sleep(0)
        reading = asyncio.create_task(go_on()) if event == "A goes on" else None
        match event:
            case "A ends":
                context.turns.end(POSITIONS["A"])
            case "C gives way":
                context.turns.end(POSITIONS["C"])
            case "A ends and leaves room":
                context.is_short = False
                context.turns.end(POSITIONS["A"])
        await asyncio.wait(tasks, timeout=PLAY_SECONDS)
        if reading is not None:
            reading.cancel()

    run(context, play())


@then("C may be read further after {c:g} s and B after {b:g} s")
def check_turns(context, c, b):
    for name, expected in (("C", c), ("B", b)):
        seconds = context.turn_seconds.get(name)
        assert seconds is not None, (name, context.turn_seconds)
        assert abs(seconds - expected) <= TOLERANCE_SECONDS, context.turn_seconds
