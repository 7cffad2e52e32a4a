"""Backend servers: observed state, server selection, dispatch of requests and clients."""
