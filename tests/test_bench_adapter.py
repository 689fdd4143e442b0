"""The adapter to the simulator's wire."""

import io
import json

from wickvane.wirehost.host import serve


def run_host(*lines: str) -> tuple[int, str, str]:
    """Runs the adapter; returns its exit code, replies and errors."""
    replies, errors = io.StringIO(), io.StringIO()
    return serve(lines, replies, errors), replies.getvalue(), errors.getvalue()


def test_errors_name_the_unreadable_line_or_missing_field():
    code, _, error = run_host("no json")
    assert code and "line 1" in error and "Traceback" not in error
    code, reply, error = run_host(json.dumps({"now_ms": 1.0, "groups": []}), json.dumps({"now_ms": 2.0}))
    assert code and json.loads(reply) == {"groups": []} and "groups" in error
