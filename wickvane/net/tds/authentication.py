"""Authentication of clients: a password file of users and argon2 hashes, and a bound on concurrent checks.

A check is expensive by design, and reconnecting clients make many: one runs at a time, few wait for it, and a
password that was correct lately is recognised by a keyed digest that exists in this process only.
"""

import os
from enum import Enum, auto
from hashlib import blake2b
from threading import Lock

from wickvane.files import FileError, read_bounded

MAX_FILE_SIZE = 1 << 20  # octets
MAX_USERS = 10_000
MAX_CACHED_DIGESTS = 1024
MAX_WAITING_CHECKS = 8
DIGEST_SIZE = 32  # octets
ARGON2_TIME_COST = 3
ARGON2_MEMORY_KIB = 8192
ARGON2_LANES = 1  # checks run one at a time


class LoginCheck(Enum):
    """The outcome of a check."""

    ACCEPTED = auto()
    REJECTED = auto()
    BUSY = auto()  # too many wait to be checked


def read_password_file(path: str) -> dict[str, str]:
    """Hashes by user, from lines "user:hash"; raises FileError, which names the line."""
    users: dict[str, str] = {}
    text = read_bounded(path, MAX_FILE_SIZE).decode("utf-8", "replace")
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        user, colon, password_hash = line.strip().partition(":")
        if not colon or not user or not password_hash.startswith("$argon2") or user in users:
            raise FileError(
                f"{path}: line {number}: expected a user, a colon and an argon2 hash, each user once"
            )
        users[user] = password_hash
    if not users or len(users) > MAX_USERS:
        raise FileError(f"{path}: expected 1 to {MAX_USERS} users")
    return users


def hash_password(password: str) -> str:
    """A hash for the password file."""
    from argon2 import PasswordHasher

    hasher = PasswordHasher(
        time_cost=ARGON2_TIME_COST, memory_cost=ARGON2_MEMORY_KIB, parallelism=ARGON2_LANES
    )
    return hasher.hash(password)


class Authenticator:
    """Checks users and passwords, from any thread.

    users: hashes by user; None accepts everybody, for listeners on loopback only. _lock guards users, the
    cache and the count of waiting checks; _check_lock is held during a check, never within _lock."""

    def __init__(self, users: dict[str, str] | None) -> None:
        self.users = users
        self._key = os.urandom(DIGEST_SIZE)
        self._digests: dict[str, bytes] = {}
        self._lock = Lock()
        self._check_lock = Lock()
        self._waiting = 0
        self._unknown_user_hash = hash_password("") if users is not None else ""

    def replace_users(self, users: dict[str, str] | None) -> None:
        """Takes the users of a new password file."""
        with self._lock:
            self.users = users
            self._digests = {}

    def check(self, user: str, password: str) -> LoginCheck:
        """Checks a password; waits for the checks ahead of it."""
        if self.users is None:
            return LoginCheck.ACCEPTED
        encoded = password.encode("utf-8", "replace")
        digest = blake2b(encoded, key=self._key, digest_size=DIGEST_SIZE).digest()
        with self._lock:
            if self._digests.get(user) == digest:
                return LoginCheck.ACCEPTED
            if self._waiting >= MAX_WAITING_CHECKS:
                return LoginCheck.BUSY
            self._waiting += 1
            users = self.users
        try:
            with self._check_lock:
                # An unknown user takes the same time, so that time does not tell which users exist.
                password_hash = users.get(user, self._unknown_user_hash)
                accepted = _verify(password_hash, password) and user in users
        finally:
            with self._lock:
                self._waiting -= 1
        if not accepted:
            return LoginCheck.REJECTED
        self._remember(users, user, digest)
        return LoginCheck.ACCEPTED

    def _remember(self, users: dict[str, str], user: str, digest: bytes) -> None:
        with self._lock:
            if users is not self.users:
                return
            if len(self._digests) >= MAX_CACHED_DIGESTS:
                del self._digests[next(iter(self._digests))]
            self._digests[user] = digest


def _verify(password_hash: str, password: str) -> bool:
    from argon2 import PasswordHasher
    from argon2.exceptions import Argon2Error, InvalidHashError

    try:
        return PasswordHasher().verify(password_hash, password)
    except (Argon2Error, InvalidHashError):
        return False
