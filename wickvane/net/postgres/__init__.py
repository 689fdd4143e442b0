"""Client sessions by version 3.0 of the PostgreSQL protocol."""
