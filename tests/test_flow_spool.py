"""Compares the send window with a model, and truncates the spool at every byte: no loss goes uncounted."""

import os
import shutil
from hashlib import sha256
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_flow_codecs import PEN, collected, record, written

from wickvane.flows import ipfix, spool
from wickvane.flows.send_window import CORRUPT, AddressSelector, Backlog, Segment, SendWindow


def backlog_of(*send_windows):
    backlog = Backlog(1 << 20, "oldest", 1 << 10)
    return backlog, list(send_windows) or [SendWindow(300, 1 << 20, 0, 0)]


class Collector:
    """What one connection was sent, and which of the last messages it may not have read."""

    def __init__(self):
        self.read, self.buffer = [], []


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 1 << 32), st.sampled_from(["oldest", "newest"]))
def test_after_any_fault_a_message_is_read_or_pending_or_counted_as_dropped(seed, policy):
    """The collector's kernel holds up to `window` octets of sent messages.

    A lost connection loses any of them."""
    chance, window = Random(seed), 400
    backlog, send_window = Backlog(3000, policy, 500), SendWindow(window, 1 << 20, 0, 0)
    read, lost, refused, now, appended, buffer, buffered = set(), set(), 0, 0, 0, [], 0
    sizes = {}
    for _ in range(400):
        now += chance.randrange(500)
        step = chance.random()
        if step < 0.45:
            size = chance.randrange(20, 120)
            admitted, dropped = backlog.admit(size)
            for segment in dropped:
                lost |= set(send_window.discard(segment.first, segment.next))
            if not admitted:
                refused += 1
                continue
            if backlog.needs_segment("g"):
                backlog.open(Segment(backlog.next, "g"))
            index = backlog.append(size, 1)
            sizes[index], appended = size, appended + 1
            assert backlog.size <= 3000
        elif step < 0.9:
            if not send_window.is_connected:
                send_window.connected(now, backlog.next)
            index = send_window.next_index(now, backlog.next)
            if index is None or index < 0:
                continue
            assert backlog.find(index) is not None, "a dropped message was sent"
            send_window.record_sent(index, sizes[index], 1, 1)
            buffer.append(index)
            buffered += sizes[index]
            while buffered > window:
                done = buffer.pop(0)
                buffered -= sizes[done]
                read.add(done)
        elif step < 0.95:
            send_window.connection_lost()  # the buffered messages were never read
            buffer, buffered = [], 0
        elif step < 0.97:
            read |= set(buffer)
            buffer, buffered = [], 0
            send_window.all_delivered()
        else:
            floor = send_window.lowest_needed_index()
            for segment in backlog.remove_below(floor):
                assert segment.next <= floor
    pending = {n for low, high in send_window.pending_ranges for n in range(low, high)} | set(
        range(send_window.next_live, backlog.next)
    )
    recent = {index for index, _ in send_window.recent}
    missing = set(range(backlog.next)) - read - pending - recent - lost
    # The only messages that can be missing were sent, dropped from the full backlog, and lost with the
    # connection before they were read.
    assert all(backlog.find(n) is None for n in missing)
    assert policy == "oldest" or not missing and not lost
    assert send_window.messages + len(lost & set(range(backlog.next))) >= len(read)
    assert [low for low, _ in send_window.pending_ranges] == sorted(
        low for low, _ in send_window.pending_ranges
    )
    assert all(high <= send_window.next_live for _, high in send_window.pending_ranges)


def test_new_messages_are_not_delayed_by_pending_ones_which_are_sent_at_the_catch_up_rate():
    backlog, (send_window,) = backlog_of(SendWindow(1000, 1000, 0, 0))
    backlog.open(Segment(0, "g"))
    for _ in range(20):
        backlog.append(100, 1)
    send_window.connected(0, backlog.next)
    first = []
    for now in range(0, 20_000, 10):
        while (index := send_window.next_index(now, backlog.next)) is not None and index >= 0:
            send_window.record_sent(index, 100, 1, 1)
            first.append((now, index))
        if now == 5000:
            new = backlog.append(100, 1)
            assert send_window.next_index(now, backlog.next) == new
    assert [index for _, index in first if index != 20] == list(range(20))  # the older messages are in order
    assert dict(map(reversed, first))[20] <= 5010
    took = max(at for at, index in first if index < 20)
    assert 15_000 < took < 20_000  # 2,000 octets at 1,000 a second, less the burst
    assert not send_window.pending_ranges and send_window.messages == 21 and not send_window.repeated


