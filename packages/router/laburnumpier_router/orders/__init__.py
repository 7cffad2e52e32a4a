"""Orders to model engines, given by one controller for each data centre."""
