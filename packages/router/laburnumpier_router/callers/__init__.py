"""HTTP frontend for callers."""
