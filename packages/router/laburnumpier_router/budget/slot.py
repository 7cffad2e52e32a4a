"""Slots, the store records that hold the claim and the bill of one request id.

A slot is created by a claim for non-idempotent calls, and by a bill for all others. It is written
in the same transaction as the account shard, so a bill and its payment are stored atomically and
a request id cannot be billed twice.
"""

import msgspec


class Charge(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of a bill that are paid from one grant."""

    grant_id: str
    tokens: int


class StoredOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Response of a non-streaming service, stored with the bill so any router can replay it.

    Attributes:
        status: HTTP status of the response.
        content_type: Value of the Content-Type header.
        body: Response body; None if it was too large to store.
        has_explicit_end: Whether a length or chunks showed that the body is whole.
    """

    status: int
    content_type: str
    body: bytes | None
    has_explicit_end: bool = True


class Bill(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of one request and the grants that pay for it.

    Attributes:
        workspace: Workspace whose budget is charged.
        request_id: Id of the request, unique within the workspace.
        body_hash: Digest of the request body, used to detect a reused idempotency key.
        tokens: Tokens billed, the sum of the charges.
        charges: Tokens charged to each grant.
        target: Requested model or service.
        server: Backend server that ran the request.
        router: Incarnation of the router that served the request.
        finished_at: Wall-clock time in seconds since the epoch.
        outcome: Stored response of a non-streaming service, if any.
    """

    workspace: str
    request_id: str
    body_hash: str
    tokens: int
    charges: tuple[Charge, ...]
    target: str
    server: str
    router: str
    finished_at: float
    outcome: StoredOutcome | None = None


class Slot(msgspec.Struct, frozen=True, kw_only=True):
    """State of one request id in the store.

    Attributes:
        body_hash: Digest of the request body.
        claim_id: Id of the newest claim; empty if the request needs none.
        claimed_by: Incarnation of the router that made the claim.
        claimed_at: Wall-clock time of the claim in seconds since the epoch.
        released: Whether the claim was released unused.
        bill: The bill, present once the request has ended.
    """

    body_hash: str
    claim_id: str = ""
    claimed_by: str = ""
    claimed_at: float = 0.0
    released: bool = False
    bill: Bill | None = None

    def is_held_by(self, claim_id: str) -> bool:
        """Returns whether this claim currently permits running the request."""
        return self.claim_id == claim_id and not self.released and self.bill is None


def format_slot_key(workspace: str, request_id: str) -> str:
    """Returns the store key of the slot of a request."""
    return f"slot/{workspace}/{request_id}"


def format_slot_prefix(workspace: str) -> str:
    """Returns the store key prefix of all slots of a workspace."""
    return f"slot/{workspace}/"
