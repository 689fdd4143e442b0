"""Generated interleavings of instances that each number the endpoint list anew, as at each of their starts.

Instances start with or without a snapshot, which may be old, from a list that may lag. Proxies switch between
them. A proxy must never be sent a process that it has been told to have drained, and in the end every drain
must have reached every proxy.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from wickvane.events import EngineState
from wickvane.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND
from wickvane.xds.endpoint_snapshot import ExcessAction, RemovalLimit
from wickvane.xds.snapshot_store import decode_snapshot, encode_snapshot
from xds_service.in_memory_proxy import DELTA, EDS, SOTW, STEP, InMemoryProxy, build_control_plane, entry

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


class InformedProxy(InMemoryProxy):
    """A proxy that knows the start of each process that it is sent, and what it was told to have drained."""

    def __init__(self, variant, name):
        super().__init__(variant, name)
        self.instance = None
        self.told = set()
        self.starts = {}  # by cluster and engine

    def join(self, instance, now):
        self.instance = instance
        self.connect(instance.control_plane, now)

    def _apply(self, received):
        super()._apply(received)
        if received.response.resource_type != EDS:
            return
        endpoints = self.control_plane.snapshot.endpoints
        self.starts |= {name: endpoint.started_at for name, endpoint in endpoints.items()}
        self.told |= self.instance.drained

    def exchange(self, now):
        """Receives responses and acknowledges each at once."""
        while self.receive(now):
            self.answer(now, False)

    def sends_to_drained(self):
        told = {}
        for name, started in self.told:
            told[name] = max(started * TICKS_PER_MILLISECOND, told.get(name, 0))
        return {name for name in self.sends_to() if self.starts[name] <= told.get(name, -1)}


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
            assert not proxy.sends_to_drained(), (proxy.name, proxy.variant)

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
            assert not proxy.sends_to_drained()
            assert proxy.control_plane.streams[proxy.number].status(self.now)["EDS"]["synced"]
            self.check_availability(proxy)

    def check_availability(self, proxy):
        """A proxy is sent all that its instance places, except processes that it was told to have drained."""
        placement = proxy.control_plane.placement
        told = {name for name, _ in proxy.told}
        placed = {endpoint.name for cluster in placement.clusters.values() for endpoint in cluster}
        assert placed - told <= proxy.sends_to()


TestNumberings = Numberings.TestCase
TestNumberings.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
