"""The control service on loopback: drains, restarts, failover, slow start, many proxies."""

import os
import socket
import time

import pytest
from bench_free import Events, Stand, event, sse, until
from standins.xds_proxy import CDS, EDS, Answer, Proxy

from wickvane.xds.command import fetch_client_status
from wickvane.xds.snapshot_store import FILE_NAME, load_snapshot
from xds_service.service_rig import SETTINGS_KDL, RunningService, endpoint


@pytest.mark.parametrize("variant", ["sotw", "delta"])
def test_drain_reaches_proxies_at_once_and_unacknowledged_ones_are_logged(proxy_loop, variant):
    service = RunningService()
    good = proxy_loop.start(Proxy("good", variant), service.port)
    faulty = [
        proxy_loop.start(Proxy(f"faulty{n}", variant, **options), service.port)
        for n, options in enumerate(
            ({"answer": Answer.NACK}, {"answer": Answer.NOTHING}, {"answer_delay": 5.0}, {"reads": False})
        )
    ]
    # A proxy that learns of an engine only after its drain need not acknowledge the drain, and streams may
    # open late on a loaded machine.
    until(lambda: len(good.held[EDS]) == 9 and all(p.sends_to() >= {"e1"} for p in (good, faulty[1])))
    announced_at = service.announce(endpoint(1, "Terminating"))
    until(lambda: "e1" not in good.sends_to())
    assert good.stopped_sending_at["e1"] - announced_at < 1.0
    until(lambda: service.logged("drain-unacknowledged"), 4)
    late = {line["node"] for line in service.logged("drain-unacknowledged")}
    assert "good" not in late and "faulty1" in late and time.monotonic() - announced_at < 2.0 + 0.5
    for n in range(20):
        service.announce(endpoint(100 + n))
    until(lambda: service.server.control_plane.snapshot.index == service.index)
    rows = {(row["node"], row["type"]): row for row in fetch_client_status(f"127.0.0.1:{service.port}")}
    assert rows["faulty0", "CDS"]["state"] == "ERROR" and "takes nothing" in rows["faulty0", "CDS"]["why"]
    address = f"127.0.0.1:{service.port}"
    until(
        lambda: {row["state"] for row in fetch_client_status(address) if row["node"] == "good"} == {"SYNCED"}
    )
    for proxy in (good, *faulty):
        proxy_loop.stop(proxy)
    service.stop()


@pytest.mark.parametrize("variant", ["sotw", "delta"])
def test_restart_from_a_snapshot_without_the_coordinator_keeps_drains(proxy_loop, variant, tmp_path):
    """The coordinator does not return. Drained endpoints stay out of service, and the list is marked old."""
    settings = SETTINGS_KDL + f'snapshot "{tmp_path}"'
    service = RunningService(settings=settings)
    proxy = proxy_loop.start(Proxy("p", variant), service.port)
    until(lambda: "e2" in proxy.sends_to())
    proxy_loop.stop(proxy)  # the proxy is disconnected while the drain is announced
    service.announce(endpoint(2, "Terminating"))
    until(lambda: os.path.exists(tmp_path / FILE_NAME) and load_snapshot(tmp_path).index == 2)
    service.stop()
    service.coordinator.end()
    restarted = RunningService(settings=settings, events=service.coordinator, known=[], port=service.port)
    assert restarted.server.control_plane.snapshot.is_restored and until(
        lambda: restarted.logged("list-from-snapshot")
    )
    reconnected = proxy_loop.start(proxy, restarted.port)
    began = time.monotonic()
    until(lambda: "e2" not in reconnected.sends_to())
    assert time.monotonic() - began < 2.0 and len(reconnected.sends_to()) == 5
    proxy_loop.stop(reconnected)
    restarted.stop()
    # An instance with a damaged snapshot and without a coordinator sends nothing instead of an empty list.
    path = tmp_path / FILE_NAME
    path.write_bytes(path.read_bytes()[:-3])
    empty = RunningService(settings=settings, events=service.coordinator, known=[])
    other = proxy_loop.start(Proxy("other", variant), empty.port)
    time.sleep(0.3)
    assert until(lambda: empty.logged("snapshot-unreadable"))
    assert not other.held[CDS] and not empty.server.control_plane.is_serving
    proxy_loop.stop(other)
    empty.stop()


def test_failover_to_an_instance_with_an_older_list_does_not_restore_drained_endpoints(proxy_loop):
    newer, older = RunningService(), RunningService()
    proxy = proxy_loop.start(Proxy("p"), newer.port)
    until(lambda: "e3" in proxy.sends_to())
    newer.announce(endpoint(3, "Terminating"))
    until(lambda: "e3" not in proxy.sends_to())
    proxy_loop.stop(proxy)
    newer.stop()
    proxy_loop.start(proxy, older.port)
    until(lambda: older.logged("proxy-ahead"))
    time.sleep(0.2)
    assert "e3" not in proxy.sends_to() and older.server.control_plane.snapshot.index == 1
    older.announce(endpoint(3, "Terminating"))
    older.announce(endpoint(9))
    until(lambda: "e9" in proxy.sends_to())
    assert "e3" not in proxy.sends_to()
    proxy_loop.stop(proxy)
    older.stop()


