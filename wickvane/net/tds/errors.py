"""Error numbers: those that clients are told, and those of engines that prove that nothing has run.

Drivers and their retry layers take 40501 and 40613 for transient (the cloud service of the same protocol
sends them when it is busy or a database is moving), and 4221 for a login to be retried; numbers from 50000 on
are an application's own, which none retries by itself.
"""

from wickvane.events import Ending

# To clients: transient
DEFERRED = 40501
STOPPING = 40613
TOO_MANY = 17809
LOGIN_BUSY = 4221
# To clients: not to be retried without thought
KILLED = 50058
UNUSABLE = 50042
INTERNAL = 50099
NO_ROLLBACK = 50057
LOGIN_FAILED = 18456
PROTOCOL = 17836
ENCRYPTION = 17806
# INFO messages: an engine's load report, and the notice of a retry storm
REPORT = 50100
STORM = 50101

# Numbers that an engine answers with before anything of a batch has run: it is full, or was out of memory
# before the first step. All other errors of a batch may have run, whatever their severity: a batch has many
# statements.
REJECTED_BEFORE_RUNNING = frozenset(
    (8628, 8645, 8651, 10928, 10929, 17189, 17300, 17312, 17809, 17810, 40501, 49918, 49919, 49920)
)
FATAL = 20  # severity from which the engine ends the connection itself

NO_RETRY_AFTER_STATE = 1
RETRY_AFTER_STATE_BASE = 2
RETRY_AFTER_STATE_UNIT_MS = 100
MAX_STATE = 255


def state_of(retry_after_ms: int) -> int:
    """The state of an ERROR that defers; the text has the whole time.

    1 without a time, else 2 and the tenths of a second to wait, up to 25.3 s."""
    if not retry_after_ms:
        return NO_RETRY_AFTER_STATE
    units = -(-retry_after_ms // RETRY_AFTER_STATE_UNIT_MS)
    return min(MAX_STATE, RETRY_AFTER_STATE_BASE + units)


def ending_of(number: int, severity: int) -> Ending:
    """How an ERROR ends the attempt of a batch; docs/tds.md has the table."""
    return Ending.REJECTED if number in REJECTED_BEFORE_RUNNING else Ending.ERROR
