"""Shared immutable data, result codes, settings, logging and metrics."""
