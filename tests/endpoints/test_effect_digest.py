"""Tests that endpoint lists under seeded random actions produce the effects recorded at commit c5b2902.

Each digest covers, call by call, the journal records (as bytes), the updates sent to the scheduler, the log
events, the status that is written to disk and the time of the next call, rendered without the names of
classes or fields.
"""

from hashlib import blake2b
from random import Random

import orjson
import pytest

from wickvane.endpoints.change_policy import ChangeLimits, ChangePolicy
from wickvane.endpoints.effects import AppendRecord, Effect, PublishUpdate, WriteLogEvent
from wickvane.endpoints.endpoint_list import EndpointList
from wickvane.endpoints.findings import Finding, Location, Severity
from wickvane.endpoints.records import decode_record, encode_record
from wickvane.endpoints.snapshot import FIELDS_BY_DOCUMENT_NAME, Endpoint, Snapshot, make_snapshot
from wickvane.endpoints.status import status_document
from wickvane.endpoints.topology import GroupPlacement, Topology
from wickvane.events import EngineState
from wickvane.units import TICKS_PER_SECOND

TOPOLOGY = Topology(
    {"old": 8, "new": 4},
    frozenset(("a", "b")),
    (GroupPlacement("lookup", None, None), GroupPlacement("load", None, frozenset(("new",)))),
    0.3,
    15 * TICKS_PER_SECOND,
)
POLICIES = {
    "usual": ChangePolicy(drain_timeout=20 * TICKS_PER_SECOND, confirmation_timeout=60 * TICKS_PER_SECOND),
    "staged": ChangePolicy(
        ChangeLimits(removed_fraction=0.25, removed_fraction_severity=Severity.STAGE, weight_factor=2.0),
        step_interval=TICKS_PER_SECOND,
        drain_timeout=5 * TICKS_PER_SECOND,
    ),
    "strict": ChangePolicy(
        ChangeLimits(
            removed_fraction=0.2,
            removed_fraction_severity=Severity.REJECT,
            load_fraction_severity=Severity.STAGE,
            last_of_group_severity=Severity.HOLD,
            weight_factor_severity=Severity.HOLD,
            empty_severity=Severity.HOLD,
        ),
        confirmation_timeout=30 * TICKS_PER_SECOND,
    ),
    "lenient": ChangePolicy(
        ChangeLimits(
            removed_fraction_severity=Severity.NOTE,
            load_fraction_severity=Severity.NOTE,
            last_of_group_severity=Severity.NOTE,
            weight_factor_severity=Severity.NOTE,
            empty_severity=Severity.NOTE,
        ),
        step_interval=TICKS_PER_SECOND // 2,
    ),
    "overrides": ChangePolicy(
        ChangeLimits(removed_fraction_severity=Severity.STAGE, weight_factor_severity=Severity.STAGE),
        overrides_coordinator=True,
    ),
}
ACTIONS = 160
DIGESTS = {
    ("usual", 1): "7449a6e57dfb966492feb14a9f7eb0ca",
    ("usual", 2): "0ff621816d14aafe2f87944e89928329",
    ("usual", 3): "c871eb772bdcb20c672404aff4c8c611",
    ("usual", 4): "d097549420349cf75acffafa6ce9f088",
    ("usual", 5): "3ab4d99afc9abbebe99adc258688953e",
    ("staged", 1): "06ce146a8acdcacde0ad011eb351a1de",
    ("staged", 2): "168c3ca02083b563df129ef008de1c62",
    ("staged", 3): "91a159677f3f31b65ad37b4e20d311f8",
    ("staged", 4): "eeb1691f42643d940c3a0b8bee9ad76e",
    ("staged", 5): "ddb683a106000f0ecaa05aa074a54721",
    ("strict", 1): "9ea802c7cc5d14bce50141cff3bda03e",
    ("strict", 2): "762c7ae0fdbcca56bb4d83aeb1511440",
    ("strict", 3): "f78292d51f934816457ce0b071955fa2",
    ("strict", 4): "0ebef56e2dd455b5a530683a7ea783ec",
    ("strict", 5): "ee84f7aeec12c3b586d15a49b893ebcb",
    ("lenient", 1): "62015b13fcae784e53fcbbcd29b8630b",
    ("lenient", 2): "645b2439747ab3871d0e6491bf3a4903",
    ("lenient", 3): "9a08f498d0cc24a8a391f6a46d49f6c2",
    ("lenient", 4): "10af8b2258ac349a5533ef6877942a1a",
    ("lenient", 5): "f5b237381d9a5793fa9152691701eabd",
    ("overrides", 1): "b8207a68064bc1662c6df1960351668b",
    ("overrides", 2): "4b0a8e0f6461121d92e25b34197823a8",
    ("overrides", 3): "f12f5a05b8822084dbbfe2b23d3355c2",
    ("overrides", 4): "9b39cb4ad7fccbc7e1f490a917f8e32a",
    ("overrides", 5): "7757b786c94d22217b598b4ac34889b5",
}


