"""What a run of a script came to."""

from bisect import bisect_left

import orjson

from wickvane.units import TICKS_PER_SECOND

RECOVERED = 0.8  # of the service before the first trouble


class Outcome:
    """What a run came to: service by second, breaches of rules, and the log's bytes."""

    def __init__(self, world):
        self.world, self.counts = world, world.counts
        self.breaches, self.checked = [], dict.fromkeys(range(1, 9), 0)
        for host in world.hosts + world.gone:
            found, counts = host.seen.breaches()
            self.breaches += [(rule, f"{host.name}: {text}") for rule, text in found if rule != 4]
            for rule, count in counts.items():
                self.checked[rule] += count if rule != 4 else 0
        counts = dict.fromkeys(range(1, 9), 0)
        sent = sorted(world.cold.sent, key=lambda s: s["at"])
        self.breaches += list(world.cold.cold_engines(sent, {}, counts))
        self.checked[4] = counts[4]

    def service(self, since=0, until=None):
        """The share of the value asked for that was earned, of queries first sent within [since, until)
        seconds."""
        rows = self.world.service[since:until]
        asked = sum(asked for _, asked in rows)
        return sum(earned for earned, _ in rows) / asked if asked else 1.0

    def recovery(self):
        """Seconds from the last trouble's end until service holds again for three seconds; None if it does
        not."""
        script = self.world.script
        if not script.troubles:
            return 0.0
        first = min(t.at for t in script.troubles) // TICKS_PER_SECOND
        over = max(t.at + t.length for t in script.troubles) // TICKS_PER_SECOND
        level = RECOVERED * (self.service(0, first) if first else 1.0)
        for second in range(over, script.length // TICKS_PER_SECOND - 2):
            if self.service(second, second + 3) >= level:
                return float(second - over)
        return None

    def margins(self):
        """By second, how much of what the rules allow was used by the gateway nearest to it: of the budget of
        further submissions, and of what all together may send to a cold engine. None where nothing was sent
        that counts."""
        world = self.world
        seconds = len(world.service)
        budget, cold = [None] * seconds, [None] * seconds
        if world.figures.budget:
            free, share, window = world.figures.budget
            for host in world.hosts + world.gone:
                taken = sorted(q["at"] for q in host.seen.queries.values())
                count, further = {}, []
                for sent in host.seen.sent:  # in the order in which they were seen
                    count[sent["id"]] = count.get(sent["id"], 0) + 1
                    if count[sent["id"]] > 1:
                        further.append(sent["at"])
                for n, at in enumerate(further):
                    many = n + 1 - bisect_left(further, at - window)
                    came = bisect_left(taken, at) - bisect_left(taken, at - window)
                    self.widest(budget, at, many / (free + share * came))
        for at, part in world.cold.cold_shares(sorted(world.cold.sent, key=lambda s: s["at"])):
            self.widest(cold, at, part)
        return {"budget": budget, "cold": cold}

    @staticmethod
    def widest(row, at, part):
        second = min(int(at), len(row) - 1)
        row[second] = round(max(row[second] or 0.0, part), 4)

    def failures(self):
        """What was expected and is not so."""
        found = []
        for expected in self.world.script.expected:
            if expected.what == "no-rule-broken":
                found += [f"rule {rule}: {text}" for rule, text in self.breaches[:20]]
            elif expected.what == "service":
                service = self.service(expected.after // TICKS_PER_SECOND)
                if service < expected.figure:
                    found.append(f"service {service:.3f}, expected above {expected.figure}")
            else:
                recovery = self.recovery()
                if recovery is None or recovery * TICKS_PER_SECOND > expected.figure:
                    found.append(
                        f"recovery {recovery} s, expected within {expected.figure / TICKS_PER_SECOND} s"
                    )
        return found

    def log(self):
        return b"".join(
            orjson.dumps({"at": at / 10, "event": event, **fields}) + b"\n"
            for at, event, fields in self.world.lines or ()
        )
