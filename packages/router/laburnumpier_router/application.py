"""The router application: creates the parts of a router, starts them and stops them gracefully."""

import asyncio
import json
import math
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import StoreError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.settings import Settings

from .backend.choice import ChoicePolicy, ExpectedWait
from .backend.directory import BackendDirectory
from .backend.dispatcher import Dispatcher
from .backend.engine_port import EnginePort, ServicePort
from .budget import peers as budget_messages
from .budget.allocation import parse_allocation
from .budget.recovery import GrantRecovery
from .budget.service import BudgetService
from .budget.shard_recall import ShardRecall
from .budget.state import BudgetSettings
from .budget.submitter import ChangeSubmitter
from .budget.write_pacer import WritePacer
from .callers.frontend import CallerFrontend
from .cold import messages as cold_messages
from .cold.cold_servers import ColdServers
from .cold.permits import ColdPermits
from .cold.quota import ColdBound
from .configuration.confirmation import ConfigurationConfirmed, ConfirmConfiguration
from .configuration.document import Configuration
from .configuration.peer_sources import ConfigurationFetched, FetchConfiguration
from .configuration.record import RecordFormat
from .configuration.service import ConfigurationService
from .estimates.estimate_placement import EstimatePlacement
from .estimates.placement_report import PlacementReport
from .evacuation.administration import EvacuationAdministration
from .evacuation.evacuated import EvacuatedDataCentres
from .fleet.broadcast import Broadcaster
from .fleet.departures import DepartureMonitor
from .fleet.member import Heartbeat, Member
from .fleet.peer_link import PeerLink
from .fleet.peer_network import PeerNetwork
from .fleet.registry import MemberRegistry
from .fleet.service import FleetService
from .fleet.watchers import StoreWatchers
from .forward import crash_messages, origin_messages, permit_messages
from .forward.crash_guard import CrashGuard
from .forward.exchange import ServerClient
from .forward.frontend import ForwardFrontend
from .forward.origin_archive import OriginArchive
from .forward.registry_follower import RegistryFollower
from .forward.registry_relay import (
    ListRegistry,
    RegistryListed,
    RegistryRelay,
    RegistryRelayed,
)
from .forward.request_limiter import RequestLimiter
from .forward.retry_budget import RetryBudget
from .forward.server_rate_limits import ServerRateLimits
from .forward.servers import ServerTable
from .forward.service import build_forward_service
from .forward.stream_origins import StreamOrigins
from .forward.stream_versions import StreamVersions, get_keep_seconds
from .forward.time_limits import TimeLimits
from .forward.version_history import VersionHistory
from .graceful_stop import GracefulStop, StopTimes, plan_stop
from .ingress.service import IngressService
from .intake.limits import CallerLimits
from .intake.memory import CallerMemory, make_caller_memory
from .intake.service import Intake, IntakeSettings
from .notices.server_notices import ServerNotices
from .operators.frontend import OperatorFrontend
from .operators.reports import OperatorReports
from .orders.controller import EngineController
from .orders.lease import ControllerLease
from .places import place_messages
from .places.place_keeper import PlaceKeeper, build_place_keeper
from .ports.dialect import Dialect
from .ports.evacuations import EvacuationSource
from .ports.key_value_service import KeyValueService
from .ports.server_memory import ServerMemory, make_server_memory
from .ports.server_registry import ServerRegistry
from .ports.store_calls import log_store_calls_periodically
from .ports.vm_list import VmList
from .relay import messages as relay_messages
from .relay.feature import RelayFeature
from .request import messages as request_messages
from .request.call_service import CallService
from .request.chat_runner import ChatRunner
from .request.chat_service import MAX_RETAINED_BYTES, ChatService
from .request.request_directory import RequestDirectory
from .versions.history_confirmation import HistoryConfirmation

MAX_HOMES_PER_SHARD = 2
"""Maximum number of processes that consider themselves the home of one shard at the same time."""
TASK_RESTART_SECONDS = 0.25
"""Pause before a periodic task that failed is started again."""
REGISTRY_MARGIN_SECONDS = 1.0
"""Time that a watch of the registry may take beyond its own duration."""

_log = get_part_logger("app")

PEER_MESSAGE_TYPES: tuple[type, ...] = (
    Heartbeat,
    FetchConfiguration,
    ConfigurationFetched,
    ConfirmConfiguration,
    ConfigurationConfirmed,
    budget_messages.SubmitChanges,
    budget_messages.ChangesSubmitted,
    budget_messages.KeepShardCopy,
    budget_messages.RecallShard,
    budget_messages.ShardRecalled,
    budget_messages.RequestTransfer,
    budget_messages.TransferOffered,
    budget_messages.GiveTokens,
    budget_messages.TellSpending,
    budget_messages.KeepBills,
    budget_messages.CollectHoldings,
    budget_messages.HoldingsCollected,
    budget_messages.Acknowledged,
    RegistryRelayed,
    ListRegistry,
    RegistryListed,
    *origin_messages.MESSAGE_TYPES,
    *crash_messages.MESSAGE_TYPES,
    *permit_messages.MESSAGE_TYPES,
    *cold_messages.MESSAGE_TYPES,
    *relay_messages.MESSAGE_TYPES,
    *place_messages.MESSAGE_TYPES,
    request_messages.OpenRequest,
    request_messages.RequestOpened,
    request_messages.PlaceRequest,
    request_messages.ReadAnswer,
    request_messages.AnswerRead,
    request_messages.ReadOutcome,
    request_messages.OutcomeRead,
)


