"""The sockets: PostgreSQL clients on one side, engines and the coordinator on the other."""
