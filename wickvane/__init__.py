"""wickvane: a workload manager for analytic engines."""

__version__ = "0.2.0"
