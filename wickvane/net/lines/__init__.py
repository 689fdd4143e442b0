"""The line protocol, in which the platform's engines take requests."""