def test_two_send_windows_advance_independently_and_the_slower_one_keeps_the_backlog():
    backlog, (fast, slow) = backlog_of(SendWindow(100, 1 << 20, 0, 0), SendWindow(100, 1 << 20, 0, 0))
    for n in range(40):
        if backlog.needs_segment("g"):
            backlog.open(Segment(n, "g"))
        backlog.append(100, 1)
    fast.connected(0, 0)
    for _ in range(40):
        fast.record_sent(fast.next_index(0, backlog.next), 100, 1, 1)
    assert fast.lowest_needed_index() == 39 and slow.lowest_needed_index() == 0
    assert not backlog.remove_below(min(fast.lowest_needed_index(), slow.lowest_needed_index()))
    assert slow.discard(0, 40) == list(range(40)) and fast.discard(0, 39) == []
    assert (
        backlog.remove_below(min(fast.lowest_needed_index(), slow.lowest_needed_index()))
        and backlog.next == 40
    )


def test_the_primary_is_dialled_first_then_a_standby_and_the_primary_again_after_a_time():
    selector = AddressSelector(2, 1000, Random(1))
    assert selector.choose(0) == (0, 0)
    selector.failed(0, 0)
    assert selector.choose(1) == (1, 0)
    selector.connected(1, 1)
    assert not selector.is_return_due(900) and not selector.is_return_due(selector.retry_at[0] - 1)
    later = max(selector.retry_at[0], 1001)
    assert selector.is_return_due(later)
    selector.postpone_return(later)
    assert not selector.is_return_due(later + 1)
    selector.failed(1, later)
    for _ in range(12):
        selector.failed(0, later)
    at, wait = selector.choose(later)
    assert at == -1 and 0 < wait <= 100_000
    assert selector.choose(later + wait)[0] >= 0


# The spool

SECONDS = 1_700_000_000


def write_spool(directory, messages=6, segment_every=100, sequence=0):
    """Writes a spool of `messages` messages of two records each; returns the messages."""
    opened = spool.Spool(directory)
    generation, found = written(
        [record(n, octets=(n, 1)) for n in range(2 * messages)],
        max_size=420,
        checksums=True,
        sequence=sequence,
    )
    templates, segment = spool.Generation(generation.sets, 9), None
    for n, (data, _, _) in enumerate(found):
        if n % segment_every == 0:
            at = ipfix.HEADER.unpack_from(data)[3]
            segment = opened.begin(n, templates, at, SECONDS)
        opened.write(segment, data)
        segment.add(len(data), 1)
    opened.close()
    return [data for data, _, _ in found]


def read_back(directory):
    opened = spool.Spool(directory)
    try:
        segments, following, sequence, faults = opened.recover()
        found = [
            opened.read(segment, n)
            for segment in segments
            for n in range(segment.first, segment.next)
            if segment.counts[n - segment.first] != CORRUPT
        ]
        return found, following, sequence, faults
    finally:
        opened.close()


def test_a_small_spool_truncated_at_every_byte_keeps_each_complete_message(tmp_path):
    origin = str(tmp_path / "origin")
    messages = write_spool(origin, 4)
    (name,) = (name for name in os.listdir(origin) if name.endswith(".ipfix"))
    complete = open(os.path.join(origin, name), "rb").read()
    ends, at = [], len(complete) - sum(map(len, messages))
    head = at
    for data in messages:
        at += len(data)
        ends.append(at)
    for cut in range(len(complete) + 1):
        directory = str(tmp_path / "cut")
        shutil.rmtree(directory, ignore_errors=True)
        os.makedirs(directory)
        with open(os.path.join(directory, name), "wb") as file:
            file.write(complete[:cut])
        found, following, sequence, faults = read_back(directory)
        good = sum(end <= cut for end in ends)
        assert found == messages[:good], cut
        assert bool(faults) == (cut not in (head, *ends))
        if good:
            _, _, _, at, _ = ipfix.HEADER.unpack_from(messages[good - 1])
            count = spool.records_in(complete[:head], messages[good - 1])[0]
            assert following == good and sequence == at + count
        # The incomplete tail was truncated from the file, so a second start finds no fault.
        assert read_back(directory)[0] == found and not read_back(directory)[3]


