"""The command `wickvane flows`: sums of spool files or of records received on a port, as tables or JSON."""

import os
import selectors
import signal
import socket
import sys
import threading
import time

import orjson

from wickvane.errors import ProtocolError
from wickvane.flows import ipfix, netflow9
from wickvane.flows.collected_flows import SUMMED, Collected, Table
from wickvane.flows.extension import DEFAULT_ENTERPRISE
from wickvane.parts import DURATION_PATTERN, MILLISECONDS_BY_UNIT, read_address

GROUPINGS = ("side", "group", "tenant", "engine", "reason")
MAX_CONNECTIONS, CHUNK_SIZE = 64, 65_536
COLUMN_TITLES = {
    "deltaFlowCount": "flows",
    "octetDeltaCount": "octets",
    "reverseOctetDeltaCount": "back",
    "messageDeltaCount": "messages",
    "reverseMessageDeltaCount": "back",
    "queriesFinished": "finished",
    "queriesDeferred": "deferred",
    "queriesKilled": "killed",
    "queriesLeft": "left",
    "submissionsFirst": "first",
    "submissionsFurther": "further",
}


class UsageError(Exception):
    """The arguments of the command are invalid."""


def main_thread():
    return threading.current_thread() is threading.main_thread()


def parse_milliseconds(text):
    """Returns the milliseconds of a duration such as "10s". Raises UsageError."""
    found = DURATION_PATTERN.match(text)
    if not found or float(found[1]) <= 0:
        raise UsageError(f'{text}: expected a time such as "10s"')
    return max(1, round(float(found[1]) * MILLISECONDS_BY_UNIT[found[2]]))


def files_of(paths):
    """Yields all files, with those of directories in order."""
    for path in paths:
        if os.path.isdir(path):
            names = sorted(name for name in os.listdir(path) if name.endswith(".ipfix"))
            yield from (os.path.join(path, name) for name in names)
        else:
            yield path


