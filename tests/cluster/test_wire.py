"""The datagram codec with invalid datagrams, and the key file."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cluster.helpers import PING, report
from wickvane.cluster.messages import Message
from wickvane.cluster.wire import Codec, DatagramError, read_keys
from wickvane.files import FileError


@settings(max_examples=500, deadline=None)
@given(st.binary(max_size=1300) | st.tuples(st.integers(0, 60), st.binary(min_size=1, max_size=3)))
def test_invalid_datagrams_raise_only_datagram_errors_with_a_known_reason(data):
    codec = Codec("c", [b"k" * 20])
    if isinstance(data, tuple):
        sealed = codec.seal(PING)
        data = sealed[: data[0]] + data[1] + sealed[data[0] + len(data[1]) :]
        if data == sealed:
            return
    with pytest.raises(DatagramError) as rejected:
        codec.open(data)
    assert rejected.value.reason in ("oversized", "short", "version", "unauthenticated")


@pytest.mark.parametrize(
    "change, reason",
    [
        ({0: 9}, "malformed"),
        ({1: ""}, "malformed"),
        ({1: "n" * 65}, "malformed"),
        ({2: -1}, "malformed"),
        ({2: 1.5}, "malformed"),
        ({9: b"s" * 961}, "malformed"),
        ({10: [("a", 5, "1.1.1.1:1", 0, 5, "")]}, "malformed"),
        ({10: [("a", 5, "1.1.1.1:1", 1 << 32, 1, "")]}, "malformed"),
        ({10: None}, "malformed"),
        ({8: ("a",)}, "malformed"),
        ({6: "x"}, "malformed"),
    ],
)
def test_a_signed_message_with_a_field_of_a_wrong_type_is_rejected(change, reason):
    codec = Codec("c", [b"k" * 20])
    fields = list(PING)
    for index, value in change.items():
        fields[index] = value
    with pytest.raises(DatagramError) as rejected:
        codec.open(codec.seal(Message(*fields)))
    assert rejected.value.reason == reason


def test_both_keys_are_accepted_and_other_keys_and_clusters_are_rejected(tmp_path):
    old = [b"o" * 16]
    both = [b"n" * 16, b"o" * 16]
    new = [b"n" * 16]
    assert Codec("c", both).open(Codec("c", old).seal(PING)) == PING
    assert Codec("c", both).open(Codec("c", new).seal(PING))
    with pytest.raises(DatagramError, match="unauthenticated"):
        Codec("c", new).open(Codec("c", old).seal(PING))
    with pytest.raises(DatagramError, match="foreign"):
        Codec("d", new).open(Codec("c", new).seal(PING))
    path = tmp_path / "key"
    for text in (b"", b"short\n", b"a" * 65, b"k" * 20 + b"\n" + b"l" * 20 + b"\n" + b"m" * 20, b"x" * 5000):
        path.write_bytes(text)
        with pytest.raises(FileError):
            read_keys(path)
    with pytest.raises(FileError, match="cannot be read"):
        read_keys(tmp_path / "none")
    path.write_bytes(b"k" * 20 + b"\n\n" + b"l" * 20 + b"\n")
    assert read_keys(path) == [b"k" * 20, b"l" * 20]


def test_an_opened_message_has_the_types_of_the_sealed_one():
    message = Codec("c", [b"k" * 20]).open(Codec("c", [b"k" * 20]).seal(PING))
    assert isinstance(message, Message) and message.kind is PING.kind
    assert message.entries == [report("a", 5, "1.1.1.1:1", 0, PING.entries[0].state)]
    assert message.entries[0].state is PING.entries[0].state
