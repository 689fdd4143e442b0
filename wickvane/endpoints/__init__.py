"""Endpoint lists from watched files: validation, staged rollout, confirmation, rollback."""
