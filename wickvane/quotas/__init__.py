"""Quotas, counters and engine reports that dispatchers share; limits also hold during network partitions."""
