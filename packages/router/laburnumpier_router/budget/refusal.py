"""Decides how a request is refused whose tokens could not be reserved.

A refusal is final only if the record proves that the budget cannot pay. Every other one says that
the request did not run and when to come back.
"""

from laburnumpier_core.errors import RequestError
from laburnumpier_core.result_codes import ResultCode

from .state import AcquisitionResult, BudgetState

RETRY_AFTER_SECONDS = 2.0
"""Retry-After while neither the store nor a lender has answered lately, as in a cut or an outage
of several seconds."""
SOON_SECONDS = 0.3
"""Retry-After while they do answer. A retry reaches another router, which may have tokens, and a
loan for this one is under way."""
RECENT_ANSWER_SECONDS = 1.0
"""Age up to which an answer about the account shows that its tokens can be reached."""


def choose_refusal_code(result: AcquisitionResult, amount: int) -> ResultCode:
    """Returns the result code of a refusal.

    Args:
        result: Result of the last attempt to draw and borrow tokens.
        amount: Tokens that the request may cost.
    """
    if is_in_doubt(result, amount):
        return ResultCode.BUDGET_UNREACHABLE
    if result.unspent is not None and result.unspent < amount:
        return ResultCode.BUDGET_EXHAUSTED
    all_answered = result.unspent is not None and result.peers_answered
    if all_answered and result.obtainable >= amount:
        return ResultCode.BUDGET_RESERVED
    return ResultCode.BUDGET_UNREACHABLE


def is_in_doubt(result: AcquisitionResult, amount: int) -> bool:
    """Returns whether only tokens that may or may not have been spent could pay for a request."""
    if result.unspent is None:
        return False
    return result.unspent < amount <= result.unspent + result.in_doubt


def build_refusal(
    state: BudgetState, result: AcquisitionResult, amount: int, now_seconds: float
) -> RequestError:
    """Returns the error that refuses a request.

    Args:
        state: The budget of the request.
        result: Result of the last attempt to draw and borrow tokens.
        amount: Tokens that the request may cost.
        now_seconds: Current monotonic time.
    """
    code = choose_refusal_code(result, amount)
    facts = describe_refusal(state, result, now_seconds)
    if code is ResultCode.BUDGET_EXHAUSTED:
        detail = f"the request may cost {amount} tokens and {result.unspent} are left"
        return RequestError(code, detail=detail, facts=facts)
    return RequestError(code, retry_after_seconds=plan_return(state, now_seconds), facts=facts)


def plan_return(state: BudgetState, now_seconds: float) -> float:
    """Returns the seconds after which a refused request should come again.

    Load: callers that crowd at one router, whose budget is reached from the others.

    Args:
        state: The budget of the request.
        now_seconds: Current monotonic time.
    """
    is_answered = state.account is not None
    if is_answered and now_seconds - state.account_seconds <= RECENT_ANSWER_SECONDS:
        return SOON_SECONDS
    return RETRY_AFTER_SECONDS


def describe_refusal(
    state: BudgetState, result: AcquisitionResult, now_seconds: float
) -> dict[str, object]:
    """Returns what a refusal is based on, for the log; balances are those last seen."""
    account = state.account
    return {
        "free": state.pool.free,
        "reserved": state.pool.reserved,
        "returning": state.pool.coming - state.pool.reserved,
        "available": account.available if account else None,
        "unspent": account.unspent if account else None,
        "in_doubt": account.in_doubt if account else None,
        "account_age_ms": round((now_seconds - state.account_seconds) * 1000) if account else None,
        "store_answered": result.unspent is not None,
        "peers_answered": result.peers_answered,
        "obtainable": result.obtainable,
    }
