"""Model of the prompt parts that one server holds in its prefix cache.

A router sees only its own sends. It assumes that a server keeps the parts of the prompts that were
sent there, removes the least recently used ones first, and reads a part again unless that part and
all parts before it are held.
"""

import collections
import dataclasses

from ..ports.dialect import PromptPart

MAX_PARTS = 2048
"""Parts remembered of one server, whatever their size; bounds the memory of the router."""
MIN_KEPT_SECONDS = 5.0
"""Least time for which a part is assumed to be held; two turns of a conversation are closer."""
MAX_KEPT_SECONDS = 600.0
"""Time after which a part no longer counts as held, also at a server without traffic."""


@dataclasses.dataclass(slots=True, kw_only=True)
class HeldPart:
    """A part that the server is assumed to hold.

    Attributes:
        tokens: Length of the part.
        used_seconds: Monotonic time of the last request with the part.
        use_count: Requests of this router with the part, since it was read.
    """

    tokens: int
    used_seconds: float
    use_count: int = 1


class HeldParts:
    """The parts that one server is assumed to hold, least recently used first."""

    __slots__ = ("_capacity_tokens", "_kept_seconds", "_parts", "_total_tokens")

    def __init__(self):
        """Creates the model of an empty cache without a bound in tokens."""
        self._parts: collections.OrderedDict[str, HeldPart] = collections.OrderedDict()
        self._capacity_tokens = 0
        self._kept_seconds = MAX_KEPT_SECONDS
        self._total_tokens = 0

    @property
    def total_tokens(self) -> int:
        """Tokens of all parts."""
        return self._total_tokens

    @property
    def part_count(self) -> int:
        """Number of parts."""
        return len(self._parts)

    @property
    def is_empty(self) -> bool:
        """Whether the server is assumed to hold nothing."""
        return not self._parts

    def set_limits(self, *, capacity_tokens: int, kept_seconds: float) -> None:
        """Sets the bounds and removes the parts beyond them.

        Args:
            capacity_tokens: Tokens that this router's prompts may take; 0 if unknown.
            kept_seconds: Time without use after which a part no longer counts as held.
        """
        self._capacity_tokens = capacity_tokens
        self._kept_seconds = min(MAX_KEPT_SECONDS, max(MIN_KEPT_SECONDS, kept_seconds))
        self._evict(keep_count=0)

    def count_held(self, parts: tuple[PromptPart, ...], now_seconds: float) -> int:
        """Returns the tokens at the start of a prompt that need not be read again."""
        held_parts, oldest_seconds = self._parts, now_seconds - self._kept_seconds
        tokens = 0
        for part in parts:
            held = held_parts.get(part.part_id)
            if held is None or held.used_seconds < oldest_seconds:
                break
            tokens += held.tokens
        return tokens

    def record_prompt(self, parts: tuple[PromptPart, ...], now_seconds: float) -> None:
        """Records that the server has read a prompt."""
        oldest_seconds = now_seconds - self._kept_seconds
        for part in parts:
            held = self._parts.get(part.part_id)
            if held is None:
                self._parts[part.part_id] = HeldPart(tokens=part.tokens, used_seconds=now_seconds)
                self._total_tokens += part.tokens
                continue
            held.use_count = 1 if held.used_seconds < oldest_seconds else held.use_count + 1
            held.used_seconds = now_seconds
            self._parts.move_to_end(part.part_id)
        self._evict(keep_count=len(parts))

    def count_evicted(self, new_tokens: int) -> int:
        """Returns the tokens of parts in repeated use that new ones would replace."""
        if not self._capacity_tokens:
            return 0
        missing_tokens = self._total_tokens + new_tokens - self._capacity_tokens
        repeated_tokens = 0
        for held in self._parts.values():
            if missing_tokens <= 0:
                break
            missing_tokens -= held.tokens
            if held.use_count > 1:
                repeated_tokens += held.tokens
        return repeated_tokens

    def _evict(self, *, keep_count: int) -> None:
        """Removes the least recently used parts, but not the given number of latest ones."""
        while len(self._parts) > keep_count and (
            len(self._parts) > MAX_PARTS
            or (self._capacity_tokens and self._total_tokens > self._capacity_tokens)
        ):
            _, held = self._parts.popitem(last=False)
            self._total_tokens -= held.tokens
