"""Logins, TLS, and the extension document that sets them."""

import json
import time
from functools import partial
from threading import Thread

import pytds
import pytest
import trustme
from bench_free import Events, found, until
from standins.tds_engine import TdsEngine

from tds.helpers import Dispatcher, RawClient, ask, error_number, tds_settings
from wickvane import parts
from wickvane.errors import ConfigError
from wickvane.files import FileError
from wickvane.net.service import Service
from wickvane.net.tds import authentication, errors, packets, prelogin
from wickvane.net.tds.listener import load_tls_context


def test_logins_are_checked_against_salted_hashes_and_storms_are_turned_away(tmp_path):
    path = tmp_path / "logins"
    path.write_text(
        f"ann:{authentication.hash_password('secret')}\n# a note\n"
        f"bob:{authentication.hash_password('other')}\n"
    )
    dispatcher = Dispatcher(TdsEngine(), more=f'logins "{path}"')
    with dispatcher.connect(user="ann", password="secret") as client:
        assert ask(client, "SELECT 1 FROM sales_1.t")
    for user, password in (("ann", "other"), ("nobody", "secret"), ("ann", "")):
        assert error_number(partial(dispatcher.connect, user=user, password=password)) == errors.LOGIN_FAILED
    book = authentication.Authenticator(authentication.read_password_file(str(path)))
    answers = []
    threads = [Thread(target=lambda n=n: answers.append(book.check("ann", f"wrong{n}"))) for n in range(40)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert set(answers) == {authentication.LoginCheck.REJECTED, authentication.LoginCheck.BUSY}
    assert book.check("ann", "secret") == authentication.LoginCheck.ACCEPTED
    began = time.perf_counter()
    assert all(book.check("ann", "secret") == authentication.LoginCheck.ACCEPTED for _ in range(100))
    assert time.perf_counter() - began < 0.5  # known again without the dear check
    path.write_text("ann\n")
    with pytest.raises(FileError, match="line 1"):
        authentication.read_password_file(str(path))


@pytest.mark.parametrize("mode", ["on", "required"])
def test_tls_as_prelogin_agrees_it_and_renewed_certificates(tmp_path, mode):
    old, new = trustme.CA(), trustme.CA()

    def issue(ca):
        ca.issue_cert("127.0.0.1").private_key_and_cert_chain_pem.write_to_path(str(tmp_path / "server.pem"))
        ca.cert_pem.write_to_path(str(tmp_path / "ca.pem"))

    issue(old)
    dispatcher = Dispatcher(TdsEngine(), more=f'encrypt "{mode}"\ncertificate "{tmp_path}/server.pem"')
    secure = dict(cafile=str(tmp_path / "ca.pem"), validate_host=False)
    with dispatcher.connect(**secure) as client:
        assert ask(client, "SELECT 1 FROM sales_1.t") == [(1, "a")]
    with dispatcher.connect(**secure, enc_login_only=True) as client:
        assert ask(client, "SELECT 1 FROM sales_1.t") == [(1, "a")]
    issue(new)
    part = dispatcher.parts["tds"]
    dispatcher.service.parts[0].listener.update(part, load_tls_context(part))
    with dispatcher.connect(**secure) as client:
        assert ask(client, "SELECT 1 FROM sales_1.t") == [(1, "a")]
    if mode == "required":
        with pytest.raises(pytds.Error):
            dispatcher.connect()
    else:
        dispatcher.connect().close()


def test_a_handshake_that_stalls_is_ended_in_time(tmp_path, monkeypatch):
    monkeypatch.setattr("wickvane.net.client_session.FIRST_QUERY_TIMEOUT_S", 0.4)
    trustme.CA().issue_cert("127.0.0.1").private_key_and_cert_chain_pem.write_to_path(str(tmp_path / "s.pem"))
    dispatcher = Dispatcher(TdsEngine(), more=f'encrypt "required"\ncertificate "{tmp_path}/s.pem"')
    client = RawClient(dispatcher.port, login=False)
    client.send(
        packets.PRELOGIN, prelogin.encode_prelogin({prelogin.VERSION: bytes(6), prelogin.ENCRYPTION: b"\1"})
    )
    assert prelogin.read_prelogin(client.message())[prelogin.ENCRYPTION] == bytes(
        (prelogin.ENCRYPT_REQUIRED,)
    )
    began = time.monotonic()
    client.send(packets.PRELOGIN, b"\x16\x03\x01\x02")  # a hello that never goes on
    assert client.message() is None and time.monotonic() - began < 3


def test_a_new_document_changes_rules_and_logins_and_refuses_what_needs_a_restart(tmp_path):
    dispatcher = Dispatcher(TdsEngine())
    configuration, kdl = tmp_path / "config.json", tmp_path / "parts.kdl"
    configuration.write_text(json.dumps(dispatcher.found))
    listen = f'listen "127.0.0.1:{dispatcher.port}"\nengines "mssql" {{ user "w" }}\n'
    users = tmp_path / "logins"
    users.write_text(f"ann:{authentication.hash_password('secret')}\n")
    group = 'rule application="*" { group "change"; limit "3s" }'
    kdl.write_text(f'tds {{ {listen} {group}\nlogins "{users}" }}')
    assert dispatcher.service.reload(str(configuration), str(kdl))
    assert error_number(dispatcher.connect) == errors.LOGIN_FAILED
    with dispatcher.connect(user="ann", password="secret") as client:
        ask(client, "SELECT 1 FROM sales_1.t")
    counters = dispatcher.service.counters
    until(lambda: counters.shown().get("finished"))
    for text in (
        f"tds {{ {listen} connections 5 }}",
        "",
        f'tds {{ {listen} rule {{ group "x" }} }}',
        f'tds {{ {listen} encrypt "on"; certificate "/nowhere" }}',
    ):
        kdl.write_text(text)
        assert not dispatcher.service.reload(str(configuration), str(kdl))
    with dispatcher.connect(user="ann", password="secret") as client:
        assert ask(client, "SELECT 1 FROM sales_1.t")


def test_a_document_that_names_an_unknown_kind_of_engines_is_refused():
    with pytest.raises(ConfigError, match="expected a kind of host_types: old, mssql"):
        service = parts.read_text('tds { engines "other" { user "w" } }')
        made = found([], Events())
        made["settings"] = tds_settings()
        Service(made, 1, service)
