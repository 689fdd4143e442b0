"""The keeper: one thread for all engines. It takes orders from the queues, watches the connections, keeps the
waits, and ends what ran out of time or idles.

Threads that mostly sleep cost a machine its process ids long before they cost memory: with one an engine and
one a connection, dispatchers that share a machine ran it out of them. So nothing here grows with the list of
engines: one poll over the descriptors, one heap of times, one line of those that call. Nothing in it waits on
a peer, so that none holds up another's answers.
"""

import select
from collections import OrderedDict
from heapq import heapify, heappop, heappush
from threading import Event, Lock

from wickvane.events import FOREVER, Ending
from wickvane.net.exchange import Attempt
from wickvane.net.lines.connection import WRITES, Connection
from wickvane.net.queues import EngineQueue
from wickvane.settings import idle_connection_timeout

WAITS_HELD = 256
LONGEST_S = 1.0  # a round without a call or a time that is due
IDLE_SHARE = 2  # one in so many of the descriptors that engines may hold is kept open for what may come
STREAMS = 100  # requests on a connection, where the settings name no bound
FULL = select.EPOLLERR | select.EPOLLHUP


class Link:
    """One engine process: its queue and its connections."""

    def __init__(self, queue, links):
        self.queue, self.links, queue.link = queue, links, self
        self.exchange, self.clock, self.log = links.exchange, links.clock, links.log
        self.counters, self.streams, self.connect_s = links.counters, links.streams, links.connect_s
        self.idle_time, self.address = links.idle_time, queue.address
        self.lock, self.connections, self.closing = Lock(), [], False

    def ask(self, attempt):
        """Sends an attempt over the best connection that takes it."""
        now = self.clock.now()
        if attempt.has_ended:
            return
        # Decided before a standstill, what it counted on may be another's by now: links.stale.
        if (
            now >= attempt.deadline
            or attempt.pending.answer is not None
            or now - attempt.started_at >= self.links.stale
        ):
            self.exchange.end_attempt(attempt, Ending.NOT_SENT)
            return
        # One that died meanwhile proves that nothing ran.
        place = next((c for c in self.candidates(attempt, now) if c.put("ask", attempt)), None)
        if place is None:
            self.exchange.end_attempt(attempt, Ending.NOT_SENT)
            return
        self.links.in_use(place)
        if not place.started:
            place.started = True
            # Not before the order is in: one refused at once would end it as never sent, and the module would
            # not hear that the engine is down.
            place.start()
        self.links.later(attempt.deadline, attempt)

    def candidates(self, attempt, now):
        """The connections that may carry an attempt, best first. What one that is spoilt or reset takes along
        is kept small: one query on each while there are descriptors for it, then where fewest are."""
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            if not connection.open and connection.takes(attempt, now):
                yield connection
        if self.links.may_open():
            yield self.open_connection()
            return
        yield from sorted((c for c in connections if c.takes(attempt, now)), key=lambda c: len(c.open))

    def open_connection(self):
        """A connection that is not dialled yet."""
        connection = self.queue.protocol.connection(self) if self.queue.protocol else Connection(self)
        with self.lock:
            self.connections.append(connection)
        self.links.opened(connection)
        self.counters.add("engine-connections")
        return connection

    def find(self, attempt):
        """The connection that an attempt is open on."""
        with self.lock:
            connections = list(self.connections)
        return next((c for c in connections if c.open.get(attempt.pending.id) is attempt), None)

    def quit(self, attempt, ending=Ending.CANCELLED, at_once=False):
        """Gives an attempt up."""
        place = self.find(attempt)
        if place:
            place.give_up(attempt, ending, at_once)

    def terms(self, attempt):
        """Tells the engine an attempt's new priority."""
        place = self.find(attempt)
        if place:
            place.put("terms", attempt)

    def drain(self):
        """What is still in line would go out after the engine's grace if a write stalls: it is taken back."""
        with self.lock:
            connections = list(self.connections)
        for place in connections:
            for attempt in list(place.open.values()):
                if not attempt.written:
                    place.give_up(attempt, Ending.NOT_SENT, True)

    def restarted(self, started):
        """Another process is there since: older connections lead nowhere."""
        # What was connected before the engine's start leads to a process that is no more.
        with self.lock:
            connections = [c for c in self.connections if c.made < started]
        for place in connections:
            place.fail("engine-restarted")

    def close(self):
        """The engine has gone; connections end once nothing is open on them."""
        self.closing = True
        with self.lock:
            connections = list(self.connections)
        for place in connections:
            self.links.look_at(place)

    ORDERS = {
        "ask": ask,
        "quit": quit,
        "terms": terms,
        "drain": drain,
        "restarted": restarted,
        "close": close,
    }

    def ended(self, place):
        """A connection has closed."""
        with self.lock:
            if place in self.connections:
                self.connections.remove(place)
        self.links.closed(place)


