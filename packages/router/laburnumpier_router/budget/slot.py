"""Slots: the one record of each request id, holding its claim and its bill.

A slot is created by a claim (for calls that must not run twice) or by a bill (for all others).
It is written in the same transaction as the account shard, so a bill and its payment stand or
fall together, and a second bill for the same request id is impossible.
"""

import msgspec


class Charge(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of a bill that one grant pays."""

    grant_id: str
    tokens: int


class StoredOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of a plain service, kept with the bill so that a retry gets it from any router.

    Attributes:
        status: HTTP status of the server's answer.
        content_type: Value of its Content-Type header.
        body: Its body; None when it was too large to be kept.
    """

    status: int
    content_type: str
    body: bytes | None


class Bill(msgspec.Struct, frozen=True, kw_only=True):
    """What one request cost.

    Attributes:
        workspace: Who pays.
        request_id: Identity of the request within the workspace.
        body_hash: Digest of the request's body, to recognise a reused key.
        tokens: Tokens billed, the sum of the charges.
        charges: Which grants pay.
        target: Model or service that was asked.
        server: Backend server that ran the request.
        router: Incarnation of the router that served it.
        finished_at: Wall-clock time in seconds since the epoch.
        outcome: The recorded answer of a plain service, if any.
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
        body_hash: Digest of the request's body.
        claim_id: Identity of the newest claim; empty when the request needed none.
        claimed_by: Incarnation of the claiming router.
        claimed_at: Wall-clock time of the claim in seconds.
        released: Whether the claim was given back unused.
        bill: The bill, once the request has ended.
    """

    body_hash: str
    claim_id: str = ""
    claimed_by: str = ""
    claimed_at: float = 0.0
    released: bool = False
    bill: Bill | None = None

    def is_held_by(self, claim_id: str) -> bool:
        """Returns whether this claim gives the right to run the request now."""
        return self.claim_id == claim_id and not self.released and self.bill is None


def format_slot_key(workspace: str, request_id: str) -> str:
    """Returns the store key of a request's slot."""
    return f"slot/{workspace}/{request_id}"


def format_slot_prefix(workspace: str) -> str:
    """Returns the store prefix of all slots of a workspace."""
    return f"slot/{workspace}/"
