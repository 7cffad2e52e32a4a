"""Keeps requests that crash servers away from them, across the fleet.

The cause may be a request itself, or a part that its prompt shares with others; both are handled
alike, and called parts below. Each router sees some of the requests that a crash has ended. One
whose requests had not begun at the server checks whether the server still listens, and tells all
routers of the crash and of the parts of these requests. They answer when an answer with each of
these parts last began, so that the evidence of all routers meets at the one that decides. It tells
all which parts are blocked, and heartbeats tell it again, to routers that were cut off or have
just started.

Whether a request with a blocked part may be tried is decided by one router for each part, the home
of the part, so that there is one trial at a time. In a partition there is one on each side.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator
from typing import Any

from laburnumpier_core.background_tasks import BackgroundTasks
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError, RequestError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import ResultCode

from ..fleet.member import BlockedPart
from ..fleet.service import FleetService
from ..ports.server_registry import RegisteredServer
from .crash_evidence import CrashEvidence, PartKey, SuspectedPart
from .crash_messages import (
    MAX_PARTS_PER_MESSAGE,
    AskTrial,
    BegunPart,
    CrashSeen,
    PartsBegun,
    PartsKept,
    TellParts,
    TrialAnswered,
)
from .exchange import ServerClient
from .servers import ServerTable
from .watched_run import PartBlockedError, WatchedRun

GATHER_SECONDS = 0.02
"""Time in which the losses of one crash are gathered."""
SECOND_CHECK_SECONDS = 0.1
"""Pause before a server that still listens is checked once more; its process may be ending."""
TELL_TIMEOUT_SECONDS = 0.3
MAX_OPEN_CALLS = 32
"""Calls of one broadcast that are open at the same time."""
KNOWN_PART_SECONDS = 60.0
"""Time for which an answer that began makes a repeat after a crash safe enough."""
ASK_INTERVAL_SECONDS = 1.0
"""Time between two questions for a trial by the same router."""
MAX_RETRY_AFTER_SECONDS = 30.0
MAX_TOLD_BLOCKS = 32
"""Blocked parts in one heartbeat."""

_log = get_part_logger("forward")


class CrashGuard:
    """Watches requests until they begin, reports crashes, and refuses blocked prompts."""

    __slots__ = (
        "_checks",
        "_client",
        "_clock",
        "_evidence",
        "_fleet",
        "_lost_runs",
        "_metrics",
        "_runs",
        "_table",
        "_tasks",
    )

    def __init__(
        self,
        *,
        fleet: FleetService,
        table: ServerTable,
        client: ServerClient,
        clock: Clock,
        metrics: Metrics,
    ):
        """Creates a guard without evidence.

        Args:
            fleet: Calls to the other routers.
            table: Registered servers.
            client: Checks whether a server listens.
            clock: Source of time.
            metrics: Counters.
        """
        self._fleet = fleet
        self._table = table
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._evidence = CrashEvidence()
        self._tasks = BackgroundTasks(part="forward", metrics=metrics)
        self._runs: set[WatchedRun] = set()
        self._lost_runs: dict[str, list[WatchedRun]] = {}
        self._checks: dict[str, asyncio.Task[bool]] = {}

    def check(
        self, service: str, shared_parts: tuple[str, ...], suspects: tuple[str, ...]
    ) -> None:
        """Records a request, and refuses one that cannot be let through now.

        Args:
            service: Service of the request.
            shared_parts: Parts of its prompt that others may have.
            suspects: These parts and the request itself.

        Raises:
            RequestError: If one of the suspects is blocked, and no trial is due.
        """
        now = self._clock.monotonic_seconds()
        self._evidence.record_request(service, shared_parts, now)
        blocked = self._evidence.list_blocked(service, suspects)
        if blocked and now < self._evidence.get_trial_seconds(blocked):
            raise self._make_refusal(blocked)

    async def admit(self, service: str, parts: tuple[str, ...]) -> bool:
        """Returns whether a request is a trial of blocked parts; False for usual requests.

        The request has to be ready to be sent, as nobody else gets the trial.

        Raises:
            RequestError: If a part of its prompt is blocked, and no trial is granted.
        """
        blocked = self._evidence.list_blocked(service, parts)
        if not blocked:
            return False
        now = self._clock.monotonic_seconds()
        is_due = now >= self._evidence.get_trial_seconds(blocked)
        if not is_due or not await self._ask_trial(blocked):
            raise self._make_refusal(blocked)
        self._metrics.count("forward.part_trials")
        _log.info("trying a blocked prompt", fields={"service": service, "parts": blocked})
        return True

    def _make_refusal(self, blocked: list[PartKey]) -> RequestError:
        now = self._clock.monotonic_seconds()
        blocked = [key for key in blocked if self._evidence.is_blocked(key)]
        wait_seconds = self._evidence.get_trial_seconds(blocked) - now if blocked else 0.0
        return RequestError(
            ResultCode.PROMPT_BLOCKED,
            retry_after_seconds=min(max(wait_seconds, 1.0), MAX_RETRY_AFTER_SECONDS),
            facts={"blocked": [part for _, part in blocked]},
        )

    def is_blocked(self, service: str, parts: tuple[str, ...]) -> bool:
        """Returns whether one of the parts is blocked."""
        return bool(self._evidence.list_blocked(service, parts))

    @contextlib.asynccontextmanager
    async def watch(self, run: WatchedRun) -> AsyncIterator[None]:
        """Takes a request back from its server if a part is blocked before its answer begins.

        Raises:
            PartBlockedError: If that happened.
        """
        self._runs.add(run)
        try:
            async with asyncio.timeout(None) as run.timeout:
                yield
        except TimeoutError as error:
            if run.timeout.expired():
                raise PartBlockedError from error
            raise
        finally:
            self._runs.discard(run)

    def record_piece(self, run: WatchedRun) -> None:
        """Records a piece of a request's answer."""
        if not run.has_begun and run.is_begun_by(self._clock.monotonic_seconds()):
            self.record_begun(run)

    def record_begun(self, run: WatchedRun) -> None:
        """Records that the answer to a request has begun, which clears its parts."""
        if run.has_begun:
            return
        run.has_begun = True
        self._runs.discard(run)
        now = self._clock.monotonic_seconds()
        unblocked = self._evidence.record_answer(run.service, run.parts, now, run.fingerprint)
        if unblocked:
            self._log_unblocked(unblocked)
            begun = [BegunPart(service=s, part=part, age_ms=0) for s, part in unblocked]
            self._tasks.start(self._broadcast(TellParts(begun=begun)))

    def report_lost(self, run: WatchedRun) -> asyncio.Task[bool]:
        """Reports a request whose connection was lost before its answer began.

        Returns:
            A task that returns whether its server has crashed.
        """
        server_id = run.server.server_id
        self._lost_runs.setdefault(server_id, []).append(run)
        if server_id not in self._checks:
            self._checks[server_id] = self._tasks.start(self._check_server(run.server))
        return self._checks[server_id]

    async def is_repeat_safe(
        self, run: WatchedRun, check: asyncio.Task[bool], *, is_first_loss: bool
    ) -> bool:
        """Returns whether a request that was lost may be sent to another server.

        It may if its server has not crashed. After its first loss it also may if answers with all
        parts of its prompt began lately: most requests are lost beside the cause of a crash.
        """
        oldest_seconds = self._clock.monotonic_seconds() - KNOWN_PART_SECONDS
        if is_first_loss and all(
            self._evidence.get_begun_seconds(run.service, part) >= oldest_seconds
            for part in run.parts
        ):
            return True
        # Other requests wait for the same check.
        return not await asyncio.shield(check)

    def list_blocked_parts(self) -> list[BlockedPart]:
        """Returns the blocked parts for a heartbeat."""
        blocked = list(self._evidence.list_all_blocked().items())[-MAX_TOLD_BLOCKS:]
        return [self._make_block(key, suspected) for key, suspected in blocked]

    def adopt_blocks(self, sender: str, blocks: list[BlockedPart]) -> None:
        """Takes over blocks that another router told; tells it those that ended here."""
        now = self._clock.monotonic_seconds()
        ended = []
        for block in blocks:
            crash_seconds = [now - age_ms / 1000 for age_ms in block.crash_ages_ms]
            key = (block.service, block.part)
            begun_seconds = self._evidence.get_begun_seconds(*key)
            if begun_seconds >= max(crash_seconds, default=-math.inf):
                ended.append(self._make_begun(key, begun_seconds, now))
            elif self._evidence.adopt_block(
                key, crash_seconds, is_certain=block.is_certain, is_common=block.is_common
            ):
                self._handle_block(key, sender)
        if ended:
            self._tasks.start(self._tell(sender, TellParts(begun=ended)))

    async def handle_crash_seen(self, sender: str, message: CrashSeen) -> PartsBegun:
        """Records a crash that another router saw; answers what began here."""
        now = self._clock.monotonic_seconds()
        self._evidence.record_crash(
            message.service, message.server_id, message.parts, now - message.age_ms / 1000
        )
        begun = [self._evidence.get_begun_seconds(message.service, p) for p in message.parts]
        return PartsBegun(
            ages_ms=[
                round((now - seconds) * 1000) if math.isfinite(seconds) else None
                for seconds in begun
            ]
        )

    async def handle_tell_parts(self, sender: str, message: TellParts) -> PartsKept:
        """Takes over what another router tells of parts."""
        now = self._clock.monotonic_seconds()
        for begun in message.begun:
            seconds = now - begun.age_ms / 1000
            unblocked = self._evidence.record_begun(begun.service, [begun.part], seconds)
            if unblocked:
                self._log_unblocked(unblocked)
        self.adopt_blocks(sender, message.blocked)
        return PartsKept()

    async def handle_ask_trial(self, sender: str, message: AskTrial) -> TrialAnswered:
        """Answers whether another router may let a request with blocked parts through."""
        blocked = self._evidence.list_blocked(message.service, message.parts)
        now = self._clock.monotonic_seconds()
        if blocked:
            return TrialAnswered(is_granted=self._evidence.try_grant_trial(blocked, now))
        # A router that has just started knows of no block, which proves nothing.
        begun = [self._evidence.get_begun_seconds(message.service, p) for p in message.parts]
        return TrialAnswered(is_granted=all(map(math.isfinite, begun)))

    async def close(self) -> None:
        """Cancels the checks and messages in progress."""
        await self._tasks.cancel_all()

    async def _check_server(self, server: RegisteredServer) -> bool:
        """Returns whether a server that lost connections has crashed; tells others if it has."""
        lost_seconds = self._clock.monotonic_seconds()
        try:
            await asyncio.sleep(GATHER_SECONDS)
            is_refusing = await self._client.is_refusing(server.address)
            if not is_refusing:
                await asyncio.sleep(SECOND_CHECK_SECONDS)
                is_refusing = await self._client.is_refusing(server.address)
        finally:
            runs = self._lost_runs.pop(server.server_id)
            del self._checks[server.server_id]
        entry = self._table.servers.get(server.server_id)
        if not is_refusing or entry is None or entry.entry.leaving:
            return False
        self._tasks.start(self._report_crash(server, runs, lost_seconds))
        return True

    async def _report_crash(
        self, server: RegisteredServer, runs: list[WatchedRun], seconds: float
    ) -> None:
        """Tells all routers of a crash, and blocks the parts with too many crashes."""
        service = runs[0].service
        parts = sorted({part for run in runs for part in run.suspects})[:MAX_PARTS_PER_MESSAGE]
        self._metrics.count("forward.server_crashes")
        _log.warning(
            "server crashed",
            fields={
                "server": server.server_id,
                "requests": [run.attempt_id for run in runs],
                "parts": parts,
            },
        )
        self._evidence.record_crash(service, server.server_id, parts, seconds)
        age_ms = round((self._clock.monotonic_seconds() - seconds) * 1000)
        message = CrashSeen(
            service=service, server_id=server.server_id, parts=parts, age_ms=age_ms
        )
        replies = await self._broadcast(message)
        now = self._clock.monotonic_seconds()
        for reply in replies:
            if isinstance(reply, PartsBegun):
                self._record_begun_elsewhere(service, parts, reply, now)
        others_answered = 2 * len(replies) >= len(self._fleet.list_peers())
        keys = self._evidence.block_suspects(service, parts, others_answered=others_answered)
        for key in keys:
            self._handle_block(key, self._fleet.self_name)
        if keys:
            blocks = [self._make_block(key, self._evidence.get_suspected(key)) for key in keys]
            await self._broadcast(TellParts(blocked=blocks))

    def _record_begun_elsewhere(
        self, service: str, parts: list[str], reply: PartsBegun, now: float
    ) -> None:
        for part, age_ms in zip(parts, reply.ages_ms, strict=False):
            if age_ms is not None:
                self._evidence.record_begun(service, [part], now - age_ms / 1000)

    def _handle_block(self, key: PartKey, router: str) -> None:
        """Takes the requests with a part that is blocked now back from their servers.

        Those whose answer has arrived in part stay there, as they will soon show whether the part
        crashes their server. So do all of them if the part may be sound.
        """
        service, part = key
        suspected = self._evidence.get_suspected(key)
        runs = []
        if suspected.is_certain:
            runs = [run for run in self._runs if run.is_silent_with(service, part)]
        self._metrics.count("forward.parts_blocked")
        _log.warning(
            "prompt part blocked",
            fields={
                "service": service,
                "prompt_part": part,
                "crashes": len(suspected.crashes),
                "certain": suspected.is_certain,
                "common": suspected.is_common,
                "router": router,
                "taken_back": [run.attempt_id for run in runs],
            },
        )
        for run in runs:
            run.take_back()

    def _log_unblocked(self, keys: list[PartKey]) -> None:
        self._metrics.count("forward.parts_unblocked", len(keys))
        _log.info("prompt parts no longer blocked", fields={"parts": keys})

    async def _ask_trial(self, blocked: list[PartKey]) -> bool:
        """Returns whether the home of the first blocked part grants a trial."""
        now = self._clock.monotonic_seconds()
        service, part = blocked[0]
        home = self._fleet.find_home(f"{service}/{part}")
        if home == self._fleet.self_name:
            return self._evidence.try_grant_trial(blocked, now)
        self._evidence.postpone_trial(blocked, now + ASK_INTERVAL_SECONDS)
        message = AskTrial(service=service, parts=[part for _, part in blocked])
        answer = await self._tell(home, message)
        return isinstance(answer, TrialAnswered) and answer.is_granted

    async def _broadcast(self, message: Any) -> list[Any]:
        """Sends a message to all live routers; returns the replies of those that answer."""
        slots = asyncio.Semaphore(MAX_OPEN_CALLS)

        async def tell(peer: str) -> Any:
            async with slots:
                return await self._tell(peer, message)

        replies = await asyncio.gather(*(tell(peer) for peer in self._fleet.list_peers()))
        return [reply for reply in replies if reply is not None]

    async def _tell(self, peer: str, message: Any) -> Any:
        """Returns the reply of a router; None if it does not answer."""
        try:
            return await self._fleet.call(peer, message, TELL_TIMEOUT_SECONDS)
        except PeerError:
            self._metrics.count("forward.crash_messages_lost")
            return None

    def _make_block(self, key: PartKey, suspected: SuspectedPart) -> BlockedPart:
        now = self._clock.monotonic_seconds()
        ages_ms = [max(0, round((now - crash.seconds) * 1000)) for crash in suspected.crashes]
        return BlockedPart(
            service=key[0],
            part=key[1],
            crash_ages_ms=ages_ms,
            is_certain=suspected.is_certain,
            is_common=suspected.is_common,
        )

    def _make_begun(self, key: PartKey, begun_seconds: float, now: float) -> BegunPart:
        age_ms = max(0, round((now - begun_seconds) * 1000))
        return BegunPart(service=key[0], part=key[1], age_ms=age_ms)
