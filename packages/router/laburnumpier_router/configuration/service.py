"""The configuration in force in this process, and how it changes.

One number covers the whole document. A change is a compare-and-swap on the stored record, so
of two operators who patch the same number one gets a conflict. Few routers watch the store;
the others learn of a higher number from heartbeats and fetch it from the peer that has it. A
lower number is never applied.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import (
    LaburnumpierError,
    PeerError,
    StoreError,
    WriteOutcomeUnknownError,
)
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..budget.peers import BudgetFleet, BudgetTerms
from ..ports.key_value_service import KeyValueService, StoredValue, Write
from .document import Configuration, ConfigurationProblem
from .record import (
    CONFIGURATION_KEY,
    HISTORY_PREFIX,
    MAX_NOTES,
    ConfigurationRecord,
    OwnRecordFormat,
    PatchNote,
    RecordFormat,
    decode_document,
    merge_patch,
)

MAX_ATTEMPTS = 10
WATCH_SECONDS = 30.0
RETRY_SECONDS = 0.5
PEER_TIMEOUT_SECONDS = 1.0

_log = get_part_logger("config")


class FetchConfiguration(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a peer for the configuration that it has in force."""


class ConfigurationFetched(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The peer's configuration."""

    record: ConfigurationRecord


class PatchConflictError(LaburnumpierError):
    """The patch was written against another number than the current one."""

    def __init__(self, current_number: int):
        """Creates the error with the number now in force."""
        super().__init__(f"the current number is {current_number}")
        self.current_number = current_number


class InvalidPatchError(LaburnumpierError):
    """The patched document would not be valid."""

    def __init__(self, problems: list[ConfigurationProblem]):
        """Creates the error with all problems found."""
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


class ConfigurationService:
    """Keeps the newest configuration in force and takes the operators' patches."""

    __slots__ = (
        "_clock",
        "_configuration",
        "_fetching",
        "_fleet",
        "_format",
        "_is_watcher",
        "_key_owners",
        "_metrics",
        "_on_change",
        "_random",
        "_record",
        "_store",
        "_store_revision",
        "_watch_seconds",
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
    ):
        """Creates the service with configuration number 0, which is empty.

        Args:
            store: The platform's key-value service.
            fleet: Other routers.
            clock: Source of time.
            metrics: Counters.
            random_source: Jitter.
            is_watcher: Tells whether this process is one of the few that watch the store.
            on_change: Called after each change of the configuration in force.
            record_format: Where and how the record is stored; the project's own by default.
            watch_seconds: How long one watch waits before it is renewed.
        """
        self._store = store
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._is_watcher = is_watcher
        self._on_change = on_change
        self._format = record_format or OwnRecordFormat()
        self._watch_seconds = watch_seconds
        self._record = ConfigurationRecord()
        self._configuration = Configuration()
        self._key_owners: dict[str, str] = {}
        self._store_revision = 0
        self._fetching: asyncio.Task[None] | None = None

    @property
    def number(self) -> int:
        """Number of the configuration in force; 0 before the first."""
        return self._record.number

    @property
    def record(self) -> ConfigurationRecord:
        """The configuration in force as stored."""
        return self._record

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._configuration

    def find_workspace_of_key(self, key_hash: str) -> str | None:
        """Returns the workspace that a hashed caller key belongs to, or None."""
        return self._key_owners.get(key_hash)

    def find_budget_terms(self, workspace: str) -> BudgetTerms | None:
        """Returns the purchased total of a workspace, or None when there is no such workspace."""
        entry = self._configuration.workspaces.get(workspace)
        if entry is None:
            return None
        return BudgetTerms(purchased=entry.budget_tokens, configuration_number=self.number)

    def list_budgets(self, limit: int) -> list[str]:
        """Returns the workspaces that have a budget, or none when there are more than `limit`."""
        workspaces = self._configuration.workspaces
        if len(workspaces) > limit:
            return []
        return [name for name, entry in workspaces.items() if entry.budget_tokens]

    def apply(self, record: ConfigurationRecord) -> bool:
        """Puts a record in force unless a newer one is.

        Args:
            record: A record read from the store or from a peer.

        Returns:
            Whether it was put in force.
        """
        if record.number <= self._record.number:
            return False
        configuration, problems = decode_document(record.document)
        if problems:
            _log.error("stored configuration is not valid", fields={"number": record.number})
            return False
        self._record = record
        self._configuration = configuration
        self._key_owners = {
            key_hash: name
            for name, workspace in configuration.workspaces.items()
            for key_hash in workspace.key_hashes
        }
        self._metrics.record_gauge("config.number", record.number)
        _log.info("configuration in force", fields={"number": record.number})
        self._on_change(configuration)
        return True

    async def submit_patch(
        self, patch: Any, expected_number: int, patch_id: str, author: str
    ) -> ConfigurationRecord:
        """Applies an operator's patch to the stored configuration.

        Args:
            patch: A JSON Merge Patch.
            expected_number: The number that the operator read.
            patch_id: Identity of the patch; a repeated one is applied once.
            author: Who submits it.

        Returns:
            The record in force after the patch.

        Raises:
            PatchConflictError: If another number is current.
            InvalidPatchError: If the result would not be valid.
            StoreError: If the store does not take a decision.
        """

        def change(record: ConfigurationRecord) -> Any:
            if record.number != expected_number:
                raise PatchConflictError(record.number)
            return patch

        return await self._update(change, patch_id, author)

    async def top_up(
        self, workspace: str, tokens: int, top_up_id: str, author: str
    ) -> ConfigurationRecord:
        """Raises a budget's purchased total; a repeated id counts once.

        Args:
            workspace: Whose budget.
            tokens: By how much; may be negative to lower it.
            top_up_id: Identity of the top-up.
            author: Who submits it.

        Returns:
            The record in force after the top-up.

        Raises:
            InvalidPatchError: If there is no such workspace or the total would not be valid.
            StoreError: If the store does not take a decision.
        """

        def change(record: ConfigurationRecord) -> Any:
            present = record.document.get("workspaces", {}).get(workspace)
            if present is None:
                place = f"workspaces.{workspace}"
                problem = ConfigurationProblem(place=place, problem="there is no such workspace")
                raise InvalidPatchError([problem])
            total = present["budget_tokens"] + tokens
            return {"workspaces": {workspace: {"budget_tokens": total}}}

        return await self._update(change, top_up_id, author)

    async def read_patch(self, number: int) -> Any:
        """Returns the patch that made a number, or None when it is not kept.

        Raises:
            StoreError: If the store does not answer.
        """
        key = f"{HISTORY_PREFIX}{number:012d}"
        stored = (await self._store.read([key])).get(key)
        return msgspec.json.decode(stored.value) if stored else None

    async def refresh_from_store(self) -> None:
        """Reads the stored record and puts it in force if it is newer.

        Raises:
            StoreError: If the store does not answer.
        """
        await self._read()

    async def follow_store_periodically(self) -> None:
        """Watches the store while this process is a watcher; runs until cancelled."""
        while True:
            try:
                if self._is_watcher():
                    await self._watch_once()
                else:
                    await asyncio.sleep(RETRY_SECONDS)
            except StoreError as error:
                _log.debug("watch failed", fields={"error": error})
                await asyncio.sleep(RETRY_SECONDS * self._random.uniform(0.5, 1.5))

    def fetch_if_newer(self, peer: str, number: int) -> None:
        """Fetches a peer's configuration when its number is higher than the one in force."""
        if number <= self.number:
            return
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.create_task(self.fetch_from_peer(peer))

    def refresh_if_newer(self, peer: str, number: int) -> None:
        """Reads the store when a peer that watches it has a higher number than the one in force.

        The peer itself is asked only where the store does not tell: many routers hear of a change
        at the same moment, and a peer's connection may be small.
        """
        if number > self.number and (self._fetching is None or self._fetching.done()):
            self._fetching = asyncio.create_task(self._catch_up(peer, number))

    async def _catch_up(self, peer: str, number: int) -> None:
        try:
            await self._read()
        except StoreError as error:
            _log.info("configuration not read", fields={"number": number, "error": error})
        if self.number < number:
            await self.fetch_from_peer(peer)

    async def fetch_from_peer(self, peer: str) -> None:
        """Takes a peer's configuration if it is newer; a silent peer changes nothing."""
        try:
            reply = await self._fleet.call(peer, FetchConfiguration(), PEER_TIMEOUT_SECONDS)
        except PeerError:
            return
        if isinstance(reply, ConfigurationFetched):
            self.apply(reply.record)

    async def handle_fetch_configuration(
        self, sender: str, message: FetchConfiguration
    ) -> ConfigurationFetched:
        """Answers a peer that asks for the configuration in force here."""
        return ConfigurationFetched(record=self._record)

    async def _watch_once(self) -> None:
        if self._store_revision == 0:
            await self._read()
        stored = await self._store.wait_for_change(
            self._format.key, self._store_revision, self._watch_seconds
        )
        if stored is not None:
            self._store_revision = max(self._store_revision, stored.revision)
            record = self._decode(stored)
            if record is not None:
                self.apply(record)

    async def _read(self) -> tuple[ConfigurationRecord, int]:
        stored = (await self._store.read([self._format.key])).get(self._format.key)
        if stored is None:
            return ConfigurationRecord(), 0
        self._store_revision = max(self._store_revision, stored.revision)
        record = self._decode(stored)
        if record is None:
            raise StoreError("the stored configuration cannot be read")
        self.apply(record)
        return record, stored.revision

    def _decode(self, stored: StoredValue) -> ConfigurationRecord | None:
        """Reads a stored record; one that cannot be read leaves the present one in force."""
        try:
            return self._format.decode(stored.value)
        except msgspec.MsgspecError as error:
            fields = {"revision": stored.revision, "error": error}
            _log.error("stored configuration cannot be read", fields=fields)
            return None

    async def _update(
        self, change: Callable[[ConfigurationRecord], Any], patch_id: str, author: str
    ) -> ConfigurationRecord:
        """Applies a change by compare-and-swap, reading back after a conflict or a lost answer."""
        for attempt in range(MAX_ATTEMPTS):
            record, revision = await self._read()
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
                outcome = await self._store.commit({CONFIGURATION_KEY: revision}, writes)
            except WriteOutcomeUnknownError:
                continue
            if outcome.committed:
                self._store_revision = max(self._store_revision, outcome.revision)
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
        notes = (*record.notes, note)[-MAX_NOTES:]
        return ConfigurationRecord(number=number, document=document, notes=notes)
