"""Tests of wickvane.config_log, the replicated configuration."""
