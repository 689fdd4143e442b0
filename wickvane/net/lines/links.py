"""The connection pools of all engines, and the I/O loop: one thread for all engine connections.

The I/O loop takes orders from the engines' queues, watches the connections' descriptors, and ends attempts
and connections whose time is over.

A machine runs out of process ids long before it runs out of memory, even if most threads sleep. Dispatchers
that share a machine used up its process ids with one thread per engine and one per connection. So the number
of threads does not depend on the number of engines: there is one poll over the descriptors, one heap of
timers, and one queue of engines with orders and connections to check. The I/O loop never waits for a peer, so
that no peer delays another's answers.
"""

import select
from collections import OrderedDict
from heapq import heapify, heappop, heappush
from threading import Event, Lock

from wickvane.events import FOREVER, Ending
from wickvane.net.exchange import Attempt
from wickvane.net.input_tracker import InputReader
from wickvane.net.lines.connection import WRITE_EVENTS, Connection
from wickvane.net.queues import EngineQueue
from wickvane.settings import idle_connection_timeout

MIN_COMPACTION_THRESHOLD = 256  # timers
MAX_POLL_S = 1.0  # maximum wait if no timer is due earlier
IDLE_DIVISOR = 2  # the maximum of idle connections is the engines' descriptors divided by this
DEFAULT_OPEN_ATTEMPTS = 100  # maximum on one connection if the settings have no bound
HANGUP_EVENTS = select.EPOLLERR | select.EPOLLHUP


class ConnectionPool:
    """The connections to one engine process, and its queue of orders."""

    def __init__(self, queue, io_loop):
        self.queue, self.io_loop, queue.link = queue, io_loop, self
        self.exchange, self.clock, self.log = io_loop.exchange, io_loop.clock, io_loop.log
        self.counters, self.max_open_attempts, self.connect_timeout_s = (
            io_loop.counters,
            io_loop.max_open_attempts,
            io_loop.connect_timeout_s,
        )
        self.idle_timeout, self.address = io_loop.idle_timeout, queue.address
        self.lock, self.connections, self.closing = Lock(), [], False

    def start_attempt(self, attempt):
        """Sends an attempt on the best connection that accepts it; it ends as not sent if there is none."""
        now = self.clock.now()
        if attempt.has_ended:
            return
        # After a stall of the process, other dispatchers may have used the capacity that the decision
        # counted on: see IoLoop.stale.
        if (
            now >= attempt.deadline
            or attempt.pending.answer is not None
            or now - attempt.started_at >= self.io_loop.stale
        ):
            self.exchange.end_attempt(attempt, Ending.NOT_SENT)
            return
        # A connection that died before a byte was sent proves that nothing ran, so the next one is used.
        connection = next((c for c in self.candidates(attempt, now) if c.put("ask", attempt)), None)
        if connection is None:
            self.exchange.end_attempt(attempt, Ending.NOT_SENT)
            return
        self.io_loop.mark_in_use(connection)
        if not connection.started:
            connection.started = True
            # Only after the order is queued: if the connection were refused at once, the attempt would end as
            # not sent, and the scheduler would not learn that the engine is down.
            connection.start()
        self.io_loop.add_timer(attempt.deadline, attempt)

    def candidates(self, attempt, now):
        """Yields the connections that may carry an attempt, the best first.

        A malformed answer or a reset affects all attempts on the connection. So each connection carries one
        attempt while there are descriptors left; after that, those with the fewest attempts come first."""
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            if not connection.open_attempts and connection.accepts(attempt, now):
                yield connection
        if self.io_loop.may_open():
            yield self.open_connection()
            return
        yield from sorted(
            (c for c in connections if c.accepts(attempt, now)), key=lambda c: len(c.open_attempts)
        )

    def open_connection(self):
        """Returns a new connection that has not begun to connect."""
        connection = self.queue.protocol.connection(self) if self.queue.protocol else Connection(self)
        with self.lock:
            self.connections.append(connection)
        self.io_loop.add_connection(connection)
        self.counters.add("engine-connections")
        return connection

    def find_connection(self, attempt):
        """The connection that an attempt is open on, or None."""
        with self.lock:
            connections = list(self.connections)
        return next((c for c in connections if c.open_attempts.get(attempt.pending.id) is attempt), None)

    def cancel_attempt(self, attempt, ending=Ending.CANCELLED, at_once=False):
        """Cancels an attempt; at_once: it ends now, not when the engine has been sent the cancellation."""
        connection = self.find_connection(attempt)
        if connection:
            connection.cancel_attempt(attempt, ending, at_once)

    def send_priority(self, attempt):
        """Sends an attempt's new priority to the engine."""
        connection = self.find_connection(attempt)
        if connection:
            connection.put("terms", attempt)

    def drain(self):
        """Withdraws the attempts that are not written.

        If a write stalls, they would be sent after the draining engine's grace period."""
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            for attempt in list(connection.open_attempts.values()):
                if not attempt.written:
                    connection.cancel_attempt(attempt, Ending.NOT_SENT, True)

    def close_older_connections(self, started):
        """Ends the connections opened before the engine process started, which lead to an earlier process."""
        with self.lock:
            connections = [c for c in self.connections if c.created_at < started]
        for connection in connections:
            connection.fail("engine-restarted")

    def close(self):
        """Closes the pool of an engine that has gone: each connection ends once no attempt is open on it."""
        self.closing = True
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            self.io_loop.check_connection(connection)

    ORDERS = {
        "ask": start_attempt,
        "quit": cancel_attempt,
        "terms": send_priority,
        "drain": drain,
        "restarted": close_older_connections,
        "close": close,
    }

    def remove(self, connection):
        """Removes a connection that has ended."""
        with self.lock:
            if connection in self.connections:
                self.connections.remove(connection)
        self.io_loop.remove_connection(connection)


