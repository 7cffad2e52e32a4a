"""Requests: one record for each request id, its events, its outcome."""
