"""The control service as a program: its gRPC server, the sources of the endpoint list, signals and the log.

One event loop owns the control plane and all streams.
"""

import asyncio
import os
import signal
import threading
import time
from collections.abc import Collection
from typing import Any

import grpc

from wickvane.errors import ConfigError
from wickvane.net.clock import Clock
from wickvane.net.coordinator import Coordinator
from wickvane.net.counters import Counters
from wickvane.net.log import Log
from wickvane.net.threads import Threads
from wickvane.units import TICKS_PER_MILLISECOND, to_seconds
from wickvane.xds.control_plane import ControlPlane
from wickvane.xds.endpoint_snapshot import DocumentSource
from wickvane.xds.extension import ControlSettings
from wickvane.xds.log_events import to_log_record
from wickvane.xds.placement import Placement
from wickvane.xds.resources import ResourceBuilder
from wickvane.xds.services import (
    ClientStatusService,
    DiscoveryService,
    LoadReportingService,
    ServiceContext,
)
from wickvane.xds.snapshot_writer import SnapshotWriter
from wickvane.xds.tls import server_credentials

MAX_REQUEST_BYTES = 4 << 20
DEFAULT_DRAIN_GRACE_MS = 2000  # within which proxies must acknowledge a drain
MIN_TICK_DELAY_S = 0.001
SHUTDOWN_GRACE_S = 0.2
JOIN_TIMEOUT_S = 1.0
GRPC_OPTIONS = {
    "grpc.max_receive_message_length": MAX_REQUEST_BYTES,
    "grpc.so_reuseport": 0,
    "grpc.keepalive_time_ms": 20_000,
    "grpc.keepalive_timeout_ms": 10_000,
    "grpc.http2.min_ping_interval_without_data_ms": 5_000,
    "grpc.http2.max_ping_strikes": 0,
    "grpc.max_metadata_size": 16_384,
}
RELOADABLE_FIELDS = ("table_groups", "access", "removal_limit", "proxy_count")