class IoLoop(InputReader):
    """The I/O loop, with the connections of all pools and the bound of their descriptors.

    limits: that section of the settings. max_descriptors: for engine connections. threads: starts the threads
    that a single connection needs.
    """

    def __init__(self, exchange, limits, max_descriptors, clock, log, counters, accounts=None, threads=None):
        self.exchange, self.clock, self.log, self.counters = exchange, clock, log, counters
        self.accounts, self.attention_timeout, self.threads = accounts, 50_000, threads
        self.max_open_attempts = limits.count("streams_per_conn", DEFAULT_OPEN_ATTEMPTS)
        self.connect_timeout_s = max(0.01, limits.milliseconds("dial_timeout_ms", 250) / 1000)
        self.idle_timeout = idle_connection_timeout(limits)
        self.lock, self.connections, self.max_descriptors, self.stopping, self.finished = (
            Lock(),
            {},
            max_descriptors,
            False,
            Event(),
        )
        self.stale = FOREVER  # an attempt of this age in ticks is not sent; an extension sets it
        # Timers are (time, number, attempt or connection); the number keeps equal times in order.
        self.timers, self.timer_count, self.compaction_threshold = [], 0, MIN_COMPACTION_THRESHOLD
        # The connections by descriptor; the idle connections, those that have been idle longest first.
        self.watched, self.idle_connections = {}, OrderedDict()
        self.ready_queue, self.wakeup_pipe = exchange.ready_queue, exchange.ready_queue.wakeup_pipe
        self.epoll = select.epoll()
        self.epoll.register(self.wakeup_pipe.read_end, select.EPOLLIN)
        self.input = exchange.input

    # The thread

    def run(self):
        """The thread: runs until stop() is called."""
        self.input.add(self, self.epoll.fileno())
        while not self.stopping:
            polled_at = self.clock.now()
            self.input.deactivate(self)
            events = self.poll_events()
            self.input.activate(self)
            self.run_once(events)
            self.drained_at = polled_at
        self.input.remove(self, self.epoll.fileno())
        for connection in list(self.watched.values()):
            connection.release()
        self.finished.set()

    def poll_events(self):
        """Waits for events until the first timer is due; returns pairs of (descriptor, events)."""
        wait = MAX_POLL_S
        if self.timers:
            wait = min(wait, max(0, self.timers[0][0] - self.clock.now()) / 10_000)
        self.wakeup_pipe.asleep = True
        try:
            return self.epoll.poll(0 if self.ready_queue.items or self.stopping else wait)
        finally:
            self.wakeup_pipe.asleep = False

    def run_once(self, events):
        """Handles descriptor events, the ready queue, and the timers that are due."""
        for descriptor, flags in events:
            if descriptor == self.wakeup_pipe.read_end:
                self.wakeup_pipe.drain()
            elif connection := self.watched.get(descriptor):
                if flags & WRITE_EVENTS and connection.up:
                    connection.run_guarded(connection.flush_send_buffer)
                if flags & ~WRITE_EVENTS or not connection.up:
                    connection.run_guarded(connection.handle_ready)
                if flags & HANGUP_EVENTS and not connection.dead:
                    # A connection read to its end has failed by now. If it has not, the poll would return
                    # this event again and again.
                    connection.fail("reset" if connection.up else "connect-refused")
        for _ in range(len(self.ready_queue.items)):
            item = self.ready_queue.items.popleft()
            if isinstance(item, EngineQueue):
                self.process_orders(item)
            else:
                item.check_requested = False
                self.check_connection(item)
        self.run_timers(self.clock.now())

    def process_orders(self, queue):
        """Processes all orders that wait for one engine."""
        pool = queue.link or ConnectionPool(queue, self)
        for kind, *arguments in queue.take(0):
            try:
                pool.ORDERS[kind](pool, *arguments)
            except Exception as error:  # a fault in one order must not affect the others
                self.log.line("fault", error=f"{type(error).__name__}: {error}", where=f"link {kind}")
                self.counters.add("faults")
                if kind == "ask":
                    self.exchange.end_attempt(
                        arguments[0], Ending.RESET if arguments[0].written else Ending.NOT_SENT
                    )

    # Timers

    def add_timer(self, at, item):
        """item: an attempt that is abandoned at that time, or a connection whose timers are checked then."""
        self.timer_count += 1
        heappush(self.timers, (at, self.timer_count, item))

    def run_timers(self, now):
        """Abandons the attempts whose deadline has passed, and checks the connections that are due."""
        while self.timers and (self.timers[0][0] <= now or has_ended(self.timers[0][2])):
            item = heappop(self.timers)[2]
            if not isinstance(item, Attempt):
                item.next_check_at = None
                self.check_connection(item, now)
            elif not item.has_ended:
                # At the client's own time limit no further attempt is possible, and the answer is due now.
                item.queue.link.cancel_attempt(item, Ending.NO_ANSWER, item.deadline >= item.pending.deadline)
        if len(self.timers) > self.compaction_threshold:
            # Late deadlines of queries that ended long ago would pile up behind one that is still in flight.
            self.timers = [timer for timer in self.timers if not has_ended(timer[2])]
            heapify(self.timers)
            self.compaction_threshold = max(MIN_COMPACTION_THRESHOLD, 2 * len(self.timers))

    def check_connection(self, connection, now=None):
        """Checks the timers of a connection; an exception ends this connection only."""
        try:
            self.update_timer(connection, now or self.clock.now())
        except Exception as error:  # a fault in one connection must not affect the others
            connection.fail("fault", f"{type(error).__name__}: {error}")
            self.counters.add("faults")

    def update_timer(self, connection, now):
        """Lets a connection check its timers, and sets the timer of its next check."""
        at = connection.check_timers(now)
        if connection.dead:
            self.idle_connections.pop(connection, None)
            connection.release()
        elif at is not None and (connection.next_check_at is None or at < connection.next_check_at):
            connection.next_check_at = at
            self.add_timer(max(at, now + 1), connection)
        if connection.is_idle():
            self.mark_idle(connection)

    def request_check(self, connection):
        """From any thread: lets the I/O loop check a connection soon."""
        if not connection.check_requested:
            connection.check_requested = True
            self.ready_queue.put(connection)

    # Descriptors

    def watch(self, connection, events):
        """Watches a connection's descriptor for these events only."""
        descriptor = connection.sock.fileno()
        if self.watched.get(descriptor) is connection:
            self.epoll.modify(descriptor, events)
        else:
            self.watched[descriptor] = connection
            self.epoll.register(descriptor, events)

    def unwatch(self, connection, descriptor):
        """Stops watching a connection's descriptor."""
        if self.watched.get(descriptor) is connection:
            del self.watched[descriptor]
            try:
                self.epoll.unregister(descriptor)
            except OSError:
                pass  # closing the descriptor has removed it

    def mark_in_use(self, connection):
        """Notes that an attempt is open on a connection."""
        self.idle_connections.pop(connection, None)

    def mark_idle(self, connection):
        """Notes that a connection is idle; above the maximum, those idle longest are closed."""
        if connection in self.idle_connections:
            return
        self.idle_connections[connection] = None
        while len(self.idle_connections) > max(1, self.max_descriptors // IDLE_DIVISOR):
            self.close_longest_idle()

    def close_longest_idle(self):
        """Closes the connection that has been idle longest; returns False if none is idle."""
        while self.idle_connections:
            connection, _ = self.idle_connections.popitem(last=False)
            if connection.close_if_idle("made-room"):
                return True
        return False

    def may_open(self):
        """Whether there is a descriptor for another connection; closes an idle connection if necessary."""
        # Idle connections to some engines must not prevent connections to others.
        return len(self.connections) < self.max_descriptors or self.close_longest_idle()

    def add_connection(self, connection):
        """Counts a connection among those that hold a descriptor."""
        with self.lock:
            self.connections[connection] = None

    def remove_connection(self, connection):
        """Removes a connection that holds no descriptor any more."""
        with self.lock:
            self.connections.pop(connection, None)

    def stop(self, seconds=1.0):
        """From another thread: ends all connections and the I/O loop, and waits for the loop's end.

        After that its last counts are added. seconds: the maximum wait."""
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            connection.fail("stop")
        self.stopping = True
        self.wakeup_pipe.wake()
        self.finished.wait(seconds)


def has_ended(item):
    """Whether an attempt has ended, or a connection is dead."""
    return item.has_ended if isinstance(item, Attempt) else item.dead
