"""Asks the routers what they know of a shard after the store came back from an older copy."""

import asyncio
from collections.abc import Callable

import msgspec
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from .account import Account, RestateGrants, Shard
from .peers import Acknowledged, BudgetFleet, KeepShardCopy, RecallShard, ShardRecalled
from .restatement import (
    MAX_UNHEARD_ROUTERS,
    ShardCopy,
    choose_newest_copy,
    list_holders,
    restate_grants,
    withhold_available,
)

RECENT_SECONDS = 15.0
"""Age up to which a router may have drawn tokens that the store's copy lacks. The copies are at
most about ten seconds old, and the store is away for some seconds before it returns."""
RECALL_TIMEOUT_SECONDS = 0.5
KEEP_COPY_TIMEOUT_SECONDS = 0.2
DRAW_KNOWERS = 3
"""Routers that know of a draw before it is used: its holder, its writer and keepers."""

_log = get_part_logger("budget")


class ShardRecall:
    """Rebuilds shards from what this process and its peers know, and spreads that knowledge."""

    __slots__ = (
        "_clock",
        "_copies",
        "_fleet",
        "_make_statements",
        "_metrics",
        "_started_seconds",
    )

    def __init__(self, *, fleet: BudgetFleet, clock: Clock, metrics: Metrics):
        """Creates the component without any copies.

        Args:
            fleet: Other routers.
            clock: Source of monotonic time.
            metrics: Counters.
        """
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._started_seconds = clock.monotonic_seconds()
        self._copies: dict[int, ShardCopy] = {}
        self._make_statements: Callable[[int], list[RestateGrants]] = lambda shard: []

    @property
    def self_name(self) -> str:
        """Incarnation of this process."""
        return self._fleet.self_name

    def set_statement_source(self, make_statements: Callable[[int], list[RestateGrants]]) -> None:
        """Sets the function that states this process's own grants of a shard."""
        self._make_statements = make_statements

    def keep_copy(self, shard: int, copy: ShardCopy) -> None:
        """Keeps a record of a shard if it is newer than the kept one."""
        kept = self._copies.get(shard)
        if kept is None or copy.order > kept.order:
            self._copies[shard] = copy

    async def share_copy(self, shard: int, copy: ShardCopy, holders: set[str]) -> bool:
        """Gives a record with new draws to other routers before the draws are used.

        Args:
            shard: Number of the shard.
            copy: The record that this process wrote.
            holders: The routers that drew.

        Returns:
            Whether each draw is known to a second router, or no other one was heard of for a long
            time.
        """
        peers = self._fleet.list_peers()
        knowers = {self.self_name, *(holders if len(holders) == 1 else ())}
        keepers = [peer for peer in peers if peer not in knowers]
        missing = max(0, DRAW_KNOWERS - len(knowers))
        message = KeepShardCopy(shard=shard, copy=copy)
        kept = await asyncio.gather(
            *(self._give_copy(peer, message) for peer in keepers[:missing])
        )
        if all(kept) and len(kept) == missing:
            return True
        self._metrics.count("budget.copies_not_kept")
        if holders != {self.self_name} or any(kept):
            return True
        for peer in keepers[missing : 2 * missing]:
            if await self._give_copy(peer, message):
                return True
        return not self._fleet.list_recent_routers(RECENT_SECONDS)

    async def _give_copy(self, peer: str, message: KeepShardCopy) -> bool:
        try:
            reply = await self._fleet.call(peer, message, KEEP_COPY_TIMEOUT_SECONDS)
        except PeerError:
            return False
        return isinstance(reply, Acknowledged)

    def answer(self, shard: int) -> ShardRecalled:
        """Returns what this process knows of a shard."""
        return ShardRecalled(
            copy=self._copies.get(shard),
            statements=self._make_statements(shard),
            recent_routers=self._fleet.list_recent_routers(RECENT_SECONDS),
            running_seconds=self._clock.monotonic_seconds() - self._started_seconds,
        )

    async def rebuild(self, shard: int, era: int, stored: list[ShardCopy]) -> Shard:
        """Returns a shard as it continues in a new era.

        Args:
            shard: Number of the shard.
            era: The new era.
            stored: Records of earlier eras that the store still has.
        """
        replies = await self._ask_peers(RecallShard(shard=shard, era=era))
        # The own answer comes last: until then this process may still spend and return tokens.
        replies[self._fleet.self_name] = self.answer(shard)
        # Of two equal serial numbers the first wins. A stored record may come from a write that
        # was executed late and never acknowledged.
        known = [reply.copy for reply in replies.values() if reply.copy is not None]
        known.extend(stored)
        newest = choose_newest_copy(known)
        rebuilt = newest.shard if newest else Shard()
        unheard = _find_unheard(rebuilt, replies)
        accounts = dict(rebuilt.accounts)
        for reply in replies.values():
            for statement in reply.statements:
                account = accounts.get(statement.workspace, Account())
                accounts[statement.workspace] = restate_grants(account, statement)
        if len(unheard) > MAX_UNHEARD_ROUTERS:
            accounts = {
                workspace: withhold_available(account, unheard)
                for workspace, account in accounts.items()
            }
        if accounts:
            self._log_rebuilt(shard, era, newest, replies, unheard)
        return msgspec.structs.replace(rebuilt, accounts=accounts)

    async def _ask_peers(self, message: RecallShard) -> dict[str, ShardRecalled]:
        peers = self._fleet.list_peers()
        replies = await asyncio.gather(
            *(self._fleet.call(peer, message, RECALL_TIMEOUT_SECONDS) for peer in peers),
            return_exceptions=True,
        )
        answered = {}
        for peer, reply in zip(peers, replies, strict=True):
            if isinstance(reply, BaseException) and not isinstance(reply, PeerError):
                raise reply
            if isinstance(reply, ShardRecalled):
                answered[peer] = reply
        return answered

    def _log_rebuilt(
        self,
        shard: int,
        era: int,
        newest: ShardCopy | None,
        replies: dict[str, ShardRecalled],
        unheard: set[str],
    ) -> None:
        self._metrics.count("budget.shards_rebuilt")
        fields = {
            "shard": shard,
            "era": era,
            "newest_era": newest.era if newest else 0,
            "newest_serial": newest.shard.serial if newest else 0,
            "restated_grants": sum(
                len(statement.grants)
                for reply in replies.values()
                for statement in reply.statements
            ),
            "heard": len(replies),
            "unheard": ",".join(sorted(unheard)),
        }
        _log.warning("account shard written again after the store's return", fields=fields)


def _find_unheard(newest: Shard, replies: dict[str, ShardRecalled]) -> set[str]:
    """Returns the routers that may have drawn tokens shortly before and did not answer.

    If no answering router ran all that time, the holders in the record count as well, because
    nobody can tell when they were last heard of.
    """
    candidates = {name for reply in replies.values() for name in reply.recent_routers}
    if max(reply.running_seconds for reply in replies.values()) < RECENT_SECONDS:
        candidates |= list_holders(newest)
    return candidates - set(replies)
