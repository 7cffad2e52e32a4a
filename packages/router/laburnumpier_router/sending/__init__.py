"""Sending of a forwarded request to a server, and relaying of its response."""
