"""Accounts of workspaces, and the changes that may be made to them.

An account says how many tokens were purchased, how many are settled by bills, and which grants
are open. Many accounts share one shard record, which is only ever replaced by
compare-and-swap. The one rule that keeps a budget safe is held by every function here:

    settled + in doubt + sum of open grant amounts <= purchased

Each change carries an identity of its own (a grant id, a request id, a running total), so
applying it twice has the effect of applying it once. A write whose answer was lost is
therefore settled by reading the record back and applying the same changes to what is found
there.
"""

import msgspec
from laburnumpier_core.identity import is_successor

from .slot import Bill, Slot


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of one budget that one router process may spend without asking anyone.

    Attributes:
        holder: Incarnation of the process that drew the grant.
        amount: Tokens still open: neither billed nor returned.
        returned: Total tokens returned so far, by the incarnation that returned them.
        spent: Total tokens reported as spent so far, by the incarnation that spent them.
    """

    holder: str
    amount: int
    returned: dict[str, int] = {}
    spent: dict[str, int] = {}


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """The record of one workspace's prepaid budget; all amounts are tokens.

    Attributes:
        configured: Purchased total as the newest known configuration states it.
        configuration_number: Number of the configuration that `configured` was taken from.
        settled: Tokens billed.
        grants: Open grants by grant id.
        in_doubt: Tokens of closed grants that may have been spent unproven, by grant id.
        last_sequences: Highest grant sequence number seen of each holder.
        written_off: Tokens of late bills that no part of the budget could pay.
    """

    configured: int = 0
    configuration_number: int = 0
    settled: int = 0
    grants: dict[str, Grant] = {}
    in_doubt: dict[str, int] = {}
    last_sequences: dict[str, int] = {}
    written_off: int = 0

    @property
    def committed(self) -> int:
        """Tokens that are billed, granted or in doubt."""
        open_amount = sum(grant.amount for grant in self.grants.values())
        return self.settled + open_amount + sum(self.in_doubt.values())

    @property
    def purchased(self) -> int:
        """Purchased total; a lowered budget takes effect only down to what is committed."""
        return max(self.configured, self.committed)

    @property
    def available(self) -> int:
        """Tokens that may still be granted."""
        return max(0, self.configured - self.committed)


class Shard(msgspec.Struct, frozen=True, kw_only=True):
    """The accounts that share one record, by workspace."""

    accounts: dict[str, Account] = {}


class OpenGrant(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Draws tokens from a budget for one holder.

    Attributes:
        sequence: Number of this draw among the holder's draws on the workspace, rising.
        needed: Tokens without which the holder cannot admit its waiting requests.
        least: With fewer tokens available nothing is granted, because they would serve no request.
        wanted: Tokens that the holder's measured demand would use over the grant horizon.
        share_divisor: A grant beyond `needed` takes at most this fraction of what is available.
        configured: Purchased total in the holder's configuration.
        configuration_number: Number of the holder's configuration.
    """

    workspace: str
    grant_id: str
    holder: str
    sequence: int
    needed: int
    least: int
    wanted: int
    share_divisor: int
    configured: int
    configuration_number: int


