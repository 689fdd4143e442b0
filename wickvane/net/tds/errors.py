"""Error numbers: those sent to clients, and those by which an engine proves that nothing of a batch has run.

Drivers and their retry layers treat 40501 and 40613 as transient errors, since the cloud service that uses
this protocol sends them when it is busy or moves a database, and 4221 as a login to retry. Numbers from 50000
are application-defined; drivers don't retry them automatically.
"""

from wickvane.events import Ending

# Sent to clients: transient errors
DEFERRED = 40501
STOPPING = 40613
TOO_MANY = 17809
LOGIN_BUSY = 4221
# Sent to clients: errors after which an automatic retry may be harmful or useless
KILLED = 50058
UNUSABLE = 50042
INTERNAL = 50099
NO_ROLLBACK = 50057
LOGIN_FAILED = 18456
PROTOCOL = 17836
ENCRYPTION = 17806
# INFO messages: an engine's load report, and the warning of a retry storm
LOAD_REPORT = 50100
RETRY_STORM = 50101

# Errors that an engine raises before any statement of a batch runs: it is overloaded, or had no memory to
# start. After any other error, whatever its severity, earlier statements of the batch may have run.
REJECTED_BEFORE_RUNNING = frozenset(
    (8628, 8645, 8651, 10928, 10929, 17189, 17300, 17312, 17809, 17810, 40501, 49918, 49919, 49920)
)
MIN_FATAL_SEVERITY = 20  # the engine itself closes the connection after an error of this or a higher severity

NO_RETRY_AFTER_STATE = 1
RETRY_AFTER_STATE_BASE = 2
RETRY_AFTER_STATE_UNIT_MS = 100
MAX_STATE = 255


def error_state(retry_after_ms: int) -> int:
    """Returns the state of an ERROR that tells the client when to retry; its text has the exact time.

    1 if no time is advised, else 2 plus the delay in tenths of a second, rounded up; at most 25.3 s."""
    if not retry_after_ms:
        return NO_RETRY_AFTER_STATE
    units = -(-retry_after_ms // RETRY_AFTER_STATE_UNIT_MS)
    return min(MAX_STATE, RETRY_AFTER_STATE_BASE + units)


def attempt_ending(number: int, severity: int) -> Ending:
    """Returns how an ERROR ends the attempt of a batch; the table is in docs/tds.md."""
    return Ending.REJECTED if number in REJECTED_BEFORE_RUNNING else Ending.ERROR
