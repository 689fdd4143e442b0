"""A log of policies that a majority of voters agrees on: no socket, clock, file or thread.

After the published algorithm (Raft; Ongaro and Ousterhout 2014, with pre-votes, and voters that change one at
a time). One Voter is called with what came and the time, and returns what to do, in order:

    ("save", record)          on disk before anything behind it is done; if it cannot be, the rest is dropped
    ("send", to, message)     may be lost, late, doubled
    ("committed", index, entry)

Why no index has two contents: a vote is on disk before it is said, a voter has one a term, and only whose log
is no older than the voter's gets it; an entry is committed when a majority of the voters that are at work at
the leader has it on disk, and it is of the leader's own term. Voters change by entries of the log, each of
which adds or takes one, at work as soon as it is in the log, the next only once it is committed: any two
majorities next to each other meet in one voter.

A voter whose disk was lost must not vote again under its former name: `fresh` starts with no right to vote,
follows, and is a voter again once an entry of the log lets its new mark in. Marks, not names, are voters.

Times are tenths of a millisecond of a clock that does not step; chance is the caller's seeded Random.
"""

from typing import NamedTuple

from wickvane.units import TICKS_PER_SECOND

ELECT_LEAST, ELECT_MOST = (
    3 * TICKS_PER_SECOND // 2,
    3 * TICKS_PER_SECOND,
)  # silence of a leader, by lot, until another is sought
BEAT = TICKS_PER_SECOND // 2
ENTRIES_MOST = 16  # in one message
FOLLOWER, SEEKER, CANDIDATE, LEADER = range(4)
ASK_VOTE, VOTE, APPEND, APPENDED = range(4)
NOTHING, POLICY, START, ABANDON, VOTERS = range(5)  # kinds of entries


class Entry(NamedTuple):
    """One place of the log. kind: NOTHING marks a leader's beginning; what: of a POLICY (number, digest,
    text), of START and ABANDON its number, of VOTERS their marks."""

    term: int
    kind: int
    what: object = None


