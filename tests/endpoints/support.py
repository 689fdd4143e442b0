"""Helpers of the tests of endpoint lists: documents, a list with its effects carried out, a watched file."""

import os
from collections.abc import Callable, Iterable

import orjson

from wickvane import parts
from wickvane.endpoints.change_policy import ChangeLimits, ChangePolicy
from wickvane.endpoints.document import seal
from wickvane.endpoints.effects import AppendRecord, Effect, PublishUpdate, WriteLogEvent
from wickvane.endpoints.endpoint_list import EndpointList
from wickvane.endpoints.file_source import FileSource
from wickvane.endpoints.findings import Finding
from wickvane.endpoints.records import encode_record
from wickvane.endpoints.snapshot import Endpoint, make_snapshot
from wickvane.endpoints.state_folder import recover_records
from wickvane.endpoints.topology import GroupPlacement, Topology
from wickvane.events import EngineState
from wickvane.net.clock import Clock
from wickvane.net.counters import Counters
from wickvane.units import TICKS_PER_SECOND

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TOPOLOGY = Topology(
    {"old": 8, "new": 4},
    frozenset(("a", "b")),
    (GroupPlacement("lookup", None, None), GroupPlacement("load", None, frozenset(("new",)))),
    0.3,
    15 * TICKS_PER_SECOND,
)
GOOD = """members generation=7 {
    engine "e1" address="10.0.0.1:5001" zone="a" type="old" weight=1.0 group=2 since-ms=5
    engine "e2" address="10.0.0.2:5001" weight=0  // drained by hand
    engine "e3" address="[::1]:5001" status="Terminating" weight=0.5
}
"""


def make_endpoint(
    n: int,
    weight: float = 1.0,
    kind: str = "old",
    state: EngineState = EngineState.READY,
    zone: str = "a",
    started_ms: float = 0,
    port: int | None = None,
) -> Endpoint:
    """Returns the n-th endpoint; weight 0 drains it."""
    return Endpoint(
        f"e{n}",
        ("10.0.0.1", port or 1000 + n),
        zone,
        kind,
        0,
        started_ms,
        weight,
        EngineState.DRAINING if weight == 0 else state,
    )


def make_endpoints(count: int, **fields: object) -> list[Endpoint]:
    """Returns the first `count` endpoints."""
    return [make_endpoint(n, **fields) for n in range(count)]


def kdl_document(endpoints: Iterable[Endpoint], generation: int | None = None) -> str:
    """Returns a KDL document that lists the endpoints."""
    rows = "\n".join(
        f'  engine "{e.name}" address="{e.address[0]}:{e.address[1]}" zone="{e.zone}" '
        f'type="{e.kind}" weight={e.weight}'
        for e in endpoints
    )
    return f"members{f' generation={generation}' if generation else ''} {{\n{rows}\n}}\n"


def replace_document(
    path: str, endpoints: Iterable[Endpoint], generation: int | None = None, is_sealed: bool = True
) -> None:
    """Replaces a document atomically: writes a temporary file and renames it, as a deploy tool should."""
    data = kdl_document(endpoints, generation).encode()
    with open(f"{path}.new", "wb") as file:
        file.write(seal(data) if is_sealed else data)
    os.replace(f"{path}.new", path)


def names(count: int) -> set[str]:
    """Returns the names of the first `count` endpoints."""
    return {f"e{n}" for n in range(count)}


