"""Decides which models are to be loaded where, with the fewest loads."""

import dataclasses

from ..backend.server_state import ServerState
from ..configuration.document import Model

MAX_MODELS_PER_SERVER = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadOrder:
    """Load one model at one server."""

    server: str
    model: str


def plan_loads(
    models: dict[str, Model],
    servers: dict[str, ServerState],
    usable: set[str],
    wanting: set[str],
) -> list[LoadOrder]:
    """Lists the loads that are needed now, the most urgent first.

    Args:
        models: Configured models with the servers that may run them.
        servers: Observed state of all servers by name.
        usable: Names of servers that may be given orders.
        wanting: Models whose requests found no room lately.

    Returns:
        At most one order for each model: for a model that no usable server has loaded, or that
        wants more room, at the server with the fewest loaded models, then the fewest requests.
    """
    orders = []
    planned: dict[str, int] = {}
    for name, model in models.items():
        candidates = [server for server in model.servers if server in usable]
        having = [server for server in candidates if name in _list_loaded(servers[server])]
        if having and name not in wanting:
            continue
        free = [
            server
            for server in candidates
            if server not in having
            and len(_list_loaded(servers[server])) + planned.get(server, 0) < MAX_MODELS_PER_SERVER
        ]
        if not free:
            continue
        chosen = min(
            free,
            key=lambda server: (
                len(_list_loaded(servers[server])) + planned.get(server, 0),
                servers[server].outstanding,
                server,
            ),
        )
        planned[chosen] = planned.get(chosen, 0) + 1
        orders.append((bool(having), LoadOrder(server=chosen, model=name)))
    orders.sort(key=lambda pair: pair[0])
    return [order for _, order in orders]


def _list_loaded(server: ServerState) -> list[str]:
    return server.report.models if server.report is not None else []
