"""Rebuilds an account shard after the store came back from an older copy.

The copy lacks the draws, reports and returns of its last seconds. The tokens of a lost draw are
held by a router and partly spent, so granting them again would overspend the budget. Three sources
are merged, and none of them needs a clock:

- the newest record of the shard that any answering router wrote or keeps a copy of. Each record
  contains all changes of the earlier ones, so the one with the highest serial number wins;
- the statements of the answering routers about every grant that they drew;
- the stored copy itself.

A draw is unknown only if neither its holder nor any router that saw its record answers. Before
its tokens are spent, a draw is known to its holder, to the router that wrote it and to one more,
so two routers that do not answer hide none. If more are missing, the tokens that the record shows
as available are withheld until enough of them have answered, or for good.
"""

from collections.abc import Iterable

import msgspec

from .account import (
    Account,
    Grant,
    ReportSpending,
    RestateGrants,
    ReturnTokens,
    Shard,
    StatedGrant,
    report_spending,
    return_tokens,
)

MAX_UNHEARD_ROUTERS = 2
"""Routers that may be missing without hiding a draw, as each draw is known to three of them."""
WITHHELD_KEY = "withheld"
"""Key of the withheld tokens among the tokens in doubt."""


class ShardCopy(msgspec.Struct, frozen=True, kw_only=True):
    """A record of a shard as it was written in an era of the store."""

    era: int
    shard: Shard

    @property
    def order(self) -> tuple[int, int]:
        """Sort key; the greatest one belongs to the newest record."""
        return (self.era, self.shard.serial)


def choose_newest_copy(copies: Iterable[ShardCopy]) -> ShardCopy | None:
    """Returns the newest of the copies, or None if there is none."""
    return max(copies, key=lambda copy: copy.order, default=None)


def restate_grants(account: Account, change: RestateGrants) -> Account:
    """Adds what an older copy of an account lacks of one holder's grants.

    Args:
        account: The account; it may contain some or all of what is stated.
        change: The holder's statement.

    Returns:
        The account with the stated grants. Restating them again changes nothing.
    """
    for stated in sorted(change.grants, key=lambda grant: grant.sequence):
        if stated.grant_id in account.grants:
            account = _apply_totals(account, change, stated)
        elif stated.sequence > account.last_sequences.get(change.holder, 0):
            account = _add_grant(account, change.holder, stated)
    return _record_answer(account, change.holder)


def withhold_available(account: Account, unheard: Iterable[str]) -> Account:
    """Puts the available tokens in doubt, as unheard routers may have drawn and spent them.

    Args:
        account: The account after all statements.
        unheard: Incarnations of the routers that did not answer.
    """
    in_doubt = {**account.in_doubt, WITHHELD_KEY: account.available}
    return msgspec.structs.replace(account, in_doubt=in_doubt, unheard=tuple(sorted(unheard)))


def list_holders(shard: Shard) -> set[str]:
    """Returns the holders of the open grants of a shard."""
    return {
        grant.holder for account in shard.accounts.values() for grant in account.grants.values()
    }


def _apply_totals(account: Account, change: RestateGrants, stated: StatedGrant) -> Account:
    account, _ = report_spending(
        account,
        ReportSpending(
            workspace=change.workspace,
            grant_id=stated.grant_id,
            spender=change.holder,
            spent_total=stated.spent_total,
        ),
    )
    account, _ = return_tokens(
        account,
        ReturnTokens(
            workspace=change.workspace,
            grant_id=stated.grant_id,
            returner=change.holder,
            returned_total=stated.returned_total,
        ),
    )
    return account


def _add_grant(account: Account, holder: str, stated: StatedGrant) -> Account:
    amount = max(0, stated.drawn - stated.spent_total - stated.returned_total)
    grants = dict(account.grants)
    if amount:
        grants[stated.grant_id] = Grant(
            holder=holder,
            amount=amount,
            returned={holder: stated.returned_total},
            spent={holder: stated.spent_total},
        )
    return msgspec.structs.replace(
        account,
        grants=grants,
        settled=account.settled + stated.spent_total,
        last_sequences={**account.last_sequences, holder: stated.sequence},
        in_doubt=_reduce_withheld(account.in_doubt, amount + stated.spent_total),
    )


def _reduce_withheld(in_doubt: dict[str, int], tokens: int) -> dict[str, int]:
    """Removes tokens from the withheld ones; they were withheld for grants such as this one."""
    withheld = in_doubt.get(WITHHELD_KEY, 0)
    if not withheld:
        return in_doubt
    reduced = {**in_doubt, WITHHELD_KEY: max(0, withheld - tokens)}
    return {key: amount for key, amount in reduced.items() if amount}


def _record_answer(account: Account, holder: str) -> Account:
    """Removes a router from the unheard ones; releases the withheld tokens if enough answered."""
    if holder not in account.unheard:
        return account
    unheard = tuple(name for name in account.unheard if name != holder)
    in_doubt = dict(account.in_doubt)
    if len(unheard) <= MAX_UNHEARD_ROUTERS:
        in_doubt.pop(WITHHELD_KEY, None)
    return msgspec.structs.replace(account, unheard=unheard, in_doubt=in_doubt)