class Voter:
    """me: this one's mark; voters: the marks that the log begins with; saved: (term, voted for, log) as was
    last saved, None for a disk that holds nothing."""

    def __init__(self, now, me, voters, chance, saved=None):
        self.me, self.first, self.chance, self.now = me, tuple(voters), chance, now
        self.term, self.voted, log = saved or (0, None, ())
        self.log = list(log)  # place 1 is log[0]
        self.committed = 0
        self.role, self.leader, self.out = FOLLOWER, None, []
        self.votes, self.next, self.match, self.heard = set(), {}, {}, {}
        self.leader_at, self.beat_at, self.mute = now, now, False
        self.elect_at = now + self.patience()

    def patience(self):
        return self.chance.randrange(ELECT_LEAST, ELECT_MOST)

    # What is known

    def voters(self):
        """Those at work: of the last entry that names them, committed or not."""
        for entry in reversed(self.log):
            if entry.kind == VOTERS:
                return entry.what
        return self.first

    def last(self):
        """(term, place) of the log's end; of two logs the greater is the newer."""
        return (self.log[-1].term if self.log else 0), len(self.log)

    def term_at(self, place):
        return self.log[place - 1].term if 0 < place <= len(self.log) else 0

    def majority(self, marks):
        voters = self.voters()
        return 2 * sum(mark in marks for mark in voters) > len(voters)

    def contact(self):
        """Whether this leader was answered by a majority lately; else it may no longer be one."""
        recent = {mark for mark, at in self.heard.items() if self.now - at < ELECT_LEAST} | {self.me}
        return self.role == LEADER and self.majority(recent)

    # Rounds

    def round(self, now, came=()):
        """came: (from whom, message). What to do, in order."""
        self.now, self.out = now, []
        if not self.mute:
            for sender, message in came:
                HANDLERS[message[0]](self, sender, *message[1:])
            self.due()
        found, self.out = self.out, []
        return found

    def due(self):
        now = self.now
        if self.role == LEADER:
            if not self.contact() and now - self.leader_at >= ELECT_MOST:
                self.follows(self.term, None)  # cut off with the smaller part: others may have a leader
            elif now >= self.beat_at:
                self.beat_at = now + BEAT
                for mark in self.others():
                    self.append(mark)
        elif now >= self.elect_at:
            self.elect_at = now + self.patience()
            if self.me in self.voters():
                self.seek()

    def others(self):
        """Whom a leader tells: voters, and those that follow it."""
        return [mark for mark in dict.fromkeys((*self.voters(), *self.next)) if mark != self.me]

    def failed_to_save(self):
        """The disk refused: nothing that was not saved was said; this one says nothing until it is whole."""
        self.mute = True

    def save(self):
        self.out.append(("save", (self.term, self.voted, tuple(self.log))))

    def say(self, to, *message):
        self.out.append(("send", to, message))

    # Electing

    def seek(self):
        """Asks first whether it would be elected: one that was cut off must not disturb the others."""
        self.role, self.leader, self.votes = SEEKER, None, {self.me}
        self.ask(self.term + 1, True)

    def stand(self):
        self.role, self.term, self.voted, self.votes = CANDIDATE, self.term + 1, self.me, {self.me}
        self.save()
        self.ask(self.term, False)

    def ask(self, term, only_asks):
        if self.majority(self.votes):
            return self.won(only_asks)
        for mark in self.voters():
            if mark != self.me:
                self.say(mark, ASK_VOTE, term, *self.last(), only_asks)

    def asked_vote(self, sender, term, last_term, last_place, only_asks):
        newer = (last_term, last_place) >= self.last()
        if only_asks and term <= self.term:
            # Else one with the newest log and an old term would be refused for good, and elect nobody.
            return self.say(sender, VOTE, self.term, False, False)
        if only_asks:
            quiet = self.now - self.leader_at >= ELECT_LEAST and self.role != LEADER
            self.say(sender, VOTE, term, newer and quiet, True)
            return
        if term > self.term:
            self.follows(term, None)
        grants = term == self.term and newer and self.voted in (None, sender) and self.me in self.voters()
        if grants and self.voted is None:
            self.voted, self.elect_at = sender, self.now + self.patience()
            self.save()
        self.say(sender, VOTE, self.term, grants, False)

    def voted_for(self, sender, term, granted, only_asked):
        if term > self.term and not only_asked:
            return self.follows(term, None)
        wanted = (SEEKER, self.term + 1) if only_asked else (CANDIDATE, self.term)
        if granted and (self.role, term) == wanted:
            self.votes.add(sender)
            if self.majority(self.votes):
                self.won(only_asked)

    def won(self, only_asked):
        if only_asked:
            return self.stand()
        self.role, self.leader, self.leader_at = LEADER, self.me, self.now
        self.next = {mark: len(self.log) + 1 for mark in self.voters() if mark != self.me}
        self.match, self.heard = dict.fromkeys(self.next, 0), {}
        # What former leaders left is committed by an entry of this term alone.
        self.add(NOTHING)

    def follows(self, term, leader):
        self.role, self.leader = FOLLOWER, leader
        if term > self.term:
            self.term, self.voted = term, None
            self.save()
        self.elect_at = self.now + self.patience()

    # The log

    def add(self, kind, what=None):
        """By the leader alone: a new entry; its place, or None where it cannot be taken."""
        if self.role != LEADER:
            return None
        if kind == VOTERS:
            now, then = set(self.voters()), set(what)
            pending = any(entry.kind == VOTERS for entry in self.log[self.committed :])
            own = self.term_at(self.committed) == self.term
            if len(now ^ then) != 1 or pending or not own or not then:
                return None
        self.log.append(Entry(self.term, kind, what))
        self.save()
        for mark in self.others():
            self.next.setdefault(mark, len(self.log))
            self.append(mark)
        self.advance()
        return len(self.log)

    def append(self, mark):
        place = self.next.get(mark, len(self.log) + 1)
        entries = tuple(self.log[place - 1 : place - 1 + ENTRIES_MOST])
        self.say(mark, APPEND, self.term, place - 1, self.term_at(place - 1), entries, self.committed)

    def appended_to(self, sender, term, place, place_term, entries, committed):
        if term < self.term:
            return self.say(sender, APPENDED, self.term, False, 0)
        if term > self.term or self.role != FOLLOWER or self.leader != sender:
            self.follows(term, sender)
        self.leader_at, self.elect_at = self.now, self.now + self.patience()
        if place > len(self.log) or self.term_at(place) != place_term:
            return self.say(sender, APPENDED, term, False, min(place, len(self.log) + 1) - 1)
        changed = False
        for n, entry in enumerate(entries, place + 1):
            if self.term_at(n) == entry.term:
                continue
            # What differs was never committed, or this leader would have it.
            del self.log[n - 1 :]
            self.log.append(entry)
            changed = True
        if changed:
            self.save()
        last = place + len(entries)
        self.commit(min(committed, last))
        self.say(sender, APPENDED, term, True, last)

    def appended(self, sender, term, good, place):
        if term > self.term:
            return self.follows(term, None)
        if self.role != LEADER or term < self.term or sender not in self.next:
            return
        self.heard[sender] = self.now
        if not good:
            self.next[sender] = max(1, min(self.next[sender] - 1, place + 1))
            return self.append(sender)
        self.match[sender] = max(self.match.get(sender, 0), place)
        self.next[sender] = max(self.next[sender], place + 1)
        self.advance()
        if self.next[sender] <= len(self.log):
            self.append(sender)

    def advance(self):
        for place in range(len(self.log), self.committed, -1):
            holders = {mark for mark, match in self.match.items() if match >= place} | {self.me}
            if self.term_at(place) == self.term and self.majority(holders):
                self.commit(place)
                break

    def commit(self, place):
        while self.committed < place:
            self.committed += 1
            self.out.append(("committed", self.committed, self.log[self.committed - 1]))


HANDLERS = (Voter.asked_vote, Voter.voted_for, Voter.appended_to, Voter.appended)
