"""Logins of clients: a file of users and salted hashes (argon2), and how many may be checked at once.

A check is dear by design, and reconnecting clients make many: one at a time is checked, few may wait for it,
and a password that was good lately is known again by a keyed digest that lives in this process alone.
"""

import os
from hashlib import blake2b
from threading import Lock

from wickvane.files import FileError, read_bounded

KNOWN_MOST, WAITING_MOST, FILE_MOST, USERS_MOST = 1024, 8, 1 << 20, 10_000
GOOD, WRONG, BUSY = range(3)


def read(path):
    """{user: hash} from lines "user:hash"; FileError names the line."""
    found = {}
    for n, line in enumerate(read_bounded(path, FILE_MOST).decode("utf-8", "replace").splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        user, colon, hash = line.strip().partition(":")
        if not colon or not user or not hash.startswith("$argon2") or user in found:
            raise FileError(f"{path}: line {n}: expected a user, a colon and an argon2 hash, each user once")
        found[user] = hash
    if not found or len(found) > USERS_MOST:
        raise FileError(f"{path}: expected 1 to {USERS_MOST} users")
    return found


def made(password):
    """A hash to put into the file; 8 MiB and one lane, since a storm of logins is checked one by one."""
    from argon2 import PasswordHasher

    return PasswordHasher(time_cost=3, memory_cost=8192, parallelism=1).hash(password)


class Logins:
    """users None: whoever comes is let in, for loopback alone."""

    def __init__(self, users):
        self.users, self.key = users, os.urandom(32)
        self.known, self.lock, self.checking, self.waiting = {}, Lock(), Lock(), 0
        self.nobody = made("") if users is not None else ""

    def change(self, users):
        with self.lock:
            self.users, self.known = users, {}

    def check(self, user, password):
        """GOOD, WRONG, or BUSY where too many wait to be checked."""
        if self.users is None:
            return GOOD
        digest = blake2b(password.encode("utf-8", "replace"), key=self.key, digest_size=32).digest()
        with self.lock:
            if self.known.get(user) == digest:
                return GOOD
            if self.waiting >= WAITING_MOST:
                return BUSY
            self.waiting += 1
            users = self.users
        try:
            with self.checking:
                # For a user who is not there the time is the same: names are not told by it.
                good = self.verified(users.get(user, self.nobody), password) and user in users
        finally:
            with self.lock:
                self.waiting -= 1
        if good:
            with self.lock:
                if users is self.users:
                    if len(self.known) >= KNOWN_MOST:
                        del self.known[next(iter(self.known))]
                    self.known[user] = digest
        return GOOD if good else WRONG

    def verified(self, hash, password):
        from argon2 import PasswordHasher
        from argon2.exceptions import Argon2Error, InvalidHashError

        try:
            return PasswordHasher().verify(hash, password)
        except (Argon2Error, InvalidHashError):
            return False
