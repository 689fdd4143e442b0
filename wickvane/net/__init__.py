"""The network side of a dispatcher: PostgreSQL and TDS clients, engines and the coordinator."""
