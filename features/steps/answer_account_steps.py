"""Steps for the account of what servers' answers hold, with answers of known size and age."""

import asyncio

from behave import given, then, when
from contract_steps import run
from laburnumpier_router.intake.memory import make_caller_memory
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