class Links:
    """All links, and the thread that keeps them, within the descriptors that engines may hold.

    limits: that section of the settings. most: descriptors. threads: starts those that one peer needs.
    """

    def __init__(self, exchange, limits, most, clock, log, counters, accounts=None, threads=None):
        self.exchange, self.clock, self.log, self.counters = exchange, clock, log, counters
        self.accounts, self.attention_time, self.threads = accounts, 50_000, threads
        self.streams = limits.count("streams_per_conn", STREAMS)
        self.connect_s = max(0.01, limits.milliseconds("dial_timeout_ms", 250) / 1000)
        self.idle_time = idle_connection_timeout(limits)
        self.lock, self.all, self.most, self.stopping, self.ended = Lock(), {}, most, False, Event()
        self.stale = FOREVER  # after which what was decided does not leave any more: a part sets it
        self.waits, self.count, self.most_waits = [], 0, WAITS_HELD
        # The connections that a descriptor's events are for; those that nothing is open on, longest first.
        self.watched, self.idle = {}, OrderedDict()
        self.calls, self.wakeup_pipe = exchange.ready_queue, exchange.ready_queue.wakeup_pipe
        self.poll = select.epoll()
        self.poll.register(self.wakeup_pipe.read_end, select.EPOLLIN)

    # The thread

    def run(self):
        """The thread, until it is stopped."""
        while not self.stopping:
            self.round(self.events())
        for place in list(self.watched.values()):
            place.release()
        self.ended.set()

    def events(self):
        """What the poll found, waited for until something is due."""
        wait = LONGEST_S
        if self.waits:
            wait = min(wait, max(0, self.waits[0][0] - self.clock.now()) / 10_000)
        self.wakeup_pipe.asleep = True
        try:
            return self.poll.poll(0 if self.calls.items or self.stopping else wait)
        finally:
            self.wakeup_pipe.asleep = False

    def round(self, events):
        """Sees to descriptors, to orders, and to what is due."""
        for descriptor, what in events:
            if descriptor == self.wakeup_pipe.read_end:
                self.wakeup_pipe.drain()
            elif place := self.watched.get(descriptor):
                if what & WRITES and place.up:
                    place.guard(place.write_rest)
                if what & ~WRITES or not place.up:
                    place.guard(place.ready)
                if what & FULL and not place.dead:
                    # Read to its end, it has failed by now; what has not would ring here for ever.
                    place.fail("reset" if place.up else "connect-refused")
        for _ in range(len(self.calls.items)):
            caller = self.calls.items.popleft()
            if isinstance(caller, EngineQueue):
                self.take_orders(caller)
            else:
                caller.called = False
                self.look_at(caller)
        self.look(self.clock.now())

    def take_orders(self, queue):
        """All orders that wait for one engine."""
        link = queue.link or Link(queue, self)
        for kind, *rest in queue.take(0):
            try:
                link.ORDERS[kind](link, *rest)
            except Exception as error:  # one order's fault ends no other's
                self.log.line("fault", error=f"{type(error).__name__}: {error}", where=f"link {kind}")
                self.counters.add("faults")
                if kind == "ask":
                    self.exchange.end_attempt(rest[0], Ending.RESET if rest[0].written else Ending.NOT_SENT)

    # Times

    def later(self, at, what):
        """what: an attempt whose wait ends then, or a connection to look at."""
        self.count += 1
        heappush(self.waits, (at, self.count, what))

    def look(self, now):
        """Ends what ran out of time, and looks at the connections whose time it is."""
        while self.waits and (self.waits[0][0] <= now or over(self.waits[0][2])):
            what = heappop(self.waits)[2]
            if not isinstance(what, Attempt):
                what.look_at = None
                self.look_at(what, now)
            elif not what.has_ended:
                # At the client's own limit nothing can follow, and the answer is due now.
                what.queue.link.quit(what, Ending.NO_ANSWER, what.deadline >= what.pending.deadline)
        if len(self.waits) > self.most_waits:
            # Long limits of queries that ended long ago would pile up behind one that is still out.
            self.waits = [wait for wait in self.waits if not over(wait[2])]
            heapify(self.waits)
            self.most_waits = max(WAITS_HELD, 2 * len(self.waits))

    def look_at(self, place, now=None):
        """Ends a connection that had its time; else it is looked at again when something of it is due."""
        try:
            self.see_to(place, now or self.clock.now())
        except Exception as error:  # one connection's fault ends no other's
            place.fail("fault", f"{type(error).__name__}: {error}")
            self.counters.add("faults")

    def see_to(self, place, now):
        """Lets a connection look at its times, and notes when to look again."""
        at = place.look(now)
        if place.dead:
            self.idle.pop(place, None)
            place.release()
        elif at is not None and (place.look_at is None or at < place.look_at):
            place.look_at = at
            self.later(max(at, now + 1), place)
        if place.idles():
            self.now_idle(place)

    def call(self, place):
        """From any thread: the keeper is to look at this connection."""
        if not place.called:
            place.called = True
            self.calls.put(place)

    # Descriptors

    def watch(self, place, what):
        """From here on the poll tells of these events of a connection."""
        descriptor = place.sock.fileno()
        if self.watched.get(descriptor) is place:
            self.poll.modify(descriptor, what)
        else:
            self.watched[descriptor] = place
            self.poll.register(descriptor, what)

    def unwatch(self, place, descriptor):
        """From here on it tells of none."""
        if self.watched.get(descriptor) is place:
            del self.watched[descriptor]
            try:
                self.poll.unregister(descriptor)
            except OSError:
                pass  # closed, which took it out

    def in_use(self, place):
        """Something is open on a connection that idled."""
        self.idle.pop(place, None)

    def now_idle(self, place):
        """A connection idles; past the bound the one that idled longest is ended."""
        if place in self.idle:
            return
        self.idle[place] = None
        while len(self.idle) > max(1, self.most // IDLE_SHARE):
            self.make_room()

    def make_room(self):
        """Ends the connection that has idled longest; False where none idles."""
        while self.idle:
            place, _ = self.idle.popitem(last=False)
            if place.end_idle("made-room"):
                return True
        return False

    def may_open(self):
        """Whether a descriptor is left for another connection, made room for if need be."""
        # Connections kept for what may come to some engines must not keep others from being reached.
        return len(self.all) < self.most or self.make_room()

    def opened(self, place):
        """A connection holds a descriptor."""
        with self.lock:
            self.all[place] = None

    def closed(self, place):
        """A connection holds none any more."""
        with self.lock:
            self.all.pop(place, None)

    def stop(self, seconds=1.0):
        """From another thread: ends what is open, then the keeper, whose last counts are in when it has."""
        with self.lock:
            places = list(self.all)
        for place in places:
            place.fail("stop")
        self.stopping = True
        self.wakeup_pipe.wake()
        self.ended.wait(seconds)


def over(what):
    """Whether an attempt has ended, or a connection is dead."""
    return what.has_ended if isinstance(what, Attempt) else what.dead
