"""The adapter between the simulator's wire and wickvane.scheduler. Nothing is decided here."""
