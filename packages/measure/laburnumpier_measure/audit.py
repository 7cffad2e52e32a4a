"""Audits a finished scenario against the ledgers of the simulated servers and the stored records.

The answers and errors that callers received are compared with what the servers actually ran, so
that the result does not depend on the routers' own counters.
"""

import collections
import dataclasses
import statistics

from laburnumpier_core.decoding import decode_msgpack
from laburnumpier_core.result_codes import Ran, ResultCode
from laburnumpier_router.budget.shard_writer import choose_newest_shards
from laburnumpier_router.budget.slot import Bill, Slot

from .scenario import LoadRequest, ScenarioRun


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AuditResult:
    """Figures of one run; the fields are columns of the printed table.

    Apart from `requests` and `served`, all counts should be 0.

    Attributes:
        served: Requests whose caller received a complete answer.
        overspent_tokens: Billed tokens above the purchased budgets.
        false_refusals: Failed attempts of unserved requests that the budget could have paid.
        refused_exhausted: Failed attempts of unserved requests whose budget was spent or reserved.
        refused_unreachable: Failed attempts of unserved requests whose budget was unreachable.
        refused_other: Failed attempts of unserved requests for any other reason.
        double_runs: Additional executions of bookings that must run once.
        lost_answers: Served chats whose answer is empty or has missing events.
        mixed_answers: Answers with content of another request.
        false_not_run: Requests that ran although every attempt was reported as not run.
        unbilled: Served requests without a bill.
        billed_twice: Requests with several bills, plus 1 if settled and billed tokens differ.
        stranded_tokens: Tokens in doubt, or granted and held by no live router.
    """

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


def audit_run(run: ScenarioRun) -> AuditResult:
    """Compares what callers, servers and the store recorded.

    Args:
        run: A scenario run that has finished.

    Returns:
        The figures of the run.
    """
    accounts, bills = _read_accounts_and_bills(run)
    refusals = [
        (error, budget_sufficed)
        for request in run.load_requests
        for error, budget_sufficed in zip(request.errors, request.budget_sufficed, strict=True)
        if not request.served
    ]
    errors_per_code = collections.Counter(error.code for error, _ in refusals)
    exhausted = (
        errors_per_code[ResultCode.BUDGET_EXHAUSTED] + errors_per_code[ResultCode.BUDGET_RESERVED]
    )
    unreachable = errors_per_code[ResultCode.BUDGET_UNREACHABLE]
    bills_per_request = collections.Counter((bill.workspace, bill.request_id) for bill in bills)
    settled = sum(account.settled + account.written_off for account in accounts.values())
    return AuditResult(
        requests=len(run.load_requests),
        served=sum(request.served for request in run.load_requests),
        overspent_tokens=_count_overspent_tokens(run, bills),
        false_refusals=sum(1 for error, budget_sufficed in refusals if budget_sufficed),
        refused_exhausted=exhausted,
        refused_unreachable=unreachable,
        refused_other=len(refusals) - exhausted - unreachable,
        double_runs=_count_double_runs(run),
        lost_answers=sum(_has_missing_events(request) for request in run.load_requests),
        mixed_answers=sum(_has_foreign_content(request) for request in run.load_requests),
        false_not_run=sum(
            _is_falsely_reported_not_run(run, request) for request in run.load_requests
        ),
        unbilled=sum(
            request.served
            and (request.workspace, request.idempotency_key) not in bills_per_request
            for request in run.load_requests
        ),
        billed_twice=sum(count > 1 for count in bills_per_request.values())
        + int(settled != sum(bill.tokens for bill in bills)),
        stranded_tokens=_count_stranded_tokens(run, accounts),
        store_calls_per_s=run.store_calls / run.scenario.duration_seconds,
        first_token_p50_ms=_compute_percentile_ms(run.first_token_seconds, 50),
        first_token_p95_ms=_compute_percentile_ms(run.first_token_seconds, 95),
    )


def _read_accounts_and_bills(run: ScenarioRun) -> tuple[dict, list[Bill]]:
    accounts, bills = {}, []
    entries = run.fleet.store.state.entries
    for shard in choose_newest_shards({key: entry.value for key, entry in entries.items()}):
        accounts.update(shard.accounts)
    for key, entry in entries.items():
        if key.startswith("slot/"):
            slot = decode_msgpack(entry.value, Slot)
            if slot.bill is not None:
                bills.append(slot.bill)
    return accounts, bills


def _count_overspent_tokens(run: ScenarioRun, bills: list[Bill]) -> int:
    billed_tokens: collections.Counter[str] = collections.Counter()
    for bill in bills:
        billed_tokens[bill.workspace] += bill.tokens
    return sum(max(0, billed_tokens[name] - tokens) for name, tokens in run.budgets.items())


def _count_double_runs(run: ScenarioRun) -> int:
    """Counts the executions of each booking after the first."""
    calls = collections.Counter(
        key for server in run.fleet.backends.servers.values() for key in server.calls
    )
    return sum(count - 1 for count in calls.values() if count > 1)


def _has_missing_events(request: LoadRequest) -> bool:
    """Whether a served chat's answer is empty or has missing events."""
    if request.is_booking or not request.served:
        return False
    content = request.chat_outcome.content
    event_numbers = [int(part.rsplit("#", 1)[1]) for part in content.split(";") if part]
    return event_numbers != list(range(len(event_numbers))) or not event_numbers


def _has_foreign_content(request: LoadRequest) -> bool:
    """Whether an answer contains content of another request."""
    own_id = f"{request.workspace}/{request.idempotency_key}"
    if request.is_booking:
        return request.booking_body is not None and not request.booking_body.decode().startswith(
            f"{own_id} "
        )
    if not request.served:
        return False
    parts = [part for part in request.chat_outcome.content.split(";") if part]
    return any(not part.startswith(f"{own_id}/") for part in parts)


def _is_falsely_reported_not_run(run: ScenarioRun, request: LoadRequest) -> bool:
    """Whether a request ran although every attempt was reported as not run."""
    if request.served or any(error.ran is not Ran.NO for error in request.errors):
        return False
    own_id = f"{request.workspace}/{request.idempotency_key}"
    for server in run.fleet.backends.servers.values():
        if own_id in server.calls or any(
            run_id.startswith(f"{own_id}/") for run_id in server.started
        ):
            return True
    return False


def _count_stranded_tokens(run: ScenarioRun, accounts: dict) -> int:
    """Counts tokens in doubt, and granted tokens that no live router holds."""
    held_tokens: collections.Counter[str] = collections.Counter()
    for router in run.fleet.routers.values():
        if router.alive:
            for state in router.application.budget.states.values():
                for grant in state.pool.grants.values():
                    held_tokens[grant.grant_id] += grant.held
    stranded_tokens = 0
    for account in accounts.values():
        stranded_tokens += sum(account.in_doubt.values())
        for grant_id, grant in account.grants.items():
            stranded_tokens += max(0, grant.amount - held_tokens[grant_id])
    return stranded_tokens


def _compute_percentile_ms(seconds: list[float], percentile: int) -> float:
    if len(seconds) < 2:
        return 0.0
    return statistics.quantiles(seconds, n=100)[percentile - 1] * 1000.0
