"""A fleet of complete router applications over in-memory ports, in virtual time."""

import asyncio
import dataclasses
import json
from collections.abc import Callable
from typing import Any

from laburnumpier_core.errors import RequestError
from laburnumpier_core.hashing import hash_body
from laburnumpier_core.metrics import Metrics
from laburnumpier_core.result_codes import Ran, ResultCode
from laburnumpier_core.settings import Settings, parse_settings
from laburnumpier_router.application import ForwardingPorts, Ports, RouterApplication
from laburnumpier_router.backend.choice import ChoicePolicy
from laburnumpier_router.backend.engine_port import ServiceCall, ServiceResponse
from laburnumpier_router.fleet.member import Member
from laburnumpier_router.ports.vm_list import VmListing
from laburnumpier_router.request.call_service import CallRequest
from laburnumpier_router.request.chat_request import ChatRequest

from .memory_backends import MemoryBackendConnection, MemoryBackends, MemoryServer
from .memory_network import MemoryPeerNetwork, NetworkHub
from .memory_store import MemoryKeyValueService, StoreControl
from .virtual_loop import VirtualClock


class MemoryVmList:
    """A VM list whose content tests set; implements the `VmList` port."""

    def __init__(self):
        """Creates an empty list."""
        self.vms: dict[str, str] = {}
        self.serial = 1

    def set(self, vms: dict[str, str]) -> None:
        """Publishes a new list."""
        self.vms = dict(vms)
        self.serial += 1

    async def read(self) -> VmListing:
        """Returns the list."""
        return VmListing(serial=self.serial, vms=dict(self.vms))

    async def close(self) -> None:
        """Does nothing; the list holds no resources."""


@dataclasses.dataclass(slots=True, kw_only=True)
class MemoryRouter:
    """A router of the fleet and its connections to the in-memory ports.

    Attributes:
        name: Name of its VM, and of its client at the store.
        address: Its address in the simulated network.
        alive: Whether it was neither killed nor stopped.
    """

    name: str
    address: str
    application: RouterApplication
    backend_connection: MemoryBackendConnection
    alive: bool = True


@dataclasses.dataclass(slots=True, kw_only=True)
class ChatOutcome:
    """The result of a chat request as its caller sees it.

    Attributes:
        content: The complete answer; empty if the request failed.
        error: Why the request was refused or failed.
        seconds: Duration of the request.
        first_event_seconds: Time to the first event; 0 without streaming or events.
    """

    request_id: str
    content: str = ""
    error: RequestError | None = None
    seconds: float = 0.0
    first_event_seconds: float = 0.0


def make_settings(overrides: dict[str, str] | None = None) -> Settings:
    """Returns router settings for in-memory ports; keys of overrides are `section.key`."""
    sections: dict[str, dict[str, str]] = {
        "router": {
            "vm": "vm",
            "data_centre": "dc",
            "callers_address": "127.0.0.1:1",
            "operators_address": "127.0.0.1:2",
            "peers_address": "127.0.0.1:3",
            "operator_token_file": "/dev/null",
            "fleet_token_file": "/dev/null",
        },
        "platform": {"store_url": "http://store"},
    }
    for key, value in (overrides or {}).items():
        section, _, name = key.partition(".")
        sections.setdefault(section, {})[name] = value
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines.extend(f"{name} = {value}" for name, value in values.items())
    return parse_settings("\n".join(lines).replace("/dev/null", __file__))


def _make_store(control: StoreControl, name: str) -> MemoryKeyValueService:
    return MemoryKeyValueService(control=control, client=name)


