"""The platform's line protocol, as its engines speak it."""
