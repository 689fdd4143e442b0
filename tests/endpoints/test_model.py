"""Compares endpoint lists with a reference model, and checkpoints with the records that they replace."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from endpoints.support import ListHarness, make_endpoint
from wickvane.endpoints.endpoint_list import EndpointList
from wickvane.endpoints.findings import DocumentError, Severity
from wickvane.endpoints.records import encode_record
from wickvane.endpoints.snapshot import Endpoint
from wickvane.events import EngineState
from wickvane.units import TICKS_PER_SECOND

Documents = dict[str, Endpoint]


def ready_names(document: Documents, kind: str | None = None) -> set[str]:
    """Returns the names of ready endpoints, of one kind or of all."""
    return {
        name for name, endpoint in document.items() if endpoint.is_ready and kind in (None, endpoint.kind)
    }


def leaves_group_empty(before: Documents, after: Documents) -> bool:
    """Returns whether the resource group that needs kind `new` loses its last endpoint."""
    return bool(ready_names(before, "new")) and not ready_names(after, "new")


class ReferenceModel:
    """Applies the rules to complete documents, without steps or incremental state."""

    def __init__(self) -> None:
        self.history: dict[int, Documents] = {}
        self.target: Documents = {}
        self.generation = 0
        self.file: Documents | None = None
        self.held: tuple[Documents, int] | None = None
        self.reserved: tuple[Documents, int] | None = None
        self.highest_number = 0

    def submit(self, document: Documents, generation: int | None) -> str:
        """Returns the decision on a document."""
        if document == self.file and (generation is None or generation <= self.generation):
            self.held = None
            return "same"
        if generation is not None and generation <= self.generation:
            return "refused"
        number = self.number_for(document) if generation is None else generation
        if self.held == (document, number):
            return "waits"
        before = ready_names(self.target)
        after = ready_names(document)
        if not after:
            return "refused"
        if before:
            if leaves_group_empty(self.target, document):
                return "refused"
            if len(before - after) > max(1, int(0.34 * len(before))):
                self.held = self.reserved = document, number
                self.highest_number = max(number, self.highest_number)
                return "held"
        self.apply(document, number)
        return "taken"

    def number_for(self, document: Documents) -> int:
        """Returns the generation for a document that states none."""
        if self.reserved and self.reserved[0] == document:
            return self.reserved[1]
        return max(self.highest_number, self.generation) + 1

    def apply(self, document: Documents, number: int, is_rollback: bool = False) -> None:
        """Makes a document the target."""
        if not is_rollback:
            self.history[number] = document
            self.file = document
        self.target = document
        self.generation = number
        self.held = None
        self.reserved = None
        self.highest_number = max(self.highest_number, number)


@settings(max_examples=120, deadline=None)
@given(st.integers(0, 1 << 40))
def test_random_edits_faults_and_restarts_agree_with_the_reference_model(seed: int) -> None:
    random = Random(seed)
    model = ReferenceModel()
    harness = ListHarness(
        drain_timeout=5 * TICKS_PER_SECOND,
        weight_factor_severity=Severity.NOTE,
        step_interval=TICKS_PER_SECOND,
    )
    for _ in range(40):
        step = random.random()
        if step < 0.5:
            count = random.choice([0, 3, 5, 6, 6, 7, 7, 8])
            document = {
                f"e{n}": make_endpoint(
                    n, weight=random.choice([0.0, 1.0, 1.0, 1.0, 1.0]), kind="new" if n > 4 else "old"
                )
                for n in random.sample(range(9), count)
            }
            generation = random.choice([None, None, random.randrange(1, 12)])
            if model.file is not None and random.random() < 0.2:
                document = model.file
            before = len(harness.journal)
            harness.submit(document.values(), generation)
            decision = model.submit(document, generation)
            written = {record["what"] for record in harness.journal[before:]} & {"taken", "held"}
            assert written == ({decision} if decision in ("taken", "held") else set()), decision
        elif step < 0.6:
            finding = DocumentError("no-document", "cut", "m.kdl").finding
            harness.submit([], None, [finding])
        elif step < 0.7:
            harness = harness.restart()
            model.held = None
        elif step < 0.8:
            harness.advance_time(random.choice([TICKS_PER_SECOND, 10 * TICKS_PER_SECOND]))
        elif step < 0.9 and model.held:
            document, number = model.held
            assert harness.confirm(number)
            model.apply(document, number)
        elif model.history:
            number = random.choice(list(model.history))
            document = model.history[number]
            is_allowed = bool(ready_names(document)) and not leaves_group_empty(model.target, document)
            assert harness.rollback(number) == is_allowed
            if is_allowed:
                model.apply(document, model.generation, is_rollback=True)
        # The target is always one complete applied generation, and only its engines get queries.
        assert harness.ready_names() == ready_names(model.target)
        assert harness.generation == model.generation
        assert dict(harness.endpoint_list.generations.target.endpoints.items()) == model.target
        drained = {name for name, (state, *_) in harness.published.items() if state != EngineState.READY}
        assert not drained & ready_names(model.target)
        assert set(model.target) - ready_names(model.target) <= drained
    harness.advance_time(30 * TICKS_PER_SECOND)
    assert set(harness.published) == set(model.target)


def test_a_checkpoint_equals_the_records_before_it() -> None:
    random = Random(5)
    harness = ListHarness(
        removed_fraction=0.25,
        removed_fraction_severity=Severity.STAGE,
        weight_factor_severity=Severity.STAGE,
        step_interval=TICKS_PER_SECOND,
    )
    for n in range(60):
        count = random.randrange(3, 20)
        harness.submit(
            [make_endpoint(k, weight=random.choice([0.1, 1.0])) for k in random.sample(range(20), count)]
        )
        harness.advance_time(random.choice([0, TICKS_PER_SECOND, 5 * TICKS_PER_SECOND]))
        if n % 7 == 3 and harness.endpoint_list.generations.history:
            harness.rollback(random.choice(list(harness.endpoint_list.generations.history)))
        checkpoint = encode_record(harness.endpoint_list.checkpoint(harness.now))
        from_checkpoint = ListHarness(harness.topology, [checkpoint], harness.now + 50)
        for recovered in (from_checkpoint, harness.restart()):
            assert_same_state(recovered.endpoint_list, harness.endpoint_list)


def assert_same_state(recovered: EndpointList, expected: EndpointList) -> None:
    """Asserts that a recovered list has the target, the published list and the history of another."""
    generations = recovered.generations
    assert generations.target.endpoints == expected.generations.target.endpoints
    assert generations.number == expected.generations.number
    assert generations.rollback_of == expected.generations.rollback_of
    assert recovered.rollout.published == expected.rollout.published
    assert recovered.update_number == expected.update_number
    assert {number: past.snapshot.endpoints for number, past in generations.history.items()} == {
        number: past.snapshot.endpoints for number, past in expected.generations.history.items()
    }
    assert generations.file_checksum == expected.generations.file_checksum
    assert recovered.audit_log.rows == expected.audit_log.rows
