"""Builds a dispatcher, starts its threads, reloads its configuration, and shuts it down gracefully."""

import gc
import importlib
import os
import signal
import sys
import threading
import time
import traceback
from typing import NamedTuple

import orjson

from wickvane.digest import blake2b
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
from wickvane.net.memory_budget import MemoryBudget
from wickvane.net.postgres.session import Session
from wickvane.net.process_memory import resident_size, unmap_large_buffers, use_single_arena
from wickvane.net.statement import Reader
from wickvane.net.threads import Stopped, Threads
from wickvane.scheduling.memory_limits import DEFAULT_LIMIT_MB, MEGABYTE, divide_memory
from wickvane.settings import Section, SettingsError, root_section

THREAD_STACK_SIZE = 128 * 1024
# A thread that waits for the interpreter lock wakes at this interval to request it. With a hundred waiting
# threads, a short interval costs most of the CPU time. No thread computes for long, so a long interval
# delays none.
SWITCH_INTERVAL_S = 0.5
DEFAULT_MAX_DESCRIPTORS = 1024  # if the configuration has no limit
OTHER_DESCRIPTORS = 14  # that belong to neither clients nor engines
MIN_LISTENER_SESSIONS = 8
ARRIVAL_GRACE_S = 0.75  # new connections and queries may still arrive for this long after SIGTERM
# In ticks. SIGKILL is expected KILL_DELAY after the longest queue timeout, which counts up to MAX_TIMEOUT.
KILL_DELAY, MAX_TIMEOUT = 7_000, 30_000
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP}
GC_THRESHOLDS = 5_000, 20, 20
RELOAD_ATTEMPTS, RELOAD_INTERVAL_S = 10, 0.1  # a file may still be being written when its signal arrives


def configuration(path):
    """Returns the raw configuration in a file; raises ConfigError if it cannot be read."""
    try:
        with open(path, "rb") as file:
            config = orjson.loads(file.read())
    except OSError as error:
        raise ConfigError(f"the configuration {path} cannot be read: {error.strerror}", 2) from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"the configuration {path} is not valid JSON: {error}", 2) from None
    return config


class Config(NamedTuple):
    """A parsed and valid configuration."""

    registry: IdRegistry  # its settings are in registry.deployment
    engine_limits: Section  # the settings' limits
    listen: tuple[str, int]
    sockets: int  # maximum number of open descriptors
    memory: int  # maximum of the resident memory, in octets
    coordinator: tuple[str, int] | None  # None if extensions provide the endpoint list
    known: tuple[int, list]  # the known endpoint list: index of its last event, and its events


def parse_config(raw_config, fronts=(), members=None):
    """Returns the Config of a raw configuration; raises ConfigError if it is invalid.

    fronts: engine types by client protocol. members: the settings of the extension `members`, with which no
    coordinator is needed unless it overrides a coordinator's endpoint list.
    """
    try:
        settings, limits = raw_config["settings"], Section(raw_config.get("limits") or {}, "limits")
        no_coordinator = members is not None and not members.policy.overrides_coordinator
        coordinator = None if no_coordinator else address_of(raw_config["coordinator"])
        registry = IdRegistry(settings, fronts)
        if members is not None:
            registry.deployment = registry.deployment._replace(uses_engine_weights=True)
        return Config(
            registry,
            root_section(settings).section("limits"),
            address_of(raw_config["listen"]),
            limits.count("sockets", DEFAULT_MAX_DESCRIPTORS),
            int(limits.number("memory_mb", DEFAULT_LIMIT_MB) * MEGABYTE),
            coordinator,
            read_known(raw_config.get("known") or {}),
        )
    except ProtocolError as error:
        raise ConfigError(f"the configuration's endpoint list: {error}", 2) from None
    except (KeyError, IndexError) as error:
        raise ConfigError(f"the configuration does not define {error}", 2) from None
    except SettingsError as error:
        raise ConfigError(f"the configuration cannot be used: {error}", 2) from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the configuration has a value of the wrong type or form: {error}", 2) from None