class ForwardingPorts(msgspec.Struct, kw_only=True):
    """Interfaces used for forwarded requests.

    Attributes:
        dialect: Converts the platform's headers.
        registry: Registry in which servers register themselves.
        client: Sends requests to servers.
    """

    dialect: Dialect
    registry: ServerRegistry
    client: ServerClient


class Ports(msgspec.Struct, kw_only=True):
    """Interfaces of a router to its environment, which tests replace with fakes.

    Attributes:
        store: The platform's key-value service.
        vm_list: The platform's VM list; None if the platform has none.
        forwarding: Interfaces for forwarded requests; None if the router forwards none.
        record_format: Storage format of the configuration; the project's own format by default.
        network: Transports messages between routers.
        engines: Client of model engines.
        services: Client of plain services.
        evacuations: Tells which data centres are evacuated; None if the platform names none.
        memory: Account of what callers make the process hold; None to make one by the settings.
        server_memory: The same of servers' answers.
    """

    store: KeyValueService
    network: PeerNetwork
    engines: EnginePort
    services: ServicePort
    vm_list: VmList | None = None
    forwarding: ForwardingPorts | None = None
    record_format: RecordFormat | None = None
    evacuations: EvacuationSource | None = None
    memory: CallerMemory | None = None
    server_memory: ServerMemory | None = None


