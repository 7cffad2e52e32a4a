"""A small specification of the budget and claim protocol, explored exhaustively."""
