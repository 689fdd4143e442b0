"""The cluster service of a dispatcher: one thread that runs the node's rounds on a UDP socket.

Once a second it also logs changes, reloads changed key and seeds files, executes an operator's order and
writes the status file. An exception in this service ends one round, but never the dispatcher.
"""

import threading
import time
import traceback

from wickvane.cluster.addresses import MAX_SEEDS, format_address, read_seeds_file
from wickvane.cluster.clock import new_epoch, now
from wickvane.cluster.event_log import EventLog
from wickvane.cluster.extension import ClusterConfig
from wickvane.cluster.node import Node
from wickvane.cluster.quorum import Assessment
from wickvane.cluster.state_folder import Answer, Order, OrderError, StateFolder
from wickvane.cluster.status import brief_status, full_status
from wickvane.cluster.transport import FLOOD_PAUSE_S, MAX_WAIT_S, UdpTransport
from wickvane.cluster.watched_files import WatchedFiles
from wickvane.cluster.wire import Codec, read_keys
from wickvane.errors import ConfigError
from wickvane.files import FileError
from wickvane.units import from_seconds, to_seconds

MAX_FAULTS = 50  # exceptions after which the service ends
MAX_NAME_LENGTH = 64  # characters
MAINTENANCE_INTERVAL_S = 1.0
STATUS_INTERVAL_S = 2.5  # between two status files if nothing has changed
MAX_LOGGED_ACTION_LENGTH = 32  # characters
MAX_LOGGED_NAME_LENGTH = 64  # characters


