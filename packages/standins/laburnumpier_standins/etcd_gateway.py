"""The stand-in platform over HTTP: the etcd v3 JSON gateway subset, a VM list, and faults.

`POST /faults` sets how the service misbehaves; `GET /calls` tells how many calls it has counted, a
waiting watch as one.
"""

import argparse
import asyncio
import base64
import json
from typing import Any

from aiohttp import web

from .process import serve_on_loopback
from .store_state import Entry, StoreFault, StoreState

SLOW_SECONDS = 3.0


def _text(data: str) -> str:
    return base64.b64decode(data).decode()


def _pair(key: str, entry: Entry) -> dict[str, str]:
    return {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "mod_revision": str(entry.revision),
    }


class EtcdGateway:
    """The service's HTTP handlers."""

    def __init__(self):
        """Creates an empty, healthy service."""
        self.state = StoreState()
        self.fault = StoreFault.NONE
        self.vms: dict[str, str] = {}
        self.list_serial = 1

    def make_app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_post("/v3/kv/range", self._range)
        app.router.add_post("/v3/kv/txn", self._txn)
        app.router.add_post("/v3/lease/grant", self._grant)
        app.router.add_post("/v3/lease/keepalive", self._keep_alive)
        app.router.add_post("/v3/lease/revoke", self._revoke)
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_get("/vms", self._list_vms)
        app.router.add_post("/vms", self._set_vms)
        app.router.add_post("/faults", self._set_fault)
        app.router.add_get("/calls", self._count_calls)
        return app

    async def _arrive(self, request: web.Request) -> dict[str, Any]:
        self.state.calls += 1
        body = json.loads(await request.read())
        if self.fault is StoreFault.DOWN:
            raise web.HTTPServiceUnavailable(text="down")
        if self.fault is StoreFault.SLOW:
            await asyncio.sleep(SLOW_SECONDS)
        self.state.expire_leases(asyncio.get_running_loop().time())
        return body

    def _answer(self, request: web.Request, body: dict, *, writes: bool) -> web.Response:
        if writes and self.fault is StoreFault.ANSWER_LOST and request.transport is not None:
            request.transport.abort()
        header = {"revision": str(self.state.revision)}
        return web.json_response({"header": header, **body})

    def _read_range(self, question: dict[str, Any]) -> list[dict[str, str]]:
        key = _text(question["key"])
        stale = self.fault is StoreFault.STALE_READ
        if "range_end" not in question:
            entry = self.state.get(key, stale=stale)
            return [_pair(key, entry)] if entry else []
        end = _text(question["range_end"])
        found = sorted(self.state.entries.items())
        return [_pair(name, entry) for name, entry in found if key <= name < end]

    async def _range(self, request: web.Request) -> web.Response:
        body = await self._arrive(request)
        return self._answer(request, {"kvs": self._read_range(body)}, writes=False)

    async def _txn(self, request: web.Request) -> web.Response:
        body = await self._arrive(request)
        expected = {_text(c["key"]): int(c["mod_revision"]) for c in body.get("compare", [])}
        operations = body.get("success", [])
        writes = [op["request_put"] for op in operations if "request_put" in op]
        rows = [
            (_text(put["key"]), base64.b64decode(put["value"]), int(put.get("lease", 0)))
            for put in writes
        ]
        succeeded = self.state.commit(expected, rows) if rows else True
        if not succeeded:
            operations = body.get("failure", [])
        responses = [
            {"response_range": {"kvs": self._read_range(op["request_range"])}}
            for op in operations
            if "request_range" in op
        ]
        answer: dict[str, Any] = {"responses": responses}
        if succeeded:
            answer["succeeded"] = True
        return self._answer(request, answer, writes=bool(rows))

    async def _grant(self, request: web.Request) -> web.Response:
        body = await self._arrive(request)
        now = asyncio.get_running_loop().time()
        lease_id = self.state.grant_lease(float(body["TTL"]), now)
        return self._answer(request, {"ID": str(lease_id), "TTL": body["TTL"]}, writes=True)

    async def _keep_alive(self, request: web.Request) -> web.Response:
        body = await self._arrive(request)
        kept = self.state.renew_lease(int(body["ID"]), asyncio.get_running_loop().time())
        result = {"ID": body["ID"], "TTL": "1" if kept else "0"}
        return self._answer(request, {"result": result}, writes=False)

    async def _revoke(self, request: web.Request) -> web.Response:
        body = await self._arrive(request)
        self.state.revoke_lease(int(body["ID"]))
        return self._answer(request, {}, writes=True)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        body = (await self._arrive(request))["create_request"]
        key, start = _text(body["key"]), int(body.get("start_revision", 0))
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(json.dumps({"result": {"created": True}}).encode() + b"\n")
        while True:
            entry = self.state.get(key)
            if entry is not None and entry.revision >= start:
                event = {"type": "PUT", "kv": _pair(key, entry)}
                line = json.dumps({"result": {"events": [event]}}).encode() + b"\n"
                await response.write(line)
                start = entry.revision + 1
            await self.state.wait_for_write()

    async def _list_vms(self, request: web.Request) -> web.Response:
        vms = [{"vm": vm, "state": state} for vm, state in self.vms.items()]
        return web.json_response({"serial": self.list_serial, "vms": vms})

    async def _set_vms(self, request: web.Request) -> web.Response:
        self.vms = await request.json()
        self.list_serial += 1
        return web.json_response({})

    async def _set_fault(self, request: web.Request) -> web.Response:
        self.fault = StoreFault((await request.json())["fault"])
        return web.json_response({})

    async def _count_calls(self, request: web.Request) -> web.Response:
        return web.json_response({"calls": self.state.calls})


def main() -> None:
    """Runs the stand-in platform on a loopback port."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    serve_on_loopback(EtcdGateway().make_app(), arguments.port)


if __name__ == "__main__":
    main()
