"""Tests of wickvane.cluster: membership between dispatchers."""
