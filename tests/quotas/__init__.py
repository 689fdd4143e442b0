"""Tests of leased quotas, shared counters and verdicts on engines."""
