"""Decodes bytes that another process wrote: a server, a peer, an operator, or the store.

Decoders fail in more ways than their own error says. Data that is nested too deeply raises
`RecursionError`, and a number or text that has no value here may raise `OverflowError` or a plain
`ValueError`. Each of them becomes the same error, so that a caller handles all that cannot be read
in one place.
"""

from typing import Any, Generic, TypeVar

import msgspec

from .errors import UnreadableDataError

T = TypeVar("T")

_FAILURES = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError)


def decode_json(data: bytes | str, data_type: type[T] = Any) -> T:
    """Returns the value of a JSON text.

    Args:
        data: The text.
        data_type: Type of the value; `Any` for plain dictionaries, lists and scalars.

    Raises:
        UnreadableDataError: If the text is no JSON, or holds no value of the type.
    """
    try:
        return msgspec.json.decode(data, type=data_type)
    except _FAILURES as error:
        raise UnreadableDataError(repr(error)) from error


def decode_msgpack(data: bytes, data_type: type[T] = Any) -> T:
    """Returns the value of a MessagePack message; see `decode_json`.

    Raises:
        UnreadableDataError: If the message is invalid, or holds no value of the type.
    """
    try:
        return msgspec.msgpack.decode(data, type=data_type)
    except _FAILURES as error:
        raise UnreadableDataError(repr(error)) from error


class MessagePackDecoder(Generic[T]):
    """Decodes many MessagePack messages of one type, whose schema is built only once."""

    __slots__ = ("_decoder",)

    def __init__(self, *, data_type: type[T]):
        """Builds the schema of a type."""
        self._decoder = msgspec.msgpack.Decoder(data_type)

    def decode(self, data: bytes) -> T:
        """Returns the value of a message; see `decode_msgpack`.

        Raises:
            UnreadableDataError: If the message is invalid, or holds no value of the type.
        """
        try:
            return self._decoder.decode(data)
        except _FAILURES as error:
            raise UnreadableDataError(repr(error)) from error
