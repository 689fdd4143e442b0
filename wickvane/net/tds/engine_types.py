"""The engine types that queries of each client protocol may use, and the connections to TDS engines."""

from wickvane.errors import ConfigError
from wickvane.net.tds.connection import Connection
from wickvane.net.tds.extension import EngineType, Tds

CONFIG_EXIT_CODE = 2


class EngineProtocol:
    """The connection class for engines of one type, and the login at them."""

    connection = Connection

    def __init__(self, engines: EngineType) -> None:
        self.user = engines.user
        self.password = engines.password
        self.database = engines.database


def document_error(text: str) -> ConfigError:
    """Returns the error for an extensions document with which the dispatcher cannot start."""
    return ConfigError(f"the extensions document: tds: {text}", CONFIG_EXIT_CODE)


def engine_types_by_protocol(document: Tds, configuration: dict) -> tuple[list[str], list[str]]:
    """Returns the engine types for queries of PostgreSQL clients, and those for queries of TDS clients.

    Raises ConfigError for a type that the settings don't list: the scheduler doesn't know the size of its
    engines, and the engine types of a client protocol are a closed set."""
    known = list((configuration.get("settings") or {}).get("host_types") or ())
    tds_engines = {engines.kind: engines for engines in document.engines}
    unknown = sorted(set(tds_engines) - set(known))
    if unknown:
        raise document_error(f"engines {unknown[0]}: expected a kind of host_types: {', '.join(known)}")
    line_protocol_types = [kind for kind in known if kind not in tds_engines]
    postgres_client_types = line_protocol_types + [
        kind for kind, engines in tds_engines.items() if engines.postgres
    ]
    tds_client_types = list(tds_engines) + (line_protocol_types if document.lines else [])
    return postgres_client_types, tds_client_types


def engine_protocols(document: Tds) -> dict[str, EngineProtocol]:
    """Returns the EngineProtocol of each engine type that speaks TDS."""
    return {engines.kind: EngineProtocol(engines) for engines in document.engines}
