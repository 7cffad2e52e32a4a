"""Tells operators where a request would go now and why, without sending it."""

from typing import Any

from laburnumpier_core.errors import RequestError
from laburnumpier_core.result_codes import ResultCode

from ..configuration.service import ConfigurationService
from ..forward.placement import prefer_healthy
from ..forward.servers import ServerTable
from ..ports.dialect import PromptPart
from .estimate_placement import EstimatePlacement
from .request_estimate import EstimateRequest

MAX_PARTS = 64
"""Parts of a prompt in one question of an operator."""


class PlacementReport:
    """Answers operators' questions about the placement of a request."""

    __slots__ = ("_configuration", "_estimates", "_table")

    def __init__(
        self,
        *,
        configuration: ConfigurationService,
        table: ServerTable,
        estimates: EstimatePlacement,
    ):
        """Creates the report.

        Args:
            configuration: Provides routes and services.
            table: Registered servers.
            estimates: Estimates of the servers.
        """
        self._configuration = configuration
        self._table = table
        self._estimates = estimates

    def explain(
        self, target: str, parts: tuple[PromptPart, ...], output_tokens: int, now_seconds: float
    ) -> dict[str, Any]:
        """Returns what the request would meet at each server, the one it would go to first.

        Permits, limits of retries and the version of a stream that goes on are not considered.

        Args:
            target: Name of a route or a service.
            parts: Parts of the prompt; empty for a plain call.
            output_tokens: Upper limit of tokens in the response.
            now_seconds: Current monotonic time.

        Raises:
            RequestError: If there is no such route or service.
        """
        configuration = self._configuration.configuration
        route = configuration.routes.get(target)
        if route is None and target not in configuration.services:
            raise RequestError(ResultCode.NOT_FOUND, detail="there is no such route or service")
        services = [each.service for each in route.services] if route is not None else [target]
        request = EstimateRequest(
            prompt_parts=parts,
            prompt_tokens=sum(part.tokens for part in parts),
            max_output_tokens=output_tokens,
            urgency=route.urgency if route is not None else EstimateRequest().urgency,
            target_gap_seconds=route.target_gap_seconds if route is not None else 0.0,
        )
        servers = []
        for service in services:
            usable = prefer_healthy(self._table.list_usable(service), now_seconds)
            rows = self._estimates.explain(usable, request)
            servers += [{"service": service, **row} for row in rows]
        return {"target": target, "servers": servers}


def parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Returns the parts of a prompt that are written as `ID:TOKENS,ID:TOKENS`.

    Raises:
        RequestError: If the text cannot be read.
    """
    parts = []
    for item in text.split(",") if text else []:
        part_id, _, tokens = item.rpartition(":")
        if not part_id or not tokens.isascii() or not tokens.isdecimal():
            raise RequestError(ResultCode.INVALID_FIELD, detail="parts: must be ID:TOKENS,...")
        parts.append(PromptPart(part_id=part_id, tokens=int(tokens[:9])))
    if len(parts) > MAX_PARTS:
        raise RequestError(ResultCode.INVALID_FIELD, detail=f"parts: at most {MAX_PARTS}")
    return tuple(parts)
