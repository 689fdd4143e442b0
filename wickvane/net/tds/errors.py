"""Error numbers: those sent to clients, and those by which an engine rejects a statement before it runs.

Drivers and their retry layers treat 40501 and 40613 as transient errors, since the cloud service that uses
this protocol sends them when it is busy or moves a database, and 4221 as a login to retry. Numbers from 50000
are application-defined; drivers don't retry them automatically.
"""

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

# INFO messages of engines about the session or a statement, which don't show that a statement has run
DATABASE_CHANGED = 5701
LANGUAGE_CHANGED = 5703
STATEMENT_TERMINATED = 3621

# Errors by which an overloaded engine rejects a statement before it runs, such as one for which it has no
# memory. Earlier statements of the same batch may have run.
REJECTIONS = frozenset(
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
