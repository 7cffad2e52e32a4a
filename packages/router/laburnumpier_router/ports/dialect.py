"""The interface to the HTTP headers of a platform's callers and backend servers.

Request forwarding works with the parsed values; only a dialect knows the header names.
"""

import dataclasses
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """A cacheable part of a prompt: its id and its length in tokens."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """Values that a caller sends in the headers of a request.

    Attributes:
        attempt_id: Id of this attempt; unique among the caller's attempts.
        api_key: API key of the caller; empty if the request has none.
        timeout_seconds: How long the caller waits; None if not stated.
        prompt_tokens: Number of tokens in the prompt; 0 for plain calls.
        max_output_tokens: Upper limit of tokens in the response.
        prompt_parts: Parts of the prompt in order; shared parts come first.
        resume_after: Id of the last event that the caller received; None for a new stream.
        resumes_attempt_id: Attempt that brought the caller the first event of the stream that it
            takes up; empty if not stated.
    """

    attempt_id: str = ""
    api_key: str = ""
    timeout_seconds: float | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    resume_after: int | None = None
    resumes_attempt_id: str = ""

    @property
    def has_events(self) -> bool:
        """Whether the caller has events of the stream already; ids of events start at 1."""
        return bool(self.resume_after and self.resume_after > 0)

    @property
    def max_cost_tokens(self) -> int:
        """Upper limit of tokens that the request can cost."""
        return self.prompt_tokens + self.max_output_tokens


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedRequestInfo:
    """Values that the router sends to a server in the headers of a forwarded request.

    Attributes:
        server_id: Id of the server that must run the request; no other server that listens on
            the same address may run it.
        workspace: Workspace that is billed; empty if the request needs none.
        remaining_seconds: Time after which nobody waits for the response.
        urgency: From 0, the most urgent, to 9; None to use the server's default.
        resume_after: Id of the last event that the caller received; None for a new stream.
    """

    server_id: str
    workspace: str
    remaining_seconds: float
    urgency: int | None = None
    resume_after: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Values that a server sends in the headers of a response.

    Attributes:
        attempt_id: Attempt that the response belongs to; empty if not stated.
        not_executed: Whether the server states that it did not run the request.
        running: Number of requests that the server runs; None if not stated.
        waiting: Number of requests in the server's queue.
        rate_limit: Requests a second that the server takes from all routers together; None if it
            names no limit, or none that can be read.
        has_invalid_rate_limit: Whether it names a limit that cannot be read.
        is_misdirected: Whether the response may come from another server at the same address.
        slots: Number of requests that the server runs concurrently; None if not stated.
        work_percent: How long work takes at the server now, 100 as usual; None if not stated.
        is_leaving: Whether the server states that it accepts no new requests.
        hold_off_seconds: Time for which a server that answers 503 wants no requests from this
            router; None if not stated.
        max_rejects_per_second: Requests a second that the server can reject before it crashes;
            None if it does not state that it is brittle.
        cold_seconds: How much longer the server bears few requests; None if not stated.
        invalid_notices: Names of the headers about the server's state that cannot be read.
    """

    attempt_id: str
    not_executed: bool
    running: int | None = None
    waiting: int = 0
    rate_limit: float | None = None
    has_invalid_rate_limit: bool = False
    is_misdirected: bool = False
    slots: int | None = None
    work_percent: int | None = None
    is_leaving: bool = False
    hold_off_seconds: float | None = None
    max_rejects_per_second: int | None = None
    cold_seconds: float | None = None
    invalid_notices: tuple[str, ...] = ()


class Dialect(Protocol):
    """Converts between a platform's headers and the values used by the router."""

    def read_request(self, headers: CIMultiDictProxy[str]) -> RequestHead:
        """Parses a caller's headers; raises `RequestError` for invalid values."""

    def make_server_headers(
        self, headers: CIMultiDictProxy[str], info: ForwardedRequestInfo
    ) -> CIMultiDict[str]:
        """Returns the headers of the forwarded request, based on the caller's headers."""

    def read_response(self, status: int, headers: CIMultiDictProxy[str]) -> ResponseHead:
        """Parses the headers of a server's response."""

    def make_caller_headers(self, headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
        """Returns the headers of the response to the caller, based on the server's headers."""
