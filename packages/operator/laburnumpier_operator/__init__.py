"""Command-line client for the operator API of the routers."""
