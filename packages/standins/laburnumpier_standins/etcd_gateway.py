"""Stand-in of the platform over HTTP: a subset of etcd's v3 JSON gateway, and a VM list.

`POST /faults` injects a fault into all store calls. `GET /calls` returns the number of store
calls so far; a watch counts as one call however long it stays open.
"""

import argparse
import asyncio
import base64
import json
from typing import Any

from aiohttp import web

from .process import serve_on_loopback
from .store_state import Entry, StoreFault, StoreState

SLOW_CALL_SECONDS = 3.0


def _decode_text(data: str) -> str:
    return base64.b64decode(data).decode()


def _encode_entry(key: str, entry: Entry) -> dict[str, str]:
    return {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "mod_revision": str(entry.revision),
    }


class _Watch:
    """A watch of a key or range; of several writes of a key it reports the newest one."""

    def __init__(
        self, state: StoreState, removals: list[tuple[str, int]], request: dict[str, Any]
    ):
        """Creates a watch from its request.

        Args:
            state: Stored data.
            removals: Key and revision of each removal.
            request: The decoded `create_request`.
        """
        self._state = state
        self._removals = removals
        self._key = _decode_text(request["key"])
        self._end = _decode_text(request["range_end"]) if "range_end" in request else ""
        self._start_revision = int(request.get("start_revision", 0))

    def take_events(self) -> list[dict[str, Any]]:
        """Returns the changes since the last time."""
        written = [
            {"type": "PUT", "kv": _encode_entry(key, entry)}
            for key, entry in sorted(self._state.entries.items())
            if self._covers(key) and entry.revision >= self._start_revision
        ]
        removed = [
            {"type": "DELETE", "kv": _encode_removal(key, revision)}
            for key, revision in self._removals
            if self._covers(key)
            and revision >= self._start_revision
            and key not in self._state.entries
        ]
        self._start_revision = self._state.revision + 1
        return written + removed

    def _covers(self, key: str) -> bool:
        return self._key <= key < self._end if self._end else key == self._key


def _encode_removal(key: str, revision: int) -> dict[str, str]:
    name = base64.b64encode(key.encode()).decode()
    return {"key": name, "mod_revision": str(revision)}


