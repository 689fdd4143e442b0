"""Generated interleavings of instances that each number the endpoint list anew, as at each of their starts.

Instances start with or without a snapshot, which may be old, from a list that may lag. Proxies switch between
them. A proxy must never be sent a process that it has been told to have drained, and in the end every drain
must have reached every proxy.
"""

from random import Random
from typing import Any, NamedTuple

import orjson
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from wickvane.events import EngineState
from wickvane.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND
from wickvane.xds.endpoint_snapshot import ExcessAction, RemovalLimit
from wickvane.xds.snapshot_store import decode_snapshot, encode_snapshot
from xds_service.in_memory_proxy import DELTA, EDS, SOTW, STEP, InMemoryProxy, build_control_plane, entry

LONG_RUN_STEPS = 1_500
NO_LIMIT = RemovalLimit(action=ExcessAction.REMOVE)


class NumberedInstance:
    """An instance that numbers the coordinator's events from 1 at its start.

    position: number of the coordinator's events that it includes; drained: (engine, start) of the drains that
    events have told it.
    """

    def __init__(self, now, position, entries, stored=None, drained=frozenset()):
        self.control_plane = build_control_plane(removal_limit=NO_LIMIT)
        self.position = position
        self.index = 0
        self.drained = set(drained)
        self.stored = stored
        self.stored_drained = drained
        if stored is not None:
            self.control_plane.restore(now, decode_snapshot(stored))
        self.apply(now, True, entries)

    def apply(self, now, is_complete, entries):
        self.index += 1
        self.control_plane.apply_endpoint_event(now, self.index, is_complete, entries)
        self.drained |= {(row[0], row[6]) for row in entries if row[2] != EngineState.READY}

    def save(self):
        self.stored = encode_snapshot(self.control_plane.snapshot)
        self.stored_drained = frozenset(self.drained)


class Knowing(NamedTuple):
    """A response (see Received), with the starts of processes and the drains that its instance knew of."""

    response: Any
    resources: Any
    index: int
    starts: dict
    drained: frozenset


class InformedProxy(InMemoryProxy):
    """A proxy that knows the start of each process that it is sent, and what it was told to have drained."""

    def __init__(self, variant, name):
        super().__init__(variant, name)
        self.instance = None
        self.told = set()
        self.sent_drained = set()  # engines that a response had although the proxy was told of their drain

    def join(self, instance, now):
        self.instance = instance
        self.connect(instance.control_plane, now)

    def receive(self, now):
        has_received = super().receive(now)
        if has_received:
            endpoints = self.control_plane.snapshot.endpoints
            starts = {name: endpoint.started_at for name, endpoint in endpoints.items()}
            self.unanswered[-1] = Knowing(*self.unanswered[-1], starts, frozenset(self.instance.drained))
        return has_received

    def _apply(self, received):
        super()._apply(received)
        if received.response.resource_type == EDS:
            self.told |= received.drained
            bodies = [orjson.loads(resource.body) for resource in received.resources.values()]
            names = {row[0] for body in bodies for row in body}
            self.sent_drained |= {name for name in names if self.has_drained(name, received.starts[name])}

    def exchange(self, now):
        """Receives responses and acknowledges each at once."""
        while self.receive(now):
            self.answer(now, False)

    def has_drained(self, name, started_at):
        """Whether the proxy was told that this process, or a later one of the engine, has drained."""
        return any(
            engine == name and started_at <= started * TICKS_PER_MILLISECOND for engine, started in self.told
        )


