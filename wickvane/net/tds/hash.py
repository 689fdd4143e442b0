"""Command that reads a password from standard input and prints its hash for a line of the password file."""

import sys
from getpass import getpass

from wickvane.net.tds.authentication import hash_password

NO_PASSWORD_EXIT_CODE = 2


def main() -> int:
    """Reads a password and prints its hash; returns the exit status, which is 2 if the password is empty."""
    password = getpass("password: ") if sys.stdin.isatty() else sys.stdin.readline().rstrip("\r\n")
    if not password:
        print("no password", file=sys.stderr)
        return NO_PASSWORD_EXIT_CODE
    print(hash_password(password))
    return 0


if __name__ == "__main__":
    sys.exit(main())
