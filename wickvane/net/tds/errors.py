"""Numbers between the two worlds: what a client is told by, and what an engine's own numbers prove.

Drivers and their retry layers take 40501 and 40613 for transient (they are what the service of the same
protocol in the cloud says when it is busy, or a database is moving), and 4221 for a login to be tried again;
numbers from 50000 on are an application's own, which none repeats by itself.
"""

from wickvane.events import Ending

DEFERRED, STOPPING, TOO_MANY, LOGIN_BUSY = 40501, 40613, 17809, 4221
KILLED, UNUSABLE, INTERNAL, NO_ROLLBACK, REPORT, STORM = 50058, 50042, 50099, 50057, 50100, 50101
LOGIN_FAILED, PROTOCOL, ENCRYPTION = 18456, 17836, 17806

# Numbers that an engine answers with before anything of a batch has run: it is full, or was out of memory
# before the first step. All other errors of a batch may have run, whatever their severity: a batch has many
# statements.
TURNED_AWAY = frozenset(
    (8628, 8645, 8651, 10928, 10929, 17189, 17300, 17312, 17809, 17810, 40501, 49918, 49919, 49920)
)
FATAL = 20  # severity from which the engine ends the connection itself


def state_of(away):
    """The state of an ERROR that defers: 1 where nothing is told, else 2 and the tenths of a second that the
    client is told to stay away, up to 25.3 s; the text has the whole time. away: milliseconds."""
    return 1 if not away else min(255, 2 + -(-away // 100))


def ending_of(number, severity):
    """How an attempt ended by an ERROR of a batch; docs/tds.md has it as a table."""
    return Ending.REJECTED if number in TURNED_AWAY else Ending.ERROR
