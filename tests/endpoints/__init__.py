"""Tests of wickvane.endpoints: endpoint lists from watched files."""
