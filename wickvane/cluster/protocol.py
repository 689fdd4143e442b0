"""One dispatcher among its peers: what it says to whom and when, free of I/O.

round() is called once with all that came in and a writer, as the decision module is. A message is a plain
tuple; its fields go straight into came(). Membership, detection and standing are their own modules; here is
what joins them: answers, rumours that ride on them, the full exchange, seeds, those thought lost, the end.

Every message bears its sender's name, epoch and a counter, and the epoch of the life that it is for: what was
said to or by a former life is refused, and so is what comes twice. Times are tenths of a millisecond of a
clock that does not step.
"""

from random import Random

from wickvane.cluster import standing as st
from wickvane.cluster.detector import STILL, Detector
from wickvane.cluster.membership import (
    ALIVE,
    BUCKETS,
    FAILED,
    JOINING,
    LEFT,
    NEVER,
    STATES,
    SUM,
    SUSPECT,
    Table,
)
from wickvane.units import TICKS_PER_SECOND

PING, ACK, ASK, NACK, RELAYED, SYNC, ENTRIES, GOSSIP, CARRY = range(9)
DATAGRAM = 1200  # octets, so that no path cuts it up
HEAD = 180  # of them for what is no entry, at most
GOSSIP_EVERY, FANOUT = TICKS_PER_SECOND // 5, 3
SYNC_EVERY, JOIN_FIRST, JOIN_MOST = 5 * TICKS_PER_SECOND, TICKS_PER_SECOND // 2, 30 * TICKS_PER_SECOND
LOST_EVERY, SEEDS_EVERY, AGE_EVERY = 2 * TICKS_PER_SECOND, 30 * TICKS_PER_SECOND, TICKS_PER_SECOND
STRAY_EVERY = TICKS_PER_SECOND // 5  # answers to lives that know no better, whoever they are
PAGES = 6  # datagrams of entries in one exchange
SENT_RATE, SENT_BURST = 100, 200  # datagrams a second, whatever the size of the fleet or what comes in
AGREE = 4 * TICKS_PER_SECOND  # a view heard of longer ago says nothing of now
TELLING = 8  # members that are told first-hand that this one leaves
ALONE_MOST = 60 * TICKS_PER_SECOND  # who is answered by nobody calls nobody failed for so long


