"""Interfaces to the platform, and their adapters."""
