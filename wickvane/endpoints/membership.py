"""What is done with a document: taken, held, refused, applied at once or in steps, turned back; free of I/O.

A document that was read whole and that nothing is wrong with becomes the target. What is told to the decider
(`shown`) follows the target: at once, or a step at a time where the limits say so, or where the weight of an
engine that is still cold rises. Who is taken off the list, or gets weight 0, drains: nothing new goes there,
what runs there is still answered. Who was taken off is kept as draining until nothing runs there any more, or
its time is over.

Everything is written to the journal before it acts, so that a restart goes on from what was at work: the
effects that each call leaves in `out` are in the order in which they must be carried out. apply() makes the
same of a record as what wrote it.

    ("journal", record)                     to be kept before what follows it
    ("tell", number, whole, entries, back)  to the decider; back: names that may take queries again
    ("log", event, fields)

With overrides the coordinator's stream lists the engines, and a document changes weights and drains some:
what the stream says of an engine holds at once, and of two words on it the graver.

Times are tenths of a millisecond.
"""

from typing import NamedTuple

from immutables import Map

from wickvane.endpoints import checks
from wickvane.endpoints import roster as ro
from wickvane.endpoints.findings import HOLD, NOTE, REFUSE, STEPS, Finding, gravest
from wickvane.events import EngineState
from wickvane.units import TICKS_PER_SECOND

GENERATIONS, LOGGED = 64, 256  # kept for rollback; records kept for the log
# Of the told number, below the generation; wickvane.xds.catalog takes the stream's part apart again.
STEP_BITS, STREAM_BITS = 14, 29
ASK_AFTER = TICKS_PER_SECOND  # from which on an engine that leaves is asked for what still runs there
COLD_FACTOR = 2.0  # by which the weight of a cold engine may rise at a time


class Terms(NamedTuple):
    """limits: of checks; step: between two of them; hold: how long a change waits for its confirmation;
    linger: how long one that was taken off is kept as draining at most; overrides: a stream lists the
    engines."""

    limits: checks.Limits = checks.Limits()
    step: int = 2 * TICKS_PER_SECOND
    hold: int = 3600 * TICKS_PER_SECOND
    linger: int = 60 * TICKS_PER_SECOND
    overrides: bool = False


class Held(NamedTuple):
    """A change that waits for its confirmation."""

    roster: ro.Roster
    codes: tuple
    steps: bool
    until: int
    who: str


class Taken(NamedTuple):
    """A generation of the past."""

    roster: ro.Roster
    at: int
    who: str


def nowhere(name):
    return None, None


