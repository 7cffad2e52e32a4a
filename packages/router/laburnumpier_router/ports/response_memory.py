"""The memory for the bodies of servers' responses, and the errors of failed calls to servers."""

from laburnumpier_core.bounded_http import InvalidResponseError, ResponseLimitError
from laburnumpier_core.errors import (
    ServerConnectionLostError,
    ServerResponseInvalidError,
    ServerResponseLimitError,
)

from ..intake.memory import CallerMemory, MemoryShare, make_caller_memory

MAX_SHARED_BODY_BYTES = 32 * 1024 * 1024
"""Memory for all large bodies of a client at the same time; the smallest VMs have 150 MB."""
UNSHARED_BODY_BYTES = 64 * 1024
"""Size up to which a body takes nothing of the shared memory."""
MAX_CONTROL_BODY_BYTES = 64 * 1024
"""Size of a response to a control call, such as a load report, and of an error response."""


class BodyMemory:
    """The memory that the large bodies of a client share, within that of all callers."""

    __slots__ = ("callers", "used_bytes")

    def __init__(self, *, callers: CallerMemory | None = None):
        """Creates the memory with nothing in use.

        Args:
            callers: Account of what callers make the process hold; by default one of its own.
        """
        self.callers = callers or make_caller_memory(0)
        self.used_bytes = 0

    def open_share(self) -> MemoryShare:
        """Returns a share of nothing in the account of all callers."""
        return MemoryShare(memory=self.callers)


class BodyReservation:
    """The share of one body in the memory of all; small bodies need none."""

    __slots__ = ("_memory", "_share", "_taken_bytes")

    def __init__(self, *, memory: BodyMemory):
        """Creates a reservation of nothing."""
        self._memory = memory
        self._share = memory.open_share()
        self._taken_bytes = 0

    def grow(self, size_bytes: int) -> None:
        """Takes as much of the memory as a body of a size needs.

        Raises:
            ResponseLimitError: If other bodies have taken too much of it.
        """
        needed_bytes = max(0, size_bytes - UNSHARED_BODY_BYTES) - self._taken_bytes
        if needed_bytes <= 0:
            return
        if self._memory.used_bytes + needed_bytes > MAX_SHARED_BODY_BYTES:
            raise ResponseLimitError("bodies_too_large", MAX_SHARED_BODY_BYTES)
        if not self._share.set_bytes(size_bytes):
            raise ResponseLimitError("bodies_too_large", self._memory.callers.limit_bytes)
        self._memory.used_bytes += needed_bytes
        self._taken_bytes += needed_bytes

    def release(self) -> None:
        """Returns the share."""
        self._share.release()
        self._memory.used_bytes -= self._taken_bytes
        self._taken_bytes = 0


def make_lost_error(error: Exception) -> ServerConnectionLostError:
    """Returns the error of a call to a server whose response was lost, invalid or too large."""
    if isinstance(error, ResponseLimitError):
        return ServerResponseLimitError(error.reason, str(error))
    if isinstance(error, InvalidResponseError):
        return ServerResponseInvalidError(str(error))
    return ServerConnectionLostError(repr(error))
