"""Plans which models to load on which servers, with as few loads as possible."""

import dataclasses

from ..backend.server_state import ServerState
from ..configuration.document import Model

MAX_MODELS_PER_SERVER = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadOrder:
    """An order to load one model on one server."""

    server: str
    model: str


def plan_loads(
    models: dict[str, Model],
    servers: dict[str, ServerState],
    usable: set[str],
    queued_models: set[str],
) -> list[LoadOrder]:
    """Returns the loads that are needed now, the most urgent first.

    Args:
        models: Configured models with the servers that may load them.
        servers: Observed state of each server by name.
        usable: Names of the servers that may receive orders.
        queued_models: Models with requests that recently found no server with a free slot.

    Returns:
        At most one order per model, for each model that is not loaded on any usable server or has
        queued requests. Its server is the one with the fewest loaded models, then the fewest
        outstanding requests. Models that are not loaded anywhere come first.
    """
    orders = []
    planned_counts: dict[str, int] = {}
    for name, model in models.items():
        candidates = [server for server in model.servers if server in usable]
        loaded_on = [server for server in candidates if name in _list_loaded(servers[server])]
        if loaded_on and name not in queued_models:
            continue
        eligible = [
            server
            for server in candidates
            if server not in loaded_on
            and len(_list_loaded(servers[server])) + planned_counts.get(server, 0)
            < MAX_MODELS_PER_SERVER
        ]
        if not eligible:
            continue
        chosen = min(
            eligible,
            key=lambda server: (
                len(_list_loaded(servers[server])) + planned_counts.get(server, 0),
                servers[server].outstanding,
                server,
            ),
        )
        planned_counts[chosen] = planned_counts.get(chosen, 0) + 1
        orders.append((bool(loaded_on), LoadOrder(server=chosen, model=name)))
    orders.sort(key=lambda pair: pair[0])
    return [order for _, order in orders]


def _list_loaded(server: ServerState) -> list[str]:
    return server.report.models if server.report is not None else []
