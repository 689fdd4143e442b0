"""Tests of wickvane.scheduling, which makes the decisions of the request path."""
