"""Membership between dispatchers by SWIM over UDP: which members are alive or failed, and the quorum
state."""