class ClusterService:
    """The socket, thread and files of one member. lock: held while the node or its delegate runs."""

    def __init__(self, config: ClusterConfig, name: str, configured: int, random_seed: int, log, counters):
        if not 1 <= len(name) <= MAX_NAME_LENGTH:
            raise ConfigError("peers: the configuration's name: expected 1 to 64 characters", 2)
        self.config = config
        self.log = log
        self.counters = counters
        self.lock = threading.Lock()
        self.events = EventLog(log, counters)
        self.state_folder = StateFolder(config.state_folder) if config.state_folder else None
        try:
            codec = Codec(config.cluster, read_keys(config.key_file))
        except FileError as error:
            raise ConfigError(f"the extensions document: peers: key-file: {error}", 2) from None
        self.transport = UdpTransport(codec, 2 * config.capacity)
        self._watched_files = _watch_files(config)
        self.node = Node(
            now(),
            name,
            new_epoch(),
            format_address(config.advertise),
            self._collect_seeds(),
            configured,
            random_seed,
            self.events.record,
            config.probe_period,
            config.capacity,
            config.tombstone_after,
        )
        self._is_stopping = False
        self._maintenance_at = 0.0
        self._status_at = 0.0
        self._status_key: tuple | None = None  # identifies the contents of the last status file
        self._status_error: str | None = None

    def _collect_seeds(self) -> list[str]:
        seeds = [format_address(seed) for seed in self.config.seeds]
        path = self.config.seeds_file
        if path:
            try:
                seeds.extend(read_seeds_file(path))
            except (OSError, ValueError, TypeError) as error:
                self.events.log_and_count("peers-seeds-unusable", file=path, why=str(error))
        own = format_address(self.config.advertise)
        return [seed for seed in dict.fromkeys(seeds) if seed != own][:MAX_SEEDS]

    def open(self) -> None:
        """Prepares the state folder and binds the address. Raises ConfigError."""
        if self.state_folder is not None:
            self.state_folder.prepare()
        self.transport.open(*self.config.listen)

    def run(self) -> None:
        """Runs rounds until stop() is called or MAX_FAULTS exceptions have occurred."""
        # The time between the creation of the node and the start of this thread must not count as a stall.
        self.node.next_round_at = now() + self.config.probe_period
        fault_count = 0
        while not self._is_stopping:
            try:
                self._run_round()
            except Exception as error:
                fault_count += 1
                self._log_fault(error)
                if fault_count >= MAX_FAULTS:
                    self.events.log_and_count("peers-given-up", reason="faults")
                    return
                time.sleep(FLOOD_PAUSE_S)

    def _log_fault(self, error: Exception) -> None:
        frame = traceback.extract_tb(error.__traceback__)[-1]
        self.counters.add("faults")
        self.log.line(
            "fault",
            part="peers",
            error=f"{type(error).__name__}: {error}",
            where=f"{frame.name}:{frame.lineno}",
        )

    def _run_round(self) -> None:
        messages = self.transport.receive(to_seconds(self.node.next_round_at - now()))
        if self._is_stopping:
            return
        node = self.node
        with self.lock:
            node.run_round(now(), messages, self.transport)
            node.next_round_at = min(node.next_round_at, now() + from_seconds(MAX_WAIT_S))
        if time.monotonic() >= self._maintenance_at:
            self._maintenance_at = time.monotonic() + MAINTENANCE_INTERVAL_S
            self._run_maintenance()

    def _run_maintenance(self) -> None:
        with self.lock:
            assessment = self.node.log_assessment(now())
            rejected = self.transport.take_rejected()
            self.node.rejected.update(rejected)
            event_counts, dropped_lines = self.events.take_period()
        self.events.report(event_counts, rejected, dropped_lines)
        self._reload_changed_files()
        if self.state_folder is not None:
            self.take_order()
            self._update_status(assessment)

    def _update_status(self, assessment: Assessment) -> None:
        node = self.node
        recent = self.events.recent
        rejected_count = sum(node.rejected.values())
        status_key = (assessment, node.table.view.digest, rejected_count, recent and recent[-1])
        if status_key != self._status_key or time.monotonic() >= self._status_at:
            self._status_key = status_key
            self._status_at = time.monotonic() + STATUS_INTERVAL_S
            self._write_status()

    def _reload_changed_files(self) -> None:
        for path in self._watched_files.take_changed():
            if path == self.config.key_file:
                self._reload_keys(path)
            else:
                with self.lock:
                    self.node.change_seeds(now(), self._collect_seeds())

    def _reload_keys(self, path: str) -> None:
        try:
            self.transport.codec.keys = read_keys(path)
        except FileError as error:
            # The file may be written only in part. The current keys stay in use until the next change of the
            # file.
            self.events.log_and_count("peers-key-unusable", why=str(error))
            return
        self.events.log_and_count("peers-key-taken", keys=len(self.transport.codec.keys))

    def change(self, config: ClusterConfig, keys: list[bytes]) -> None:
        """Applies a new configuration and the keys of its file. Called by the signal-handling thread."""
        with self.lock:
            self.config = config
            self.transport.codec.keys = keys
            self._watched_files = _watch_files(config)
            self.node.change_seeds(now(), self._collect_seeds())

    def _write_status(self) -> None:
        with self.lock:
            status = full_status(self.node, now())
            delegate = self.node.delegate
            delegate_status = delegate.status() if delegate is not None else None
        status["events"] = list(self.events.recent)
        status["lost_sends"] = self.transport.lost_sends
        status["shares"] = delegate_status
        status["at"] = time.time()
        try:
            self.state_folder.write_status(status)
        except OSError as error:
            if self._status_error != error.strerror:
                self.log.line("peers-status-unwritten", why=error.strerror)
            self._status_error = error.strerror

    def take_order(self) -> None:
        """Executes and answers an operator's order, if there is one."""
        try:
            order = self.state_folder.take_order()
        except OrderError:
            self.log.line("peers-order-unusable")
            return
        if order is None:
            return
        answer = self._execute(order)
        self.log.line(
            "peers-order",
            what=str(order.action)[:MAX_LOGGED_ACTION_LENGTH],
            name=order.name[:MAX_LOGGED_NAME_LENGTH],
            done=answer.is_done,
        )
        try:
            self.state_folder.write_answer(order, answer)
        except OSError as error:
            self.log.line("peers-status-unwritten", why=error.strerror)

    def _execute(self, order: Order) -> Answer:
        if order.action == "forget":
            with self.lock:
                count = self.node.forget(now(), order.name)
            if count:
                return Answer(True, f"{count} failed member(s) named {order.name} now count as left")
            return Answer(False, f"no failed member named {order.name} is known")
        if order.action == "leave":
            self.leave()
            return Answer(True, "the dispatcher has left the cluster and continues to serve queries")
        return Answer(False, f"unknown order {order.action!r}")

    def status(self) -> dict:
        """Returns the figures for the counters log line."""
        with self.lock:
            return brief_status(self.node, now(), self.transport.lost_sends)

    def leave(self) -> None:
        """Leaves the cluster. The service still answers messages."""
        with self.lock:
            self.node.leave(now(), self.transport)
        self.log.line("peers-left")

    def stop(self) -> None:
        """Ends the thread's rounds, and writes a last status file."""
        self._is_stopping = True
        if self.state_folder is not None:
            self._write_status()


def _watch_files(config: ClusterConfig) -> WatchedFiles:
    return WatchedFiles(path for path in (config.key_file, config.seeds_file) if path)
