"""Test doubles for the platform, the model engines and the plain HTTP services."""
