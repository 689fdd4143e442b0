"""PostgreSQL 3.0, as its clients speak it."""
