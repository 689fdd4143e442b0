"""Membership from files as they lie on disk: half written, swapped, gone, hostile; its journal cut anywhere;
the dispatcher and the control service that follow it."""

import json
import os
import shutil
import subprocess
import sys
import tempfile
import threading
import time
from random import Random

import pytest
from bench_free import (
    SETTINGS,
    STANDING,
    Client,
    Engine,
    Events,
    event,
    found,
    free_port,
    rows,
    sqlstate,
    statement,
    until,
)
from test_flow_export import Lines
from test_members import FACTS, Members, fleet, kdl, member
from test_rehearsal import ROOT

from wickvane import parts
from wickvane.endpoints import document, journal, watch
from wickvane.endpoints.membership import Membership, Terms
from wickvane.endpoints.source import Source
from wickvane.errors import ConfigError
from wickvane.events import EngineState
from wickvane.net.clock import Clock
from wickvane.net.counters import Counters
from wickvane.net.service import Service
from wickvane.xds.catalog import Catalog
from wickvane.xds.command import fetch_client_status
from wickvane.xds.endpoint_snapshot import DEFAULT_REMOVAL_LIMIT, EndpointSnapshot, apply_event


class Following:
    """A Source on a file or folder, and what it told."""

    def __init__(self, path, state=None, more="", facts=FACTS, **given):
        word = "directory" if os.path.isdir(path) else "file"
        text = f'members {{ {word} "{path}"; still "30ms"; poll "100ms"\n{more}'
        text += f'\nstate "{state}" }}' if state else "\n}"
        self.part = parts.read_text(text)["members"]
        self.log, self.counters, self.told, self.numbers = Lines(), Counters(), {}, []
        self.source = Source(self.part, facts, self.tell, Clock(), self.log, self.counters, **given)
        self.source.start()

    def tell(self, number, whole, entries, back):
        assert not self.numbers or number > self.numbers[-1]
        self.numbers.append(number)
        if whole:
            self.told.clear()
        for name, _, state, *_ in entries:
            if state == EngineState.GONE:
                self.told.pop(name, None)
            else:
                self.told[name] = state

    def ready(self):
        return {name for name, state in list(self.told.items()) if state == EngineState.READY}

    def unfit(self, code):
        return self.counters.shown().get(f"members-unfit-{code}", 0)

    def stop(self):
        self.source.stop()


def swap(path, engines, generation=None, sealed=True):
    """As a deploy tool should: written beside its place, renamed."""
    data = kdl(engines, generation).encode()
    with open(f"{path}.new", "wb") as file:
        file.write(document.seal(data) if sealed else data)
    os.replace(f"{path}.new", path)


def names(count):
    return {f"e{n}" for n in range(count)}


@pytest.fixture
def path(tmp_path):
    return str(tmp_path / "members.kdl")


@pytest.mark.parametrize("watched", ["events", "poll"])
def test_swaps_by_rename_act_and_what_is_unfit_changes_nothing(path, watched):
    swap(path, fleet(4))
    following = Following(path, more=f'watch "{watched}"')
    assert following.ready() == names(4)
    began = time.monotonic()
    swap(path, fleet(5))
    until(lambda: following.ready() == names(5))
    assert time.monotonic() - began < 10
    whole = open(path, "rb").read()
    for data, code in (
        (whole[:-30], "length-wrong"),
        (b"members {", "no-document"),
        (b"\xff", "not-utf8"),
        (whole.replace(b"e1", b"e7"), "checksum-wrong"),
        (b"x" * (17 << 20), "too-long"),
    ):
        with open(f"{path}.new", "wb") as file:
            file.write(data)
        os.replace(f"{path}.new", path)
        until(lambda code=code: following.unfit(code))
        assert following.ready() == names(5)
    swap(path, fleet(6))
    until(lambda: following.ready() == names(6))
    following.stop()


def test_a_file_written_in_pieces_with_pauses_is_never_taken_in_part(path):
    swap(path, fleet(4), sealed=False)
    following = Following(path)
    data = kdl(fleet(6)).encode()
    with open(path, "wb", buffering=0) as file:
        for at in range(0, len(data), 60):
            file.write(data[at : at + 60])
            time.sleep(0.05)
            assert following.ready() in (names(4), names(6))
    until(lambda: following.ready() == names(6))
    following.stop()


