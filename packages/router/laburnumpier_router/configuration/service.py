"""Active configuration of this process, its updates and its distribution.

One number covers the whole document. Updates are a compare-and-swap on the stored record, so if
two operators patch the same number, one of them gets a conflict. Only a few routers watch the
store; the others learn of a higher number from these and from heartbeats, and fetch the
configuration from the peer that has it (`peer_sources`). A lower number is never applied.

A change can be in force elsewhere before this process learns of it. What the active configuration
allows is served at once; before a request is refused by it, `confirm` finds out whether it is
still the newest one (`confirmation`).
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec
from laburnumpier_core.background_tasks import BackgroundTasks
from laburnumpier_core.clock import Clock
from laburnumpier_core.decoding import decode_json
from laburnumpier_core.errors import (
    LaburnumpierError,
    StoredValueError,
    StoreError,
    UnreadableDataError,
    WriteOutcomeUnknownError,
)
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..budget.peers import BudgetFleet, ConfiguredBudget
from ..ports.key_value_service import KeyValueService, StoredValue, Write
from ..ports.store_calls import name_store_calls
from ..ports.store_era import UNKNOWN_ERA, StorePosition
from .confirmation import ConfigurationConfirmed, Confirmations, ConfirmConfiguration
from .document import Configuration, ConfigurationProblem
from .peer_sources import ConfigurationFetched, FetchConfiguration, PeerSources
from .record import (
    CONFIGURATION_KEY,
    HISTORY_PREFIX,
    MAX_PATCH_NOTES,
    ConfigurationRecord,
    JsonRecordFormat,
    PatchNote,
    RecordFormat,
    decode_document,
    merge_patch,
)

MAX_UPDATE_ATTEMPTS = 10
WATCH_SECONDS = 30.0
WATCH_RETRY_SECONDS = 0.5
FALLBACK_WATCH_SECONDS = 10.0
CHANGE_PAUSE_SECONDS = 0.2
"""Time after a change before the next watch; versions that follow quickly are read as one."""

_log = get_part_logger("config")


class PatchConflictError(LaburnumpierError):
    """The patch is based on a configuration number that is not the current one."""

    def __init__(self, current_number: int):
        """Creates the error with the current number."""
        super().__init__(f"the current number is {current_number}")
        self.current_number = current_number


class InvalidPatchError(LaburnumpierError):
    """The patched document is not valid."""

    def __init__(self, problems: list[ConfigurationProblem]):
        """Creates the error with all problems found."""
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


class ConfigurationService:
    """Keeps the active configuration up to date and applies operator patches."""

    __slots__ = (
        "_background",
        "_clock",
        "_configuration",
        "_confirmations",
        "_format",
        "_is_fallback_watcher",
        "_is_watcher",
        "_last_read",
        "_metrics",
        "_on_change",
        "_peer_sources",
        "_random",
        "_record",
        "_store",
        "_store_position",
        "_watch_seconds",
        "_workspaces_by_key_hash",
    )

    def __init__(
        self,
        *,
        store: KeyValueService,
        fleet: BudgetFleet,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
        is_watcher: Callable[[], bool],
        on_change: Callable[[Configuration], None],
        record_format: RecordFormat | None = None,
        watch_seconds: float = WATCH_SECONDS,
        is_fallback_watcher: Callable[[], bool] = lambda: False,
        find_confirmer: Callable[[], str | None] = lambda: None,
    ):
        """Creates the service with the empty configuration number 0.

        Args:
            store: Key-value service of the platform.
            fleet: Calls to the other routers.
            clock: Provides the time of patches.
            metrics: Receives the number of the active configuration.
            random_source: Random number generator for jitter.
            is_watcher: Returns whether this process is one of the few that watch the store.
            on_change: Called after each change of the active configuration.
            record_format: Location and encoding of the record; `JsonRecordFormat` by default.
            watch_seconds: Timeout of a watch, after which it is renewed.
            is_fallback_watcher: Returns whether this process watches only until it hears of others
                that do.
            find_confirmer: Returns the router that asks the store for all before requests are
                refused; None if this one asks itself.
        """
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._is_watcher = is_watcher
        self._is_fallback_watcher = is_fallback_watcher
        self._on_change = on_change
        self._format = record_format or JsonRecordFormat()
        self._watch_seconds = watch_seconds
        self._record = ConfigurationRecord()
        self._configuration = Configuration()
        self._workspaces_by_key_hash: dict[str, str] = {}
        self._store_position = StorePosition(era=UNKNOWN_ERA, revision=0)
        self._background = BackgroundTasks(part="config", metrics=metrics)
        self._peer_sources = PeerSources(
            fleet=fleet,
            clock=clock,
            random_source=random_source,
            background=self._background,
            get_number=lambda: self.number,
            apply=self.apply,
            ask_store=lambda: self._ask_store("newer"),
        )
        self._confirmations = Confirmations(
            fleet=fleet,
            clock=clock,
            metrics=metrics,
            background=self._background,
            find_confirmer=find_confirmer,
            get_number=lambda: self.number,
            ask_store=lambda: self._ask_store("confirm"),
            fetch_from_peer=self._peer_sources.fetch,
        )
        self._last_read: tuple[StorePosition, ConfigurationRecord] | None = None

    @property
    def number(self) -> int:
        """Number of the active configuration; 0 before the first."""
        return self._record.number

    @property
    def confirmed_seconds(self) -> float:
        """Monotonic time as of which the store had no newer configuration than the active one."""
        return self._confirmations.confirmed_seconds

    @property
    def record(self) -> ConfigurationRecord:
        """Stored record of the active configuration."""
        return self._record

    @property
    def configuration(self) -> Configuration:
        """The active configuration."""
        return self._configuration

    def find_workspace_of_key(self, key_hash: str) -> str | None:
        """Returns the workspace that an API key hash belongs to, or None."""
        return self._workspaces_by_key_hash.get(key_hash)

    def find_configured_budget(self, workspace: str) -> ConfiguredBudget | None:
        """Returns the purchased tokens of a workspace, or None if the workspace is unknown."""
        entry = self._configuration.workspaces.get(workspace)
        if entry is None:
            return None
        return ConfiguredBudget(purchased=entry.budget_tokens, configuration_number=self.number)

    def list_budgets(self, limit: int) -> list[str]:
        """Returns the workspaces with a budget, or none if there are over `limit` workspaces."""
        workspaces = self._configuration.workspaces
        if len(workspaces) > limit:
            return []
        return [name for name, entry in workspaces.items() if entry.budget_tokens]

    def apply(self, record: ConfigurationRecord) -> bool:
        """Activates a record unless it is older than or the same as the active one.

        Args:
            record: Record read from the store or received from a peer.

        Returns:
            Whether the record was activated.
        """
        if record.number <= self._record.number:
            self._adopt_limits(record)
            return False
        configuration, problems = decode_document(record.document)
        if problems:
            fields = {"number": record.number, "problems": [str(problem) for problem in problems]}
            _log.error("stored configuration is invalid", fields=fields)
            return False
        self._record = record
        self._configuration = configuration
        self._workspaces_by_key_hash = {
            key_hash: name
            for name, workspace in configuration.workspaces.items()
            for key_hash in workspace.key_hashes
        }
        self._metrics.set_gauge("config.number", record.number)
        _log.info("configuration in force", fields={"number": record.number})
        self._on_change(configuration)
        return True

    def _adopt_limits(self, record: ConfigurationRecord) -> None:
        """Takes over the limits of callers if the active record came without them.

        It did so if a router of an earlier release sent it.
        """
        is_active = record.number == self._record.number
        if is_active and self._record.limits is None and record.limits is not None:
            self._record = msgspec.structs.replace(self._record, limits=record.limits)
            self._on_change(self._configuration)

    async def submit_patch(
        self, patch: Any, expected_number: int, patch_id: str, author: str
    ) -> ConfigurationRecord:
        """Applies an operator's patch to the stored configuration.

        Args:
            patch: JSON Merge Patch.
            expected_number: Configuration number on which the patch is based.
            patch_id: Identifier of the patch; a repeated patch is applied once.
            author: Name of the operator.

        Returns:
            The record after the patch.

        Raises:
            PatchConflictError: If `expected_number` is not the current number.
            InvalidPatchError: If the patched document is invalid.
            StoreError: If the store is unavailable or the update keeps conflicting.
        """

        def change(record: ConfigurationRecord) -> Any:
            if record.number != expected_number:
                raise PatchConflictError(record.number)
            return patch

        return await self._update_record(change, patch_id, author)

    async def top_up(
        self, workspace: str, tokens: int, top_up_id: str, author: str
    ) -> ConfigurationRecord:
        """Adds tokens to the purchased total of a budget; a repeated top-up is applied once.

        Args:
            workspace: Workspace of the budget.
            tokens: Tokens to add; negative to reduce the total.
            top_up_id: Identifier of the top-up.
            author: Name of the operator.

        Returns:
            The record after the top-up.

        Raises:
            InvalidPatchError: If the workspace is unknown or the resulting total is invalid.
            StoreError: If the store is unavailable or the update keeps conflicting.
        """

        def change(record: ConfigurationRecord) -> Any:
            current = record.document.get("workspaces", {}).get(workspace)
            if current is None:
                path = f"workspaces.{workspace}"
                problem = ConfigurationProblem(path=path, problem="there is no such workspace")
                raise InvalidPatchError([problem])
            total = current["budget_tokens"] + tokens
            return {"workspaces": {workspace: {"budget_tokens": total}}}

        return await self._update_record(change, top_up_id, author)

    async def read_patch(self, number: int) -> Any:
        """Returns the patch that produced a configuration number, or None if it is not stored.

        Raises:
            StoreError: If the store is unavailable.
        """
        key = f"{HISTORY_PREFIX}{number:012d}"
        stored = (await self._store.read([key])).get(key)
        if stored is None:
            return None
        try:
            return decode_json(stored.value)
        except UnreadableDataError as error:
            raise StoredValueError(f"{key}: {error}") from error

    async def refresh_from_store(self) -> None:
        """Reads the stored record and activates it if it is newer.

        Raises:
            StoreError: If the store is unavailable.
        """
        await self._read_from_store()

    async def confirm(self) -> bool:
        """Returns whether the store has confirmed lately that no newer configuration exists.

        Asks if necessary, once for all requests that wait for the answer, and activates what is
        found. Returns False if there is no answer in time.
        """
        return await self._confirmations.confirm()

    async def _ask_store(self, cause: str) -> None:
        """Reads the store, and logs it if there is no answer.

        Args:
            cause: Why it is read, for the counters of store calls.
        """
        try:
            with name_store_calls(cause):
                await self._read_from_store()
        except StoreError as error:
            _log.info(
                "configuration not confirmed", fields={"number": self.number, "error": error}
            )

    async def follow_store_periodically(self) -> None:
        """Watches the store whenever this process is a watcher; runs until cancelled."""
        while True:
            started_seconds = self._clock.monotonic_seconds()
            try:
                if self._is_watcher():
                    await self._watch_once()
                else:
                    await asyncio.sleep(WATCH_RETRY_SECONDS)
            except StoreError as error:
                _log.debug("configuration watch failed", fields={"error": error})
                await self._pause_after_failure(started_seconds)

    async def _pause_after_failure(self, started_seconds: float) -> None:
        """Waits until the retry interval has passed since the start of a failed watch.

        A watch that was not answered has taken longer, and is repeated at once.
        """
        interval_seconds = WATCH_RETRY_SECONDS * self._random.uniform(0.5, 1.5)
        elapsed_seconds = self._clock.monotonic_seconds() - started_seconds
        await asyncio.sleep(max(0.0, interval_seconds - elapsed_seconds))

    def fetch_if_newer(self, peer: str, number: int) -> None:
        """Fetches the configuration of a peer if its number is higher than the active one."""
        self._peer_sources.hear(peer, number, is_stored=False)

    def refresh_if_newer(self, peer: str, number: int) -> None:
        """Fetches the configuration of a peer that watches the store, if its number is higher.

        The store is read only if no peer provides that number.
        """
        self._peer_sources.hear(peer, number, is_stored=True)

    async def handle_fetch_configuration(
        self, sender: str, message: FetchConfiguration
    ) -> ConfigurationFetched:
        """Answers a peer's request with the active configuration."""
        return ConfigurationFetched(record=self._record)

    async def handle_confirm_configuration(
        self, sender: str, message: ConfirmConfiguration
    ) -> ConfigurationConfirmed:
        """Answers a peer that has to confirm a refusal."""
        return await self._confirmations.handle_confirm(sender, message)

    async def _watch_once(self) -> None:
        if self._store_position.revision == 0:
            await self._read_from_store()
        started_seconds = self._clock.monotonic_seconds()
        stored = await self._store.wait_for_change(
            self._format.key, self._store_position, self._get_watch_seconds()
        )
        if stored is None:
            # Not a confirmation: a watch whose connection is silent may look like a quiet one.
            return
        self._take(stored, started_seconds)
        await asyncio.sleep(CHANGE_PAUSE_SECONDS)

    def _get_watch_seconds(self) -> float:
        """Returns the wait of a watch.

        All routers of a large fleet watch while they are cut off from each other. Their waits are
        long, as the others tell them of what a silent connection has kept back afterwards.
        """
        if self._is_fallback_watcher():
            return max(self._watch_seconds, FALLBACK_WATCH_SECONDS)
        return self._watch_seconds

    async def _read_from_store(self) -> tuple[ConfigurationRecord, StorePosition]:
        started_seconds = self._clock.monotonic_seconds()
        found = await self._store.read([self._format.key])
        stored = found.get(self._format.key)
        if stored is None:
            self._confirmations.record(started_seconds)
            return ConfigurationRecord(), found.get_position(self._format.key)
        record = self._take(stored, started_seconds)
        if record is None:
            raise StoreError("the stored configuration cannot be read")
        return record, stored.position

    def _take(self, stored: StoredValue, asked_seconds: float) -> ConfigurationRecord | None:
        """Activates what the store returned to a call, unless it is older or invalid.

        Args:
            stored: The stored record.
            asked_seconds: Monotonic time at which the call was sent.

        Returns:
            The record, or None if it cannot be decoded.
        """
        self._store_position = max(self._store_position, stored.position)
        if self._last_read is not None and self._last_read[0] == stored.position:
            record = self._last_read[1]
        else:
            record = self._decode(stored)
            if record is None:
                return None
            self._last_read = (stored.position, record)
        self.apply(record)
        if record.number <= self.number:
            self._confirmations.record(asked_seconds)
        return record

    def _decode(self, stored: StoredValue) -> ConfigurationRecord | None:
        """Decodes a stored record; returns None, and keeps the active one, if it is invalid."""
        try:
            return self._format.decode(stored.value)
        except UnreadableDataError as error:
            fields = {"position": stored.position, "error": error}
            _log.error("cannot decode the stored configuration", fields=fields)
            return None

    async def _update_record(
        self, change: Callable[[ConfigurationRecord], Any], patch_id: str, author: str
    ) -> ConfigurationRecord:
        """Applies a change by compare-and-swap; re-reads after a conflict or a lost reply."""
        for attempt in range(MAX_UPDATE_ATTEMPTS):
            record, position = await self._read_from_store()
            if record.find_note(patch_id) is not None:
                return record
            patch = change(record)
            updated = self._make_record(record, patch, patch_id, author)
            writes = [
                Write(key=CONFIGURATION_KEY, value=msgspec.json.encode(updated)),
                Write(
                    key=f"{HISTORY_PREFIX}{updated.number:012d}",
                    value=msgspec.json.encode(patch),
                ),
            ]
            try:
                outcome = await self._store.commit({CONFIGURATION_KEY: position}, writes)
            except WriteOutcomeUnknownError:
                continue
            if outcome.committed:
                self._store_position = max(self._store_position, outcome.position)
                self.apply(updated)
                return updated
            await asyncio.sleep(0.01 * attempt * self._random.random())
        raise StoreError("the configuration kept changing")

    def _make_record(
        self, record: ConfigurationRecord, patch: Any, patch_id: str, author: str
    ) -> ConfigurationRecord:
        document = merge_patch(record.document, patch)
        _, problems = decode_document(document if isinstance(document, dict) else {"": None})
        if problems:
            raise InvalidPatchError(problems)
        number = record.number + 1
        note = PatchNote(
            patch_id=patch_id, number=number, author=author, at=self._clock.wall_seconds()
        )
        notes = (*record.notes, note)[-MAX_PATCH_NOTES:]
        return ConfigurationRecord(number=number, document=document, notes=notes)
