"""Tests of logins, TLS, and the extensions document that configures them."""

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


def test_logins_are_checked_against_salted_hashes_and_login_storms_are_rejected(tmp_path):
    path = tmp_path / "logins"
    path.write_text(
        f"ann:{authentication.hash_password('secret')}\n# a note\n"
        f"bob:{authentication.hash_password('other')}\n"
    )
    dispatcher = Dispatcher(TdsEngine(), extra_nodes=f'logins "{path}"')
    with dispatcher.connect(user="ann", password="secret") as client:
        assert ask(client, "SELECT 1 FROM sales_1.t")
    for user, password in (("ann", "other"), ("nobody", "secret"), ("ann", "")):
        assert error_number(partial(dispatcher.connect, user=user, password=password)) == errors.LOGIN_FAILED
    authenticator = authentication.Authenticator(authentication.read_password_file(str(path)))
    answers = []
    threads = [
        Thread(target=lambda n=n: answers.append(authenticator.check("ann", f"wrong{n}"))) for n in range(40)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert set(answers) == {authentication.LoginCheck.REJECTED, authentication.LoginCheck.BUSY}
    assert authenticator.check("ann", "secret") == authentication.LoginCheck.ACCEPTED
    started_at = time.perf_counter()
    assert all(authenticator.check("ann", "secret") == authentication.LoginCheck.ACCEPTED for _ in range(100))
    assert time.perf_counter() - started_at < 0.5  # answered from the cache, without the expensive check
    path.write_text("ann\n")
    with pytest.raises(FileError, match="line 1"):
        authentication.read_password_file(str(path))


@pytest.mark.parametrize("mode", ["on", "required"])
def test_tls_follows_the_prelogin_and_renewed_certificates_are_used(tmp_path, mode):
    old, new = trustme.CA(), trustme.CA()

    def issue(ca):
        ca.issue_cert("127.0.0.1").private_key_and_cert_chain_pem.write_to_path(str(tmp_path / "server.pem"))
        ca.cert_pem.write_to_path(str(tmp_path / "ca.pem"))

    issue(old)
    dispatcher = Dispatcher(TdsEngine(), extra_nodes=f'encrypt "{mode}"\ncertificate "{tmp_path}/server.pem"')
    secure = dict(cafile=str(tmp_path / "ca.pem"), validate_host=False)
    with dispatcher.connect(**secure) as client:
        assert ask(client, "SELECT 1 FROM sales_1.t") == [(1, "a")]
    with dispatcher.connect(**secure, enc_login_only=True) as client:
        assert ask(client, "SELECT 1 FROM sales_1.t") == [(1, "a")]
    issue(new)
    document = dispatcher.parts["tds"]
    dispatcher.service.parts[0].listener.update(document, load_tls_context(document))
    with dispatcher.connect(**secure) as client:
        assert ask(client, "SELECT 1 FROM sales_1.t") == [(1, "a")]
    if mode == "required":
        with pytest.raises(pytds.Error):
            dispatcher.connect()
    else:
        dispatcher.connect().close()


def test_a_stalled_tls_handshake_times_out(tmp_path, monkeypatch):
    monkeypatch.setattr("wickvane.net.client_session.FIRST_QUERY_TIMEOUT_S", 0.4)
    trustme.CA().issue_cert("127.0.0.1").private_key_and_cert_chain_pem.write_to_path(str(tmp_path / "s.pem"))
    dispatcher = Dispatcher(TdsEngine(), extra_nodes=f'encrypt "required"\ncertificate "{tmp_path}/s.pem"')
    client = RawClient(dispatcher.port, login=False)
    client.send(
        packets.PRELOGIN, prelogin.encode_prelogin({prelogin.VERSION: bytes(6), prelogin.ENCRYPTION: b"\1"})
    )
    assert prelogin.read_prelogin(client.message())[prelogin.ENCRYPTION] == bytes(
        (prelogin.ENCRYPT_REQUIRED,)
    )
    started_at = time.monotonic()
    client.send(packets.PRELOGIN, b"\x16\x03\x01\x02")  # an incomplete ClientHello
    assert client.message() is None and time.monotonic() - started_at < 3


def test_a_reload_applies_rules_and_logins_and_rejects_changes_that_need_a_restart(tmp_path):
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


def test_a_document_with_an_unknown_engine_type_is_rejected():
    with pytest.raises(ConfigError, match="expected a kind of host_types: old, mssql"):
        document = parts.read_text('tds { engines "other" { user "w" } }')
        configuration = found([], Events())
        configuration["settings"] = tds_settings()
        Service(configuration, 1, document)
