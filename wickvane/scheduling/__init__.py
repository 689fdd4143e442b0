"""Decides on the request path without I/O: takes events and returns commands (wickvane.events)."""
