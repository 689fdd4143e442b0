"""A log with one JSON line per event, written by its own thread: a full pipe blocks only that thread."""

import os
import time
from queue import SimpleQueue

import orjson

MAX_QUEUED_LINES = 4096  # unless the service sets another maximum
BATCH_DELAY_S = 0.05  # the log's thread waits this long for further lines, to wake less often


class Log:
    """Queues lines, up to max_lines, until the log's thread has written them.

    Only that thread encodes them: the encoder needs much stack, which each session's thread would keep."""

    def __init__(self, descriptor, clock):
        self.descriptor, self.clock = descriptor, clock
        self.lines, self.dropped, self.has_thread = SimpleQueue(), 0, False
        self.max_lines = MAX_QUEUED_LINES

    def line(self, event, **fields):
        """Logs an event, from any thread. If the queue is full, the line is dropped and counted."""
        if self.lines.qsize() >= self.max_lines:
            self.dropped += 1
            return
        self.lines.put((self.clock.now(), event, fields))

    def run(self):
        """The log's thread: writes lines until the log is closed."""
        self.has_thread = True
        while True:
            first = self.lines.get()
            if first is not None:
                time.sleep(BATCH_DELAY_S)
            if self.write_batch([first]):
                return

    def flush(self):
        """Writes the queued lines from the calling thread, as long as the log's thread does not run."""
        if not self.has_thread:
            self.write_batch([])

    def write_batch(self, batch):
        """Writes `batch` and queued lines. Returns whether the log is closed and its last line written."""
        while not self.lines.empty() and len(batch) < 1024:
            batch.append(self.lines.get())
        # None marks the end of the log; the lines before it are still written.
        is_last = None in batch
        if is_last:
            batch = batch[: batch.index(None)]
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            batch.append((self.clock.now(), "log-lines-dropped", {"count": dropped}))
        self.write(
            b"".join(
                orjson.dumps({"at": at / 10_000, "event": event, **fields}, default=json_default) + b"\n"
                for at, event, fields in batch
            )
        )
        return is_last

    def write(self, data):
        """Writes all of `data`, in several writes if the pipe accepts only a part at once."""
        try:
            while data:
                data = data[os.write(self.descriptor, data) :]
        except OSError:
            self.dropped += 1  # the log's reader has gone; queries are served without a log

    def close(self):
        """Ends the log's thread once it has written the queued lines."""
        self.lines.put(None)


def json_default(value):
    """Returns the text for a value that JSON has no type for."""
    return value.decode("utf-8", "replace") if isinstance(value, bytes) else str(value)