class Numberings(RuleBasedStateMachine):
    """Two instances that are restarted, and proxies that switch between them."""

    proxies = Bundle("proxies")

    def __init__(self):
        super().__init__()
        self.now = TICKS_PER_SECOND
        self.history = []  # entries of each of the coordinator's events
        self.starts = {}
        self.all_proxies = []
        for number in range(8):
            self.announce(f"e{number}", EngineState.READY, 0)
        self.instances = [self.started(8), self.started(8)]

    def announce(self, name, state, started):
        self.starts[name] = started
        self.history.append(entry(name, state, started))

    def list_at(self, position):
        """The complete list after so many events."""
        rows = {row[0]: row for row in self.history[:position]}
        return [row for row in rows.values() if row[2] != EngineState.GONE]

    def started(self, position, stored=None, drained=frozenset()):
        return NumberedInstance(self.now, position, self.list_at(position), stored, drained)

    @rule(target=proxies, variant=st.sampled_from([SOTW, DELTA]), number=st.integers(0, 1))
    def connect_new_proxy(self, variant, number):
        proxy = InformedProxy(variant, f"p{len(self.all_proxies)}")
        self.all_proxies.append(proxy)
        proxy.join(self.instances[number], self.now)
        return proxy

    @rule(number=st.integers(0, 30), state=st.sampled_from([EngineState.DRAINING, EngineState.GONE]))
    def drain_or_remove_engine(self, number, state):
        name = sorted(self.starts)[number % len(self.starts)]
        self.announce(name, state, self.starts[name])

    @rule()
    def add_engine(self):
        self.announce(f"e{len(self.starts)}", EngineState.READY, self.now // TICKS_PER_MILLISECOND)

    @rule(number=st.integers(0, 30))
    def restart_engine(self, number):
        name = sorted(self.starts)[number % len(self.starts)]
        self.announce(name, EngineState.READY, self.now // TICKS_PER_MILLISECOND)

    @rule(number=st.integers(0, 30))
    def list_engine_as_ready(self, number):
        """Lists any engine as ready with the start that it had, as a flapping list does."""
        name = sorted(self.starts)[number % len(self.starts)]
        self.announce(name, EngineState.READY, self.starts[name])

    @rule(number=st.integers(0, 1), count=st.integers(1, 4))
    def deliver_events(self, number, count):
        instance = self.instances[number]
        for row in self.history[instance.position : instance.position + count]:
            instance.apply(self.now, False, [row])
            instance.position += 1

    @rule(number=st.integers(0, 1))
    def save_snapshot(self, number):
        self.instances[number].save()

    @rule(number=st.integers(0, 1), has_snapshot=st.booleans(), caught_up=st.integers(0, 6))
    def restart_instance(self, number, has_snapshot, caught_up):
        """Restarts an instance from its last snapshot, or from nothing, and from a list that may lag."""
        previous = self.instances[number]
        for proxy in self.all_proxies:
            if proxy.instance is previous:
                proxy.disconnect(self.now)
        position = min(len(self.history), previous.position + caught_up)
        if has_snapshot and previous.stored is not None:
            restarted = self.started(position, previous.stored, previous.stored_drained)
        else:
            restarted = self.started(position)
        self.instances[number] = restarted

    @rule(time=st.sampled_from([1, 100, 700, TICKS_PER_SECOND, 5 * TICKS_PER_SECOND]))
    def advance_time(self, time):
        self.now += time
        for instance in self.instances:
            instance.control_plane.tick(self.now)

    @rule(proxy=proxies, count=st.integers(1, 4))
    def exchange_responses(self, proxy, count):
        if proxy.control_plane is not None:
            for _ in range(count):
                proxy.receive(self.now)
                proxy.answer(self.now, False)

    @rule(proxy=proxies, number=st.integers(0, 1))
    def move_proxy(self, proxy, number):
        proxy.join(self.instances[number], self.now)

    @invariant()
    def no_proxy_is_sent_what_it_was_told_to_have_drained(self):
        for proxy in self.all_proxies:
            assert not proxy.sent_drained, (proxy.name, proxy.variant)

    def teardown(self):
        """All instances catch up; then no proxy sends to an engine that is not ready."""
        for number in (0, 1):
            self.deliver_events(number, len(self.history))
        is_ready = {row[0]: row[2] == EngineState.READY for row in self.history}
        for proxy in self.all_proxies:
            if proxy.control_plane is None:
                proxy.join(self.instances[0], self.now)
        for _ in range(40):
            self.now += STEP
            for proxy in self.all_proxies:
                proxy.exchange(self.now)
        for proxy in self.all_proxies:
            assert not {name for name in proxy.sends_to() if not is_ready[name]}
            assert not proxy.sent_drained
            assert proxy.control_plane.streams[proxy.number].status(self.now)["EDS"]["synced"]
            self.check_availability(proxy)

    def check_availability(self, proxy):
        """A proxy is sent all that its instance places, except processes that it was told to have drained."""
        placement = proxy.control_plane.placement
        told = {name for name, _ in proxy.told}
        placed = {endpoint.name for cluster in placement.clusters.values() for endpoint in cluster}
        assert placed - told <= proxy.sends_to()


@pytest.mark.parametrize("seed", range(1, 9))
def test_long_run_over_many_numberings(seed):
    """The same rules in long runs, which reach states that short ones do not."""
    random = Random(seed)
    model = Numberings()
    for variant in (SOTW, DELTA, SOTW, DELTA):
        model.connect_new_proxy(variant, random.randrange(2))
    for _ in range(LONG_RUN_STEPS):
        play_one_rule(model, random)
        model.no_proxy_is_sent_what_it_was_told_to_have_drained()
    model.teardown()


def play_one_rule(model, random):
    """Plays one rule of the model; deliveries and exchanges are the most frequent ones."""
    number = random.randrange(2)
    proxy = random.choice(model.all_proxies)
    engine = random.randrange(31)
    match random.randrange(30):
        case 0 | 1 | 2:
            model.drain_or_remove_engine(engine, random.choice((EngineState.DRAINING, EngineState.GONE)))
        case 3 | 4:
            model.restart_engine(engine)
        case 5:
            model.add_engine()
        case 6:
            model.list_engine_as_ready(engine)
        case 7 | 8 | 9 | 10 | 11:
            model.deliver_events(number, random.randint(1, 4))
        case 12:
            model.save_snapshot(number)
        case 13:
            model.restart_instance(number, random.random() < 0.6, random.randrange(7))
        case 14 | 15 | 16 | 17:
            model.move_proxy(proxy, number)
        case 18 | 19 | 20 | 21 | 22:
            model.advance_time(random.choice((100, 700, TICKS_PER_SECOND)))
        case _:
            model.exchange_responses(proxy, random.randint(1, 4))


TestNumberings = Numberings.TestCase
TestNumberings.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