def test_weights_in_slow_start_rise_in_steps_bounded_by_slow_proxies(proxy_loop):
    """Four engines join twelve; one proxy answers late, one rejects responses, and one does not answer."""
    service = RunningService(engines=12)
    proxies = [
        proxy_loop.start(Proxy(f"p{n}", **options), service.port)
        for n, options in enumerate(
            ({}, {"answer_delay": 0.5}, {"answer": Answer.NACK}, {"answer": Answer.NOTHING})
        )
    ]
    until(lambda: len(proxies[0].sends_to()) == 12)
    since = int(time.time() * 1000)
    service.announce(*[endpoint(20 + n, since=since) for n in range(4)])
    until(lambda: {"e20", "e21", "e22", "e23"} & proxies[0].sends_to())
    for _ in range(20):
        for proxy in proxies[:2]:
            for members in list(proxy.endpoints.values()):
                weights = {engine: weight for engine, priority, weight in members if not priority}
                age = time.time() * 1000 - since
                for engine, weight in weights.items():
                    if int(engine[1:]) >= 20:
                        assert weight <= 800 * (0.3 + 0.7 * age / 15_000) + 1
                        assert weight / sum(weights.values()) <= (0.3 + 0.7 * age / 15_000) / 3 + 0.01
        time.sleep(0.05)
    assert proxies[0].response_count < 40
    for proxy in proxies:
        proxy_loop.stop(proxy)
    service.stop()


def test_three_hundred_proxies_reconnect_at_once(proxy_loop):
    """Proxies keep the resources that they hold, and all receive a drain in time while they reconnect."""
    service = RunningService(engines=2000, settings="tables 60\n proxies 300\n streams 400")
    tables = [f"lookup/{n}" for n in (3, 4, 5)]
    proxies = [Proxy(f"p{n}", "delta", clusters=tables) for n in range(300)]
    for proxy in proxies:
        proxy_loop.start(proxy, service.port)
    until(lambda: all(len(proxy.endpoints) == 3 for proxy in proxies), 60)
    held = [proxy.sends_to() for proxy in proxies]
    assert len({frozenset(engines) for engines in held}) == 1
    for proxy in proxies:
        proxy_loop.stop(proxy)
        proxy.received_bytes = 0
    drained = min(held[0])
    updates_before = [proxy.endpoint_updates() for proxy in proxies]
    used_before = service.processor_seconds()
    service.announce(endpoint(int(drained[1:]), "Terminating"))
    for proxy in proxies:
        proxy_loop.start(proxy, service.port)
    until(lambda: all(drained not in proxy.sends_to() for proxy in proxies), 60)
    # How soon the proxies reconnect depends on the machine. The service must include the drain in the first
    # response to each of them, and serve all of them within the two seconds that a drain may take.
    assert service.processor_seconds() - used_before < 2.0
    assert {proxy.endpoint_updates() - before for proxy, before in zip(proxies, updates_before)} == {1}
    # Held resources are not sent again: each proxy is sent the endpoints of one cluster at most, not of all.
    assert max(proxy.received_bytes for proxy in proxies) < 4000
    announced_at = service.announce(endpoint(int(max(held[0])[1:]), "Terminating"))
    until(lambda: all(max(held[0]) not in proxy.sends_to() for proxy in proxies), 60)
    assert max(proxy.stopped_sending_at[max(held[0])] for proxy in proxies) - announced_at < 2.0
    for proxy in proxies:
        proxy_loop.stop(proxy)
    service.stop()


def test_coordinator_outage_of_ten_minutes_changes_nothing_for_proxies(proxy_loop):
    service = RunningService()
    proxy = proxy_loop.start(Proxy("p"), service.port)
    until(lambda: len(proxy.sends_to()) == 6)
    service.announce(endpoint(2, "Terminating"))
    until(lambda: "e2" not in proxy.sends_to())
    service.coordinator.listening.shutdown(socket.SHUT_RDWR)
    service.coordinator.listening.close()
    service.coordinator.send.put(None)
    until(lambda: service.logged("coordinator-connection-ended"))
    for _ in range(10):
        service.server.clock.zero += 60 * 10_000  # advances the clock by one minute
        service.server.loop.call_soon_threadsafe(service.server.tick)
        time.sleep(0.05)
    new_proxy = proxy_loop.start(Proxy("fresh", "sotw"), service.port)
    until(lambda: len(new_proxy.sends_to()) == 5)
    assert new_proxy.sends_to() == proxy.sends_to() == {"e0", "e1", "e3", "e4", "e5"}
    port = int(service.coordinator.address.rpartition(":")[2])
    restarted_coordinator = Events.__new__(Events)
    restarted_coordinator.send = service.coordinator.send.__class__()
    Stand.__init__(restarted_coordinator, port)
    restarted_coordinator.send.put(sse(3, event(3, endpoint(3, "Terminating"))))
    until(lambda: "e3" not in proxy.sends_to() and "e3" not in new_proxy.sends_to())
    assert "e2" not in proxy.sends_to()
    for connected in (proxy, new_proxy):
        proxy_loop.stop(connected)
    service.stop()
