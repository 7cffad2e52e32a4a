"""Execution of chat requests and service calls, with deduplication by idempotency key."""
