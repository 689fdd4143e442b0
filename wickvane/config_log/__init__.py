"""Replicated configuration: policies in a Raft log, rolled out to all dispatchers or none, under leases."""
