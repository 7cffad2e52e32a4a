"""The HTTP frontend for operators and the reports that it serves."""
