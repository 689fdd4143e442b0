"""Tests the merging of the documents of several files."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from endpoints.support import make_endpoint
from wickvane.endpoints.document import Document
from wickvane.endpoints.merge import DocumentMerger
from wickvane.endpoints.snapshot import make_snapshot


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 1 << 30))
def test_merged_files_equal_a_merge_from_scratch(seed: int) -> None:
    random = Random(seed)
    merger = DocumentMerger()
    files = {}
    for _ in range(30):
        file = f"f{random.randrange(4)}.kdl"
        if random.random() < 0.25:
            merger.remove(file)
            files.pop(file, None)
        else:
            names = random.sample(range(6), random.randrange(5))
            endpoints = tuple(
                make_endpoint(n, weight=random.choice([0.5, 1.0]), port=2000 + random.randrange(8))
                for n in names
            )
            stated = random.choice([None, random.randrange(1, 9)])
            merger.put(Document(file, stated, endpoints, {}))
            files[file] = stated, endpoints
        expected = {}
        names_by_address = {}
        for name in sorted(files):
            for endpoint in files[name][1]:
                expected.setdefault(endpoint.name, endpoint)
                names_by_address.setdefault(endpoint.address, set()).add(endpoint.name)
        listed = [endpoint.name for _, endpoints in files.values() for endpoint in endpoints]
        snapshot = merger.merge()
        if not merger.duplicate_names:
            assert dict(snapshot.endpoints) == expected
        assert snapshot.checksum == make_snapshot(0, snapshot.endpoints.values()).checksum
        assert {name for name in listed if listed.count(name) > 1} == merger.duplicate_names
        assert {
            address for address, sharing in names_by_address.items() if len(sharing) > 1
        } == merger.shared_addresses
        assert merger.generation() == max((g for g, _ in files.values() if g), default=None)
        codes = {f.code for f in merger.conflicts()}
        assert codes == ({"name-twice"} if merger.duplicate_names else set()) | (
            {"address-twice"} if merger.shared_addresses else set()
        )