def restart_digests(raw_config):
    """Returns digests, by key, of the values that a reload cannot change, to detect a change of them."""
    return {
        key: blake2b(orjson.dumps(raw_config.get(key), option=orjson.OPT_SORT_KEYS)).digest()
        for key in ("name", "listen", "limits", "settings")
    }


def load_extensions(settings):
    """Creates the extensions of a document, in the order of EXTENSION_MODULES; imports no other extension.

    settings: by name, as parts.read() returns them; None without a document.
    """
    if not settings:
        return []
    from wickvane.parts import EXTENSION_MODULES

    extensions = (
        (getattr(importlib.import_module(EXTENSION_MODULES[name]), "At", None), settings[name])
        for name in EXTENSION_MODULES
        if name in settings
    )
    return [extension(terms) for extension, terms in extensions if extension is not None]


class Service:
    """A dispatcher.

    Extensions set these attributes. In prepare(): fronts (engine types by client protocol), protocols (by
    engine type: makes the connections to such engines), and lister (the extension that provides the endpoint
    list, in addition to the coordinator or in its place). In build(): accounts (of flows) and decider_class.
    In join(): gate (paces new connections at the listeners) and links.stale (ticks after which a decision is
    stale and its attempt is not sent).
    """

    def __init__(self, raw_config, log_to=1, parts=None):
        """Raises ConfigError. log_to: descriptor of the log. parts: extensions' settings by name, or None."""
        self.clock, self.counters, self.stopping = Clock(), Counters(), threading.Event()
        # Readable once `stopping` is set, which wakes the sessions that wait for their clients' queries.
        self.stop_descriptor, self.stop_writer = os.pipe2(os.O_CLOEXEC | os.O_NONBLOCK)
        self.log = Log(log_to, self.clock)
        self.threads = Threads(self.log, self.counters)
        self.memory = MemoryBudget(self.clock, self.counters)
        self.fronts, self.protocols, self.lister, self.accounts = (), None, None, None
        self.decider_class, self.gate, self.listeners = Decider, None, []
        self.parts = load_extensions(parts)
        for extension in self.parts:
            extension.prepare(self, raw_config)
        config = parse_config(raw_config, self.fronts, self.lister and self.lister.terms)
        self.registry, self.address = config.registry, config.listen
        self.name, self.seed, self.restart_digests = (
            raw_config.get("name") or "",
            raw_config.get("seed", 0),
            restart_digests(raw_config),
        )
        self.reader = Reader(self.registry)
        self.exchange = Exchange(self.clock, self.counters, self.memory)
        self.exchange.resource_groups = self.registry.deployment.groups
        for extension in self.parts:
            extension.build(self, raw_config)
        try:
            self.make_decider_and_links(config)
            for extension in self.parts:
                extension.join(self, raw_config)
        except (TypeError, ValueError, AttributeError) as error:
            raise ConfigError(
                f"the configuration has a value of the wrong type or form: {error}", 2
            ) from None
        self.known, self.coordinator = config.known, self.make_coordinator(config)

    def make_decider_and_links(self, config):
        """Creates the decider and the links to engines, each of which owns the state of its thread."""
        self.decider = self.decider_class(
            self.exchange,
            self.registry,
            self.seed,
            self.clock,
            self.log,
            self.counters,
            self.accounts,
            self.protocols,
        )
        # A third of the descriptors is for engines; the rest, except for a few others, is for clients.
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
        self.max_clients = max(8, config.sockets - for_engines - SPARE - OTHER_DESCRIPTORS)
        self.max_memory = config.memory
        self.max_sessions = self.max_clients + SPARE  # of all listeners, by the limit of descriptors

    def make_coordinator(self, config):
        """Returns the Coordinator, or None if the configuration has none."""
        if not config.coordinator:
            return None
        on_event = self.lister.streamed if self.lister else self.listed
        # A lister delivers the configuration's events itself, after the list that it has recovered.
        known = (0, []) if self.lister else config.known
        return Coordinator(
            config.coordinator,
            known,
            on_event,
            self.seed,
            self.log,
            self.counters,
            self.exchange.input,
        )

    def listed(self, index, is_complete, entries, readmitted=()):
        """Passes an event of the endpoint list to the decider, from any thread."""
        self.exchange.inbox.put(("listed", is_complete, entries), always=True)

    def start(self):
        """Opens the listeners, and starts all threads."""
        use_single_arena()
        unmap_large_buffers()
        threading.stack_size(THREAD_STACK_SIZE)
        threading.excepthook = self.log_thread_fault
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        # Excludes the objects that exist by now, which stay until the end, from garbage collections.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self.divide_memory()
        self.listen(self.address, self.max_clients, Session)
        for extension in self.parts:
            extension.open(self)
        self.writer = self.start_required(self.log.run, "log")
        self.start_required(self.decider.run, "decider")
        self.start_required(self.links.run, "keeper")
        for extension in self.parts:
            extension.start(self)
        if self.coordinator:
            self.coordinator_thread = self.start_required(self.coordinator.run, "coordinator")
        for listener in self.listeners:
            self.start_required(listener.run, "listener")
        for extension in self.parts:
            extension.settled(self)
        self.log.line("ready", name=self.name, listen=f"{self.address[0]}:{self.address[1]}", pid=os.getpid())

    def divide_memory(self):
        """Divides what the process may still use among sessions, messages and the log."""
        limits = divide_memory(
            self.max_memory, resident_size(), self.max_sessions, self.links.max_descriptors
        )
        self.memory.limits = limits
        if limits.sessions < self.max_sessions:
            self.log.line("sessions-limited-by-memory", sessions=limits.sessions, of=self.max_sessions)
        self.log.max_lines = limits.log_lines

    def listen(self, address, max_sessions, session):
        """Adds a listener whose connections have sessions of this class; raises ConfigError.

        max_sessions: by the limit of descriptors; if memory does not suffice, each listener gets its part."""
        by_memory = (max_sessions + SPARE) * self.memory.limits.sessions // self.max_sessions - SPARE
        is_memory_short = by_memory < max_sessions
        if is_memory_short:
            max_sessions = max(MIN_LISTENER_SESSIONS, by_memory)
        try:
            listener = Listener(address, self, max_sessions, session, self.gate, is_memory_short)
            self.listeners.append(listener)
        except OSError as error:
            address_text = f"{address[0]}:{address[1]}"
            raise ConfigError(f"cannot listen on {address_text}: {error.strerror}", 1) from None

    def start_required(self, work, name):
        """Starts and returns a thread; an exception in it is logged and ends the program with status 70."""

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

    def log_thread_fault(self, hook):
        """Counts and logs an exception that has ended the thread of a single peer.

        hook: threading.ExceptHookArgs. The thread should have handled the exception itself.
        """
        self.counters.add("faults")
        frame = traceback.extract_tb(hook.exc_traceback)[-1]
        error = f"{hook.exc_type.__name__}: {hook.exc_value}"
        self.log.line("fault", error=error, where=f"{frame.name}:{frame.lineno}")

    def run(self, path=None, parts_path=None):
        """The main thread: starts the dispatcher, handles signals, shuts down; returns the exit status."""
        # Set before any thread starts, so that all inherit the mask and only this thread receives signals.
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
        try:
            self.start()
        except Stopped as stopped:
            self.log.line("stopped", reason="no-thread", detail=str(stopped))
            self.log.flush()
            return 0
        reload_attempts = 0  # still allowed, after one that failed
        while True:
            received = (
                signal.sigtimedwait(SIGNALS, RELOAD_INTERVAL_S)
                if reload_attempts
                else signal.sigwaitinfo(SIGNALS)
            )
            if received is None or received.si_signo == signal.SIGHUP:
                reload_attempts = (
                    0 if self.reload(path, parts_path) else (reload_attempts or RELOAD_ATTEMPTS) - 1
                )
            elif received.si_signo == signal.SIGUSR1:
                self.log_counters("asked")
            else:
                break
        self.stop()
        return 0

    def reload(self, path, parts_path=None):
        """Applies changes of the coordinator's address, the known endpoint list and the extensions document.

        Everything is read and checked before any of it takes effect. Returns False, with a line in the log,
        if something is invalid. Changes of other values are logged as needing a restart.
        """
        changes = []
        try:
            raw_config = configuration(path)
            config = parse_config(raw_config, (), self.lister and self.lister.terms)
            unapplied = [
                key
                for key, digest in restart_digests(raw_config).items()
                if digest != self.restart_digests[key]
            ]
            if parts_path:
                changes = self.check_extensions(parts_path)
        except Exception as error:  # after any error, the current configuration stays in effect
            self.counters.add("configurations-unusable")
            self.log.line("configuration-unusable", why=str(error))
            return False
        for extension, terms, ready in changes:
            extension.change(terms, ready)
        if self.coordinator:
            _, events = config.known
            self.coordinator.move(config.coordinator, events)
        self.counters.add("configurations-taken")
        self.log.line(
            "configuration-taken",
            coordinator=":".join(map(str, config.coordinator)) if config.coordinator else None,
            needs_restart=unapplied,
        )
        return True

    def check_extensions(self, parts_path):
        """Checks the current extensions document.

        Returns (extension, its settings, result of its check) for each; raises InvalidDocumentError.
        """
        from wickvane import parts

        document = parts.read(parts_path)
        extensions = {extension.name: extension for extension in self.parts}
        for name in set(document) ^ set(extensions):
            if getattr(importlib.import_module(parts.EXTENSION_MODULES[name]), "At", None) is not None:
                raise parts.InvalidDocumentError(
                    f"{parts_path}: {name}: turning it on or off needs a restart"
                )
        try:
            return [
                (extension, document[name], extension.check(document[name]))
                for name, extension in extensions.items()
            ]
        except parts.InvalidDocumentError as error:
            raise parts.InvalidDocumentError(f"{parts_path}: {error}") from None

    def log_counters(self, why):
        """Logs all counters, the extensions' status, and the descriptors and memory of the process."""
        with open("/proc/self/status", "rb") as status:
            memory = {
                line.split(b":")[0].decode(): int(line.split()[1])
                for line in status
                if line.startswith((b"VmHWM", b"VmRSS", b"Threads"))
            }
        extension_status = {
            extension.name: status for extension in self.parts if (status := extension.status()) is not None
        }
        self.log.line(
            "counters",
            why=why,
            descriptors=len(os.listdir("/proc/self/fd")) - 1,
            **memory,
            cpu_s=time.process_time(),
            longest_round_ms=self.decider.longest_round / 10,
            **extension_status,
            **self.counters.shown(),
        )

    def stop(self):
        """Shuts down gracefully: queries that were accepted are answered, new ones are rejected."""
        began = time.monotonic()
        longest_timeout = max((group.timeout for group in self.registry.deployment.groups), default=0)
        time_left = min(longest_timeout, MAX_TIMEOUT) + KILL_DELAY
        self.exchange.inbox.put(("stop", time_left), always=True)
        self.log.line("stopping")
        for extension in self.parts:
            extension.leave(self)
        time.sleep(ARRIVAL_GRACE_S)
        for listener in self.listeners:
            listener.close()
        # From here on, new queries are rejected with an answer.
        self.exchange.close()
        self.stopping.set()
        os.write(self.stop_writer, b"\0")
        # Waits for open sessions, but ends before SIGKILL, even if a client does not read its answer.
        end_by = began + time_left / 10_000 - 0.05
        while any(listener.open_sessions() for listener in self.listeners) and time.monotonic() < end_by:
            time.sleep(0.02)
        self.links.stop()
        if self.coordinator:
            self.coordinator.stop()
            self.coordinator_thread.join(0.1)
        for extension in self.parts:
            extension.stop()
        self.log_counters("exit")
        self.log.line("stopped", took=time.monotonic() - began)
        self.log.close()
        self.writer.join(1.0)
