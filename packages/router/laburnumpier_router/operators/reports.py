"""Reports and administrative actions for operators, across the parts of a router."""

from collections.abc import Callable
from typing import Any

import msgspec
from laburnumpier_core.errors import RequestError
from laburnumpier_core.hashing import choose_shard
from laburnumpier_core.identity import parse_incarnation
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import ResultCode

from ..backend.directory import BackendDirectory
from ..backend.dispatcher import Dispatcher
from ..budget.account import Account, ReleaseInDoubt
from ..budget.service import BudgetService
from ..budget.slot import Bill, Slot, format_slot_key, format_slot_prefix
from ..budget.submitter import ChangeSubmitter
from ..configuration.service import ConfigurationService
from ..estimates.estimate_placement import EstimatePlacement
from ..estimates.placement_report import PlacementReport, parse_prompt_parts
from ..fleet.service import FleetService
from ..forward.stream_origins import StreamOrigins
from ..ports.key_value_service import KeyValueService, decode_record
from ..request.call_service import CallService
from ..request.chat_service import ChatService
from ..request.request_directory import RequestDirectory

_log = get_part_logger("operator")


class OperatorReports:
    """Builds reports for operators and carries out their actions."""

    __slots__ = (
        "_backend_directory",
        "_budget",
        "_calls",
        "_chats",
        "_configuration",
        "_dispatcher",
        "_dumps",
        "_estimates",
        "_fleet",
        "_metrics",
        "_placement_report",
        "_request_directory",
        "_store",
        "_stream_origins",
        "_submitter",
    )

    def __init__(
        self,
        *,
        store: KeyValueService,
        configuration: ConfigurationService,
        budget: BudgetService,
        submitter: ChangeSubmitter,
        chats: ChatService,
        calls: CallService,
        request_directory: RequestDirectory,
        backend_directory: BackendDirectory,
        dispatcher: Dispatcher,
        stream_origins: StreamOrigins,
        fleet: FleetService,
        metrics: Metrics,
        estimates: EstimatePlacement | None = None,
        placement_report: PlacementReport | None = None,
    ):
        """Creates the reports from the parts of one router process."""
        self._store = store
        self._configuration = configuration
        self._budget = budget
        self._submitter = submitter
        self._chats = chats
        self._calls = calls
        self._request_directory = request_directory
        self._backend_directory = backend_directory
        self._dispatcher = dispatcher
        self._stream_origins = stream_origins
        self._fleet = fleet
        self._metrics = metrics
        self._dumps: dict[str, Callable[[], Any]] = {}
        self._estimates = estimates
        self._placement_report = placement_report

    async def show_budget(self, workspace: str) -> dict[str, Any] | None:
        """Returns the stored account of a workspace, or None if the workspace does not exist.

        Raises:
            StoreError: If the store does not respond.
        """
        configured_budget = self._configuration.find_configured_budget(workspace)
        if configured_budget is None:
            return None
        shard = choose_shard(workspace, self._submitter.shard_count)
        accounts = (await self._submitter.get_writer(shard).read()).accounts
        account = accounts.get(workspace, Account(configured=configured_budget.purchased))
        return _describe_account(workspace, account, configured_budget.purchased)

    async def list_budgets(self) -> list[dict[str, Any]]:
        """Returns the accounts of all workspaces.

        Raises:
            StoreError: If the store does not respond.
        """
        reports = [
            await self.show_budget(name) for name in self._configuration.configuration.workspaces
        ]
        return [report for report in reports if report is not None]

    async def export_bills(self, workspace: str) -> list[dict[str, Any]]:
        """Returns the stored bills of a workspace, in the order in which they were stored.

        Raises:
            StoreError: If the store does not respond.
        """
        stored_values = await self._store.list_prefix(format_slot_prefix(workspace))
        stored_values.sort(key=lambda value: value.position)
        slots = [decode_record(value, Slot) for value in stored_values]
        return [_describe_bill(slot.bill) for slot in slots if slot.bill is not None]

    async def release_in_doubt(self, workspace: str) -> int:
        """Makes all tokens in doubt of a workspace available again.

        Returns:
            The number of released tokens.

        Raises:
            StoreError: If the store does not respond.
        """
        shard = choose_shard(workspace, self._submitter.shard_count)
        accounts = (await self._submitter.get_writer(shard).read()).accounts
        account = accounts.get(workspace, Account())
        changes = [
            ReleaseInDoubt(workspace=workspace, grant_id=grant_id) for grant_id in account.in_doubt
        ]
        if not changes:
            return 0
        results = await self._submitter.submit(workspace, changes)
        return sum(getattr(result, "tokens", 0) for result in results)

    async def explain_request(self, workspace: str, request_id: str) -> dict[str, Any]:
        """Returns what this router and the store know about a request.

        Raises:
            StoreError: If the store does not respond.
        """
        key = format_slot_key(workspace, request_id)
        stored = (await self._store.read([key])).get(key)
        slot = decode_record(stored, Slot) if stored else None
        tracked = self._chats.requests.get((workspace, request_id))
        report: dict[str, Any] = {"workspace": workspace, "request_id": request_id}
        report["bill"] = _describe_bill(slot.bill) if slot and slot.bill else None
        report["claimed_by"] = slot.claimed_by if slot else ""
        report["home"] = self._fleet.find_home(f"request/{workspace}/{request_id}")
        report["here"] = None
        if tracked is not None:
            failure = tracked.log.failure
            report["here"] = {
                "finished": tracked.log.finished,
                "events": tracked.log.last_event_id,
                "readers": tracked.log.readers,
                "failure": msgspec.to_builtins(failure) if failure else None,
            }
        return report

    def explain_placement(
        self, target: str, parts: str, output_tokens: int, now_seconds: float
    ) -> dict[str, Any]:
        """Returns where a request to a route or service would go now, without sending it.

        Args:
            target: Name of a route or a service.
            parts: Parts of the prompt, `ID:TOKENS,ID:TOKENS`; empty for a plain call.
            output_tokens: Upper limit of tokens in the response.
            now_seconds: Current monotonic time.

        Raises:
            RequestError: If the question cannot be answered.
        """
        if self._placement_report is None:
            raise RequestError(
                ResultCode.NOT_FOUND, detail="this router does not place requests by estimates"
            )
        return self._placement_report.explain(
            target, parse_prompt_parts(parts), output_tokens, now_seconds
        )

    async def show_fleet(self) -> dict[str, Any]:
        """Returns the fleet's members as seen by this router."""
        view = self._fleet.view
        members = [
            {
                "incarnation": name,
                "data_centre": entry.member.data_centre,
                "state": entry.state.value,
                "live": name in view.live,
            }
            for name, entry in sorted(view.known.items())
        ]
        departed = [
            msgspec.to_builtins(departure)
            for record in self._fleet.records.values()
            for departure in record.departed
        ]
        return {
            "self": self._fleet.self_name,
            "data_centre": self._fleet.member.data_centre,
            "configuration_number": self._configuration.number,
            "members": members,
            "departed": departed,
        }

    async def declare_dead(self, incarnation: str, author: str) -> None:
        """Records an operator's statement that a router process has ended.

        Raises:
            RequestError: If the process is not registered.
            StoreError: If the store does not respond.
        """
        vm = parse_incarnation(incarnation).vm
        await self._fleet.read_records()
        record = self._fleet.records.get(vm)
        if record is None or record.member is None or record.member.incarnation != incarnation:
            raise RequestError(ResultCode.NOT_FOUND, detail="no such process is registered")
        await self._fleet.registry.mark_departed(
            incarnation, vm, clean=False, proof=f"declared dead by {author}"
        )
        _log.warning("router declared dead", fields={"router": incarnation, "author": author})

    def add_dump(self, name: str, dump: Callable[[], Any]) -> None:
        """Adds a field to the state dump.

        Args:
            name: Name of the field.
            dump: Returns its value, which can be encoded as JSON.
        """
        self._dumps[name] = dump

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of this router process, without secrets."""
        budgets = {
            workspace: {
                "free": state.pool.free,
                "reserved": state.pool.reserved,
                "waiting": state.pool.waiting_tokens,
                "loans": len(state.loans),
                "held_ahead": state.held_ahead.held_by_borrower,
                "grants": {
                    grant.grant_id: {
                        "own": grant.own,
                        "free": grant.free,
                        "reserved": grant.reserved,
                        "unsettled": grant.unsettled,
                    }
                    for grant in state.pool.grants.values()
                },
            }
            for workspace, state in self._budget.states.items()
        }
        servers = {
            name: {
                "in_flight": server.in_flight,
                "outstanding": server.outstanding,
                "limit": round(server.concurrency_limit, 1),
                "first_token_ms": round(server.first_token_seconds * 1000, 1),
                "leaving": self._backend_directory.is_leaving(name),
            }
            for name, server in self._backend_directory.states.items()
        }
        return {
            "self": self._fleet.self_name,
            "registered": self._fleet.is_registered,
            "configuration_number": self._configuration.number,
            "live_peers": self._fleet.view.live,
            "budgets": budgets,
            "pending_bills": self._budget.bills.pending_count,
            "servers": servers,
            "waiting_for_server": self._dispatcher.queued_count,
            "chats_active": self._chats.active_count,
            "calls_active": self._calls.active_count,
            "requests_at_home": self._request_directory.entry_count,
            "stream_origins": self._stream_origins.kept_count,
            "stream_origins_untold": self._stream_origins.untold_count,
            **{name: dump() for name, dump in self._dumps.items()},
            "estimates": self._estimates.describe() if self._estimates else None,
            "counters": self._metrics.counters,
            "gauges": self._metrics.gauges,
        }


def _describe_account(workspace: str, account: Account, purchased: int) -> dict[str, Any]:
    grants = {
        grant_id: {"holder": grant.holder, "amount": grant.amount}
        for grant_id, grant in account.grants.items()
    }
    return {
        "workspace": workspace,
        "purchased": purchased,
        "settled": account.settled,
        "granted": sum(grant.amount for grant in account.grants.values()),
        "in_doubt": sum(account.in_doubt.values()),
        "available": max(0, purchased - account.committed),
        "written_off": account.written_off,
        "configuration_number": account.configuration_number,
        "grants": grants,
    }


def _describe_bill(bill: Bill) -> dict[str, Any]:
    return {
        "workspace": bill.workspace,
        "request_id": bill.request_id,
        "tokens": bill.tokens,
        "target": bill.target,
        "server": bill.server,
        "router": bill.router,
        "finished_at": bill.finished_at,
    }
