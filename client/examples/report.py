"""A report that is asked for until it is there or its time is over, at whichever dispatcher is up.

python examples/report.py 127.0.0.1:6565 127.0.0.1:6566
"""

import sys

from wickvane_client import Client, Deferred, Group, Killed


def heard(event, now, **told):
    print(f"{now:.3f} {event} {told}", file=sys.stderr)


def main(addresses):
    groups = {"lookup": Group(timeout=7.5)}
    with Client(addresses, groups, hook=heard) as client:
        try:
            for row in client.query("lookup", "SELECT day, count(*) FROM sales_1.orders GROUP BY day"):
                print(*row)
        except Deferred as error:
            print(f"not in time, {error.tries} tries: {error}", file=sys.stderr)
            return 75  # EX_TEMPFAIL: running it again is harmless
        except Killed as error:
            print(f"failed: {error}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
