"""The key-value service over the public JSON gateway of etcd v3.

Keys and values are sent as base64 text, numbers as decimal strings. Every HTTP call and every
watch is counted in the metrics, because the platform's service counts them towards its rate limit.
"""

import asyncio
import base64
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec
from aiohttp.http import HttpProcessingError
from laburnumpier_core.bounded_http import ResponseLimitError, read_body
from laburnumpier_core.decoding import decode_json
from laburnumpier_core.errors import (
    StoreUnavailableError,
    UnreadableDataError,
    WriteOutcomeUnknownError,
)
from laburnumpier_core.metrics import Metrics

from ..configuration.record import CONFIGURATION_KEY
from ..evacuation.operator_keys import EVACUATION_PREFIX, OperatorKeys
from .evacuations import Evacuations
from .key_value_service import CommitOutcome, FoundValues, StoredValue, Write
from .response_memory import MAX_CONTROL_BODY_BYTES
from .store_connections import StoreConnections
from .store_era import UNKNOWN_ERA, StoreEra, StorePosition

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Size of a response; a prefix is listed in a single one."""
MAX_WATCH_BYTES = 4 * 1024 * 1024
"""Size of all that a watch receives before its first event."""


def _encode(data: str | bytes) -> str:
    raw = data.encode() if isinstance(data, str) else data
    return base64.b64encode(raw).decode()


def _decode_pair(pair: dict[str, Any]) -> StoredValue:
    return StoredValue(
        key=base64.b64decode(pair["key"]).decode(),
        value=base64.b64decode(pair.get("value", "")),
        position=_make_position(pair["mod_revision"]),
    )


def _make_position(revision: str) -> StorePosition:
    """Returns the position of a revision; this service states no eras."""
    return StorePosition(era=UNKNOWN_ERA, revision=int(revision))


def _find_prefix_end(prefix: str) -> bytes:
    """Returns the smallest key above all keys with a prefix."""
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def _make_prefix_range(prefix: str) -> dict[str, str]:
    return {"key": _encode(prefix), "range_end": _encode(_find_prefix_end(prefix))}


def _is_evacuation_event(event: dict[str, Any]) -> bool:
    """Whether an event is of an evacuation; each response of a watch has events of one request."""
    return base64.b64decode(event["kv"]["key"]).startswith(EVACUATION_PREFIX.encode())


class EtcdKeyValueService:
    """Implements `KeyValueService` with the etcd v3 JSON gateway."""

    __slots__ = (
        "_connections",
        "_era",
        "_metrics",
        "_operator_keys",
        "_timeout_seconds",
        "_url",
    )

    def __init__(self, *, url: str, timeout_seconds: float, metrics: Metrics):
        """Creates the adapter, which connects on the first call.

        Args:
            url: Base URL of the gateway.
            timeout_seconds: Time limit of a single call.
            metrics: Counts the calls.
        """
        self._url = url
        self._timeout_seconds = timeout_seconds
        self._metrics = metrics
        self._era = StoreEra()
        self._connections = StoreConnections(metrics=metrics)
        self._operator_keys = OperatorKeys(metrics=metrics, configuration_key=CONFIGURATION_KEY)

    @property
    def era(self) -> StoreEra:
        """Era of the service, which never changes."""
        return self._era

    def set_evacuation_listener(self, listener: Callable[[Evacuations], None]) -> None:
        """Sets the function that gets the evacuations that come with the configuration."""
        self._operator_keys.set_listener(listener)

    async def read(self, keys: list[str]) -> FoundValues:
        """Returns the values of those given keys that exist, in one call.

        A read of the configuration returns the keys of evacuations in the same call.

        Raises:
            StoreUnavailableError: If the service does not respond.
        """
        ranges = [{"request_range": {"key": _encode(key)}} for key in keys]
        has_evacuations = CONFIGURATION_KEY in keys and self._operator_keys.is_followed
        if has_evacuations:
            ranges.append({"request_range": _make_prefix_range(EVACUATION_PREFIX)})
        response = await self._post("/v3/kv/txn", {"success": ranges}, writes=False)
        found = self._collect_found(response)
        if has_evacuations:
            names = [key for key in found if key.startswith(EVACUATION_PREFIX)]
            evacuations = [found.pop(name) for name in names]
            position = _make_position(response["header"]["revision"])
            self._operator_keys.replace(evacuations, position)
        return found

    async def list_prefix(self, prefix: str) -> list[StoredValue]:
        """Returns the values of all keys with a prefix, in key order.

        Raises:
            StoreUnavailableError: If the service does not respond.
        """
        response = await self._post("/v3/kv/range", _make_prefix_range(prefix), writes=False)
        return [_decode_pair(pair) for pair in response.get("kvs", [])]

    async def commit(
        self, expected: dict[str, StorePosition], writes: list[Write]
    ) -> CommitOutcome:
        """Writes all values if every key in `expected` is at its position.

        Raises:
            StoreUnavailableError: If nothing was written.
            WriteOutcomeUnknownError: If the response was lost.
        """
        compare = [
            {
                "key": _encode(key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(position.revision),
            }
            for key, position in expected.items()
        ]
        puts = [
            {
                "request_put": {
                    "key": _encode(write.key),
                    "value": _encode(write.value),
                    "lease": str(write.lease_id),
                }
            }
            for write in writes
        ]
        ranges = [{"request_range": {"key": _encode(key)}} for key in expected]
        body = {"compare": compare, "success": puts, "failure": ranges}
        response = await self._post("/v3/kv/txn", body, writes=True)
        committed = bool(response.get("succeeded", False))
        return CommitOutcome(
            committed=committed,
            position=_make_position(response["header"]["revision"]),
            found=self._collect_found({} if committed else response),
        )

    async def remove(self, key: str) -> None:
        """Removes a key, if it exists.

        Raises:
            StoreUnavailableError: If nothing was removed.
            WriteOutcomeUnknownError: If the response was lost.
        """
        await self._post("/v3/kv/deleterange", {"key": _encode(key)}, writes=True)

    async def grant_lease(self, ttl_seconds: float) -> int:
        """Creates a lease and returns its id.

        Raises:
            StoreUnavailableError: If no lease was granted.
            WriteOutcomeUnknownError: If the response was lost; such a lease expires unused.
        """
        body = {"TTL": str(max(1, round(ttl_seconds)))}
        response = await self._post("/v3/lease/grant", body, writes=True)
        return int(response["ID"])

    async def keep_lease_alive(self, lease_id: int) -> bool:
        """Renews a lease; returns False if it has expired.

        Raises:
            StoreUnavailableError: If the service does not respond.
        """
        body = {"ID": str(lease_id)}
        response = await self._post("/v3/lease/keepalive", body, writes=False)
        return int(response.get("result", {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease and deletes the keys attached to it.

        Raises:
            StoreUnavailableError: If the service does not respond.
            WriteOutcomeUnknownError: If the response was lost.
        """
        await self._post("/v3/lease/revoke", {"ID": str(lease_id)}, writes=True)

    async def wait_for_change(
        self, key: str, after: StorePosition, timeout_seconds: float
    ) -> StoredValue | None:
        """Waits for a write of a key after a position; returns None on timeout.

        A watch of the configuration also covers the evacuations, and ends when they change.

        Raises:
            StoreUnavailableError: If the watch fails.
        """
        request = {"key": _encode(key), "start_revision": str(after.revision + 1)}
        body = msgspec.json.encode({"create_request": request})
        if key == CONFIGURATION_KEY and self._operator_keys.is_followed:
            body += b"\n" + await self._make_evacuation_watch()
        self._metrics.count("store.watches")
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._read_watch(body)
        except TimeoutError:
            return None
        except (
            aiohttp.ClientError,
            HttpProcessingError,
            OSError,
            ValueError,
            UnreadableDataError,
        ) as error:
            self._operator_keys.forget_position()
            raise StoreUnavailableError(f"watch failed: {error!r}") from error

    async def close(self) -> None:
        """Closes the connections."""
        await self._connections.close()

    async def _make_evacuation_watch(self) -> bytes:
        """Returns the request that adds the evacuations to a watch; reads them first if need be.

        Raises:
            StoreUnavailableError: If the service does not respond.
        """
        if self._operator_keys.must_be_listed:
            await self.read([CONFIGURATION_KEY])
        start_revision = self._operator_keys.position.revision + 1
        request = _make_prefix_range(EVACUATION_PREFIX)
        request["start_revision"] = str(start_revision)
        return msgspec.json.encode({"create_request": request})

    def _take_evacuations(self, events: list[dict[str, Any]]) -> None:
        """Takes over the changes of evacuations that a watch returned together."""
        pairs = [(event.get("type", "PUT"), _decode_pair(event["kv"])) for event in events]
        written = [pair for kind, pair in pairs if kind == "PUT"]
        removed = [pair.key for kind, pair in pairs if kind != "PUT"]
        position = max(pair.position for _, pair in pairs)
        self._operator_keys.apply(written, removed, position)

    async def _read_watch(self, body: str) -> StoredValue | None:
        """Reads the JSON lines of a watch until the first event."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self._timeout_seconds)
        async with (
            self._connections.use() as session,
            session.post(self._url + "/v3/watch", data=body, timeout=timeout) as response,
        ):
            received_bytes = 0
            async for line in response.content:
                received_bytes += len(line)
                if received_bytes > MAX_WATCH_BYTES:
                    raise ResponseLimitError("body_too_large", MAX_WATCH_BYTES)
                events = decode_json(line, dict[str, Any]).get("result", {}).get("events", [])
                if events and _is_evacuation_event(events[0]):
                    self._take_evacuations(events)
                    return None
                for event in events:
                    if event.get("type", "PUT") == "PUT":
                        return _decode_pair(event["kv"])
        raise aiohttp.ClientError("watch ended without an event")

    def _collect_found(self, response: dict[str, Any]) -> FoundValues:
        found = FoundValues(UNKNOWN_ERA, {})
        for part in response.get("responses", []):
            for pair in part.get("response_range", {}).get("kvs", []):
                stored = _decode_pair(pair)
                found[stored.key] = stored
        return found

    async def _post(self, path: str, body: dict[str, Any], *, writes: bool) -> dict[str, Any]:
        """Sends one call and returns the decoded response.

        Raises:
            StoreUnavailableError: If the call had no effect, or only reads.
            WriteOutcomeUnknownError: If a call that writes may have taken effect.
        """
        self._metrics.count("store.writes" if writes else "store.reads")
        timeout = aiohttp.ClientTimeout(total=self._timeout_seconds)
        try:
            async with (
                self._connections.use() as session,
                session.post(
                    self._url + path, data=msgspec.json.encode(body), timeout=timeout
                ) as response,
            ):
                if response.status == 200:
                    return decode_json(
                        await read_body(response, MAX_RESPONSE_BYTES), dict[str, Any]
                    )
                text = (await read_body(response, MAX_CONTROL_BODY_BYTES)).decode()[:200]
                raise StoreUnavailableError(f"{path}: status {response.status}: {text}")
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError(f"{path}: not connected") from error
        except (aiohttp.ClientError, TimeoutError, OSError, UnreadableDataError) as error:
            if writes:
                raise WriteOutcomeUnknownError(f"{path}: {error!r}") from error
            raise StoreUnavailableError(f"{path}: {error!r}") from error
