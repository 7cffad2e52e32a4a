"""Observes this router's connections to servers, and finds out whether it is cut off from them.

A failed connection leads to a check: some servers are probed, and if none answers, some routers
are asked whether they reach servers. While contact is lost, probes find out when it is back. In
calm nothing is sent.
"""

import asyncio
import random

from laburnumpier_core.background_tasks import BackgroundTasks
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..fleet.member import ServerReach
from ..fleet.service import FleetService
from ..forward.servers import ServerTable
from ..ports.server_registry import RegisteredServer
from .contact import MIN_FAILED_SERVERS, Contact, ContactEvidence, ContactJudge
from .messages import AskContact, ContactAnswered
from .peer_contacts import MAX_CONTACT_AGE_SECONDS, PeerContacts
from .server_prober import ServerProber
from .waiting_calls import WaitingCalls

SILENCE_SECONDS = 0.8
"""Time without a response head after which a call counts as failed. Engines answer within 0.65 s
when not overloaded, and a cut must be known within 2 s, probes and questions included."""
RECENT_SECONDS = 0.1
"""Age of a success up to which a failed connection to a single server leads to no check."""
CHECK_INTERVAL_SECONDS = 0.4
"""Least time between the starts of two checks."""
PROBED_SERVERS = 3
"""Servers that are probed at once; one answer is enough."""
PROBE_HEAD_START_SECONDS = 0.05
"""Time for the probes before other routers are asked, so that a single server that is down costs
no messages."""
ASKED_ROUTERS = 6
"""Routers that are asked at once; each names others that it knows to reach servers."""
ASK_TIMEOUT_SECONDS = 0.5
"""Time limit of a question; the asked router may have to probe first."""
FRESH_SECONDS = 0.2
"""Age of a success up to which an asked router answers without a probe. The success must be later
than the first failure at the asking router, or it may be from before the servers went down."""
RETRY_SECONDS = 0.5
"""Interval of the probes while this router is cut off; requests go through others meanwhile."""
ALL_FAIL_RETRY_SECONDS = 1.0
"""Interval of the probes while no router is known to reach servers, which may be starting."""
CONTACT_GAUGES = {Contact.REACHED: 0, Contact.CUT_OFF: 1, Contact.ALL_FAIL: 2}

_log = get_part_logger("relay")


