"""Divides the memory limit of the process, and decides who gives memory up when it is used up. Free of I/O.

What the process holds at its start, its engine connections and a reserve come off the limit. The rest is for
the threads of client sessions, for log lines, and for messages: input, queries that wait, and results. The
first octets of each session's input and result are part of the share for sessions, so that small queries need
nothing else.
"""

from collections.abc import Iterable
from typing import NamedTuple, Protocol, TypeVar

DEFAULT_LIMIT_MB = 512  # if the settings have none
MEGABYTE = 1 << 20  # octets
# All sizes are in octets.
SESSION_SIZE = 32 << 10  # a session's thread, its objects, and its first FREE_SIZE octets of a message
ENGINE_CONNECTION_SIZE = 4 << 10
RESERVE_FRACTION = 0.05  # of the limit; for what no share counts, such as fragmentation
RESERVE_SIZE = 1 << 20  # and for what a thread needs while it reads or encodes one message
MIN_MESSAGE_FRACTION = 0.35  # of what is left for sessions, messages and the log
MIN_SESSIONS = 8
LOG_FRACTION = 0.05
LOG_LINE_SIZE = 1_600  # a line that is not encoded yet
MIN_LOG_LINES = 256
MAX_LOG_LINES = 4096
MIN_MESSAGE_SIZE = 512 << 10
STREAM_FRACTION = 1 / 32  # of the share for messages, for one streamed result
MIN_STREAM_SIZE = 64 << 10
MAX_STREAM_SIZE = 256 << 10
READ_AHEAD_FRACTION = 0.5  # of the share for messages, for input that is read ahead of its turn
EVICTED_FRACTION = 0.25  # of the share for messages, that evicted connections may not have released yet

# What is counted for messages, beside their octets
FREE_SIZE = 4 << 10  # of a session, part of SESSION_SIZE
QUERY_SIZE = 3 << 10  # a query that waits, without its text
QUERY_TEXT_COPIES = 2  # the text of a query, and the request to its engine
TLS_SIZE = 32 << 10  # the state and buffers of an encrypted connection
RESULT_TOKEN_SIZE = 128  # a token of a TDS result, without its octets


class MemoryLimits(NamedTuple):
    """The shares of the memory limit.

    sessions, log_lines: the maximum number of client sessions, and of log lines that wait. In octets:
    messages: of connections that are not evicted; evicted: what evicted connections may still hold beside it;
    read_ahead: of messages, up to which more is read ahead; stream: for one streamed result."""

    sessions: int
    log_lines: int
    messages: int
    stream: int
    read_ahead: int
    evicted: int


class Claimant(Protocol):
    """A connection that holds memory and waits for its peer; since: in ticks, when it began to."""

    since: int


AnyClaimant = TypeVar("AnyClaimant", bound=Claimant)


def divide_memory(limit: int, resident: int, max_sessions: int, max_engine_connections: int) -> MemoryLimits:
    """Divides a limit in octets.

    resident: octets that the process holds at its start; max_sessions, max_engine_connections: by the limit
    of descriptors."""
    engines = max_engine_connections * ENGINE_CONNECTION_SIZE
    spare = int(limit * (1 - RESERVE_FRACTION)) - RESERVE_SIZE - resident - engines
    log_lines = min(MAX_LOG_LINES, max(MIN_LOG_LINES, int(spare * LOG_FRACTION) // LOG_LINE_SIZE))
    log = log_lines * LOG_LINE_SIZE
    for_sessions = spare - log - int(spare * MIN_MESSAGE_FRACTION)
    sessions = max(MIN_SESSIONS, min(max_sessions, for_sessions // SESSION_SIZE))
    all_messages = max(MIN_MESSAGE_SIZE, spare - log - sessions * SESSION_SIZE)
    evicted = int(all_messages * EVICTED_FRACTION)
    messages = all_messages - evicted
    return MemoryLimits(
        sessions=sessions,
        messages=messages,
        log_lines=log_lines,
        stream=min(MAX_STREAM_SIZE, max(MIN_STREAM_SIZE, int(messages * STREAM_FRACTION))),
        read_ahead=int(messages * READ_AHEAD_FRACTION),
        evicted=evicted,
    )


def choose_evicted(waiting: Iterable[AnyClaimant]) -> AnyClaimant | None:
    """Returns the connection that gives up its memory: the one that has waited longest for its peer."""
    return min(waiting, key=lambda claimant: claimant.since, default=None)


def input_size(size: int) -> int:
    """Returns the octets that are counted for a buffer with input of this size, which grows in steps."""
    return size + (size >> 3)


def query_size(text_size: int) -> int:
    """Returns the octets that are counted for a session's query in flight; text_size: of its statement."""
    return QUERY_TEXT_COPIES * text_size


def queries_ahead_size(count: int) -> int:
    """Returns the octets that are counted for queries that wait for their turn, beside their text."""
    return count * QUERY_SIZE


def tokens_size(token_count: int, size: int) -> int:
    """Returns the octets that are counted for result tokens; size: their own octets."""
    return size + RESULT_TOKEN_SIZE * token_count