class FlowSums:
    """All tables of sums, fed with the events of any number of readers."""

    def __init__(self, by, step):
        self.collected, self.notes = Collected(), []
        self.tables = [Table(word) for word in by] + ([Table("time", step)] if step else [])

    def take(self, events):
        """Adds a reader's events to all tables."""
        for event in events:
            self.collected.take(event, self.add_record)

    def add_record(self, record):
        for table in self.tables:
            table.add(record)

    def read_file(self, path, enterprise):
        """Adds a spool file; truncated or corrupt messages are left out and noted."""
        reader, at, corrupt = ipfix.Reader(enterprise), 0, 0
        with open(path, "rb") as file:
            while True:
                head = file.read(ipfix.SET_HEADER.size)
                if not head:
                    break
                version, size = (
                    ipfix.SET_HEADER.unpack(head) if len(head) == ipfix.SET_HEADER.size else (0, 0)
                )
                if version != ipfix.VERSION or size < ipfix.HEADER.size:
                    self.notes.append(f"{path}: no IPFIX message at octet {at}: the rest is left out")
                    break
                data = head + file.read(size - len(head))
                if len(data) < size:
                    self.notes.append(f"{path}: cut at octet {at + len(data)}, inside a message")
                    break
                # The first message holds the templates and has no checksum.
                if at and not ipfix.checksum_holds(data):
                    corrupt += 1
                else:
                    try:
                        self.take(list(reader.message(data)))
                    except ProtocolError as error:
                        self.notes.append(f"{path}: octet {at}: {error}")
                at += size
        if corrupt:
            self.notes.append(f"{path}: {corrupt} corrupt messages were skipped")

    def listen(self, address, udp, seconds, enterprise):
        """Receives records on a port for `seconds` or until interrupted."""
        selector, until = selectors.DefaultSelector(), time.monotonic() + seconds
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listening = socket.socket(family, socket.SOCK_DGRAM if udp else socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(address)
        if not udp:
            listening.listen()
        listening.setblocking(False)
        readers = {}
        selector.register(listening, selectors.EVENT_READ)
        # The signal sets a flag, because an exception raised within a message would lose it. The handler is
        # set explicitly because a shell starts background commands with interrupts ignored.
        ended = []
        handlers = (
            [
                (number, signal.signal(number, lambda *_: ended.append(1)))
                for number in (signal.SIGINT, signal.SIGTERM)
            ]
            if main_thread()
            else []
        )
        try:
            while (left := until - time.monotonic()) > 0 and not ended:
                for key, _ in selector.select(min(left, 0.5)):
                    if udp:
                        self.datagram(listening, readers, enterprise)
                    elif key.fileobj is listening:
                        conn, _ = listening.accept()
                        conn.setblocking(False)
                        if len(readers) >= MAX_CONNECTIONS:
                            conn.close()
                            continue
                        readers[conn] = ipfix.Reader(enterprise)
                        selector.register(conn, selectors.EVENT_READ)
                    else:
                        self.stream(key.fileobj, readers, selector)
        finally:
            for number, handler in handlers:
                signal.signal(number, handler)
            for conn in readers if not udp else ():
                conn.close()
            listening.close()

    def stream(self, conn, readers, selector):
        """Reads a TCP connection; closes it at its end or on an error."""
        try:
            data = conn.recv(CHUNK_SIZE)
            if data:
                self.take(readers[conn].feed(data))
                return
        except BlockingIOError:
            return
        except (OSError, ProtocolError) as error:
            self.notes.append(f"a connection ended: {error}")
        selector.unregister(conn)
        del readers[conn]
        conn.close()

    def datagram(self, sock, readers, enterprise):
        """Reads one datagram with the reader of its sender and format."""
        try:
            data, peer = sock.recvfrom(CHUNK_SIZE)
        except OSError:
            return
        is_netflow9 = data[:2] == b"\0\x09"
        key = peer, is_netflow9
        if key not in readers:
            if len(readers) >= MAX_CONNECTIONS:
                del readers[next(iter(readers))]
            readers[key] = netflow9.NetFlow9Reader() if is_netflow9 else ipfix.Reader(enterprise)
        try:
            self.take(readers[key].message(data))
        except ProtocolError as error:
            self.collected.malformed += 1
            if len(self.notes) < 100:
                self.notes.append(f"a datagram of {peer[0]}:{peer[1]}: {error}")

    def shown(self):
        found = self.collected
        return {
            "records": found.records,
            "repeated": found.repeated,
            "lost": found.lost,
            "without-template": found.unknown,
            "malformed": found.malformed,
            **{f"by-{table.by}": table.shown() for table in self.tables},
            "statistics": list(found.statistics.values()),
            "not-sent": list(found.not_sent.values()),
            "notes": self.notes,
        }


def show(shown, out):
    """Prints the sums as tables. Raises UsageError without the package rich."""
    try:
        from rich.console import Console
        from rich.table import Table as RichTable
    except ImportError:
        raise UsageError(
            "tables need the package rich (requirements-parts.txt); --json works without it"
        ) from None
    console = Console(file=out, width=None if out.isatty() else 160)
    for name, rows in shown.items():
        if not name.startswith("by-"):
            continue
        by = name.removeprefix("by-")
        table = RichTable(by, *(COLUMN_TITLES[field] for field in SUMMED), title=f"by {by}")
        for column in table.columns[1:]:
            column.justify = "right"
        for row in rows:
            key = row[by]
            if name == "by-time":
                key = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(key / 1000)) + f".{key % 1000:03}"
            table.add_row(str(key), *(f"{row[field]:,}" for field in SUMMED))
        console.print(table)
    console.print(
        ", ".join(
            f"{name} {shown[name]:,}"
            for name in ("records", "repeated", "lost", "without-template", "malformed")
        )
    )
    for record in shown["statistics"]:
        console.print(
            "collector {collector}: told {exportedFlowRecordTotalCount:,} records in "
            "{exportedMessageTotalCount:,} messages, {repeatedMessageTotalCount:,} of them again; "
            "not sent {notSentFlowTotalCount:,}; folded {foldedFlowTotalCount:,}".format(**record)
        )
    for record in shown["not-sent"]:
        console.print("not sent of {resourceGroup}: {notSentFlowTotalCount:,} records".format(**record))
    for note in shown["notes"]:
        console.print(note, style="bold", highlight=False)


def main(arguments, out=sys.stdout):
    """Runs the command with docopt's arguments. Returns 0, 1 if anything was unreadable, or 2 on an error."""
    try:
        by = arguments["--by"].split(",") if arguments["--by"] else list(GROUPINGS)
        for word in by:
            if word not in (*GROUPINGS, "client"):
                raise UsageError(f"--by {word}: expected some of {', '.join((*GROUPINGS, 'client'))}")
        step = parse_milliseconds(arguments["--step"]) if arguments["--step"] else None
        enterprise = arguments["--enterprise"] or str(DEFAULT_ENTERPRISE)
        if not enterprise.isdigit():
            raise UsageError(f"--enterprise {enterprise}: expected a number")
        sums = FlowSums(by, step)
        if arguments["--listen"]:
            try:
                address = read_address(arguments["--listen"])
            except ValueError:
                raise UsageError(
                    f"--listen {arguments['--listen']}: expected an IP address and port"
                ) from None
            sums.listen(
                address, arguments["--udp"], parse_milliseconds(arguments["--for"]) / 1000, int(enterprise)
            )
        for path in files_of(arguments["FILE"]):
            sums.read_file(path, int(enterprise))
        shown = sums.shown()
        if arguments["--json"]:
            out.write(orjson.dumps(shown, default=str).decode() + "\n")
        else:
            show(shown, out)
        return 1 if sums.notes else 0
    except (UsageError, OSError) as error:
        print(f"wickvane: {error}", file=sys.stderr)
        return 2
