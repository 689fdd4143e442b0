"""IPFIX and NetFlow v9: messages are read back, also by an independent decoder; no bytes crash a reader."""

import struct
from random import Random

import netflow
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from spoilt import inputs

from wickvane.errors import ProtocolError
from wickvane.flows import flow_accounts as a
from wickvane.flows import ipfix, netflow9
from wickvane.flows.collected_flows import Collected, Sequence
from wickvane.flows.elements import FULL_KINDS, PLAIN_KINDS

PEN = 32_473
NAMES = ["lookup", "load"], ["acme"]


def record(n=0, engine="e0", octets=(10, 20), key=(0, 0), v6=False, part=0):
    flow = a.Flow((7 << 32) + n, None, key, 17_000_000_000_000 + n, a.READY)
    flow.part = part
    host = bytes(15) + b"\1" if v6 else bytes([127, 0, 0, 1])
    side = a.ENGINE if engine else a.CLIENT
    flow.connection = a.Connection(side, host, 1000 + n % 60_000, host, 5432, engine)
    flow.counts[0], flow.counts[1] = octets
    flow.counts[a.FIRST] = n % 5
    return a.Record(flow, a.ENDED, a.DRAINING)


def encoded_names(name):
    groups, tenants = NAMES
    return [name(g) for g in groups] + [name("")], [name(t) for t in tenants] + [name("")], {}, name


def written(records, max_size=1400, checksums=False, sequence=0, enterprise=PEN, plain=False):
    generation = ipfix.Generation(0, 24, PLAIN_KINDS) if plain else ipfix.Generation(enterprise)
    encode = ipfix.plain_record if plain else ipfix.flow_record
    writer, names = ipfix.Writer(9, generation, max_size, checksums, sequence), encoded_names(generation.name)
    for entry in records:
        writer.add(*encode(entry, names), 1_700_000_000, entry.key[0])
    writer.finish(1_700_000_000)
    return generation, writer.take()


def packets(records, max_size=1400, width=32):
    layout = netflow9.Layout(width)
    writer, names = netflow9.Writer(layout, max_size), encoded_names(layout.name)
    for entry in records:
        writer.add(*layout.flow(entry, names), 0, entry.key[0])
    writer.finish(0)
    found = [netflow9.packet(len(netflow9.TEMPLATE_IDS), 5, 1_700_000_000, 0, 9, layout.sets)]
    for n, (data, count, _) in enumerate(writer.take(), 1):
        found.append(netflow9.packet(count, 5, 1_700_000_000, n, 9, data[2:]))
    return found


def collected(reader, chunks):
    into = Collected(keep=True)
    for chunk in chunks:
        for event in reader(chunk):
            into.take(event)
    return into


def template_message(generation, sequence=0):
    return ipfix.message(9, sequence, 1_700_000_000, generation.sets)


@pytest.mark.parametrize("checksums", [False, True])
def test_records_are_read_back_field_by_field(checksums):
    records = [record(n, octets=(n * n, n), key=(n % 2, 0), v6=n % 3 == 0) for n in range(300)]
    generation, messages = written(records, checksums=checksums)
    assert all(len(data) <= 1400 for data, _, _ in messages) and len(messages) > 10
    stream = template_message(generation) + b"".join(data for data, _, _ in messages)
    found = collected(ipfix.Reader(PEN).feed, [stream])
    assert found.records == 300 and found.lost == 0 and found.arrivals["repeated"] == 0
    assert sum(sum(groups.values()) for _, _, groups in messages) == 300
    for entry, read in zip(
        sorted(records, key=lambda r: r.id), sorted(found.kept, key=lambda r: r["flowId"])
    ):
        assert (
            read["octetDeltaCount"] == entry.counts[0] and read["reverseOctetDeltaCount"] == entry.counts[1]
        )
        assert read["resourceGroup"] == NAMES[0][entry.key[0]] and read["engine"] == "e0"
        assert (
            read["flowStartMilliseconds"] == entry.started_at // 10 and read["engineStateEnd"] == a.DRAINING
        )
        assert read["submissionsFirst"] == entry.counts[a.FIRST]
        kind = "IPv6" if len(entry.connection.source) == 16 else "IPv4"
        assert read[f"source{kind}Address"] == ("::1" if kind == "IPv6" else "127.0.0.1")
    if checksums:
        assert all(ipfix.checksum_holds(data) for data, _, _ in messages)
        corrupt = bytearray(messages[0][0])
        corrupt[-1] ^= 1
        assert not ipfix.checksum_holds(bytes(corrupt))


