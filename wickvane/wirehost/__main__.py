"""`python -m wickvane.wirehost`: the adapter as a program, on standard input and output."""

import sys

from wickvane.wirehost.host import serve

sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
