"""The one rule checker: what engines and clients saw, and every breach of the seven rules in it.

Times are seconds of one clock. A submission is seen by the engine that gets it; how it ended is what the
engine did, "silent" where it did nothing. Figures are handed in; `slack` is what the observers' clocks may be
off by.
"""

from bisect import bisect_left, bisect_right
from threading import Lock

PROVEN = {"turned-away", "refused", "not-sent"}  # ends that prove that nothing ran


class Figures:
    """What the settings ask for. effects: {group: "read-only", "tokened" or "mutating"}; kinds: {group: set};
    cores by kind; cold: (part, seconds until warm, multiple, window); work: seconds a query of a group
    weighs."""

    def __init__(
        self,
        effects,
        kinds=None,
        ordered=(),
        window=12.0,
        grace=2.0,
        rest=0.3,
        budget=None,
        cores=None,
        cold=None,
        work=None,
        slack=0.35,
    ):
        self.effects, self.kinds, self.ordered, self.window = effects, kinds or {}, set(ordered), window
        self.grace, self.rest, self.budget, self.cores, self.cold = grace, rest, budget, cores or {}, cold
        self.work, self.slack = work or {}, slack


class Seen:
    """Events as they happen, from any thread; breaches() looks at all of them."""

    def __init__(self, figures):
        self.figures, self.lock = figures, Lock()
        self.queries, self.sent, self.told, self.kind_of, self.started = {}, [], [], {}, {}

    def taken(self, at, id, group, limit, key=None):
        with self.lock:
            self.queries[id] = {"at": at, "group": group, "limit": limit, "key": key, "answers": []}

    def answered(self, at, id, answer):
        """answer: finished, deferred, killed, or left where the client went away."""
        with self.lock:
            self.queries[id]["answers"].append((at, answer))

    def submitted(self, at, id, engine):
        """A submission reached an engine; the index by which its end is told."""
        with self.lock:
            self.sent.append(
                {"at": at, "id": id, "engine": engine, "end": None, "how": "silent", "gave": None}
            )
            return len(self.sent) - 1

    def ended(self, at, n, how):
        """how: finished, error, turned-away, reset, cancelled."""
        with self.lock:
            if self.sent[n]["end"] is None:
                self.sent[n].update(end=at, how=how)

    def given_up(self, at, n):
        """The dispatcher has given it up, where the observer can tell: an end that crosses that is not known
        to it, however late it sends again."""
        with self.lock:
            self.sent[n]["gave"] = at

    def listed(self, at, engine, state, kind, started=None):
        """state: ready, draining, gone, or back: let in again by whoever drained it by hand."""
        with self.lock:
            self.told.append((at, engine, state))
            self.kind_of[engine] = kind
            if started is not None:
                self.started[engine] = started

    # Checks

    def breaches(self):
        """(breaches as (rule, text), {rule: how much was checked}); 8 is that of one submission out at a
        time."""
        found, counts = [], dict.fromkeys(range(1, 9), 0)
        with self.lock:
            sent = sorted(self.sent, key=lambda s: s["at"])
            of = {id: [] for id in self.queries}
            for s in sent:
                of[s["id"]].append(s)
            for check in (
                self.one_answer,
                self.one_effect,
                self.drains,
                self.cold_engines,
                self.key_order,
                self.placement,
                self.budget,
                self.one_out,
            ):
                found.extend(check(sent, of, counts))
        return found, counts

    def one_answer(self, sent, of, counts):
        slack = self.figures.slack
        for id, q in self.queries.items():
            counts[1] += 1
            if len(q["answers"]) != 1:
                yield 1, f"{id} has {len(q['answers'])} answers"
                continue
            at, answer = q["answers"][0]
            if answer != "left" and at > q["at"] + q["limit"] + slack:
                yield 1, f"{id} was answered {at - q['at'] - q['limit']:.2f} s late"
            for s in of[id]:
                if s["at"] > at + slack:
                    yield 1, f"{id} was sent after its answer"
            if answer == "finished" and not any(s["how"] == "finished" for s in of[id]):
                yield 1, f"{id} was finished by no engine"

    def one_effect(self, sent, of, counts):
        for id, q in self.queries.items():
            effect, mine = self.figures.effects[q["group"]], of[id]
            counts[2] += 1
            ran = [s for s in mine if s["how"] not in PROVEN]
            if effect == "mutating":
                if len(ran) > 1 or any(s["at"] < x["at"] for s in ran for x in mine):
                    yield 2, f"{id} is mutating and was sent again though it may have run"
                if ran and any(answer == "deferred" for _, answer in q["answers"]):
                    yield 2, f"{id} is mutating and was deferred though it may have run"
            elif effect == "tokened" and ran:
                for s in mine:
                    if s["at"] > ran[0]["at"] + self.figures.window + self.figures.slack:
                        yield 2, f"{id} is tokened and was sent again past its window"

    def drains(self, sent, of, counts):
        # From when to when each was not to be sent anything. "ready" alone ends no drain: what comes late or
        # twice says it too.
        left, late = {}, self.figures.grace + self.figures.slack
        for at, engine, state in self.told:
            spans = left.setdefault(engine, [])
            if state == "back" and spans:
                spans[-1][1] = min(spans[-1][1], at)
            elif state not in ("ready", "back") and (not spans or spans[-1][1] < float("inf")):
                spans.append([at, float("inf")])
        for s in sent:
            counts[3] += 1
            if any(since + late < s["at"] < until for since, until in left.get(s["engine"], ())):
                yield 3, f"{s['id']} was sent to {s['engine']} after its drain's grace"

    def cold_shares(self, sent):
        """(at, the part that was used of what may be sent to a cold engine) of each submission to one."""
        for _, at, work, allowed in self.cold_loads(sent):
            yield at, work / allowed

    def cold_loads(self, sent):
        """(engine, at, work within the window, work allowed in it) of each submission to a cold engine."""
        if not self.figures.cold:
            return
        part, warm, multiple, window = self.figures.cold
        for engine, started in self.started.items():
            mine = [
                (s["at"], self.figures.work[self.queries[s["id"]]["group"]])
                for s in sent
                if s["engine"] == engine and started <= s["at"] <= started + warm
            ]
            first = work = 0
            for at, weight in mine:
                work += weight
                while mine[first][0] < at - window:
                    work -= mine[first][1]
                    first += 1
                age = (at - started) / warm
                capacity = self.figures.cores[self.kind_of[engine]] * 0.85 * min(1.0, part + (1 - part) * age)
                yield engine, at, work, multiple * capacity * window + max(self.figures.work.values())

    def cold_engines(self, sent, of, counts):
        for engine, _, work, allowed in self.cold_loads(sent):
            counts[4] += 1
            if work > allowed:
                yield 4, f"{engine} got {work:.1f} s of work in {self.figures.cold[3]} s while cold"

    def key_order(self, sent, of, counts):
        keys, slack = {}, self.figures.slack
        for id, q in sorted(self.queries.items(), key=lambda item: item[1]["at"]):
            if q["key"] is not None and q["group"] in self.figures.ordered:
                keys.setdefault(q["key"], []).append(id)
        for ids in keys.values():
            for n, id in enumerate(ids):
                for s in of[id]:
                    counts[5] += 1
                    for earlier in ids[:n]:
                        answers = self.queries[earlier]["answers"]
                        if not answers or answers[0][0] > s["at"] + slack:
                            yield 5, f"{id} was sent while {earlier} before it is unfinished"
                        for x in of[earlier]:
                            rest = self.figures.rest if x["how"] in ("silent", "reset", "cancelled") else 0.0
                            end = answers[0][0] if x["end"] is None and answers else x["end"]
                            if x["at"] > s["at"] or end is not None and s["at"] < end + rest - slack:
                                yield 5, f"{id} was sent too early behind {earlier}"

    def placement(self, sent, of, counts):
        for s in sent:
            allowed = self.figures.kinds.get(self.queries[s["id"]]["group"])
            counts[6] += 1
            if allowed is not None and self.kind_of.get(s["engine"]) not in allowed:
                yield 6, f"{s['id']} went to {s['engine']}, where its group may not go"

    def budget(self, sent, of, counts):
        if not self.figures.budget:
            return
        free, share, window = self.figures.budget
        slack = self.figures.slack
        further = sorted(s["at"] for mine in of.values() for s in mine[1:])
        took = sorted(q["at"] for q in self.queries.values())
        for n, at in enumerate(further):
            counts[7] += 1
            many = n + 1 - bisect_left(further, at - window)
            taken = bisect_right(took, at + slack) - bisect_left(took, at - window - slack)
            # Wider by 15 in 100 and one, since when a submission is made and when it is seen differ.
            if many > 1.15 * (free + share * taken) + 1:
                yield 7, f"{many} further submissions within {window} s of {taken} queries"

    def one_out(self, sent, of, counts):
        for id, mine in of.items():
            for before, after in zip(mine, mine[1:]):
                counts[8] += 1
                end = before["end"]
                # An end that crossed a cancel on its way was not known to who sent again.
                crossed = before["gave"] is not None and before["gave"] <= (end or 0) + self.figures.slack
                known = before["how"] == "finished" and after["at"] > end + self.figures.slack and not crossed
                if known or end is not None and end > after["at"] + self.figures.slack:
                    yield 8, f"{id} was sent again while it was out, or finished"