def test_a_stream_split_at_every_byte_is_read_the_same():
    generation, messages = written([record(n) for n in range(3)])
    stream = template_message(generation) + b"".join(data for data, _, _ in messages)
    events = list(ipfix.Reader(PEN).feed(stream))
    for cut in range(len(stream) + 1):
        reader = ipfix.Reader(PEN)
        assert [*reader.feed(stream[:cut]), *reader.feed(stream[cut:])] == events
    reader = ipfix.Reader(PEN)
    assert [
        event for byte in stream for event in reader.feed(bytes([byte]))
    ] == events and not reader.buffered_octets()


def test_an_independent_decoder_reads_templates_and_sums():
    # Like other simple collectors, it knows neither enterprise elements nor strings of variable length.
    records = [record(n, octets=(n, 2 * n)) for n in range(100)]
    generation, messages = written(records, plain=True)
    templates, sums = {"netflow": {}, "ipfix": {}}, [0, 0]
    netflow.parse_packet(template_message(generation), templates)
    for data, count, _ in messages:
        read = netflow.parse_packet(data, templates)
        assert len(read.flows) == count
        for flow in read.flows:
            sums[0] += flow.data["initiatorOctets"]
            sums[1] += flow.data["responderOctets"]
            assert flow.data["applicationName"].rstrip("\0") == "lookup"
    assert sums == [sum(range(100)), 2 * sum(range(100))]
    assert set(templates["ipfix"]) == set(generation.ids.values())
    templates, sums = {"netflow": {}, "ipfix": {}}, [0, 0]
    for data in packets(records):
        read = netflow.parse_packet(data, templates)
        for flow in read.flows:
            sums[0] += flow.data["IN_BYTES"]
            sums[1] += flow.data["OUT_BYTES"]
            assert flow.data["IPV4_SRC_ADDR"] == "127.0.0.1" or flow.data["IPV4_SRC_ADDR"] == 0x7F000001
    assert sums == [sum(range(100)), 2 * sum(range(100))]


def test_packets_of_version_9_are_read_back_and_long_names_stay_distinct():
    long = ["engine-" + "x" * 60 + tail for tail in "ab"]
    records = [record(n, engine=long[n % 2], octets=(n, 1), v6=n % 2 == 1) for n in range(60)]
    data = packets(records, width=24)
    assert all(len(packet) <= 1400 and len(packet) % 4 == 0 for packet in data)
    found = collected(netflow9.NetFlow9Reader().message, data)
    assert found.records == 60 and found.lost == 0
    assert sum(r["octetDeltaCount"] for r in found.kept) == sum(range(60))
    engines = {r["engine"] for r in found.kept}
    assert len(engines) == 2 and all(len(name) <= 24 for name in engines)
    assert {r["resourceGroup"] for r in found.kept} == {"lookup"}
    assert sum(r["reverseOctetDeltaCount"] for r in found.kept) == 60


def test_template_ids_derive_from_content_so_that_two_enterprise_numbers_can_coexist():
    old, first = written([record(1)], enterprise=1)
    new, second = written([record(2)], enterprise=2, sequence=1)
    assert old.ids["flow4"] != new.ids["flow4"] and ipfix.Generation(1).sets == old.sets
    found = collected(
        ipfix.Reader(1).feed, [template_message(old), template_message(new, 1), first[0][0], second[0][0]]
    )
    assert found.records == 2 and found.unknown == 0


def test_a_change_of_templates_withdraws_unwanted_ones_and_announces_only_new_ones():
    old, new = ipfix.Generation(1), ipfix.Generation(2)
    announced, reader = {}, ipfix.Reader(2)
    changes = [
        ipfix.template_changes(announced, ipfix.parse_templates(generation.sets), drop)
        for generation, drop in ((old, False), (new, False), (new, True))
    ]
    assert ipfix.template_changes(announced, ipfix.parse_templates(new.sets), True) == b""
    events = [
        [e for e in reader.message(ipfix.message(9, 0, 0, change)) if e[0] in ("template", "withdrawn")]
        for change in changes
    ]
    assert [len(FULL_KINDS), 4, 4] == list(map(len, events))  # both have the same checksum template
    assert all(e[0] == "withdrawn" for e in events[2])
    assert {number for _, number in reader.templates} == set(new.ids.values())