def make_list(policy_name: str) -> EndpointList:
    """Returns an empty endpoint list under a named policy."""
    return EndpointList(TOPOLOGY, POLICIES[policy_name])


def make_endpoint(
    name: str, address: tuple[str, int] | None, weight: float, kind: str | None, zone: str, **stated: object
) -> Endpoint:
    """Returns an endpoint as a document lists it; weight 0 drains it."""
    state = EngineState.DRAINING if weight == 0 else stated.pop("state", EngineState.READY)
    return Endpoint(name, address, zone, kind, 0, 0, weight, state, **stated)


def submit(
    endpoint_list: EndpointList,
    now: int,
    snapshot: Snapshot,
    generation: int | None,
    is_broken: bool,
    load: float | None,
) -> None:
    """Submits a valid document, or one that could not be read if is_broken."""
    findings = [Finding("no-document", Severity.REJECT, "cut", "m.kdl", 3)] if is_broken else []
    location = Location("m.kdl", 7)
    endpoint_list.submit(now, snapshot, generation, findings, "test", load, lambda name: location)


def render_effect(effect: Effect) -> list:
    """Returns an effect as plain values."""
    match effect:
        case AppendRecord(record):
            return ["record", orjson.dumps(encode_record(record)).decode()]
        case PublishUpdate(number, is_full, entries, readmitted):
            return ["update", str(number), is_full, [list(entry) for entry in entries], list(readmitted)]
        case WriteLogEvent(event, fields):
            return ["log", event, sorted(fields.items())]


def render_effects(endpoint_list: EndpointList) -> list:
    """Takes the effects since the last call and returns them as plain values."""
    return [render_effect(effect) for effect in endpoint_list.take_effects()]


def apply_record(endpoint_list: EndpointList, stored: dict) -> None:
    """Applies one record of the journal, given in its stored form."""
    endpoint_list.apply(decode_record(stored))


def checkpoint(endpoint_list: EndpointList, now: int) -> dict:
    """Returns a checkpoint in its stored form."""
    return encode_record(endpoint_list.checkpoint(now))


def apply_stream_event(
    endpoint_list: EndpointList, now: int, number: int, is_full: bool, entries: list
) -> None:
    """Applies an event of the coordinator's stream."""
    endpoint_list.apply_stream_event(now, number, is_full, entries)


def give_order(endpoint_list: EndpointList, now: int, order: str, generation: int) -> bool:
    """Gives an operator's order; returns whether it was carried out."""
    if order == "stop":
        return endpoint_list.pause(now, "anna")
    if order == "confirm":
        return endpoint_list.confirm(now, generation, "anna")
    return endpoint_list.rollback(now, generation, "anna", 20.0)


def held_generation(endpoint_list: EndpointList) -> int:
    """Returns the generation that waits for its confirmation, or else the current one."""
    status = status_document(endpoint_list)
    held = status["held"]
    return held["generation"] if held else status["generation"]


