"""`wickvane flows`: sums of what spool files hold, or of what comes in on a port, as tables or JSON."""

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

BY = ("side", "group", "tenant", "engine", "reason")
CONNECTIONS_MOST, CHUNK = 64, 65_536
HEADS = {
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
    """Words that the command cannot work with."""


def main_thread():
    return threading.current_thread() is threading.main_thread()


def span(text):
    found = DURATION_PATTERN.match(text)
    if not found or float(found[1]) <= 0:
        raise UsageError(f'{text}: expected a time such as "10s"')
    return max(1, round(float(found[1]) * MILLISECONDS_BY_UNIT[found[2]]))


def files_of(paths):
    for path in paths:
        if os.path.isdir(path):
            names = sorted(name for name in os.listdir(path) if name.endswith(".ipfix"))
            yield from (os.path.join(path, name) for name in names)
        else:
            yield path


class Sums:
    """All tables at once, from events of any number of readers."""

    def __init__(self, by, step):
        self.collected, self.notes = Collected(), []
        self.tables = [Table(word) for word in by] + ([Table("time", step)] if step else [])

    def take(self, events):
        for event in events:
            self.collected.take(event, self.fresh)

    def fresh(self, record):
        for table in self.tables:
            table.add(record)

    def file(self, path, enterprise):
        """A spool's file: what is cut or spoilt is left out, and said."""
        reader, at, spoilt = ipfix.Reader(enterprise), 0, 0
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
                # The first message has the templates, and no checksum of its own.
                if at and not ipfix.checksum_holds(data):
                    spoilt += 1
                else:
                    try:
                        self.take(list(reader.message(data)))
                    except ProtocolError as error:
                        self.notes.append(f"{path}: octet {at}: {error}")
                at += size
        if spoilt:
            self.notes.append(f"{path}: {spoilt} messages are spoilt, and left out")

    def live(self, address, udp, seconds, enterprise):
        """Takes in what comes on a port, for so many seconds or until interrupted."""
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
        # A flag, not an exception: one raised in the middle of a message would lose it, and a shell that
        # starts this in the background has interrupts ignored.
        ended = []
        before = (
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
                        if len(readers) >= CONNECTIONS_MOST:
                            conn.close()
                            continue
                        readers[conn] = ipfix.Reader(enterprise)
                        selector.register(conn, selectors.EVENT_READ)
                    else:
                        self.stream(key.fileobj, readers, selector)
        finally:
            for number, handler in before:
                signal.signal(number, handler)
            for conn in readers if not udp else ():
                conn.close()
            listening.close()

    def stream(self, conn, readers, selector):
        try:
            data = conn.recv(CHUNK)
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
        try:
            data, peer = sock.recvfrom(CHUNK)
        except OSError:
            return
        nine = data[:2] == b"\0\x09"
        place = peer, nine
        if place not in readers:
            if len(readers) >= CONNECTIONS_MOST:
                del readers[next(iter(readers))]
            readers[place] = netflow9.NetFlow9Reader() if nine else ipfix.Reader(enterprise)
        try:
            self.take(readers[place].message(data))
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
    try:
        from rich.console import Console
        from rich.table import Table as Drawn
    except ImportError:
        raise UsageError(
            "tables need the package rich (requirements-parts.txt); --json does without"
        ) from None
    console = Console(file=out, width=None if out.isatty() else 160)
    for name, rows in shown.items():
        if not name.startswith("by-"):
            continue
        by = name.removeprefix("by-")
        drawn = Drawn(by, *(HEADS[field] for field in SUMMED), title=f"by {by}")
        for column in drawn.columns[1:]:
            column.justify = "right"
        for row in rows:
            place = row[by]
            if name == "by-time":
                place = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(place / 1000)) + f".{place % 1000:03}"
            drawn.add_row(str(place), *(f"{row[field]:,}" for field in SUMMED))
        console.print(drawn)
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


def main(asked, out=sys.stdout):
    """The command; asked: docopt's words. 0, or 1 where anything could not be read."""
    try:
        by = asked["--by"].split(",") if asked["--by"] else list(BY)
        for word in by:
            if word not in (*BY, "client"):
                raise UsageError(f"--by {word}: expected some of {', '.join((*BY, 'client'))}")
        step = span(asked["--step"]) if asked["--step"] else None
        enterprise = asked["--enterprise"] or str(DEFAULT_ENTERPRISE)
        if not enterprise.isdigit():
            raise UsageError(f"--enterprise {enterprise}: expected a number")
        sums = Sums(by, step)
        if asked["--listen"]:
            try:
                address = read_address(asked["--listen"])
            except ValueError:
                raise UsageError(f"--listen {asked['--listen']}: expected an IP address and port") from None
            sums.live(address, asked["--udp"], span(asked["--for"]) / 1000, int(enterprise))
        for path in files_of(asked["FILE"]):
            sums.file(path, int(enterprise))
        shown = sums.shown()
        if asked["--json"]:
            out.write(orjson.dumps(shown, default=str).decode() + "\n")
        else:
            show(shown, out)
        return 1 if sums.notes else 0
    except (UsageError, OSError) as error:
        print(f"wickvane: {error}", file=sys.stderr)
        return 2
