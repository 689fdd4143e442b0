"""One JSON line an event, written by a thread of its own: a full pipe holds up nobody but that thread."""

import os
import time
from queue import SimpleQueue

import orjson

LINES_HELD = 4096
GATHER_S = 0.05  # a line alone is not worth a thread's waking


class Log:
    """Lines wait here, in bounded number, until the log's thread has written them."""

    def __init__(self, descriptor, clock):
        self.descriptor, self.clock = descriptor, clock
        self.lines, self.dropped, self.writer = SimpleQueue(), 0, False

    def line(self, event, **fields):
        """One event, from any thread; at the bound it is dropped and counted."""
        if self.lines.qsize() >= LINES_HELD:
            self.dropped += 1
            return
        self.lines.put((self.clock.now(), event, fields))

    def run(self):
        """The thread: writes until the log is closed."""
        self.writer = True
        while True:
            first = self.lines.get()
            if first is not None:
                time.sleep(GATHER_S)
            if self.put_out([first]):
                return

    def pump(self):
        """What is held so far, from the calling thread, where no thread was to be had for the log yet."""
        if not self.writer:
            self.put_out([])

    def put_out(self, held):
        """Writes what is held; whether the last line is out."""
        while not self.lines.empty() and len(held) < 1024:
            held.append(self.lines.get())
        # None is the last: what came before it is still written.
        last = None in held
        if last:
            held = held[: held.index(None)]
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            held.append((self.clock.now(), "log-lines-dropped", {"count": dropped}))
        self.write(
            b"".join(
                orjson.dumps({"at": at / 10_000, "event": event, **fields}, default=shown) + b"\n"
                for at, event, fields in held
            )
        )
        return last

    def write(self, data):
        """Writes it all, however often the pipe takes only a part."""
        try:
            while data:
                data = data[os.write(self.descriptor, data) :]
        except OSError:
            self.dropped += 1  # nobody reads the log any more; queries go on without it

    def close(self):
        """What came before is still written."""
        self.lines.put(None)


def shown(value):
    """The JSON form of what has none."""
    return value.decode("utf-8", "replace") if isinstance(value, bytes) else str(value)