def test_a_large_spool_truncated_or_corrupted_at_random_bytes_loses_only_the_affected_messages(tmp_path):
    chance = Random(5)
    origin = str(tmp_path / "origin")
    messages = write_spool(origin, 300, segment_every=20)
    names = sorted(name for name in os.listdir(origin) if name.endswith(".ipfix"))
    assert read_back(origin)[0] == messages and len(names) > 5
    for _ in range(40):
        directory = str(tmp_path / "hit")
        shutil.rmtree(directory, ignore_errors=True)
        shutil.copytree(origin, directory)
        path = os.path.join(directory, chance.choice(names))
        with open(path, "r+b") as file:
            size = os.path.getsize(path)
            if chance.random() < 0.5:
                file.truncate(chance.randrange(size))
            else:
                file.seek(chance.randrange(size))
                byte = file.read(1)
                file.seek(-1, 1)
                file.write(bytes([byte[0] ^ (1 << chance.randrange(8))]))
        found, _, _, faults = read_back(directory)
        assert faults and set(found) <= set(messages)
        assert found == [data for data in messages if data in set(found)]  # the order is kept
        assert len(found) >= len(messages) - 21  # at most the messages of one file
        assert collected(ipfix.Reader(PEN).feed, [SETS] + found).malformed == 0


SETS = ipfix.message(9, 0, 0, ipfix.Generation(PEN).sets)


def test_a_corrupt_message_in_the_middle_is_skipped_and_the_indices_stay(tmp_path):
    messages = write_spool(str(tmp_path), 6)
    (name,) = (name for name in os.listdir(tmp_path) if name.endswith(".ipfix"))
    data = bytearray((tmp_path / name).read_bytes())
    data[data.find(messages[2]) + len(messages[2]) - 3] ^= 0x40
    (tmp_path / name).write_bytes(data)
    found, following, _, faults = read_back(str(tmp_path))
    assert found == messages[:2] + messages[3:] and following == len(messages)
    assert faults == [(name, "spoilt", 1, 0)]


def test_a_file_with_corrupt_templates_is_renamed_and_not_misread(tmp_path):
    write_spool(str(tmp_path), 3)
    (name,) = (name for name in os.listdir(tmp_path) if name.endswith(".ipfix"))
    data = bytearray((tmp_path / name).read_bytes())
    data[30] ^= 1
    (tmp_path / name).write_bytes(data)
    found, following, _, faults = read_back(str(tmp_path))
    assert not found and following == 0 and "templates" in faults[0][1]
    assert (tmp_path / (name + ".unreadable")).exists()


def test_a_spool_is_locked_by_one_process_and_a_corrupt_cursor_is_ignored(tmp_path):
    opened = spool.Spool(str(tmp_path))
    with pytest.raises(spool.SpoolError, match="another process"):
        spool.Spool(str(tmp_path))
    opened.save_cursor("a", 77)
    assert opened.cursor("a") == 77 and opened.cursor("b") is None
    complete = (tmp_path / "a.cursor").read_bytes()
    for cut in range(len(complete)):
        (tmp_path / "a.cursor").write_bytes(complete[:cut])
        assert opened.cursor("a") is None
    for n in range(len(complete)):
        (tmp_path / "a.cursor").write_bytes(complete[:n] + bytes([complete[n] ^ 1]) + complete[n + 1 :])
        assert opened.cursor("a") is None
    opened.close()
    with pytest.raises(spool.SpoolError, match="cannot be used"):
        spool.Spool("/proc/nowhere")


def test_a_failed_write_leaves_no_partial_message(tmp_path, monkeypatch):
    opened = spool.Spool(str(tmp_path))
    generation, found = written([record(n) for n in range(9)], max_size=420, checksums=True)
    segment = opened.begin(0, spool.Generation(generation.sets, 9), 0, SECONDS)
    opened.write(segment, found[0][0])
    segment.add(len(found[0][0]), 1)

    def half(file, data):
        os.write(file, data[:50])
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(spool, "write", half)
        with pytest.raises(OSError):
            opened.write(segment, found[1][0])
    opened.write(segment, found[1][0])
    opened.close()
    assert read_back(str(tmp_path))[0] == [found[0][0], found[1][0]]


# The first 16 digits of the SHA-256 of each message in the spool that c5b2902 wrote, in order.
STORED_MESSAGES = ["bcfcad723b39d5a0", "7a450014ed414f53", "cc1427226af11538", "ee37c509d9ebe2a1"]


def test_a_spool_and_cursor_of_the_previous_version_are_read(tmp_path):
    shutil.copytree(os.path.join(os.path.dirname(__file__), "data/flow-spool-c5b2902"), tmp_path / "spool")
    messages, following, sequence, faults = read_back(str(tmp_path / "spool"))
    assert [sha256(message).hexdigest()[:16] for message in messages] == STORED_MESSAGES
    assert (following, sequence, faults) == (4, 16, [])
    found = collected(ipfix.Reader(PEN).feed, [SETS] + messages)
    assert (found.records, found.malformed) == (12, 0)
    stored = spool.Spool(str(tmp_path / "spool"))
    assert stored.cursor("a") == 2
    stored.close()