class EtcdGatewayStandIn:
    """HTTP handlers of the store and the VM list."""

    def __init__(self):
        """Creates an empty store and VM list without faults."""
        self.state = StoreState()
        self.fault = StoreFault.NONE
        self.vms: dict[str, str] = {}
        self._removals: list[tuple[str, int]] = []
        self.vm_list_serial = 1

    def make_app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_post("/v3/kv/range", self._range)
        app.router.add_post("/v3/kv/txn", self._txn)
        app.router.add_post("/v3/kv/deleterange", self._remove)
        app.router.add_post("/v3/lease/grant", self._grant_lease)
        app.router.add_post("/v3/lease/keepalive", self._renew_lease)
        app.router.add_post("/v3/lease/revoke", self._revoke_lease)
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_get("/vms", self._list_vms)
        app.router.add_post("/vms", self._set_vms)
        app.router.add_post("/faults", self._set_fault)
        app.router.add_get("/calls", self._report_calls)
        return app

    async def _begin_call(
        self, request: web.Request, content: bytes | None = None
    ) -> dict[str, Any]:
        self.state.call_count += 1
        body = json.loads(await request.read() if content is None else content)
        if self.fault is StoreFault.DOWN:
            raise web.HTTPServiceUnavailable(text="down")
        if self.fault is StoreFault.SLOW:
            await asyncio.sleep(SLOW_CALL_SECONDS)
        self.state.expire_leases(asyncio.get_running_loop().time())
        return body

    def _make_response(self, request: web.Request, body: dict, *, writes: bool) -> web.Response:
        if writes and self.fault is StoreFault.ANSWER_LOST and request.transport is not None:
            request.transport.abort()
        header = {"revision": str(self.state.revision)}
        return web.json_response({"header": header, **body})

    def _read_range(self, range_request: dict[str, Any]) -> list[dict[str, str]]:
        key = _decode_text(range_request["key"])
        stale = self.fault is StoreFault.STALE_READ
        if "range_end" not in range_request:
            entry = self.state.get(key, stale=stale)
            return [_encode_entry(key, entry)] if entry else []
        end = _decode_text(range_request["range_end"])
        entries = sorted(self.state.entries.items())
        return [_encode_entry(name, entry) for name, entry in entries if key <= name < end]

    async def _range(self, request: web.Request) -> web.Response:
        body = await self._begin_call(request)
        return self._make_response(request, {"kvs": self._read_range(body)}, writes=False)

    async def _txn(self, request: web.Request) -> web.Response:
        body = await self._begin_call(request)
        expected = {
            _decode_text(c["key"]): int(c["mod_revision"]) for c in body.get("compare", [])
        }
        operations = body.get("success", [])
        puts = [op["request_put"] for op in operations if "request_put" in op]
        writes = [
            (_decode_text(put["key"]), base64.b64decode(put["value"]), int(put.get("lease", 0)))
            for put in puts
        ]
        succeeded = self.state.commit(expected, writes) if writes else True
        if not succeeded:
            operations = body.get("failure", [])
        responses = [
            {"response_range": {"kvs": self._read_range(op["request_range"])}}
            for op in operations
            if "request_range" in op
        ]
        result: dict[str, Any] = {"responses": responses}
        if succeeded:
            result["succeeded"] = True
        return self._make_response(request, result, writes=bool(writes))

    async def _remove(self, request: web.Request) -> web.Response:
        body = await self._begin_call(request)
        key = _decode_text(body["key"])
        removed = self.state.remove(key)
        if removed:
            self._removals.append((key, self.state.revision))
        return self._make_response(request, {"deleted": str(int(removed))}, writes=True)

    async def _grant_lease(self, request: web.Request) -> web.Response:
        body = await self._begin_call(request)
        now = asyncio.get_running_loop().time()
        lease_id = self.state.grant_lease(float(body["TTL"]), now)
        return self._make_response(request, {"ID": str(lease_id), "TTL": body["TTL"]}, writes=True)

    async def _renew_lease(self, request: web.Request) -> web.Response:
        body = await self._begin_call(request)
        renewed = self.state.renew_lease(int(body["ID"]), asyncio.get_running_loop().time())
        result = {"ID": body["ID"], "TTL": "1" if renewed else "0"}
        return self._make_response(request, {"result": result}, writes=False)

    async def _revoke_lease(self, request: web.Request) -> web.Response:
        body = await self._begin_call(request)
        self.state.revoke_lease(int(body["ID"]))
        return self._make_response(request, {}, writes=True)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        requests = [body["create_request"] for body in await self._begin_watch(request)]
        watches = [_Watch(self.state, self._removals, options) for options in requests]
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(json.dumps({"result": {"created": True}}).encode() + b"\n")
        while True:
            for watch in watches:
                events = watch.take_events()
                if events:
                    line = json.dumps({"result": {"events": events}}).encode() + b"\n"
                    await response.write(line)
            await self.state.wait_for_write()

    async def _begin_watch(self, request: web.Request) -> list[dict[str, Any]]:
        """Returns the requests of a watch, one JSON object a line."""
        first, *others = (await request.read()).splitlines()
        return [await self._begin_call(request, first), *map(json.loads, others)]

    async def _list_vms(self, request: web.Request) -> web.Response:
        vms = [{"vm": vm, "state": state} for vm, state in self.vms.items()]
        return web.json_response({"serial": self.vm_list_serial, "vms": vms})

    async def _set_vms(self, request: web.Request) -> web.Response:
        self.vms = await request.json()
        self.vm_list_serial += 1
        return web.json_response({})

    async def _set_fault(self, request: web.Request) -> web.Response:
        self.fault = StoreFault((await request.json())["fault"])
        return web.json_response({})

    async def _report_calls(self, request: web.Request) -> web.Response:
        return web.json_response({"calls": self.state.call_count})


def main() -> None:
    """Runs the stand-in of the platform on a loopback port."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    serve_on_loopback(EtcdGatewayStandIn().make_app(), arguments.port)


if __name__ == "__main__":
    main()
