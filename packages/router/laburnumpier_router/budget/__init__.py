"""Budgets: accounts, grants, reservations, bills and their group-committed records."""
