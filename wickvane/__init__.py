"""wickvane: a workload manager that stands before analytic engines."""

__version__ = "0.2.0"
