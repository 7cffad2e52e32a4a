"""The command line that operators use against any router."""
