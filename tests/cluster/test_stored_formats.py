"""Files and datagrams written by commit c5b2902 are read by the current code."""

import os
import shutil
import time
import uuid
from pathlib import Path

import pytest

from wickvane import parts
from wickvane.__main__ import main
from wickvane.cluster import wire
from wickvane.cluster.service import ClusterService
from wickvane.net.counters import Counters

RECORDED_FOLDER = Path(__file__).parent.parent / "data" / "cluster-state-c5b2902"


@pytest.fixture
def utc(monkeypatch):
    monkeypatch.setenv("TZ", "UTC")
    time.tzset()
    yield
    monkeypatch.undo()
    time.tzset()


@pytest.mark.parametrize("command", ["status", "members", "events"])
def test_a_stored_status_file_gives_the_recorded_output(command, utc, capsys):
    assert main(["peers", command, f"--state={RECORDED_FOLDER}"]) == 0
    lines = capsys.readouterr().out.splitlines(keepends=True)
    if command == "status":  # the first line warns that the file is old
        assert "s old: the dispatcher has stalled or ended" in lines.pop(0)
    assert "".join(lines) == (RECORDED_FOLDER / f"{command}.txt").read_text()


def test_the_command_writes_the_recorded_order_and_reads_the_answer(tmp_path, monkeypatch, capsys):
    shutil.copy(RECORDED_FOLDER / "status.json", tmp_path)
    shutil.copy(RECORDED_FOLDER / "answer.json", tmp_path)
    monkeypatch.setattr(uuid, "uuid4", lambda: uuid.UUID("3233860e8a784c2bb52ab7c00cb5e59a"))
    assert main(["peers", "forget", "n2", f"--state={tmp_path}"]) == 0
    assert capsys.readouterr().out == "1 lives of n2 are taken for left\n"
    assert (tmp_path / "order.json").read_bytes() == (RECORDED_FOLDER / "order.json").read_bytes()


def test_a_dispatcher_reads_a_recorded_order_and_answers_it(tmp_path):
    lines = []
    log = type("Log", (), {"line": lambda self, event, **fields: lines.append((event, fields))})()
    document = (
        f'peers {{ listen "127.0.0.1:47100"; key-file "{RECORDED_FOLDER}/peers.key"; state "{tmp_path}" }}'
    )
    dispatcher = ClusterService(parts.read_text(document)["peers"], "n0", 3, 1, log, Counters())
    shutil.copy(RECORDED_FOLDER / "order.json", tmp_path)
    dispatcher.take_order()
    assert lines == [("peers-order", {"what": "forget", "name": "n2", "done": False})]
    assert (tmp_path / "answer.json").read_bytes() == (
        b'{"id":"3233860e8a784c2bb52ab7c00cb5e59a","done":false,"said":"no failed member named n2 is known"}'
    )
    assert os.listdir(tmp_path) == ["answer.json"]


def test_the_recorded_key_file_is_read():
    assert wire.read_keys(RECORDED_FOLDER / "peers.key") == [
        b"a key of sixteen octets or more",
        b"the key before it, of old",
    ]


def test_a_recorded_datagram_is_opened_and_sealed_again_byte_for_byte():
    recorded = (RECORDED_FOLDER / "datagram.bin").read_bytes()
    codec = wire.Codec("wickvane", [b"a key of sixteen octets or more"])
    message = codec.open(recorded)
    assert tuple(message) == (
        2,
        "n0",
        1177213150698408500,
        7,
        1177213150700467389,
        5,
        0x05FE71B7BAB16BE4,
        41,
        ("n2", 1177213150701613572),
        b"sums",
        [
            ("n0", 1177213150698408500, "127.0.0.1:47100", 0, 1, ""),
            ("n2", 1177213150701613572, "127.0.0.1:47102", 3, 2, "n0"),
        ],
    )
    assert codec.seal(message) == recorded
