"""State-machine models of the budget and claim protocols for exhaustive model checking."""
