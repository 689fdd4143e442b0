"""One instance of the control service without its sockets, by the few calls that the played streams make."""

from hashlib import blake2b
from typing import NamedTuple

import orjson
from bench_free import SETTINGS

from wickvane.net.service import parse_config
from wickvane.xds import endpoint_snapshot, snapshot_store
from wickvane.xds.control_plane import Hub, Nodes, Refused
from wickvane.xds.placement import Placement
from wickvane.xds.resources import Make
from wickvane.xds.server import Encoder
from wickvane.xds.stream import SOTW, Broken

__all__ = ["SOTW", "Instance", "Rejection"]

GRACE = 20_000  # ticks
SLOW_START = {"cold_from": 0.3, "cold_ms": 15_000.0, "fall_multiple": 2.5, "fall_ms": 3000.0}


class Rejection(Exception):
    """The stream is ended by the service."""


class Received(NamedTuple):
    """A response as its proxy sees it; described: the words that count for the digest."""

    kind: int
    nonce: str
    version: str
    versions: dict[str, str]
    removed: tuple[str, ...]
    is_heartbeat: bool
    described: tuple


def _registry():
    settings = SETTINGS | {"obligations": SETTINGS["obligations"] | SLOW_START}
    found = {
        "name": "control",
        "listen": "127.0.0.1:1",
        "seed": "1",
        "settings": settings,
        "coordinator": "127.0.0.1:1",
        "limits": {},
        "known": {"index": 1, "updates": []},
    }
    return parse_config(found, (), None).registry


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
    """The service's decisions behind plain calls."""

    def __init__(self, ttl: int, tables: int) -> None:
        floor = endpoint_snapshot.Floor(0.4, 1, endpoint_snapshot.STEPS, 50_000)
        self.hub = Hub(_placement(tables), Make(), GRACE, Nodes((), 20, 2), floor, ttl)
        self.encode = Encoder(self.hub)
        self.ttl = ttl

    def restarted_from_snapshot(self, now: int, ttl: int, tables: int) -> "Instance":
        fresh = Instance(ttl, tables)
        fresh.hub.restore(now, snapshot_store.read(snapshot_store.written(self.hub.fleet)))
        return fresh

    def endpoint_event(self, now: int, index: int, is_complete: bool, entries: list[tuple]) -> None:
        self.hub.listed(now, index, is_complete, entries)

    def tick(self, now: int) -> int | None:
        return self.hub.tick(now)

    def change_tables(self, now: int, tables: int) -> None:
        self.hub.settle(now, _placement(tables), Make())

    def change_node_rules(self, rules: tuple) -> None:
        self.hub.regroup(Nodes(rules, 20, 2))

    def open(self, now: int, variant: str, node: str) -> int:
        number = None
        try:
            number = self.hub.opened(now, variant)
            self.hub.named(number, node)
        except Refused as error:
            if number is not None:
                self.hub.closed(number)
            raise Rejection(str(error)) from None
        return number

    def close(self, stream: int) -> None:
        self.hub.closed(stream)

    def sotw_request(self, stream, now, kind, version, nonce, names, error) -> None:
        try:
            self.hub.sessions[stream].asked_sotw(now, kind, version, nonce, names, error)
        except Broken as problem:
            raise Rejection(str(problem)) from None

    def delta_request(self, stream, now, kind, nonce, subscribe, unsubscribe, initial, error) -> None:
        try:
            self.hub.sessions[stream].asked_delta(now, kind, nonce, subscribe, unsubscribe, initial, error)
        except Broken as problem:
            raise Rejection(str(problem)) from None

    def last_nonce(self, stream: int, kind: int) -> str:
        return self.hub.sessions[stream].kinds[kind].nonce

    def next_response(self, stream: int, now: int) -> Received | None:
        session = self.hub.sessions[stream]
        try:
            response = self.hub.next(stream, now)
        except Broken as problem:
            raise Rejection(str(problem)) from None
        if response is None:
            return None
        kind, nonce, version, names, removed, drain, heartbeat = response
        entries = self.hub.catalog.entries[kind]
        bodies = blake2b(b"".join(entries[name].body for name in names), digest_size=8).hexdigest()
        wire = self.encode(session.variant, response, session.ttl)
        wire_hash = blake2b(wire, digest_size=8).hexdigest()
        described = (
            int(kind),
            nonce,
            version,
            names,
            removed,
            bool(drain),
            bool(heartbeat),
            bodies,
            len(wire),
            wire_hash,
        )
        versions = {name: entries[name].version for name in names}
        return Received(int(kind), nonce, version, versions, removed, heartbeat, described)

    def next_response_time(self, stream: int, now: int) -> int | None:
        return self.hub.sessions[stream].next_at(now)

    def log_events(self) -> list[tuple]:
        return self.hub.told()

    def take_ready(self) -> list[int]:
        ready = sorted(self.hub.ready)
        self.hub.ready.clear()
        return ready

    def report_load(self, now, node, cluster, engine, done, errors, in_flight) -> None:
        self.hub.loaded(now, node, cluster, engine, done, errors, in_flight)

    def load(self, now: int) -> float | None:
        return self.hub.load(now)

    def status(self, now: int) -> str:
        return orjson.dumps(self.hub.status(now), option=orjson.OPT_SORT_KEYS).decode()
