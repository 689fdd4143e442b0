"""Files and datagrams written by commit c5b2902, read by today's code."""

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

WRITTEN = Path(__file__).parent.parent / "data" / "cluster-state-c5b2902"


@pytest.fixture
def utc(monkeypatch):
    monkeypatch.setenv("TZ", "UTC")
    time.tzset()
    yield
    monkeypatch.undo()
    time.tzset()


@pytest.mark.parametrize("command", ["status", "members", "events"])
def test_the_status_file_is_shown_as_it_was(command, utc, capsys):
    assert main(["peers", command, f"--state={WRITTEN}"]) == 0
    lines = capsys.readouterr().out.splitlines(keepends=True)
    if command == "status":  # a first line says that the file is old
        assert "s old: the dispatcher has stalled or ended" in lines.pop(0)
    assert "".join(lines) == (WRITTEN / f"{command}.txt").read_text()


def test_the_command_leaves_the_same_order_and_takes_the_answer(tmp_path, monkeypatch, capsys):
    shutil.copy(WRITTEN / "status.json", tmp_path)
    shutil.copy(WRITTEN / "answer.json", tmp_path)
    monkeypatch.setattr(uuid, "uuid4", lambda: uuid.UUID("3233860e8a784c2bb52ab7c00cb5e59a"))
    assert main(["peers", "forget", "n2", f"--state={tmp_path}"]) == 0
    assert capsys.readouterr().out == "1 lives of n2 are taken for left\n"
    assert (tmp_path / "order.json").read_bytes() == (WRITTEN / "order.json").read_bytes()


def test_a_dispatcher_takes_an_order_and_answers_it(tmp_path):
    lines = []
    log = type("Log", (), {"line": lambda self, event, **fields: lines.append((event, fields))})()
    document = f'peers {{ listen "127.0.0.1:47100"; key-file "{WRITTEN}/peers.key"; state "{tmp_path}" }}'
    dispatcher = ClusterService(parts.read_text(document)["peers"], "n0", 3, 1, log, Counters())
    shutil.copy(WRITTEN / "order.json", tmp_path)
    dispatcher.take_order()
    assert lines == [("peers-order", {"what": "forget", "name": "n2", "done": False})]
    assert (tmp_path / "answer.json").read_bytes() == (
        b'{"id":"3233860e8a784c2bb52ab7c00cb5e59a","done":false,"said":"no failed member named n2 is known"}'
    )
    assert os.listdir(tmp_path) == ["answer.json"]


def test_the_key_file_is_read():
    assert wire.read_keys(WRITTEN / "peers.key") == [
        b"a key of sixteen octets or more",
        b"the key before it, of old",
    ]


def test_a_datagram_is_read_and_written_again_byte_for_byte():
    written = (WRITTEN / "datagram.bin").read_bytes()
    codec = wire.Codec("wickvane", [b"a key of sixteen octets or more"])
    message = codec.open(written)
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
    assert codec.seal(message) == written
