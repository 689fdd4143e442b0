"""Puts the parts together, starts their threads, and ends them in order."""

import ctypes
import gc
import os
import signal
import sys
import threading
import time
import traceback
from hashlib import blake2b

import orjson

from wickvane.door import Book
from wickvane.net.clock import Clock
from wickvane.net.coordinator import Coordinator, Malformed, address_of, read_known
from wickvane.net.counters import Counters
from wickvane.net.decider import Decider
from wickvane.net.exchange import Exchange
from wickvane.net.lines.links import Links
from wickvane.net.listener import SPARE, Listener
from wickvane.net.log import Log
from wickvane.net.postgres.session import Session
from wickvane.net.statement import Reader
from wickvane.net.threads import Stopped, Threads

STACK = 128 * 1024
# Each of many threads that wait for the interpreter wakes as often as this to ask for it: with a hundred of
# them, a short interval spends the core on waking. None computes for long, so a long one delays nobody.
SWITCH_S = 0.5
OTHERS = 12  # descriptors that are neither clients' nor engines'
COMING_S = 0.75  # connections and requests go on coming after SIGTERM
KILL_AFTER, TIMEOUT_MOST = 7_000, 30_000  # SIGKILL comes so long after the longest queue timeout, itself cut
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP}
COLLECT = 5_000, 20, 20
RELOADS, RELOAD_S = 10, 0.1  # a file that is being written when its signal comes is read again


M_ARENA_MAX = -8  # of malloc.h


class Unstartable(Exception):
    def __init__(self, text, code):
        super().__init__(text)
        self.code = code


def configuration(path):
    try:
        with open(path, "rb") as file:
            found = orjson.loads(file.read())
    except OSError as error:
        raise Unstartable(f"the configuration {path} cannot be read: {error.strerror}", 2) from None
    except orjson.JSONDecodeError as error:
        raise Unstartable(f"the configuration {path} is no JSON: {error}", 2) from None
    return found


def understood(found, fronts=(), members=None):
    """The parts of a configuration in the form that is worked with; Unstartable where one cannot be used.
    members: that part, with which no coordinator is needed unless it overrides what one lists."""
    try:
        settings, limits = found["settings"], found.get("limits") or {}
        alone = members is not None and not members.terms.overrides
        coordinator = None if alone else address_of(found["coordinator"])
        book = Book(settings, fronts)
        if members is not None:
            book.deployment = book.deployment._replace(weighs=True)
        return (book, settings["limits"], address_of(found["listen"]),
                int(limits.get("sockets") or 1024), coordinator,
                read_known(found.get("known") or {}))
    except Malformed as error:
        raise Unstartable(f"the configuration's list of engines: {error}", 2) from None
    except (KeyError, IndexError) as error:
        raise Unstartable(f"the configuration lacks, or does not know, {error}", 2) from None
    except (TypeError, ValueError, AttributeError) as error:
        raise Unstartable(f"the configuration has a value of the wrong form: {error}", 2) from None


def fixed(found):
    """Marks of what is settled at the start, to tell whether a later configuration has it otherwise."""
    return {part: blake2b(orjson.dumps(found.get(part), option=orjson.OPT_SORT_KEYS)).digest()
            for part in ("name", "listen", "limits", "settings")}


def one_arena():
    """The allocator's many arenas are for threads that run at once. Here only one does, and each arena would
    keep what its busiest moment took: memory that grows with every new set of threads."""
    try:
        ctypes.CDLL(None).mallopt(M_ARENA_MAX, 1)
    except (OSError, AttributeError):
        pass  # another C library


