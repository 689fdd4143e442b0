"""Replicated configuration: policies in a Raft log that all dispatchers or none apply, under leases."""
