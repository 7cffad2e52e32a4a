"""Which software versions serve, and when a router may rely on what it knows of them."""
