"""Tombstones and the versions that carry them: any set survives its text, and any text is read."""

from hypothesis import given
from hypothesis import strategies as st

from wickvane.xds.resource_version import ResourceVersion, content_of, parse_version
from wickvane.xds.tombstones import (
    MAX_TOMBSTONES,
    Tombstone,
    encode_tombstones,
    engine_digest,
    parse_tombstones,
)

NAMES = st.text(min_size=1, max_size=40)
NUMBERS = st.integers(0, (1 << 63) - 1)
TOMBSTONES = st.builds(Tombstone, NAMES.map(engine_digest), NUMBERS, NUMBERS)


@given(st.frozensets(TOMBSTONES, max_size=40))
def test_tombstones_survive_their_text_in_a_version(tombstones):
    version = ResourceVersion("0", 7, "1a", encode_tombstones(tombstones))
    parsed = parse_version(str(version))
    assert parsed == version and parse_tombstones(parsed.tombstones) == tombstones
    assert content_of(str(version)) == content_of("0.9.1a")


@given(st.one_of(st.text(max_size=200), st.text("~:.0aZ-_", max_size=200)))
def test_any_text_is_read_and_what_is_no_tombstone_is_ignored(text):
    for tombstone in parse_tombstones(text):
        assert parse_tombstones(str(tombstone)) == {tombstone}
    parse_version(f"0.1.2.{text}")


def test_a_text_without_end_yields_a_bounded_number_of_tombstones():
    text = encode_tombstones(Tombstone(engine_digest(f"e{n}"), n) for n in range(3 * MAX_TOMBSTONES))
    assert len(parse_tombstones(text)) == MAX_TOMBSTONES
