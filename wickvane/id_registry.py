"""Maps ids of the wire to small indices, for queries and engines, and decides when an index may be reused."""

from collections.abc import Hashable, Iterable, Iterator
from typing import Any, NamedTuple

from wickvane.events import EngineState, EngineUpdated
from wickvane.settings import deployment, root_section, ticks


class Names:
    """Names to small indices, in the order in which the wire first gave them."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.index: dict[str, int] = {}
        for name in names:
            self(name)

    def __call__(self, name: str) -> int:
        """The name's index; a new name gets the next one."""
        return self.index.setdefault(name, len(self.index))


class Indices:
    """Ids to small indices that are reused, the last freed first."""

    def __init__(self) -> None:
        self.of: dict[Hashable, int] = {}
        self.names: list[Hashable | None] = []
        self.free: list[int] = []

    def add(self, name: Hashable) -> int:
        """The index of an id; a new id gets a free one."""
        if name in self.of:
            return self.of[name]
        if self.free:
            index = self.free.pop()
            self.names[index] = name
        else:
            index = len(self.names)
            self.names.append(name)
        self.of[name] = index
        return index

    def drop(self, name: Hashable) -> None:
        """Frees an id's index."""
        index = self.of.pop(name)
        self.names[index] = None
        self.free.append(index)


class ListedEngine(NamedTuple):
    """An engine's entry in the endpoint list, but for its state."""

    zone: str | None
    kind: str | None
    cell: int | None
    started: float | None  # in ms
    weight: float | None


class IdRegistry:
    """Which query and which engine an index stands for, and when it may stand for another."""

    def __init__(self, params: Any, fronts: Iterable[Iterable[str]] = ()) -> None:
        """params: the settings. fronts: for each client protocol, the kinds of engines that its queries may
        go to, by name; none: all kinds for all.

        With fronts each resource group is repeated for each client protocol: which engines may run a query
        depends on the protocol by which it arrived, and placement by resource group covers that.
        """
        settings = root_section(params)
        settings.required("classes")
        self.zones = Names(settings.names("zones"))
        self.kinds = Names(settings.names("host_types"))
        self.groups = Names(group.text("name") for group in settings.sections("classes"))
        self.tenants = Names(tenant.text("name") for tenant in settings.sections("accounts"))
        self.deployment = deployment(settings, self.zones, self.kinds)
        self.group_names = list(self.groups.index)
        if fronts:
            self._repeat_groups([frozenset(map(self.kinds, front)) for front in fronts])
        self.queries = Indices()
        self.engines = Indices()
        self.open: dict[int, int] = {}  # by query: attempts that have not ended
        self.over: set[int] = set()  # queries that have their final answer
        self.sent: dict[str, int] = {}  # by engine: attempts that have not ended
        self.listed: dict[str, ListedEngine] = {}

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
        self.open[query] = 0
        return query

    def attempt_started(self, query: int, engine_name: str) -> None:
        """An attempt of a query is in flight on an engine."""
        self.open[query] += 1
        self.sent[engine_name] += 1

    def attempt_ended(self, query: int, engine_name: str) -> None:
        """An attempt of a query has ended."""
        self.open[query] -= 1
        self.sent[engine_name] -= 1

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
        """The event for an entry of the endpoint list; None for an unknown engine that has gone."""
        if state == EngineState.GONE and name not in self.engines.of:
            return None
        engine = self.engines.add(name)
        self.sent.setdefault(name, 0)
        if state == EngineState.GONE:
            self.listed.pop(name, None)
        else:
            self.listed[name] = ListedEngine(zone, kind, cell, started, weight)
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
        """The events for engines that a full endpoint list no longer has."""
        for name in [name for name in self.listed if name not in names]:
            yield self.update_engine(name, EngineState.GONE, *self.listed[name])

    def release(self) -> list[str]:
        """Frees indices that are no longer needed; the names of engines that were freed."""
        for query in sorted(self.over):
            if not self.open[query]:
                self.over.discard(query)
                del self.open[query]
                self.queries.drop(self.queries.names[query])
        gone = [name for name, count in self.sent.items() if not count and name not in self.listed]
        for name in gone:
            del self.sent[name]
            self.engines.drop(name)
        return gone
