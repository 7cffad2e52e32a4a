"""Forwarding of requests: routes, placement on registered servers, retries and response relay."""