class ContactMonitor:
    """What this router knows about its own and the others' connections to servers."""

    __slots__ = (
        "_answered_seconds",
        "_check",
        "_checked_seconds",
        "_clock",
        "_evidence",
        "_fleet",
        "_judge",
        "_metrics",
        "_peers",
        "_prober",
        "_probing",
        "_random",
        "_recovery",
        "_table",
        "_tasks",
        "_waiting_calls",
    )

    def __init__(
        self,
        *,
        fleet: FleetService,
        table: ServerTable,
        prober: ServerProber,
        peers: PeerContacts,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
    ):
        """Creates a monitor that believes that servers are reached.

        Args:
            fleet: Calls to the other routers.
            table: Registered servers.
            prober: Tries connections to servers.
            peers: What other routers say of their connections.
            clock: Source of time.
            metrics: Counters and the gauge of the belief.
            random_source: Selects the servers to probe and the routers to ask.
        """
        self._fleet = fleet
        self._table = table
        self._prober = prober
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._evidence = ContactEvidence()
        self._judge = ContactJudge(evidence=self._evidence, peers=peers)
        self._tasks = BackgroundTasks(part="relay", metrics=metrics)
        self._waiting_calls = WaitingCalls()
        self._check: asyncio.Task[None] | None = None
        self._probing: asyncio.Task[bool] | None = None
        self._recovery: asyncio.Task[None] | None = None
        self._checked_seconds = float("-inf")
        self._answered_seconds = float("-inf")

    @property
    def contact(self) -> Contact:
        """What this router believes about its connections to servers."""
        return self._judge.contact

    @property
    def is_cut_off(self) -> bool:
        """Whether requests should go through other routers."""
        return self._judge.contact is Contact.CUT_OFF

    @property
    def is_checking(self) -> bool:
        """Whether a check is in progress, after which contact may be lost."""
        return self._check is not None

    def is_quiet(self) -> bool:
        """Whether no server has answered lately."""
        return self._now() - self._answered_seconds > RECENT_SECONDS

    @property
    def peers(self) -> PeerContacts:
        """What other routers say of their connections."""
        return self._peers

    @property
    def waiting_calls(self) -> WaitingCalls:
        """The direct calls that wait for the head of an answer."""
        return self._waiting_calls

    def list_relaying(self) -> list[str]:
        """Returns the routers that may be asked to relay, in the order in which to ask them."""
        return self._peers.list_candidates(
            self._now(),
            self._fleet.list_peers(),
            self._judge.first_failure_seconds,
            self._fleet.is_near,
        )

    def is_reached_by_peer(self) -> bool:
        """Whether another router is known to reach servers."""
        return self._peers.has_reaching(self._now(), self._fleet.list_peers())

    def record_reached(self, started_seconds: float) -> None:
        """Records that a server answered a call that was started at a monotonic time."""
        self._answered_seconds = self._now()
        self._evidence.record_reached(started_seconds)
        if self.contact is not Contact.REACHED:
            self._update()

    def record_failure(self, server_id: str, started_seconds: float) -> None:
        """Records a new connection that failed, and checks whether contact is lost."""
        self._evidence.record_failure(server_id, started_seconds, self._now())
        self._begin_check()

    def record_silence(self, server_id: str, started_seconds: float) -> None:
        """Records a call without an answer for long.

        While other answers arrive, the servers are only slow, and probing them would add load.
        """
        if self._now() - self._answered_seconds >= SILENCE_SECONDS:
            self.record_failure(server_id, started_seconds)

    async def verify(self) -> bool:
        """Returns whether this router is cut off, after a check if the last success is old."""
        self._begin_check()
        if self._check is not None:
            # The check serves other requests too, so it outlives one that is cancelled.
            await asyncio.wait({self._check})
        return self.is_cut_off

    def make_reach(self) -> ServerReach:
        """Returns what this router tells others."""
        now = self._now()
        is_failing = self.contact is not Contact.REACHED
        age_seconds = now - self._evidence.reached_seconds
        is_known = not is_failing and age_seconds <= MAX_CONTACT_AGE_SECONDS
        return ServerReach(
            own_age_ms=max(0, round(age_seconds * 1000)) if is_known else None,
            is_failing=is_failing,
            others=self._peers.list_told(now) if is_failing else [],
        )

    def adopt(self, sender: str, reach: ServerReach | None) -> None:
        """Takes over what another router tells."""
        if reach is None:
            return
        self._peers.adopt(sender, reach, self._now())
        if self.contact is not Contact.REACHED:
            self._update()

    async def handle_ask_contact(self, sender: str, message: AskContact) -> ContactAnswered:
        """Answers whether this router reaches servers; tries it if that is not known."""
        self._metrics.count("relay.contact_answers")
        age_seconds = self._now() - self._evidence.reached_seconds
        if self.contact is Contact.REACHED and age_seconds > FRESH_SECONDS:
            await self._probe_servers()
        return ContactAnswered(reach=self.make_reach())

    async def close(self) -> None:
        """Cancels checks and probes."""
        await self._tasks.cancel_all()

    def _now(self) -> float:
        return self._clock.monotonic_seconds()

    def _begin_check(self) -> None:
        now = self._now()
        is_recent = now - self._evidence.reached_seconds <= RECENT_SECONDS
        if self._evidence.failed_count >= MIN_FAILED_SERVERS:
            is_recent = False
        is_due = now - self._checked_seconds >= CHECK_INTERVAL_SECONDS
        if self._check is not None or is_recent or not is_due:
            return
        if self.contact is Contact.REACHED:
            self._checked_seconds = now
            self._check = self._tasks.start(self._run_check())

    async def _run_check(self) -> None:
        self._metrics.count("relay.checks")
        try:
            await self._try_contact()
            self._update()
        finally:
            self._check = None

    async def _try_contact(self) -> None:
        """Probes servers, and asks other routers if none answers at once."""
        probing = asyncio.ensure_future(self._probe_servers())
        asking = None
        try:
            done, _ = await asyncio.wait({probing}, timeout=PROBE_HEAD_START_SECONDS)
            if done and probing.result():
                return
            asking = asyncio.ensure_future(self._ask_routers())
            if not await probing:
                await asking
        finally:
            for task in (probing, asking):
                if task is not None and not task.done():
                    task.cancel()

    async def _probe_servers(self) -> bool:
        """Returns whether a server answers; probes at the same time share the outcome."""
        if self._probing is None:
            self._probing = self._tasks.start(self._probe_some())
        return await asyncio.shield(self._probing)

    async def _probe_some(self) -> bool:
        probes = {asyncio.ensure_future(self._probe(server)) for server in self._pick_servers()}
        is_reached = False
        try:
            while probes and not is_reached:
                done, probes = await asyncio.wait(probes, return_when=asyncio.FIRST_COMPLETED)
                is_reached = any(probe.result() for probe in done)
        finally:
            for probe in probes:
                probe.cancel()
            self._probing = None
        if self._check is None:
            self._update()
        return is_reached

    async def _probe(self, server: RegisteredServer) -> bool:
        started_seconds = self._now()
        is_reached = await self._prober.probe(server)
        if is_reached:
            self._evidence.record_reached(started_seconds)
        else:
            self._evidence.record_failure(server.server_id, started_seconds, self._now())
        return is_reached

    def _pick_servers(self) -> list[RegisteredServer]:
        """Returns some servers to probe; those without a failure would be the best evidence."""
        entries = self._list_usable()
        self._random.shuffle(entries)
        entries.sort(key=lambda entry: self._evidence.has_failed_at(entry.server_id))
        return entries[:PROBED_SERVERS]

    def _list_usable(self) -> list[RegisteredServer]:
        entries = [server.entry for server in self._table.servers.values()]
        return [entry for entry in entries if self._table.is_usable(entry)]

    async def _ask_routers(self) -> None:
        """Asks some routers whether they reach servers, until one says so."""
        live = list(self._fleet.list_peers())
        names = self._random.sample(live, min(ASKED_ROUTERS, len(live)))
        asking = {asyncio.ensure_future(self._ask(name)) for name in names}
        try:
            while asking and not self._judge.has_proof_of_peer(self._now(), live):
                _, asking = await asyncio.wait(asking, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in asking:
                task.cancel()

    async def _ask(self, name: str) -> None:
        self._metrics.count("relay.contact_questions")
        try:
            answer = await self._fleet.call(name, AskContact(), ASK_TIMEOUT_SECONDS)
        except PeerError:
            return
        if isinstance(answer, ContactAnswered):
            self._peers.adopt(name, answer.reach, self._now())

    def _update(self) -> None:
        """Decides again, and logs a change."""
        before = self.contact
        usable_count = len(self._list_usable()) if before is Contact.REACHED else 0
        contact = self._judge.judge(self._now(), usable_count, self._fleet.list_peers())
        if contact is before:
            return
        self._metrics.set_gauge("relay.contact", CONTACT_GAUGES[contact])
        self._metrics.count(f"relay.became_{contact.value}")
        fields = {"contact": contact.value, "was": before.value}
        if contact is Contact.CUT_OFF:
            reached_seconds = self._evidence.reached_seconds
            fields["stranded"] = self._waiting_calls.report_stranded(reached_seconds)
        log = _log.info if contact is Contact.REACHED else _log.warning
        log("contact to servers changed", fields=fields)
        if contact is not Contact.REACHED and self._recovery is None:
            self._recovery = self._tasks.start(self._recover())

    async def _recover(self) -> None:
        """Tries from time to time whether servers are reached, until they are."""
        try:
            while self.contact is not Contact.REACHED:
                is_cut_off = self.contact is Contact.CUT_OFF
                await asyncio.sleep(RETRY_SECONDS if is_cut_off else ALL_FAIL_RETRY_SECONDS)
                if not await self._probe_servers():
                    await self._refresh_peers()
                self._update()
        finally:
            self._recovery = None

    async def _refresh_peers(self) -> None:
        """Asks routers again unless one has reached servers within the last probes."""
        now, live = self._now(), self._fleet.list_peers()
        if not self._peers.has_reaching(now + MAX_CONTACT_AGE_SECONDS / 2, live):
            await self._ask_routers()