class Membership:
    """The decisions and state behind a list of engines from watched files."""

    def __init__(self, facts, terms):
        self.facts, self.terms = facts, terms
        self.target, self.shown, self.tally = ro.EMPTY, Map(), checks.Tally(facts)
        self.generation, self.of, self.numbered, self.step = 0, None, 0, 0
        self.file_mark, self.history, self.logged = 0, {}, []
        self.stream, self.stream_number, self.listed = {}, 0, False
        self.pending, self.leaving = set(), {}
        self.held, self.held_as, self.refused = None, None, None
        self.stepping = self.stopped = self.old = False
        self.step_at, self.out = 0, []

    # What a shell asks for

    def effects(self):
        found, self.out = self.out, []
        return found

    @property
    def number(self):
        """Grows with all that is told, and says the same at instances that know the same generation, step
        and event of the stream."""
        ahead = self.generation << STEP_BITS | min(self.step, (1 << STEP_BITS) - 1)
        return ahead << STREAM_BITS | self.stream_number % (1 << STREAM_BITS)

    def next_at(self):
        """When tick() has something to do, None for never."""
        times = [at for at in self.leaving.values()]
        if self.pending and not self.stopped and self.step_at:
            times.append(self.step_at)
        if self.held is not None:
            times.append(self.held.until)
        return min(times, default=None)

    def status(self):
        return {
            "generation": self.generation,
            "of": self.of,
            "digest": self.target.digest,
            "number": self.number,
            "engines": len(self.shown),
            "ready": self.tally.ready,
            "leaving": sorted(self.leaving)[:100],
            "pending": len(self.pending),
            "stepping": self.stepping,
            "stopped": self.stopped,
            "old": self.old,
            "held": self.held
            and {
                "generation": self.held.roster.generation,
                "digest": self.held.roster.digest,
                "codes": list(self.held.codes),
            },
            "refused": self.refused and list(self.refused[2]),
        }

    # A document

    def candidate(self, now, found, generation, findings=(), who="file", load=None, place=nowhere):
        """A document that was read. found: its Roster; generation: as it states, None: it states none;
        findings: of reading it; load: threads at work on the pool, None where nobody knows."""
        findings = list(findings)
        if gravest(findings) == REFUSE:
            return self.refuse(now, found, generation, findings, who)
        if found.mark == self.file_mark and (generation is None or generation <= self.generation):
            # What was taken before: at work, or rolled back and still in the file.
            self.refused = None
            self.let_go("superseded", now)
            if self.old:
                self.old = False
                self.say("members-file-agrees", generation=self.generation, digest=found.digest)
            return None
        if generation is not None and generation <= self.generation:
            code = "generation-same" if generation == self.generation else "generation-back"
            return self.refuse(
                now,
                found,
                generation,
                [
                    *findings,
                    Finding(
                        code, REFUSE, f"it states generation {generation}, and {self.generation} is at work"
                    ),
                ],
                who,
            )
        number = self.number_for(found, generation)
        if self.held is not None and (self.held.roster.mark, self.held.roster.generation) == (
            found.mark,
            number,
        ):
            return None
        roster = found._replace(generation=number)
        moves = self.moves(roster)
        before = {name: self.target.members.get(name) for name in ro.difference(self.target, roster)}
        findings += checks.form(
            self.facts, [roster.members[n] for n in sorted(before) if n in roster.members], place
        )
        findings += self.unlisted(before, roster, place)
        findings += checks.change(self.terms.limits, self.tally, moves, now, load, place)
        what = gravest(findings)
        if what == REFUSE:
            return self.refuse(now, found, generation, findings, who)
        if what == HOLD:
            return self.hold(now, roster, findings, who)
        return self.take(now, roster, who, findings, what == STEPS)

    def number_for(self, found, generation):
        if generation is not None:
            return generation
        if self.held_as is not None and self.held_as[0] == found.mark:
            return self.held_as[1]  # the same again, also over a restart
        return max(self.numbered, self.generation) + 1

    def moves(self, roster):
        """What would be told otherwise than it is: {name: (Member at work, Member wanted)}."""
        found = {}
        for name in self.pending | ro.difference(self.target, roster):
            was, want = self.shown.get(name), self.wanted(name, roster)
            if was != want:
                found[name] = was, want
        return found

    def unlisted(self, names, roster, place):
        if not self.terms.overrides:
            return []
        found = []
        for name in sorted(names):
            if name in roster.members and name not in self.stream:
                found.append(
                    Finding("not-listed", NOTE, "the coordinator does not list it", *place(name), name)
                )
        return found[: checks.NAMED]

    def refuse(self, now, found, generation, findings, who):
        codes = tuple(dict.fromkeys(f.code for f in findings))
        mark = found.mark if found is not None else None
        if self.refused is not None and self.refused == (mark, generation, codes):
            return
        self.refused = mark, generation, codes
        self.keep(
            {
                "what": "refused",
                "at": now,
                "generation": generation,
                "who": who,
                "digest": found.digest if found is not None else None,
                "codes": list(codes),
                "why": [f.sentence() for f in findings[:8]],
            }
        )
        self.say(
            "members-refused",
            generation=generation,
            codes=codes,
            why=[f.sentence() for f in findings[:8]],
            at_work=self.generation,
        )

    def hold(self, now, roster, findings, who):
        self.let_go("replaced", now)
        self.refused = None
        codes = tuple(dict.fromkeys(f.code for f in findings if f.severity != NOTE))
        steps = any(f.severity == STEPS for f in findings)
        self.held = Held(roster, codes, steps, now + self.terms.hold, who)
        self.keep(
            {
                "what": "held",
                "at": now,
                "generation": roster.generation,
                "digest": roster.digest,
                "mark": str(roster.mark),
                "who": who,
                "codes": list(codes),
                "why": [f.sentence() for f in findings[:8]],
            }
        )
        self.say(
            "members-held",
            generation=roster.generation,
            digest=roster.digest,
            codes=codes,
            why=[f.sentence() for f in findings[:8]],
        )

    def let_go(self, why, now):
        if self.held is not None:
            self.say("members-hold-ends", generation=self.held.roster.generation, why=why)
            self.held = None

    def take(self, now, roster, who, findings=(), steps=False, of=None):
        """It is the target from now on."""
        self.let_go("taken" if self.held and self.held.roster.mark == roster.mark else "replaced", now)
        self.refused = None
        names = ro.difference(self.target, roster)
        codes = list(dict.fromkeys(f.code for f in findings))
        self.keep(
            {
                "what": "taken",
                "at": now,
                "generation": roster.generation,
                "digest": roster.digest,
                "who": who,
                "codes": codes,
                "steps": steps,
                "of": of,
                "put": [roster.members[name].plain() for name in sorted(names) if name in roster.members],
                "drop": sorted(name for name in names if name not in roster.members),
            }
        )
        self.say(
            "members-taken",
            generation=roster.generation,
            digest=roster.digest,
            of=of,
            who=who,
            changed=len(names),
            steps=steps,
            codes=codes,
        )
        self.step_at = now
        self.advance(now)

    # What operators say

    def confirm(self, now, generation, who="operator"):
        """A held generation is taken, a stopped one goes on. False where neither waits for it."""
        if self.held is not None and self.held.roster.generation == generation:
            held = self.held
            self.take(
                now, held.roster, who, [Finding(code, NOTE, "confirmed") for code in held.codes], held.steps
            )
            return True
        if self.stopped and generation == self.generation:
            self.keep({"what": "resumed", "at": now, "generation": generation, "who": who})
            self.say("members-resumed", generation=generation)
            self.step_at = now
            self.advance(now)
            return True
        self.say("members-order-for-nothing", order="confirm", generation=generation)
        return False

    def rollback(self, now, generation, who="operator", load=None):
        """The content of an earlier generation is the target again, also midway in steps. The number stays,
        so that the file needs a newer one than the one rolled back. False where that cannot be."""
        past = self.history.get(generation)
        if past is None:
            self.say("members-order-for-nothing", order="rollback", generation=generation)
            return False
        roster = ro.whole(self.generation, past.roster.members.values())
        findings = checks.change(self.terms.limits, self.tally, self.moves(roster), now, load, nowhere)
        if gravest(findings) == REFUSE:
            self.refuse(now, roster, generation, findings, who)
            return False
        self.take(
            now,
            roster,
            who,
            [f._replace(severity=NOTE) for f in findings],
            gravest(findings) == STEPS,
            of=generation,
        )
        return True

    def stop(self, now, who="operator"):
        """Steps under way stop where they are. False where there are none."""
        if self.stopped or not self.pending - set(self.leaving):
            return False
        self.keep({"what": "stopped", "at": now, "generation": self.generation, "who": who})
        self.say("members-stopped", generation=self.generation, pending=len(self.pending))
        return True

    # The stream

    def streamed(self, now, number, whole, entries):
        """An event of the coordinator's; only with overrides."""
        names = set()
        if whole:
            listed = {entry[0] for entry in entries}
            for name in [name for name in self.stream if name not in listed]:
                del self.stream[name]
                names.add(name)
        for name, address, state, zone, kind, cell, started, weight in entries:
            names.add(name)
            if state == EngineState.GONE:
                self.stream.pop(name, None)
            else:
                self.stream[name] = ro.Member(name, address, zone, kind, cell, started, weight, state)
        self.stream_number = max(self.stream_number, number)
        self.pending |= names
        self.advance(now, names)

    # What time brings

    def tick(self, now, busy=None):
        """busy: tells of an engine whether anything runs there, where that can be known."""
        if self.held is not None and now >= self.held.until:
            self.keep({"what": "lapsed", "at": now, "generation": self.held.roster.generation})
            self.let_go("nobody confirmed it", now)
        if busy is not None:
            for name, until in self.leaving.items():
                if now >= until - self.terms.linger + ASK_AFTER and not busy(name):
                    self.leaving[name] = now
        self.advance(now)

    def wanted(self, name, roster=None):
        """As the target has it, under what the stream says."""
        said = (self.target if roster is None else roster).members.get(name)
        if not self.terms.overrides:
            return said
        listed = self.stream.get(name)
        if listed is None or said is None:
            return listed
        more = {field: getattr(said, field) for field, word in GIVEN if word in said.given}
        return listed._replace(**more, state=max(listed.state, said.state))

    def advance(self, now, at_once=frozenset()):
        """Moves what is told towards the target as far as may be now. at_once: names that the stream told of,
        which wait for no step."""
        for name in [name for name in self.leaving if self.wanted(name) is not None]:
            del self.leaving[name]  # listed again before it was gone
        may, waiting = now >= self.step_at and not self.stopped, False
        limits = self.terms.limits
        room = max(1, int(limits.share * self.tally.ready)) if self.stepping else len(self.pending) + 1
        put, drop, entries, back = [], [], [], []
        for name in sorted(self.pending):
            was, want = self.shown.get(name), self.wanted(name)
            if was == want:
                self.pending.discard(name)
                continue
            leaves = want is None and name in self.leaving
            if not may and name not in at_once and not leaves:
                waiting = True
                continue
            going = (
                was is not None
                and was.state == EngineState.READY
                and (want is None or want.state != EngineState.READY)
            )
            if going and name not in at_once:
                if not room:
                    waiting = True
                    continue
                room -= 1
            made = self.made(now, name, was, want, name in at_once)
            if made is None:
                drop.append(name)
                entries.append(was._replace(state=EngineState.GONE).entry())
            elif made != was:
                put.append(made)
                entries.append(made.entry())
                if was is not None and was.state != EngineState.READY and made.state == EngineState.READY:
                    back.append(name)
            if made == want or made is not None and want is not None and made == self.kept(made, want):
                self.pending.discard(name)
            elif want is not None:
                waiting = True
        if put or drop:
            # What the stream alone told, it tells again after a restart; its own number is in the told one.
            mine = not at_once or any(member.name not in at_once for member in put)
            record = {
                "what": "at-work",
                "at": now,
                "step": self.step + mine,
                "put": [member.plain() for member in put],
                "drop": drop,
            }
            (self.keep if mine else self.apply)(record)
            self.out.append(("tell", self.number, not self.listed, entries, back))
            self.listed = True
        if may and waiting:
            self.step_at = now + self.terms.step
        if not waiting:
            self.step_at = 0
            if self.stepping:
                self.stepping = False
                self.say("members-steps-done", generation=self.generation)

    def made(self, now, name, was, want, at_once):
        """What is told next of an engine on the way from `was` to `want`; None once it is gone."""
        if want is None:
            if self.terms.overrides or at_once:
                return None
            if name in self.leaving:
                return None if now >= self.leaving[name] else was
            self.leaving[name] = now + self.terms.linger
            return was._replace(state=EngineState.DRAINING, weight=0.0)
        self.leaving.pop(name, None)
        if was is None:
            # Not known when it started, it counts as started now: cold, which is the careful guess. Those of
            # the first list are what has been running.
            known = want.started or not self.listed or self.terms.overrides
            return want if known else want._replace(started=now // 10)
        made = self.kept(was, want)
        if was.address != want.address and want.started <= was.started and not self.terms.overrides:
            made = made._replace(started=now // 10)  # another process in the place of the first
        if was.state == made.state == EngineState.READY:
            cold = made.started and now - made.started * 10 < self.facts.slow_start_duration
            factor = self.terms.limits.factor if self.stepping else COLD_FACTOR if cold else None
            if factor is not None:
                made = made._replace(
                    weight=min(
                        max(made.weight, was.weight / factor if self.stepping else 0), was.weight * factor
                    )
                )
        return made

    @staticmethod
    def kept(was, want):
        """`want`, but with the start that is known of it."""
        return want._replace(started=max(want.started, was.started))

    # The journal

    def say(self, event, **fields):
        self.out.append(("log", event, fields))

    def keep(self, record):
        self.out.append(("journal", record))
        self.apply(record)

    def apply(self, record):
        """Makes of a record what the call that wrote it made; raises KeyError, TypeError or ValueError where
        it is none. What was at work is told anew after a restart: see start()."""
        what = record["what"]
        if what == "whole":
            self.load(record)
        elif what == "taken":
            put = [ro.member_of(row) for row in record["put"]]
            roster = ro.changed(self.target, record["generation"], put, record["drop"])
            self.pending |= roster.touched
            if record["of"] is None:
                # A rollback leaves the file as it was, which must not be taken for news.
                self.file_mark = roster.mark
                self.history[record["generation"]] = Taken(roster, record["at"], record["who"])
                while len(self.history) > GENERATIONS:
                    del self.history[next(iter(self.history))]
                self.step = 0
            self.target, self.generation, self.of = roster, record["generation"], record["of"]
            self.numbered = max(self.numbered, self.generation)
            self.stepping, self.stopped, self.old, self.held_as = record["steps"], False, False, None
        elif what == "at-work":
            self.step = record["step"]
            for row in record["put"]:
                member = ro.member_of(row)
                was = self.shown.get(member.name)
                if was is not None:
                    self.tally.drop(was)
                self.tally.put(member, record["at"])
                self.shown = self.shown.set(member.name, member)
            for name in record["drop"]:
                self.leaving.pop(name, None)
                was = self.shown.get(name)
                if was is not None:
                    self.tally.drop(was)
                    self.shown = self.shown.delete(name)
            return  # no line of the history that people read
        elif what == "held":
            self.held_as = int(record["mark"]), record["generation"]
            self.numbered = max(self.numbered, record["generation"])
        elif what == "stopped":
            self.stopped = True
        elif what == "resumed":
            self.stopped = False
        elif what not in ("refused", "lapsed"):
            raise ValueError(f"{what!r} is no record")
        if what != "whole":
            short = {
                name: record.get(name)
                for name in ("what", "at", "generation", "digest", "who", "codes", "why", "of", "steps")
                if name in record
            }
            short |= {name: len(record[name]) for name in ("put", "drop") if name in record}
            self.logged = [*self.logged[-LOGGED + 1 :], short]

    def whole(self, now):
        """A record that stands for all before it."""
        generations, before = [], ro.EMPTY
        for number, taken in self.history.items():
            names = sorted(ro.difference(before, taken.roster))
            generations.append(
                [
                    number,
                    taken.at,
                    taken.who,
                    [taken.roster.members[n].plain() for n in names if n in taken.roster.members],
                    [n for n in names if n not in taken.roster.members],
                ]
            )
            before = taken.roster
        names = sorted(ro.difference(before, self.target))
        return {
            "what": "whole",
            "at": now,
            "generation": self.generation,
            "of": self.of,
            "step": self.step,
            "numbered": self.numbered,
            "file_mark": str(self.file_mark),
            "generations": generations,
            "target": [
                [self.target.members[n].plain() for n in names if n in self.target.members],
                [n for n in names if n not in self.target.members],
            ],
            "shown": [member.plain() for _, member in sorted(self.shown.items())],
            "stepping": self.stepping,
            "stopped": self.stopped,
            "logged": self.logged,
            "held_as": self.held_as and [str(self.held_as[0]), self.held_as[1]],
        }

    def load(self, record):
        self.history, before = {}, ro.EMPTY
        for number, at, who, put, drop in record["generations"]:
            before = ro.changed(before, number, [ro.member_of(row) for row in put], drop)
            self.history[number] = Taken(before, at, who)
        put, drop = record["target"]
        self.target = ro.changed(before, record["generation"], [ro.member_of(row) for row in put], drop)
        self.generation, self.of, self.step = record["generation"], record["of"], record["step"]
        self.numbered, self.file_mark = record["numbered"], int(record["file_mark"])
        self.stepping, self.stopped, self.logged = record["stepping"], record["stopped"], record["logged"]
        self.held_as = record["held_as"] and (int(record["held_as"][0]), record["held_as"][1])
        self.shown, self.tally = Map(), checks.Tally(self.facts)
        with self.shown.mutate() as table:
            for row in record["shown"]:
                member = ro.member_of(row)
                table[member.name] = member
                self.tally.put(member, record["at"])
            self.shown = table.finish()

    def start(self, now):
        """After the journal was read: what was at work is told, old until the file agrees. Who was draining
        goes on draining, for a whole time more: when it began is a clock's word from before."""
        self.out.clear()
        if self.terms.overrides:
            # The stream says anew who is there; overrides hold from its first word on.
            self.shown, self.tally = Map(), checks.Tally(self.facts)
            self.pending = set()
            return
        self.pending = set(ro.difference(ro.whole(0, self.shown.values()), self.target))
        self.leaving = {
            name: now + self.terms.linger
            for name, member in self.shown.items()
            if name not in self.target.members and member.state != EngineState.READY
        }
        self.old = bool(self.shown) or bool(self.generation)
        if self.shown:
            self.say(
                "members-from-journal",
                generation=self.generation,
                of=self.of,
                engines=len(self.shown),
                digest=self.target.digest,
            )
            entries = [member.entry() for _, member in sorted(self.shown.items())]
            self.out.append(("tell", self.number, True, entries, []))
            self.listed = True
        if self.pending:
            self.step_at = now + self.terms.step


GIVEN = (
    ("weight", "weight"),
    ("zone", "zone"),
    ("kind", "type"),
    ("cell", "group"),
    ("started", "since_ms"),
    ("address", "address"),
)
