"""Budget accounts of workspaces and the changes that can be applied to them.

An account records the purchased tokens, the tokens settled by bills and the open grants. Several
accounts share one shard record, which is replaced only by compare-and-swap. Every function in
this module that applies a change preserves the invariant that prevents overspending:

    settled + in doubt + sum of open grant amounts <= purchased

Each change is idempotent: it carries a grant id, a request id or a running total. When the
response to a write is lost, the writer reads the record back and applies the same changes again.
"""

import msgspec
from laburnumpier_core.identity import is_successor

from .slot import Bill, Slot


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of one budget that one router process may spend without further coordination.

    Attributes:
        holder: Incarnation of the process that drew the grant.
        amount: Open tokens, which are neither billed nor returned.
        returned: Running total of returned tokens, by the incarnation that returned them.
        spent: Running total of tokens reported as spent, by the incarnation that spent them.
    """

    holder: str
    amount: int
    returned: dict[str, int] = {}
    spent: dict[str, int] = {}


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """The record of one workspace's prepaid budget; all amounts are tokens.

    Attributes:
        configured: Purchased total in the newest known configuration.
        configuration_number: Number of the configuration that `configured` was taken from.
        settled: Tokens billed.
        grants: Open grants by grant id.
        in_doubt: Tokens of closed grants that may have been spent without a report. The key is
            the grant id, or the holder when a successor process on its VM closed the grant.
        last_sequences: Highest grant sequence number applied for each holder.
        written_off: Tokens of late bills that the budget could not cover.
        unheard: Routers that have not stated their grants since the store came back from an older
            copy, if so many are missing that available tokens are withheld.
    """

    configured: int = 0
    configuration_number: int = 0
    settled: int = 0
    grants: dict[str, Grant] = {}
    in_doubt: dict[str, int] = {}
    last_sequences: dict[str, int] = {}
    written_off: int = 0
    unheard: tuple[str, ...] = ()

    @property
    def committed(self) -> int:
        """Sum of the settled, granted and in-doubt tokens."""
        open_amount = sum(grant.amount for grant in self.grants.values())
        return self.settled + open_amount + sum(self.in_doubt.values())

    @property
    def purchased(self) -> int:
        """Purchased total; lowering the budget never takes it below the committed tokens."""
        return max(self.configured, self.committed)

    @property
    def available(self) -> int:
        """Tokens that can still be granted."""
        return max(0, self.configured - self.committed)


class Shard(msgspec.Struct, frozen=True, kw_only=True):
    """Accounts stored in one record, by workspace.

    Attributes:
        serial: Number of writes of the record, in the order in which they build on each other.
    """

    accounts: dict[str, Account] = {}
    serial: int = 0


class OpenGrant(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Draws tokens from a budget for one holder.

    Attributes:
        sequence: Increasing number of this draw among the holder's draws for the workspace.
        needed: Tokens required to admit the holder's waiting requests.
        least: Minimum grant; a smaller one would not admit any request, so nothing is granted.
        wanted: Tokens that the holder requests in order to reach its target holding.
        share_divisor: A grant larger than `needed` is limited to the available tokens divided by
            this number.
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
    """Returns unspent tokens; `returned_total` is the returner's running total for the grant."""

    workspace: str
    grant_id: str
    returner: str
    returned_total: int


