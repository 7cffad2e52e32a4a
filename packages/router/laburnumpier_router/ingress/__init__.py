"""How many callers come to this router: its load as seen by the load balancer."""