class Server:
    """The control service.

    config_json: the configuration; settings: the node `control` of the extensions document; log_descriptor:
    file descriptor of the log; members: the node `members` of the extensions document, None if there is none.
    """

    def __init__(
        self,
        config_json: dict[str, Any],
        settings: ControlSettings,
        log_descriptor: int = 1,
        members: Any = None,
    ) -> None:
        from wickvane.net.service import parse_config

        config = parse_config(config_json, (), members)
        self.settings = settings
        self.clock = Clock()
        self.counters = Counters()
        self.log = Log(log_descriptor, self.clock)
        self.ready = threading.Event()
        self.loop: asyncio.AbstractEventLoop | None = None
        self.members = None
        self._members_settings = members
        self._name = config_json.get("name") or "control"
        self._seed = config_json.get("seed", 0)
        self._coordinator_address = config.coordinator
        self._known_events = config.known
        self._coordinator: Coordinator | None = None
        self._coordinator_thread: threading.Thread | None = None
        self._next_tick: asyncio.TimerHandle | None = None
        self._stopped: asyncio.Event | None = None
        self.control_plane = ControlPlane(
            build_placement(config.registry, settings),
            ResourceBuilder(),
            _drain_grace_of(config_json),
            settings.access,
            settings.removal_limit,
            settings.ttl,
            settings.epoch,
        )
        if members:
            self.members = self.file_source(config.registry, members)
        self._snapshot_writer = SnapshotWriter(
            settings.snapshot_folder, lambda: self.control_plane.snapshot, self.log, self.counters
        )
        self._create_services()

    def _create_services(self) -> None:
        service = ServiceContext(
            self.control_plane,
            self.clock,
            self.log,
            self.counters,
            self._log_events,
            self.settings.tls is not None,
        )
        self._discovery = DiscoveryService(service, to_seconds(self.settings.stall_timeout))
        self._load_reporting = LoadReportingService(service)
        self._client_status = ClientStatusService(service, self.members)

    # the endpoint list

    def file_source(self, registry: Any, settings: Any) -> Any:
        """Creates the source of an endpoint list from watched files; settings: of the node `members`."""
        from wickvane.endpoints.file_source import FileSource
        from wickvane.endpoints.topology import topology_of

        return FileSource(
            settings,
            topology_of(registry),
            self.on_document_event,
            self.clock,
            self.log,
            self.counters,
            lambda: self.control_plane.requests_in_progress(self.clock.now()),
            None,
            self._name,
        )

    def on_endpoint_event(
        self,
        index: int,
        is_complete: bool,
        entries: list[tuple],
        readmitted: Collection[str] = (),
        documents: DocumentSource | None = None,
    ) -> None:
        """Schedules an endpoint event on the event loop.

        It is called from the thread of the coordinator or of the watched files.
        """
        self.loop.call_soon_threadsafe(self._apply_event, index, is_complete, entries, readmitted, documents)

    def on_document_event(
        self, index: int, is_complete: bool, entries: list[tuple], readmitted: Collection[str]
    ) -> None:
        """Schedules an endpoint event that results from watched files; it is called under their lock."""
        self.on_endpoint_event(
            index, is_complete, entries, readmitted, document_source(self.members.endpoint_list, index)
        )

    def _apply_event(
        self,
        index: int,
        is_complete: bool,
        entries: list[tuple],
        readmitted: Collection[str] = (),
        documents: DocumentSource | None = None,
    ) -> None:
        before = self.control_plane.snapshot
        self.control_plane.apply_endpoint_event(
            self.clock.now(), index, is_complete, entries, readmitted, documents
        )
        self._after_change(has_new_snapshot=self.control_plane.snapshot is not before)

    def _after_change(self, has_new_snapshot: bool) -> None:
        self._discovery.wake_ready_streams()
        self._log_events()
        self.tick()
        if has_new_snapshot:
            self._snapshot_writer.schedule(self.loop)

    def tick(self) -> None:
        """Does the control plane's work that is due, and schedules the next call."""
        if self._next_tick is not None:
            self._next_tick.cancel()
            self._next_tick = None
        now = self.clock.now()
        next_time = self.control_plane.tick(now)
        self._discovery.wake_ready_streams()
        if next_time is not None:
            delay = max(MIN_TICK_DELAY_S, to_seconds(next_time - now))
            self._next_tick = self.loop.call_later(delay, self._on_tick)

    def _on_tick(self) -> None:
        before = self.control_plane.snapshot
        self._next_tick = None
        self.tick()
        if self.control_plane.snapshot is not before:
            self._after_change(has_new_snapshot=True)

    # log

    def _log_events(self) -> None:
        for event in self.control_plane.take_log_events():
            name, fields = to_log_record(event)
            self.log.line(name, **fields)
            self.counters.add(name)

    def _log_counters(self, reason: str) -> None:
        self.log.line(
            "counters",
            why=reason,
            cpu_s=time.process_time(),
            **self.control_plane.status(self.clock.now()),
            **({"members": self.members.status()} if self.members else {}),
            counters=self.counters.shown(),
        )

    # lifecycle

    async def serve(self) -> None:
        """Serves until stop() is called. Raises ConfigError if it cannot listen."""
        self.loop = asyncio.get_running_loop()
        self._stopped = asyncio.Event()
        grpc_server = grpc.aio.server(options=list(GRPC_OPTIONS.items()))
        services = (self._discovery, self._load_reporting, self._client_status)
        grpc_server.add_generic_rpc_handlers([service.handler() for service in services])
        address = self._listen(grpc_server)
        await self._load_endpoints()
        await grpc_server.start()
        if self._coordinator:
            threads = Threads(self.log, self.counters)
            self._coordinator_thread = await asyncio.to_thread(
                threads.needed, self._coordinator.run, "coordinator"
            )
        self.log.line("ready", name=self._name, listen=address, pid=os.getpid())
        self.ready.set()
        try:
            await self._stopped.wait()
        finally:
            await self._shut_down(grpc_server)

    def _listen(self, grpc_server: grpc.aio.Server) -> str:
        host, port = self.settings.listen
        address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        try:
            if self.settings.tls:
                grpc_server.add_secure_port(address, server_credentials(self.settings.tls))
            else:
                grpc_server.add_insecure_port(address)
        except (RuntimeError, OSError, ValueError) as error:
            raise ConfigError(f"cannot listen on {address}: {error}", 1) from None
        return address

    async def _load_endpoints(self) -> None:
        """Applies the stored snapshot and the configuration's list, before the first proxy connects."""
        stored = self._snapshot_writer.load()
        if stored is not None:
            self.control_plane.restore(self.clock.now(), stored)
        known_index, known_events = self._known_events
        if self._coordinator_address:
            on_event = self.members.apply_stream_event if self.members else self.on_endpoint_event
            self._coordinator = Coordinator(
                self._coordinator_address, (0, []), on_event, self._seed, self.log, self.counters
            )
            self._coordinator.last = max([known_index, *(event[0] for event in known_events)], default=0)
        if self.members:
            # As one list, since the coordinator lists engines as ready that documents drain.
            known = known_events if self._coordinator_address else ()
            await asyncio.to_thread(self.members.start, known, is_published_once=True)
        else:
            for index, is_complete, entries in known_events:
                self._apply_event(index, is_complete, entries)
        self._after_change(has_new_snapshot=bool(self.control_plane.snapshot.index))

    async def _shut_down(self, grpc_server: grpc.aio.Server) -> None:
        if self._coordinator:
            self._coordinator.stop()
        if self.members:
            await asyncio.to_thread(self.members.stop)
        self._snapshot_writer.save_now()
        await grpc_server.stop(SHUTDOWN_GRACE_S)
        if self._coordinator_thread:
            # Wait for the coordinator's thread, so that the counters are the last line of the log.
            await asyncio.to_thread(self._coordinator_thread.join, JOIN_TIMEOUT_S)
        self._log_counters("exit")

    def stop(self) -> None:
        """Ends serve(), from any thread."""
        self.loop.call_soon_threadsafe(self._stopped.set)

    def reload(self, config_path: str, extensions_path: str) -> None:
        """Applies a changed configuration and extensions document, completely or not at all.

        Table groups, resource groups, node rules, the removal limit, the proxy count and the coordinator may
        change.
        """
        from wickvane.net.service import configuration, parse_config

        try:
            config = parse_config(configuration(config_path), (), self._members_settings)
            settings = self._read_settings(extensions_path)
            placement = build_placement(config.registry, settings)
        except Exception as error:
            self.counters.add("configurations-unusable")
            self.log.line("configuration-unusable", why=str(error))
            return
        if settings.access != self.settings.access:
            self.control_plane.change_access(settings.access)
        self.settings = settings
        self.control_plane.removal_limit = settings.removal_limit
        self.control_plane.change_settings(self.clock.now(), placement, ResourceBuilder())
        if self.members:
            self.members.wake()
        if self._coordinator:
            _, events = config.known
            self._coordinator.move(config.coordinator, events)
        self.log.line("configuration-taken")
        self._after_change(has_new_snapshot=False)

    def _read_settings(self, extensions_path: str) -> ControlSettings:
        """Reads the document's settings. Raises parts.InvalidDocumentError if they need a restart."""
        from wickvane import parts

        document = parts.read(extensions_path)
        settings = document.get("control")
        if document.get("members") != self._members_settings:
            raise parts.InvalidDocumentError("members: a change needs a restart")
        reloadable = dict.fromkeys(RELOADABLE_FIELDS)
        if settings is None or settings._replace(**reloadable) != self.settings._replace(**reloadable):
            raise parts.InvalidDocumentError(
                "control: a change of listen, epoch, tls, snapshot, stall or time-to-live needs a restart"
            )
        return settings

    def run(self, config_path: str, extensions_path: str) -> int:
        """Serves until a signal ends the program, and returns its exit code."""
        log_thread = Threads(self.log, self.counters).needed(self.log.run, "log")

        async def main() -> None:
            loop = asyncio.get_running_loop()
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, lambda: self._stopped.set())
            loop.add_signal_handler(signal.SIGHUP, lambda: self.reload(config_path, extensions_path))
            loop.add_signal_handler(signal.SIGUSR1, lambda: self._log_counters("asked"))
            await self.serve()

        try:
            asyncio.run(main())
        finally:
            self.log.close()
            log_thread.join(JOIN_TIMEOUT_S)
        return 0


def build_placement(registry: Any, settings: ControlSettings) -> Placement:
    """Creates the placement for the configuration's deployment."""
    return Placement(
        registry.deployment,
        registry.group_names,
        range(settings.table_groups + 1),
        settings.proxy_count,
        list(registry.kinds.index),
        list(registry.zones.index),
    )


def document_source(endpoint_list: Any, update_number: int) -> DocumentSource:
    """The source of an update of an endpoint list from watched files, which may override a coordinator's."""
    from wickvane.endpoints.effects import document_index_of

    overlay = endpoint_list.overlay
    coordinator_ready = None
    if overlay.is_enabled:
        coordinator_ready = frozenset(name for name, listed in overlay.endpoints.items() if listed.is_ready)
    return DocumentSource(
        document_index_of(update_number), endpoint_list.has_stated_generation, coordinator_ready
    )


def _drain_grace_of(config_json: dict[str, Any]) -> int:
    """Ticks within which proxies must acknowledge a drain."""
    obligations = config_json["settings"].get("obligations", {})
    return int(obligations.get("stop_sending_within_ms", DEFAULT_DRAIN_GRACE_MS) * TICKS_PER_MILLISECOND)
