"""The control service's sockets: gRPC streams of proxies, the coordinator's stream, signals, the log.

One event loop owns the hub and all streams; a stream has one task that reads and one that writes, and the
latter waits for its proxy alone. What is sent to many is put into octets once: of a response only the nonce
is a stream's own, and it stands at the end (a protobuf message's fields may come in any order).
"""

import asyncio
import os
import signal
import threading
import time

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from envoy.service.status.v3 import csds_pb2
from google.protobuf import any_pb2, duration_pb2
from google.protobuf.message import DecodeError

from wickvane.errors import ConfigError
from wickvane.net.clock import Clock
from wickvane.net.coordinator import Coordinator
from wickvane.net.counters import Counters
from wickvane.net.log import Log
from wickvane.net.threads import Threads
from wickvane.xds import snapshot_store
from wickvane.xds.catalog import EDS, NUMBER, TYPES, WORDS
from wickvane.xds.control_plane import Hub, Refused
from wickvane.xds.placement import Placement
from wickvane.xds.resources import Make
from wickvane.xds.stream import DELTA, SOTW, Broken

REQUEST_MOST = 4 << 20
SUPPORTS_TTL = "xds.config.supports-resource-ttl"
LOADS_EVERY_S = 10
FIRST_S = 10.0  # within which a stream names its node
SAVE_APART_S = 0.2  # a list that flaps is not written to disk each time
KEPT_ENCODED = 512
OPTIONS = (
    ("grpc.max_receive_message_length", REQUEST_MOST),
    ("grpc.so_reuseport", 0),
    ("grpc.keepalive_time_ms", 20_000),
    ("grpc.keepalive_timeout_ms", 10_000),
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.max_metadata_size", 16_384),
)


