"""Extensions documents: errors name node, value and what was expected; a reload applies all or nothing."""

import glob
import json
import os
import signal
import subprocess
import sys
import time

import pytest
from bench_free import Engine, Events, found
from hypothesis import given, settings
from hypothesis import strategies as st
from standins.collector import Collector

from wickvane import parts
from wickvane.rehearsal import script as scripts

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
GOOD = 'flows { collector "a" { address "127.0.0.1:4739" } }'


@pytest.mark.parametrize("path", sorted(glob.glob(os.path.join(ROOT, "deploy", "*.kdl"))))
def test_each_example_document_is_valid(path):
    # A rehearsal script is not an extensions document.
    assert scripts.read(path) if path.endswith("rehearsal.kdl") else parts.read(path)


def test_values_are_converted_to_base_units():
    part = parts.read_text("""flows {
        active-timeout "1.5s"
        spool "/tmp/x" size="2MiB" segment="64KiB"
        collector "a" { address "[::1]:4739"; transport "udp"; mtu 1280; standby "127.0.0.1:1" }
    }""")["flows"]
    assert (part.active_timeout, part.max_spool_size, part.segment_size) == (15_000, 2 << 20, 64 << 10)
    assert part.collectors[0].addresses == (("::1", 4739), ("127.0.0.1", 1))
    assert part.collectors[0].max_message_size == 1232


@pytest.mark.parametrize(
    "text, words",
    [
        ("flows {", ["not a KDL 2 document"]),
        ("nets", ["line 1: nets: expected flows"]),
        (GOOD + "\n" + GOOD, ["flows", "at most one"]),
        ("flows", ["flows: expected a node collector"]),
        ('flows 5 { collector "a" { address "127.0.0.1:1" } }', ["flows: expected no value of its own"]),
        ('flows x=1 { collector "a" { address "127.0.0.1:1" } }', ["instead of the property x"]),
        (
            'flows {\n tables 5\n collector "a" { address "127.0.0.1:1" } }',
            ["line 2: flows > tables", "table,"],
        ),
        (
            'flows {\n\n table "many"\n collector "a" { address "127.0.0.1:1" } }',
            ['line 3: flows > table "many"', "a whole number from 16"],
        ),
        (
            'flows { table 5; collector "a" { address "127.0.0.1:1" } }',
            ["flows > table 5", "from 16 to 1000000"],
        ),
        ('flows { table #true; collector "a" { address "127.0.0.1:1" } }', ["flows > table #true"]),
        ('flows { table; collector "a" { address "127.0.0.1:1" } }', ["flows > table: expected one value"]),
        (
            'flows { idle-timeout "5"; collector "a" { address "127.0.0.1:1" } }',
            ['"5"', 'a time from "100ms"'],
        ),
        (
            'flows { idle-timeout "9d"; collector "a" { address "127.0.0.1:1" } }',
            ['"9d"', 'a time from "100ms"'],
        ),
        ('flows { collector "a" { address "localhost:1" } }', ['"localhost:1"', "an IP address and port"]),
        ('flows { collector "a" { address "::1:5" } }', ["an IP address and port"]),
        ('flows { collector "a" { address "127.0.0.1:99999" } }', ["an IP address and port"]),
        ('flows { collector "a" { } }', ["flows > collector", "a node address"]),
        ('flows { collector { address "127.0.0.1:1" } }', ["flows > collector", "a name of letters"]),
        ('flows { collector "a" { address "127.0.0.1:1"; format "netflow9" } }', ['transport "udp"']),
        ('flows { collector "a" { address "127.0.0.1:1"; transport "tls" } }', ["a node tls"]),
        ('flows { collector "a" { address "127.0.0.1:1"; tls { authority "x" } } }', ['transport "tls"']),
        (
            'flows { collector "a" { address "127.0.0.1:1" }\n collector "a" { address "127.0.0.1:2" } }',
            ["a unique name"],
        ),
        (
            'flows { spool "x" size="1MiB" segment="1MiB"; collector "a" { address "127.0.0.1:1" } }',
            ["a quarter"],
        ),
        ('flows { when-full "none"; collector "a" { address "127.0.0.1:1" } }', ['"oldest" or "newest"']),
    ],
)
def test_an_error_names_the_node_and_what_was_expected(text, words):
    with pytest.raises(parts.InvalidDocumentError) as caught:
        parts.read_text(text)
    assert all(word in str(caught.value) for word in words), str(caught.value)


