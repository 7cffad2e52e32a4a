"""Finds processes that are proven to have ended and has their grants recovered.

A VM counts as gone when the platform listed it before, then left it out of two successive
renewed lists, its process's lease has lapsed, and no member has heard it since. A VM that was
never listed is not gone. Everything else is proven by a new process on the VM, or declared by
an operator.
"""

import asyncio
import random

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import StoreError
from laburnumpier_core.log import get_part_logger

from ..budget.recovery import GrantRecovery
from ..ports.vm_list import VmList
from .service import FleetService

RECOVERY_SECONDS = 3.0
ABSENT_READS = 2
PROOF_VM_GONE = "the platform took the VM off its list"

_log = get_part_logger("fleet")


class DepartureMonitor:
    """Watches the VM list and drives recovery of departed processes."""

    __slots__ = (
        "_absent_reads",
        "_clock",
        "_fleet",
        "_last_serial",
        "_listed_before",
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
        """Creates the watch; `vm_list` is None where the platform offers no list."""
        self._fleet = fleet
        self._recovery = recovery
        self._vm_list = vm_list
        self._clock = clock
        self._random = random_source
        self._listed_before: set[str] = set()
        self._absent_reads: dict[str, int] = {}
        self._last_serial = 0

    async def check_periodically(self) -> None:
        """Looks for departures and recovers them again and again; runs until cancelled."""
        while True:
            await asyncio.sleep(RECOVERY_SECONDS * self._random.uniform(0.7, 1.3))
            try:
                await self.check_vm_list()
                await self.recover_departed()
            except StoreError as error:
                _log.debug("recovery waits for the store", fields={"error": error})

    async def check_vm_list(self) -> None:
        """Marks processes on VMs that are proven gone as departed.

        Raises:
            StoreError: If the list or the store cannot be read.
        """
        if self._vm_list is None:
            return
        listing = await self._vm_list.read()
        if listing.serial <= self._last_serial:
            return
        self._last_serial = listing.serial
        self._listed_before.update(listing.vms)
        for vm, record in self._fleet.records.items():
            if vm in listing.vms or vm not in self._listed_before or record.member is None:
                self._absent_reads.pop(vm, None)
                continue
            self._absent_reads[vm] = self._absent_reads.get(vm, 0) + 1
            name = record.member.incarnation
            if self._absent_reads[vm] >= ABSENT_READS and name not in self._fleet.view.live:
                await self._mark_gone(vm, name)

    async def recover_departed(self) -> None:
        """Tries to recover every departed process once.

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
                    await self._fleet.registry.forget_departure(name, vm)
                    _log.info("departed router recovered", fields={"router": name})

    async def _mark_gone(self, vm: str, incarnation: str) -> None:
        if vm in await self._fleet.registry.list_leased_vms():
            return
        await self._fleet.registry.mark_departed(incarnation, vm, clean=False, proof=PROOF_VM_GONE)
        _log.warning("router is gone with its VM", fields={"router": incarnation})
