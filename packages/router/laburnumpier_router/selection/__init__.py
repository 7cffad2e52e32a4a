"""Selection of the server that a forwarded request is sent to."""
