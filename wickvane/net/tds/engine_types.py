"""Which types of engine each client protocol's queries may use, and how engines by TDS are connected to."""

from wickvane.errors import ConfigError
from wickvane.net.tds.connection import Connection
from wickvane.net.tds.extension import Engines, Tds

CONFIG_EXIT_CODE = 2


class EngineProtocol:
    """How engines of one type are connected to, and the login for it."""

    connection = Connection

    def __init__(self, engines: Engines) -> None:
        self.user = engines.user
        self.password = engines.password
        self.database = engines.database


def document_error(text: str) -> ConfigError:
    """The error for a document that the dispatcher cannot start with."""
    return ConfigError(f"the parts document: tds: {text}", CONFIG_EXIT_CODE)


def engine_types_by_protocol(document: Tds, configuration: dict) -> tuple[list[str], list[str]]:
    """The engine types for PostgreSQL clients' queries, and those for TDS clients'.

    Raises ConfigError for a type that is not among the settings': the scheduler knows no size of it, and the
    engine types of a client protocol are a closed set."""
    known = list((configuration.get("settings") or {}).get("host_types") or ())
    tds_engines = {engines.kind: engines for engines in document.engines}
    unknown = sorted(set(tds_engines) - set(known))
    if unknown:
        raise document_error(f"engines {unknown[0]}: expected a kind of host_types: {', '.join(known)}")
    line_types = [kind for kind in known if kind not in tds_engines]
    for_postgres = line_types + [kind for kind, engines in tds_engines.items() if engines.postgres]
    for_tds = list(tds_engines) + (line_types if document.lines else [])
    return for_postgres, for_tds


def engine_protocols(document: Tds) -> dict[str, EngineProtocol]:
    """The protocol of each engine type that speaks TDS."""
    return {engines.kind: EngineProtocol(engines) for engines in document.engines}
