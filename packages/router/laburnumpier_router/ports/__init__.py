"""Ports to the platform and their adapters."""
