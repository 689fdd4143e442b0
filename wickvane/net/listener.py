"""Accepts client connections and starts a session for each."""

import select
import socket
import time
from collections import deque
from contextlib import contextmanager
from threading import Lock

from wickvane.net.input_tracker import InputReader
from wickvane.scheduling.session_eviction import choose_session

BACKLOG = 256
# Connections beyond the maximum: for the error that rejects a connection, and for cancel requests, which are
# most needed when the dispatcher is full.
SPARE = 16
# A session younger than NEW_SESSION_TIME (ticks) may be about to send its first query.
MAX_EVICTION_ROUNDS, POLL_INTERVAL_S, NEW_SESSION_TIME = 10, 0.005, 2_500
MAX_POLL_S = 1.0  # for a connection
ACCEPT_RETRY_S = 0.05  # the pause after a failed accept, possibly for want of descriptors
BACKLOG_DRAIN_S = 0.5  # for connections in the listen backlog while the dispatcher shuts down
# Rejected connections that are kept open for a while: closing one before its client's data has arrived resets
# the connection, and the client may lose the error.
MAX_LINGERING = 32
PEEK_SIZE = 8


class Listener(InputReader):
    """Accepts client connections, and starts a session with its own thread for each."""

    accepts_connections = True

    def __init__(self, address, service, max_sessions, session, gate=None, is_memory_short=False):
        """Opens the listening socket; raises OSError.

        session: the class of the sessions, one per protocol. gate: limits the rate of new connections; None:
        every connection is admitted while there are fewer than max_sessions. is_memory_short: whether memory,
        not the number of descriptors, limits the sessions.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.sock = socket.create_server(address, family=family, backlog=BACKLOG)
        self.sock.setblocking(False)
        self.input = service.exchange.input
        self.service, self.max_sessions, self.session = service, max_sessions, session
        self.lock, self.sessions, self.closed = Lock(), set(), False
        self.gate, self.lingering, self.is_memory_short = gate, deque(), is_memory_short

    def run(self):
        """The thread: accepts connections until the listener is closed."""
        poll, descriptor = select.poll(), self.sock.fileno()
        poll.register(descriptor, select.POLLIN)
        self.input.add(self, descriptor)
        while not self.closed:
            self.input.deactivate(self)
            poll.poll(MAX_POLL_S * 1000)
            self.input.activate(self)
            try:
                self.accept_all()
            except OSError as failure:
                if self.closed:
                    break
                self.service.log.line("accept-failed", detail=failure.strerror)
                with self.unable_to_accept():
                    self.service.stopping.wait(ACCEPT_RETRY_S)
        self.input.remove(self, descriptor)

    @contextmanager
    def unable_to_accept(self):
        """The watermark does not wait for connections that cannot be accepted, for want of descriptors."""
        self.is_busy = True
        self.input.deactivate(self)
        try:
            yield
        finally:
            self.input.activate(self)
            self.is_busy = False

    def accept_all(self):
        """Accepts the connections that wait; raises OSError."""
        while True:
            began = self.service.clock.now()
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                self.drained_at = began
                return
            self.service.counters.add("client-connections")
            self.admit(sock, f"{peer[0]}:{peer[1]}")

    def admit(self, sock, peer):
        """Starts the session of an accepted connection, or rejects it."""
        if self.gate is not None and not self.gate.admits(self.is_urgent, sock):
            self.reject_paced(sock, peer)
            return
        full = self.make_room()
        if full is None:
            self.reject(sock, peer)
            return
        session = self.session(sock, peer, self.service, full)
        with self.lock:
            self.sessions.add(session)
        self.input.add(session, sock.fileno())
        if not self.service.threads.try_start(self.serve, "session", session):
            with self.lock:
                self.sessions.discard(session)
            self.input.remove(session, sock.fileno())
            self.reject(sock, peer, "no-thread")

    def make_room(self):
        """Closes a stalled or an idle session if the maximum is reached.

        Returns whether the listener is full nevertheless, or None if the spare connections are in use too.
        This protects against clients that connect and send nothing, stop half way through a message, or stay
        connected after a query.
        """
        for _ in range(MAX_EVICTION_ROUNDS):
            with self.lock:
                sessions = list(self.sessions)
            open_count = len(sessions)
            if open_count < self.max_sessions:
                return False
            staying = [session for session in sessions if not session.is_evicted]
            if len(staying) >= self.max_sessions:
                now = self.service.clock.now()
                evicted = choose_session(staying, now, now - NEW_SESSION_TIME, self.is_memory_short)
                if evicted is not None:
                    evicted.evict()
                    staying.remove(evicted)
            if open_count < self.max_sessions + SPARE:
                return len(staying) >= self.max_sessions
            with self.unable_to_accept():
                time.sleep(POLL_INTERVAL_S)  # the threads of the closed sessions are about to end
        return None

    def is_urgent(self, sock):
        """Whether the first octets of a connection are an urgent request, such as a cancel request."""
        try:
            return self.session.is_urgent(sock.recv(PEEK_SIZE, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def reject_paced(self, sock, peer):
        """Rejects a connection above the admitted rate, with a retry-after time and without a session."""
        retry_after = self.gate.retry_after_ms()
        try:
            sock.settimeout(0)
            sock.sendall(self.session.too_fast(retry_after))
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        self.lingering.append(sock)
        if len(self.lingering) > MAX_LINGERING:
            self.lingering.popleft().close()
        self.service.counters.add("client-connections-ended-too-fast")
        self.gate.log_rejection(peer, retry_after)

    def reject(self, sock, peer, reason="too-many"):
        """Sends an error to a connection and closes it; the reason is counted and logged."""
        try:
            sock.settimeout(0)
            sock.sendall(self.session.TOO_MANY)
        except OSError:
            pass
        sock.close()
        self.service.counters.add(f"client-connections-ended-{reason}")
        self.service.log.line("client-connection-ended", peer=peer, reason=reason, queries=0)

    def serve(self, session):
        """The thread of a session."""
        try:
            session.run()
        finally:
            with self.lock:
                self.sessions.discard(session)

    def close(self):
        """Closes the listening socket, once the connections in its backlog have their sessions.

        Closing it earlier would reset those connections, some of which have sent a query already.
        """
        poll, until = select.poll(), time.monotonic() + BACKLOG_DRAIN_S
        poll.register(self.sock, select.POLLIN)
        while poll.poll(0) and time.monotonic() < until:
            time.sleep(POLL_INTERVAL_S)
        self.closed = True
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()

    def open_sessions(self):
        """Returns the number of sessions that have not ended."""
        with self.lock:
            return len(self.sessions)
