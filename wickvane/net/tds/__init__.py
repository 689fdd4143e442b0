"""TDS 7.4, as clients and engines speak it."""