class Node:
    """seeds: addresses that are asked first; configured: how many dispatchers the settings count;
    told: called with (event, fields)."""

    def __init__(
        self,
        now,
        name,
        epoch,
        address,
        seeds,
        configured,
        seed,
        told,
        period=TICKS_PER_SECOND // 2,
        most=4096,
        remember=24 * 3600 * TICKS_PER_SECOND,
    ):
        self.chance = Random(f"{seed}/peers/{name}")
        self.table = Table(now, name, epoch, address, most, remember, told)
        self.detector = Detector(now, self.table, self.chance, period)
        self.configured, self.told = configured, told
        self.seeds, self.counter, self.now, self.out = list(seeds), 0, now, None
        self.join_pause, self.join_at = JOIN_FIRST, now + self.chance.randrange(JOIN_FIRST)
        self.gossip_at, self.sync_at = now + GOSSIP_EVERY, now + self.spread(SYNC_EVERY)
        self.lost_at, self.age_at = now + self.spread(LOST_EVERY), now + AGE_EVERY
        self.stray_at = now
        self.tokens, self.tokens_at = float(SENT_BURST), now
        self.wakes, self.hearing_at, self.refused, self.stands = now + period, now, {}, None
        self.over, self.rider = False, None  # rider: what else goes round by these datagrams

    def spread(self, time):
        return int(time * self.chance.uniform(0.75, 1.25))

    # Rounds

    def round(self, now, came, out):
        """came: messages as tuples of came()'s fields past `now`. out.send(address, message) is called for
        each that leaves."""
        late, self.now, self.out = now - self.wakes, now, out
        if late > STILL:
            # Before anything is judged: the answers may lie among what came.
            self.detector.stands_still(now, late)
            self.told("peers-stood-still", {"ms": late // 10})
        for message in came:
            self.came(*message)
        if not self.over:
            self.detector.tick(now, self)
            self.due()
        if self.rider is not None:
            self.rider.round(now)  # also past the end: what it counted until the last query is told
        self.out = None
        self.wakes = self.next_at()
        return self.wakes

    def next_at(self):
        if self.over:
            # Only what came is answered: the times of what is no longer done lie in the past.
            return max(
                self.now + 1, self.rider.next_at if self.rider is not None else self.now + TICKS_PER_SECOND
            )
        times = [self.detector.next_at(), self.sync_at, self.lost_at, self.age_at]
        if self.seeds:
            times.append(self.join_at)
        if self.table.rumours and len(self.table.living) > 1:
            times.append(self.gossip_at)
        if self.rider is not None:
            times.append(self.rider.next_at)
        return max(self.now + 1, min(times))

    def due(self):
        now, table = self.now, self.table
        if now >= self.age_at:
            self.age_at = now + AGE_EVERY
            table.age(now)
        if self.seeds and now >= self.join_at:
            self.ask_seeds()
        if now >= self.sync_at:
            self.sync_at = now + self.spread(SYNC_EVERY)
            for row in self.detector.some(1):
                self.sync(row)
        if now >= self.lost_at:
            self.lost_at = now + self.spread(LOST_EVERY)
            self.ask_lost()
        if table.rumours and now >= self.gossip_at:
            self.gossip_at = now + GOSSIP_EVERY
            for row in self.detector.some(FANOUT):
                self.say(row, GOSSIP)

    def ask_seeds(self):
        """Until somebody is known, with pauses that grow; then now and then those at which nobody is known:
        two fleets that came up apart would else never meet."""
        table = self.table
        known = {table.address[row] for row in table.living}
        unknown = [seed for seed in self.seeds if seed not in known]
        alone = len(table.living) == 1
        for seed in self.chance.sample(unknown, min(3, len(unknown))):
            self.send(seed, 0, SYNC, 1, sums=table.sums_told())
        if alone:
            self.join_at = self.now + self.spread(self.join_pause)
            self.join_pause = min(JOIN_MOST, 2 * self.join_pause)
        else:
            self.join_at, self.join_pause = self.now + self.spread(SEEDS_EVERY), JOIN_FIRST

    def ask_lost(self):
        """One that is thought failed may only have been cut off: the two sides find each other by this."""
        table = self.table
        lost = sorted(row for row in table.dead if table.state[row] == FAILED)
        if lost:
            self.sync(self.chance.choice(lost))
        elif len(table.living) > 1 and table.state[0] == JOINING:
            self.sync(self.chance.choice([row for row in table.living if row]))

    # The detector's writer

    def ping(self, row, seq):
        self.say(row, PING, seq)

    def ask(self, helper, row, seq):
        self.say(helper, ASK, seq, about=(self.table.name[row], self.table.epoch[row]))

    def nack(self, whose, seq):
        if whose in self.table.place:
            self.say(whose, NACK, seq)

    def suspected(self, row, helpers):
        """By this life; helpers that had no answer either are others that suspect it."""
        table = self.table
        for by in [table.name[0], *(table.name[helper] for helper in helpers)]:
            self.hears(
                table.name[row], table.epoch[row], table.address[row], table.incarnation[row], SUSPECT, by
            )
        self.say(row, GOSSIP)  # it should hear of it first

    def failed(self, row):
        table = self.table
        if table.state[row] != SUSPECT:
            return
        if self.detector.unheard(self.now) and self.now - table.since[row] < ALONE_MOST:
            # Nobody answers at all: the cut is as likely on this side.
            self.detector.until[row] = (self.now, TICKS_PER_SECOND, TICKS_PER_SECOND)
            return
        table.becomes(self.now, row, table.incarnation[row], FAILED, table.name[0])

    # What comes in

    def came(self, kind, name, epoch, counter, to, number, digest, seq, about, sums, entries):
        now, table = self.now, self.table
        if name == table.name[0] and epoch == table.epoch[0]:
            return self.refuse("own")
        if not entries or entries[0][:2] != (name, epoch):
            return self.refuse("nameless")
        if to != table.epoch[0] and (to != 0 or kind != SYNC):
            # Said to a life before this one: acts on nothing. But there is somebody, who knows no better.
            if to < table.epoch[0] and now >= self.stray_at:
                self.stray_at = now + STRAY_EVERY
                self.send(entries[0][2], 0, SYNC, 1, sums=table.sums_told())
            return self.refuse("former-receiver")
        row = table.rows.get((name, epoch))
        if row is not None and not table.fresh(row, counter):
            return self.refuse("replayed")
        if row is not None and table.state[row] == LEFT:
            if kind == CARRY and entries[0][4] == LEFT:
                return self.carried(row, seq, about, sums)  # it ends what it has, and tells of that
            return self.tell_over(entries[0])
        self.hears(*entries[0], direct=True)
        if row is None:
            row = table.rows.get((name, epoch))
            if row is None and epoch > table.floors.get(name, 0):
                return self.refuse("full")
            if row is None or table.state[row] == LEFT:
                return self.tell_over(entries[0])
            table.fresh(row, counter)
        table.heard[row] = self.hearing_at = now
        if to:
            self.known()
        table.hears_view(now, row, number, digest)
        for entry in entries[1:]:
            self.hears(*entry)
        if self.table.state[0] != LEFT or kind == PING:
            self.ANSWERS[kind](self, row, seq, about, sums)

    def tell_over(self, entry):
        """A life that is over by all that is known here speaks: it was forgotten by hand, or its clock went
        back behind a former life's at its address. It is told, and comes back as a later one."""
        name, epoch, address, _, state, _ = entry
        self.refuse("former-life")
        if state == LEFT or self.now < self.stray_at:
            return
        self.stray_at = self.now + STRAY_EVERY
        table = self.table
        last = max(
            [
                table.floors.get(name, 0),
                *(table.epoch[row] for row in table.of_name.get(name, ()) if table.address[row] == address),
            ]
        )
        self.send(address, epoch, GOSSIP, raw=[(name, max(last, epoch), address, 0, LEFT, table.name[0])])

    def known(self):
        """Somebody speaks to this very life: it is heard, and has joined."""
        if self.table.state[0] == JOINING:
            self.table.becomes(self.now, 0, self.table.incarnation[0], ALIVE, "")
            self.told("peers-joined", {"epoch": self.table.epoch[0]})

    def hears(self, name, epoch, address, incarnation, state, by, direct=False):
        row = self.table.hears(self.now, name, epoch, address, incarnation, state, by, direct)
        if row:
            if self.table.state[row] == SUSPECT:
                self.detector.suspects(self.now, row, state == FAILED)
            else:
                self.detector.clears(row)

    def pinged(self, row, seq, about, sums):
        self.say(row, ACK, seq)

    def acked(self, row, seq, about, sums):
        found = self.detector.acked(self.now, row, seq)
        if found is not None and found[0] in self.table.place:
            self.say(found[0], RELAYED, found[1])

    def asked_to_ping(self, row, seq, about, sums):
        found = self.table.rows.get(tuple(about or ()))
        if not found or found not in self.table.place:
            return
        mine = self.detector.pinged_for(self.now, row, seq, found)
        if mine is not None:
            self.say(found, PING, mine)

    def nacked(self, row, seq, about, sums):
        self.detector.nacked(self.now, row, seq)

    def relayed(self, row, seq, about, sums):
        probe = self.detector.probe
        if probe is not None:
            self.detector.acked(self.now, probe[0], seq)

    def synced(self, row, seq, about, sums):
        """Another's sums: it gets what it may lack, and is asked for the same with seq 1."""
        if len(sums) != BUCKETS * SUM:
            return
        differing = self.table.differing(sums)
        if seq:
            self.say(row, SYNC, 0, sums=self.table.sums_told())
        if differing:
            self.chance.shuffle(differing)
            self.send_entries(row, self.table.rows_in(differing))

    def send_entries(self, row, rows):
        page, room = [], DATAGRAM - HEAD - self.table.size(0)
        pages = 0
        for entry in rows:
            size = self.table.size(entry)
            if size > room:
                self.say(row, ENTRIES, also=page)
                page, room, pages = [], DATAGRAM - HEAD - self.table.size(0), pages + 1
                if pages == PAGES:
                    return
            if entry:
                page.append(entry)
                room -= size
        if page:
            self.say(row, ENTRIES, also=page)

    def nothing(self, row, seq, about, sums):
        pass  # entries and rumours were taken in already

    def carried(self, row, seq, about, payload):
        if self.rider is not None:
            self.rider.came(self.now, row, payload)

    ANSWERS = pinged, acked, asked_to_ping, nacked, relayed, synced, nothing, nothing, carried

    def carry(self, row, payload):
        """A rider's word to a life: may be lost, comes once at most, from whom it says."""
        self.say(row, CARRY, sums=payload)

    def refuse(self, reason):
        self.refused[reason] = self.refused.get(reason, 0) + 1

    # What leaves

    def sync(self, row):
        self.say(row, SYNC, 1, sums=self.table.sums_told())

    def say(self, row, kind, seq=0, about=None, sums=b"", also=()):
        """To a life; one that is suspected or called failed hears of it with whatever it is told."""
        table = self.table
        if table.state[row] in (SUSPECT, FAILED):
            also = [row, *also]
        self.send(table.address[row], table.epoch[row], kind, seq, about, sums, also)

    def send(self, address, to, kind, seq=0, about=None, sums=b"", also=(), raw=()):
        self.tokens = min(
            SENT_BURST, self.tokens + (self.now - self.tokens_at) * SENT_RATE / TICKS_PER_SECOND
        )
        self.tokens_at = self.now
        if self.tokens < 1:
            return self.refuse("sent-too-much")
        self.tokens -= 1
        table = self.table
        self.counter += 1
        room = DATAGRAM - HEAD - len(sums) - 200 * len(raw)
        entries = table.pick(room, [0, *(row for row in also if row)])
        entries[1:1] = raw
        self.out.send(
            address,
            (
                kind,
                table.name[0],
                table.epoch[0],
                self.counter,
                to,
                table.number,
                table.digest,
                seq,
                about,
                sums,
                entries,
            ),
        )

    # By hand

    def leave(self, now, out):
        """This life ends of its own will: some are told at once, the rest hear of it from them."""
        self.now, self.out = now, out
        if self.table.state[0] == LEFT:
            return
        rows = self.detector.some(TELLING)
        self.table.becomes(now, 0, self.table.incarnation[0], LEFT, "")
        for row in rows:
            self.say(row, GOSSIP)
        self.over, self.out = True, None

    def forget(self, now, name):
        """What was called failed under a name has left for good, by an operator's word; how many lives."""
        self.now, table = now, self.table
        rows = [row for row in table.of_name.get(name, ()) if table.state[row] == FAILED]
        for row in rows:
            table.becomes(now, row, table.incarnation[row], LEFT, table.name[0])
        return len(rows)

    # What it believes

    def unheard(self, now):
        """Whether this life hears others, and none of them it."""
        return self.detector.unheard(now) and now - self.hearing_at < 12 * self.detector.period

    def stand(self, now):
        """(standing, part, reasons, view number, agreed, divisor): what follows from what is believed now."""
        table = self.table
        here, suspected, failed, _ = st.census(table)
        agreed, settled = table.agreed(now, AGREE), self.detector.settled(now)
        stands, reasons = st.standing(
            self.configured, here, suspected, failed, agreed, self.unheard(now), table.aside(), settled
        )
        part = st.part(self.configured, here, suspected, failed, settled)
        return stands, part, reasons, table.number, agreed, st.divisor(self.configured, table)

    def look(self, now):
        """Tells of a change of standing; called now and then."""
        stands, part, reasons, number, agreed, divisor = self.stand(now)
        if (stands, part) != self.stands:
            before, self.stands = self.stands, (stands, part)
            self.told(
                "peers-standing",
                {
                    "standing": stands,
                    "part": part,
                    "reasons": reasons,
                    "was": before and before[0],
                    "view": number,
                    "divisor": divisor,
                },
            )
        return stands, part, reasons, number, agreed, divisor

    def status(self, now):
        """All that is believed, as plain figures for a file; ages in milliseconds."""
        stands, part, reasons, number, agreed, divisor = self.stand(now)
        table, detector = self.table, self.detector
        members = [
            {
                **table.shown(row),
                "state": STATES[table.state[row]],
                "since_ms": (now - table.since[row]) // 10,
                "heard_ms": None if table.heard[row] == NEVER else (now - table.heard[row]) // 10,
                "in_view": table.held.get(table.name[row], (None,))[0] == row,
                "me": row == 0,
            }
            for _, row in sorted(table.rows.items())
        ]
        return {
            "name": table.name[0],
            "epoch": table.epoch[0],
            "standing": stands,
            "part": part,
            "reasons": reasons,
            "view": number,
            "digest": f"{table.digest:016x}",
            "agreed": agreed,
            "divisor": divisor,
            "configured": self.configured,
            "health": detector.health,
            "standstills": detector.stood,
            "probes": detector.probes,
            "probes_missed": detector.missed,
            "refused": dict(sorted(self.refused.items())),
            "dropped_full": table.full,
            "members": members,
        }
