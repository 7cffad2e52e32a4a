"""The HTTP front for operators."""
