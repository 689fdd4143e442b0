"""A connection to an emulated engine or to its coordinator, on a selector's socket: the line protocol's, and
what others build on."""

import socket
import struct

from wickvane.events import Ending

OUT_MOST = 4 << 20
RESET = struct.pack("ii", 1, 0)


class Connection:
    """One to an engine, or to the coordinator: what came, and what still has to go."""

    def __init__(self, serving, sock, process):
        self.serving, self.sock, self.process = serving, sock, process
        self.buffer, self.out, self.open, self.closed = bytearray(), bytearray(), {}, False

    def send(self, data):
        if self.closed:
            return
        self.out += data
        self.flush()

    def flush(self):
        try:
            while self.out:
                sent = self.sock.send(self.out)
                del self.out[:sent]
        except BlockingIOError:
            pass
        except OSError:
            self.close()
            return
        if len(self.out) > OUT_MOST:
            self.close()  # who does not read is no peer to keep memory for
        elif not self.closed:
            self.serving.wants(self, bool(self.out))

    def close(self, reset=False):
        if self.closed:
            return
        self.closed = True
        for query in list(self.open.values()):
            self.serving.gives_up_here(query)
        self.open = {}
        self.serving.forget(self)
        try:
            if reset:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.sock.close()
        except OSError:
            pass

    def came(self, data):
        self.buffer += data
        if self.process is None:
            self.serving.follow(self)
        else:
            while not self.closed and self.serving.line(self):
                pass

    def fault(self, id):
        self.send(b"%b FAULT - 0\r\n\r\n" % id)

    # What a Process tells of a submission that has ended, as a gateway is told in virtual time

    def hears(self, query, submission, process, ending, work, resource_group):
        if self.open.pop(query.id, None) is None:
            return
        if ending == Ending.FINISHED:
            body = b"%s\t%d\t%s\n" % (process.name.encode(), work // 10, query.id)
            fields = b"sheets=1,toil=%.1f,room=%d" % (
                work / 10,
                self.serving.script.groups[resource_group].memory,
            )
            self.send(b"%b HIT %b %d\r\n%b\r\n" % (query.id, fields, len(body), body))
        elif ending == Ending.REJECTED:
            self.send(b"%b SHED - 0\r\n\r\n" % query.id)
        else:
            self.close(reset=True)
