"""Evacuated data centres: what the store says of them, and how routers tell each other."""
