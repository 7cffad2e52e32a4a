"""HTTP frontend for operators: configuration, budgets, bills, fleet and state."""

import asyncio
import hmac
import json
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web
from laburnumpier_core.errors import RequestError, StoreError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.result_codes import ResultCode

from ..callers.responses import make_error_response
from ..configuration.service import (
    ConfigurationService,
    InvalidPatchError,
    PatchConflictError,
)
from ..evacuation.administration import EvacuationAdministration
from ..intake.body import read_body
from .reports import OperatorReports

MAX_PATCH_BYTES = 1024 * 1024
AUTHOR_HEADER = "X-Operator"
PATCH_ID_HEADER = "X-Patch-Id"

_log = get_part_logger("operator")

Handler = Callable[[web.Request], Awaitable[web.Response]]


class OperatorFrontend:
    """Serves calls that carry the operator token."""

    __slots__ = ("_configuration", "_evacuations", "_reports", "_token")

    def __init__(
        self,
        *,
        configuration: ConfigurationService,
        reports: OperatorReports,
        evacuations: EvacuationAdministration,
        token: str,
    ):
        """Creates the frontend.

        Args:
            configuration: Applies patches and top-ups.
            reports: Builds reports and carries out administrative actions.
            evacuations: Writes the keys of evacuated data centres.
            token: Secret that every call must include.
        """
        self._configuration = configuration
        self._reports = reports
        self._evacuations = evacuations
        self._token = token

    def make_app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(client_max_size=MAX_PATCH_BYTES)
        add_route = app.router.add_route
        add_route("GET", "/configuration", self._wrap_handler(self._show_configuration))
        add_route("PATCH", "/configuration", self._wrap_handler(self._patch_configuration))
        add_route("GET", "/configuration/history", self._wrap_handler(self._show_history))
        add_route(
            "GET", "/configuration/patches/{number:\\d+}", self._wrap_handler(self._show_patch)
        )
        add_route("GET", "/budgets", self._wrap_handler(self._list_budgets))
        add_route("GET", "/budgets/{workspace}", self._wrap_handler(self._show_budget))
        add_route("POST", "/budgets/{workspace}/top-ups", self._wrap_handler(self._top_up))
        add_route(
            "POST",
            "/budgets/{workspace}/release-in-doubt",
            self._wrap_handler(self._release_in_doubt),
        )
        add_route("GET", "/bills/{workspace}", self._wrap_handler(self._export_bills))
        add_route(
            "GET", "/requests/{workspace}/{request_id}", self._wrap_handler(self._explain_request)
        )
        add_route("GET", "/placement/{target}", self._wrap_handler(self._explain_placement))
        add_route("GET", "/fleet", self._wrap_handler(self._show_fleet))
        add_route("POST", "/fleet/declare-dead", self._wrap_handler(self._declare_dead))
        add_route("GET", "/evacuations", self._wrap_handler(self._list_evacuations))
        evacuation_path = "/evacuations/{data_centre}"
        add_route("PUT", evacuation_path, self._wrap_handler(self._begin_evacuation))
        add_route("DELETE", evacuation_path, self._wrap_handler(self._end_evacuation))
        add_route("GET", "/state", self._wrap_handler(self._dump_state))
        add_route("*", "/{path:.*}", self._wrap_handler(self._refuse_unknown_path))
        return app

    def _wrap_handler(self, handler: Handler) -> Handler:
        """Returns a handler that also checks the token and maps errors to result codes."""

        async def handle(request: web.Request) -> web.Response:
            request_id = f"o-{uuid.uuid4().hex}"
            try:
                self._check_token(request)
                return await handler(request)
            except RequestError as error:
                return make_error_response(error, request_id)
            except PatchConflictError as error:
                request_error = RequestError(ResultCode.CONFLICT, detail=str(error))
                response = make_error_response(request_error, request_id)
                response.headers["ETag"] = f'"{error.current_number}"'
                return response
            except InvalidPatchError as error:
                request_error = RequestError(ResultCode.INVALID_CONFIGURATION, detail=str(error))
                return make_error_response(request_error, request_id)
            except StoreError as error:
                request_error = RequestError(
                    ResultCode.STORE_UNAVAILABLE, detail=str(error), retry_after_seconds=2.0
                )
                return make_error_response(request_error, request_id)
            except Exception:
                _log.exception("operator call failed", fields={"request": request_id})
                return make_error_response(RequestError(ResultCode.INTERNAL_ERROR), request_id)

        return handle

    def _check_token(self, request: web.Request) -> None:
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        token_matches = hmac.compare_digest(token.strip().encode(), self._token.encode())
        if scheme.lower() != "bearer" or not token_matches:
            raise RequestError(ResultCode.OPERATOR_UNAUTHORIZED)

    async def _refuse_unknown_path(self, request: web.Request) -> web.Response:
        raise RequestError(ResultCode.NOT_FOUND)

    async def _show_configuration(self, request: web.Request) -> web.Response:
        record = self._configuration.record
        headers = {"ETag": f'"{record.number}"'}
        body = {"number": record.number, "document": record.document}
        return web.json_response(body, headers=headers)

    async def _patch_configuration(self, request: web.Request) -> web.Response:
        expected = request.headers.get("If-Match", "").strip('"')
        if not expected.isdecimal():
            raise RequestError(
                ResultCode.INVALID_FIELD, detail="If-Match must hold the number that was read"
            )
        patch = await _read_json(request)
        record = await self._configuration.submit_patch(
            patch, int(expected), _get_patch_id(request), _get_author(request)
        )
        headers = {"ETag": f'"{record.number}"'}
        return web.json_response({"number": record.number}, headers=headers)

    async def _show_history(self, request: web.Request) -> web.Response:
        notes = self._configuration.record.notes
        return web.json_response({"notes": msgspec.to_builtins(notes)})

    async def _show_patch(self, request: web.Request) -> web.Response:
        number = int(request.match_info["number"])
        patch = await self._configuration.read_patch(number)
        if patch is None:
            raise RequestError(ResultCode.NOT_FOUND)
        return web.json_response({"number": number, "patch": patch})

    async def _list_budgets(self, request: web.Request) -> web.Response:
        return web.json_response({"budgets": await self._reports.list_budgets()})

    async def _show_budget(self, request: web.Request) -> web.Response:
        report = await self._reports.show_budget(request.match_info["workspace"])
        if report is None:
            raise RequestError(ResultCode.NOT_FOUND, detail="there is no such workspace")
        return web.json_response(report)

    async def _top_up(self, request: web.Request) -> web.Response:
        body = await _read_json(request)
        tokens = body.get("tokens") if isinstance(body, dict) else None
        if not isinstance(tokens, int) or isinstance(tokens, bool) or tokens == 0:
            raise RequestError(
                ResultCode.INVALID_FIELD, detail="tokens: must be a whole number other than 0"
            )
        top_up_id = body.get("id")
        if not isinstance(top_up_id, str) or not top_up_id:
            raise RequestError(ResultCode.INVALID_FIELD, detail="id: must be a text")
        workspace = request.match_info["workspace"]
        record = await self._configuration.top_up(
            workspace, tokens, top_up_id, _get_author(request)
        )
        budget_tokens = record.document["workspaces"][workspace]["budget_tokens"]
        return web.json_response({"number": record.number, "budget_tokens": budget_tokens})

    async def _release_in_doubt(self, request: web.Request) -> web.Response:
        released = await self._reports.release_in_doubt(request.match_info["workspace"])
        return web.json_response({"released_tokens": released})

    async def _export_bills(self, request: web.Request) -> web.Response:
        bills = await self._reports.export_bills(request.match_info["workspace"])
        return web.json_response({"bills": bills})

    async def _explain_request(self, request: web.Request) -> web.Response:
        report = await self._reports.explain_request(
            request.match_info["workspace"], request.match_info["request_id"]
        )
        return web.json_response(report)

    async def _explain_placement(self, request: web.Request) -> web.Response:
        output_tokens = request.query.get("output_tokens", "0")
        if not output_tokens.isascii() or not output_tokens.isdecimal():
            raise RequestError(ResultCode.INVALID_FIELD, detail="output_tokens: must be a number")
        report = self._reports.explain_placement(
            request.match_info["target"],
            request.query.get("parts", ""),
            int(output_tokens[:9]),
            asyncio.get_running_loop().time(),
        )
        return web.json_response(report)

    async def _show_fleet(self, request: web.Request) -> web.Response:
        return web.json_response(await self._reports.show_fleet())

    async def _declare_dead(self, request: web.Request) -> web.Response:
        body = await _read_json(request)
        incarnation = body.get("incarnation") if isinstance(body, dict) else None
        if not isinstance(incarnation, str) or "@" not in incarnation:
            raise RequestError(ResultCode.INVALID_FIELD, detail="incarnation: must be vm@started")
        await self._reports.declare_dead(incarnation, _get_author(request))
        return web.json_response({"declared_dead": incarnation})

    async def _list_evacuations(self, request: web.Request) -> web.Response:
        names = await self._evacuations.list_names()
        return web.json_response({"evacuations": [{"data_centre": name} for name in names]})

    async def _begin_evacuation(self, request: web.Request) -> web.Response:
        data_centre = request.match_info["data_centre"]
        await self._evacuations.begin(data_centre, _get_author(request))
        return web.json_response({"evacuated": data_centre})

    async def _end_evacuation(self, request: web.Request) -> web.Response:
        data_centre = request.match_info["data_centre"]
        await self._evacuations.end(data_centre, _get_author(request))
        return web.json_response({"withdrawn": data_centre})

    async def _dump_state(self, request: web.Request) -> web.Response:
        return web.json_response(self._reports.dump_state())


async def _read_json(request: web.Request) -> Any:
    try:
        return json.loads(await read_body(request, MAX_PATCH_BYTES))
    except (ValueError, RecursionError) as error:
        raise RequestError(ResultCode.BROKEN_JSON) from error


def _get_patch_id(request: web.Request) -> str:
    return request.headers.get(PATCH_ID_HEADER) or f"p-{uuid.uuid4().hex}"


def _get_author(request: web.Request) -> str:
    return request.headers.get(AUTHOR_HEADER, "operator")[:100]
