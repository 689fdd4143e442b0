"""The endpoint list from the configuration and from the coordinator's stream of server-sent events."""

import math
import select
import socket
import time
from random import Random
from threading import Event, Lock

import orjson

from wickvane.errors import ProtocolError
from wickvane.events import EngineState
from wickvane.net.input_tracker import InputReader, UntrackedInput

STATES = {"Ready": EngineState.READY, "Terminating": EngineState.DRAINING, "Gone": EngineState.GONE}
MAX_LINE_SIZE, MAX_EVENT_SIZE, MAX_HEAD_SIZE = 1 << 20, 1 << 21, 16_384
CONNECT_TIMEOUT_S, READ_TIMEOUT_S = 0.5, 1.6  # the coordinator sends a comment each second
# The backoff is short because an event counts as delivered two seconds after the coordinator sent it, also if
# the stream was broken at that time. It starts anew after a connection that lasted STABLE_CONNECTION_S.
MIN_BACKOFF_S, MAX_BACKOFF_S, STABLE_CONNECTION_S = 0.02, 0.25, 5.0


def address_of(text):
    """Returns (host, port) of "host:port"; raises ValueError for any other text."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(text)
    return host, int(port)


def read_entry(entry):
    """Converts an engine's entry to the tuple that the decider takes; raises ProtocolError if invalid."""
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
        in_range = all(math.isfinite(number) and 0 <= number < 1e14 for number in (started, weight))
        if not in_range or not isinstance(cell, int):
            raise ValueError("a number is out of range")
        return name, address, state, zone, kind, cell, started, float(weight)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ProtocolError(f"an entry cannot be read: {error}") from None


def read_event(event):
    """Returns (index, is_complete, entries) of an event; raises ProtocolError if it is invalid."""
    try:
        index, change = event["index"], event["endpoints"]
        if not isinstance(index, int) or isinstance(index, bool) or not 0 <= index < 1 << 62:
            raise ValueError("index")
        return index, bool(change.get("snapshot")), [read_entry(entry) for entry in change["endpoints"]]
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ProtocolError(f"an event cannot be read: {error}") from None


