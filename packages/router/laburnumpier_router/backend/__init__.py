"""Backend servers: their observed state, the choice among them and their clients."""
