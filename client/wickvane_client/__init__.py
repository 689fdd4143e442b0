"""Client library for wickvane: sends queries with a deadline, retries them only if a retry is harmless, and
observes the retry-after delays of the dispatchers.

Client and AsyncClient need psycopg 3; wickvane_client.policy needs the standard library only."""

from wickvane_client.policy import (
    MUTATING,
    READ_ONLY,
    TOKENED,
    Deferred,
    Error,
    Group,
    Killed,
    Policy,
    UnknownOutcome,
    Unusable,
)

__all__ = [
    "MUTATING",
    "READ_ONLY",
    "TOKENED",
    "AsyncClient",
    "Client",
    "Deferred",
    "Error",
    "Group",
    "Killed",
    "Policy",
    "UnknownOutcome",
    "Unusable",
]


def __getattr__(name):
    # Imported on first use, so that the policy can be used without psycopg.
    if name == "Client":
        from wickvane_client.sync import Client

        return Client
    if name == "AsyncClient":
        from wickvane_client.aio import AsyncClient

        return AsyncClient
    raise AttributeError(name)
