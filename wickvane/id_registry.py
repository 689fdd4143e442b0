"""Maps ids of queries and engines to small indices, and decides when an index may be reused."""

from collections.abc import Hashable, Iterable, Iterator
from typing import Any, NamedTuple

from wickvane.events import EngineState, EngineUpdated
from wickvane.settings import deployment, root_section, ticks


class Names:
    """Maps names to small indices, in the order in which the names were first seen."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.index: dict[str, int] = {}
        for name in names:
            self(name)

    def __call__(self, name: str) -> int:
        """The name's index; a new name gets the next one."""
        return self.index.setdefault(name, len(self.index))


class Indices:
    """Maps ids to small indices, which are reused; the last freed index is used first."""

    def __init__(self) -> None:
        self.index_of: dict[Hashable, int] = {}
        self.names: list[Hashable | None] = []
        self.free: list[int] = []

    def add(self, name: Hashable) -> int:
        """The index of an id; a new id gets a free one."""
        if name in self.index_of:
            return self.index_of[name]
        if self.free:
            index = self.free.pop()
            self.names[index] = name
        else:
            index = len(self.names)
            self.names.append(name)
        self.index_of[name] = index
        return index

    def remove(self, name: Hashable) -> None:
        """Frees an id's index."""
        index = self.index_of.pop(name)
        self.names[index] = None
        self.free.append(index)


class ListedEngine(NamedTuple):
    """An engine's entry in the endpoint list, without its state."""

    zone: str | None
    kind: str | None
    cell: int | None
    started: float | None  # in ms
    weight: float | None


class IdRegistry:
    """Knows the query or engine of each index, and when the index may be reused."""

    def __init__(self, params: Any, protocol_kinds: Iterable[Iterable[str]] = ()) -> None:
        """params: the settings. protocol_kinds: for each client protocol, the names of the kinds of engines
        that may run its queries; empty: every kind may run all queries.

        With protocol_kinds, each resource group is repeated for each client protocol: which engines may run a
        query depends on the protocol of its client, and placement decides by resource group.
        """
        settings = root_section(params)
        settings.required("classes")
        self.zones = Names(settings.names("zones"))
        self.kinds = Names(settings.names("host_types"))
        self.groups = Names(group.text("name") for group in settings.sections("classes"))
        self.tenants = Names(tenant.text("name") for tenant in settings.sections("accounts"))
        self.deployment = deployment(settings, self.zones, self.kinds)
        self.group_names = list(self.groups.index)
        if protocol_kinds:
            self._repeat_groups([frozenset(map(self.kinds, kinds)) for kinds in protocol_kinds])
        self.queries = Indices()
        self.engines = Indices()
        self.open_attempts: dict[int, int] = {}  # by query: the number of attempts that have not ended
        self.answered_queries: set[int] = set()  # that have their final answer
        self.attempts_in_flight: dict[str, int] = {}  # by engine
        self.listed_engines: dict[str, ListedEngine] = {}

    def _repeat_groups(self, allowed_kinds: list[frozenset[int]]) -> None:
        self.group_names *= len(allowed_kinds)
        self.deployment = self.deployment._replace(
            groups=[
                group._replace(kinds=allowed if group.kinds is None else group.kinds & allowed)
                for allowed in allowed_kinds
                for group in self.deployment.groups
            ]
        )

    def add_query(self, name: Hashable) -> int:
        """The index of a new query."""
        query = self.queries.add(name)
        self.open_attempts[query] = 0
        return query

    def attempt_started(self, query: int, engine_name: str) -> None:
        """Counts an attempt of a query that was sent to an engine."""
        self.open_attempts[query] += 1
        self.attempts_in_flight[engine_name] += 1

    def attempt_ended(self, query: int, engine_name: str) -> None:
        """Counts an attempt of a query that has ended."""
        self.open_attempts[query] -= 1
        self.attempts_in_flight[engine_name] -= 1

    def update_engine(
        self,
        name: str,
        state: EngineState,
        zone: str | None,
        kind: str | None,
        cell: int | None,
        started: float | None,
        weight: float | None,
    ) -> EngineUpdated | None:
        """The event for an entry of the endpoint list; None if an engine that was not known has gone."""
        if state == EngineState.GONE and name not in self.engines.index_of:
            return None
        engine = self.engines.add(name)
        self.attempts_in_flight.setdefault(name, 0)
        if state == EngineState.GONE:
            self.listed_engines.pop(name, None)
        else:
            self.listed_engines[name] = ListedEngine(zone, kind, cell, started, weight)
        return EngineUpdated(
            engine,
            name.encode(),
            state,
            self.zones(zone),
            self.kinds(kind),
            cell or 0,
            ticks(started),
            weight or 1.0,
        )

    def remove_missing(self, names: set[str]) -> Iterator[EngineUpdated]:
        """The events for engines that are missing from a full endpoint list; names: those in the list."""
        for name in [name for name in self.listed_engines if name not in names]:
            yield self.update_engine(name, EngineState.GONE, *self.listed_engines[name])

    def release(self) -> list[str]:
        """Frees indices that are no longer needed. Returns the names of engines whose indices were freed."""
        for query in sorted(self.answered_queries):
            if not self.open_attempts[query]:
                self.answered_queries.discard(query)
                del self.open_attempts[query]
                self.queries.remove(self.queries.names[query])
        gone = [
            name
            for name, count in self.attempts_in_flight.items()
            if not count and name not in self.listed_engines
        ]
        for name in gone:
            del self.attempts_in_flight[name]
            self.engines.remove(name)
        return gone