def test_deleted_unreadable_folders_and_pipes_leave_the_list_at_work(path):
    swap(path, fleet(4))
    following = Following(path)
    os.unlink(path)
    until(lambda: following.unfit("missing"))
    os.mkdir(path)
    until(lambda: following.unfit("not-a-file"))
    os.rmdir(path)
    os.mkfifo(path)
    until(lambda: following.unfit("not-a-file") >= 2)
    os.unlink(path)
    os.symlink(path, path)
    until(lambda: following.unfit("unreadable"))
    assert following.ready() == names(4)
    os.unlink(path)
    swap(path, fleet(5))
    until(lambda: following.ready() == names(5))
    following.stop()


def test_a_folder_swapped_by_a_link_as_config_maps_are(tmp_path):
    for n, count in ((1, 4), (2, 6)):
        (tmp_path / f"v{n}").mkdir()
        (tmp_path / f"v{n}" / "m.kdl").write_text(kdl(fleet(count)))
    os.symlink("v1", tmp_path / "data")
    os.symlink("data/m.kdl", tmp_path / "m.kdl")
    following = Following(str(tmp_path / "m.kdl"))
    assert following.ready() == names(4)
    os.symlink("v2", tmp_path / "fresh")
    os.replace(tmp_path / "fresh", tmp_path / "data")
    until(lambda: following.ready() == names(6))
    following.stop()


def test_parts_are_merged_and_two_that_name_one_engine_are_both_left(tmp_path):
    folder = tmp_path / "members.d"
    folder.mkdir()
    (folder / "a.kdl").write_text(kdl(fleet(3)))
    rest = {
        "engines": [
            {"name": e.name, "address": f"10.0.0.1:{e.address[1]}", "type": "old"} for e in fleet(6)[3:]
        ]
    }
    (folder / "b.json").write_text(json.dumps(rest))
    (folder / "notes.txt").write_text("x")
    (folder / ".c.kdl.swp").write_text("x")
    following = Following(str(folder))
    assert following.ready() == names(6)
    assert following.log.of("members-part-ignored") == [{"file": "notes.txt"}]
    (folder / "c.kdl").write_text(kdl([member(2)]))
    until(lambda: following.log.of("members-refused"))
    said = following.log.of("members-refused")[-1]
    assert said["codes"] == ("name-twice",) and "a.kdl and c.kdl" in said["why"][0]
    assert following.ready() == names(6)
    (folder / "c.kdl").write_text(kdl([member(7, address=1001)]))
    until(lambda: following.log.of("members-refused")[-1]["codes"] == ("address-twice",))
    os.unlink(folder / "c.kdl")
    (folder / "a.kdl").write_text(kdl(fleet(2)))
    until(lambda: following.told.get("e2") == EngineState.DRAINING and following.ready() == names(6) - {"e2"})
    os.unlink(folder / "a.kdl")
    until(lambda: following.log.of("members-refused")[-1]["codes"] or True)
    following.stop()


def test_ten_swaps_in_a_second_end_at_the_last_and_numbers_never_go_back(path):
    swap(path, fleet(4), 1)
    following = Following(path)
    for n in range(2, 12):
        swap(path, fleet(4 + n % 3), n)
        time.sleep(0.1)
    until(lambda: following.source.status()["generation"] == 11 and following.ready() == names(4 + 11 % 3))
    swap(path, fleet(8), 5)
    until(lambda: following.log.of("members-refused"))
    assert following.log.of("members-refused")[-1]["codes"] == ("generation-back",)
    swap(path, fleet(8), 11)
    until(lambda: following.log.of("members-refused")[-1]["codes"] == ("generation-same",))
    assert following.ready() == names(4 + 11 % 3)
    following.stop()


def test_a_file_that_is_never_still_is_told_of_and_ends_nothing(path, monkeypatch):
    monkeypatch.setattr(watch, "PATIENCE", 3000)
    swap(path, fleet(4), sealed=False)
    following, ended = Following(path, more='step "50ms"'), threading.Event()

    def scribble():
        with open(path, "ab", buffering=0) as file:
            while not ended.is_set():
                file.write(b"// more\n")
                time.sleep(0.005)

    writer = threading.Thread(target=scribble)
    writer.start()
    until(lambda: following.unfit("never-still"))
    ended.set()
    writer.join()
    assert following.ready() == names(4)
    swap(path, fleet(5))
    until(lambda: following.ready() == names(5))
    following.stop()


