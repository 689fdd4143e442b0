"""What proxies are sent that know of drains which this instance's endpoint list lacks.

Such a proxy has come from an instance that is ahead, and says so by the tombstones in its versions. Until the
list has caught up, the proxy is sent the resources of a view: those of the catalog, but with clusters placed
without the endpoints that it knows to have drained. All else reaches it, drains first. Proxies that know the
same share a view. The module does no I/O.
"""

from collections.abc import Callable, Collection, Iterable
from heapq import nlargest
from typing import NamedTuple
from weakref import WeakValueDictionary

from wickvane.xds.catalog import CachedResource, Catalog
from wickvane.xds.endpoint_snapshot import DocumentSource, EndpointSnapshot
from wickvane.xds.placement import PlacedEndpoint, Placement
from wickvane.xds.resource_types import ResourceType
from wickvane.xds.resource_version import ResourceVersion, digest_of
from wickvane.xds.tombstones import Tombstone, encode_tombstones, engine_digest

MIN_PUBLISHED_TOMBSTONES = 256  # published in versions; more if there are more endpoints

BuildAssignment = Callable[[str, Iterable[PlacedEndpoint]], bytes]


class EndpointState(NamedTuple):
    """The state of an instance from which views are derived."""

    snapshot: EndpointSnapshot
    documents: DocumentSource | None
    placement: Placement
    build_assignment: BuildAssignment


class EndpointView:
    """The endpoint resources for proxies that know of tombstones which the instance's list lacks.

    lacking: these tombstones; excluded: names of the endpoints that the list has as ready all the same;
    never_placed: clusters that have had no other endpoint since the view exists; tombstones: text of the
    lacking tombstones and of the instance's own.
    """

    __slots__ = (
        "__weakref__",
        "_catalog",
        "_changes",
        "_placed",
        "_resources",
        "excluded",
        "lacking",
        "never_placed",
        "tombstones",
    )

    def __init__(self, catalog: Catalog, lacking: frozenset[Tombstone]) -> None:
        self.lacking = lacking
        self.excluded: frozenset[str] = frozenset()
        self.never_placed: set[str] = set()
        self.tombstones = ""
        self._catalog = catalog
        self._resources: dict[str, CachedResource] = {}  # of the clusters that have an excluded endpoint
        self._placed: dict[str, tuple[PlacedEndpoint, ...]] = {}  # of the same clusters
        self._changes: dict[str, int] = {}  # by name: generation of the last change of such a cluster

    def resource(self, name: str) -> CachedResource:
        """The resource to send. Raises KeyError if there is none."""
        if name in self._resources:
            return self._resources[name]
        return self._catalog.resources[ResourceType.EDS][name]

    def changed_since(self, generation: int, catalog_changes: Collection[str]) -> set[str]:
        """The names that changed after a generation, given those that changed in the catalog."""
        names = {name for name in catalog_changes if name not in self._resources}
        names.update(name for name, changed_at in self._changes.items() if changed_at > generation)
        return names

    def refresh(self, excluded: frozenset[str], state: EndpointState, generation: int) -> bool:
        """Places the clusters without the excluded endpoints, and returns whether any has changed."""
        self.excluded = excluded
        affected = self._affected(state.placement)
        changed = [name for name in self._resources if name not in affected]
        for name in changed:
            del self._resources[name]
            del self._placed[name]
            self.never_placed.discard(name)
        changed += [name for name in affected if self._place(name, state, generation)]
        self._changes.update(dict.fromkeys(changed, generation))
        return bool(changed)

    def _affected(self, placement: Placement) -> set[str]:
        if not self.excluded:
            return set()
        existing = self._catalog.resources[ResourceType.EDS]
        return {
            name
            for name, placed in placement.clusters.items()
            if name in existing and any(endpoint.name in self.excluded for endpoint in placed)
        }

    def _place(self, name: str, state: EndpointState, generation: int) -> bool:
        """Places one cluster, and returns whether it has changed."""
        before = self._placed.get(name)
        placed = state.placement.place(name, self.excluded)
        if placed == before:
            return False
        if placed:
            self.never_placed.discard(name)
        elif before is None:
            self.never_placed.add(name)
        drained_at = self._catalog.resources[ResourceType.EDS][name].drained_at
        if before and _loses_drained(before, placed, state.snapshot):
            drained_at = generation
        body = state.build_assignment(name, placed)
        version = ResourceVersion(self._catalog.epoch, self._catalog.index, digest_of(body))
        self._placed[name] = placed
        self._resources[name] = CachedResource(str(version), body, generation, drained_at)
        return True


def _loses_drained(
    before: Iterable[PlacedEndpoint], after: Iterable[PlacedEndpoint], snapshot: EndpointSnapshot
) -> bool:
    kept = {endpoint.name for endpoint in after}
    for name in (endpoint.name for endpoint in before):
        endpoint = snapshot.endpoints.get(name)
        if name not in kept and (endpoint is None or not endpoint.is_ready):
            return True
    return False