class Service:
    def __init__(self, found, log_to=1, parts=None):
        self.clock, self.counters, self.stopping = Clock(), Counters(), threading.Event()
        self.log = Log(log_to, self.clock)
        self.threads = Threads(self.log, self.counters)
        parts = parts or {}
        self.tds_part, fronts, speaks = parts.get("tds"), (), None
        if self.tds_part:
            from wickvane.net.tds import fronts as tds

            fronts, speaks = tds.fronts(self.tds_part, found), tds.speaks(self.tds_part)
        self.members_part, self.members = parts.get("members"), None
        self.book, limits, self.address, sockets, coordinator, known = understood(
            found, fronts, self.members_part)
        self.name, seed, self.fixed = found.get("name") or "", found.get("seed", 0), fixed(found)
        self.reader = Reader(self.book)
        self.exchange = Exchange(self.clock, self.counters)
        self.exchange.groups = self.book.deployment.groups
        self.flows = self.export(parts.get("flows"), seed)
        self.accounts = self.flows and self.flows.accounts
        try:
            self.storms, made, self.gate = parts.get("storms"), Decider, None
            if self.storms:
                from wickvane.net.storms import Watching as made
            self.decider = made(self.exchange, self.book, seed, self.clock, self.log, self.counters,
                                self.accounts, speaks)
            if self.storms:
                self.gate = self.decider.watch(self.storms, found.get("limits") or {}, seed)
            # One third for engines; what is left, less a few for the rest, for clients, who are promised one.
            self.links = Links(self.exchange, limits, max(8, sockets // 3), self.clock, self.log,
                               self.counters, self.accounts, self.threads)
        except (TypeError, ValueError, AttributeError) as error:
            raise Unstartable(f"the configuration has a value of the wrong form: {error}", 2) from None
        if self.members_part:
            self.members = self.membership(self.members_part)
        self.coordinator, self.known = None, known
        if coordinator:
            listed = self.members.streamed if self.members else self.listed
            # With files, what is known is told once what was at work is.
            self.coordinator = Coordinator(coordinator, (0, []) if self.members else known, listed, seed,
                                           self.log, self.counters)
        self.most_clients = max(8, sockets - sockets // 3 - SPARE - OTHERS)
        self.listeners, self.tds = [], None
        if self.tds_part:
            self.tds = tds.door(self.tds_part)
            self.links.attention_time = self.tds_part.acknowledge
            if self.tds_part.listen:
                # Of the descriptors that clients may hold, some are these clients'.
                self.most_clients = max(8, self.most_clients - self.tds_part.connections - SPARE)

    def listed(self, number, whole, entries, back=()):
        self.exchange.inbox.put(("listed", whole, entries), always=True)

    def membership(self, part):
        """The list from watched files, where the parts document has it."""
        from wickvane.members.checks import facts_of
        from wickvane.members.source import Source

        gateway, sent = self.decider.gateway, self.book.sent
        return Source(part, facts_of(self.book), self.listed, self.clock, self.log, self.counters,
                      lambda: gateway.used * gateway.gateways, lambda name: sent.get(name, 0) > 0, self.name)

    def export(self, part, seed):
        """The exporter of flows, where the parts document has it; nothing of it is imported otherwise."""
        if part is None:
            return None
        from wickvane.flows.export import Exporter, Unusable

        try:
            return Exporter(part, self.clock, self.log, self.counters, self.book.group_names,
                            self.book.tenants.index, seed)
        except Unusable as error:
            raise Unstartable(f"the parts document: {error}", 2) from None

    def start(self):
        one_arena()
        threading.stack_size(STACK)
        threading.excepthook = self.died
        sys.setswitchinterval(SWITCH_S)
        # What is there for good is not looked through again and again by the collector of cycles.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*COLLECT)
        self.listen(self.address, self.most_clients, Session)
        if self.tds and self.tds_part.listen:
            from wickvane.net.tds.fronts import session

            self.listen(self.tds_part.listen, self.tds_part.connections, session(self))
        self.writer = self.thread(self.log.run, "log")
        self.thread(self.decider.run, "decider")
        self.thread(self.links.run, "keeper")
        if self.members:
            self.members.start(self.known[1] if self.coordinator else ())
            if self.coordinator:
                self.coordinator.last = max(self.known[0], *(event[0] for event in self.known[1]), 0)
        if self.coordinator:
            self.follower = self.thread(self.coordinator.run, "coordinator")
        for listener in self.listeners:
            self.thread(listener.run, "listener")
        if self.flows:
            self.flows.start()
        self.log.line("ready", name=self.name, listen=f"{self.address[0]}:{self.address[1]}", pid=os.getpid())

    def listen(self, address, most, session):
        try:
            self.listeners.append(Listener(address, self, most, session, self.gate))
        except OSError as error:
            place = f"{address[0]}:{address[1]}"
            raise Unstartable(f"cannot listen on {place}: {error.strerror}", 1) from None

    def thread(self, work, name):
        """One of those that nothing works without: its death ends the program, and is seen."""
        def guarded():
            try:
                work()
            except BaseException:
                os.write(2, traceback.format_exc().encode())
                self.log.line("thread-died", thread=name)
                self.log.close()
                if name != "log":
                    self.writer.join(1.0)
                os._exit(70)

        return self.threads.needed(guarded, name)

    def died(self, hook):
        # One of the many threads of a single peer: its own guard should have met this.
        self.counters.add("faults")
        at = traceback.extract_tb(hook.exc_traceback)[-1]
        error = f"{hook.exc_type.__name__}: {hook.exc_value}"
        self.log.line("fault", error=error, where=f"{at.name}:{at.lineno}")

    def run(self, path=None, parts_path=None):
        # Before any thread starts, so that each inherits it and only this one is told.
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
        try:
            self.start()
        except Stopped as stopped:
            self.log.line("stopped", reason="no-thread", detail=str(stopped))
            self.log.pump()
            return 0
        again = 0
        while True:
            got = signal.sigtimedwait(SIGNALS, RELOAD_S) if again else signal.sigwaitinfo(SIGNALS)
            if got is None or got.si_signo == signal.SIGHUP:
                again = 0 if self.reload(path, parts_path) else (again or RELOADS) - 1
            elif got.si_signo == signal.SIGUSR1:
                self.show_counters("asked")
            else:
                break
        self.stop()
        return 0

    def reload(self, path, parts_path=None):
        """Takes in what may change while queries are open: the coordinator, what is known of its list, and
        the parts document. All is read and checked before any of it acts."""
        flows = tds = None
        try:
            found = configuration(path)
            *_, coordinator, (_, events) = understood(found, (), self.members_part)
            kept = [part for part, mark in fixed(found).items() if mark != self.fixed[part]]
            if parts_path:
                from wickvane import parts

                document = parts.read(parts_path)
                flows = document.get("flows")
                if self.tds_part or document.get("tds"):
                    from wickvane.net.tds import fronts as tds

                    context = tds.prepare(self.tds_part, document.get("tds"))
                if (flows is None) != (self.flows is None):
                    raise parts.Unusable(f"{parts_path}: flows: turning it on or off needs a restart")
                if document.get("members") != self.members_part:
                    raise parts.Unusable(f"{parts_path}: members: a change of it needs a restart")
                if document.get("storms") != self.storms:
                    raise parts.Unusable(f"{parts_path}: storms: a change of it needs a restart")
                secure = self.flows.prepare(flows) if flows else None
        except Exception as error:  # whatever is wrong with it: the one at work stays
            self.counters.add("configurations-unusable")
            self.log.line("configuration-unusable", why=str(error))
            return False
        if flows:
            self.flows.change(flows, secure)
        if tds:
            self.tds_part = document["tds"]
            self.tds.change(self.tds_part, self.tds_part.users, context)
        if self.members:
            self.members.wake()
        if self.coordinator:
            self.coordinator.move(coordinator, events)
        self.counters.add("configurations-taken")
        self.log.line("configuration-taken", coordinator=coordinator and f"{coordinator[0]}:{coordinator[1]}",
                      needs_restart=kept)
        return True

    def show_counters(self, why):
        with open("/proc/self/status", "rb") as status:
            memory = {line.split(b":")[0].decode(): int(line.split()[1]) for line in status
                      if line.startswith((b"VmHWM", b"VmRSS", b"Threads"))}
        self.log.line("counters", why=why, descriptors=len(os.listdir("/proc/self/fd")) - 1, **memory,
                      cpu_s=time.process_time(), longest_round_ms=self.decider.longest / 10,
                      **({"flows": self.accounts.shown()} if self.flows else {}),
                      **({"members": self.members.status()} if self.members else {}), **self.counters.shown())

    def stop(self):
        began = time.monotonic()
        longest = max((group.timeout for group in self.book.deployment.groups), default=0)
        left = min(longest, TIMEOUT_MOST) + KILL_AFTER
        self.exchange.inbox.put(("stop", left), always=True)
        self.log.line("stopping")
        time.sleep(COMING_S)
        for listener in self.listeners:
            listener.close()
        self.stopping.set()
        # A client that does not read its answer is not waited for into the kill.
        by = began + left / 10_000 - 0.05
        while sum(listener.close_idle() for listener in self.listeners) and time.monotonic() < by:
            time.sleep(0.02)
        self.links.stop()
        if self.coordinator:
            self.coordinator.stop()
            self.follower.join(0.1)
        if self.members:
            self.members.stop()
        if self.flows:
            self.flows.stop()
        self.show_counters("exit")
        self.log.line("stopped", took=time.monotonic() - began)
        self.log.close()
        self.writer.join(1.0)
