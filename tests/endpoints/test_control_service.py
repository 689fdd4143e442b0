"""Tests a control service with an endpoint list from watched files."""

import asyncio
import copy
import tempfile
import threading

from bench_free import SETTINGS, STANDING, free_port, until
from standins.xds_proxy import Proxy
from xds_service.in_memory_proxy import InMemoryProxy, build_control_plane, entry, settle
from xds_service.service_rig import ProxyLoop

from wickvane import parts
from wickvane.endpoints.effects import STREAM_BITS, document_index_of
from wickvane.events import EngineState
from wickvane.xds.command import fetch_client_status
from wickvane.xds.control_plane import ControlPlane
from wickvane.xds.endpoint_snapshot import (
    DEFAULT_REMOVAL_LIMIT,
    DocumentSource,
    EndpointSnapshot,
    apply_event,
)
from wickvane.xds.messages import Variant
from wickvane.xds.server import Server
from wickvane.xds.snapshot_store import decode_snapshot, encode_snapshot
from wickvane.xds.tombstones import Tombstone, engine_digest


def test_only_readmission_returns_a_drained_endpoint() -> None:
    row = ("e1", ("127.0.0.1", 1), EngineState.READY, "dc", "old", 0, 0, 1.0)
    listed, _ = apply_event(EndpointSnapshot(), 0, 1, True, [row], DEFAULT_REMOVAL_LIMIT)
    drained, _ = apply_event(
        listed, 1, 2, False, [(*row[:2], EngineState.DRAINING, *row[3:])], DEFAULT_REMOVAL_LIMIT
    )
    unchanged, notes = apply_event(drained, 2, 3, False, [row], DEFAULT_REMOVAL_LIMIT)
    assert unchanged.endpoints["e1"].state == EngineState.DRAINING and notes
    readmitted, notes = apply_event(drained, 2, 3, False, [row], DEFAULT_REMOVAL_LIMIT, {"e1"})
    assert readmitted.endpoints["e1"].state == EngineState.READY and not notes


OVERRIDES = 5 << STREAM_BITS  # the number of an update by generation and step; the stream's event is added


def from_documents(index: int, *coordinator_ready: str) -> DocumentSource:
    return DocumentSource(document_index_of(index), True, frozenset(coordinator_ready))


def overridden(*updates: tuple[int, list[tuple], tuple[str, ...]]) -> ControlPlane:
    """An instance whose documents override the coordinator's list, after updates of (number, entries, names
    that the coordinator lists as ready)."""
    control_plane = build_control_plane()
    for position, (number, entries, coordinator_ready) in enumerate(updates):
        documents = from_documents(number, *coordinator_ready)
        control_plane.apply_endpoint_event(0, number, not position, entries, (), documents)
    return control_plane


ALL = tuple(f"e{number}" for number in range(6))
LISTED = [entry(name) for name in ALL]


def test_an_instance_is_behind_by_either_of_two_sources() -> None:
    """An older generation or a missing event of the stream each keep a drain; numbers of the stream do not
    compare."""
    proxy = InMemoryProxy(Variant.DELTA, "p")
    by_file = entry("e1", EngineState.DRAINING)
    by_stream = entry("e2", EngineState.DRAINING)
    ahead = overridden(
        (OVERRIDES + 1, LISTED, ALL),
        (OVERRIDES + 2, [by_stream], ("e0", "e1", "e3", "e4", "e5")),
        ((6 << STREAM_BITS) + 2, [by_file], ("e0", "e1", "e3", "e4", "e5")),
    )
    proxy.connect(ahead, 0)
    now = settle(proxy, 0)
    assert proxy.sends_to() == {"e0", "e3", "e4", "e5"}

    def sends_to_through(control_plane: ControlPlane) -> set[str]:
        nonlocal now
        moved = copy.deepcopy(proxy)
        moved.connect(control_plane, now)
        settle(moved, now)
        return moved.sends_to()

    behind_by_both = overridden((OVERRIDES + 90, LISTED, ALL))
    assert sends_to_through(behind_by_both) == {"e0", "e3", "e4", "e5"}
    # The newer generation has the engine ready again; the stream's drain still holds.
    ahead_by_file = overridden(((7 << STREAM_BITS) + 1, LISTED, ALL))
    assert sends_to_through(ahead_by_file) == {"e0", "e1", "e3", "e4", "e5"}
    ahead_by_stream = overridden(
        (OVERRIDES + 100, LISTED, ALL),
        (OVERRIDES + 101, [by_stream], ("e0", "e1", "e3", "e4", "e5")),
    )
    assert sends_to_through(ahead_by_stream) == {"e0", "e3", "e4", "e5"}
    caught_up = overridden(
        ((6 << STREAM_BITS) + 1, [LISTED[0], by_file, by_stream, *LISTED[3:]], ("e0", "e1", "e3", "e4", "e5"))
    )
    assert sends_to_through(caught_up) == {"e0", "e3", "e4", "e5"}


