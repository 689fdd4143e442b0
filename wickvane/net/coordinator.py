"""The list of engines: what the configuration knew at the start, then the coordinator's stream of events."""

import math
import socket
import time
from random import Random
from threading import Event, Lock

import orjson

from wickvane.errors import ProtocolError
from wickvane.events import EngineState

STATES = {"Ready": EngineState.READY, "Terminating": EngineState.DRAINING, "Gone": EngineState.GONE}
LINE_MOST, EVENT_MOST, HEAD_MOST = 1 << 20, 1 << 21, 16_384
CONNECT_S, SILENT_S = 0.5, 1.6  # a comment comes each second
# Short, since what a broken stream would have told counts as told within two seconds.
PAUSE_FIRST, PAUSE_MOST, LIVED_S = 0.02, 0.25, 5.0


def address_of(text):
    """(host, port) of "host:port"; ValueError where it is none."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(text)
    return host, int(port)


def read_entry(entry):
    """An engine's entry in the form that the registry takes."""
    try:
        name, state = entry["name"], STATES[entry["status"]]
        if not isinstance(name, str) or not 0 < len(name) <= 256:
            raise ValueError("name")
        address = address_of(entry["address"]) if state != EngineState.GONE or "address" in entry else None
        zone, kind = entry.get("zone"), entry.get("type")
        if not all(text is None or isinstance(text, str) and len(text) <= 256 for text in (zone, kind)):
            raise ValueError("zone or type")
        cell, weight = entry.get("group") or 0, entry.get("weight") or 1.0
        started = entry.get("since_ms") or 0
        usual = all(math.isfinite(x) and 0 <= x < 1e14 for x in (started, weight))
        if not usual or not isinstance(cell, int):
            raise ValueError("a figure")
        return name, address, state, zone, kind, cell, started, float(weight)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ProtocolError(f"an entry cannot be read: {error}") from None


def read_event(event):
    """(number, whole, entries) of one event."""
    try:
        number, change = event["index"], event["endpoints"]
        if not isinstance(number, int) or isinstance(number, bool) or not 0 <= number < 1 << 62:
            raise ValueError("index")
        return number, bool(change.get("snapshot")), [read_entry(entry) for entry in change["endpoints"]]
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ProtocolError(f"an event cannot be read: {error}") from None


