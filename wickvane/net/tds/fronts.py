"""What the part `tds` changes in a dispatcher: which engines each front may use, how they are spoken to, its
door."""

from wickvane import parts
from wickvane.errors import ConfigError
from wickvane.net.statement import Reader
from wickvane.net.tds.connection import Connection
from wickvane.net.tds.session import Door, Session

POSTGRES, TDS = range(2)


class Speaks:
    """How engines of one kind are spoken to."""

    connection = Connection

    def __init__(self, engines):
        self.user, self.password, self.database = engines.user, engines.password, engines.database


def unstartable(text):
    return ConfigError(f"the parts document: tds: {text}", 2)


def fronts(part, found):
    """(kinds for PostgreSQL clients' queries, kinds for TDS clients'), by name.

    Kinds must be among the settings': of others the module knows no size, and a front's kinds are a closed
    set."""
    known = list((found.get("settings") or {}).get("host_types") or ())
    speaking = {engines.kind: engines for engines in part.engines}
    strange = sorted(set(speaking) - set(known))
    if strange:
        raise unstartable(f"engines {strange[0]}: expected a kind of host_types: {', '.join(known)}")
    lines = [kind for kind in known if kind not in speaking]
    postgres = lines + [kind for kind, engines in speaking.items() if engines.postgres]
    tds = list(speaking) + (lines if part.lines else [])
    return postgres, tds


def speaks(part):
    return {engines.kind: Speaks(engines) for engines in part.engines}


def door(part):
    try:
        return Door(part, part.users)
    except (OSError, ValueError) as error:
        raise unstartable(f"certificate: its files cannot be used: {error}") from None


def prepare(old, new):
    """The TLS context for a changed document; parts.Unusable where it asks for what needs a restart."""
    for name in ("listen", "connections", "engines", "lines", "acknowledge"):
        if getattr(old, name) != getattr(new, name):
            raise parts.Unusable(f"tds: {name}: another value needs a restart")
    try:
        return Door.made(new)
    except (OSError, ValueError) as error:
        raise parts.Unusable(f"tds: certificate: its files cannot be used: {error}") from None


def session(service, opened):
    """The class of sessions for the TDS listener: their groups are those of the second front. opened: its
    door."""
    reader = Reader(service.registry, TDS)

    class TdsSession(Session):
        door = opened

        def __init__(self, sock, peer, service, full):
            super().__init__(sock, peer, service, full)
            self.reader = reader

    return TdsSession
