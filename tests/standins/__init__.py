"""Peers as their published specifications describe them, on loopback, for tests and measurements."""
