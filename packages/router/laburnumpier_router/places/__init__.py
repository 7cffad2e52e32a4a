"""Shares the places of brittle servers among the routers, so that these have to reject little."""
