"""Starting threads on a machine that may have no thread left.

The limit on a machine's process ids holds for the threads of all its programs together, so a program with few
threads may be refused one. A thread for a single peer is given up together with that peer. A thread that the
program cannot do without is requested again until it starts. In neither case does the program end.
"""

import signal
import time
from threading import Thread

FIRST_PAUSE_S, MAX_PAUSE_S = 0.05, 1.0  # between requests for a required thread
END_SIGNALS = {signal.SIGTERM, signal.SIGINT}


class Stopped(Exception):
    """A signal to end the program arrived while it waited for a thread."""


class Threads:
    """Starts threads; refusals are logged in `log` and counted in `counters`."""

    def __init__(self, log, counters):
        self.log, self.counters = log, counters

    def try_start(self, work, name, *args):
        """Starts a thread for a single peer. Returns False if the machine has none; the peer is given up."""
        try:
            Thread(target=work, name=name, args=args, daemon=True).start()
        except RuntimeError as error:
            self.record_refusal(name, error)
            return False
        return True

    def needed(self, work, name):
        """Starts a required thread and returns it, waiting until the machine has one.

        Raises Stopped if a signal to end the program arrives meanwhile.
        """
        pause = FIRST_PAUSE_S
        while True:
            thread = Thread(target=work, name=name, daemon=True)
            try:
                thread.start()
                return thread
            except RuntimeError as error:
                self.record_refusal(name, error)
            # The signals may be blocked until all threads run, so this checks the pending ones.
            if END_SIGNALS & signal.sigpending():
                raise Stopped(f"no thread was available for {name}")
            self.log.flush()
            time.sleep(pause)
            pause = min(MAX_PAUSE_S, 2 * pause)

    def record_refusal(self, name, error):
        """Counts and logs that the machine refused a thread."""
        self.counters.add("threads-refused")
        self.log.line("thread-refused", reason="no-thread", thread=name, detail=str(error))