class MemoryFleet:
    """Routers, platform and backend servers simulated in one process."""

    def __init__(
        self,
        *,
        seed: int = 0,
        settings: dict[str, str] | None = None,
        make_store: Callable[[StoreControl, str], MemoryKeyValueService] | None = None,
        make_forwarding: Callable[[MemoryKeyValueService], ForwardingPorts] | None = None,
    ):
        """Creates a fleet without routers.

        Args:
            seed: Seed of all random choices.
            settings: Settings that differ from the defaults, by `section.key`.
            make_store: Creates the store's client of a router by its name.
            make_forwarding: Creates the ports of forwarded requests of a router, from its client
                of the store; None if the routers forward no requests.
        """
        self.seed = seed
        self._make_store = make_store or _make_store
        self._make_forwarding = make_forwarding
        self.settings = make_settings(settings)
        self.store = StoreControl(seed=seed)
        self.hub = NetworkHub(seed=seed)
        self.backends = MemoryBackends()
        self.vm_list = MemoryVmList()
        self.routers: dict[str, MemoryRouter] = {}
        self._start_count = 0
        self._request_sequence = 0

    async def start_router(
        self, name: str, data_centre: str = "dc-a", policy: ChoicePolicy | None = None
    ) -> MemoryRouter:
        """Starts a router on the VM of the given name."""
        self._start_count += 1
        address = f"{name}:{self._start_count}"
        member = Member(
            incarnation=f"{name}@{self._start_count}",
            vm=name,
            data_centre=data_centre,
            peers_address=address,
        )
        connection = MemoryBackendConnection(backends=self.backends)
        store = self._make_store(self.store, name)
        ports = Ports(
            store=store,
            network=MemoryPeerNetwork(hub=self.hub, address=address),
            engines=connection,
            services=self.backends,
            vm_list=self.vm_list if self._make_forwarding is None else None,
            forwarding=self._make_forwarding(store) if self._make_forwarding else None,
            evacuations=store if hasattr(store, "set_evacuation_listener") else None,
        )
        seeds = [router.address for router in self.routers.values() if router.alive]
        application = RouterApplication(
            settings=self.settings,
            member=member,
            ports=ports,
            fleet_token="fleet",
            operator_token="operator",
            clock=VirtualClock(),
            metrics=Metrics(),
            seed=self.seed * 1000 + self._start_count,
            seed_addresses=seeds,
            policy=policy,
        )
        router = MemoryRouter(
            name=name, address=address, application=application, backend_connection=connection
        )
        self.routers[name] = router
        await application.start()
        return router

    async def kill(self, name: str) -> None:
        """Kills a router without a graceful stop; its messages and store calls then fail."""
        router = self.routers[name]
        router.alive = False
        router.backend_connection.disconnected = True
        self.hub.isolated.add(router.address)
        self.store.unreachable_clients.add(name)
        await router.application.close()
        self.store.unreachable_clients.discard(name)

    async def stop(self, name: str) -> None:
        """Stops a router gracefully."""
        self.routers[name].alive = False
        await self.routers[name].application.stop_gracefully()

    async def close(self) -> None:
        """Closes all routers that are alive."""
        for router in self.routers.values():
            if router.alive:
                router.alive = False
                await router.application.close()

    def isolate(self, name: str, *, from_store: bool = True) -> None:
        """Isolates a router, as a pause or partition does.

        Args:
            name: Name of the router.
            from_store: Whether it can't reach the store either.
        """
        self.hub.isolated.add(self.routers[name].address)
        if from_store:
            self.store.unreachable_clients.add(name)

    def heal_partitions(self) -> None:
        """Ends all partitions between routers and to the store."""
        self.hub.heal()
        self.store.unreachable_clients.clear()

    async def configure(self, router: str, patch: dict[str, Any]) -> int:
        """Applies a configuration patch at a router and returns the new configuration number."""
        service = self.routers[router].application.configuration
        await service.refresh_from_store()
        self._request_sequence += 1
        record = await service.submit_patch(
            patch, service.number, f"patch-{self._request_sequence}", "test"
        )
        return record.number

    def add_server(self, server: MemoryServer) -> str:
        """Adds a backend server and returns its URL."""
        return self.backends.add_server(server)

    async def chat(
        self,
        router: str,
        workspace: str,
        *,
        prompt: str = "hello",
        max_tokens: int = 20,
        words: int | None = None,
        key: str = "",
        deadline: float = 60.0,
        streamed: bool = True,
    ) -> ChatOutcome:
        """Sends a chat request to a router's chat service and returns its outcome.

        Args:
            router: Name of the router.
            workspace: Name of the workspace.
            prompt: Content of the only message.
            max_tokens: Maximum number of tokens in the answer.
            words: Number of tokens that the server generates; `max_tokens` if None.
            key: Idempotency key; if empty, the request has none and its ID is generated.
            deadline: Seconds until the request's deadline.
            streamed: Whether the caller reads the answer as a stream of events.
        """
        self._request_sequence += 1
        request_id = key or f"r{self._request_sequence}"
        loop = asyncio.get_running_loop()
        started = loop.time()
        outcome = ChatOutcome(request_id=request_id)
        application = self.routers[router].application
        configuration = application.configuration.configuration
        body = {
            "model": "m",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "words": words if words is not None else max_tokens,
        }
        request = ChatRequest(
            workspace=workspace,
            request_id=request_id,
            has_idempotency_key=bool(key),
            body=body,
            body_hash=hash_body(f"{prompt}-{max_tokens}".encode()),
            model="m",
            servers=configuration.models["m"].servers,
            max_output_tokens=max_tokens,
            max_prompt_tokens=len(prompt) + 60,
            prompt_prefix_hash=prompt[:64],
            priority=configuration.workspaces[workspace].priority,
            deadline_seconds=started + deadline,
        )
        content: list[str] = []
        try:
            with application.chats.open(request) as answer_log:
                if streamed:
                    async for event in answer_log.read():
                        outcome.first_event_seconds = (
                            outcome.first_event_seconds or loop.time() - started
                        )
                        content.append(_read_content(event.data))
                else:
                    content.extend(_read_content(e.data) for e in await answer_log.read_all())
            outcome.content = "".join(content)
        except RequestError as error:
            outcome.error = error
        outcome.seconds = loop.time() - started
        return outcome

    async def call(
        self,
        router: str,
        workspace: str,
        *,
        key: str = "",
        body: bytes = b"{}",
        method: str = "POST",
        deadline: float = 10.0,
    ) -> ServiceResponse:
        """Sends a call of the plain service `orders` to a router and returns the response.

        Args:
            router: Name of the router.
            workspace: Name of the workspace.
            key: Idempotency key; if empty, the call has none and its ID is generated.
            body: Body of the call.
            method: HTTP method of the call.
            deadline: Seconds until the call's deadline.
        """
        self._request_sequence += 1
        request_id = key or f"r{self._request_sequence}"
        application = self.routers[router].application
        service = application.configuration.configuration.services["orders"]
        headers = {"Idempotency-Key": f"{workspace}/{request_id}"}
        call = ServiceCall(method=method, path="bookings", query="", headers=headers, body=body)
        request = CallRequest(
            workspace=workspace,
            request_id=request_id,
            has_idempotency_key=bool(key),
            body_hash=f"{method}{body!r}",
            service="orders",
            servers=service.servers,
            call=call,
            idempotent=method in service.idempotent_methods,
            price_tokens=service.price_tokens,
            priority=5,
            deadline_seconds=asyncio.get_running_loop().time() + deadline,
        )
        try:
            return await application.calls.call(request)
        except asyncio.CancelledError:
            if self.routers[router].application is application and self.routers[router].alive:
                raise
            # The call was cancelled because its router was killed. The caller's connection closes,
            # and the caller can't know whether the call was executed.
            raise RequestError(ResultCode.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN) from None


def _read_content(data: bytes) -> str:
    choices = json.loads(data)["choices"]
    return choices[0]["delta"].get("content") or "" if choices else ""
