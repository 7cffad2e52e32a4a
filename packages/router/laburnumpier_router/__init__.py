"""The router daemon: budgets, requests, backend servers, fleet and configuration."""
