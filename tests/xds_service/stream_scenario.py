"""Runs generated discovery streams against two instances of the control service, and computes a digest of all
responses.

Proxies of both variants subscribe; they acknowledge or reject responses, answer late, with stale nonces or
not at all, and reconnect to either instance with the versions that they hold. Meanwhile endpoint lists
change, engines drain and settings are reloaded. The digest covers the type, version, nonce, names, removed
names and encoded bytes of each response.
"""

from hashlib import blake2b
from random import Random
from typing import Any

from xds_service.instance import SOTW, Instance, Rejection

CDS, EDS, LDS, RDS = range(4)
READY, DRAINING, GONE = range(3)
SECOND = 10_000  # ticks
TABLES = 6


class GeneratedProxy:
    """A proxy's end of the aggregated stream: the versions that it holds, and its unanswered responses."""

    def __init__(self, name: str, variant: str) -> None:
        self.name = name
        self.variant = variant
        self.versions: list[dict[str, str]] = [{} for _ in range(4)]
        self.type_versions = [""] * 4
        self.instance: Instance | None = None
        self.stream: int | None = None
        self.unanswered: list[Any] = []
        self.subscribed_names: list[list[str]] = [[] for _ in range(4)]


class StreamScenario:
    """One scenario, generated from a seed; trace() records a line for each event."""

    def __init__(self, seed: int, ttl: int = 0) -> None:
        self.random = Random(seed)
        self.now = 3 * SECOND
        self.lines: list[str] = []
        self.instances = [Instance(ttl, TABLES), Instance(ttl, TABLES)]
        self.ttl = ttl
        self.events: list[tuple[int, bool, list[tuple]]] = []
        self.delivered_counts = [0, 0]
        self.engines: dict[str, tuple[int, int]] = {}
        self.engine_count = 0
        self.proxies = [GeneratedProxy(f"edge-{n}", ("sotw", "delta")[n % 2]) for n in range(6)]
        self.proxies.append(GeneratedProxy("ops", "delta"))
        self.tables = TABLES

    def trace(self, *values: object) -> None:
        self.lines.append(" ".join(map(str, values)))

    # endpoint lists

    def _entry(self, name: str) -> tuple:
        state, started = self.engines[name]
        number = int(name[1:])
        zone = ("dc", None)[number % 5 == 0]
        kind = ("old", "none")[number % 7 == 0]
        return name, (f"10.0.{number // 250}.{number % 250}", 7000), state, zone, kind, 0, started, 1.0

    def _announce(self, names: list[str], is_complete: bool = False) -> None:
        self.events.append((len(self.events) + 1, is_complete, [self._entry(name) for name in names]))

    def add_engines(self) -> None:
        names = []
        for _ in range(self.random.randint(1, 4)):
            name = f"e{self.engine_count}"
            self.engine_count += 1
            is_cold = self.random.random() < 0.4
            self.engines[name] = READY, self.now // 10 if is_cold else 0
            names.append(name)
        self._announce(names)

    def drain_engine(self) -> None:
        name = self.random.choice(sorted(self.engines))
        state, started = self.engines[name]
        self.engines[name] = self.random.choice((DRAINING, DRAINING, GONE)), started
        self._announce([name])

    def list_engine_as_ready(self) -> None:
        """Lists any engine as ready, with probability 0.5 as a later process."""
        name = self.random.choice(sorted(self.engines))
        started = self.now // 10 if self.random.random() < 0.5 else self.engines[name][1]
        self.engines[name] = READY, started
        self._announce([name])

    def complete_list(self) -> None:
        names = [name for name in sorted(self.engines) if self.random.random() < 0.9]
        if self.random.random() < 0.15:
            names = names[: len(names) // 4]
        self._announce(names, True)

    def deliver_events(self) -> None:
        instance_index = self.random.randrange(2)
        for event in self.events[
            self.delivered_counts[instance_index] : self.delivered_counts[instance_index]
            + self.random.randint(1, 3)
        ]:
            self.instances[instance_index].endpoint_event(self.now, *event)
            self.delivered_counts[instance_index] += 1
        self._observe(instance_index)

    # time and settings

    def pass_time(self) -> None:
        self.now += self.random.choice((1, 90, 500, 700, 3_000, SECOND, 4 * SECOND))
        for instance_index, instance in enumerate(self.instances):
            self.trace("tick", instance_index, instance.tick(self.now))
            self._observe(instance_index)

    def reload(self) -> None:
        instance_index = self.random.randrange(2)
        if self.random.random() < 0.5:
            self.instances[instance_index].change_tables(
                self.now, self.random.choice((3, TABLES, TABLES + 2))
            )
        else:
            rules = self.random.choice(
                ((), (("edge-*", ("lookup",)), ("ops", None)), (("edge-[0-3]", None),))
            )
            self.instances[instance_index].change_node_rules(rules)
        self._observe(instance_index)

    def restart(self) -> None:
        instance_index = self.random.randrange(2)
        for proxy in self.proxies:
            if proxy.instance is self.instances[instance_index]:
                self._disconnect(proxy)
        self.instances[instance_index] = self.instances[instance_index].restarted_from_snapshot(
            self.now, self.ttl, TABLES
        )
        self._observe(instance_index)

    # proxies

    def _disconnect(self, proxy: GeneratedProxy) -> None:
        if proxy.instance is not None:
            proxy.instance.close(proxy.stream)
        proxy.instance = None
        proxy.stream = None
        proxy.unanswered = []

    def _send(self, proxy: GeneratedProxy, send: Any, *arguments: Any) -> None:
        try:
            send(proxy.stream, self.now, *arguments)
        except Rejection as error:
            self.trace("ended", proxy.name, error)
            self._disconnect(proxy)

    def connect(self) -> None:
        proxy = self.random.choice(self.proxies)
        self._disconnect(proxy)
        proxy.instance = self.random.choice(self.instances)
        try:
            proxy.stream = proxy.instance.open(self.now, proxy.variant, proxy.name)
        except Rejection as error:
            self.trace("rejected", proxy.name, error)
            proxy.instance = None
            return
        proxy.subscribed_names = [[] for _ in range(4)]
        for kind in (CDS, LDS, EDS, RDS):
            self._subscribe(proxy, kind)

    def _subscribe(self, proxy: GeneratedProxy, kind: int) -> None:
        if proxy.instance is None:
            return
        names: list[str] = []
        if kind == EDS:
            names = [f"lookup/{n}" for n in range(TABLES + 2) if self.random.random() < 0.7]
        if kind == RDS:
            names = ["lookup", "load"][: self.random.randint(1, 2)]
        if self.random.random() < 0.1:
            names = names + [self.random.choice(("*", "unheard-of"))]
        proxy.subscribed_names[kind] = names
        if proxy.variant == SOTW:
            version = proxy.type_versions[kind]
            self._send(proxy, proxy.instance.sotw_request, kind, version, "", names, None)
        else:
            versions = proxy.versions[kind]
            self._send(proxy, proxy.instance.delta_request, kind, "", names, [], versions, None)

    def resubscribe(self) -> None:
        """Changes the subscribed names on an open stream."""
        proxy = self.random.choice(self.proxies)
        if proxy.instance is None:
            return
        kind = self.random.choice((EDS, EDS, RDS, CDS))
        names = [f"lookup/{n}" for n in range(TABLES + 2) if self.random.random() < 0.3]
        if kind == RDS:
            names = ["load"]
        if self.random.random() < 0.1:
            names = names + ["*"]
        if proxy.variant == SOTW:
            version = proxy.type_versions[kind]
            nonce = proxy.instance.last_nonce(proxy.stream, kind)
            proxy.subscribed_names[kind] = names
            self._send(proxy, proxy.instance.sotw_request, kind, version, nonce, names, None)
        else:
            dropped = [name for name in proxy.subscribed_names[kind] if self.random.random() < 0.3]
            proxy.subscribed_names[kind] = sorted({*proxy.subscribed_names[kind], *names} - set(dropped))
            self._send(proxy, proxy.instance.delta_request, kind, "", names, dropped, {}, None)

    def receive(self) -> None:
        proxy = self.random.choice(self.proxies)
        for _ in range(self.random.randint(1, 5)):
            if proxy.instance is None:
                return
            try:
                response = proxy.instance.next_response(proxy.stream, self.now)
            except Rejection as error:
                self.trace("ended", proxy.name, error)
                self._disconnect(proxy)
                return
            if response is None:
                self.trace("nothing", proxy.name, proxy.instance.next_response_time(proxy.stream, self.now))
                return
            self.trace("response", proxy.name, *response.described)
            proxy.unanswered.append(response)

    def answer(self) -> None:
        proxy = self.random.choice(self.proxies)
        for _ in range(self.random.randint(1, 5)):
            if proxy.instance is None or not proxy.unanswered:
                return
            is_late = self.random.random() < 0.1
            response = proxy.unanswered.pop(-1 if is_late else 0)
            error = "this cannot be used" if self.random.random() < 0.15 else None
            kind = response.kind
            if error is None and not response.is_heartbeat:
                proxy.versions[kind].update(response.versions)
                for name in response.removed:
                    proxy.versions[kind].pop(name, None)
                proxy.type_versions[kind] = response.version
            nonce = "9-9" if self.random.random() < 0.03 else response.nonce
            if proxy.variant == SOTW:
                version = proxy.type_versions[kind]
                names = proxy.subscribed_names[kind]
                self._send(proxy, proxy.instance.sotw_request, kind, version, nonce, names, error)
            else:
                self._send(proxy, proxy.instance.delta_request, kind, nonce, [], [], {}, error)

    def report_load(self) -> None:
        instance_index = self.random.randrange(2)
        engine = f"10.0.0.{self.random.randrange(9)}:7000"
        counts = [self.random.randrange(50) for _ in range(3)]
        self.instances[instance_index].report_load(self.now, "edge-1", "lookup/1", engine, *counts)
        self.trace("load", instance_index, self.instances[instance_index].load(self.now))

    # the scenario

    def _observe(self, instance_index: int) -> None:
        for event, fields in self.instances[instance_index].log_events():
            self.trace("log", instance_index, event, sorted(fields.items()))
        self.trace("ready", instance_index, self.instances[instance_index].take_ready())

    def run(self, steps: int) -> str:
        """Runs the given number of steps, and returns the digest of the trace."""
        for _ in range(8):
            self.add_engines()
        actions = (
            [self.receive] * 20
            + [self.answer] * 14
            + [self.pass_time] * 8
            + [self.deliver_events] * 5
            + [self.connect] * 4
            + [
                self.add_engines,
                self.drain_engine,
                self.drain_engine,
                self.list_engine_as_ready,
                self.resubscribe,
            ]
        )
        for step in range(steps):
            if step % 60 == 59:
                self.random.choice((self.complete_list, self.reload, self.report_load, self.restart))()
            self.random.choice(actions)()
            if step % 40 == 0:
                for instance_index, instance in enumerate(self.instances):
                    self.trace("status", instance_index, instance.status(self.now))
        return blake2b("\n".join(self.lines).encode(), digest_size=16).hexdigest()
