"""Tests a control service with an endpoint list from watched files."""

import asyncio
import tempfile
import threading

from bench_free import SETTINGS, STANDING, free_port, until
from standins.xds_proxy import Proxy
from xds_service.service_rig import ProxyLoop

from wickvane import parts
from wickvane.events import EngineState
from wickvane.xds.catalog import Catalog
from wickvane.xds.command import fetch_client_status
from wickvane.xds.endpoint_snapshot import DEFAULT_REMOVAL_LIMIT, EndpointSnapshot, apply_event
from wickvane.xds.server import Server


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


def test_an_instance_is_behind_by_either_of_two_sources() -> None:
    catalog = Catalog()
    catalog.index = 5 << 29 | 100
    catalog.has_two_sources = True
    assert catalog.is_behind(6 << 29 | 90) and catalog.is_behind(4 << 29 | 101)
    assert not catalog.is_behind(5 << 29 | 100) and not catalog.is_behind(4 << 29 | 99)
    assert catalog.merged_index(6 << 29 | 90, 4 << 29 | 101) == 6 << 29 | 101
    catalog.has_two_sources = False
    assert not catalog.is_behind(4 << 29 | 101)


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