def test_drain_by_documents_is_revoked_by_newer_ones_after_a_restart_and_the_coordinators_is_not() -> None:
    """Guards against a snapshot whose number from an earlier numbering hides what documents changed during a
    stop, and against a drain by the coordinator that documents would revoke."""
    by_file = entry("e1", EngineState.DRAINING)
    by_stream = entry("e2", EngineState.DRAINING)
    coordinator_ready = ("e0", "e1", "e3", "e4", "e5")
    before = overridden(
        (OVERRIDES + 1, LISTED, ALL),
        (OVERRIDES + 40, [by_stream], coordinator_ready),
        ((6 << STREAM_BITS) + 40, [by_file], coordinator_ready),
    )

    def names_after(*updates: tuple[int, list[tuple], tuple[str, ...]]) -> list[str]:
        control_plane = build_control_plane()
        control_plane.restore(0, decode_snapshot(encode_snapshot(before.snapshot)))
        for position, (number, entries, ready) in enumerate(updates):
            documents = from_documents(number, *ready)
            control_plane.apply_endpoint_event(0, number, not position, entries, (), documents)
        return sorted(endpoint.name for endpoint in control_plane.snapshot.ready())

    # The coordinator's list comes before the first document; it revokes nothing.
    listed = [*LISTED[:2], by_stream, *LISTED[3:]]
    assert names_after((1, listed, coordinator_ready)) == ["e0", "e3", "e4", "e5"]
    # Generations that no document states are numbered anew, too.
    revoked = (1, listed, coordinator_ready), ((1 << 43) + 1, [LISTED[1]], coordinator_ready)
    assert names_after(*revoked) == ["e0", "e1", "e3", "e4", "e5"]
    # A drain by the coordinator during the stop holds, whatever the documents say.
    both = [LISTED[0], by_file, by_stream, *LISTED[3:]]
    drained = (1, both, ("e0", "e3", "e4", "e5")), ((1 << 43) + 1, [LISTED[1]], ALL)
    assert names_after(*drained) == ["e0", "e3", "e4", "e5"]


def test_drains_by_documents_without_a_stated_generation_are_in_no_version() -> None:
    """Guards against generations of two instances that are compared though each numbers its own."""
    control_plane = build_control_plane()
    control_plane.apply_endpoint_event(0, 1 << 43, True, LISTED, (), DocumentSource(1 << 14))
    drained = [entry("e1", EngineState.DRAINING)]
    control_plane.apply_endpoint_event(0, 2 << 43, False, drained, (), DocumentSource(2 << 14))
    assert control_plane.views.tombstones == ""
    control_plane.apply_endpoint_event(0, 3 << 43, False, [], (), DocumentSource(3 << 14, True))
    assert control_plane.views.tombstones == str(Tombstone(engine_digest("e1"), 0, 2 << 14))


def test_proxies_follow_a_file(path: str) -> None:
    text = (
        "members {\n"
        + "".join(f'engine "e{n}" address="127.0.0.1:{20_000 + n}" zone="dc" type="old"\n' for n in range(4))
        + "}"
    )
    with open(path, "w") as file:
        file.write(text)
    port = free_port()
    extensions = parts.read_text(
        f'control {{ listen "127.0.0.1:{port}"; tables 3; proxies 2 }}\n'
        f'members {{ file "{path}"; still "20ms"; poll "100ms" }}'
    )
    log = tempfile.TemporaryFile()
    STANDING.append(log)
    server = Server(
        {"name": "c", "listen": "127.0.0.1:1", "seed": "1", "settings": SETTINGS},
        extensions["control"],
        log.fileno(),
        extensions["members"],
    )
    threading.Thread(target=server.log.run, daemon=True).start()
    thread = threading.Thread(target=lambda: asyncio.run(server.serve()), daemon=True)
    thread.start()
    assert server.ready.wait(30)
    loop = ProxyLoop()
    proxy = loop.start(Proxy("p"), port)
    until(lambda: proxy.sends_to() == {"e0", "e1", "e2", "e3"})
    with open(path, "w") as file:
        file.write(text.replace('type="old"', 'type="old" weight=0', 1))
    until(lambda: proxy.sends_to() == {"e1", "e2", "e3"})
    with open(path, "w") as file:
        file.write(text)
    until(lambda: proxy.sends_to() == {"e0", "e1", "e2", "e3"})
    (row,) = {(r["generation"], r["digest"]) for r in fetch_client_status(f"127.0.0.1:{port}")}
    assert row == (3, server.members.endpoint_list.generations.target.digest)
    loop.stop(proxy)
    server.stop()
    thread.join(10)
