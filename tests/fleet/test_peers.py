"""Dispatchers that know each other, as processes of the program with faults between them."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from threading import Thread

import pytest

from fleet.rig import KEY, ROOT, SEEDS, Fleet, between, fleet
from wickvane import parts
from wickvane.cluster import service
from wickvane.net.counters import Counters
from wickvane.rehearsal.relay import udp_ports

seeds = pytest.mark.parametrize("seed", SEEDS)


def held(f, untouched, since):
    """What holds in every case: queries were served, and no rule broken."""
    f.quiet()
    for n in untouched:
        words = f.served(n, since)
        assert words and set(words) == {"finished"}, (n, words)
    breaches, counts = f.breaches()
    assert not breaches and counts[1] > 20


@seeds
def test_one_that_is_killed_is_called_failed_by_all_others_and_by_its_next_life_is_back(tmp_path, seed):
    with fleet(tmp_path, 5, seed) as f:
        victim, rest = f.pick()
        f.serve(*rest)
        since = time.time()
        f.kill(victim)
        f.until(lambda: f.equal(rest), "the killed one is still in views", 20)
        assert all(f.states(n, victim) == ["failed"] for n in rest)
        assert {who for _, _, who in f.verdicts()} == {f"n{victim}"}
        f.until(
            lambda: all(
                f.status(n)["part"] == "larger" and f.status(n)["standing"] == "degraded" for n in rest
            ),
            "the rest does not know that it is the larger part",
            10,
        )
        # Nobody may do more since one failed: what is shared is shared by five.
        assert all(f.status(n)["divisor"] == 5 for n in rest)
        f.start(victim)
        f.until(lambda: f.equal(range(5)), "the next life is not taken in", 20)
        f.until(lambda: all(f.status(n)["standing"] == "whole" for n in range(5)), "not whole again", 10)
        held(f, rest, since)


@seeds
def test_one_that_stands_still_for_two_seconds_is_never_called_failed(tmp_path, seed):
    with fleet(tmp_path, 5, seed) as f:
        victim, rest = f.pick()
        f.serve(*rest)
        since = time.time()
        for _ in range(2):
            f.stop(victim)
            time.sleep(2.0)
            f.go_on(victim)
            time.sleep(1.0 + f.chance.random())
        f.until(lambda: f.equal(range(5)), "views differ after a standstill")
        assert f.verdicts() == []
        f.until(lambda: f.logged(victim, "peers-stood-still"), "it does not know that it stood still")
        held(f, rest, since)


@seeds
def test_one_that_stands_still_for_long_is_taken_back_and_has_judged_nobody(tmp_path, seed):
    with fleet(tmp_path, 5, seed) as f:
        victim, rest = f.pick()
        f.serve(*rest)
        since = time.time()
        f.stop(victim)
        f.until(lambda: f.equal(rest), "it is still in views", 19)
        time.sleep(max(0.0, since + 20 - time.time()))
        f.go_on(victim)
        back = time.time()
        f.until(lambda: f.equal(range(5)), "it was not taken back", 15)
        assert all(who == f"n{victim}" for _, _, who in f.verdicts())
        assert not [v for v in f.verdicts() if v[1] == f"n{victim}"]
        assert not [v for v in f.verdicts(back + 0.5)]
        held(f, rest, since)


@seeds
def test_a_cut_in_two_parts_each_knows_which_it_is_and_all_agree_after_it(tmp_path, seed):
    with fleet(tmp_path, 9, seed) as f:
        f.serve(*range(9), every=0.15)
        since, order = time.time(), list(range(9))
        f.chance.shuffle(order)
        small, large = sorted(order[:4]), sorted(order[4:])
        f.relay.set(between(small, large), cut=True)
        f.until(lambda: f.equal(small) and f.equal(large), "no side agrees on who is left", 25)
        f.until(
            lambda: (
                {f.status(n)["part"] for n in small} == {"smaller"}
                and {f.status(n)["part"] for n in large} == {"larger"}
            ),
            "a side is mistaken",
            10,
        )
        assert {f.status(n)["divisor"] for n in range(9)} == {9}
        # A second cut across the first.
        f.relay.set(between(large[:2], large[2:]), cut=True)
        f.until(lambda: f.equal(large[:2]) and f.equal(large[2:]), "the second cut is not seen", 25)
        healed = time.time()
        f.relay.heal()
        f.until(lambda: f.equal(range(9)), "views differ after the healing", 15)
        # Nobody was called failed on the other side's word alone, nor was anybody of one's own side.
        assert not [v for v in f.verdicts(healed + 1.0)]
        held(f, range(9), since)


@seeds
def test_loss_one_way_between_two_costs_neither_its_standing(tmp_path, seed):
    with fleet(tmp_path, 5, seed) as f:
        a, b = f.chance.sample(range(5), 2)
        f.serve(*range(5), every=0.1)
        since = time.time()
        f.relay.set([(a, b)], cut=True)
        time.sleep(9)
        assert f.verdicts() == []
        f.until(lambda: f.equal(range(5)), "views differ")
        held(f, range(5), since)


@seeds
def test_one_that_hears_all_and_is_heard_by_none_judges_itself(tmp_path, seed):
    with fleet(tmp_path, 5, seed) as f:
        mute, rest = f.pick()
        f.serve(*range(5), every=0.1)
        since = time.time()
        f.relay.set([(mute, n) for n in rest], cut=True)
        f.until(lambda: f.equal(rest), "it is still in views", 25)
        f.until(lambda: f.status(mute)["standing"] == "alone", "it does not know", 60)
        assert "unheard" in f.status(mute)["reasons"]
        assert {who for _, _, who in f.verdicts()} == {f"n{mute}"}  # and it called nobody failed
        f.relay.heal()
        f.until(lambda: f.equal(range(5)), "it was not taken back", 20)
        held(f, range(5), since)


@seeds
def test_a_restart_at_once_under_the_same_name_is_a_new_life(tmp_path, seed):
    with fleet(tmp_path, 5, seed) as f:
        victim, rest = f.pick()
        f.serve(*rest, every=0.1)
        since, before = time.time(), f.status(victim)["epoch"]
        f.relay.kept = kept = []
        time.sleep(1.5)
        f.relay.kept = None
        f.kill(victim)
        time.sleep(0.1)
        f.start(victim)
        f.until(lambda: f.equal(range(5)) and f.status(victim)["epoch"] > before, "it is not in", 20)
        # What was said to and by the former life acts on nothing.
        for to, data in kept:
            f.relay.forward(to, data)
        f.until(lambda: any(f.status(n)["refused"].get("replayed") for n in rest), "no replay was refused")
        f.until(lambda: f.equal(range(5)), "a replay changed a view")
        assert {
            row["epoch"]
            for n in rest
            for row in f.status(n)["members"]
            if row["name"] == f"n{victim}" and row["in_view"]
        } == {f.status(victim)["epoch"]}
        held(f, rest, since)


@seeds
def test_a_fleet_that_is_killed_whole_comes_back_as_one(tmp_path, seed):
    with fleet(tmp_path, 7, seed) as f:
        f.kill(*range(7))
        for n in range(7):  # an empty state folder for some, the old one for others
            if f.chance.random() < 0.5:
                for name in os.listdir(f.state(n)):
                    os.unlink(os.path.join(f.state(n), name))
        since = time.time()
        f.start(*range(7))
        f.until(lambda: f.equal(range(7)), "views differ after all came back", 20)
        f.serve(*range(7), every=0.1)
        time.sleep(1.5)
        assert f.verdicts(since) == []
        held(f, range(7), since)


@seeds
def test_without_seeds_at_the_start_each_serves_alone_and_goes_on_asking(tmp_path, seed):
    f = Fleet(tmp_path, 5, seed, seeds=2)
    try:
        f.start(2, 3, 4)
        f.until(lambda: all(f.status(n) for n in (2, 3, 4)), "not up")
        f.serve(2, 3, 4, every=0.1)
        since = time.time()
        f.until(lambda: {f.status(n)["standing"] for n in (2, 3, 4)} == {"alone"}, "not alone")
        f.start(0, 1)
        f.until(lambda: f.equal(range(5)), "they do not find each other", 20)
        held(f, (2, 3, 4), since)
    finally:
        f.end()


@seeds
def test_a_key_is_changed_under_way_and_what_it_does_not_sign_is_refused(tmp_path, seed):
    with fleet(tmp_path, 5, seed) as f:
        f.serve(*range(5), every=0.1)
        since, fresh, taken = time.time(), b"another key, from today on", 0
        for keys in ((KEY, fresh), (fresh, KEY), (fresh,)):
            f.write_key(*keys)
            taken += 1
            f.until(lambda n=taken: all(len(f.logged(x, "peers-key-taken")) == n for x in range(5)), "not in")
            time.sleep(1.2)
        f.write_key(b"short")
        f.until(lambda: all(f.logged(n, "peers-key-unusable") for n in range(5)), "no word of a bad key")
        time.sleep(1.0)
        assert f.equal(range(5)) and f.verdicts() == []
        held(f, range(5), since)


@seeds
def test_a_flood_of_hostile_datagrams_costs_no_query_and_no_standing(tmp_path, seed):
    with fleet(tmp_path, 5, seed) as f:
        victim, chance, sent = f.chance.randrange(5), random.Random(seed), 0
        f.serve(*range(5), every=0.05)
        f.relay.kept = kept = []
        time.sleep(1.0)
        f.relay.kept = None
        kinds = [
            lambda: chance.randbytes(chance.randrange(1400)),
            lambda: b"\1" + chance.randbytes(200),
            lambda: b"",
            lambda: b"\2" * 30,
            lambda: chance.choice(kept)[1],
            lambda: bytes(chance.choice(kept)[1][:-1] + b"\0"),
        ]
        since = time.time()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            while time.time() < since + 5:
                for _ in range(50):
                    sock.sendto(chance.choice(kinds)(), f.relay.listens[victim])
                    sent += 1
                time.sleep(max(0.0, since + sent / 5000 - time.time()))
        took = time.time() - since
        assert sent / took > 3500
        time.sleep(1.5)
        refused = f.status(victim)["refused"]
        assert sum(refused.values()) > 0.5 * sent and refused["unauthenticated"] and refused["oversized"]
        assert f.equal(range(5)) and f.verdicts() == []
        held(f, range(5), since)


@seeds
def test_one_that_is_told_to_end_says_so_and_is_called_failed_by_nobody(tmp_path, seed):
    with fleet(tmp_path, 5, seed) as f:
        victim, rest = f.pick()
        f.serve(*rest, every=0.1)
        since = time.time()
        f.processes[victim].send_signal(signal.SIGTERM)
        f.until(lambda: all(f.states(n, victim) == ["left"] for n in rest), "no word of its end", 5)
        assert f.processes[victim].wait(20) == 0
        time.sleep(5)
        assert f.verdicts() == [] and f.equal(rest)
        held(f, rest, since)


@seeds
def test_two_programs_of_one_name_the_older_holds_it_and_the_other_serves_alone(tmp_path, seed):
    with fleet(tmp_path, 5, seed) as f:
        old, new = f.chance.sample(range(5), 2)
        f.serve(*range(5), every=0.1)
        since = time.time()
        f.kill(new)
        f.until(lambda: f.equal([n for n in range(5) if n != new]), "it is still there", 20)
        with open(f.path(new, "json")) as file:
            text = file.read().replace(f'"name": "n{new}"', f'"name": "n{old}"')
        with open(f.path(new, "json"), "w") as file:
            file.write(text)
        f.start(new)
        f.until(lambda: "name-taken" in (f.status(new) or {"reasons": ()})["reasons"], "not aside", 15)
        assert f.status(new)["standing"] == "alone"
        rest = [n for n in range(5) if n != new]
        assert f.equal(rest) and all(f.status(n)["divisor"] >= 5 for n in rest)
        time.sleep(1)
        assert f.served(new, time.time() - 0.8)  # it serves all the same
        f.kill(old)
        alive = [n for n in range(5) if n != old]
        f.until(
            lambda: all(
                f"n{old}" in {r["name"] for r in f.status(n)["members"] if r["in_view"]} for n in alive
            ),
            "the name did not pass on",
            20,
        )
        held(f, [n for n in rest if n != old], since)


def test_loss_doubling_disorder_and_spoilt_octets_at_once_fail_nobody(tmp_path):
    for seed in SEEDS[:1]:
        with fleet(tmp_path, 7, seed) as f:
            f.serve(*range(7), every=0.1)
            since = time.time()
            f.relay.set(f.relay.links, loss=0.1, double=0.2, spoil=0.05, jitter=0.15)
            time.sleep(12)
            assert f.verdicts() == []
            f.relay.heal()
            f.until(lambda: f.equal(range(7)), "views differ after the noise")
            assert any(f.status(n)["refused"].get("replayed") for n in range(7))
            assert any(f.status(n)["refused"].get("unauthenticated") for n in range(7))
            held(f, range(7), since)


def tool(f, n, *words):
    return subprocess.run(
        [sys.executable, "-m", "wickvane", "peers", *words, f"--parts={f.path(n, 'kdl')}"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_operators_see_members_and_events_forget_one_and_let_one_leave(tmp_path):
    with fleet(tmp_path, 5, 1) as f:
        f.serve(*range(4), every=0.1)
        since = time.time()
        said = tool(f, 0, "status")
        assert said.returncode == 0 and "n0: whole, in the larger part" in said.stdout, said
        rows = [json.loads(line) for line in tool(f, 0, "members", "--json").stdout.splitlines()]
        assert [(row["name"], row["state"]) for row in rows] == [(f"n{n}", "alive") for n in range(5)]
        assert json.loads(tool(f, 0, "status", "--json").stdout)["divisor"] == 5
        refused = tool(f, 0, "forget", "n4")
        assert refused.returncode == 1 and "no failed member named n4" in refused.stdout  # it is there
        f.kill(4)
        f.until(lambda: f.equal(range(4)), "the killed one is still in views", 20)
        assert "peers-failed name=n4" in tool(f, 1, "events").stdout
        assert tool(f, 1, "forget", "n4").returncode == 0
        f.until(lambda: all(f.states(n, 4) == ["left"] for n in range(4)), "not forgotten by all", 10)
        assert tool(f, 3, "leave").returncode == 0
        f.until(lambda: all(f.states(n, 3) == ["left"] for n in range(3)), "no word of leaving", 10)
        time.sleep(1)
        assert f.served(3, time.time() - 0.8)  # and it serves alone
        # Another seed is taken in at SIGHUP; what cannot change is refused, and the old one stays.
        for find, put, event in (
            ("seed", 'seeds-file "/nowhere"; seed', "configuration-taken"),
            ("listen ", 'period "2s"; listen ', "configuration-unusable"),
        ):
            with open(f.path(0, "kdl")) as file:
                text = file.read().replace(find, put, 1)
            with open(f.path(0, "kdl"), "w") as file:
                file.write(text)
            f.processes[0].send_signal(signal.SIGHUP)
            f.until(lambda event=event: f.logged(0, event), f"no {event}")
        why = f.logged(0, "configuration-unusable")[0]["why"]
        assert "peers: period: another value needs a restart" in why
        f.processes[0].send_signal(signal.SIGUSR1)
        f.until(lambda: f.logged(0, "counters"), "no counters")
        assert f.logged(0, "counters")[0]["peers"]["members"] == 3
        held(f, range(4), since)
    assert tool(f, 4, "status").returncode == 0  # old, and said so
    assert "s old" in tool(f, 4, "status").stdout
    gone = tool(f, 4, "leave")
    assert gone.returncode == 1 and "no answer" in gone.stderr
    assert (
        subprocess.run(
            [sys.executable, "-m", "wickvane", "peers", "status", "--state=/nowhere"],
            cwd=ROOT,
            capture_output=True,
        ).returncode
        == 1
    )


@pytest.mark.parametrize(
    "text, words",
    [
        ("peers", "peers: expected a node listen"),
        ('peers { listen "127.0.0.1:1" }', "a node key-file"),
        ('peers { listen "0.0.0.0:1"; key-file "/x" }', "an address that the others can send to"),
        ('peers { listen "127.0.0.1:1"; key-file "/x"; seed "host:1" }', "an IP address and port"),
        ('peers { listen "127.0.0.1:1"; key-file "/x"; members 1 }', "from 2 to 16384"),
        ('peers { listen "127.0.0.1:1"; key-file "/x"; gossip 1 }', "peers > gossip"),
    ],
)
def test_what_a_document_cannot_say(text, words):
    with pytest.raises(parts.InvalidDocumentError) as wrong:
        parts.read_text(text)
    assert words in str(wrong.value)


def test_a_dispatcher_that_cannot_be_a_peer_says_why_and_does_not_start(tmp_path):
    f = Fleet(tmp_path, 2, 1)
    try:
        f.write_key(b"short")
        f.start(0)
        assert f.processes[0].wait(20) == 2
        f.write_key(KEY)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(f.relay.listens[1])
            f.start(1)
            assert f.processes[1].wait(20) == 1
        with open(f.logs[0]) as one, open(f.logs[1]) as two:
            assert "keys of 16 to 64 octets" in one.read() and "peers: cannot listen" in two.read()
    finally:
        f.end()


def test_a_mistake_in_the_part_costs_a_round_and_at_last_the_part_never_the_dispatcher(tmp_path, monkeypatch):
    lines, key = [], tmp_path / "key"
    key.write_bytes(KEY)
    log = type("Log", (), {"line": lambda self, event, **fields: lines.append((event, fields))})()
    part = parts.read_text(f'peers {{ listen "127.0.0.1:{udp_ports(1)[0]}"; key-file "{key}" }}')["peers"]
    made = service.ClusterService(part, "n0", 1, 1, log, Counters())
    made.open()
    monkeypatch.setattr(service, "MAX_FAULTS", 3)
    monkeypatch.setattr(made.node, "run_round", lambda *_: 1 / 0)
    made.run()
    assert [event for event, _ in lines] == ["fault"] * 3 + ["peers-given-up"]
    assert lines[0][1]["where"].startswith("<lambda>") and made.status()["standing"] == "whole"


def test_threads_that_watch_do_not_outlive_a_fleet(tmp_path):
    # The rig itself: a fleet that ends leaves no process and no relay.
    with fleet(tmp_path, 2, 1, seeds=1) as f:
        processes = f.processes
    assert all(process.poll() is not None for process in processes)
    f.relay.join(5)
    assert not f.relay.is_alive() and isinstance(f.relay, Thread)