class RandomActions:
    """Applies seeded random actions to an endpoint list and digests all their effects."""

    def __init__(self, policy_name: str, seed: int) -> None:
        self.policy_name = policy_name
        self.is_overriding = policy_name == "overrides"
        self.random = Random(f"{policy_name} {seed}")
        self.now = 17_000_000_000_000
        self.journal: list[dict] = []
        self.digest = blake2b(digest_size=16)
        self.event_number = 0
        self.is_busy = False
        self.codes: set[str] = set()
        self.endpoint_list = make_list(policy_name)
        self.endpoint_list.start(self.now)
        self.digest_effects()

    def digest_effects(self) -> None:
        """Digests the pending effects and appends their records to the journal."""
        effects = render_effects(self.endpoint_list)
        for effect in effects:
            if effect[0] == "record":
                self.journal.append(orjson.loads(effect[1]))
                self.codes.add(self.journal[-1]["what"])
                self.codes.update(self.journal[-1].get("codes", ()))
            elif effect[0] == "log":
                self.codes.add(effect[1])
        status = status_document(self.endpoint_list)
        self.digest.update(orjson.dumps([self.now, effects, status, self.endpoint_list.next_wakeup()]))

    def document(self) -> list[Endpoint]:
        """Returns a random document's endpoints: usually a small change, sometimes a large or invalid one."""
        random = self.random
        count = random.choice([0, 2, 5, 9, 10, 11, 11, 12, 12, 12])
        chosen = []
        for n in random.sample(range(14), count):
            kind = random.choice(["odd"] * (random.random() < 0.05) or ["new" if n > 6 else "old"])
            zone = "x" if random.random() < 0.01 else "a"
            weight = random.choice([0.0, 0.1, 0.5, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 9.0])
            if not self.is_overriding:
                address = ("10.0.0.1", 1000 + (n if random.random() < 0.97 else n + 1))
                chosen.append(make_endpoint(f"e{n}", address, weight, kind, zone))
                continue
            field_names = random.choice([["weight"], ["weight", "zone"], ["weight", "since_ms"], []])
            stated = frozenset(FIELDS_BY_DOCUMENT_NAME[field_name] for field_name in field_names)
            chosen.append(make_endpoint(f"e{n}", None, weight, None, zone, stated_fields=stated))
        return chosen

    def stream_event(self) -> None:
        """Applies a random event of the coordinator: all engines, or some of which may be gone."""
        random = self.random
        self.event_number += random.choice([0, 1, 1, 1, 3])
        is_full = random.random() < 0.2
        states = [EngineState.READY] * 5 + [EngineState.DRAINING] + [EngineState.GONE] * (not is_full)
        entries = [
            (
                f"e{n}",
                ("10.0.0.1", 1000 + n),
                random.choice(states),
                "a",
                "new" if n > 6 else "old",
                0,
                5,
                1.0,
            )
            for n in random.sample(range(14), 10 if is_full else random.randrange(1, 4))
        ]
        apply_stream_event(self.endpoint_list, self.now, self.event_number, is_full, entries)

    def restart(self) -> None:
        """Replaces the list by one recovered from the journal's single records or from a checkpoint."""
        self.now += self.random.choice([50, 7 * TICKS_PER_SECOND, -3 * TICKS_PER_SECOND])
        if self.random.random() < 0.4:
            self.journal = [orjson.loads(orjson.dumps(checkpoint(self.endpoint_list, self.now)))]
            self.digest.update(orjson.dumps(self.journal[0]))
        self.endpoint_list = make_list(self.policy_name)
        for record in self.journal:
            apply_record(self.endpoint_list, record)
        self.endpoint_list.start(self.now)

    def step(self) -> None:
        """Applies one random action."""
        random = self.random
        choice = random.random()
        if self.is_overriding and choice < 0.25:
            self.stream_event()
        elif choice < 0.55:
            generation = random.choice([None, None, None, self.endpoint_list.generations.number + 1, 3])
            load = random.choice([None, 5.0, 60.0])
            document = make_snapshot(0, self.document())
            submit(self.endpoint_list, self.now, document, generation, random.random() < 0.08, load)
            if random.random() < 0.2:
                submit(self.endpoint_list, self.now + 1, document, generation, False, load)
        elif choice < 0.6:
            self.restart()
        elif choice < 0.72:
            order = random.choice(["stop", "confirm", "confirm", "rollback"])
            generation = held_generation(self.endpoint_list)
            if order == "rollback" or random.random() < 0.1:
                generation = random.randrange(1, max(2, generation + 1))
            self.digest.update(b"%d" % give_order(self.endpoint_list, self.now, order, generation))
        else:
            self.is_busy = random.random() < 0.5
            for _ in range(random.choice([1, 1, 2, 4])):
                self.now += random.choice(
                    [500, TICKS_PER_SECOND, 4 * TICKS_PER_SECOND, 30 * TICKS_PER_SECOND]
                )
                self.endpoint_list.tick(self.now, random.choice([None, lambda name: self.is_busy]))
                self.digest_effects()
        self.now += random.choice([1, 50, 5000])
        self.digest_effects()


def run_actions(policy_name: str, seed: int) -> RandomActions:
    """Applies all actions of a seed and returns them with their digest."""
    actions = RandomActions(policy_name, seed)
    for _ in range(ACTIONS):
        actions.step()
    return actions


@pytest.mark.parametrize("policy_name", POLICIES)
@pytest.mark.parametrize("seed", range(1, 6))
def test_random_actions_have_the_recorded_effects(policy_name: str, seed: int) -> None:
    """Records, updates, log events, status and next call equal those of c5b2902, byte for byte."""
    assert run_actions(policy_name, seed).digest.hexdigest() == DIGESTS[policy_name, seed]


def test_random_actions_reach_every_kind_of_effect() -> None:
    """Valid and invalid changes, holds, confirmations, rollbacks, staged rollouts and restarts occur."""
    codes = set()
    for policy_name in POLICIES:
        for seed in range(1, 6):
            codes |= run_actions(policy_name, seed).codes
    assert codes >= {
        "taken",
        "refused",
        "held",
        "lapsed",
        "stopped",
        "resumed",
        "at-work",
        "members-taken",
        "members-refused",
        "members-held",
        "members-hold-ends",
        "members-resumed",
        "members-stopped",
        "members-steps-done",
        "members-from-journal",
        "members-file-agrees",
        "members-order-for-nothing",
        "empty",
        "share-removed",
        "capacity-left",
        "group-without-engine",
        "weight-jump",
        "kind-unknown",
        "zone-unknown",
        "address-taken-over",
        "generation-back",
        "generation-same",
        "not-listed",
        "no-document",
    }
