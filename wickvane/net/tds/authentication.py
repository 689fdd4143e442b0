"""Authentication of clients by a password file of users and argon2 hashes, with a bound on concurrent checks.

A check is expensive by design, and clients that reconnect cause many checks. Therefore one check runs at a
time, at most MAX_WAITING_CHECKS logins wait or are checked at once, and a recently accepted password is
recognised by a keyed digest whose key exists only in this process.
"""

import os
from enum import Enum, auto
from threading import Lock

from wickvane.digest import blake2b
from wickvane.files import FileError, read_bounded

MAX_FILE_SIZE = 1 << 20  # octets
MAX_USERS = 10_000
MAX_CACHED_DIGESTS = 1024
MAX_WAITING_CHECKS = 8
DIGEST_SIZE = 32  # octets
ARGON2_TIME_COST = 3
ARGON2_MEMORY_KIB = 8192
ARGON2_LANES = 1  # only one check runs at a time


class LoginCheck(Enum):
    """The result of a password check."""

    ACCEPTED = auto()
    REJECTED = auto()
    BUSY = auto()  # too many logins wait for a check


def read_password_file(path: str) -> dict[str, str]:
    """Returns the hashes by user from lines "user:hash"; raises FileError, which names an invalid line."""
    users: dict[str, str] = {}
    text = read_bounded(path, MAX_FILE_SIZE).decode("utf-8", "replace")
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        user, colon, password_hash = line.strip().partition(":")
        if not colon or not user or not password_hash.startswith("$argon2") or user in users:
            raise FileError(f"{path}: line {number}: expected a unique user, a colon and an argon2 hash")
        users[user] = password_hash
    if not users or len(users) > MAX_USERS:
        raise FileError(f"{path}: expected 1 to {MAX_USERS} users")
    return users


def hash_password(password: str) -> str:
    """Hashes a password for the password file."""
    from argon2 import PasswordHasher

    hasher = PasswordHasher(
        time_cost=ARGON2_TIME_COST, memory_cost=ARGON2_MEMORY_KIB, parallelism=ARGON2_LANES
    )
    return hasher.hash(password)


class Authenticator:
    """Checks users and passwords, from any thread.

    users: hashes by user; None accepts every login and is used only for loopback listeners.
    _lock guards users, the cache and the count of waiting checks. _check_lock is held during a check and
    never acquired while _lock is held."""

    def __init__(self, users: dict[str, str] | None) -> None:
        self.users = users
        self._key = os.urandom(DIGEST_SIZE)
        self._digests: dict[str, bytes] = {}
        self._lock = Lock()
        self._check_lock = Lock()
        self._waiting = 0
        self._unknown_user_hash = hash_password("") if users is not None else ""

    def replace_users(self, users: dict[str, str] | None) -> None:
        """Replaces the users by those of a new password file."""
        with self._lock:
            self.users = users
            self._digests = {}

    def check(self, user: str, password: str) -> LoginCheck:
        """Checks a password after the checks that are already waiting."""
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
                # Checking an unknown user takes as long, so that the duration reveals no existing users.
                password_hash = users.get(user, self._unknown_user_hash)
                accepted = _verify(password_hash, password) and user in users
        finally:
            with self._lock:
                self._waiting -= 1
        if not accepted:
            return LoginCheck.REJECTED
        self._cache_digest(users, user, digest)
        return LoginCheck.ACCEPTED

    def _cache_digest(self, users: dict[str, str], user: str, digest: bytes) -> None:
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
