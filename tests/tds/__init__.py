"""Tests of the TDS codec, client sessions and engine connections."""
