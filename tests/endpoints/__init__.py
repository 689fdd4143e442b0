"""Tests of the engine lists from watched files."""
