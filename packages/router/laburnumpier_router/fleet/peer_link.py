"""Typed request-reply calls between routers.

Each message is wrapped in an envelope. It names the sender and the target process, because another
process may have taken over the target's address, and carries the fleet token, which authenticates
the sender as a router of the fleet.
"""

import hmac
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Union

import msgspec
from laburnumpier_core.decoding import MessagePackDecoder, decode_msgpack
from laburnumpier_core.errors import (
    PeerError,
    PeerMessageError,
    PeerUnreachableError,
    UnreadableDataError,
)
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from .peer_network import PeerNetwork

MessageHandler = Callable[[str, Any], Awaitable[Any]]

_log = get_part_logger("peer")


class Refused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply of a peer that rejected a message or failed to process it."""

    reason: str


class Envelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Frame of every message between routers.

    Attributes:
        sender: Incarnation of the sender.
        target: Incarnation of the receiver; empty for any process at the address.
        token: Shared secret of the fleet.
        body: The encoded message.
    """

    sender: str
    target: str
    token: str
    body: msgspec.Raw


class PeerLink:
    """Encodes messages, validates envelopes and dispatches requests to their handlers."""

    __slots__ = (
        "_decoder",
        "_encoder",
        "_handlers",
        "_metrics",
        "_network",
        "_self_name",
        "_token",
    )

    def __init__(
        self,
        *,
        network: PeerNetwork,
        self_name: str,
        token: str,
        message_types: Iterable[type],
        metrics: Metrics,
    ):
        """Creates the link.

        Args:
            network: Transport of encoded messages.
            self_name: Incarnation of this process.
            token: Shared secret of the fleet.
            message_types: All request and reply types.
            metrics: Counters.
        """
        self._network = network
        self._self_name = self_name
        self._token = token
        self._metrics = metrics
        self._handlers: dict[type, MessageHandler] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = MessagePackDecoder(data_type=Union[(*message_types, Refused)])

    def register_handler(self, message_type: type, handler: MessageHandler) -> None:
        """Registers the handler of a request type; it receives the sender and the message."""
        self._handlers[message_type] = handler

    async def start(self) -> None:
        """Starts serving requests of peers."""
        await self._network.serve(self._handle_request)

    async def close(self) -> None:
        """Stops serving requests of peers and closes the connections."""
        await self._network.close()

    async def call(self, address: str, target: str, message: Any, timeout_seconds: float) -> Any:
        """Sends a message and returns the typed reply.

        Args:
            address: Address at which the target listens.
            target: Incarnation of the receiver; empty for any process at the address.
            message: The request.
            timeout_seconds: Time limit of the call.

        Returns:
            The reply.

        Raises:
            PeerUnreachableError: If there is no reply in time, the reply cannot be decoded, or the
                peer refuses the message, as when another process listens at the address.
            PeerMessageError: If the message cannot be encoded; nothing was sent.
        """
        self._metrics.count("peer.messages_sent")
        try:
            request = self._encode_envelope(message, target)
        except (ValueError, OverflowError, TypeError) as error:
            self._metrics.count("peer.unencodable")
            name = type(message).__name__
            _log.exception("message cannot be encoded", fields={"message": name})
            raise PeerMessageError(f"{name}: {error}") from error
        self._metrics.count("peer.bytes_sent", len(request))
        reply = await self._network.call(address, request, timeout_seconds)
        try:
            decoded = self._decoder.decode(reply)
        except UnreadableDataError as error:
            raise PeerUnreachableError(f"{target}: the reply could not be decoded") from error
        if isinstance(decoded, Refused):
            raise PeerUnreachableError(f"{target}: {decoded.reason}")
        return decoded

    def _encode_envelope(self, message: Any, target: str) -> bytes:
        envelope = Envelope(
            sender=self._self_name,
            target=target,
            token=self._token,
            body=msgspec.Raw(self._encoder.encode(message)),
        )
        return self._encoder.encode(envelope)

    async def _handle_request(self, request: bytes) -> bytes:
        """Returns the encoded reply to a request; never raises, not even for invalid input."""
        reply = await self._process_request(request)
        self._metrics.count("peer.replies_sent")
        self._metrics.count("peer.bytes_sent", len(reply))
        return reply

    async def _process_request(self, request: bytes) -> bytes:
        try:
            envelope = decode_msgpack(request, Envelope)
            if not hmac.compare_digest(envelope.token.encode(), self._token.encode()):
                self._metrics.count("peer.unauthorized")
                return self._encoder.encode(Refused(reason="the fleet token is wrong"))
            if envelope.target not in ("", self._self_name):
                return self._encoder.encode(Refused(reason="another process listens here"))
            message = self._decoder.decode(envelope.body)
        except UnreadableDataError:
            self._metrics.count("peer.unreadable")
            return self._encoder.encode(Refused(reason="the message is unreadable"))
        handler = self._handlers.get(type(message))
        if handler is None:
            return self._encoder.encode(Refused(reason="the message is not a request"))
        try:
            return self._encoder.encode(await handler(envelope.sender, message))
        except PeerError as error:
            return self._encoder.encode(Refused(reason=str(error)))
        except Exception:
            _log.exception(
                "message handler raised an exception", fields={"message": type(message).__name__}
            )
            return self._encoder.encode(Refused(reason="the handler failed"))
