"""The adapter between the simulator's wire and wickvane.choice. Nothing is decided here."""