class Lines:
    """The lines of a response body, also of one that comes in chunks."""

    def __init__(self, recv):
        self.recv, self.buffer, self.chunked, self.left = recv, bytearray(), False, 0

    def more(self):
        """Reads on; EOFError at the end."""
        data = self.recv(65_536)
        if not data:
            raise EOFError
        self.buffer += data

    def raw(self, most):
        """The next line as it came, without its end."""
        while (end := self.buffer.find(b"\n")) < 0:
            if len(self.buffer) > most:
                raise ProtocolError("a line is too long")
            self.more()
        line = bytes(self.buffer[:end]).rstrip(b"\r")
        del self.buffer[: end + 1]
        return line

    def head(self):
        """Reads the head of a response; ProtocolError where it is not 200."""
        status, total, fields = self.raw(HEAD_MOST), 0, {}
        while line := self.raw(HEAD_MOST):
            total += len(line)
            if total > HEAD_MOST:
                raise ProtocolError("the head is too long")
            name, _, value = line.partition(b":")
            fields[name.strip().lower()] = value.strip().lower()
        words = status.split(None, 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1."):
            raise ProtocolError("no HTTP answer")
        if words[1] != b"200":
            raise ProtocolError(f"status {words[1][:8].decode('ascii', 'replace')}")
        self.chunked = fields.get(b"transfer-encoding") == b"chunked"

    def body(self):
        """The lines of the body, one after another, up to EOFError."""
        text = bytearray()
        while True:
            if self.chunked:
                size = self.raw(64).split(b";")[0]
                try:
                    left = int(size, 16)
                except ValueError:
                    raise ProtocolError("a chunk has no length") from None
                if left == 0:
                    raise EOFError
                if left > EVENT_MOST:
                    raise ProtocolError("a chunk is too long")
                while len(self.buffer) < left + 2:
                    self.more()
                text += self.buffer[:left]
                del self.buffer[: left + 2]
            else:
                if not self.buffer:
                    self.more()
                text += self.buffer
                self.buffer.clear()
            while (end := text.find(b"\n")) >= 0:
                yield bytes(text[:end]).rstrip(b"\r")
                del text[: end + 1]
            if len(text) > LINE_MOST:
                raise ProtocolError("a line is too long")


def read_known(known):
    """What the configuration knows of the list: (its last number, its events)."""
    return int(known.get("index") or 0), [read_event(event) for event in known.get("updates") or ()]


class Coordinator:
    """told(number, whole, entries) hears of each event, in the order of their numbers, from any thread."""

    def __init__(self, address, known, told, seed, log, counters):
        self.address, self.told, self.log, self.counters = address, told, log, counters
        self.sock, self.stopping, self.lock, self.hurry = None, False, Lock(), Event()
        self.chance, self.last, self.pause = Random(f"{seed}/coordinator"), 0, PAUSE_FIRST
        self.gap_at = -1  # the number before a gap that has been asked for
        index, events = known
        for event in events:
            self.tell(event)
        self.last = max(self.last, index)

    def tell(self, event):
        """Hands an event on, unless it was told before."""
        number, whole, entries = event
        with self.lock:
            if number <= self.last:
                return
            self.last = number
            self.told(number, whole, entries)
        self.counters.add("list-events")

    def move(self, address, events):
        """From another thread: what a new configuration knows, and where to follow from now on."""
        for event in events:
            # Numbers go on: behind a gap, the stream is asked for what lies in it.
            if event[0] > self.last + 1 and not event[1]:
                break
            self.tell(event)
        if address != self.address:
            self.address, self.pause = address, PAUSE_FIRST
            self.hang_up()

    def hang_up(self):
        """Ends the connection that is open, from another thread."""
        self.hurry.set()
        if self.sock:
            try:
                self.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def stop(self):
        """Ends the thread."""
        self.stopping = True
        self.hang_up()

    def run(self):
        """The thread: connects again and again, until it is stopped."""
        while not self.stopping:
            reason, detail, began = "closed", None, time.monotonic()
            try:
                self.follow()
            except EOFError:
                pass
            except ProtocolError as error:
                reason, detail = "malformed", str(error)
                self.counters.add("list-events-malformed")
            except TimeoutError:
                reason = "silent"
            except OSError as error:
                reason, detail = "unreachable", error.strerror
            except Exception as error:  # the list that stands stays, and the stream is opened again
                reason, detail = "fault", f"{type(error).__name__}: {error}"
            if self.stopping:
                reason = "stop"
            self.counters.add(f"coordinator-connections-ended-{reason}")
            self.log.line("coordinator-connection-ended", reason=reason, detail=detail, last=self.last)
            if time.monotonic() - began > LIVED_S:
                self.pause = PAUSE_FIRST
            if not self.hurry.wait(self.pause * self.chance.uniform(0.5, 1.0)):
                self.pause = min(PAUSE_MOST, self.pause * 2)

    def follow(self):
        """One connection, until it ends or falls silent."""
        self.hurry.clear()
        address = self.address
        with socket.create_connection(address, timeout=CONNECT_S) as sock:
            self.sock = sock
            if address != self.address:
                return  # moved while it was dialled
            sock.settimeout(SILENT_S)
            sock.sendall(
                b"GET /v2/stream HTTP/1.1\r\nHost: %b:%d\r\nAccept: text/event-stream\r\n"
                b"Cache-Control: no-cache\r\nLast-Event-ID: %d\r\n\r\n"
                % (address[0].encode(), address[1], self.last)
            )
            lines = Lines(sock.recv)
            lines.head()
            data, size = [], 0
            for line in lines.body():
                if not line:
                    if data:
                        self.event(b"\n".join(data))
                        data, size = [], 0
                elif line.startswith(b"data:"):
                    data.append(line[5:].removeprefix(b" "))
                    size += len(line)
                    if size > EVENT_MOST:
                        raise ProtocolError("an event is too long")

    def event(self, data):
        """One event of the stream; ProtocolError where it cannot be read or does not follow."""
        try:
            event = read_event(orjson.loads(data))
        except orjson.JSONDecodeError:
            raise ProtocolError("an event is no JSON") from None
        number, whole, _ = event
        if self.last and number > self.last + 1 and not whole and self.gap_at != self.last:
            # What lies in between may be the end of an engine. One that stays a gap when asked for is none.
            self.gap_at = self.last
            raise ProtocolError(f"event {number} came after {self.last}")
        self.tell(event)
        self.pause = PAUSE_FIRST