class ListHarness:
    """Carries out the effects of an EndpointList and keeps its journal, in stored form, and its log.

    published: (state, weight, address, started_ms) by name, as a scheduler would know them.
    """

    def __init__(
        self,
        topology: Topology = TOPOLOGY,
        records: Iterable[dict] = (),
        now: int = 1_000_000,
        load: float | None = None,
        **policy: object,
    ) -> None:
        limits = {name: policy.pop(name) for name in list(policy) if name in ChangeLimits._fields}
        self.policy = ChangePolicy(ChangeLimits(**limits), **policy)
        self.endpoint_list = EndpointList(topology, self.policy)
        self.topology = topology
        self.now = now
        self.load = load
        self.journal = list(records)
        self.published: dict[str, tuple] = {}
        self.log: list[tuple[str, dict]] = []
        self.numbers: list[int] = []
        recover_records(self.endpoint_list, orjson.loads(orjson.dumps(self.journal)))
        self.endpoint_list.start(now)
        self.carry_out_effects()

    def carry_out_effects(self) -> None:
        """Carries out all effects since the last call."""
        for effect in self.endpoint_list.take_effects():
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case AppendRecord(record):
                self.journal.append(encode_record(record))
            case WriteLogEvent(event, fields):
                self.log.append((event, fields))
            case PublishUpdate():
                self._publish(effect)

    def _publish(self, update: PublishUpdate) -> None:
        assert not self.numbers or update.number > self.numbers[-1]
        self.numbers.append(update.number)
        if update.is_full:
            self.published.clear()
        for name, address, state, *_, started_ms, weight in update.entries:
            previous = self.published.get(name)
            if previous is not None and previous[0] != EngineState.READY and state == EngineState.READY:
                assert name in update.readmitted
            if state == EngineState.GONE:
                del self.published[name]
            else:
                self.published[name] = state, weight, address, started_ms

    def submit(
        self, endpoints: Iterable[Endpoint], generation: int | None = None, findings: Iterable[Finding] = ()
    ) -> "ListHarness":
        """Submits a document that lists the endpoints."""
        document = make_snapshot(0, endpoints)
        self.endpoint_list.submit(self.now, document, generation, findings, "test", self.load)
        self.carry_out_effects()
        return self

    def confirm(self, generation: int) -> bool:
        """Confirms a generation as an operator."""
        is_done = self.endpoint_list.confirm(self.now, generation)
        self.carry_out_effects()
        return is_done

    def rollback(self, generation: int) -> bool:
        """Rolls back to a generation as an operator."""
        is_done = self.endpoint_list.rollback(self.now, generation)
        self.carry_out_effects()
        return is_done

    def pause(self) -> bool:
        """Pauses a rollout as an operator."""
        is_done = self.endpoint_list.pause(self.now)
        self.carry_out_effects()
        return is_done

    def advance_time(self, ticks: int, is_busy: Callable[[str], bool] | None = None) -> None:
        """Advances the time and calls tick() at each time that the list asks for."""
        until = self.now + ticks
        while (at := self.endpoint_list.next_wakeup()) is not None and at <= until:
            self.now = max(self.now + 1, at)
            self.endpoint_list.tick(self.now, is_busy)
            self.carry_out_effects()
        self.now = until
        self.endpoint_list.tick(self.now, is_busy)
        self.carry_out_effects()

    def restart(self) -> "ListHarness":
        """Returns another process's list, recovered from the journal."""
        policy = self.policy._asdict()
        limits = policy.pop("limits")
        return ListHarness(
            self.topology, self.journal, self.now + 50, self.load, **limits._asdict(), **policy
        )

    def ready_names(self) -> set[str]:
        """Returns the names of the engines that take queries."""
        return {name for name, (state, *_) in self.published.items() if state == EngineState.READY}

    def logged_codes(self, event: str) -> list[tuple[str, ...]]:
        """Returns the codes of each log event of a name."""
        return [tuple(fields["codes"]) for name, fields in self.log if name == event]

    @property
    def generation(self) -> int:
        """Returns the current generation."""
        return self.endpoint_list.generations.number

    @property
    def held_generation(self) -> int | None:
        """Returns the generation that waits for its confirmation, None if there is none."""
        pending = self.endpoint_list.confirmation.pending
        return None if pending is None else pending.snapshot.generation


class LogRecorder:
    """A log that keeps its events in memory."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict]] = []

    def line(self, event: str, **fields: object) -> None:
        """Records an event."""
        self.events.append((event, fields))

    def fields_of(self, event: str) -> list[dict]:
        """Returns the fields of each event of a name."""
        return [fields for name, fields in self.events if name == event]


class FileSourceHarness:
    """Runs a FileSource on a file or directory and keeps the states that it publishes."""

    def __init__(
        self,
        path: str,
        state: str | None = None,
        extra_nodes: str = "",
        topology: Topology = TOPOLOGY,
        **options: object,
    ) -> None:
        node_name = "directory" if os.path.isdir(path) else "file"
        text = f'members {{ {node_name} "{path}"; still "30ms"; poll "100ms"\n{extra_nodes}'
        text += f'\nstate "{state}" }}' if state else "\n}"
        self.config = parts.read_text(text)["members"]
        self.log = LogRecorder()
        self.counters = Counters()
        self.published: dict[str, EngineState] = {}
        self.numbers: list[int] = []
        self.source = FileSource(
            self.config, topology, self.publish, Clock(), self.log, self.counters, **options
        )
        self.source.start()

    def publish(self, number: int, is_full: bool, entries: list[tuple], readmitted: list[str]) -> None:
        """Records an update; called as the sink."""
        assert not self.numbers or number > self.numbers[-1]
        self.numbers.append(number)
        if is_full:
            self.published.clear()
        for name, _, state, *_ in entries:
            if state == EngineState.GONE:
                self.published.pop(name, None)
            else:
                self.published[name] = state

    def ready_names(self) -> set[str]:
        """Returns the names of the engines that take queries."""
        return {name for name, state in list(self.published.items()) if state == EngineState.READY}

    def unfit_count(self, code: str) -> int:
        """Returns how often a file was rejected with a code."""
        return self.counters.shown().get(f"members-unfit-{code}", 0)

    def stop(self) -> None:
        """Stops the source."""
        self.source.stop()
