"""Merges the documents of one list, file by file; free of I/O.

The cost of a change depends only on the size of the changed file: the other files are not processed again.
"""

from wickvane.endpoints.document import Document
from wickvane.endpoints.findings import UNKNOWN_LOCATION, Finding, Location, Severity
from wickvane.endpoints.snapshot import EMPTY_SNAPSHOT, Endpoint, Snapshot, update_snapshot

MAX_REPORTED_CONFLICTS = 20  # of names, and as many of addresses
MAX_FILES_IN_MESSAGE = 4


class DocumentMerger:
    """Keeps the documents of a list by file, their merged snapshot and their conflicts."""

    def __init__(self) -> None:
        self.documents: dict[str, Document] = {}
        self.snapshot = EMPTY_SNAPSHOT
        self.duplicate_names: set[str] = set()
        self.shared_addresses: set[tuple[str, int]] = set()
        self._listings: dict[str, dict[str, Endpoint]] = {}  # endpoint by name and file
        self._names_by_address: dict[tuple[str, int], set[str]] = {}
        self._unmerged: set[str] = set()

    def put(self, document: Document) -> None:
        """Adds a document, or replaces the previous one of the same file."""
        previous = self.documents.get(document.file)
        previous_endpoints = () if previous is None else previous.endpoints
        current_by_name = {endpoint.name: endpoint for endpoint in document.endpoints}
        for endpoint in previous_endpoints:
            if current_by_name.get(endpoint.name) != endpoint:
                self._remove_listing(endpoint, document.file)
        previous_by_name = {endpoint.name: endpoint for endpoint in previous_endpoints}
        for endpoint in document.endpoints:
            if previous_by_name.get(endpoint.name) != endpoint:
                self._add_listing(endpoint, document.file)
        self.documents[document.file] = document

    def remove(self, file: str) -> None:
        """Removes the document of a file."""
        document = self.documents.pop(file, None)
        if document is not None:
            for endpoint in document.endpoints:
                self._remove_listing(endpoint, file)

    def _add_listing(self, endpoint: Endpoint, file: str) -> None:
        listings = self._listings.setdefault(endpoint.name, {})
        listings[file] = endpoint
        self._unmerged.add(endpoint.name)
        if len(listings) > 1:
            self.duplicate_names.add(endpoint.name)
        if endpoint.address is not None:
            names = self._names_by_address.setdefault(endpoint.address, set())
            names.add(endpoint.name)
            if len(names) > 1:
                self.shared_addresses.add(endpoint.address)

    def _remove_listing(self, endpoint: Endpoint, file: str) -> None:
        listings = self._listings.get(endpoint.name, {})
        listings.pop(file, None)
        self._unmerged.add(endpoint.name)
        if len(listings) < 2:
            self.duplicate_names.discard(endpoint.name)
        if not listings:
            self._listings.pop(endpoint.name, None)
        names = self._names_by_address.get(endpoint.address)
        # Another file may list the same engine under the same address.
        if names is None or any(other.address == endpoint.address for other in listings.values()):
            return
        names.discard(endpoint.name)
        if len(names) < 2:
            self.shared_addresses.discard(endpoint.address)
        if not names:
            del self._names_by_address[endpoint.address]

    def generation(self) -> int | None:
        """Returns the highest generation that a file states, None if no file states one."""
        stated = (document.generation for document in self.documents.values())
        return max((generation for generation in stated if generation is not None), default=None)

    def merge(self) -> Snapshot:
        """Returns the merged snapshot of all files, without a generation; see conflicts()."""
        put = []
        removed = []
        for name in self._unmerged:
            listings = self._listings.get(name)
            if listings:
                put.append(listings[min(listings)])
            else:
                removed.append(name)
        self._unmerged = set()
        self.snapshot = update_snapshot(self.snapshot, 0, put, removed)
        return self.snapshot

    def conflicts(self) -> list[Finding]:
        """Returns findings on names and addresses that are listed twice across all files."""
        names = sorted(self.duplicate_names)[:MAX_REPORTED_CONFLICTS]
        addresses = sorted(self.shared_addresses)[:MAX_REPORTED_CONFLICTS]
        return [
            *(self._duplicate_name(name) for name in names),
            *(self._shared_address(address) for address in addresses),
        ]

    def _duplicate_name(self, name: str) -> Finding:
        files = sorted(self._listings[name])
        text = f"it is listed in {' and '.join(files[:MAX_FILES_IN_MESSAGE])}"
        return Finding("name-twice", Severity.REJECT, text, files[1], self._line_of(name, files[1]), name)

    def _shared_address(self, address: tuple[str, int]) -> Finding:
        names = sorted(self._names_by_address[address])
        file = min(self._listings[names[1]])
        text = f"{address[0]}:{address[1]} is also the address of {names[0]}"
        line = self._line_of(names[1], file)
        return Finding("address-twice", Severity.REJECT, text, file, line, names[1])

    def _line_of(self, name: str, file: str) -> int | None:
        return self.documents[file].lines.get(name) if file in self.documents else None

    def location_of(self, name: str) -> Location:
        """Returns the file and line in which an engine is listed, for messages."""
        listings = self._listings.get(name)
        if not listings:
            return UNKNOWN_LOCATION
        file = min(listings)
        return Location(file, self._line_of(name, file))
