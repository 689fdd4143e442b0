"""Queries to wickvane that keep their deadline, are tried again only where that is harmless, and come
back when told to. Connect and AsyncConnect need psycopg 3; wickvane_client.policy needs nothing."""

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
    # psycopg is imported by who connects, not by who only decides.
    if name == "Client":
        from wickvane_client.sync import Client

        return Client
    if name == "AsyncClient":
        from wickvane_client.aio import AsyncClient

        return AsyncClient
    raise AttributeError(name)
