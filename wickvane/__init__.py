"""wickvane: a workload manager that stands before analytic engines."""