class EndpointViews:
    """The instance's own tombstones, and the views of proxies that know of others.

    revision: grows whenever the instance's state changes; published: the own tombstones that versions carry;
    tombstones: their text.
    """

    def __init__(self, catalog: Catalog) -> None:
        self.revision = 0
        self.published: frozenset[Tombstone] = frozenset()
        self.tombstones = ""
        self._catalog = catalog
        self._state: EndpointState | None = None
        self._own_starts: dict[str, int] | None = None  # of own tombstones; None: to be computed
        self._lacking: dict[frozenset[Tombstone], frozenset[Tombstone]] = {}  # results for this revision
        self._views: WeakValueDictionary[frozenset[Tombstone], EndpointView] = WeakValueDictionary()

    def update(self, state: EndpointState) -> bool:
        """Applies a changed state, and returns whether the resources of a view have changed."""
        before = self._state
        self._state = state
        self.revision += 1
        self._lacking.clear()
        views = list(self._views.values())
        if before is None or not _has_same_tombstones(before, state):
            self._own_starts = None
            self.published = _published_tombstones(state)
            self.tombstones = encode_tombstones(self.published)
            for view in views:
                view.tombstones = encode_tombstones(self.published | view.lacking)
        return self._refresh(views)

    def _refresh(self, views: Iterable[EndpointView]) -> bool:
        generation = self._catalog.generation + 1
        changed = [
            view for view in views if view.refresh(self._excluded(view.lacking), self._state, generation)
        ]
        if changed:
            self._catalog.generation = generation
        return bool(changed)

    def _excluded(self, lacking: frozenset[Tombstone]) -> frozenset[str]:
        """Names of the ready endpoints whose process a tombstone names."""
        starts = {tombstone.engine: tombstone.started_at for tombstone in lacking}
        return frozenset(
            endpoint.name
            for endpoint in self._state.snapshot.ready()
            if endpoint.started_at <= starts.get(engine_digest(endpoint.name), -1)
        )

    def lacking(self, held: frozenset[Tombstone]) -> frozenset[Tombstone]:
        """The tombstones that the instance does not know of, the latest of each engine."""
        lacking = self._lacking.get(held)
        if lacking is None:
            latest: dict[str, Tombstone] = {}
            for tombstone in sorted(held):
                if not self._is_known(tombstone):
                    latest[tombstone.engine] = tombstone
            lacking = self._lacking[held] = frozenset(latest.values())
        return lacking

    def _is_known(self, tombstone: Tombstone) -> bool:
        """Whether the list includes the drain, or results from documents that are as new as the drain's."""
        if self._state is None:
            return False
        documents = self._state.documents
        if tombstone.document_index and documents and documents.index >= tombstone.document_index:
            return True
        if self._own_starts is None:
            removed = self._state.snapshot.removed
            self._own_starts = {engine_digest(name): removal.started_at for name, removal in removed.items()}
        return self._own_starts.get(tombstone.engine, -1) >= tombstone.started_at

    def view(self, lacking: frozenset[Tombstone]) -> EndpointView | None:
        """The view of proxies that know of these tombstones, None if the list lacks none."""
        if not lacking or self._state is None:
            return None
        view = self._views.get(lacking)
        if view is None:
            view = EndpointView(self._catalog, lacking)
            view.tombstones = encode_tombstones(self.published | lacking)
            view.refresh(self._excluded(lacking), self._state, self._catalog.generation)
            self._views[lacking] = view
        return view


def _has_same_tombstones(before: EndpointState, after: EndpointState) -> bool:
    return (
        before.snapshot.removed is after.snapshot.removed
        and before.snapshot.ended_by_documents is after.snapshot.ended_by_documents
        and len(before.snapshot.endpoints) == len(after.snapshot.endpoints)
        and _has_stated_generation(before) == _has_stated_generation(after)
    )


def _has_stated_generation(state: EndpointState) -> bool:
    return state.documents is not None and state.documents.has_stated_generation


def _published_tombstones(state: EndpointState) -> frozenset[Tombstone]:
    """The newest tombstones of the instance, for the versions of its resources."""
    removed = state.snapshot.removed
    ended_by_documents = state.snapshot.ended_by_documents
    has_stated_generation = _has_stated_generation(state)
    published = []
    count = max(MIN_PUBLISHED_TOMBSTONES, len(state.snapshot.endpoints))
    for name in nlargest(count, removed, key=removed.get):
        document_index = ended_by_documents.get(name)
        # Without a stated generation, other instances could not tell whether their documents are newer.
        if document_index is None or (document_index and has_stated_generation):
            tombstone = Tombstone(engine_digest(name), removed[name].started_at, document_index or 0)
            published.append(tombstone)
    return frozenset(published)
