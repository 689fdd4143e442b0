"""Dispatchers that know each other: who is there, who failed, and what one may do while cut off."""
