"""State of a forwarded request while it is served."""

import dataclasses

from multidict import CIMultiDict

from ..configuration.document import Route, RouteKind
from ..estimates.observation import UNOBSERVED, SendObserver
from ..places.held_places import HeldPlace
from ..ports.server_registry import RegisteredServer
from ..sending.handover import Handover
from .crash_messages import MAX_PART_ID_LENGTH
from .event_stream import EventSplitter
from .exchange import ForwardRequest
from .request_fingerprint import make_request_fingerprint
from .watched_run import WatchedRun


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ErrorResponse:
    """A server's error response, for the caller if no other server responds."""

    status: int
    headers: CIMultiDict[str]
    body: bytes
    has_explicit_end: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestProgress:
    """State of a request while it is served.

    Attributes:
        send_count: Number of times that it was sent to a server.
        may_have_run: Whether it may have run at a server.
        response_status: Status of the response to the caller; 0 before there is one.
        server_end: How the last server's response said where it ends: `length`, `chunks` or
            `close`, the end of its connection; empty before there is one.
        has_open_end: Whether the last server ended its stream with its connection after whole
            events, which may be the end or a crash.
        is_end_asked: Whether another server was or is asked what follows such an end.
        error_response: Last error response of a server that was not delivered; None if there is
            none.
        waited_ms: Time for which the request waited for tokens.
        is_cut: Whether it was ended because the router has to exit.
        is_spoiled: Whether the caller has received events of a stream without end.
        attempt_log: Ids of the servers tried, in order, each with the reason of its failure, for
            logs.
        tried_server_ids: Servers that are not chosen again.
        sent_to: Registry entry of the server to which it was last sent, as of that moment.
        software_version: Version at which the stream began, and the only one at which it may go
            on; None before its first event.
        is_version_recorded: Whether this response has passed on an event.
        is_trial: Whether a blocked part of its prompt is tried, at one server.
        run: The request at the server to which it was last sent.
        lost_count: Number of servers that lost it before its answer had begun.
        place: Its place at the server to which it is sent; None before.
        observer: Learns from what becomes of it at the server to which it was last sent.
        choice_reason: Why the last server was chosen, in short; empty if the placement keeps none.
        handover: Attempt at a server that took it, or may take it, from a silent one.
        is_taking_over: Whether the silent server is still kept, as the other one has not taken it.
    """

    request: ForwardRequest
    route_name: str
    route: Route
    service: str
    workspace: str
    deadline_seconds: float
    splitter: EventSplitter
    tokens_per_event: int = 1
    send_count: int = 0
    may_have_run: bool = False
    response_status: int = 0
    server_end: str = ""
    has_open_end: bool = False
    is_end_asked: bool = False
    error_response: ErrorResponse | None = None
    waited_ms: int = 0
    is_cut: bool = False
    is_spoiled: bool = False
    attempt_log: list[str] = dataclasses.field(default_factory=list)
    tried_server_ids: set[str] = dataclasses.field(default_factory=set)
    sent_to: RegisteredServer | None = None
    software_version: str | None = None
    is_version_recorded: bool = False
    is_trial: bool = False
    run: WatchedRun | None = None
    lost_count: int = 0
    place: HeldPlace | None = None
    observer: SendObserver = UNOBSERVED
    choice_reason: str = ""
    handover: Handover | None = None
    is_taking_over: bool = False
    _fingerprint: str = ""

    @property
    def fingerprint(self) -> str:
        """Identifies the request if it comes again."""
        if not self._fingerprint:
            self._fingerprint = make_request_fingerprint(self.request, self.workspace)
        return self._fingerprint

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the parts of the prompt that other requests may have; the last is its own."""
        parts = self.request.head.prompt_parts[:-1]
        return tuple(p.part_id for p in parts if len(p.part_id) <= MAX_PART_ID_LENGTH)

    @property
    def suspects(self) -> tuple[str, ...]:
        """What may crash a server: the shared parts of the prompt, and the request itself."""
        return (*self.shared_parts, self.fingerprint)

    @property
    def is_retryable(self) -> bool:
        """Whether the request may be sent again although it may have run already."""
        # A response that has started can only go on, not begin again.
        is_repeatable = self.route.kind is RouteKind.IDEMPOTENT and not self.response_status
        return is_repeatable or self.is_resumable

    @property
    def is_resumable(self) -> bool:
        """Whether its stream can go on at another server."""
        is_resumable = self.route.kind is RouteKind.STREAM and self.route.resumable
        is_in_doubt = self.is_spoiled or self.splitter.has_unnumbered_event
        return is_resumable and not is_in_doubt

    @property
    def is_taken_up(self) -> bool:
        """Whether it goes on with a stream of which its caller has events."""
        return self.route.kind is RouteKind.STREAM and self.request.head.has_events

    @property
    def charged_tokens(self) -> int:
        """Tokens to be charged: the prompt once, and the events delivered to the caller."""
        if not self.may_have_run:
            return 0
        return self.request.head.prompt_tokens + self.splitter.event_count * self.tokens_per_event
