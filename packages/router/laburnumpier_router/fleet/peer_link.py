"""Typed calls between routers.

An envelope names the sender and the process it is meant for, because an address may have been
taken over by another process, and carries the fleet's token, which keeps strangers out.
"""

import hmac
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Union

import msgspec
from laburnumpier_core.errors import PeerError, PeerUnreachableError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from .peer_network import PeerNetwork

MessageHandler = Callable[[str, Any], Awaitable[Any]]

_log = get_part_logger("peer")


class Refused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The peer did not process the message."""

    reason: str


class Envelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Frame of every message between routers.

    Attributes:
        sender: Incarnation of the sender.
        target: Incarnation it is meant for; empty for whoever listens at the address.
        token: The fleet's shared secret.
        body: The encoded message.
    """

    sender: str
    target: str
    token: str
    body: msgspec.Raw


class PeerLink:
    """Encodes messages, checks envelopes and hands messages to their handlers."""

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
            network: Carries bytes.
            self_name: Incarnation of this process.
            token: The fleet's shared secret.
            message_types: Every request and reply type that may be carried.
            metrics: Counters.
        """
        self._network = network
        self._self_name = self_name
        self._token = token
        self._metrics = metrics
        self._handlers: dict[type, MessageHandler] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Union[(*message_types, Refused)])

    def handle(self, message_type: type, handler: MessageHandler) -> None:
        """Registers the handler of one request type; it gets the sender and the message."""
        self._handlers[message_type] = handler

    async def start(self) -> None:
        """Starts answering peers."""
        await self._network.serve(self._answer)

    async def close(self) -> None:
        """Stops answering peers."""
        await self._network.close()

    async def call(self, address: str, target: str, message: Any, timeout_seconds: float) -> Any:
        """Sends a message and returns the typed reply.

        Args:
            address: Where the target listens.
            target: Incarnation it is meant for; empty for whoever listens there.
            message: The request.
            timeout_seconds: How long to wait for the reply.

        Returns:
            The reply.

        Raises:
            PeerUnreachableError: If there is no reply, or another process listens at the address.
        """
        self._metrics.count("peer.messages_sent")
        request = self._encode(message, target)
        self._metrics.count("peer.bytes_sent", len(request))
        reply = await self._network.call(address, request, timeout_seconds)
        try:
            decoded = self._decoder.decode(reply)
        except msgspec.MsgspecError as error:
            raise PeerUnreachableError(f"{target}: unreadable reply") from error
        if isinstance(decoded, Refused):
            raise PeerUnreachableError(f"{target}: {decoded.reason}")
        return decoded

    def _encode(self, message: Any, target: str) -> bytes:
        envelope = Envelope(
            sender=self._self_name,
            target=target,
            token=self._token,
            body=msgspec.Raw(self._encoder.encode(message)),
        )
        return self._encoder.encode(envelope)

    async def _answer(self, request: bytes) -> bytes:
        """Handles one request; whatever arrives, a reply is returned and nothing is raised."""
        reply = await self._make_reply(request)
        self._metrics.count("peer.replies_sent")
        self._metrics.count("peer.bytes_sent", len(reply))
        return reply

    async def _make_reply(self, request: bytes) -> bytes:
        try:
            envelope = msgspec.msgpack.decode(request, type=Envelope)
            if not hmac.compare_digest(envelope.token.encode(), self._token.encode()):
                self._metrics.count("peer.unauthorized")
                return self._encoder.encode(Refused(reason="the fleet token is wrong"))
            if envelope.target not in ("", self._self_name):
                return self._encoder.encode(Refused(reason="another process listens here"))
            message = self._decoder.decode(envelope.body)
        except msgspec.MsgspecError:
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
            _log.exception("handler failed", fields={"message": type(message).__name__})
            return self._encoder.encode(Refused(reason="the handler failed"))
