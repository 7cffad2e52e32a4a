"""What callers make this process hold: one account of it, and who gives way when it is used up."""
