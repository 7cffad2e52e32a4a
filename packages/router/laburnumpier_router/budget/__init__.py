"""Budgets: accounts, grants, reservations, bills, and the group commit of their records."""