class ReturnTokens(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Hands back unspent tokens; `returned_total` is the running total of this returner."""

    workspace: str
    grant_id: str
    returner: str
    returned_total: int


class ReportSpending(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Settles tokens spent by requests that have no bill of their own.

    `spent_total` is the running total of this spender on the grant.
    """

    workspace: str
    grant_id: str
    spender: str
    spent_total: int


class RecordBill(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Settles one request: stores its bill once and moves its tokens from grants to settled."""

    bill: Bill


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Claims the right to run a request that must not run twice."""

    workspace: str
    request_id: str
    body_hash: str
    claim_id: str
    claimed_by: str
    claimed_at: float


class ReleaseClaim(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Gives a claim back when it is proven that no byte of the call was sent."""

    workspace: str
    request_id: str
    claim_id: str


class CloseGrant(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Closes the grant of a process that is proven dead.

    Attributes:
        keep_open: Tokens of the grant that living processes said they hold.
        release: Whether the unproven rest becomes available again or stays charged in doubt.
    """

    workspace: str
    grant_id: str
    keep_open: int
    release: bool


class ReleaseInDoubt(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Makes in-doubt tokens of one closed grant available again, by an operator's decision."""

    workspace: str
    grant_id: str


Change = (
    OpenGrant
    | ReturnTokens
    | ReportSpending
    | RecordBill
    | ClaimRequest
    | ReleaseClaim
    | CloseGrant
    | ReleaseInDoubt
)


class GrantOpened(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of `OpenGrant`.

    Attributes:
        amount: Tokens granted. available: Tokens that may still be granted. unspent: Tokens of
        the whole budget that are neither billed nor in doubt, wherever they are. in_doubt: Tokens
        of closed grants that may or may not have been spent.
    """

    amount: int
    available: int
    unspent: int
    in_doubt: int = 0


class BillRecorded(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of `RecordBill`: the bill that stands, which may be an earlier one."""

    bill: Bill


class ClaimAnswered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of `ClaimRequest` and `ReleaseClaim`: the slot as it stands now."""

    slot: Slot


class ChangeApplied(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of a change that has nothing more to say; `tokens` is the amount moved."""

    tokens: int


class ChangeFailed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The store took no decision on the change; it may be tried again as it is."""

    reason: str


ChangeResult = GrantOpened | BillRecorded | ClaimAnswered | ChangeApplied | ChangeFailed


def find_account_errors(account: Account) -> list[str]:
    """Lists the ways in which an account breaks its rules.

    Args:
        account: The account to check.

    Returns:
        One sentence for each broken rule; empty for a sound account.
    """
    problems = []
    if account.committed > account.purchased:
        problems.append(f"committed {account.committed} exceeds purchased {account.purchased}")
    if any(grant.amount < 0 for grant in account.grants.values()):
        problems.append("a grant amount is negative")
    if any(amount < 0 for amount in account.in_doubt.values()):
        problems.append("an in-doubt amount is negative")
    if account.settled < 0:
        problems.append("the settled amount is negative")
    return problems


def open_grant(account: Account, change: OpenGrant) -> tuple[Account, GrantOpened]:
    """Opens a grant, or finds the one that an earlier try of the same change opened.

    Args:
        account: The account before the change.
        change: The draw.

    Returns:
        The account after the change and the amount granted, which is 0 when nothing is available.
    """
    # A newer configuration may have raised or lowered the purchased total.
    if change.configuration_number > account.configuration_number:
        account = msgspec.structs.replace(
            account,
            configured=change.configured,
            configuration_number=change.configuration_number,
        )
    account = _close_predecessors(account, change.holder)
    # A draw that was seen before keeps its first outcome.
    if change.sequence <= account.last_sequences.get(change.holder, 0):
        grant = account.grants.get(change.grant_id)
        amount = grant.amount if grant else 0
        return account, _describe_grant(account, amount)

    share = account.available // max(1, change.share_divisor)
    amount = min(account.available, max(change.needed, min(change.wanted, share)))
    if amount <= 0 or amount < change.least:
        return account, _describe_grant(account, 0)
    grant = Grant(holder=change.holder, amount=amount)
    account = msgspec.structs.replace(
        account,
        grants={**account.grants, change.grant_id: grant},
        last_sequences={**account.last_sequences, change.holder: change.sequence},
    )
    return account, _describe_grant(account, amount)


def return_tokens(account: Account, change: ReturnTokens) -> tuple[Account, ChangeApplied]:
    """Takes back the part of a running returned total that was not taken back before.

    Args:
        account: The account before the change.
        change: The return.

    Returns:
        The account after the change and the number of tokens taken back.
    """
    grant = account.grants.get(change.grant_id)
    if grant is None:
        return account, ChangeApplied(tokens=0)
    fresh = _count_fresh(grant, change.returned_total, grant.returned.get(change.returner, 0))
    if not fresh:
        return account, ChangeApplied(tokens=0)
    grant = msgspec.structs.replace(
        grant,
        amount=grant.amount - fresh,
        returned={**grant.returned, change.returner: change.returned_total},
    )
    return _replace_grant(account, change.grant_id, grant), ChangeApplied(tokens=fresh)


def report_spending(account: Account, change: ReportSpending) -> tuple[Account, ChangeApplied]:
    """Settles the part of a running spent total that was not settled before.

    Args:
        account: The account before the change.
        change: The report.

    Returns:
        The account after the change and the number of tokens settled. Spending of a grant that
        was closed stays in doubt.
    """
    grant = account.grants.get(change.grant_id)
    if grant is None:
        return account, ChangeApplied(tokens=0)
    fresh = _count_fresh(grant, change.spent_total, grant.spent.get(change.spender, 0))
    if not fresh:
        return account, ChangeApplied(tokens=0)
    grant = msgspec.structs.replace(
        grant,
        amount=grant.amount - fresh,
        spent={**grant.spent, change.spender: change.spent_total},
    )
    account = _replace_grant(account, change.grant_id, grant)
    account = msgspec.structs.replace(account, settled=account.settled + fresh)
    return account, ChangeApplied(tokens=fresh)


def settle_bill(account: Account, bill: Bill) -> Account:
    """Moves a bill's tokens to settled, once; the caller has checked that the bill is new.

    Args:
        account: The account before the bill.
        bill: The bill with the grants it charges.

    Returns:
        The account after the bill. A charge on a grant that was closed meanwhile is paid from what
        the grant left in doubt, then from available tokens; what neither can pay is written off.
    """
    for charge in bill.charges:
        left = charge.tokens
        grant = account.grants.get(charge.grant_id)
        if grant is not None:
            paid = min(left, grant.amount)
            left -= paid
            reduced = msgspec.structs.replace(grant, amount=grant.amount - paid)
            account = _replace_grant(account, charge.grant_id, reduced)
            account = msgspec.structs.replace(account, settled=account.settled + paid)
        if left and charge.grant_id in account.in_doubt:
            paid = min(left, account.in_doubt[charge.grant_id])
            left -= paid
            account = _replace_in_doubt(
                account, charge.grant_id, account.in_doubt[charge.grant_id] - paid
            )
            account = msgspec.structs.replace(account, settled=account.settled + paid)
        if left:
            paid = min(left, account.available)
            left -= paid
            account = msgspec.structs.replace(
                account, settled=account.settled + paid, written_off=account.written_off + left
            )
    return account


def close_grant(account: Account, change: CloseGrant) -> tuple[Account, ChangeApplied]:
    """Closes a dead holder's grant as far as no living process holds parts of it.

    Args:
        account: The account before the change.
        change: Which grant, how much stays open, and whether the rest is released.

    Returns:
        The account after the change and the number of tokens closed.
    """
    grant = account.grants.get(change.grant_id)
    if grant is None:
        return account, ChangeApplied(tokens=0)
    unproven = max(0, grant.amount - change.keep_open)
    kept = msgspec.structs.replace(grant, amount=grant.amount - unproven)
    account = _replace_grant(account, change.grant_id, kept)
    if not change.release:
        held = account.in_doubt.get(change.grant_id, 0) + unproven
        account = _replace_in_doubt(account, change.grant_id, held)
    return account, ChangeApplied(tokens=unproven)


def release_in_doubt(account: Account, change: ReleaseInDoubt) -> tuple[Account, ChangeApplied]:
    """Makes the in-doubt tokens of one closed grant available again.

    Args:
        account: The account before the change.
        change: Which grant.

    Returns:
        The account after the change and the number of tokens released.
    """
    tokens = account.in_doubt.get(change.grant_id, 0)
    return _replace_in_doubt(account, change.grant_id, 0), ChangeApplied(tokens=tokens)


def _close_predecessors(account: Account, holder: str) -> Account:
    """Leaves in doubt what earlier processes on the holder's VM had not reported as spent.

    One process runs on a VM at a time, so the draw of a later one proves that they have ended.
    What they spent unreported is unknown and stays charged.
    """
    dead = {
        grant_id: grant
        for grant_id, grant in account.grants.items()
        if is_successor(holder, grant.holder)
    }
    if not dead:
        return account
    grants = {key: grant for key, grant in account.grants.items() if key not in dead}
    in_doubt = dict(account.in_doubt)
    for grant in dead.values():
        in_doubt[grant.holder] = in_doubt.get(grant.holder, 0) + grant.amount
    sequences = {
        name: sequence
        for name, sequence in account.last_sequences.items()
        if not is_successor(holder, name)
    }
    return msgspec.structs.replace(
        account, grants=grants, in_doubt=in_doubt, last_sequences=sequences
    )


def _describe_grant(account: Account, amount: int) -> GrantOpened:
    in_doubt = sum(account.in_doubt.values())
    unspent = max(0, account.configured - account.settled - in_doubt)
    return GrantOpened(
        amount=amount, available=account.available, unspent=unspent, in_doubt=in_doubt
    )


def _count_fresh(grant: Grant, total: int, known: int) -> int:
    """Returns the part of a running total that is new, as far as the grant can cover it.

    A writer that held a change back may write it after newer ones; nothing of it is new then.
    """
    return max(0, min(total - known, grant.amount))


def _replace_grant(account: Account, grant_id: str, grant: Grant) -> Account:
    """Stores a changed grant; one with nothing open is dropped."""
    grants = dict(account.grants)
    if grant.amount > 0:
        grants[grant_id] = grant
    else:
        grants.pop(grant_id, None)
    return msgspec.structs.replace(account, grants=grants)


def _replace_in_doubt(account: Account, grant_id: str, amount: int) -> Account:
    """Stores a changed in-doubt amount; zero is dropped."""
    in_doubt = dict(account.in_doubt)
    if amount > 0:
        in_doubt[grant_id] = amount
    else:
        in_doubt.pop(grant_id, None)
    return msgspec.structs.replace(account, in_doubt=in_doubt)
