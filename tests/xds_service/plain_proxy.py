"""A plain xDS client, and a control plane whose resources are JSON instead of protobuf."""

import orjson
from bench_free import group, site

from wickvane.events import EngineState
from wickvane.units import TICKS_PER_SECOND
from wickvane.xds.control_plane import ControlPlane
from wickvane.xds.messages import DeltaDiscoveryRequest, DiscoveryRequest, Variant
from wickvane.xds.placement import (
    Placement,
)
from wickvane.xds.resource_types import ResourceType

TABLES = (1, 2, 3)
CDS, EDS, LDS, RDS = ResourceType
SOTW, DELTA = Variant


def entry(name, state=EngineState.READY, started=0, kind="old", zone="dc", port=None):
    return name, ("127.0.0.1", port or 1000 + int(name[1:])), state, zone, kind, 0, started, 1.0


class PlainResources:
    """Resources as JSON, in place of xDS."""

    def build_static(self, placement):
        return {
            CDS: {name: b"c" for name in placement.cluster_names()},
            LDS: {g: b"l" for g in placement.class_of},
            RDS: {g: b"r" for g in placement.class_of},
        }

    def build_assignment(self, name, places):
        return orjson.dumps([[p.name, p.priority, p.weight] for p in places])

    def belongs_to(self, placement, kind, name, groups):
        return name in groups if kind in (LDS, RDS) else name.partition("/")[0] in groups


def build_placement(groups=None, **more):
    deployment = site(groups or [group()], **more)
    names = [f"g{n}" for n in range(len(deployment.groups))]
    return Placement(deployment, names, TABLES, 2, ["old", "new"], ["dc", "far"])


def build_control_plane(**more):
    return ControlPlane(build_placement(), PlainResources(), 2 * TICKS_PER_SECOND, **more)


class PlainProxy:
    """A plain proxy: what it holds, by type. apply() is what an xDS client does."""

    def __init__(self, variant, name):
        self.variant, self.name, self.held = variant, name, [{} for _ in range(4)]
        self.versions, self.whole, self.control_plane, self.number = (
            [{} for _ in range(4)],
            [""] * 4,
            None,
            None,
        )
        self.late = []  # responses that came and are not answered
        self.newest = 0  # index of the newest list that an accepted response followed from

    def connect(self, control_plane, now):
        self.disconnect(now)
        self.control_plane, self.number, self.late = (
            control_plane,
            control_plane.open_stream(now, self.variant),
            [],
        )
        control_plane.identify(self.number, self.name)
        session = control_plane.streams[self.number]
        for kind in (CDS, EDS, LDS, RDS):
            names = (
                []
                if kind in (CDS, LDS)
                else sorted(self.held[(CDS, None, None, LDS)[kind] if kind != EDS else CDS])
            )
            if kind == EDS:
                names = [f"g0/{table}" for table in (0, *TABLES)]
            if kind == RDS:
                names = ["g0"]
            if self.variant == SOTW:
                session.receive(now, DiscoveryRequest(kind, self.whole[kind], "", names, None))
            else:
                session.receive(now, DeltaDiscoveryRequest(kind, "", names, [], self.versions[kind], None))

    def disconnect(self, now):
        if self.control_plane is not None and self.number in self.control_plane.streams:
            self.control_plane.close_stream(self.number)
        self.control_plane = None

    def receive(self, now):
        """Takes what is next into its line; whether there was something."""
        response = self.control_plane.next_response(self.number, now)
        if response is None:
            return False
        entries = self.control_plane.catalog.resources[response.resource_type]
        self.late.append(
            (response, {name: entries[name] for name in response.names}, self.control_plane.snapshot.index)
        )
        return True

    def answer(self, now, refuse):
        """The oldest that came: applied and acknowledged, or refused."""
        if not self.late:
            return
        response, entries, index = self.late.pop(0)
        kind, session = response.resource_type, self.control_plane.streams[self.number]
        error = "no" if refuse else None
        if not refuse and not response.is_heartbeat:
            if self.variant == SOTW and kind in (CDS, LDS):
                self.held[kind].clear()
            for name, entry in entries.items():
                self.held[kind][name], self.versions[kind][name] = entry.body, entry.version
            for name in response.removed:
                self.held[kind].pop(name, None)
                self.versions[kind].pop(name, None)
            self.whole[kind] = response.version
            if kind == EDS:
                self.newest = max(self.newest, index)
        names = [f"g0/{table}" for table in (0, *TABLES)] if kind == EDS else ["g0"] if kind == RDS else []
        if self.variant == SOTW:
            session.receive(now, DiscoveryRequest(kind, self.whole[kind], response.nonce, names, error))
        else:
            session.receive(now, DeltaDiscoveryRequest(kind, response.nonce, [], [], {}, error))

    def sends_to(self):
        return {row[0] for body in self.held[EDS].values() for row in orjson.loads(body) if row[2]}


def settle(proxy, now, times=30):
    for n in range(times):
        if not proxy.receive(now + 600 * n):
            continue
        proxy.answer(now + 600 * n, False)
    return now + 600 * times