class LineReader:
    """Reads the head of an HTTP response and the lines of its body, whose encoding may be chunked.

    recv: returns up to a given number of octets, and none at the end.
    """

    def __init__(self, recv):
        self.recv, self.buffer, self.chunked, self.remaining = recv, bytearray(), False, 0

    def read_more(self):
        """Adds received octets to the buffer; raises EOFError at the end."""
        data = self.recv(65_536)
        if not data:
            raise EOFError
        self.buffer += data

    def read_line(self, max_size):
        """Returns the next line without its end; chunks are not decoded. Raises ProtocolError if too long."""
        while (end := self.buffer.find(b"\n")) < 0:
            if len(self.buffer) > max_size:
                raise ProtocolError("a line is too long")
            self.read_more()
        line = bytes(self.buffer[:end]).rstrip(b"\r")
        del self.buffer[: end + 1]
        return line

    def read_head(self):
        """Reads the head of the response; raises ProtocolError if its status is not 200."""
        status, total, fields = self.read_line(MAX_HEAD_SIZE), 0, {}
        while line := self.read_line(MAX_HEAD_SIZE):
            total += len(line)
            if total > MAX_HEAD_SIZE:
                raise ProtocolError("the head is too long")
            name, _, value = line.partition(b":")
            fields[name.strip().lower()] = value.strip().lower()
        words = status.split(None, 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1."):
            raise ProtocolError("not an HTTP response")
        if words[1] != b"200":
            raise ProtocolError(f"status {words[1][:8].decode('ascii', 'replace')}")
        self.chunked = fields.get(b"transfer-encoding") == b"chunked"

    def body_lines(self):
        """Yields the lines of the body; raises EOFError at its end, ProtocolError if it is malformed."""
        text = bytearray()
        while True:
            if self.chunked:
                size = self.read_line(64).split(b";")[0]
                try:
                    chunk_size = int(size, 16)
                except ValueError:
                    raise ProtocolError("a chunk has no length") from None
                if chunk_size == 0:
                    raise EOFError
                if chunk_size > MAX_EVENT_SIZE:
                    raise ProtocolError("a chunk is too long")
                while len(self.buffer) < chunk_size + 2:
                    self.read_more()
                text += self.buffer[:chunk_size]
                del self.buffer[: chunk_size + 2]
            else:
                if not self.buffer:
                    self.read_more()
                text += self.buffer
                self.buffer.clear()
            while (end := text.find(b"\n")) >= 0:
                yield bytes(text[:end]).rstrip(b"\r")
                del text[: end + 1]
            if len(text) > MAX_LINE_SIZE:
                raise ProtocolError("a line is too long")


def read_known(known):
    """Returns the endpoint list of the configuration, as (index of its last event, its events)."""
    return int(known.get("index") or 0), [read_event(event) for event in known.get("updates") or ()]


class Coordinator(InputReader):
    """Subscribes to the coordinator's endpoint list, and reconnects with backoff and jitter.

    known: what read_known() returns. on_event(index, is_complete, entries) is called for each event, in the
    order of their indices, from any thread. last: index of the last event. input_tracker: knows when
    everything that the coordinator has sent is delivered; None if no decision depends on it.
    """

    def __init__(self, address, known, on_event, seed, log, counters, input_tracker=None):
        self.input = input_tracker or UntrackedInput()
        self.address, self.on_event, self.log, self.counters = address, on_event, log, counters
        self.sock, self.stopping, self.lock, self.reconnect_now = None, False, Lock(), Event()
        self.random, self.last, self.backoff_s = Random(f"{seed}/coordinator"), 0, MIN_BACKOFF_S
        self.gap_at = -1  # index before a gap for which the stream has been opened again
        index, events = known
        for event in events:
            self.deliver(event)
        self.last = max(self.last, index)

    def deliver(self, event):
        """Passes an event to on_event, unless its index shows that it was delivered before.

        The numbering of this process continues when another coordinator takes over. One that numbered anew
        could not be told from one that repeats itself, so that its events are ignored up to the last index.
        """
        index, is_complete, entries = event
        with self.lock:
            if index <= self.last:
                self.counters.add("list-events-repeated")
                return
            self.last = index
            self.on_event(index, is_complete, entries)
        self.counters.add("list-events")

    def move(self, address, events):
        """Takes in the events of a new configuration, and subscribes at its address; from another thread."""
        for event in events:
            # Indices are consecutive: the events in a gap are requested from the stream.
            if event[0] > self.last + 1 and not event[1]:
                break
            self.deliver(event)
        if address != self.address:
            self.address, self.backoff_s = address, MIN_BACKOFF_S
            self.disconnect()

    def disconnect(self):
        """Ends the open connection and skips the backoff, from another thread."""
        self.reconnect_now.set()
        if self.sock:
            try:
                self.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def stop(self):
        """Ends the thread, from another thread."""
        self.stopping = True
        self.disconnect()

    def run(self):
        """The thread: connects, and connects again after each failure, until it is stopped."""
        while not self.stopping:
            reason, detail, began = "closed", None, time.monotonic()
            try:
                self.subscribe()
            except EOFError:
                pass
            except ProtocolError as error:
                reason, detail = "malformed", str(error)
                self.counters.add("list-events-malformed")
            except TimeoutError:
                reason = "silent"
            except OSError as error:
                reason, detail = "unreachable", error.strerror
            except Exception as error:  # the endpoint list stays as it is, and the stream is opened again
                reason, detail = "fault", f"{type(error).__name__}: {error}"
            if self.stopping:
                reason = "stop"
            self.counters.add(f"coordinator-connections-ended-{reason}")
            self.log.line("coordinator-connection-ended", reason=reason, detail=detail, last=self.last)
            if time.monotonic() - began > STABLE_CONNECTION_S:
                self.backoff_s = MIN_BACKOFF_S
            if not self.reconnect_now.wait(self.backoff_s * self.random.uniform(0.5, 1.0)):
                self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)

    def subscribe(self):
        """Opens a connection and delivers its events until it ends.

        Raises EOFError at the end of the stream, ProtocolError if the stream is malformed, TimeoutError if
        nothing is received for READ_TIMEOUT_S, and OSError.
        """
        self.reconnect_now.clear()
        address = self.address
        with socket.create_connection(address, timeout=CONNECT_TIMEOUT_S) as sock:
            self.sock = sock
            if address != self.address:
                return  # the address was changed while the connection was being opened
            sock.sendall(
                b"GET /v2/stream HTTP/1.1\r\nHost: %b:%d\r\nAccept: text/event-stream\r\n"
                b"Cache-Control: no-cache\r\nLast-Event-ID: %d\r\n\r\n"
                % (address[0].encode(), address[1], self.last)
            )
            sock.setblocking(False)
            self.input.add(self, sock.fileno())
            try:
                self.read_events(LineReader(lambda size: self.receive(sock, size)))
            finally:
                self.input.remove(self, sock.fileno())

    def receive(self, sock, size):
        """Waits for octets and returns them, none at the end; raises TimeoutError and OSError.

        Everything that was received so far must have been delivered."""
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        self.input.deactivate(self)
        ready = poll.poll(READ_TIMEOUT_S * 1000)
        self.input.activate(self)
        if not ready:
            raise TimeoutError
        return sock.recv(size)

    def read_events(self, reader):
        """Delivers the events of a response until it ends; raises the errors of subscribe()."""
        reader.read_head()
        data, size = [], 0
        for line in reader.body_lines():
            if not line:
                if data:
                    self.handle_event(b"\n".join(data))
                    data, size = [], 0
            elif line.startswith(b"data:"):
                data.append(line[5:].removeprefix(b" "))
                size += len(line)
                if size > MAX_EVENT_SIZE:
                    raise ProtocolError("an event is too long")

    def handle_event(self, data):
        """Delivers an event of the stream; raises ProtocolError if it is invalid or the first after a gap."""
        try:
            event = read_event(orjson.loads(data))
        except orjson.JSONDecodeError:
            raise ProtocolError("an event is not valid JSON") from None
        index, is_complete, _ = event
        if self.last and index > self.last + 1 and not is_complete and self.gap_at != self.last:
            # A missing event may be the removal of an engine, so the stream is opened again from the last
            # event. If the gap is still there, the coordinator skipped those indices and no event is missing.
            self.gap_at = self.last
            raise ProtocolError(f"event {index} was received after event {self.last}")
        self.deliver(event)
        self.backoff_s = MIN_BACKOFF_S
