"""The control service on loopback in its own thread, with a test coordinator, and the event loop of the test
proxies.
"""

import asyncio
import json
import os
import tempfile
import time
from threading import Thread
from typing import Any

import grpc
from bench_free import SETTINGS, STANDING, Events, entry, event, free_port, sse
from standins.xds_proxy import Proxy

from wickvane import parts
from wickvane.xds.server import Server

SLOW_START = SETTINGS | {
    "obligations": SETTINGS["obligations"]
    | {"cold_from": 0.3, "cold_ms": 15_000.0, "fall_multiple": 2.5, "fall_ms": 3000.0}
}
SETTINGS_KDL = "tables 8\n proxies 4\n"
MAX_LOG_BYTES = 1 << 22


def endpoint(number: int, state: str = "Ready", since: int = 0, port: int | None = None) -> Any:
    """An entry of the coordinator's list; since: start of its process in milliseconds, 0 if unknown."""
    return entry(f"e{number}", f"127.0.0.1:{port or 20_000 + number}", state, since)


class ProxyLoop:
    """The event loop of the test proxies, in a thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        Thread(target=self.loop.run_forever, daemon=True).start()
        self.channels: list[grpc.aio.Channel] = []

    def start(
        self,
        proxy: Proxy,
        port: int,
        credentials: grpc.ChannelCredentials | None = None,
        name: str = "127.0.0.1",
    ) -> Proxy:
        """Starts a proxy, which opens a stream on its own connection."""

        async def start() -> None:
            address = f"{name}:{port}"
            options = [("grpc.use_local_subchannel_pool", 1)]
            if credentials:
                channel = grpc.aio.secure_channel(address, credentials, options=options)
            else:
                channel = grpc.aio.insecure_channel(address, options=options)
            self.channels.append(channel)
            proxy.channel = channel
            proxy.task = asyncio.ensure_future(proxy.run(channel))

        asyncio.run_coroutine_threadsafe(start(), self.loop).result(10)
        return proxy

    def stop(self, proxy: Proxy) -> None:
        """Closes a proxy's connection; the proxy keeps the resources that it holds."""

        async def stop() -> None:
            proxy.task.cancel()
            await proxy.channel.close()

        asyncio.run_coroutine_threadsafe(stop(), self.loop).result(10)


class RunningService:
    """A running control service.

    settings: the content of its node in the extensions document; known: the endpoint list of its
    configuration.
    """

    def __init__(
        self,
        engines: int = 6,
        settings: str = SETTINGS_KDL,
        events: Events | None = None,
        known: list | None = None,
        port: int | None = None,
    ) -> None:
        self.port = port or free_port()
        self.coordinator = events or Events()
        entries = known if known is not None else [endpoint(number) for number in range(engines)]
        text = f'control {{ listen "127.0.0.1:{self.port}"\n{settings} }}'
        self.config = {
            "name": "control",
            "listen": "127.0.0.1:1",
            "seed": "1",
            "settings": SLOW_START,
            "coordinator": self.coordinator.address,
            "limits": {},
            "known": {
                "index": 1,
                "updates": [event(1, *entries, snapshot=True)] if entries else [],
            },
        }
        self.log = tempfile.TemporaryFile()
        STANDING.append(self.log)
        self.server = Server(self.config, parts.read_text(text)["control"], self.log.fileno())
        Thread(target=self.server.log.run, daemon=True).start()
        self.thread = Thread(target=lambda: asyncio.run(self.server.serve()), daemon=True)
        self.thread.start()
        assert self.server.ready.wait(20)
        self.index = 1
        Thread(target=self._keep_alive, daemon=True).start()

    def _keep_alive(self) -> None:
        """Sends comments, as a coordinator does; the service disconnects from a silent coordinator."""
        while self.thread.is_alive():
            self.coordinator.send.put(b": here\n\n")
            time.sleep(0.5)

    def announce(self, *entries: Any) -> float:
        """Sends an event of the endpoint list, and returns when it was sent."""
        self.index += 1
        self.coordinator.send.put(sse(self.index, event(self.index, *entries)))
        return time.monotonic()

    def processor_seconds(self) -> float:
        """The processor time of the service's event loop, which other load on the machine does not affect."""
        return time.clock_gettime(time.pthread_getcpuclockid(self.thread.ident))

    def stop(self) -> None:
        """Shuts the service down."""
        self.server.stop()
        self.thread.join(10)
        assert not self.thread.is_alive()

    def logged(self, name: str) -> list[dict[str, Any]]:
        """The log's events with this name."""
        text = os.pread(self.log.fileno(), MAX_LOG_BYTES, 0)
        return [
            line
            for line in map(json.loads, text[: text.rfind(b"\n") + 1].splitlines())
            if line["event"] == name
        ]
