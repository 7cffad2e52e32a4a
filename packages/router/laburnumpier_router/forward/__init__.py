"""Requests that are forwarded unchanged: routes, servers, and one life for each request."""
