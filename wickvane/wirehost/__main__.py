"""Runs the adapter on standard input and output: `python -m wickvane.wirehost`."""

import sys

from wickvane.wirehost.host import serve

sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
