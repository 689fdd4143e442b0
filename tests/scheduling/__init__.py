"""Tests of wickvane.scheduling, the decisions of the request path."""