class ReportSpending(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Settles tokens spent by requests that have no individual bill.

    `spent_total` is the spender's running total for the grant.
    """

    workspace: str
    grant_id: str
    spender: str
    spent_total: int


class StatedGrant(msgspec.Struct, frozen=True, kw_only=True):
    """A grant as its holder knows it.

    Attributes:
        sequence: Number of the draw among the holder's draws for the workspace.
        drawn: Tokens of the grant.
        spent_total: Running total spent by the holder and by those that it lent tokens to.
        returned_total: Running total returned by the holder.
    """

    grant_id: str
    sequence: int
    drawn: int
    spent_total: int
    returned_total: int


class RestateGrants(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Restores what an older copy of the account lacks of the grants of one holder.

    `era` is the era of the store for which the grants are stated.
    """

    workspace: str
    holder: str
    era: int
    grants: list[StatedGrant]


class RecordBill(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Stores the bill of a request once and moves its tokens from grants to settled."""

    bill: Bill


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Claims the exclusive right to run a non-idempotent request."""

    workspace: str
    request_id: str
    body_hash: str
    claim_id: str
    claimed_by: str
    claimed_at: float


class ReleaseClaim(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Releases a claim after it is proven that no byte of the call was sent."""

    workspace: str
    request_id: str
    claim_id: str


class CloseGrant(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Closes the grant of a process that is proven dead.

    Attributes:
        keep_open: Tokens of the grant that live processes reported holding.
        release: Whether the remaining tokens become available again instead of staying in doubt.
    """

    workspace: str
    grant_id: str
    keep_open: int
    release: bool


class ReleaseInDoubt(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Makes the in-doubt tokens of one closed grant available again, on an operator's request."""

    workspace: str
    grant_id: str


Change = (
    OpenGrant
    | ReturnTokens
    | ReportSpending
    | RestateGrants
    | RecordBill
    | ClaimRequest
    | ReleaseClaim
    | CloseGrant
    | ReleaseInDoubt
)


class GrantOpened(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of `OpenGrant`.

    Attributes:
        amount: Tokens granted.
        available: Tokens that can still be granted.
        unspent: Tokens of the whole budget that are neither settled nor in doubt, including those
            that routers hold.
        in_doubt: Tokens of closed grants that may or may not have been spent.
        era: Era of the store in which the draw is recorded. It is lost in a later one.
        settled: Settled tokens of the account.
    """

    amount: int
    available: int
    unspent: int
    in_doubt: int = 0
    era: int = 0
    settled: int = 0


class BillRecorded(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of `RecordBill`: the stored bill, which may be an earlier one."""

    bill: Bill


class ClaimAnswered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of `ClaimRequest` and `ReleaseClaim`: the slot after the change."""

    slot: Slot


class ChangeApplied(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of any other change; `tokens` is the amount moved."""

    tokens: int


class ChangeFailed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The change is not known to be stored; it can be submitted again unchanged."""

    reason: str


ChangeResult = GrantOpened | BillRecorded | ClaimAnswered | ChangeApplied | ChangeFailed


def find_account_errors(account: Account) -> list[str]:
    """Checks the invariants of an account.

    Args:
        account: The account to check.

    Returns:
        One message for each violated invariant; empty if there is none.
    """
    errors = []
    if account.committed > account.purchased:
        errors.append(
            f"{account.committed} committed tokens exceed {account.purchased} purchased tokens"
        )
    if any(grant.amount < 0 for grant in account.grants.values()):
        errors.append("a grant amount is negative")
    if any(amount < 0 for amount in account.in_doubt.values()):
        errors.append("an in-doubt amount is negative")
    if account.settled < 0:
        errors.append("the settled amount is negative")
    return errors


def open_grant(account: Account, change: OpenGrant) -> tuple[Account, GrantOpened]:
    """Opens a grant, or returns the one opened by an earlier attempt of the same draw.

    Args:
        account: The account before the change.
        change: The draw.

    Returns:
        The account after the change and the result; its amount is 0 if nothing was granted.
    """
    # The newest configuration determines the purchased total.
    if change.configuration_number > account.configuration_number:
        account = msgspec.structs.replace(
            account,
            configured=change.configured,
            configuration_number=change.configuration_number,
        )
    account = _close_predecessor_grants(account, change.holder)
    # The draw has been applied before, so nothing more is granted.
    if change.sequence <= account.last_sequences.get(change.holder, 0):
        grant = account.grants.get(change.grant_id)
        amount = grant.amount if grant else 0
        return account, _build_grant_opened(account, amount)

    share = account.available // max(1, change.share_divisor)
    amount = min(account.available, max(change.needed, min(change.wanted, share)))
    if amount <= 0 or amount < change.least:
        return account, _build_grant_opened(account, 0)
    grant = Grant(holder=change.holder, amount=amount)
    account = msgspec.structs.replace(
        account,
        grants={**account.grants, change.grant_id: grant},
        last_sequences={**account.last_sequences, change.holder: change.sequence},
    )
    return account, _build_grant_opened(account, amount)


def return_tokens(account: Account, change: ReturnTokens) -> tuple[Account, ChangeApplied]:
    """Applies the part of a running total of returned tokens that is not applied yet.

    Args:
        account: The account before the change.
        change: The return.

    Returns:
        The account after the change and the number of tokens returned.
    """
    grant = account.grants.get(change.grant_id)
    if grant is None:
        return account, ChangeApplied(tokens=0)
    new_tokens = _count_new_tokens(
        grant, change.returned_total, grant.returned.get(change.returner, 0)
    )
    if not new_tokens:
        return account, ChangeApplied(tokens=0)
    grant = msgspec.structs.replace(
        grant,
        amount=grant.amount - new_tokens,
        returned={**grant.returned, change.returner: change.returned_total},
    )
    return _replace_grant(account, change.grant_id, grant), ChangeApplied(tokens=new_tokens)


def report_spending(account: Account, change: ReportSpending) -> tuple[Account, ChangeApplied]:
    """Settles the part of a running total of spent tokens that is not applied yet.

    Args:
        account: The account before the change.
        change: The report.

    Returns:
        The account after the change and the number of tokens settled. Tokens spent from a closed
        grant stay in doubt.
    """
    grant = account.grants.get(change.grant_id)
    if grant is None:
        return account, ChangeApplied(tokens=0)
    new_tokens = _count_new_tokens(grant, change.spent_total, grant.spent.get(change.spender, 0))
    if not new_tokens:
        return account, ChangeApplied(tokens=0)
    grant = msgspec.structs.replace(
        grant,
        amount=grant.amount - new_tokens,
        spent={**grant.spent, change.spender: change.spent_total},
    )
    account = _replace_grant(account, change.grant_id, grant)
    account = msgspec.structs.replace(account, settled=account.settled + new_tokens)
    return account, ChangeApplied(tokens=new_tokens)


def settle_bill(account: Account, bill: Bill) -> Account:
    """Moves a bill's tokens to settled; the caller must check that the bill is not stored yet.

    Args:
        account: The account before the bill.
        bill: The bill with the grants it charges.

    Returns:
        The account after the bill. A charge that exceeds what is left of its grant, for example
        because the grant was closed meanwhile, is paid from the grant's in-doubt tokens and then
        from available tokens; the remainder is written off.
    """
    for charge in bill.charges:
        unpaid = charge.tokens
        grant = account.grants.get(charge.grant_id)
        if grant is not None:
            paid = min(unpaid, grant.amount)
            unpaid -= paid
            charged_grant = msgspec.structs.replace(grant, amount=grant.amount - paid)
            account = _replace_grant(account, charge.grant_id, charged_grant)
            account = msgspec.structs.replace(account, settled=account.settled + paid)
        if unpaid and charge.grant_id in account.in_doubt:
            paid = min(unpaid, account.in_doubt[charge.grant_id])
            unpaid -= paid
            account = _replace_in_doubt(
                account, charge.grant_id, account.in_doubt[charge.grant_id] - paid
            )
            account = msgspec.structs.replace(account, settled=account.settled + paid)
        if unpaid:
            paid = min(unpaid, account.available)
            unpaid -= paid
            account = msgspec.structs.replace(
                account, settled=account.settled + paid, written_off=account.written_off + unpaid
            )
    return account


def close_grant(account: Account, change: CloseGrant) -> tuple[Account, ChangeApplied]:
    """Closes a dead holder's grant, except for the tokens that live processes hold.

    Args:
        account: The account before the change.
        change: The grant, the tokens that stay open, and whether the others are released.

    Returns:
        The account after the change and the number of tokens closed.
    """
    grant = account.grants.get(change.grant_id)
    if grant is None:
        return account, ChangeApplied(tokens=0)
    closed = max(0, grant.amount - change.keep_open)
    grant = msgspec.structs.replace(grant, amount=grant.amount - closed)
    account = _replace_grant(account, change.grant_id, grant)
    if not change.release:
        in_doubt = account.in_doubt.get(change.grant_id, 0) + closed
        account = _replace_in_doubt(account, change.grant_id, in_doubt)
    return account, ChangeApplied(tokens=closed)


def release_in_doubt(account: Account, change: ReleaseInDoubt) -> tuple[Account, ChangeApplied]:
    """Makes the in-doubt tokens of one closed grant available again.

    Args:
        account: The account before the change.
        change: The closed grant.

    Returns:
        The account after the change and the number of tokens released.
    """
    tokens = account.in_doubt.get(change.grant_id, 0)
    return _replace_in_doubt(account, change.grant_id, 0), ChangeApplied(tokens=tokens)


def _close_predecessor_grants(account: Account, holder: str) -> Account:
    """Closes the grants of earlier processes on the holder's VM and puts them in doubt.

    Only one process runs on a VM at a time, so a draw by a later process proves that the earlier
    ones have ended. How much they spent without a report is unknown, so it stays charged.
    """
    predecessor_grants = {
        grant_id: grant
        for grant_id, grant in account.grants.items()
        if is_successor(holder, grant.holder)
    }
    if not predecessor_grants:
        return account
    grants = {
        grant_id: grant
        for grant_id, grant in account.grants.items()
        if grant_id not in predecessor_grants
    }
    in_doubt = dict(account.in_doubt)
    for grant in predecessor_grants.values():
        in_doubt[grant.holder] = in_doubt.get(grant.holder, 0) + grant.amount
    sequences = {
        incarnation: sequence
        for incarnation, sequence in account.last_sequences.items()
        if not is_successor(holder, incarnation)
    }
    return msgspec.structs.replace(
        account, grants=grants, in_doubt=in_doubt, last_sequences=sequences
    )


def _build_grant_opened(account: Account, amount: int) -> GrantOpened:
    in_doubt = sum(account.in_doubt.values())
    unspent = max(0, account.configured - account.settled - in_doubt)
    return GrantOpened(
        amount=amount,
        available=account.available,
        unspent=unspent,
        in_doubt=in_doubt,
        settled=account.settled,
    )


def _count_new_tokens(grant: Grant, total: int, previous_total: int) -> int:
    """Returns how far a running total exceeds the previous one, limited to the grant's amount.

    Changes can be applied out of order, so an older total may arrive after a newer one; it adds 0.
    """
    return max(0, min(total - previous_total, grant.amount))


def _replace_grant(account: Account, grant_id: str, grant: Grant) -> Account:
    """Replaces a grant, or removes it if no tokens of it are open."""
    grants = dict(account.grants)
    if grant.amount > 0:
        grants[grant_id] = grant
    else:
        grants.pop(grant_id, None)
    return msgspec.structs.replace(account, grants=grants)


def _replace_in_doubt(account: Account, grant_id: str, amount: int) -> Account:
    """Replaces an in-doubt amount, or removes it if it is 0."""
    in_doubt = dict(account.in_doubt)
    if amount > 0:
        in_doubt[grant_id] = amount
    else:
        in_doubt.pop(grant_id, None)
    return msgspec.structs.replace(account, in_doubt=in_doubt)
