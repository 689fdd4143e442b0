"""Puts the parts together, starts their threads, and ends them in order."""

import ctypes
import gc
import importlib
import os
import signal
import sys
import threading
import time
import traceback
from hashlib import blake2b
from typing import NamedTuple

import orjson

from wickvane.errors import ConfigError, ProtocolError
from wickvane.id_registry import IdRegistry
from wickvane.net.clock import Clock
from wickvane.net.coordinator import Coordinator, address_of, read_known
from wickvane.net.counters import Counters
from wickvane.net.decider import Decider
from wickvane.net.exchange import Exchange
from wickvane.net.lines.links import IoLoop
from wickvane.net.listener import SPARE, Listener
from wickvane.net.log import Log
from wickvane.net.postgres.session import Session
from wickvane.net.statement import Reader
from wickvane.net.threads import Stopped, Threads
from wickvane.settings import Section, SettingsError, root_section

STACK = 128 * 1024
# Each of many threads that wait for the interpreter wakes as often as this to ask for it: with a hundred of
# them, a short interval spends the core on waking. None computes for long, so a long one delays nobody.
SWITCH_S = 0.5
SOCKETS = 1024  # descriptors that may be held, where the configuration names no limit
OTHERS = 14  # descriptors that are neither clients' nor engines'
COMING_S = 0.75  # connections and requests go on coming after SIGTERM
KILL_AFTER, TIMEOUT_MOST = 7_000, 30_000  # SIGKILL comes so long after the longest queue timeout, itself cut
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP}
COLLECT = 5_000, 20, 20
RELOADS, RELOAD_S = 10, 0.1  # a file that is being written when its signal comes is read again


M_ARENA_MAX = -8  # of malloc.h


def configuration(path):
    """The raw configuration of a file; ConfigError where it cannot be read."""
    try:
        with open(path, "rb") as file:
            found = orjson.loads(file.read())
    except OSError as error:
        raise ConfigError(f"the configuration {path} cannot be read: {error.strerror}", 2) from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"the configuration {path} is no JSON: {error}", 2) from None
    return found


class Config(NamedTuple):
    """A configuration, checked and in the form that is worked with."""

    registry: IdRegistry  # of its settings, which are in registry.deployment
    engine_limits: Section  # the settings' limits
    listen: tuple[str, int]
    sockets: int  # descriptors that may be held
    coordinator: tuple[str, int] | None
    known: tuple[int, list]  # the number of the last known event of the list, and the events


def parse_config(found, fronts=(), members=None):
    """The Config of raw JSON; ConfigError where something in it cannot be used.

    members: that extension's part, with which no coordinator is needed unless it overrides what one lists.
    """
    try:
        settings, limits = found["settings"], Section(found.get("limits") or {}, "limits")
        alone = members is not None and not members.policy.overrides_coordinator
        coordinator = None if alone else address_of(found["coordinator"])
        registry = IdRegistry(settings, fronts)
        if members is not None:
            registry.deployment = registry.deployment._replace(uses_engine_weights=True)
        return Config(
            registry,
            root_section(settings).section("limits"),
            address_of(found["listen"]),
            limits.count("sockets", SOCKETS),
            coordinator,
            read_known(found.get("known") or {}),
        )
    except ProtocolError as error:
        raise ConfigError(f"the configuration's list of engines: {error}", 2) from None
    except (KeyError, IndexError) as error:
        raise ConfigError(f"the configuration lacks, or does not know, {error}", 2) from None
    except SettingsError as error:
        raise ConfigError(f"the configuration cannot be used: {error}", 2) from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the configuration has a value of the wrong form: {error}", 2) from None


def fixed(found):
    """Marks of what is settled at the start, to tell whether a later configuration has it otherwise."""
    return {
        part: blake2b(orjson.dumps(found.get(part), option=orjson.OPT_SORT_KEYS)).digest()
        for part in ("name", "listen", "limits", "settings")
    }


def one_arena():
    """The allocator's many arenas are for threads that run at once. Here only one does, and each arena would
    keep what its busiest moment took: memory that grows with every new set of threads."""
    try:
        ctypes.CDLL(None).mallopt(M_ARENA_MAX, 1)
    except (OSError, AttributeError):
        pass  # another C library