@settings(max_examples=200, deadline=None)
@given(
    st.one_of(
        st.text(max_size=200),
        st.builds(
            lambda position, inserted: GOOD[:position] + inserted + GOOD[position:],
            st.integers(0, len(GOOD)),
            st.text(max_size=12),
        ),
    )
)
def test_any_text_raises_only_invalid_document_errors(text):
    try:
        parts.read_text(text)
    except parts.InvalidDocumentError:
        pass


def run(*words, **environment):
    return subprocess.run(
        [sys.executable, "-m", "wickvane", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**os.environ, **environment},
    )


def test_check_and_serve_exit_with_2_for_an_invalid_document(tmp_path):
    good, bad, configuration = tmp_path / "good.kdl", tmp_path / "bad.kdl", tmp_path / "config.json"
    good.write_text(GOOD)
    bad.write_text("flows {\n table 1\n}")
    configuration.write_text(json.dumps(found([Engine()], Events())))
    assert run("check", f"--parts={good}").returncode == 0
    assert run("check", f"--config={configuration}", WICKVANE_PARTS=str(good)).returncode == 0
    for words in (["check"], ["serve", f"--config={configuration}"]):
        result = run(*words, f"--parts={bad}")
        assert (
            result.returncode == 2
            and "flows > table 1" in result.stderr
            or "a node collector" in result.stderr
        )
        assert str(bad) in result.stderr and "Traceback" not in result.stderr
    assert run("check", "--parts=/nowhere.kdl").returncode == 2


def test_extension_modules_are_not_imported_without_a_document(tmp_path):
    configuration = tmp_path / "config.json"
    configuration.write_text(json.dumps(found([Engine()], Events())))
    code = """
import sys
from wickvane.net.service import Service, configuration
Service(configuration(sys.argv[1]))
print([name for name in sys.modules if name.startswith((
    "ckdl", "msgspec", "wickvane.flows", "wickvane.parts", "wickvane.cluster", "wickvane.endpoints", "ssl"))])
"""
    words = [sys.executable, "-c", code, str(configuration)]
    result = subprocess.run(words, cwd=ROOT, capture_output=True)
    assert result.stdout == b"[]\n", result


def test_sighup_applies_a_changed_document_completely_or_not_at_all(tmp_path):
    first, second = Collector(), Collector()
    configuration, document = tmp_path / "config.json", tmp_path / "parts.kdl"
    original = found([Engine()], Events())
    configuration.write_text(json.dumps(original))

    def export(collector, more=""):
        named = f'collector "a" {{ address "{collector.address}" }}'
        document.write_text(f'flows {{ statistics-every "100ms"\n{more}\n{named} }}')

    export(first)
    with open(tmp_path / "log", "wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "wickvane", "serve", f"--config={configuration}", f"--parts={document}"],
            cwd=ROOT,
            stdout=log,
        )

    def logged(name, words=""):
        for _ in range(1000):
            text = (tmp_path / "log").read_bytes()
            lines = [json.loads(line) for line in text[: text.rfind(b"\n") + 1].splitlines()]
            named = [line for line in lines if line["event"] == name and words in line.get("why", "")]
            if named:
                return named
            time.sleep(0.01)
        raise AssertionError(f"no {name}")

    try:
        logged("ready")
        first.until(lambda c: c.statistics)
        # The document is partly valid, and the configuration names another coordinator: neither takes effect.
        export(second, "table 1")
        configuration.write_text(json.dumps(original | {"coordinator": "127.0.0.1:1"}))
        process.send_signal(signal.SIGHUP)
        assert "flows > table 1" in logged("configuration-unusable")[0]["why"]
        exported = first.collected.statistics[1, "a"]["exportedMessageTotalCount"]
        first.until(lambda c: c.statistics[1, "a"]["exportedMessageTotalCount"] > exported)
        assert second.connected == 0
        export(second)
        configuration.write_text(json.dumps(original))
        process.send_signal(signal.SIGHUP)
        logged("configuration-taken")
        second.until(lambda c: c.statistics)
        document.write_text("")
        process.send_signal(signal.SIGHUP)
        logged("configuration-unusable", words="restart")
    finally:
        process.terminate()
    assert process.wait(20) == 0
