"""Builds the parts that relay requests, and connects them with the rest of a router."""

import random
from typing import Any

from laburnumpier_core.clock import Clock
from laburnumpier_core.metrics import Metrics

from ..fleet.peer_link import PeerLink
from ..fleet.service import FleetService
from ..forward.exchange import ServerClient
from ..forward.servers import ServerTable
from ..intake.memory import CallerMemory
from ..ports.dialect import Dialect
from ..ports.server_memory import ServerMemory
from .contact_monitor import ContactMonitor
from .messages import AskContact, CancelExchange, KeepRequest, ReadExchange, StartExchange
from .peer_contacts import PeerContacts
from .relay_host import RelayHost
from .relay_sender import RelaySender
from .relaying_client import ObservedServerClient, RelayingServerClient
from .server_prober import ServerProber


class RelayFeature:
    """The parts of a router that relay requests to servers.

    Attributes:
        client: Sends requests directly, or through other routers while this one is cut off.
        host: Carries out requests of other routers.
        monitor: Knows whether servers are reached.
        sender: Sends requests through other routers.
    """

    __slots__ = ("client", "host", "monitor", "sender")

    def __init__(
        self,
        *,
        client: ServerClient,
        dialect: Dialect,
        fleet: FleetService,
        table: ServerTable,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
        memory: CallerMemory,
        server_memory: ServerMemory,
    ):
        """Creates the parts.

        Args:
            client: Sends requests to servers.
            dialect: Builds the headers of probes.
            fleet: The other routers.
            table: Registered servers.
            clock: Source of time.
            metrics: Counters and gauges.
            random_source: Spreads probes, questions and relayed requests.
            memory: Account of what callers make the process hold.
            server_memory: The same of servers' answers.
        """
        peers = PeerContacts(random_source=random_source)
        self.monitor = ContactMonitor(
            fleet=fleet,
            table=table,
            prober=ServerProber(client=client, dialect=dialect, metrics=metrics),
            peers=peers,
            clock=clock,
            metrics=metrics,
            random_source=random_source,
        )
        direct = ObservedServerClient(client=client, monitor=self.monitor, clock=clock)
        self.sender = RelaySender(
            fleet=fleet,
            monitor=self.monitor,
            clock=clock,
            metrics=metrics,
            memory=memory,
            server_memory=server_memory,
        )
        self.client = RelayingServerClient(direct=direct, relay=self.sender, monitor=self.monitor)
        self.host = RelayHost(
            client=direct,
            table=table,
            monitor=self.monitor,
            clock=clock,
            metrics=metrics,
            memory=memory,
        )

    def register_handlers(self, link: PeerLink) -> None:
        """Registers the handlers of all messages."""
        link.register_handler(AskContact, self.monitor.handle_ask_contact)
        link.register_handler(KeepRequest, self.host.handle_keep)
        link.register_handler(StartExchange, self.host.handle_start)
        link.register_handler(ReadExchange, self.host.handle_read)
        link.register_handler(CancelExchange, self.host.handle_cancel)

    def describe(self) -> dict[str, Any]:
        """Returns the state for the state dump."""
        return {
            "contact": self.monitor.contact.value,
            "sent_through_others": self.sender.open_count,
            "held_for_others": self.host.exchange_count,
            "held_bytes": self.host.held_bytes,
        }

    async def close(self) -> None:
        """Ends all exchanges and closes all connections to servers."""
        self.host.close()
        await self.client.close()
