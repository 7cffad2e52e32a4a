"""Confirms that the active configuration is still the newest one before it refuses a request.

Only the store can confirm that. In a large fleet one router, the confirmer, asks the store for
all: its answer tells the number that the store confirmed and how old that is. A router whose
confirmer does not answer asks the store itself. No clocks of different VMs are compared: the age
counts from the moment at which the router sent its question, so a confirmation never seems newer
than it is.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from laburnumpier_core.background_tasks import BackgroundTasks
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError
from laburnumpier_core.metrics import Metrics

from ..budget.peers import BudgetFleet

CONFIRMATION_MAX_AGE_SECONDS = 1.0
"""Age up to which the store's last confirmation covers a refusal; half of the time within which
operators expect a change to be in force."""
SHARED_MAX_AGE_SECONDS = 0.5
"""Age up to which a confirmer passes on what the store told it; the rest is left to the others."""
CONFIRMATION_TIMEOUT_SECONDS = 0.5
"""Longest time for which a request waits for a confirmation."""
CONFIRMER_TIMEOUT_SECONDS = 0.15
SILENT_CONFIRMER_SECONDS = 2.0
"""Time for which a confirmer that did not answer is not asked again."""


class ConfirmConfiguration(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a router what the store confirmed to it lately."""


class ConfigurationConfirmed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `ConfirmConfiguration`.

    Attributes:
        number: Number of the sender's active configuration.
        age_milliseconds: Time since the store confirmed it; None if that is too long ago.
    """

    number: int
    age_milliseconds: int | None


class Confirmations:
    """What the store has confirmed of the active configuration, here or at the confirmer."""

    __slots__ = (
        "_ask_store",
        "_asking",
        "_asking_store",
        "_background",
        "_clock",
        "_confirmed_seconds",
        "_fetch_from_peer",
        "_find_confirmer",
        "_fleet",
        "_get_number",
        "_metrics",
        "_silent_until_seconds",
    )

    def __init__(
        self,
        *,
        fleet: BudgetFleet,
        clock: Clock,
        metrics: Metrics,
        background: BackgroundTasks,
        find_confirmer: Callable[[], str | None],
        get_number: Callable[[], int],
        ask_store: Callable[[], Awaitable[None]],
        fetch_from_peer: Callable[[str], Awaitable[None]],
    ):
        """Creates it with nothing confirmed.

        Args:
            fleet: Calls to the confirmer.
            clock: Source of time.
            metrics: Counters.
            background: Runs the questions, which several requests may wait for.
            find_confirmer: Returns the router that confirms for all; None to ask the store.
            get_number: Returns the number of the active configuration.
            ask_store: Reads the store, activates what it finds, and records what that confirms.
            fetch_from_peer: Fetches and activates the configuration of a router.
        """
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._background = background
        self._find_confirmer = find_confirmer
        self._get_number = get_number
        self._ask_store = ask_store
        self._fetch_from_peer = fetch_from_peer
        self._confirmed_seconds = float("-inf")
        self._silent_until_seconds = float("-inf")
        self._asking: asyncio.Task[None] | None = None
        self._asking_store: asyncio.Task[None] | None = None

    @property
    def confirmed_seconds(self) -> float:
        """Monotonic time as of which the store had no newer configuration than the active one."""
        return self._confirmed_seconds

    def record(self, seconds: float) -> None:
        """Records that the active configuration was the newest one at a monotonic time."""
        self._confirmed_seconds = max(self._confirmed_seconds, seconds)

    async def confirm(self) -> bool:
        """Returns whether the store has confirmed lately that no newer configuration exists.

        Asks if necessary, once for all requests that wait for the answer, and activates what is
        found. Returns False if there is no answer in time.
        """
        if not self._is_confirmed(CONFIRMATION_MAX_AGE_SECONDS):
            if self._asking is None or self._asking.done():
                self._asking = self._background.start(self._ask())
            await asyncio.wait({self._asking}, timeout=CONFIRMATION_TIMEOUT_SECONDS)
        is_confirmed = self._is_confirmed(CONFIRMATION_MAX_AGE_SECONDS)
        if not is_confirmed:
            self._metrics.count("config.unconfirmed")
        return is_confirmed

    async def handle_confirm(
        self, sender: str, message: ConfirmConfiguration
    ) -> ConfigurationConfirmed:
        """Answers another router, from the store unless that was asked a moment before."""
        if not self._is_confirmed(SHARED_MAX_AGE_SECONDS):
            await asyncio.wait({self._start_asking_store()}, timeout=CONFIRMATION_TIMEOUT_SECONDS)
        age_seconds = self._clock.monotonic_seconds() - self._confirmed_seconds
        is_usable = age_seconds <= CONFIRMATION_MAX_AGE_SECONDS
        return ConfigurationConfirmed(
            number=self._get_number(),
            age_milliseconds=int(age_seconds * 1000) + 1 if is_usable else None,
        )

    def _is_confirmed(self, max_age_seconds: float) -> bool:
        age_seconds = self._clock.monotonic_seconds() - self._confirmed_seconds
        return age_seconds <= max_age_seconds

    async def _ask(self) -> None:
        confirmer = self._find_confirmer()
        now = self._clock.monotonic_seconds()
        if confirmer is not None and now >= self._silent_until_seconds:
            await self._ask_confirmer(confirmer)
        if not self._is_confirmed(CONFIRMATION_MAX_AGE_SECONDS):
            await asyncio.wait({self._start_asking_store()})

    def _start_asking_store(self) -> asyncio.Task[None]:
        """Returns the question to the store that is in progress, or starts one."""
        if self._asking_store is None or self._asking_store.done():
            self._asking_store = self._background.start(self._ask_store())
        return self._asking_store

    async def _ask_confirmer(self, confirmer: str) -> None:
        asked_seconds = self._clock.monotonic_seconds()
        try:
            reply = await self._fleet.call(
                confirmer, ConfirmConfiguration(), CONFIRMER_TIMEOUT_SECONDS
            )
        except PeerError:
            self._silent_until_seconds = asked_seconds + SILENT_CONFIRMER_SECONDS
            self._metrics.count("config.confirmer_silent")
            return
        if not isinstance(reply, ConfigurationConfirmed) or reply.age_milliseconds is None:
            return
        if reply.number > self._get_number():
            await self._fetch_from_peer(confirmer)
        if self._get_number() >= reply.number:
            self.record(asked_seconds - reply.age_milliseconds / 1000)
