"""Fleet membership: gossip heartbeats, rendezvous placement and recovery of ended processes."""
