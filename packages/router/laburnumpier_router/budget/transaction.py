"""Applies batches of changes to a shard and its slots.

These functions do not access the store. They take the records as read, and return the records to
be written and a result for each change.
"""

import dataclasses

import msgspec

from .account import (
    Account,
    BillRecorded,
    Change,
    ChangeApplied,
    ChangeResult,
    ClaimAnswered,
    ClaimRequest,
    CloseGrant,
    OpenGrant,
    RecordBill,
    ReleaseClaim,
    ReleaseInDoubt,
    ReportSpending,
    RestateGrants,
    ReturnTokens,
    Shard,
    close_grant,
    open_grant,
    release_in_doubt,
    report_spending,
    return_tokens,
    settle_bill,
)
from .restatement import restate_grants
from .slot import Slot, format_slot_key


@dataclasses.dataclass(slots=True, kw_only=True)
class BatchOutcome:
    """Records and results after a batch of changes.

    Attributes:
        shard: The shard after the changes.
        slots: Changed slots by store key.
        results: One result for each change, in order.
    """

    shard: Shard
    slots: dict[str, Slot]
    results: list[ChangeResult]


def get_slot_key(change: Change) -> str | None:
    """Returns the store key of the slot that a change accesses, or None if it accesses none."""
    match change:
        case RecordBill(bill=bill):
            return format_slot_key(bill.workspace, bill.request_id)
        case ClaimRequest() | ReleaseClaim():
            return format_slot_key(change.workspace, change.request_id)
        case _:
            return None


def get_workspace(change: Change) -> str:
    """Returns the workspace whose account a change applies to."""
    match change:
        case RecordBill(bill=bill):
            return bill.workspace
        case _:
            return change.workspace


def apply_batch(shard: Shard, slots: dict[str, Slot], changes: list[Change]) -> BatchOutcome:
    """Applies changes in order.

    Args:
        shard: The shard as read.
        slots: The existing slots that the changes access, by store key.
        changes: The changes; all must belong to workspaces of this shard.

    Returns:
        The new records and a result for each change. If no change alters the shard, it compares
        equal to the one passed in.
    """
    accounts = dict(shard.accounts)
    current_slots = dict(slots)
    changed_slots: dict[str, Slot] = {}
    results: list[ChangeResult] = []
    for change in changes:
        workspace = get_workspace(change)
        account = accounts.get(workspace, Account())
        slot_key = get_slot_key(change)
        slot = current_slots.get(slot_key) if slot_key else None
        account, new_slot, result = _apply_change(account, slot, change)
        if account != Account():
            accounts[workspace] = account
        if slot_key and new_slot is not None and new_slot != slot:
            current_slots[slot_key] = new_slot
            changed_slots[slot_key] = new_slot
        results.append(result)
    return BatchOutcome(
        shard=Shard(accounts=accounts, serial=shard.serial), slots=changed_slots, results=results
    )


def _apply_change(
    account: Account, slot: Slot | None, change: Change
) -> tuple[Account, Slot | None, ChangeResult]:
    match change:
        case OpenGrant():
            account, result = open_grant(account, change)
        case ReturnTokens():
            account, result = return_tokens(account, change)
        case ReportSpending():
            account, result = report_spending(account, change)
        case RestateGrants():
            account, result = restate_grants(account, change), ChangeApplied(tokens=0)
        case CloseGrant():
            account, result = close_grant(account, change)
        case ReleaseInDoubt():
            account, result = release_in_doubt(account, change)
        case RecordBill():
            return _record_bill(account, slot, change)
        case ClaimRequest():
            slot = _claim_request(slot, change)
            result = ClaimAnswered(slot=slot)
        case ReleaseClaim():
            slot = _release_claim(slot, change)
            result = ClaimAnswered(slot=slot)
    return account, slot, result


def _record_bill(
    account: Account, slot: Slot | None, change: RecordBill
) -> tuple[Account, Slot, BillRecorded]:
    """Stores the first bill of a request id and ignores later ones."""
    bill = change.bill
    if slot is not None and slot.bill is not None:
        return account, slot, BillRecorded(bill=slot.bill)
    account = settle_bill(account, bill)
    if slot is None:
        slot = Slot(body_hash=bill.body_hash, bill=bill)
    else:
        slot = msgspec.structs.replace(slot, bill=bill)
    return account, slot, BillRecorded(bill=bill)


def _claim_request(slot: Slot | None, change: ClaimRequest) -> Slot:
    """Grants the claim if the slot is free; a released claim is never granted again."""
    is_free = slot is None or (slot.released and slot.claim_id != change.claim_id)
    if slot is not None and slot.bill is not None:
        is_free = False
    if not is_free:
        return slot
    return Slot(
        body_hash=change.body_hash,
        claim_id=change.claim_id,
        claimed_by=change.claimed_by,
        claimed_at=change.claimed_at,
    )


def _release_claim(slot: Slot | None, change: ReleaseClaim) -> Slot:
    """Marks the claim as released, even if the claim itself has not been applied yet."""
    if slot is None:
        return Slot(body_hash="", claim_id=change.claim_id, released=True)
    if slot.claim_id != change.claim_id or slot.bill is not None:
        return slot
    return msgspec.structs.replace(slot, released=True)
