"""What servers say of their state in their answers, and how routers act on it."""
