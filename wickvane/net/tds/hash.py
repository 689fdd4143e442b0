"""Reads a password on standard input and writes its hash, for a line of the file of logins."""

import sys
from getpass import getpass

from wickvane.net.tds.logins import made


def main():
    password = getpass("password: ") if sys.stdin.isatty() else sys.stdin.readline().rstrip("\r\n")
    if not password:
        print("no password", file=sys.stderr)
        return 2
    print(made(password))
    return 0


if __name__ == "__main__":
    sys.exit(main())
