"""The control service on loopback: mutual TLS, node rules, invalid streams and reloads."""

import json
import os
import time

import grpc
import pytest
import trustme
from bench_free import until
from standins.xds_proxy import CDS, EDS, LDS, Proxy

from xds_service.service_rig import SETTINGS_KDL, RunningService, endpoint


def test_mutual_tls_identifies_nodes_and_certificates_are_renewed(proxy_loop, tmp_path):
    trusted, untrusted = trustme.CA(), trustme.CA()
    names = [str(tmp_path / name) for name in ("authority", "certificate", "key")]

    def renew():
        issued = trusted.issue_cert("127.0.0.1", "localhost")
        trusted.cert_pem.write_to_path(names[0])
        issued.cert_chain_pems[0].write_to_path(names[1])
        issued.private_key_pem.write_to_path(names[2])

    renew()
    tls = f'tls {{ authority "{names[0]}"; certificate "{names[1]}"; key "{names[2]}" }}'
    service = RunningService(settings=SETTINGS_KDL + tls + '\n node "edge-*" { group "lookup" }')

    def credentials(name, authority=trusted):
        issued = authority.issue_cert(name, common_name=name)
        return grpc.ssl_channel_credentials(
            trusted.cert_pem.bytes(), issued.private_key_pem.bytes(), issued.cert_chain_pems[0].bytes()
        )

    def connect(node, name, authority=trusted):
        return proxy_loop.start(Proxy(node), service.port, credentials(name, authority), "localhost")

    good = connect("edge-1", "edge-1")
    until(lambda: set(good.held[LDS]) == {"lookup"} and good.sends_to())
    misnamed, unauthenticated = connect("edge-2", "edge-1"), connect("edge-3", "edge-3", untrusted)
    until(lambda: misnamed.end_status is not None)
    # The client's status depends on whether it was writing at that time; the log does not.
    assert (
        "the certificate is not node edge-2's" in until(lambda: service.logged("proxy-refused"))[0]["why"]
        and not misnamed.held[CDS]
    )
    renew()
    later = connect("edge-4", "edge-4")
    until(lambda: later.sends_to() and not unauthenticated.held[CDS])
    service.announce(endpoint(1, "Terminating"))
    until(lambda: "e1" not in good.sends_to() and "e1" not in later.sends_to())
    for proxy in (good, misnamed, unauthenticated, later):
        proxy_loop.stop(proxy)
    service.stop()


def test_invalid_and_silent_streams_are_ended_without_affecting_others(proxy_loop, monkeypatch):
    monkeypatch.setattr("wickvane.xds.services.FIRST_REQUEST_TIMEOUT_S", 0.3)
    service = RunningService(settings=SETTINGS_KDL + "streams 20\n streams-a-node 2")
    good = proxy_loop.start(Proxy("good"), service.port)
    until(lambda: good.sends_to())
    with grpc.insecure_channel(f"127.0.0.1:{service.port}") as channel:
        call = channel.stream_stream(
            "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
        )
        for data in (b"\xff" * 100, b"", b"\x0a\xff\xff\xff\xff\x0f", os.urandom(1000)):
            try:
                assert list(call(iter([data]), timeout=5)) == []
            except grpc.RpcError as error:
                assert error.code() != grpc.StatusCode.DEADLINE_EXCEEDED or "neither" in error.details()
        no_requests = []

        def silent():
            yield from no_requests
            time.sleep(5)

        began = time.monotonic()
        with pytest.raises(grpc.RpcError):
            list(call(silent(), timeout=4))
        assert time.monotonic() - began < 3
    many = [proxy_loop.start(Proxy("same"), service.port) for _ in range(4)]
    until(lambda: sum(proxy.end_status is not None for proxy in many) >= 2)
    service.announce(endpoint(1, "Terminating"))
    until(lambda: "e1" not in good.sends_to())
    until(lambda: len(service.server.control_plane.streams) <= 3)
    for proxy in (good, *many):
        proxy_loop.stop(proxy)
    service.stop()


def test_reload_changes_table_groups_without_an_interruption(proxy_loop, tmp_path):
    service = RunningService()
    proxy = proxy_loop.start(Proxy("p"), service.port)
    until(lambda: len(proxy.held[EDS]) == 9)
    config, document = tmp_path / "config.json", tmp_path / "parts.kdl"
    config.write_text(json.dumps(service.config))
    listen = f'control {{ listen "127.0.0.1:{service.port}"\n'
    document.write_text(listen + "tables 12\n proxies 4 }")
    service.server.loop.call_soon_threadsafe(service.server.reload, str(config), str(document))
    until(lambda: len(proxy.held[CDS]) == 13)
    document.write_text(listen + "tables 5\n proxies 4 }")
    service.server.loop.call_soon_threadsafe(service.server.reload, str(config), str(document))
    until(lambda: len(proxy.held[CDS]) == 6, 12)
    document.write_text(listen + 'tables 5\n epoch "x" }')
    service.server.loop.call_soon_threadsafe(service.server.reload, str(config), str(document))
    until(lambda: service.logged("configuration-unusable"))
    assert len(service.logged("configuration-taken")) == 2
    proxy_loop.stop(proxy)
    service.stop()


def test_reload_removes_resources_from_open_streams_and_ends_unknown_nodes(proxy_loop, tmp_path):
    node_rules = 'node "edge-*" { group "lookup"; group "load" }\n node "ops"\n'
    service = RunningService(settings=SETTINGS_KDL + node_rules)
    edge, ops = (
        proxy_loop.start(Proxy("edge-1"), service.port),
        proxy_loop.start(Proxy("ops", "sotw"), service.port),
    )
    until(lambda: set(edge.held[LDS]) == {"lookup", "load"} and len(ops.held[LDS]) == 3)
    config, document = tmp_path / "config.json", tmp_path / "parts.kdl"
    config.write_text(json.dumps(service.config))
    listen = f'listen "127.0.0.1:{service.port}"\n'
    document.write_text(f'control {{ {listen} {SETTINGS_KDL} node "edge-*" {{ group "load" }} }}')
    service.server.loop.call_soon_threadsafe(service.server.reload, str(config), str(document))
    until(lambda: set(edge.held[LDS]) == {"load"} and edge.sends_to())
    until(lambda: ops.end_status is not None)
    assert "no longer known" in until(lambda: service.logged("proxy-refused"))[0]["why"]
    service.announce(endpoint(1, "Terminating"))
    until(lambda: "e1" not in edge.sends_to())
    for proxy in (edge, ops):
        proxy_loop.stop(proxy)
    service.stop()
