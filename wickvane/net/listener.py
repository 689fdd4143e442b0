"""Takes in connections and gives each its session."""

import socket
from threading import Lock, Thread

from wickvane.net.session import Session, error

BACKLOG = 256
SPARE = 16  # connections past the most: to be told so, and for cancels, which matter most then


class Listener:
    def __init__(self, address, service, most):
        self.sock = socket.create_server(address, backlog=BACKLOG)
        self.service, self.most = service, most
        self.lock, self.sessions, self.closed = Lock(), set(), False

    def run(self):
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
            with self.lock:
                over = len(self.sessions) - self.most
            if over >= SPARE:
                self.refuse(sock, peer)
                continue
            session = Session(sock, peer, self.service, over >= 0)
            with self.lock:
                self.sessions.add(session)
            try:
                Thread(target=self.serve, args=(session,), daemon=True).start()
            except RuntimeError:
                with self.lock:
                    self.sessions.discard(session)
                self.refuse(sock, peer)

    def refuse(self, sock, peer):
        try:
            sock.settimeout(0)
            sock.sendall(error("53300", "too many clients", b"FATAL"))
        except OSError:
            pass
        sock.close()
        self.service.counters.add("client-connections-ended-too-many")
        self.service.log.line("client-connection-ended", peer=peer, reason="too-many", queries=0)

    def serve(self, session):
        try:
            session.run()
        finally:
            with self.lock:
                self.sessions.discard(session)

    def close(self):
        self.closed = True
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()

    def close_idle(self):
        with self.lock:
            sessions = list(self.sessions)
        for session in sessions:
            session.close()
        return len(sessions)
