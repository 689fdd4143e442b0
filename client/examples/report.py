"""Prints the rows of one report query; the client retries it at any available dispatcher until its deadline.

python examples/report.py 127.0.0.1:6565 127.0.0.1:6566
"""

import sys

from wickvane_client import Client, Deferred, Group, Killed


def print_event(event, now, **event_fields):
    print(f"{now:.3f} {event} {event_fields}", file=sys.stderr)


def main(addresses):
    groups = {"lookup": Group(timeout=7.5)}
    with Client(addresses, groups, hook=print_event) as client:
        try:
            for row in client.query("lookup", "SELECT day, count(*) FROM sales_1.orders GROUP BY day"):
                print(*row)
        except Deferred as error:
            print(f"no result before the deadline after {error.tries} attempts: {error}", file=sys.stderr)
            return 75  # EX_TEMPFAIL: running the query again is harmless
        except Killed as error:
            print(f"failed: {error}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
