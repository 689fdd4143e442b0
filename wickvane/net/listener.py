"""Takes in connections and gives each its session."""

import select
import socket
import time
from collections import deque
from threading import Lock

BACKLOG = 256
SPARE = 16  # connections past the most: to be told so, and for cancels, which matter most then
ROOM_TRIES, ROOM_S, FRESH = 10, 0.005, 2_500
LINE_S = 0.5  # for connections that wait to be taken in as the dispatcher ends
LINGER = 32  # of those that are not let in, kept open a while: a close ahead of what they send is a reset
PEEK = 8


class Listener:
    """Accepts client connections, and gives each a session and a thread."""

    def __init__(self, address, service, most, session, gate=None):
        """session: the class of its sessions, which is the protocol that is spoken here. gate: lets new
        connections in at a pace; None: whoever comes, while there is room."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.sock = socket.create_server(address, family=family, backlog=BACKLOG)
        self.service, self.most, self.session = service, most, session
        self.lock, self.sessions, self.closed = Lock(), set(), False
        self.gate, self.lingering = gate, deque()

    def run(self):
        """The thread: accepts until it is closed."""
        while not self.closed:
            try:
                sock, peer = self.sock.accept()
            except OSError as failure:
                if self.closed:
                    return
                # Out of descriptors, say: the next accept may do, and must not spin until then.
                self.service.log.line("accept-failed", detail=failure.strerror)
                self.service.stopping.wait(0.05)
                continue
            self.service.counters.add("client-connections")
            peer = f"{peer[0]}:{peer[1]}"
            if self.gate is not None and not self.gate.lets_in(self.is_urgent, sock):
                self.turn_away(sock, peer)
                continue
            full = self.make_room()
            if full is None:
                self.refuse(sock, peer)
                continue
            session = self.session(sock, peer, self.service, full)
            with self.lock:
                self.sessions.add(session)
            if not self.service.threads.spare(self.serve, "session", session):
                with self.lock:
                    self.sessions.discard(session)
                self.refuse(sock, peer, "no-thread")

    def make_room(self):
        """Whether the house is full, None if past bearing. Against clients that connect and say nothing, and
        those that asked once and stay: who has asked nothing goes first, then who is idle longest; who came
        just now may be about to ask, and goes last."""
        for _ in range(ROOM_TRIES):
            with self.lock:
                held, leaving = len(self.sessions), 0
                if held < self.most:
                    return False
                idle = []
                for session in self.sessions:
                    if session.is_evicted:
                        leaving += 1
                    elif session.idle:
                        idle.append(session)
            if idle and held - leaving >= self.most:
                since = self.service.clock.now() - FRESH
                min(idle, key=lambda session: (session.eviction_rank(since), session.since)).evict()
                leaving += 1
            if held < self.most + SPARE:
                return held - leaving >= self.most
            time.sleep(ROOM_S)  # their threads are about to let go
        return None

    def is_urgent(self, sock):
        """Whether what a connection sent first is let in at once, such as a cancel."""
        try:
            return self.session.is_urgent(sock.recv(PEEK, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def turn_away(self, sock, peer):
        """One that comes faster than the core bears: told so, with a time, and that is all it costs."""
        away = self.gate.stay_away()
        try:
            sock.settimeout(0)
            sock.sendall(self.session.too_fast(away))
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        self.lingering.append(sock)
        if len(self.lingering) > LINGER:
            self.lingering.popleft().close()
        self.service.counters.add("client-connections-ended-too-fast")
        self.gate.told(peer, away)

    def refuse(self, sock, peer, reason="too-many"):
        """Tells a connection why it is not taken, and closes it."""
        try:
            sock.settimeout(0)
            sock.sendall(self.session.TOO_MANY)
        except OSError:
            pass
        sock.close()
        self.service.counters.add(f"client-connections-ended-{reason}")
        self.service.log.line("client-connection-ended", peer=peer, reason=reason, queries=0)

    def serve(self, session):
        """A session's thread."""
        try:
            session.run()
        finally:
            with self.lock:
                self.sessions.discard(session)

    def close(self):
        """Ends taking in connections, once those that the machine has accepted have their sessions: a close
        would reset what waits in line, with what it has asked already."""
        waiting, until = select.poll(), time.monotonic() + LINE_S
        waiting.register(self.sock, select.POLLIN)
        while waiting.poll(0) and time.monotonic() < until:
            time.sleep(ROOM_S)
        self.closed = True
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()

    def open_sessions(self):
        """How many sessions have not ended."""
        with self.lock:
            return len(self.sessions)
