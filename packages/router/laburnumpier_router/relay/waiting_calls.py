"""The direct calls that wait for the head of an answer, and those of them that reached no server.

A network may accept a connection for a server that it does not reach. Such a call looks like one
to a slow server until this router finds out that it is cut off. The calls that were sent after the
last one that was answered wait on, as the cut may end, but no server works on them: one that got
its request just before the cut has ended it by the time at which the cut is known.
"""

import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class WaitingCall:
    """A direct call without an answer so far.

    Attributes:
        started_seconds: Monotonic time at which its connection was begun.
        report_stranded: Told if the call reached no server; None if nobody needs to know.
    """

    started_seconds: float
    report_stranded: Callable[[], None] | None


class WaitingCalls:
    """All direct calls that wait for the head of an answer."""

    __slots__ = ("_calls",)

    def __init__(self):
        """Creates it without calls."""
        self._calls: set[WaitingCall] = set()

    def add(
        self, started_seconds: float, report_stranded: Callable[[], None] | None
    ) -> WaitingCall:
        """Adds a call that is about to be sent."""
        call = WaitingCall(started_seconds=started_seconds, report_stranded=report_stranded)
        self._calls.add(call)
        return call

    def remove(self, call: WaitingCall) -> None:
        """Removes a call that was answered or has ended."""
        self._calls.discard(call)

    def report_stranded(self, reached_seconds: float) -> int:
        """Reports the calls that were started after the last answered one, each once.

        Args:
            reached_seconds: Monotonic time at which the last answered call was started.

        Returns:
            The number of these calls.
        """
        stranded = [call for call in self._calls if call.started_seconds > reached_seconds]
        for call in stranded:
            self._calls.discard(call)
            if call.report_stranded is not None:
                call.report_stranded()
        return len(stranded)
