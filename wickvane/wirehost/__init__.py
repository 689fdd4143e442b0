"""The adapter between the simulator's wire and wickvane.scheduling. It makes no decisions."""
