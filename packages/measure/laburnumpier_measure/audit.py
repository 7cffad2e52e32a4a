"""The verdict on a scenario, from the stand-ins' own ledgers and the stored records.

What the routers say of themselves is compared with what engines and services really ran.
"""

import collections
import dataclasses
import statistics

import msgspec
from laburnumpier_core.result_codes import Ran, ResultCode
from laburnumpier_router.budget.account import Shard
from laburnumpier_router.budget.slot import Bill, Slot

from .scenario import Attempted, ScenarioRun


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Figures of one run; every count but `requests` should be 0."""

    requests: int
    served: int
    overspent_tokens: int
    false_refusals: int
    refused_exhausted: int
    refused_unreachable: int
    refused_other: int
    double_runs: int
    lost_answers: int
    mixed_answers: int
    false_not_run: int
    unbilled: int
    billed_twice: int
    stranded_tokens: int
    store_calls_per_s: float
    first_token_p50_ms: float
    first_token_p95_ms: float


def audit_run(run: ScenarioRun) -> Verdict:
    """Compares what callers, servers and the store have seen.

    Args:
        run: A scenario that has been played to its end.

    Returns:
        The verdict.
    """
    accounts, bills = _read_store(run)
    refusals = [
        (error, could_pay)
        for attempt in run.attempts
        for error, could_pay in zip(attempt.refused, attempt.could_pay, strict=True)
        if not attempt.served
    ]
    codes = collections.Counter(error.code for error, _ in refusals)
    exhausted = codes[ResultCode.BUDGET_EXHAUSTED] + codes[ResultCode.BUDGET_RESERVED]
    unreachable = codes[ResultCode.BUDGET_UNREACHABLE]
    billed = collections.Counter((bill.workspace, bill.request_id) for bill in bills)
    settled = sum(account.settled + account.written_off for account in accounts.values())
    return Verdict(
        requests=len(run.attempts),
        served=sum(attempt.served for attempt in run.attempts),
        overspent_tokens=_count_overspent(run, bills),
        false_refusals=sum(1 for error, could_pay in refusals if could_pay),
        refused_exhausted=exhausted,
        refused_unreachable=unreachable,
        refused_other=len(refusals) - exhausted - unreachable,
        double_runs=_count_double_runs(run),
        lost_answers=sum(_is_lost(attempt) for attempt in run.attempts),
        mixed_answers=sum(_is_mixed(attempt) for attempt in run.attempts),
        false_not_run=sum(_is_false_not_run(run, attempt) for attempt in run.attempts),
        unbilled=sum(
            attempt.served and (attempt.workspace, attempt.key) not in billed
            for attempt in run.attempts
        ),
        billed_twice=sum(count > 1 for count in billed.values())
        + int(settled != sum(bill.tokens for bill in bills)),
        stranded_tokens=_count_stranded(run, accounts),
        store_calls_per_s=run.store_calls / run.scenario.seconds,
        first_token_p50_ms=_quantile_ms(run.first_token_seconds, 50),
        first_token_p95_ms=_quantile_ms(run.first_token_seconds, 95),
    )


def _read_store(run: ScenarioRun) -> tuple[dict, list[Bill]]:
    accounts, bills = {}, []
    for key, entry in run.fleet.store.state.entries.items():
        if key.startswith("accounts/"):
            accounts.update(msgspec.msgpack.decode(entry.value, type=Shard).accounts)
        elif key.startswith("slot/"):
            slot = msgspec.msgpack.decode(entry.value, type=Slot)
            if slot.bill is not None:
                bills.append(slot.bill)
    return accounts, bills


def _count_overspent(run: ScenarioRun, bills: list[Bill]) -> int:
    spent: collections.Counter[str] = collections.Counter()
    for bill in bills:
        spent[bill.workspace] += bill.tokens
    return sum(max(0, spent[name] - tokens) for name, tokens in run.budgets.items())


def _count_double_runs(run: ScenarioRun) -> int:
    """Counts bookings that order servers ran more than once."""
    calls = collections.Counter(
        key for server in run.fleet.backends.servers.values() for key in server.calls
    )
    return sum(count - 1 for count in calls.values() if count > 1)


def _is_lost(attempt: Attempted) -> bool:
    """Whether a chat counted as served although its answer has gaps or is empty."""
    if attempt.booking or not attempt.served:
        return False
    content = attempt.outcome.content
    numbers = [int(part.rsplit("#", 1)[1]) for part in content.split(";") if part]
    return numbers != list(range(len(numbers))) or not numbers


def _is_mixed(attempt: Attempted) -> bool:
    """Whether an answer holds anything of another request."""
    own = f"{attempt.workspace}/{attempt.key}"
    if attempt.booking:
        return attempt.body is not None and not attempt.body.decode().startswith(f"{own} ")
    if not attempt.served:
        return False
    parts = [part for part in attempt.outcome.content.split(";") if part]
    return any(not part.startswith(f"{own}/") for part in parts)


def _is_false_not_run(run: ScenarioRun, attempt: Attempted) -> bool:
    """Whether a request whose every try was refused as not run did run."""
    if attempt.served or any(error.ran is not Ran.NO for error in attempt.refused):
        return False
    own = f"{attempt.workspace}/{attempt.key}"
    for server in run.fleet.backends.servers.values():
        if own in server.calls or any(r.startswith(f"{own}/") for r in server.started):
            return True
    return False


def _count_stranded(run: ScenarioRun, accounts: dict) -> int:
    """Counts tokens in doubt, or granted and held by no living router."""
    held: collections.Counter[str] = collections.Counter()
    for router in run.fleet.routers.values():
        if router.alive:
            for state in router.application.budget.states.values():
                for grant in state.pool.grants.values():
                    held[grant.grant_id] += grant.held
    stranded = 0
    for account in accounts.values():
        stranded += sum(account.in_doubt.values())
        for grant_id, grant in account.grants.items():
            stranded += max(0, grant.amount - held[grant_id])
    return stranded


def _quantile_ms(seconds: list[float], percent: int) -> float:
    if len(seconds) < 2:
        return 0.0
    return statistics.quantiles(seconds, n=100)[percent - 1] * 1000.0