class RouterApplication:
    """A router process, from its start to its graceful stop."""

    def __init__(
        self,
        *,
        settings: Settings,
        member: Member,
        ports: Ports,
        fleet_token: str,
        operator_token: str,
        clock: Clock,
        metrics: Metrics,
        seed: int,
        seed_addresses: list[str] | None = None,
        policy: ChoicePolicy | None = None,
    ):
        """Creates all parts of the router; nothing runs before `start`.

        Args:
            settings: Validated settings.
            member: Identity of this process.
            ports: Interfaces to the environment.
            fleet_token: Secret shared by the routers.
            operator_token: Secret of the operators.
            clock: Source of time.
            metrics: Counters and gauges.
            seed: Seed of the generator for all jitter and random choices.
            seed_addresses: Peer addresses to contact while the store lists no members.
            policy: Policy for choosing servers; by default the shortest expected wait.
        """
        self._settings = settings
        self._ports = ports
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random(seed)
        self._tasks: list[asyncio.Task[None]] = []
        self._is_closed = False
        self._has_tried_store = False
        self._purchased_tokens: dict[str, int] = {}
        self._memory = ports.memory or make_caller_memory(settings.memory_mb)
        self._intake = self._build_intake()
        self._peer_link = PeerLink(
            network=ports.network,
            self_name=member.incarnation,
            token=fleet_token,
            message_types=PEER_MESSAGE_TYPES,
            metrics=metrics,
        )
        self._fleet = FleetService(
            member=member,
            link=self._peer_link,
            registry=MemberRegistry(
                store=ports.store,
                lease_seconds=settings.member_lease_seconds,
                keeps_lease=ports.vm_list is not None or ports.forwarding is None,
            ),
            clock=clock,
            metrics=metrics,
            random_source=self._random,
            heartbeat_seconds=settings.heartbeat_seconds,
            seed_addresses=seed_addresses or [],
            on_heartbeat=self._handle_heartbeat,
            store_poll_seconds=settings.store_poll_seconds,
        )
        self._watchers = StoreWatchers(
            fleet=self._fleet,
            forwards=ports.forwarding is not None,
            per_data_centre=settings.watchers,
            relay_from_routers=settings.relay_from_routers,
            random_source=self._random,
        )
        self._configuration = ConfigurationService(
            store=ports.store,
            fleet=self._fleet,
            clock=clock,
            metrics=metrics,
            random_source=self._random,
            is_watcher=self.watches_configuration,
            on_change=self._apply_configuration,
            record_format=ports.record_format,
            watch_seconds=settings.watch_seconds,
            is_fallback_watcher=self._watchers.is_stand_in,
            find_confirmer=self._watchers.find_confirmer,
        )
        self._fleet.list_preferred_partners = self._watchers.list_preferred_partners
        self._build_budget()
        self._build_evacuation()
        self._build_backend(policy or ExpectedWait())
        self._origin_archive = OriginArchive(
            fleet=self._fleet,
            store=ports.store,
            clock=clock,
            metrics=metrics,
            is_small_fleet=self._watchers.is_small_fleet,
        )
        self._stream_origins = StreamOrigins(
            fleet=self._fleet, clock=clock, metrics=metrics, archive=self._origin_archive
        )
        self._build_requests()
        self._build_forwarding()
        self._build_controller()
        self._reports = OperatorReports(
            store=ports.store,
            configuration=self._configuration,
            budget=self._budget,
            submitter=self._submitter,
            chats=self._chats,
            calls=self._calls,
            request_directory=self._request_directory,
            backend_directory=self._backend_directory,
            dispatcher=self._dispatcher,
            stream_origins=self._stream_origins,
            fleet=self._fleet,
            metrics=metrics,
            estimates=self._estimates,
            placement_report=self._placement_report,
        )
        self._reports.add_dump("evacuations", self._evacuated.describe)
        self._reports.add_dump("cold_servers", self._cold_servers.describe)
        if self._forward_frontend is not None:
            self._reports.add_dump("server_notices", self._notices.dump_state)
        if self._places is not None:
            self._reports.add_dump("places", self._places.describe)
        if self._ingress is not None:
            self._reports.add_dump("ingress", self._ingress.dump_state)
        self._reports.add_dump("relay", self._describe_relay)
        self._reports.add_dump("intake", self._intake.dump_state)
        self._caller_frontend = CallerFrontend(
            configuration=self._configuration,
            chats=self._chats,
            calls=self._calls,
            clock=clock,
            metrics=metrics,
            is_ready=self.is_ready,
            default_deadline_seconds=settings.default_deadline_seconds,
            max_body_bytes=settings.max_body_bytes,
        )
        self._operator_frontend = OperatorFrontend(
            configuration=self._configuration,
            reports=self._reports,
            evacuations=EvacuationAdministration(store=ports.store),
            token=operator_token,
        )
        self._register_handlers()

    @property
    def fleet(self) -> FleetService:
        """The fleet as seen by this process, and its membership."""
        return self._fleet

    @property
    def configuration(self) -> ConfigurationService:
        """Keeps and updates the active configuration."""
        return self._configuration

    @property
    def budget(self) -> BudgetService:
        """Budget tokens held by this process."""
        return self._budget

    @property
    def submitter(self) -> ChangeSubmitter:
        """Submits changes to the account shards."""
        return self._submitter

    @property
    def departure_monitor(self) -> DepartureMonitor:
        """Recovers the grants of departed processes."""
        return self._departure_monitor

    @property
    def backend_directory(self) -> BackendDirectory:
        """Directory of backend servers."""
        return self._backend_directory

    @property
    def dispatcher(self) -> Dispatcher:
        """Assigns requests to backend servers."""
        return self._dispatcher

    @property
    def chats(self) -> ChatService:
        """Serves chat requests."""
        return self._chats

    @property
    def calls(self) -> CallService:
        """Serves calls of plain services."""
        return self._calls

    @property
    def stream_origins(self) -> StreamOrigins:
        """Remembers at which software version each stream began."""
        return self._stream_origins

    @property
    def caller_frontend(self) -> CallerFrontend:
        """HTTP frontend for callers."""
        return self._caller_frontend

    @property
    def forward_frontend(self) -> ForwardFrontend | None:
        """HTTP frontend for forwarded requests; None if the router forwards none."""
        return self._forward_frontend

    @property
    def operator_frontend(self) -> OperatorFrontend:
        """HTTP frontend for operators."""
        return self._operator_frontend

    @property
    def intake(self) -> Intake:
        """Connections of callers, and what they make the process hold."""
        return self._intake

    @property
    def reports(self) -> OperatorReports:
        """Reports for operators."""
        return self._reports

    @property
    def metrics(self) -> Metrics:
        """Counters and gauges of this process."""
        return self._metrics

    def is_ready(self) -> bool:
        """Whether the process can serve: it has a configuration and knows the evacuations."""
        return self._configuration.number > 0 and self._evacuated.is_known

    async def start(self) -> None:
        """Opens the peer link, registers in the fleet and starts the background tasks."""
        await self._peer_link.start()
        await self._fleet.register()
        self._has_tried_store = True
        if self.watches_store() or self._registry_relay is None:
            await self._read_first_configuration()
        self._keep_running(self._fleet.refresh_membership_periodically)
        self._keep_running(self._fleet.send_heartbeats_periodically)
        self._keep_running(self._configuration.follow_store_periodically)
        self._keep_running(self._backend_directory.probe_periodically)
        self._keep_running(self._backend_directory.poll_vm_list_periodically)
        self._keep_running(self._budget.bills.flush_periodically)
        self._keep_running(self._budget.return_idle_tokens_periodically)
        self._keep_running(self._calls.run_maintenance)
        self._keep_running(self._chats.evict_periodically)
        self._keep_running(self._intake.sweep_periodically)
        if self._settings.recover_departed:
            self._keep_running(self._departure_monitor.check_periodically)
        if self._forward_frontend is not None:
            self._keep_running(self._registry_follower.follow_periodically)
            self._keep_running(self._version_history.update_periodically)
            self._keep_running(self._budget.refill_periodically)
            self._keep_running(self._places.tell_periodically)
        if self._ingress is not None:
            self._keep_running(self._ingress.update_periodically)
        self._keep_running(self._log_store_calls_periodically)
        if self._settings.give_engine_orders:
            self._keep_running(self._controller.send_orders_periodically)
        _log.info("router started", fields={"router": self._fleet.self_name})

    async def _read_first_configuration(self) -> None:
        try:
            await self._configuration.refresh_from_store()
        except StoreError as error:
            _log.warning(
                "cannot read the configuration from the store; retrying in the background",
                fields={"error": error},
            )

    async def stop_gracefully(self) -> None:
        """Serves open requests, releases what this process holds, and closes everything."""
        await self.finish_work()
        await self.close()

    async def finish_work(
        self,
        close_connections: Callable[[float | None], Awaitable[None]] | None = None,
        requested_seconds: float | None = None,
    ) -> None:
        """Serves open requests, and releases tokens, bills and leases beside them.

        Forwarded requests are served until the end of the grace period at most, others as long as
        they take. The process may exit afterwards.

        Args:
            close_connections: Closes the connections of callers, each when it holds no request, or
                all at a monotonic time.
            requested_seconds: Monotonic time at which the stop was requested; now if None.
        """
        _log.info("graceful stop begins", fields={"router": self._fleet.self_name})
        if requested_seconds is None:
            requested_seconds = self._clock.monotonic_seconds()
        times = StopTimes()
        if self._forward_frontend is not None:
            times = plan_stop(requested_seconds, self._settings.stop_grace_seconds)
            self._forward_frontend.begin_stop(times.serve_until)
        if self._relay is not None:
            self._relay.host.begin_stop(times.serve_until)
        self._caller_frontend.stop_accepting_requests()
        stop = GracefulStop(
            times=times,
            wait_for_callers=self._wait_for_callers,
            close_connections=close_connections or _close_nothing,
            fleet=self._fleet,
            budget=self._budget,
            calls=self._calls,
            controller=self._controller,
            clock=self._clock,
            metrics=self._metrics,
        )
        await stop.run()
        _log.info("graceful stop done", fields={"router": self._fleet.self_name})

    async def _wait_for_callers(self) -> None:
        """Waits until no request is open."""
        if self._forward_frontend is not None:
            await self._forward_frontend.wait_until_idle()
            if self._relay is not None:
                await self._relay.host.wait_until_idle()
            return
        await self._caller_frontend.wait_until_idle()
        await self._chats.wait_until_idle()
        await self._calls.wait_until_idle()

    async def close(self) -> None:
        """Cancels all tasks and closes all connections immediately."""
        self._is_closed = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._chats.close()
        await self._calls.close()
        await self._budget.close()
        await self._submitter.close()
        await self._stream_origins.close()
        await self._broadcaster.close()
        if self._crash_guard is not None:
            await self._crash_guard.close()
        if self._places is not None:
            await self._places.close()
        await self._peer_link.close()
        if self._relay is not None:
            await self._relay.close()
        elif self._ports.forwarding is not None:
            await self._ports.forwarding.client.close()
        await self._ports.store.close()
        if self._ports.vm_list is not None:
            await self._ports.vm_list.close()

    def log_state(self) -> None:
        """Writes the state dump to the log."""
        _log.info(f"state {json.dumps(self._reports.dump_state())}")

    def _build_budget(self) -> None:
        settings = self._settings
        self._write_pacer = WritePacer(
            clock=self._clock, fleet_writes_per_second=settings.store_writes_per_second
        )
        self._recall = ShardRecall(fleet=self._fleet, clock=self._clock, metrics=self._metrics)
        self._submitter = ChangeSubmitter(
            store=self._ports.store,
            fleet=self._fleet,
            recall=self._recall,
            pacer=self._write_pacer,
            clock=self._clock,
            metrics=self._metrics,
            random_source=self._random,
            shard_count=settings.account_shards,
            gather_seconds=settings.gather_seconds,
        )
        self._fleet.get_store_era = lambda: self._ports.store.era.current
        self._fleet.reaches_store = lambda: self._submitter.is_usable_writer
        self._budget = BudgetService(
            submitter=self._submitter,
            era=self._ports.store.era,
            fleet=self._fleet,
            configuration=self._configuration,
            clock=self._clock,
            metrics=self._metrics,
            random_source=self._random,
            settings=BudgetSettings(
                grant_minimum_tokens=settings.grant_minimum_tokens,
                grant_horizon_seconds=settings.grant_horizon_seconds,
                grant_floor_share=settings.grant_floor_share,
                admission_wait_seconds=settings.admission_wait_seconds,
                bill_wait_seconds=settings.bill_wait_seconds,
                refill_seconds=settings.refill_seconds,
                held_share=settings.grant_held_share,
                lend_from_routers=settings.lend_from_routers,
                allocation=parse_allocation(settings.allocation),
            ),
        )
        self._recall.set_statement_source(self._budget.statements.build_for_shard)
        self._ports.store.era.add_listener(self._begin_store_era)
        self._departure_monitor = DepartureMonitor(
            fleet=self._fleet,
            recovery=GrantRecovery(
                budget=self._budget,
                submitter=self._submitter,
                fleet=self._fleet,
                metrics=self._metrics,
                release_in_doubt=settings.in_doubt_policy == "release",
            ),
            vm_list=self._ports.vm_list,
            clock=self._clock,
            random_source=self._random,
        )

    def _build_backend(self, policy: ChoicePolicy) -> None:
        self._backend_directory = BackendDirectory(
            engines=self._ports.engines,
            vm_list=self._ports.vm_list,
            clock=self._clock,
            random_source=self._random,
            probe_seconds=self._settings.probe_seconds,
            freshness_seconds=self._settings.probe_freshness_seconds,
            is_evacuated=self._evacuated.excludes_data_centre,
        )
        self._dispatcher = Dispatcher(
            directory=self._backend_directory,
            policy=policy,
            clock=self._clock,
            metrics=self._metrics,
            random_source=self._random,
        )
        self._fleet.get_configuration_number = lambda: self._configuration.number
        self._fleet.list_leaving_servers = self._backend_directory.list_leaving

    def _build_requests(self) -> None:
        retention = self._settings.answer_retention_seconds
        self._request_directory = RequestDirectory(clock=self._clock, retention_seconds=retention)
        self._chats = ChatService(
            budget=self._budget,
            fleet=self._fleet,
            request_directory=self._request_directory,
            runner=ChatRunner(
                engines=self._ports.engines,
                directory=self._backend_directory,
                dispatcher=self._dispatcher,
                clock=self._clock,
                metrics=self._metrics,
            ),
            clock=self._clock,
            metrics=self._metrics,
            retention_seconds=retention,
            max_retained_bytes=min(MAX_RETAINED_BYTES, self._memory.limit_bytes),
        )
        self._calls = CallService(
            budget=self._budget,
            submitter=self._submitter,
            fleet=self._fleet,
            services=self._ports.services,
            directory=self._backend_directory,
            dispatcher=self._dispatcher,
            clock=self._clock,
            metrics=self._metrics,
            retention_seconds=retention,
        )

    def _build_evacuation(self) -> None:
        source = self._ports.evacuations
        self._evacuated = EvacuatedDataCentres(
            clock=self._clock,
            metrics=self._metrics,
            is_required=source is not None,
            reaches_store=self._may_reach_store,
            on_change=self._announce_to_others,
        )
        self._fleet.get_evacuations = self._evacuated.make_told
        if source is not None:
            source.set_evacuation_listener(self._evacuated.hear_store)

    def _may_reach_store(self) -> bool:
        """Whether no failed call shows that the store is out of reach, from the start on."""
        if not self._has_tried_store:
            return True
        return self._fleet.is_registered and self._fleet.reaches_store()

    def _announce_to_others(self) -> None:
        """Tells the routers that do not watch of a change at once, if this one is a watcher."""
        if self._registry_relay is not None:
            self._registry_relay.announce_configuration()

    def _build_intake(self) -> Intake:
        settings = self._settings
        limits = CallerLimits(
            max_header_bytes=settings.max_header_bytes,
            max_body_bytes=settings.max_body_bytes,
            header_timeout_seconds=settings.header_timeout_seconds,
            idle_timeout_seconds=settings.idle_timeout_seconds,
        )
        return Intake(
            settings=IntakeSettings(file_descriptors=settings.file_descriptors, limits=limits),
            memory=self._memory,
            clock=self._clock,
            metrics=self._metrics,
        )

    def _build_forwarding(self) -> None:
        ports, settings = self._ports.forwarding, self._settings
        self._forward_frontend: ForwardFrontend | None = None
        self._registry_relay: RegistryRelay | None = None
        self._crash_guard: CrashGuard | None = None
        self._cold_servers = ColdServers(clock=self._clock, metrics=self._metrics)
        self._ingress: IngressService | None = None
        self._relay: RelayFeature | None = None
        self._places: PlaceKeeper | None = None
        self._estimates: EstimatePlacement | None = None
        self._placement_report: PlacementReport | None = None
        self._broadcaster = Broadcaster(fleet=self._fleet, metrics=self._metrics)
        if ports is None:
            return
        self._registry_relay = RegistryRelay(
            registry=ports.registry,
            is_watcher=self._watchers.is_watcher,
            everyone_watches=self._watchers.is_small_fleet,
            send=self._broadcaster.send,
            get_configuration_number=lambda: self._configuration.number,
            ask_watcher=self._list_at_watcher,
            clock=self._clock,
            get_evacuations=self._evacuated.make_told,
        )
        self._server_table = ServerTable()
        self._server_table.add_exclusion(self._evacuated.excludes)
        client = self._build_relay(ports)
        self._retry_budget = RetryBudget(
            ratio=settings.retry_ratio,
            extra=settings.retry_extra,
            window_seconds=settings.retry_window_seconds,
        )
        self._rate_limits = ServerRateLimits(clock=self._clock, metrics=self._metrics)
        self._fleet.list_named_limits = self._rate_limits.list_told
        self._build_cold_permits()
        self._notices = ServerNotices(clock=self._clock, metrics=self._metrics)
        self._server_table.add_exclusion(self._notices.is_excluded)
        self._fleet.list_leaving_notices = self._notices.list_told
        self._request_limiter = RequestLimiter(
            fleet=self._fleet,
            limits=self._rate_limits,
            clock=self._clock,
            metrics=self._metrics,
            random_source=self._random,
            cold=self._cold_permits,
        )
        self._places = build_place_keeper(
            fleet=self._fleet,
            clock=self._clock,
            metrics=self._metrics,
            random_source=self._random,
        )
        self._fleet.list_brittle_servers = self._places.servers.list_told
        self._registry_follower = RegistryFollower(
            registry=self._registry_relay,
            table=self._server_table,
            clock=self._clock,
            random_source=self._random,
            watch_seconds=settings.watch_seconds,
            lapsed_entry_seconds=settings.lapsed_entry_seconds,
        )
        self._version_history = VersionHistory(
            store=self._ports.store,
            table=self._server_table,
            clock=self._clock,
            random_source=self._random,
            is_registry_current=self.is_registry_current,
            get_rank=self.get_rank,
            get_retention_seconds=self._get_version_retention,
        )
        relay, follower = self._registry_relay, self._registry_follower
        history_confirmation = HistoryConfirmation(
            read_registry=lambda: follower.catch_up(relay.read_changes),
            read_record=self._version_history.reload,
            clock=self._clock,
            metrics=self._metrics,
        )
        self._crash_guard = CrashGuard(
            fleet=self._fleet,
            table=self._server_table,
            client=client,
            clock=self._clock,
            metrics=self._metrics,
        )
        self._fleet.list_blocked_parts = self._crash_guard.list_blocked_parts
        self._build_ingress()
        if settings.placement == "estimate":
            self._estimates = EstimatePlacement(
                clock=self._clock,
                metrics=self._metrics,
                random_source=self._random,
                find_cache_tokens=self._find_cache_tokens,
                count_routers=lambda: 1 + len(self._fleet.view.live),
                data_centre=settings.data_centre,
            )
            self._placement_report = PlacementReport(
                configuration=self._configuration,
                table=self._server_table,
                estimates=self._estimates,
            )
        time_limits = TimeLimits()
        self._forward_frontend = ForwardFrontend(
            service=build_forward_service(
                configuration=self._configuration,
                budget=self._budget,
                table=self._server_table,
                client=client,
                crash_guard=self._crash_guard,
                stream_versions=StreamVersions(
                    origins=self._stream_origins,
                    history=self._version_history,
                    confirm_history=history_confirmation.confirm,
                    table=self._server_table,
                    metrics=self._metrics,
                ),
                dialect=ports.dialect,
                retry_budget=self._retry_budget,
                rate_limits=self._rate_limits,
                limiter=self._request_limiter,
                notices=self._notices,
                places=self._places,
                time_limits=time_limits,
                clock=self._clock,
                metrics=self._metrics,
                random_source=self._random,
                data_centre=settings.data_centre,
                estimates=self._estimates,
            ),
            dialect=ports.dialect,
            time_limits=time_limits,
            clock=self._clock,
            metrics=self._metrics,
            is_ready=self.is_ready,
            max_body_bytes=settings.max_body_bytes,
            ingress=self._ingress,
        )

    def _build_relay(self, ports: ForwardingPorts) -> ServerClient:
        """Returns the client of forwarded requests; one that relays if the settings ask for it."""
        if not self._settings.relay:
            return ports.client
        self._relay = RelayFeature(
            client=ports.client,
            dialect=ports.dialect,
            fleet=self._fleet,
            table=self._server_table,
            clock=self._clock,
            metrics=self._metrics,
            random_source=self._random,
            memory=self._memory,
            server_memory=(
                self._ports.server_memory or make_server_memory(self._settings.memory_mb)
            ),
        )
        self._relay.register_handlers(self._peer_link)
        self._fleet.make_server_reach = self._relay.monitor.make_reach
        return self._relay.client

    def _describe_relay(self) -> dict[str, Any] | None:
        return self._relay.describe() if self._relay is not None else None

    def _build_cold_permits(self) -> None:
        self._cold_permits = ColdPermits(
            fleet=self._fleet,
            servers=self._cold_servers,
            configuration=self._configuration,
            bound=ColdBound(
                overshoot=self._settings.cold_overshoot,
                slack_requests=self._settings.cold_slack_requests,
            ),
            clock=self._clock,
            metrics=self._metrics,
            random_source=self._random,
        )
        self._server_table.add_listener(self._cold_servers.note_entry)
        self._fleet.list_cold_servers = self._cold_servers.list_told

    def _build_ingress(self) -> None:
        if not self._settings.link_mbps:
            return
        self._ingress = IngressService(
            fleet=self._fleet,
            link_mbps=self._settings.link_mbps,
            clock=self._clock,
            metrics=self._metrics,
        )
        self._fleet.list_shedding_notices = self._ingress.list_told

    def _build_controller(self) -> None:
        member = self._fleet.member
        self._controller = EngineController(
            lease=ControllerLease(
                store=self._ports.store,
                clock=self._clock,
                data_centre=member.data_centre,
                self_name=member.incarnation,
            ),
            engines=self._ports.engines,
            directory=self._backend_directory,
            dispatcher=self._dispatcher,
            configuration=self._configuration,
            clock=self._clock,
            metrics=self._metrics,
            random_source=self._random,
            data_centre=member.data_centre,
            load_interval_seconds=self._settings.load_interval_seconds,
        )

    def _register_handlers(self) -> None:
        """Registers the handler of each type of peer request."""
        register = self._peer_link.register_handler
        register(FetchConfiguration, self._configuration.handle_fetch_configuration)
        register(ConfirmConfiguration, self._configuration.handle_confirm_configuration)
        register(request_messages.OpenRequest, self._request_directory.handle_open_request)
        register(request_messages.PlaceRequest, self._request_directory.handle_place_request)
        register(request_messages.ReadAnswer, self._chats.handle_read_answer)
        register(request_messages.ReadOutcome, self._calls.handle_read_outcome)
        register(budget_messages.SubmitChanges, self._handle_submit_changes)
        register(budget_messages.KeepShardCopy, self._handle_keep_shard_copy)
        register(budget_messages.RecallShard, self._handle_recall_shard)
        register(budget_messages.RequestTransfer, self._handle_request_transfer)
        register(budget_messages.GiveTokens, self._handle_give_tokens)
        register(budget_messages.TellSpending, self._handle_tell_spending)
        register(budget_messages.KeepBills, self._handle_keep_bills)
        register(budget_messages.CollectHoldings, self._handle_collect_holdings)
        register(RegistryRelayed, self._handle_registry_relayed)
        register(origin_messages.TellOrigins, self._stream_origins.handle_tell)
        register(origin_messages.ArchiveOrigins, self._origin_archive.handle_archive)
        register(origin_messages.FindOrigin, self._stream_origins.handle_find)
        if self._crash_guard is not None:
            register(crash_messages.CrashSeen, self._crash_guard.handle_crash_seen)
            register(crash_messages.TellParts, self._crash_guard.handle_tell_parts)
            register(crash_messages.AskTrial, self._crash_guard.handle_ask_trial)
            register(ListRegistry, self._registry_follower.handle_list)
            register(permit_messages.AskPermit, self._request_limiter.handle_ask_permit)
            register(cold_messages.AskColdPermit, self._cold_permits.handle_ask)
            register(place_messages.AskPlace, self._places.home.handle_ask_place)
            register(place_messages.ReturnPlaces, self._places.home.handle_return_places)
            register(place_messages.HoldPlaces, self._places.home.handle_hold_places)

    async def _handle_submit_changes(
        self, sender: str, message: budget_messages.SubmitChanges
    ) -> budget_messages.ChangesSubmitted:
        results = await self._submitter.submit_here(message.shard, message.changes)
        return budget_messages.ChangesSubmitted(results=results)

    async def _handle_keep_shard_copy(
        self, sender: str, message: budget_messages.KeepShardCopy
    ) -> budget_messages.Acknowledged:
        self._recall.keep_copy(message.shard, message.copy)
        return budget_messages.Acknowledged()

    async def _handle_recall_shard(
        self, sender: str, message: budget_messages.RecallShard
    ) -> budget_messages.ShardRecalled:
        self._ports.store.era.observe(message.era)
        return self._recall.answer(message.shard)

    async def _handle_request_transfer(
        self, sender: str, message: budget_messages.RequestTransfer
    ) -> budget_messages.TransferOffered:
        return await self._budget.lend(message)

    async def _handle_give_tokens(
        self, sender: str, message: budget_messages.GiveTokens
    ) -> budget_messages.Acknowledged:
        return self._budget.accept_tokens(message)

    async def _handle_tell_spending(
        self, sender: str, message: budget_messages.TellSpending
    ) -> budget_messages.Acknowledged:
        return self._budget.record_borrower_spending(message)

    async def _handle_keep_bills(
        self, sender: str, message: budget_messages.KeepBills
    ) -> budget_messages.Acknowledged:
        self._budget.bills.keep_copies(message.owner, message.bills)
        return budget_messages.Acknowledged()

    async def _handle_collect_holdings(
        self, sender: str, message: budget_messages.CollectHoldings
    ) -> budget_messages.HoldingsCollected:
        return self._budget.collect_holdings(message)

    async def _handle_registry_relayed(
        self, sender: str, message: RegistryRelayed
    ) -> budget_messages.Acknowledged:
        self._evacuated.hear_router(sender, message.evacuations)
        if self._registry_relay is not None:
            self._registry_relay.receive(message)
        self._configuration.refresh_if_newer(sender, message.configuration_number)
        return budget_messages.Acknowledged()

    def _begin_store_era(self, previous: int, era: int) -> None:
        """Writes again what the store may have lost; called as soon as a new era is known."""
        if self._is_closed:
            return
        self._metrics.count("store.eras_begun")
        self._budget.statements.begin_era(previous)
        self._run_in_background(self._restore_records())

    async def _restore_records(self) -> None:
        await self._submitter.rebuild_shards()
        await self._budget.statements.submit_all()
        await self._fleet.register()

    def _handle_heartbeat(self, sender: str, message: Heartbeat) -> None:
        self._ports.store.era.observe(message.store_era)
        self._evacuated.hear_router(sender, message.evacuations)
        self._configuration.fetch_if_newer(sender, message.configuration_number)
        self._backend_directory.record_gossiped_leaving(message.leaving_servers)
        if self._crash_guard is not None:
            self._crash_guard.adopt_blocks(sender, message.blocked_parts)
            self._rate_limits.adopt(message.named_limits)
            self._places.adopt(message.brittle_servers)
            self._cold_servers.adopt(sender, message.cold_servers)
            self._notices.adopt(message.leaving_notices)
        if self._ingress is not None:
            self._ingress.adopt(message.shedding_notices)
        if self._relay is not None:
            self._relay.monitor.adopt(sender, message.server_reach)
        # Only homes of shards normally write, but members may temporarily disagree on the homes.
        max_writers = MAX_HOMES_PER_SHARD * self._settings.account_shards
        self._write_pacer.set_member_count(min(1 + len(self._fleet.view.live), max_writers))
        if self._forward_frontend is not None:
            self._retry_budget.set_member_count(1 + len(self._fleet.view.live))

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._intake.set_stated_limits(self._configuration.record.limits)
        self._backend_directory.apply_configuration(configuration)
        for workspace in self._budget.states:
            entry = configuration.workspaces.get(workspace)
            purchased = entry.budget_tokens if entry else 0
            if purchased < self._purchased_tokens.get(workspace, 0):
                self._budget.return_free_tokens(workspace)
        self._announce_to_others()
        self._purchased_tokens = {
            name: entry.budget_tokens for name, entry in configuration.workspaces.items()
        }

    async def _list_at_watcher(self, message: ListRegistry) -> RegistryListed | None:
        reply = await self._watchers.ask(message)
        return reply if isinstance(reply, RegistryListed) else None

    def watches_store(self) -> bool:
        """Whether this process is one of the routers that watch the store."""
        return self._watchers.is_watcher()

    def is_registry_current(self) -> bool:
        """Whether the registry has confirmed the table of servers lately."""
        age_seconds = self._clock.monotonic_seconds() - self._registry_follower.confirmed_seconds
        return age_seconds <= self._settings.watch_seconds + REGISTRY_MARGIN_SECONDS

    def get_rank(self) -> int:
        """Returns the position of this process among the live routers, in the order of names."""
        own_name = self._fleet.member.incarnation
        return sum(name < own_name for name in self._fleet.view.live)

    def _get_version_retention(self) -> float:
        routes = self._configuration.configuration.routes.values()
        return max((get_keep_seconds(route) for route in routes), default=math.inf)

    def watches_configuration(self) -> bool:
        """Whether this process watches the configuration.

        Routers that watch the store also watch the configuration, and so do forwarding routers
        that currently receive no messages from a watcher, nor expect the first one.
        """
        relay = self._registry_relay
        if relay is not None and relay.is_expecting and not self._is_first_configuration_due():
            return False
        return self.watches_store() or (relay is not None and not relay.is_receiving)

    def _is_first_configuration_due(self) -> bool:
        """Whether this router has to read its first configuration itself."""
        return self._configuration.number == 0 and self.watches_store()

    def _find_cache_tokens(self, service: str) -> int:
        """Returns the cache size of a service's engines in tokens; 0 if unknown."""
        entry = self._configuration.configuration.services.get(service)
        return entry.engine.cache_tokens if entry is not None and entry.engine is not None else 0

    async def _log_store_calls_periodically(self) -> None:
        await log_store_calls_periodically(self._metrics)

    def _keep_running(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Runs a periodic task in the background, again after each unexpected error."""
        self._run_in_background(self._repeat_after_errors(run))

    async def _repeat_after_errors(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        while True:
            try:
                await run()
                return
            except Exception:
                self._metrics.count("tasks.restarted")
                _log.exception(
                    "periodic task failed; starting it again", fields={"task": run.__qualname__}
                )
            await asyncio.sleep(TASK_RESTART_SECONDS)

    def _run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(_log_task_failure)
        self._tasks.append(task)


async def _close_nothing(until_seconds: float | None) -> None:
    """Closes the connections of a router that has none."""


def _log_task_failure(task: asyncio.Task[None]) -> None:
    """Logs the error of a background task; these tasks are not expected to fail."""
    if not task.cancelled() and task.exception() is not None:
        _log.error("background task failed", exc_info=task.exception())