# The journal


def journaled(count=12):
    """The octets of a journal of some generations, and the state after each record."""
    members = Members(share_past="steps", share=0.3, step=10_000)
    for n in range(count):
        members.offer(fleet(4 + n * 5 % 9))
        members.after(15_000)
    made = Membership(members.facts, members.terms)
    data, mark, states, sizes = journal.MAGIC, b"", [(made.generation, made.shown)], [len(journal.MAGIC)]
    for record in members.journal:
        octets, mark = journal.record_of(mark, record)
        data += octets
        made.apply(record)
        states.append((made.generation, made.shown))
        sizes.append(len(data))
    return data, states, sizes


def test_a_journal_cut_at_every_byte_is_what_was_whole_before_the_cut():
    data, states, sizes = journaled()
    for size in range(len(data) + 1):
        found, whole, _ = journal.records(data[:size])
        count = max((n for n, end in enumerate(sizes) if end <= size), default=0)
        assert len(found) == count and whole <= size
    for at in Random(1).sample(range(len(journal.MAGIC), len(data)), 300):
        spoilt = data[:at] + bytes((data[at] ^ 1,)) + data[at + 1 :]
        found, _, _ = journal.records(spoilt)
        assert len(found) == max(n for n, end in enumerate(sizes) if end <= at)
    # A record in another's place is none there.
    first, second = data[sizes[0] : sizes[1]], data[sizes[1] : sizes[2]]
    assert journal.records(journal.MAGIC + second + first)[0] == []
    with pytest.raises(journal.Unreadable):
        journal.records(b"something else")


class Ends(Exception):
    """The process is killed here."""


