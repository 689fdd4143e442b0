"""Starting threads on a machine that may have none left.

A machine's process ids bound the threads of all its programs together, so that one may be refused to a
program that holds few. What wants a thread for one peer does without that peer; what nothing works without
is asked for again until it is there. Neither ends the program.
"""

import signal
import time
from threading import Thread

PAUSE_FIRST, PAUSE_MOST = 0.05, 1.0  # between tries for one that nothing works without
ENDS = {signal.SIGTERM, signal.SIGINT}


class Stopped(Exception):
    """The program was told to end while it waited for a thread."""


class Threads:
    """log, counters: what is refused is told and counted in."""

    def __init__(self, log, counters):
        self.log, self.counters = log, counters

    def spare(self, work, name, *args):
        """A thread for one peer's sake: False where the machine has none, and the caller lets the peer go."""
        try:
            Thread(target=work, name=name, args=args, daemon=True).start()
        except RuntimeError as error:
            self.refused(name, error)
            return False
        return True

    def needed(self, work, name):
        """The thread that does `work`, waited for; Stopped where the end is asked for meanwhile."""
        pause = PAUSE_FIRST
        while True:
            thread = Thread(target=work, name=name, daemon=True)
            try:
                thread.start()
                return thread
            except RuntimeError as error:
                self.refused(name, error)
            # The signals of the end may be blocked, and be waited for only once all threads run.
            if ENDS & signal.sigpending():
                raise Stopped(f"no thread was to be had for {name}")
            self.log.pump()
            time.sleep(pause)
            pause = min(PAUSE_MOST, 2 * pause)

    def refused(self, name, error):
        """The machine gave no thread: counted and logged."""
        self.counters.add("threads-refused")
        self.log.line("thread-refused", reason="no-thread", thread=name, detail=str(error))