def at_work(documented):
    """The parts of a document in the order in which each is asked; nothing of another is imported."""
    if not documented:
        return []
    from wickvane.parts import EXTENSION_MODULES

    made = (
        (getattr(importlib.import_module(EXTENSION_MODULES[name]), "At", None), documented[name])
        for name in EXTENSION_MODULES
        if name in documented
    )
    return [at(terms) for at, terms in made if at is not None]


class Service:
    """Parts set, before the configuration is understood: fronts, speaks (how engines of a kind are spoken
    to), lister (who tells the list of engines beside the coordinator, or in its place); before the decider
    is made: accounts, deciding (its class); gate, which listeners heed; and links.stale, after which what was
    decided is not sent."""

    def __init__(self, found, log_to=1, parts=None):
        self.clock, self.counters, self.stopping = Clock(), Counters(), threading.Event()
        # Readable once `stopping` is set: wakes all that wait for their clients to ask something.
        self.stop_descriptor, self.stop_writer = os.pipe2(os.O_CLOEXEC | os.O_NONBLOCK)
        self.log = Log(log_to, self.clock)
        self.threads = Threads(self.log, self.counters)
        self.fronts, self.speaks, self.lister, self.accounts = (), None, None, None
        self.deciding, self.gate, self.listeners = Decider, None, []
        self.parts = at_work(parts)
        for part in self.parts:
            part.prepare(self, found)
        config = parse_config(found, self.fronts, self.lister and self.lister.terms)
        self.registry, self.address = config.registry, config.listen
        self.name, self.seed, self.fixed = found.get("name") or "", found.get("seed", 0), fixed(found)
        self.reader = Reader(self.registry)
        self.exchange = Exchange(self.clock, self.counters)
        self.exchange.resource_groups = self.registry.deployment.groups
        for part in self.parts:
            part.build(self, found)
        try:
            self.make_workers(config)
            for part in self.parts:
                part.join(self, found)
        except (TypeError, ValueError, AttributeError) as error:
            raise ConfigError(f"the configuration has a value of the wrong form: {error}", 2) from None
        self.known, self.coordinator = config.known, self.follow(config)

    def make_workers(self, config):
        """The decider and the engines' connections, which own what their threads work on."""
        self.decider = self.deciding(
            self.exchange,
            self.registry,
            self.seed,
            self.clock,
            self.log,
            self.counters,
            self.accounts,
            self.speaks,
        )
        # One third for engines; what is left, less a few for the rest, for clients, who are promised one.
        for_engines = config.sockets // 3
        self.links = IoLoop(
            self.exchange,
            config.engine_limits,
            max(8, for_engines),
            self.clock,
            self.log,
            self.counters,
            self.accounts,
            self.threads,
        )
        self.most_clients = max(8, config.sockets - for_engines - SPARE - OTHERS)

    def follow(self, config):
        """The Coordinator, if there is one to follow."""
        if not config.coordinator:
            return None
        listed = self.lister.streamed if self.lister else self.listed
        # With files, what is known is told once what was at work is.
        known = (0, []) if self.lister else config.known
        return Coordinator(config.coordinator, known, listed, self.seed, self.log, self.counters)

    def listed(self, number, whole, entries, back=()):
        """A change of the engine list, from whoever tells it."""
        self.exchange.inbox.put(("listed", whole, entries), always=True)

    def start(self):
        """Opens the listeners, and starts all threads."""
        one_arena()
        threading.stack_size(STACK)
        threading.excepthook = self.died
        sys.setswitchinterval(SWITCH_S)
        # What is there for good is not looked through again and again by the collector of cycles.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*COLLECT)
        self.listen(self.address, self.most_clients, Session)
        for part in self.parts:
            part.open(self)
        self.writer = self.thread(self.log.run, "log")
        self.thread(self.decider.run, "decider")
        self.thread(self.links.run, "keeper")
        for part in self.parts:
            part.start(self)
        if self.coordinator:
            self.follower = self.thread(self.coordinator.run, "coordinator")
        for listener in self.listeners:
            self.thread(listener.run, "listener")
        for part in self.parts:
            part.settled(self)
        self.log.line("ready", name=self.name, listen=f"{self.address[0]}:{self.address[1]}", pid=os.getpid())

    def listen(self, address, most, session):
        """A listener whose connections have sessions of this class."""
        try:
            self.listeners.append(Listener(address, self, most, session, self.gate))
        except OSError as error:
            place = f"{address[0]}:{address[1]}"
            raise ConfigError(f"cannot listen on {place}: {error.strerror}", 1) from None

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
        """A thread of one peer ended by an exception: counted and logged."""
        # One of the many threads of a single peer: its own guard should have met this.
        self.counters.add("faults")
        at = traceback.extract_tb(hook.exc_traceback)[-1]
        error = f"{hook.exc_type.__name__}: {hook.exc_value}"
        self.log.line("fault", error=error, where=f"{at.name}:{at.lineno}")

    def run(self, path=None, parts_path=None):
        """The main thread: starts, waits for signals, and ends in order; the exit status."""
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
        changes = []
        try:
            found = configuration(path)
            config = parse_config(found, (), self.lister and self.lister.terms)
            kept = [part for part, mark in fixed(found).items() if mark != self.fixed[part]]
            if parts_path:
                changes = self.changed(parts_path)
        except Exception as error:  # whatever is wrong with it: the one at work stays
            self.counters.add("configurations-unusable")
            self.log.line("configuration-unusable", why=str(error))
            return False
        for part, terms, ready in changes:
            part.change(terms, ready)
        if self.coordinator:
            _, events = config.known
            self.coordinator.move(config.coordinator, events)
        self.counters.add("configurations-taken")
        self.log.line(
            "configuration-taken",
            coordinator=":".join(map(str, config.coordinator)) if config.coordinator else None,
            needs_restart=kept,
        )
        return True

    def changed(self, parts_path):
        """(part, its terms, what its check made ready) of the document that is at `parts_path` now."""
        from wickvane import parts

        document = parts.read(parts_path)
        of = {part.name: part for part in self.parts}
        for name in set(document) ^ set(of):
            if getattr(importlib.import_module(parts.EXTENSION_MODULES[name]), "At", None) is not None:
                raise parts.InvalidDocumentError(
                    f"{parts_path}: {name}: turning it on or off needs a restart"
                )
        try:
            return [(part, document[name], part.check(document[name])) for name, part in of.items()]
        except parts.InvalidDocumentError as error:
            raise parts.InvalidDocumentError(f"{parts_path}: {error}") from None

    def show_counters(self, why):
        """A log line of all counters and of what the process holds."""
        with open("/proc/self/status", "rb") as status:
            memory = {
                line.split(b":")[0].decode(): int(line.split()[1])
                for line in status
                if line.startswith((b"VmHWM", b"VmRSS", b"Threads"))
            }
        told = {part.name: said for part in self.parts if (said := part.status()) is not None}
        self.log.line(
            "counters",
            why=why,
            descriptors=len(os.listdir("/proc/self/fd")) - 1,
            **memory,
            cpu_s=time.process_time(),
            longest_round_ms=self.decider.longest / 10,
            **told,
            **self.counters.shown(),
        )

    def stop(self):
        """Ends in order: what was taken is answered, what comes is refused."""
        began = time.monotonic()
        longest = max((group.timeout for group in self.registry.deployment.groups), default=0)
        left = min(longest, TIMEOUT_MOST) + KILL_AFTER
        self.exchange.inbox.put(("stop", left), always=True)
        self.log.line("stopping")
        for part in self.parts:
            part.leave(self)
        time.sleep(COMING_S)
        for listener in self.listeners:
            listener.close()
        # What is read from here on is answered, and not sent on.
        self.exchange.close()
        self.stopping.set()
        os.write(self.stop_writer, b"\0")
        # A client that does not read its answer is not waited for into the kill.
        by = began + left / 10_000 - 0.05
        while any(listener.open_sessions() for listener in self.listeners) and time.monotonic() < by:
            time.sleep(0.02)
        self.links.stop()
        if self.coordinator:
            self.coordinator.stop()
            self.follower.join(0.1)
        for part in self.parts:
            part.stop()
        self.show_counters("exit")
        self.log.line("stopped", took=time.monotonic() - began)
        self.log.close()
        self.writer.join(1.0)
