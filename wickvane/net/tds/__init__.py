"""TDS 7.4: client sessions and connections to engines."""
