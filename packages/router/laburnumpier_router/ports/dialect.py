"""The port to the headers that callers and backend servers of a platform speak.

The forwarding of requests knows what a header says, never how it is called.
"""

import dataclasses
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """One cacheable part of a prompt: its identity and its length in tokens."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """What a caller says of a request beside method, path and body.

    Attributes:
        attempt_id: Identity of this attempt; each attempt of a caller has its own.
        key: Secret key of the caller; empty when there is none.
        patience_seconds: How long the caller waits; None when it does not say.
        prompt_tokens: Tokens of the prompt; 0 for plain calls.
        max_output_tokens: Most tokens that the answer may have.
        prompt_parts: Parts of the prompt in order; shared ones come first.
        resume_after: Last event id that the caller holds; None for a new stream.
    """

    attempt_id: str = ""
    api_key: str = ""
    timeout_seconds: float | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    resume_after: int | None = None

    @property
    def max_cost_tokens(self) -> int:
        """Most tokens that the request can cost."""
        return self.prompt_tokens + self.max_output_tokens


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedRequestInfo:
    """What the router tells a server about a forwarded request.

    Attributes:
        server_id: The server that must run it, and no other at its address.
        workspace: Who pays; empty when nobody does.
        left_seconds: Time after which nobody waits for the answer.
        urgency: From 0, the most urgent, to 9; None to leave it to the server.
        resume_after: Last event id that the caller holds; None for a new stream.
    """

    server_id: str
    workspace: str
    remaining_seconds: float
    urgency: int | None = None
    resume_after: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """What a server says beside status and body.

    Attributes:
        attempt_id: Attempt that the answer belongs to; empty when it does not say.
        did_not_run: Whether the server states that it did not run the request.
        running: Requests that it runs now; None when it does not say.
        waiting: Requests that wait there.
    """

    attempt_id: str
    not_executed: bool
    running: int | None = None
    waiting: int = 0


class Dialect(Protocol):
    """Translates headers."""

    def read_request(self, headers: CIMultiDictProxy[str]) -> RequestHead:
        """Returns what a caller says; raises `RequestError` for values that cannot be read."""

    def make_server_headers(
        self, headers: CIMultiDictProxy[str], info: ForwardedRequestInfo
    ) -> CIMultiDict[str]:
        """Returns the headers of the forwarded request."""

    def read_response(self, status: int, headers: CIMultiDictProxy[str]) -> ResponseHead:
        """Returns what a server says."""

    def make_caller_headers(self, headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
        """Returns a server's headers as the caller gets them."""
