"""Tests of leased quotas and shared counts."""
