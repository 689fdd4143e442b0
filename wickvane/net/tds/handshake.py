"""The handshake of a client session: PRELOGIN, TLS if it is agreed on, LOGIN7 and the answer to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wickvane.errors import ProtocolError
from wickvane.net.client_connection import Ended
from wickvane.net.tds import errors, login7, packets, prelogin, tokens
from wickvane.net.tds.answers import SPID, error_answer, fatal_error_packets, result_packets
from wickvane.net.tds.authentication import LoginCheck
from wickvane.net.tds.session_setup import encode_database_change
from wickvane.net.tds.token_encoding import encode_done, encode_envchange, encode_loginack
from wickvane.net.tds.type_info import COLLATION

if TYPE_CHECKING:
    from wickvane.net.tds.session import Session

SERVER_VERSION = bytes((15, 0, 0, 0, 0, 0))
MAX_TLS_ROUND_TRIPS = 32
LOGIN_SEVERITY = 14
INITIAL_DATABASE = "master"
LANGUAGE = "us_english"


def perform_handshake(session: Session) -> login7.Login7:
    """Receives and checks a login; returns it without having sent the answer.

    Raises ProtocolError, TlsError, or Ended with the final message for the client if it is rejected."""
    login = _receive_login(session)
    _check_login(session, login)
    return login


def agreed_encryption(policy: str, requested: int) -> int:
    """Returns the answer to a client's ENCRYPTION (MS-TDS 2.2.6.5); policy: "off", "on" or "required"."""
    if policy == "off":
        return prelogin.ENCRYPT_NOT_SUPPORTED
    if policy == "required":
        return prelogin.ENCRYPT_REQUIRED
    if requested in (prelogin.ENCRYPT_OFF, prelogin.ENCRYPT_NOT_SUPPORTED):
        return requested
    return prelogin.ENCRYPT_ON


def login_answer(login: login7.Login7, database: str) -> bytes:
    """Returns the packets that accept a login."""
    collation = bytes((len(COLLATION),)) + COLLATION
    packet_sizes = str(login.packet_size), str(packets.DEFAULT_PACKET_SIZE)
    answer = (
        encode_database_change(database, INITIAL_DATABASE)
        + encode_envchange(tokens.ENV_COLLATION, collation, b"\0")
        + encode_envchange(tokens.ENV_LANGUAGE, LANGUAGE, "")
        + encode_loginack()
        + encode_envchange(tokens.ENV_PACKET_SIZE, *packet_sizes)
        + encode_done()
    )
    return result_packets(answer, spid=SPID)


def _receive_login(session: Session) -> login7.Login7:
    message = session.next_message(session.first_query_deadline)
    if message.type != packets.PRELOGIN:
        raise ProtocolError("the first message is not a PRELOGIN")
    requested = prelogin.read_encryption(prelogin.read_prelogin(message.body))
    agreed = agreed_encryption(session.listener.encryption, requested)
    session.put(_prelogin_answer(agreed))
    if session.full:
        raise Ended("too-many", session.TOO_MANY)
    if agreed != prelogin.ENCRYPT_NOT_SUPPORTED:
        if requested == prelogin.ENCRYPT_NOT_SUPPORTED:
            text = "this dispatcher accepts only encrypted connections"
            raise Ended("no-encryption", fatal_error_packets(errors.ENCRYPTION, text))
        _start_tls(session)
    message = session.next_message(session.first_query_deadline)
    if message.type != packets.LOGIN7:
        raise ProtocolError("the message after the PRELOGIN is not a LOGIN7")
    login = login7.read_login7(message.body)
    if agreed == prelogin.ENCRYPT_OFF:
        session.tls = None  # only the login is encrypted
    return login


def _prelogin_answer(encryption: int) -> bytes:
    options = {
        prelogin.VERSION: SERVER_VERSION,
        prelogin.ENCRYPTION: bytes((encryption,)),
        prelogin.INSTANCE: b"\0",
        prelogin.THREAD_ID: b"",
        prelogin.MARS: b"\0",
    }
    return result_packets(prelogin.encode_prelogin(options))


def _start_tls(session: Session) -> None:
    """Performs the TLS handshake, whose messages are in PRELOGIN packets; later packets are within TLS."""
    from wickvane.net.tds.tls import TlsLayer  # loads OpenSSL, which listeners without TLS do not need

    tls = TlsLayer(session.listener.tls_context)
    for _ in range(MAX_TLS_ROUND_TRIPS):
        done, data = tls.advance_handshake()
        if data:
            session.put(packets.encode_packets(packets.PRELOGIN, data))
        if done:
            session.start_tls(tls)
            return
        message = session.next_message(session.first_query_deadline)
        if message.type != packets.PRELOGIN:
            raise ProtocolError("a TLS handshake message is not in a PRELOGIN packet")
        tls.receive(message.body)
    raise ProtocolError("the TLS handshake takes too many round trips")


def _check_login(session: Session, login: login7.Login7) -> None:
    if login.version < login7.MIN_TDS_VERSION:
        text = "TDS 7.2 or later is required"
        raise Ended("protocol-version", fatal_error_packets(errors.PROTOCOL, text))
    if login.integrated:
        raise _rejected_login(
            "login-failed", errors.LOGIN_FAILED, "only logins by user and password are accepted"
        )
    # The check waits for those of other logins and takes long; no request is sent before its result.
    session.begin_busy()
    try:
        result = session.listener.authenticator.check(login.user, login.password)
    finally:
        session.end_busy()
    match result:
        case LoginCheck.BUSY:
            raise _rejected_login("login-busy", errors.LOGIN_BUSY, "too many logins at once; try again")
        case LoginCheck.REJECTED:
            session.counters.add("logins-failed")
            text = f"Login failed for user '{login.user}'."
            raise _rejected_login("login-failed", errors.LOGIN_FAILED, text)


def _rejected_login(reason: str, number: int, text: str) -> Ended:
    return Ended(reason, result_packets(error_answer(number, text, LOGIN_SEVERITY)))