class Encoder:
    """Responses as octets; what is the same for many streams once."""

    def __init__(self, hub):
        self.hub, self.kept, self.generation = hub, {}, -1

    def __call__(self, variant, response, ttl):
        catalog = self.hub.catalog
        if self.generation != catalog.generation or len(self.kept) > KEPT_ENCODED:
            self.kept, self.generation = {}, catalog.generation
        key = variant, response[:1], response[2:], ttl
        data = self.kept.get(key)
        if data is None:
            data = self.kept[key] = (self.sotw if variant == SOTW else self.delta)(response, ttl)
        nonce = response.nonce.encode()
        return data + b"\x2a" + bytes((len(nonce),)) + nonce  # field 5 of both messages

    def sotw(self, response, ttl):
        made = discovery_pb2.DiscoveryResponse(version_info=response.version, type_url=TYPES[response.kind])
        entries = self.hub.catalog.entries[response.kind]
        for name in response.names:
            if ttl and response.kind == EDS:
                one = self.resource(response, name, entries[name], ttl)
                made.resources.add().Pack(one, deterministic=True)
            else:
                made.resources.add(type_url=TYPES[response.kind], value=entries[name].body)
        return made.SerializeToString()

    def delta(self, response, ttl):
        made = discovery_pb2.DeltaDiscoveryResponse(
            system_version_info=response.version,
            type_url=TYPES[response.kind],
            removed_resources=response.removed,
        )
        entries = self.hub.catalog.entries[response.kind]
        for name in response.names:
            made.resources.append(
                self.resource(response, name, entries[name], ttl if response.kind == EDS else 0)
            )
        return made.SerializeToString()

    def resource(self, response, name, entry, ttl):
        one = discovery_pb2.Resource(name=name, version=entry.version)
        if not response.heartbeat:
            one.resource.CopyFrom(any_pb2.Any(type_url=TYPES[response.kind], value=entry.body))
        if ttl:
            one.ttl.CopyFrom(duration_pb2.Duration(seconds=ttl // 10_000, nanos=ttl % 10_000 * 100_000))
        return one


class Streams:
    """The services that proxies call."""

    def __init__(self, server):
        self.server, self.hub, self.clock = server, server.hub, server.clock
        self.encode, self.wake = Encoder(server.hub), {}

    def handlers(self):
        def same(data):
            return data

        def generic(service, **methods):
            return grpc.method_handlers_generic_handler(service, methods)

        streams = grpc.stream_stream_rpc_method_handler
        return (
            generic(
                "envoy.service.discovery.v3.AggregatedDiscoveryService",
                StreamAggregatedResources=streams(self.sotw, discovery_pb2.DiscoveryRequest.FromString, same),
                DeltaAggregatedResources=streams(
                    self.delta, discovery_pb2.DeltaDiscoveryRequest.FromString, same
                ),
            ),
            generic(
                "envoy.service.load_stats.v3.LoadReportingService",
                StreamLoadStats=streams(
                    self.loads,
                    lrs_pb2.LoadStatsRequest.FromString,
                    lrs_pb2.LoadStatsResponse.SerializeToString,
                ),
            ),
            generic(
                "envoy.service.status.v3.ClientStatusDiscoveryService",
                FetchClientStatus=grpc.unary_unary_rpc_method_handler(
                    self.status,
                    csds_pb2.ClientStatusRequest.FromString,
                    csds_pb2.ClientStatusResponse.SerializeToString,
                ),
            ),
        )

    async def sotw(self, requests, context):
        await self.stream(SOTW, requests, context)

    async def delta(self, requests, context):
        await self.stream(DELTA, requests, context)

    async def stream(self, variant, requests, context):
        """One proxy's, from its first request to its end."""
        reason, code, number, hub = "closed", None, None, self.hub
        try:
            number = hub.opened(self.clock.now(), variant)
            woken = self.wake[number] = asyncio.Event()
            first = await asyncio.wait_for(anext(requests, None), FIRST_S)
            if first is None:
                return
            hub.named(number, first.node.id)
            self.known(context, first.node.id)
            session = hub.sessions[number]
            if variant == SOTW and SUPPORTS_TTL not in first.node.client_features:
                session.ttl = 0
            self.asked(variant, session, first)
            reader = asyncio.ensure_future(self.read(variant, session, requests, woken))
            try:
                await self.write(variant, session, context, woken, reader)
            finally:
                reader.cancel()
        except (Refused, Broken) as error:
            reason, code = "refused", grpc.StatusCode.RESOURCE_EXHAUSTED
            if isinstance(error, Refused):
                code = grpc.StatusCode.PERMISSION_DENIED
            self.server.log.line("proxy-refused", why=str(error), peer=context.peer())
            await context.abort(code, str(error))
        except TimeoutError:
            reason = "stalled"
            await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "it neither asks nor reads")
        except asyncio.CancelledError:
            reason = "lost"
            raise
        except (grpc.RpcError, grpc.aio.UsageError, DecodeError):
            reason = "lost"
        finally:
            self.wake.pop(number, None)
            if number is not None:
                session = hub.sessions.get(number)
                self.server.log.line(
                    "proxy-connection-ended",
                    reason=reason,
                    stream=number,
                    node=session and session.node,
                    variant=variant,
                    **(session.counts if session else {}),
                )
                hub.closed(number)
                self.server.counters.add(f"proxy-connections-ended-{reason}")

    def known(self, context, node):
        """With mutual TLS a node is who its certificate says, or something under that name."""
        if self.server.part.tls is None:
            return
        auth = context.auth_context()
        names = [
            name.decode("utf-8", "replace")
            for key in ("x509_subject_alternative_name", "x509_common_name")
            for name in auth.get(key, ())
        ]
        if not any(node == name or node.startswith(name + "/") for name in names):
            raise Refused(f"the certificate is not node {node[:64]}'s")

    def asked(self, variant, session, request):
        kind = NUMBER.get(request.type_url)
        if kind is None:
            return  # a type that is not served here: nothing of it is ever sent
        now = self.clock.now()
        error = request.error_detail.message if request.HasField("error_detail") else None
        if variant == SOTW:
            session.asked_sotw(
                now, kind, request.version_info, request.response_nonce, request.resource_names, error
            )
        else:
            session.asked_delta(
                now,
                kind,
                request.response_nonce,
                request.resource_names_subscribe,
                request.resource_names_unsubscribe,
                request.initial_resource_versions,
                error,
            )

    async def read(self, variant, session, requests, woken):
        try:
            async for request in requests:
                if request.node.id:
                    self.hub.named(session.number, request.node.id)
                self.asked(variant, session, request)
                woken.set()
        finally:
            woken.set()

    async def write(self, variant, session, context, woken, reader):
        stall = self.server.part.stall / 10_000
        while True:
            woken.clear()
            if reader.done():
                await reader  # raises what it ended by
                return
            now = self.clock.now()
            response = self.hub.next(session.number, now)
            self.server.say(self.hub.told())
            if response is not None:
                data = self.encode(variant, response, session.ttl)
                self.server.sent(response, len(data))
                await asyncio.wait_for(context.write(data), stall)
                continue
            at = session.next_at(now)
            try:
                await asyncio.wait_for(woken.wait(), None if at is None else max(0.0005, (at - now) / 10_000))
            except TimeoutError:
                pass

    def wake_ready(self):
        """After something happened that concerns many."""
        for number in sorted(self.hub.ready):
            if number in self.wake:
                self.wake[number].set()
        self.hub.ready.clear()

    async def loads(self, requests, context):
        node = None
        async for request in requests:
            if node is None:
                node = request.node.id[:256]
                try:
                    self.known(context, node)
                except Refused as error:
                    await context.abort(grpc.StatusCode.PERMISSION_DENIED, str(error))
                await context.write(
                    lrs_pb2.LoadStatsResponse(
                        send_all_clusters=True,
                        report_endpoint_granularity=True,
                        load_reporting_interval=duration_pb2.Duration(seconds=LOADS_EVERY_S),
                    )
                )
            now = self.clock.now()
            for cluster in request.cluster_stats:
                for zone in cluster.upstream_locality_stats:
                    rows = [
                        (f"{e.address.socket_address.address}:{e.address.socket_address.port_value}", e)
                        for e in zone.upstream_endpoint_stats
                    ] or [("", zone)]
                    for engine, row in rows:
                        self.hub.loaded(
                            now,
                            node,
                            cluster.cluster_name[:512],
                            engine[:128],
                            row.total_successful_requests,
                            row.total_error_requests,
                            row.total_requests_in_progress,
                        )

    async def status(self, request, context):
        now, made = self.clock.now(), csds_pb2.ClientStatusResponse()
        for row in self.hub.status(now)["nodes"]:
            one = made.config.add(node=base_pb2.Node(id=row["node"]))
            one.node.metadata.update(
                {
                    name: row[name]
                    for name in (
                        "stream",
                        "variant",
                        "lag_ms",
                        "sent",
                        "acknowledged",
                        "refused",
                        "told-again",
                        "late",
                    )
                }
            )
            one.node.metadata.update({"index": self.hub.fleet.index, "old": self.hub.fleet.old})
            if self.server.members:
                found = self.server.members.membership
                one.node.metadata.update({"generation": found.generation, "digest": found.target.digest})
            for word, state in row["types"].items():
                found = one.generic_xds_configs.add(
                    type_url=TYPES[WORDS.index(word)], version_info=state["version"]
                )
                found.config_status = (
                    csds_pb2.SYNCED
                    if state["synced"]
                    else (csds_pb2.ERROR if state["refused"] else csds_pb2.STALE)
                )
                if state["refused"]:
                    found.error_state.details = state["refused"]
        return made


def credentials(secrets):
    """Of mutual TLS, read anew whenever a file of it was changed; one that cannot be used changes nothing."""

    def stamp():
        return tuple(os.stat(path).st_mtime_ns for path in secrets)

    def read():
        with (
            open(secrets.key, "rb") as key,
            open(secrets.certificate, "rb") as certificate,
            open(secrets.authority, "rb") as authority,
        ):
            return grpc.ssl_server_certificate_configuration(
                [(key.read(), certificate.read())], authority.read()
            )

    held = [stamp()]

    def again():
        try:
            if (now := stamp()) == held[0]:
                return None
            held[0] = now
            return read()
        except (OSError, ValueError):
            return None

    return grpc.dynamic_ssl_server_credentials(read(), again, True)


class Server:
    """part: what the parts document has under control; found: the configuration."""

    def __init__(self, found, part, log_to=1, members=None):
        from wickvane.net.service import parse_config

        config = parse_config(found, (), members)
        registry, self.followed, self.known = config.registry, config.coordinator, config.known
        self.members_part, self.members = members, None
        self.part, self.clock, self.counters = part, Clock(), Counters()
        self.log, self.name = Log(log_to, self.clock), found.get("name") or "control"
        grace = int(found["settings"].get("obligations", {}).get("stop_sending_within_ms", 2000) * 10)
        placement = self.placed(registry, part)
        self.hub = Hub(placement, Make(), grace, part.nodes, part.floor, part.ttl, part.epoch)
        if members:
            self.hub.catalog.parted = members.terms.overrides
            self.members = self.membership(registry, members)
        self.streams = Streams(self)
        self.seed, self.loop, self.saving, self.saved_at = found.get("seed", 0), None, None, 0.0
        self.ticker, self.ready = None, threading.Event()

    @staticmethod
    def placed(registry, part):
        return Placement(
            registry.deployment,
            registry.group_names,
            range(part.tables + 1),
            part.proxies,
            list(registry.kinds.index),
            list(registry.zones.index),
        )

    # The list

    def membership(self, registry, part):
        """The list from watched files, where the parts document has it."""
        from wickvane.endpoints.checks import facts_of
        from wickvane.endpoints.source import Source

        return Source(
            part,
            facts_of(registry),
            self.listed,
            self.clock,
            self.log,
            self.counters,
            lambda: self.hub.load(self.clock.now()),
            None,
            self.name,
        )

    def listed(self, number, whole, entries, back=()):
        """From the coordinator's thread, or that of watched files."""
        self.loop.call_soon_threadsafe(self.take, number, whole, entries, back)

    def take(self, number, whole, entries, back=()):
        before = self.hub.fleet
        self.hub.listed(self.clock.now(), number, whole, entries, back)
        self.after(before)

    def after(self, before):
        self.streams.wake_ready()
        self.say(self.hub.told())
        self.tick_later()
        if self.part.snapshot and self.hub.fleet is not before and self.saving is None:
            self.saving = self.loop.call_later(
                max(0.0, SAVE_APART_S - (time.monotonic() - self.saved_at)), self.save
            )

    def tick_later(self):
        """Looks again when time alone will have brought something."""
        if self.ticker is not None:
            self.ticker.cancel()
            self.ticker = None
        now = self.clock.now()
        at = self.hub.tick(now)
        self.streams.wake_ready()
        if at is not None:
            self.ticker = self.loop.call_later(max(0.001, (at - now) / 10_000), self.ticked)

    def ticked(self):
        before = self.hub.fleet
        self.ticker = None
        self.tick_later()
        if self.hub.fleet is not before:
            self.after(before)

    def save(self):
        self.saving, self.saved_at = None, time.monotonic()
        found = self.hub.fleet
        self.loop.run_in_executor(None, self.save_now, found)

    def save_now(self, found):
        try:
            snapshot_store.save(self.part.snapshot, found)
        except OSError as error:
            self.counters.add("snapshots-failed")
            self.log.line("snapshot-failed", why=error.strerror)

    def restore(self):
        if not self.part.snapshot:
            return
        try:
            found = snapshot_store.load(self.part.snapshot)
        except snapshot_store.Unreadable as error:
            self.counters.add("snapshots-unreadable")
            self.log.line("snapshot-unreadable", why=str(error))
            return
        if found is not None:
            self.hub.restore(self.clock.now(), found)

    # What is seen

    def say(self, turns):
        for event, fields in turns:
            self.log.line(event, **fields)
            self.counters.add(event)

    def sent(self, response, octets):
        self.counters.add(f"sent-{WORDS[response.kind]}")
        self.counters.add("octets-sent", octets)
        if response.drain:
            self.counters.add("drains-sent")
        if response.heartbeat:
            self.counters.add("heartbeats-sent")

    def show(self, why):
        self.log.line(
            "counters",
            why=why,
            cpu_s=time.process_time(),
            **self.hub.status(self.clock.now()),
            **({"members": self.members.status()} if self.members else {}),
            counters=self.counters.shown(),
        )

    # Life

    async def serve(self):
        """Until stop() is called."""
        self.loop, self.stopped = asyncio.get_running_loop(), asyncio.Event()
        server = self.server = grpc.aio.server(options=OPTIONS)
        server.add_generic_rpc_handlers(self.streams.handlers())
        host, port = self.part.listen
        place = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        try:
            if self.part.tls:
                server.add_secure_port(place, credentials(self.part.tls))
            else:
                server.add_insecure_port(place)
        except (RuntimeError, OSError, ValueError) as error:
            raise ConfigError(f"cannot listen on {place}: {error}", 1) from None
        self.restore()
        # What the configuration knows comes before the first proxy, so that none is told less.
        self.coordinator, follower = None, None
        if self.followed:
            listed = self.members.streamed if self.members else self.listed
            self.coordinator = Coordinator(self.followed, (0, []), listed, self.seed, self.log, self.counters)
            self.coordinator.last = max([self.known[0], *(event[0] for event in self.known[1])], default=0)
        if self.members:
            await asyncio.to_thread(self.members.start, self.known[1] if self.followed else ())
        else:
            for number, whole, entries in self.known[1]:
                self.take(number, whole, entries)
        self.after(None if self.hub.fleet.index else self.hub.fleet)
        await server.start()
        if self.coordinator:
            follower = await asyncio.to_thread(
                Threads(self.log, self.counters).needed, self.coordinator.run, "coordinator"
            )
        self.log.line("ready", name=self.name, listen=place, pid=os.getpid())
        self.ready.set()
        try:
            await self.stopped.wait()
        finally:
            if self.coordinator:
                self.coordinator.stop()
            if self.members:
                await asyncio.to_thread(self.members.stop)
            if self.part.snapshot:
                self.save_now(self.hub.fleet)
            await server.stop(0.2)
            if follower:
                await asyncio.to_thread(follower.join, 1.0)  # so that the counters are the last line
            self.show("exit")

    def stop(self):
        """From any thread."""
        self.loop.call_soon_threadsafe(self.stopped.set)

    def reload(self, path, parts_path):
        """A changed configuration and document, whole or not at all: table groups, resource groups, nodes,
        the floor and the coordinator."""
        from wickvane import parts
        from wickvane.net.service import configuration, parse_config

        try:
            config = parse_config(configuration(path), (), self.members_part)
            registry, followed, (_, events) = config.registry, config.coordinator, config.known
            document = parts.read(parts_path)
            part = document.get("control")
            if document.get("members") != self.members_part:
                raise parts.Unusable("members: a change of it needs a restart")
            moves = dict.fromkeys(("tables", "nodes", "floor", "proxies"))
            if part is None or part._replace(**moves) != self.part._replace(**moves):
                raise parts.Unusable(
                    "control: listen, epoch, tls, snapshot, stall and time-to-live need a restart"
                )
            placement = self.placed(registry, part)
        except Exception as error:
            self.counters.add("configurations-unusable")
            self.log.line("configuration-unusable", why=str(error))
            return
        if part.nodes != self.part.nodes:
            self.hub.regroup(part.nodes)
        self.part, self.hub.floor = part, part.floor
        self.hub.settle(self.clock.now(), placement, Make())
        if self.members:
            self.members.wake()
        if self.coordinator:
            self.coordinator.move(followed, events)
        self.log.line("configuration-taken")
        self.after(self.hub.fleet)

    def run(self, path, parts_path):
        """As the program: signals, until it is ended."""
        writer = Threads(self.log, self.counters).needed(self.log.run, "log")

        async def main():
            loop = asyncio.get_running_loop()
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, lambda: self.stopped.set())
            loop.add_signal_handler(signal.SIGHUP, lambda: self.reload(path, parts_path))
            loop.add_signal_handler(signal.SIGUSR1, lambda: self.show("asked"))
            await self.serve()

        try:
            asyncio.run(main())
        finally:
            self.log.close()
            writer.join(1.0)
        return 0
