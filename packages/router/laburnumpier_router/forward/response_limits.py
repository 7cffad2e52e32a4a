"""Limits on the size of servers' responses to forwarded requests."""

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Size of a body that is read into memory, as large as the bodies that callers send."""
