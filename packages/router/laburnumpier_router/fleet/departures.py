"""Detects processes that are proven to have ended and recovers their grants.

A VM counts as removed when the platform listed it before and then left it out of two successive
newer lists, the lease of its process has expired, and no member has received a heartbeat of the
process since. A VM that was never listed does not count as removed. In all other cases the proof
is a new process on the VM or the declaration of an operator.
"""

import asyncio
import random

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import StoreError
from laburnumpier_core.log import get_part_logger

from ..budget.recovery import GrantRecovery
from ..ports.vm_list import VmList
from .service import FleetService

CHECK_INTERVAL_SECONDS = 3.0
REQUIRED_ABSENT_READS = 2
PROOF_VM_GONE = "the platform took the VM off its list"

_log = get_part_logger("fleet")


class DepartureMonitor:
    """Polls the VM list and runs the recovery of departed processes."""

    __slots__ = (
        "_absent_counts",
        "_clock",
        "_fleet",
        "_last_serial",
        "_previously_listed",
        "_random",
        "_recovery",
        "_vm_list",
    )

    def __init__(
        self,
        *,
        fleet: FleetService,
        recovery: GrantRecovery,
        vm_list: VmList | None,
        clock: Clock,
        random_source: random.Random,
    ):
        """Creates the monitor; `vm_list` is None where the platform has no VM list."""
        self._fleet = fleet
        self._recovery = recovery
        self._vm_list = vm_list
        self._clock = clock
        self._random = random_source
        self._previously_listed: set[str] = set()
        self._absent_counts: dict[str, int] = {}
        self._last_serial = 0

    async def check_periodically(self) -> None:
        """Detects and recovers departed processes periodically; runs until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS * self._random.uniform(0.7, 1.3))
            try:
                await self.check_vm_list()
                await self.recover_departed()
            except StoreError as error:
                _log.debug(
                    "departure check or recovery failed; will be retried",
                    fields={"error": error},
                )

    async def check_vm_list(self) -> None:
        """Marks the processes of removed VMs as departed.

        Raises:
            StoreError: If the list or the store cannot be read.
        """
        if self._vm_list is None:
            return
        listing = await self._vm_list.read()
        if listing.serial <= self._last_serial:
            return
        self._last_serial = listing.serial
        self._previously_listed.update(listing.vms)
        for vm, record in self._fleet.records.items():
            if vm in listing.vms or vm not in self._previously_listed or record.member is None:
                self._absent_counts.pop(vm, None)
                continue
            self._absent_counts[vm] = self._absent_counts.get(vm, 0) + 1
            name = record.member.incarnation
            if (
                self._absent_counts[vm] >= REQUIRED_ABSENT_READS
                and name not in self._fleet.view.live
            ):
                await self._mark_departed_unless_leased(vm, name)

    async def recover_departed(self) -> None:
        """Attempts recovery once for every departed process and removes those without open grants.

        Raises:
            StoreError: If the store cannot be read.
        """
        for vm, record in list(self._fleet.records.items()):
            for departure in record.departed:
                name = departure.incarnation
                await self._recovery.recover(name, clean=departure.clean)
                if self._fleet.find_home(f"departed/{name}") != self._fleet.self_name:
                    continue
                if not await self._recovery.has_open_grants(name):
                    await self._fleet.registry.remove_departure(name, vm)
                    _log.info(
                        "grants of departed router recovered; departure record removed",
                        fields={"router": name},
                    )

    async def _mark_departed_unless_leased(self, vm: str, incarnation: str) -> None:
        if vm in await self._fleet.registry.list_leased_vms():
            return
        await self._fleet.registry.mark_departed(incarnation, vm, clean=False, proof=PROOF_VM_GONE)
        _log.warning(
            "router marked as departed; its VM is no longer listed by the platform",
            fields={"router": incarnation},
        )