def test_sets_of_an_unknown_template_are_skipped_and_leave_the_sequence_uncounted():
    _, messages = written([record(1)])
    found = collected(ipfix.Reader(PEN).feed, [messages[0][0]])
    assert found.unknown == 1 and not found.records and not found.sequences


def test_a_withdrawal_of_all_templates_of_a_domain_leaves_those_of_others():
    generation, messages = written([record(1)])
    reader = ipfix.Reader(PEN)
    other = ipfix.message(10, 0, 0, generation.sets)
    list(reader.feed(template_message(generation) + other))
    every = b"".join(ipfix.SET_HEADER.pack(n, 8) + ipfix.SET_HEADER.pack(n, 0) for n in (2, 3))
    list(reader.feed(ipfix.message(9, 0, 0, every)))
    assert {domain for domain, _ in reader.templates} == {10} and len(reader.templates) == len(FULL_KINDS)


@pytest.mark.parametrize(
    "sets, why",
    [
        (struct.pack("!HH", 2, 3), "length is wrong"),
        (struct.pack("!HHHH", 2, 8, 255, 1), "out of range"),
        (struct.pack("!HHHHHH", 2, 12, 256, 1, 1, 0), "no length"),
        (struct.pack("!HH", 7, 4), "reserved"),
        (struct.pack("!HHHHH", 3, 10, 256, 1, 0), "no scope"),
        (struct.pack("!HHHHHH", 2, 12, 256, 2, 1, 8), "ends"),
        (b"\0", "shorter"),
    ],
)
def test_malformed_sets_are_rejected_with_a_reason(sets, why):
    with pytest.raises(ProtocolError, match=why):
        list(ipfix.Reader(PEN).message(ipfix.message(1, 0, 0, sets)))


def test_templates_above_the_maximum_are_rejected():
    reader = ipfix.Reader(PEN, templates=5)
    with pytest.raises(ProtocolError, match="too many"):
        for n in range(9):
            sets = struct.pack("!HHHHHH", 2, 12, 300 + n, 1, 1, 8)
            list(reader.message(ipfix.message(1, 0, 0, sets)))


GOOD, MESSAGES = written([record(n) for n in range(8)], checksums=True)
SEEDS = [template_message(GOOD), *(data for data, _, _ in MESSAGES), *packets([record(n) for n in range(8)])]


@settings(max_examples=300, deadline=None)
@given(inputs(SEEDS, 600, 2000))
def test_arbitrary_bytes_raise_the_stated_error_or_nothing(data):
    stream, reader, nine = ipfix.Reader(PEN), ipfix.Reader(PEN), netflow9.NetFlow9Reader()
    list(reader.feed(SEEDS[0]))
    list(nine.message(SEEDS[len(MESSAGES) + 1]))
    for read in (stream.feed, reader.message, nine.message):
        try:
            count = sum(1 for _ in read(data))
            assert count <= 2 * len(data) + 3
        except ProtocolError:
            pass
    assert stream.buffered_octets() <= 65_535 and len(reader.templates) <= 1024


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 1 << 32), st.integers(0, (1 << 32) - 1))
def test_the_sequence_classifies_new_late_and_repeated_as_a_plain_set_does(seed, start):
    chance = Random(seed)
    sent, at = [], 0
    for _ in range(60):
        count = chance.randrange(1, 5)
        sent.append((at, count))
        at += count
    order = sent[:1]
    for message in sent[1:]:
        if chance.random() < 0.8:
            order.insert(max(1, len(order) - chance.randrange(3)), message)
        if chance.random() < 0.1:
            order.append(chance.choice(order))
    sequence, plain, counted = Sequence(), set(), {"new": 0, "late": 0, "repeated": 0}
    for begin, count in order:
        numbers = set(range(begin, begin + count))
        expected = "repeated" if numbers <= plain else "late" if plain and begin < max(plain) else "new"
        got = sequence.add((start + begin) % (1 << 32), count)
        counted[got] += 1
        assert got == expected
        plain |= numbers
        assert sequence.lost == max(plain) + 1 - min(plain) - len(plain)
