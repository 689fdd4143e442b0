"""Reads a password on standard input and writes its hash, for a line of the file of logins."""

import sys
from getpass import getpass

from wickvane.net.tds.authentication import hash_password

NO_PASSWORD_EXIT_CODE = 2


def main() -> int:
    """Reads a password and prints its hash; 2 as exit status where there is none."""
    password = getpass("password: ") if sys.stdin.isatty() else sys.stdin.readline().rstrip("\r\n")
    if not password:
        print("no password", file=sys.stderr)
        return NO_PASSWORD_EXIT_CODE
    print(hash_password(password))
    return 0


if __name__ == "__main__":
    sys.exit(main())
