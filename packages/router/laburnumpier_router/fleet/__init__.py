"""The fleet: membership, heartbeats, rendezvous homes and proofs of death."""
