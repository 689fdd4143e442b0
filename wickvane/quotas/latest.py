"""The latest word of each life, and what of it is sent on: no socket, clock or thread.

A word is whole and stamped by its life's own clock; a later one stands in its place. Each is sent on RELAYS
times: whom that misses, the next reaches.
"""

from wickvane.quotas import wire

RELAYS = 3
HEAD = 17  # octets of a word without its rows: life, stamp, their frames


class Latest:
    """A word's rows are a name and whole figures each; most: lives that are held."""

    def __init__(self, most=4096):
        self.most = most
        self.said, self.fresh = {}, {}  # life: (stamp, rows), how often it was sent on

    def says(self, life, t, rows):
        """A life's word by its own stamp, by whatever way it came; whether it was news."""
        before = self.said.get(life)
        if before is not None and t <= before[0] or before is None and len(self.said) >= self.most:
            return False
        self.said[life] = t, rows
        self.fresh[life] = 0
        return True

    def over(self, living):
        for life in [life for life in self.said if life not in living]:
            del self.said[life]
            self.fresh.pop(life, None)

    def page(self, room):
        """([(life, stamp, rows)], room left) for one datagram, what was sent on least first; a word that is
        longer than a datagram is cut to its first rows."""
        found = []
        for life, _ in sorted(self.fresh.items(), key=lambda entry: (entry[1], entry[0])):
            t, rows = self.said[life]
            left, fit = room - HEAD, 0
            for row in rows:
                left -= wire.row_size(*row)
                if left < 0:
                    break
                fit += 1
            if fit < len(rows) and (found or not fit):
                break
            room = max(0, left)
            found.append((life, t, rows[:fit]))
            self.fresh[life] += 1
            if self.fresh[life] >= RELAYS:
                del self.fresh[life]
        return found, room