class Killing(journal.Disk):
    """Ends the process at the n-th step, a write midway."""

    def __init__(self, at):
        self.left = at

    def step(self):
        self.left -= 1
        if self.left < 0:
            raise Ends

    def write(self, descriptor, data, at):
        self.left -= 1
        if self.left < 0:
            super().write(descriptor, data[: len(data) // 2], at)
            raise Ends
        super().write(descriptor, data, at)


for name in ("append", "cut", "force", "replace", "force_folder"):

    def stepped(self, *words, name=name):
        self.step()
        return getattr(journal.Disk, name)(self, *words)

    setattr(Killing, name, stepped)


def test_killed_at_each_step_of_journal_and_application_it_goes_on_from_what_it_told(tmp_path):
    """What was told is never newer than what a restart knows, and what it knows was whole."""
    ends = 0
    while True:
        folder = str(tmp_path / f"s{ends}")
        os.mkdir(folder)
        made, told, kept = Membership(FACTS, Terms()), [], journal.Journal(folder, Killing(ends), 1500)
        done = False
        try:
            kept.read()
            for n in range(6):
                made.candidate(1_000_000 + n, document_of(n), None)
                effects = made.effects()
                for kind, *rest in effects:
                    if kind == "journal":
                        kept.keep(rest[0])
                    elif kind == "tell":
                        told.append(made.generation)
                if kept.full():
                    kept.compact(made.whole(1_000_000 + n))
            done = True
        except Ends:
            pass
        os.close(kept.lock)
        again, after = Membership(FACTS, Terms()), journal.Journal(folder)
        for record in after.read():
            again.apply(record)
        assert again.generation >= (told[-1] if told else 0)
        assert again.generation in (made.generation, made.generation - 1, 0)
        if again.generation:
            assert again.target.members == document_of(again.generation - 1).members
        after.keep({"what": "stopped"})  # it can be gone on with
        assert len(journal.read(folder)[0]) and after.size
        after.close()
        if done:
            assert ends > 20
            return
        ends += 1


def document_of(n):
    from wickvane.endpoints import roster as ro

    return ro.whole(0, fleet(6 + n % 3))


def test_a_restart_starts_from_the_last_good_generation_without_the_file_and_keeps_drains(tmp_path, path):
    state = str(tmp_path / "state")
    swap(path, fleet(4), 1)
    following = Following(path, state)
    swap(path, [*fleet(3), member(3, weight=0.0)], 2)
    until(lambda: following.told.get("e3") == EngineState.DRAINING)
    with pytest.raises(ConfigError, match="another process"):
        Following(path, state)
    following.stop()
    for spoil in (lambda: os.unlink(path), lambda: swap(path, fleet(4), 1)):
        spoil()
        again = Following(path, state)
        assert again.told == {
            "e0": EngineState.READY,
            "e1": EngineState.READY,
            "e2": EngineState.READY,
            "e3": EngineState.DRAINING,
        }
        said = again.log.of("members-from-journal")[-1]
        assert said["generation"] == 2 and again.source.status()["old"]
        until(lambda again=again: again.log.of("members-refused"))
        assert again.told["e3"] == EngineState.DRAINING
        again.stop()
    swap(path, fleet(4), 3)
    last = Following(path, state)
    until(lambda: last.ready() == names(4))
    assert not last.source.status()["old"]
    last.stop()


def test_a_journal_that_cannot_be_written_stops_no_drain_and_is_made_up_for(tmp_path, path):
    state = str(tmp_path / "state")
    swap(path, fleet(4))
    following = Following(path, state)
    disk = following.source.journal.disk

    class Full(journal.Disk):
        def write(self, descriptor, data, at):
            raise OSError(28, "No space left on device")

    following.source.journal.disk = Full()
    swap(path, fleet(3))
    until(lambda: following.told.get("e3") == EngineState.DRAINING)
    assert following.log.of("members-journal-failed")
    following.source.journal.disk = disk
    swap(path, fleet(5))
    until(lambda: following.ready() == names(5))
    following.stop()
    again = Following(path, state)
    assert again.ready() == names(5) and not again.log.of("members-refused")
    again.stop()


def test_an_unreadable_journal_is_set_apart(tmp_path, path):
    state = tmp_path / "state"
    state.mkdir()
    (state / journal.NAME).write_bytes(b"not a journal at all")
    swap(path, fleet(4))
    following = Following(path, str(state))
    assert following.ready() == names(4) and following.log.of("members-journal-unreadable")
    assert [name for name in os.listdir(state) if "unreadable" in name]
    following.stop()


# Orders and tools


def wickvane(*words):
    made = subprocess.run(
        [sys.executable, "-m", "wickvane", "members", *words], cwd=ROOT, capture_output=True, timeout=60
    )
    return made.returncode, made.stdout.decode(), made.stderr.decode()


def test_operators_confirm_look_compare_and_turn_back(tmp_path, path):
    state, other = str(tmp_path / "state"), str(tmp_path / "other")
    swap(path, fleet(20))
    following = Following(path, state)
    copy = str(tmp_path / "copy.kdl")
    shutil.copy(path, copy)
    behind = Following(copy, other)
    assert wickvane("agree", state, other)[0] == 0
    swap(path, fleet(4))
    until(lambda: following.log.of("members-held"))
    code, out, _ = wickvane("show", "--state", state)
    assert code == 0 and "held: generation 2 (share-removed)" in out and "20 ready of 20" in out
    code, out, _ = wickvane("check", "--state", state, path)
    assert code == 0 and "held as generation 2" in out
    assert wickvane("confirm", "--state", state, "9")[:2] == (1, "nothing waits for it\n")
    assert wickvane("confirm", "--state", state, "2")[:2] == (0, "done\n")
    until(lambda: following.ready() == names(4))
    code, out, _ = wickvane("agree", state, other)
    assert code == 1 and f"{other}: behind, generation 1" in out
    code, out, _ = wickvane("diff", "--state", state, "1", "2")
    assert code == 0 and out.count("-  e") == 16
    code, out, _ = wickvane("log", "--state", state)
    assert code == 0 and "taken 1" in out and "held 2" in out and "share-removed" in out
    assert wickvane("rollback", "--state", state, "1")[:2] == (0, "done\n")
    until(lambda: following.ready() == names(20))
    assert "of 1" in wickvane("log", "--state", state)[1]
    (tmp_path / "bad.kdl").write_text("members { engine }")
    code, out, _ = wickvane("check", "--state", state, str(tmp_path / "bad.kdl"))
    assert code == 1 and "it would be refused" in out
    assert wickvane("show", "--state", state, "77")[0] == 2
    (tmp_path / "state" / "orders" / "x.order").write_text("{")
    until(lambda: os.path.exists(tmp_path / "state" / "orders" / "x.answer"))
    following.stop()
    behind.stop()
    code, _, said = wickvane("stop", "--state", str(tmp_path))
    assert code == 2 and said


# The dispatcher


class Serving:
    """The real program's threads, its list from a file."""

    def __init__(self, path, more="", coordinator=None, known=None, engines=()):
        self.found = found(list(engines), coordinator or Events())
        if coordinator is None:
            del self.found["coordinator"]
        if known is not None:
            self.found["known"] = known
        document_ = parts.read_text(f'members {{ file "{path}"; still "20ms"; poll "100ms"\n{more} }}')
        self.log = tempfile.TemporaryFile()
        STANDING.append(self.log)
        self.service = Service(self.found, self.log.fileno(), document_)
        self.service.start()


def write(path, engines, weights=(), more=""):
    weights = dict(weights)
    text = (
        "members {\n"
        + "".join(
            f'  engine "e{n}" address="{engine.address}" zone="dc" type="old" weight={weights.get(n, 1.0)}\n'
            for n, engine in engines.items()
        )
        + more
        + "}\n"
    )
    with open(f"{path}.new", "w") as file:
        file.write(text)
    os.replace(f"{path}.new", path)


def state_in(serving, name):
    return serving.service.parts[0].source.membership.shown.get(name)


def test_queries_on_engines_that_are_drained_or_taken_off_get_their_one_answer(path):
    from bench_free import hit

    holding = threading.Event()

    def slow(txn, words):
        if words[0] == b"ASK":
            holding.wait(20)
            return hit(txn)
        return b""

    engines = {n: Engine(slow) for n in range(3)}
    write(path, engines)
    serving = Serving(path, 'linger "20s"\nlimits { share-removed 1 past="note" }')
    clients = [Client(serving) for _ in range(6)]
    for n, client in enumerate(clients):
        client.send(statement(f"SELECT 1 FROM sales_{n}.t", n=n, limit=15_000))
    came = [n for n, engine in engines.items() for _ in range(engine.came.qsize())]
    until(lambda: sum(engine.came.qsize() for engine in engines.values()) == 6)
    came = [n for n, engine in engines.items() if engine.came.qsize()]
    gone, kept = came[0], next(n for n in engines if n != came[0])
    drained = next(n for n in engines if n not in (gone, kept))
    write(path, {n: e for n, e in engines.items() if n != gone}, {drained: 0})
    until(
        lambda: (
            state_in(serving, f"e{gone}") is not None
            and state_in(serving, f"e{gone}").state == EngineState.DRAINING
            and state_in(serving, f"e{drained}").state == EngineState.DRAINING
        )
    )
    before = {n: engines[n].came.qsize() for n in engines}
    time.sleep(0.2)
    more = [Client(serving) for _ in range(4)]
    for n, client in enumerate(more):
        client.send(statement(f"SELECT 1 FROM sales_{n}.t", n=100 + n, limit=15_000))
    until(lambda: engines[kept].came.qsize() >= before[kept] + 1)
    time.sleep(0.2)
    assert engines[gone].came.qsize() == before[gone] and engines[drained].came.qsize() == before[drained]
    holding.set()
    for client in clients + more:
        answer = client.until_ready()
        assert rows(answer) and sqlstate(answer) is None
    until(lambda: state_in(serving, f"e{gone}") is None)
    assert state_in(serving, f"e{drained}").state == EngineState.DRAINING
    write(path, {n: e for n, e in engines.items() if n != gone})
    until(lambda: state_in(serving, f"e{drained}").state == EngineState.READY)
    assert rows(Client(serving).ask(statement(n=900)))


def test_the_stream_and_the_file_disagree_and_the_stream_goes(path):
    engines, coordinator = {n: Engine() for n in range(3)}, Events()
    with open(path, "w") as file:
        file.write('members { engine "e0" weight=0 }')
    entries = [
        {
            "name": f"e{n}",
            "address": e.address,
            "zone": "dc",
            "type": "old",
            "group": 0,
            "status": "Ready",
            "weight": 1,
            "since_ms": 0,
        }
        for n, e in engines.items()
    ]
    serving = Serving(
        path,
        "overrides #true",
        coordinator,
        {"index": 1, "updates": [event(1, *entries, snapshot=True)]},
        engines.values(),
    )
    assert (
        state_in(serving, "e0").state == EngineState.DRAINING
        and state_in(serving, "e1").state == EngineState.READY
    )
    from bench_free import sse

    coordinator.next("connected")
    coordinator.send.put(sse(2, event(2, entries[1] | {"status": "Terminating"})))
    until(lambda: state_in(serving, "e1").state == EngineState.DRAINING)
    coordinator.send.put(None)
    with open(path, "w") as file:
        file.write('members { engine "e0" weight=1; engine "e1" weight=1 }')
    until(lambda: state_in(serving, "e0").state == EngineState.READY)
    assert state_in(serving, "e1").state == EngineState.DRAINING  # of two words the graver
    assert rows(Client(serving).ask(statement(n=1)))


def test_check_needs_no_coordinator_where_files_stand_in_its_place(path, tmp_path):
    swap(path, fleet(2))
    config = found([], Events())
    del config["coordinator"]
    (tmp_path / "config.json").write_text(json.dumps(config))
    (tmp_path / "parts.kdl").write_text(f'members {{ file "{path}" }}')
    words = ["check", f"--config={tmp_path}/config.json", f"--parts={tmp_path}/parts.kdl"]
    made = subprocess.run(
        [sys.executable, "-m", "wickvane", *words], cwd=ROOT, capture_output=True, timeout=60
    )
    assert made.returncode == 0, made.stderr
    made = subprocess.run(
        [sys.executable, "-m", "wickvane", *words[:2]],
        cwd=ROOT,
        capture_output=True,
        timeout=60,
        env={k: v for k, v in os.environ.items() if k != "WICKVANE_PARTS"},
    )
    assert made.returncode == 2 and b"coordinator" in made.stderr


def test_no_query_is_lost_over_random_valid_and_invalid_swaps(path):
    chance = Random(4)
    engines = {n: Engine() for n in range(5)}
    write(path, engines)
    serving = Serving(path, 'linger "5s"\nlimits { share-removed 1 past="note" }')
    ended, answers = threading.Event(), []

    def asks(k):
        client, n = Client(serving), 0
        while not ended.is_set():
            n += 1
            text = statement(f"SELECT 1 FROM sales_{n % 7}.t", n=k * 100_000 + n)
            answers.append(sqlstate(client.ask(text)))

    threads = [threading.Thread(target=asks, args=(k,)) for k in range(1, 5)]
    for thread in threads:
        thread.start()
    for n in range(40):
        if n % 4 == 3:
            with open(path, "w") as file:
                file.write(chance.choice(["members {", "", "members { engine }", "members {}"]))
        else:
            some = dict(chance.sample(sorted(engines.items()), chance.randrange(2, 6)))
            write(path, some, {min(some): chance.choice([0, 1.0])} if len(some) > 2 else ())
        time.sleep(0.05)
    ended.set()
    for thread in threads:
        thread.join(30)
    assert len(answers) > 100 and not [answer for answer in answers if answer is not None]


# The control service


def test_back_lets_a_name_that_was_drained_by_hand_return_and_nothing_else_does():
    row = ("e1", ("127.0.0.1", 1), EngineState.READY, "dc", "old", 0, 0, 1.0)
    fleet_, _ = apply_event(EndpointSnapshot(), 0, 1, True, [row], DEFAULT_REMOVAL_LIMIT)
    fleet_, _ = apply_event(
        fleet_, 1, 2, False, [(*row[:2], EngineState.DRAINING, *row[3:])], DEFAULT_REMOVAL_LIMIT
    )
    still, notes = apply_event(fleet_, 2, 3, False, [row], DEFAULT_REMOVAL_LIMIT)
    assert still.endpoints["e1"].state == EngineState.DRAINING and notes
    again, notes = apply_event(fleet_, 2, 3, False, [row], DEFAULT_REMOVAL_LIMIT, {"e1"})
    assert again.endpoints["e1"].state == EngineState.READY and not notes


def test_of_two_sources_an_instance_is_behind_by_either():
    catalog = Catalog()
    catalog.index, catalog.has_two_sources = 5 << 29 | 100, True
    assert catalog.is_behind(6 << 29 | 90) and catalog.is_behind(4 << 29 | 101)
    assert not catalog.is_behind(5 << 29 | 100) and not catalog.is_behind(4 << 29 | 99)
    assert catalog.merged_index(6 << 29 | 90, 4 << 29 | 101) == 6 << 29 | 101
    catalog.has_two_sources = False
    assert not catalog.is_behind(4 << 29 | 101)


def test_proxies_follow_a_file(path):
    import asyncio

    from standins.xds_proxy import Proxy
    from xds_service.service_rig import ProxyLoop

    from wickvane.xds.server import Server

    text = (
        "members {\n"
        + "".join(f'engine "e{n}" address="127.0.0.1:{20_000 + n}" zone="dc" type="old"\n' for n in range(4))
        + "}"
    )
    with open(path, "w") as file:
        file.write(text)
    port = free_port()
    document_ = parts.read_text(
        f'control {{ listen "127.0.0.1:{port}"; tables 3; proxies 2 }}\n'
        f'members {{ file "{path}"; still "20ms"; poll "100ms" }}'
    )
    log = tempfile.TemporaryFile()
    STANDING.append(log)
    server = Server(
        {"name": "c", "listen": "127.0.0.1:1", "seed": "1", "settings": SETTINGS},
        document_["control"],
        log.fileno(),
        document_["members"],
    )
    threading.Thread(target=server.log.run, daemon=True).start()
    thread = threading.Thread(target=lambda: asyncio.run(server.serve()), daemon=True)
    thread.start()
    assert server.ready.wait(30)
    loop = ProxyLoop()
    proxy = loop.start(Proxy("p"), port)
    until(lambda: proxy.sends_to() == {"e0", "e1", "e2", "e3"})
    with open(path, "w") as file:
        file.write(text.replace('type="old"', 'type="old" weight=0', 1))
    until(lambda: proxy.sends_to() == {"e1", "e2", "e3"})
    with open(path, "w") as file:
        file.write(text)
    until(lambda: proxy.sends_to() == {"e0", "e1", "e2", "e3"})
    (row,) = {(r["generation"], r["digest"]) for r in fetch_client_status(f"127.0.0.1:{port}")}
    assert row == (3, server.members.membership.target.digest)
    loop.stop(proxy)
    server.stop()
    thread.join(10)


class Program:
    """`wickvane serve` as it is, with what it logs."""

    def __init__(self, folder):
        words = ["serve", f"--config={folder}/config.json", f"--parts={folder}/parts.kdl"]
        self.it = subprocess.Popen(
            [sys.executable, "-m", "wickvane", *words], cwd=ROOT, stdout=subprocess.PIPE
        )
        self.lines = []
        threading.Thread(target=self.read, daemon=True).start()
        until(lambda: self.of("ready"))

    def read(self):
        for line in self.it.stdout:
            try:
                self.lines.append(json.loads(line))
            except ValueError:
                pass  # cut by the kill

    def of(self, event):
        return [line for line in list(self.lines) if line["event"] == event]


def test_sigkill_while_files_change_loses_nothing_that_had_acted(path, tmp_path):
    chance, number = Random(3), 1
    config = found([], Events())
    del config["coordinator"]
    (tmp_path / "config.json").write_text(json.dumps(config))
    (tmp_path / "parts.kdl").write_text(
        f'members {{ file "{path}"; still "10ms"; poll "50ms"; state "{tmp_path}/state" }}'
    )
    swap(path, fleet(5, zone="dc"), number)
    acted = 0
    for _ in range(3):
        program = Program(tmp_path)
        until(
            lambda program=program, number=number: any(
                line["generation"] == number for line in program.of("members-taken")
            )
        )
        by = time.monotonic() + chance.uniform(0.2, 0.6)
        while time.monotonic() < by:
            number += 1
            swap(path, fleet(5 + number % 2, zone="dc"), number)
            time.sleep(0.03)
        program.it.kill()
        program.it.wait()
        acted = max(acted, *(line["generation"] for line in program.of("members-taken")))
        os.unlink(path)
        again = Program(tmp_path)
        kept = until(lambda again=again: again.of("members-from-journal"))[0]
        assert acted <= kept["generation"] <= number and kept["engines"] in (5, 6)
        until(lambda again=again: again.of("members-refused"))
        again.it.kill()
        again.it.wait()
        number += 1
        swap(path, fleet(5 + number % 2, zone="dc"), number)
