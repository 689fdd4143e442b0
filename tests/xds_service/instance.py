"""One instance of the control service without sockets, with the calls that stream scenarios need."""

from hashlib import blake2b
from typing import NamedTuple

import orjson
from bench_free import SETTINGS

from wickvane.net.service import parse_config
from wickvane.xds.control_plane import ControlPlane
from wickvane.xds.encoder import ResponseEncoder, sent_resource
from wickvane.xds.endpoint_snapshot import ExcessAction, RemovalLimit
from wickvane.xds.errors import StreamProtocolError, StreamRejectedError
from wickvane.xds.load_reports import LoadKey
from wickvane.xds.log_events import to_log_record
from wickvane.xds.messages import DeltaDiscoveryRequest, DiscoveryRequest, Variant
from wickvane.xds.node_access import NodeAccess
from wickvane.xds.placement import Placement
from wickvane.xds.resource_types import ResourceType
from wickvane.xds.resources import ResourceBuilder
from wickvane.xds.snapshot_store import decode_snapshot, encode_snapshot

__all__ = ["SOTW", "Instance", "Rejection"]

SOTW = Variant.SOTW.value
GRACE = 20_000  # ticks
SLOW_START = {"cold_from": 0.3, "cold_ms": 15_000.0, "fall_multiple": 2.5, "fall_ms": 3000.0}


class Rejection(Exception):
    """The service has ended the stream."""


class Received(NamedTuple):
    """A response as its proxy receives it; described: the values that the digest covers."""

    kind: int
    nonce: str
    version: str
    versions: dict[str, str]
    removed: tuple[str, ...]
    is_heartbeat: bool
    described: tuple


def _registry():
    settings = SETTINGS | {"obligations": SETTINGS["obligations"] | SLOW_START}
    config = {
        "name": "control",
        "listen": "127.0.0.1:1",
        "seed": "1",
        "settings": settings,
        "coordinator": "127.0.0.1:1",
        "limits": {},
        "known": {"index": 1, "updates": []},
    }
    return parse_config(config, (), None).registry


def _placement(tables: int) -> Placement:
    registry = _registry()
    return Placement(
        registry.deployment,
        registry.group_names,
        range(tables + 1),
        4,
        list(registry.kinds.index),
        list(registry.zones.index),
    )


class Instance:
    """The service's decisions, with an interface of plain values."""

    def __init__(self, ttl: int, tables: int) -> None:
        limit = RemovalLimit(0.4, 1, ExcessAction.REMOVE_IN_STEPS, 50_000)
        access = NodeAccess((), 20, 2)
        self.control_plane = ControlPlane(_placement(tables), ResourceBuilder(), GRACE, access, limit, ttl)
        self.encoder = ResponseEncoder(self.control_plane.catalog)
        self.ttl = ttl

    def restarted_from_snapshot(self, now: int, ttl: int, tables: int) -> "Instance":
        restarted = Instance(ttl, tables)
        stored = encode_snapshot(self.control_plane.snapshot)
        restarted.control_plane.restore(now, decode_snapshot(stored))
        return restarted

    def endpoint_event(self, now: int, index: int, is_complete: bool, entries: list[tuple]) -> None:
        self.control_plane.apply_endpoint_event(now, index, is_complete, entries)

    def tick(self, now: int) -> int | None:
        return self.control_plane.tick(now)

    def change_tables(self, now: int, tables: int) -> None:
        self.control_plane.change_settings(now, _placement(tables), ResourceBuilder())

    def change_node_rules(self, rules: tuple) -> None:
        self.control_plane.change_access(NodeAccess(rules, 20, 2))

    def open(self, now: int, variant: str, node: str) -> int:
        number = None
        try:
            number = self.control_plane.open_stream(now, Variant(variant))
            self.control_plane.identify(number, node)
        except StreamRejectedError as error:
            if number is not None:
                self.control_plane.close_stream(number)
            raise Rejection(str(error)) from None
        return number

    def close(self, stream: int) -> None:
        self.control_plane.close_stream(stream)

    def sotw_request(self, stream, now, kind, version, nonce, names, error) -> None:
        request = DiscoveryRequest(ResourceType(kind), version, nonce, names, error)
        self._receive(stream, now, request)

    def delta_request(self, stream, now, kind, nonce, subscribe, unsubscribe, initial, error) -> None:
        request = DeltaDiscoveryRequest(ResourceType(kind), nonce, subscribe, unsubscribe, initial, error)
        self._receive(stream, now, request)

    def _receive(self, stream: int, now: int, request: DiscoveryRequest | DeltaDiscoveryRequest) -> None:
        try:
            self.control_plane.streams[stream].receive(now, request)
        except StreamProtocolError as error:
            raise Rejection(str(error)) from None

    def last_nonce(self, stream: int, kind: int) -> str:
        return self.control_plane.streams[stream].subscriptions[kind].last_nonce

    def next_response(self, number: int, now: int) -> Received | None:
        stream = self.control_plane.streams[number]
        try:
            response = self.control_plane.next_response(number, now)
        except StreamProtocolError as error:
            raise Rejection(str(error)) from None
        if response is None:
            return None
        kind, nonce, version, names, removed, is_drain, is_heartbeat, _, _ = response
        resources = {name: sent_resource(self.control_plane.catalog, response, name) for name in names}
        bodies = blake2b(b"".join(resources[name].body for name in names), digest_size=8).hexdigest()
        encoded = self.encoder.encode(stream.variant, response, stream.ttl)
        encoded_hash = blake2b(encoded, digest_size=8).hexdigest()
        described = (
            int(kind),
            nonce,
            version,
            names,
            removed,
            bool(is_drain),
            bool(is_heartbeat),
            bodies,
            len(encoded),
            encoded_hash,
        )
        versions = {name: resources[name].version for name in names}
        return Received(int(kind), nonce, version, versions, removed, is_heartbeat, described)

    def next_response_time(self, stream: int, now: int) -> int | None:
        return self.control_plane.streams[stream].next_response_time(now)

    def log_events(self) -> list[tuple]:
        return [to_log_record(event) for event in self.control_plane.take_log_events()]

    def take_ready(self) -> list[int]:
        ready = sorted(self.control_plane.ready_streams)
        self.control_plane.ready_streams.clear()
        return ready

    def report_load(self, now, node, cluster, endpoint, succeeded, failed, in_progress) -> None:
        key = LoadKey(node, cluster, endpoint)
        self.control_plane.report_load(now, key, succeeded, failed, in_progress)

    def load(self, now: int) -> float | None:
        return self.control_plane.requests_in_progress(now)

    def status(self, now: int) -> str:
        return orjson.dumps(self.control_plane.status(now), option=orjson.OPT_SORT_KEYS).decode()
