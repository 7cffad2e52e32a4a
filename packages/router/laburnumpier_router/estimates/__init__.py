"""Estimates of the time to the first event at each server, and the placement that uses them."""
