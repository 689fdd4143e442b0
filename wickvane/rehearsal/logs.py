"""Structured logs of the processes beside the dispatcher, by structlog: one JSON line an event, with the
dispatcher's own words `at` (seconds of the monotonic clock) and `event`.

A line is written by the caller. Who must never wait for a log keeps to wickvane.net.log, whose lines a thread
of its own writes; docs/rehearsal-design.md says what each costs.
"""

import time

import orjson


def stamped(logger, method, event):
    return {"at": round(time.monotonic(), 4)} | event


def rendered(logger, method, event):
    return orjson.dumps({"at": event.pop("at"), "event": event.pop("event"), **event}, default=str)


def logger(path, service):
    """A logger of structlog that appends to a file; every line tells the service."""
    import structlog

    return structlog.wrap_logger(
        structlog.BytesLogger(open(path, "ab", buffering=0)),
        processors=[stamped, rendered],
        cache_logger_on_first_use=True,
        wrapper_class=structlog.make_filtering_bound_logger(0),
    ).bind(service=service)
