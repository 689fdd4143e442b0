"""An IPFIX and NetFlow v9 collector on loopback by TCP, TLS or UDP, with faults that collectors have."""

import socket
import ssl
import struct
import time
from threading import Event, Lock, Thread

from wickvane.errors import ProtocolError
from wickvane.flows.collected_flows import Collected
from wickvane.flows.ipfix import Reader
from wickvane.flows.netflow9 import NetFlow9Reader

ENTERPRISE = 32_473


class Collector:
    """A collecting process. reading: it stops reading if cleared; raw: all octets received, in chunks."""

    def __init__(self, udp=False, nine=False, port=0, context=None, collected=None, buffer=None):
        self.udp, self.nine, self.context = udp, nine, context
        self.collected = collected or Collected(keep=True)
        self.lock, self.reading, self.closed = Lock(), Event(), False
        self.reading.set()
        self.raw, self.connections, self.events, self.connected = [], [], [], 0
        self.shuffle = None  # a test's function: takes a datagram, returns the list to handle instead
        if udp:
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
            self.sock.bind(("127.0.0.1", port))
        else:
            self.sock = socket.socket()
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if buffer:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
            self.sock.bind(("127.0.0.1", port))
            self.sock.listen()
        self.port = self.sock.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        Thread(target=self.datagrams if udp else self.accept, daemon=True).start()

    def reader(self):
        return NetFlow9Reader() if self.nine else Reader(ENTERPRISE)

    def take(self, events):
        with self.lock:
            try:
                for event in events:
                    self.events.append(event[:3])
                    self.collected.take(event)
            except ProtocolError:
                self.collected.malformed += 1
                return False
        return True

    def datagrams(self):
        reader = self.reader()
        while not self.closed:
            try:
                data = self.sock.recv(65_535)
            except OSError:
                return
            self.reading.wait()
            for one in self.shuffle(data) if self.shuffle else [data]:
                self.raw.append(one)
                self.take(reader.message(one))

    def accept(self):
        while not self.closed:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            self.connections.append(conn)
            Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        reader = self.reader()
        try:
            if self.context:
                conn = self.context.wrap_socket(conn, server_side=True)
            self.connected += 1
            while True:
                self.reading.wait()
                data = conn.recv(65_536)
                if not data:
                    break
                self.raw.append(data)
                if not self.take(reader.feed(data)):
                    break
        except (OSError, ssl.SSLError):
            pass
        finally:
            conn.close()

    def reset(self):
        """Resets all connections at once, with data still unread."""
        for conn in self.connections:
            try:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                conn.shutdown(socket.SHUT_RD)
                conn.close()
            except OSError:
                pass
        self.connections = []

    def end(self):
        self.closed = True
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()
        self.reset()

    def until(self, holds, seconds=10):
        """Waits until `holds` is true of the received flows; fails with what was received."""
        by = time.monotonic() + seconds
        while time.monotonic() < by:
            with self.lock:
                if holds(self.collected):
                    return self.collected
            time.sleep(0.01)
        raise AssertionError(f"not within {seconds} s: {self.collected.sums} {self.collected.arrivals}")
