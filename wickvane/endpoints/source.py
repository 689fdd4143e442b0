"""The list of engines from watched files, beside the coordinator's stream or in its place: the shell around
wickvane.endpoints.membership.

The border is the coordinator's own: told(number, whole, entries, back) hears of each change, in the order of
its numbers, from one thread or another, never two at a time. A lock guards the state; files are read and
parsed outside it, so that the stream's word waits for no long file.
"""

import os
import threading
import time
from collections import deque

import orjson

from wickvane.endpoints import document, journal, watch
from wickvane.endpoints.findings import REFUSE, Finding, Unfit
from wickvane.endpoints.gather import Gathered
from wickvane.endpoints.membership import Membership
from wickvane.endpoints.part import EVENTS
from wickvane.errors import ConfigError
from wickvane.net.threads import Threads

AGAIN = 20_000  # a change that was refused by what is at work is looked at anew so often
LOAD_OVER, WAIT_MOST_S, ORDERS_MOST, ORDER_OCTETS = 100_000, 1.0, 64, 4096
STATUS, ORDERS = "status.json", "orders"


class Source:
    """load: threads that this dispatcher has at work, times what stands for the others; busy: whether
    anything runs on an engine; either None where nobody knows."""

    def __init__(self, part, facts, told, clock, log, counters, load=None, busy=None, name=""):
        self.part, self.told, self.clock, self.log, self.counters = part, told, clock, log, counters
        self.load, self.busy, self.name = load, busy, name
        self.membership, self.gathered = Membership(facts, part.terms), Gathered()
        self.lock, self.woken, self.stopping = threading.Lock(), threading.Event(), False
        self.still, self.broken, self.ignored = watch.Stillness(part.still), {}, None
        self.loads, self.offered_at, self.offered, self.waker = deque(), 0, False, None
        self.again_at, self.writer = None, "file"
        self.journal, self.torn, self.shown = None, False, None
        if part.state:
            self.restore()

    # The journal

    def restore(self):
        """What was at work, before anything is told. Raises ConfigError."""
        try:
            os.makedirs(os.path.join(self.part.state, ORDERS), 0o700, exist_ok=True)
            self.journal = journal.Journal(self.part.state)
            orders = os.path.join(self.part.state, ORDERS)
            for name in os.listdir(orders):  # answers that nobody has waited for
                if name.endswith((".answer", ".fresh", ".new")):
                    os.unlink(os.path.join(orders, name))
            records = self.journal.read()
        except journal.InUse as error:
            raise ConfigError(f"members: {error}", 2) from None
        except OSError as error:
            raise ConfigError(f"members: {self.part.state} cannot be used: {error.strerror}", 2) from None
        except journal.Unreadable as error:
            # What cannot be read is kept for people to look at; nothing is known then.
            self.torn, records = True, []
            self.counters.add("members-journal-unreadable")
            self.log.line("members-journal-unreadable", why=str(error))
            os.replace(self.journal.path, f"{self.journal.path}.unreadable-{self.clock.now()}")
        try:
            for record in records:
                self.membership.apply(record)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ConfigError(
                f"members: the journal in {self.part.state} has a record that cannot be used: "
                f"{type(error).__name__}: {error}",
                2,
            ) from None

    def carry(self):
        """Carries out what was decided, in its order; under the lock."""
        effects = self.membership.effects()
        for kind, *rest in effects:
            if kind == "journal":
                self.keep(rest[0])
            elif kind == "tell":
                number, whole, entries, back = rest
                self.counters.add("members-told")
                self.counters.add("members-entries-told", len(entries))
                self.told(number, whole, entries, back)
            else:
                event, fields = rest
                self.counters.add(event)
                self.log.line(event, **fields)
        if self.journal is not None and effects and (self.torn or self.journal.full()):
            self.compact()
        self.show()

    def keep(self, record):
        if self.journal is None or self.torn:
            return
        try:
            self.journal.keep(record)
        except OSError as error:
            # A list that cannot be written down still has to be acted on; a restart would not know of it.
            self.unkept(error)

    def unkept(self, error):
        self.torn = True
        self.counters.add("members-journal-failed")
        self.log.line("members-journal-failed", why=error.strerror)

    def compact(self):
        try:
            self.journal.compact(self.membership.whole(self.clock.now()))
            self.torn = False
        except OSError as error:
            self.unkept(error)

    def show(self):
        """What the tools read, where it is another than before."""
        if not self.part.state:
            return
        found = self.membership.status()
        if found == self.shown:
            return
        self.shown = found
        path = os.path.join(self.part.state, STATUS)
        try:
            with open(path + ".fresh", "wb") as file:
                file.write(
                    orjson.dumps(found | {"name": self.name, "pid": os.getpid(), "at": self.clock.now()})
                )
            os.replace(path + ".fresh", path)
        except OSError:
            self.counters.add("members-status-failed")

    # Life

    def start(self, known=()):
        """Tells what was at work, and what the file has now, before this returns. known: events of the
        stream's list that the configuration has."""
        with self.lock:
            self.membership.start(self.clock.now())
            self.carry()
        for event in known:
            self.streamed(*event)
        self.look()
        by = self.clock.now() + 10 * self.part.still
        while not self.offered and self.clock.now() < by and not self.stopping:
            time.sleep(self.part.still / 20_000)
            self.look()
        folders = {self.part.path if self.part.directory else os.path.dirname(self.part.path) or "."}
        if self.part.state:
            folders.add(os.path.join(self.part.state, ORDERS))
        if self.part.watch == EVENTS:
            self.waker = watch.Waker(sorted(folders), self.woken, self.fell_back)
            self.waker.start()
        Threads(self.log, self.counters).needed(self.run, "members")

    def fell_back(self, why):
        self.counters.add("members-watch-failed")
        self.log.line("members-watch-failed", why=why, poll=self.part.poll / 10_000)

    def run(self):
        while not self.stopping:
            wait = min(self.part.poll / 10_000, WAIT_MOST_S)
            with self.lock:
                at = self.membership.next_at()
            now = self.clock.now()
            if at is not None:
                wait = min(wait, max(0.005, (at - now) / 10_000))
            if self.again_at is not None:
                wait = min(wait, max(0.005, (self.again_at - now) / 10_000))
            self.woken.wait(wait)
            self.woken.clear()
            try:
                self.look()
            except Exception as error:  # the list at work stays, and the next look is another chance
                self.counters.add("faults")
                self.log.line("fault", error=f"{type(error).__name__}: {error}", where="members")

    def wake(self):
        """Looks at once, as a signal asks for."""
        self.woken.set()

    def stop(self):
        self.stopping = True
        if self.waker:
            self.waker.stop()
        self.woken.set()
        with self.lock:
            if self.journal is not None:
                self.journal.close()
                self.journal = None

    def streamed(self, number, whole, entries):
        """An event of the coordinator's stream, where the files override it."""
        with self.lock:
            self.membership.streamed(self.clock.now(), number, whole, entries)
            self.carry()

    # Looking

    def look(self):
        now = self.clock.now()
        self.measure(now)
        self.take_orders()
        fresh = self.read(now)
        with self.lock:
            if self.stopping:
                return
            now = self.clock.now()
            if fresh:
                self.offer(now)
            elif self.membership.refused is not None and now >= self.offered_at + AGAIN:
                self.offer(now)
            self.membership.tick(now, self.busy)
            self.carry()

    def measure(self, now):
        if self.load is None:
            return
        found = self.load()
        if found is not None:
            self.loads.append((now, found))
        while self.loads and self.loads[0][0] < now - LOAD_OVER:
            self.loads.popleft()

    def seen_load(self):
        return sum(load for _, load in self.loads) / len(self.loads) if self.loads else None

    def read(self, now):
        """Takes in what changed on disk; whether anything did."""
        part = self.part
        try:
            there, ignored = watch.look(part.path, part.directory, part.files)
        except Unfit as wrong:
            return self.folder_is(wrong.finding)
        if ignored != self.ignored:
            self.ignored = ignored
            for name in ignored[:8]:
                self.log.line("members-part-ignored", file=name)
        due, gone, self.again_at = self.still.look(now, there)
        problem = None
        if not there and self.again_at is None:
            problem = Finding("missing", REFUSE, "it is not there", part.path)
        elif self.still.restless:
            problem = Finding("never-still", REFUSE, "it changes all the time", part.path)
        read = self.folder_is(problem) or bool(gone)
        for file in gone:
            self.still.took(file, None)
            self.gathered.drop(file)
            self.broken.pop(file, None)
        for file in due:
            read |= self.read_one(file, there[file])
        return read

    def read_one(self, file, state):
        path = os.path.join(self.part.path, file) if self.part.directory else self.part.path
        try:
            got = watch.take(path, file, self.part.most)
            if got is None:
                self.again_at = self.clock.now() + self.part.still
                return False
            data, state, self.writer = got
            part = document.read(
                data, file, self.part.sealed, self.part.engines, self.part.terms.overrides, give_way
            )
            self.broken.pop(file, None)
            self.gathered.put(part)
            self.counters.add("members-files-read")
        except Unfit as wrong:
            self.broken[file] = wrong.finding
            self.counters.add(f"members-unfit-{wrong.finding.code}")
        self.still.took(file, state)
        return True

    def folder_is(self, problem):
        """What is wrong with all of it, None where nothing is; whether that is news."""
        before = self.broken.pop("", None)
        if problem is not None:
            self.broken[""] = problem
        code = problem and problem.code
        if code == (before and before.code):
            return False
        if code:
            self.counters.add(f"members-unfit-{code}")
        return True

    def offer(self, now):
        """Hands what the files say to the membership; under the lock."""
        self.offered_at, self.offered = now, True
        roster = self.gathered.settle()
        findings = [*self.broken.values(), *self.gathered.findings()]
        if len(roster.members) > self.part.engines:
            findings.append(
                Finding(
                    "too-many-engines",
                    REFUSE,
                    f"all files list {len(roster.members)} engines of {self.part.engines} at most",
                    self.part.path,
                )
            )
        self.membership.candidate(
            now,
            roster,
            self.gathered.generation(),
            findings,
            self.writer,
            self.seen_load(),
            self.gathered.place_of,
        )

    # Orders of operators

    def take_orders(self):
        if not self.part.state:
            return
        folder = os.path.join(self.part.state, ORDERS)
        try:
            names = sorted(name for name in os.listdir(folder) if name.endswith(".order"))[:ORDERS_MOST]
        except OSError:
            return
        for name in names:
            path = os.path.join(folder, name)
            try:
                data, _, who = watch.take(path, name, ORDER_OCTETS) or (b"", None, "")
                found = orjson.loads(data)
                answer = self.order(found["order"], found.get("generation"), f"{who.replace('file of ', '')}")
            except Unfit as wrong:
                answer = str(wrong)
            except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError):
                answer = "it cannot be understood"
            try:
                os.unlink(path)
                with open(path.removesuffix(".order") + ".fresh", "wb") as file:
                    file.write(orjson.dumps(answer))
                os.replace(path.removesuffix(".order") + ".fresh", path.removesuffix(".order") + ".answer")
            except OSError:
                self.counters.add("members-orders-unanswered")

    def order(self, what, generation, who):
        with self.lock:
            now, members = self.clock.now(), self.membership
            if what == "stop":
                done = members.stop(now, who)
            elif what in ("confirm", "rollback") and isinstance(generation, int):
                if what == "confirm":
                    done = members.confirm(now, generation, who)
                else:
                    done = members.rollback(now, generation, who, self.seen_load())
            else:
                return "it cannot be understood"
            self.carry()
        if done:
            return "done"
        return "it cannot be rolled back" if what == "rollback" else "nothing waits for it"

    def status(self):
        with self.lock:
            return self.membership.status() | {
                "files": len(self.gathered.parts),
                "broken": sorted({f.code for f in self.broken.values()}),
            }


def give_way():
    """Lets other threads compute: each would else wait for a long list's end."""
    time.sleep(0)
