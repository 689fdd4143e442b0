"""The membership rules: how gossip about members changes the table, without I/O.

Reports about a member are ordered: `left` is above all others, then the higher incarnation wins, then the
higher state. The highest report wins, in whatever order and however often reports are received, so that
members that have received the same reports agree (a join semilattice). Only the member itself raises its
incarnation; it does so to refute a suspicion (SWIM, Das, Gupta, Motivala 2002). A restart begins a new epoch,
which reports about a former epoch do not affect.

Two members may claim one name. If both have the same address, the later epoch has replaced the earlier, since
only one process can bind an address. If their addresses differ, the earlier epoch holds the name while it is
alive or suspect.

Times are ticks of a monotonic clock.
"""

from collections.abc import Callable

from wickvane.cluster.gossip import MAX_TRANSMISSIONS, GossipEntry
from wickvane.cluster.member import (
    ALIVE,
    DEAD_STATES,
    FAILED,
    JOINING,
    LEFT,
    MAX_INCARNATION,
    SUSPECT,
    Member,
    MemberState,
)
from wickvane.cluster.member_table import MemberTable
from wickvane.units import TICKS_PER_SECOND

LogEvent = Callable[[str, dict], None]

MAX_MEMBERS_PER_NAME = 4  # more at the same time are due to a configuration error
JOIN_TIMEOUT = 15 * TICKS_PER_SECOND  # after which a joining member that no member has reached is removed
RECENT_CONTACT_PERIOD = 3 * TICKS_PER_SECOND  # after a datagram of a member it does not fail on gossip alone
MIN_SUSPICION_AGE = 2 * TICKS_PER_SECOND  # a member suspected here for less does not fail on gossip alone
RECENT_REFUTATION_PERIOD = 60 * TICKS_PER_SECOND  # how long a refutation lengthens suspicion timeouts
MAX_CONFIRMATIONS = 3  # independent suspicions that are disseminated and shorten the suspicion timeout


class Membership:
    """Applies gossip to a member table. log_event: called with the name and fields of each event to log."""

    def __init__(
        self,
        now: int,
        name: str,
        epoch: int,
        address: str,
        capacity: int,
        tombstone_after: int,
        log_event: LogEvent,
    ):
        self.table = MemberTable(now, name, epoch, address, capacity)
        self.tombstone_after = tombstone_after  # the ticks after which a dead member is removed
        self.log_event = log_event
        self.dropped_when_full = 0  # entries that were dropped because the table was full

    def apply(self, now: int, entry: GossipEntry, direct: bool = False) -> Member | None:
        """Applies one report. Returns the member that it changed, None if it changed none.

        direct: whether the member itself sent the report."""
        local = self.table.local
        if entry.name == local.name:
            if entry.epoch == local.epoch:
                return self._apply_to_local(now, entry)
            if entry.address == local.address:
                if entry.epoch > local.epoch and local.state != LEFT:
                    # Only a former run of this dispatcher, started while the clock was ahead, can have had
                    # its address.
                    return self.start_new_epoch(now, entry.epoch + 1, "clock-behind")
                entry = entry._replace(state=LEFT)  # a former run of this dispatcher, which has ended
        member = self.table.members.get((entry.name, entry.epoch))
        if member is None:
            return self._apply_to_unknown(now, entry)
        return self._apply_to_known(now, member, entry, direct)

    def _apply_to_known(self, now: int, member: Member, entry: GossipEntry, direct: bool) -> Member | None:
        before = member.state
        state = entry.state
        incarnation = entry.incarnation
        is_same_suspicion = before == SUSPECT and incarnation == member.incarnation
        if is_same_suspicion and state == SUSPECT:
            return self._confirm_suspicion(member, entry.reported_by)
        if (state == LEFT, incarnation, state) <= (before == LEFT, member.incarnation, before):
            return None
        if state == FAILED and before != FAILED and not self.accepts_failure(now, member):
            # The report may come from beyond a partition, or from a member that was cut off. The member is
            # notified, and a suspicion timeout gives it time to refute.
            if is_same_suspicion:
                return self._confirm_suspicion(member, entry.reported_by)
            state = SUSPECT
        self.transition(now, member, incarnation, state, entry.reported_by)
        if direct or state in (JOINING, ALIVE):
            member.address = entry.address
        return member

    def accepts_failure(self, now: int, member: Member) -> bool:
        """Returns whether a report from another member suffices to mark a member as failed.

        It does if the member has been suspect here for MIN_SUSPICION_AGE, and no datagram from it has arrived
        within RECENT_CONTACT_PERIOD."""
        is_suspect = member.state == SUSPECT and now - member.state_changed_at >= MIN_SUSPICION_AGE
        return is_suspect and now - member.last_contact_at >= RECENT_CONTACT_PERIOD

    def _apply_to_unknown(self, now: int, entry: GossipEntry) -> Member | None:
        table = self.table
        same_name_members = table.by_name.get(entry.name, ())
        if entry.epoch <= table.tombstones.get(entry.name, 0):
            # Not even a report of a dead state is accepted: it may rank below the one with which the member
            # was removed, so that an outdated report could mark the member as alive again.
            if entry.state not in DEAD_STATES:
                self.log_event("peers-former-life", {"name": entry.name, "epoch": entry.epoch})
            return None
        if any(other.epoch > entry.epoch and other.address == entry.address for other in same_name_members):
            entry = entry._replace(state=LEFT)
        if not self._ensure_capacity(entry):
            self.dropped_when_full += 1
            return None
        member = table.add(now, entry)
        if entry.state == SUSPECT:
            member.suspected_by = frozenset((entry.reported_by,))
        self._retire_replaced(now, member)
        self.log_event("peers-heard-of", member.to_log_fields())
        return member

    def _ensure_capacity(self, entry: GossipEntry) -> bool:
        """Ensures that a member can be added: removes the longest dead member if the table or the name is
        full.

        Returns False if that is not possible: no member is dead, or the entry itself is of a dead member."""
        table = self.table
        same_name_members = table.by_name.get(entry.name, ())
        is_name_full = len(same_name_members) >= MAX_MEMBERS_PER_NAME
        if not is_name_full and len(table) < table.capacity:
            return True
        candidates = same_name_members if is_name_full else table.dead
        dead = [member for member in candidates if member.state in DEAD_STATES and not member.is_local]
        if not dead or entry.state in DEAD_STATES:
            return False
        table.remove(min(dead, key=lambda member: (member.state_changed_at, member.slot)))
        return True

    def _retire_replaced(self, now: int, member: Member) -> None:
        """Marks members of earlier epochs with the same name and address as left: they have been replaced."""
        for other in list(self.table.by_name[member.name]):
            is_replaced = other.address == member.address and other.epoch < member.epoch
            if is_replaced and not other.is_local:
                self.transition(now, other, other.incarnation, LEFT, "")

    def transition(
        self, now: int, member: Member, incarnation: int, state: MemberState, reported_by: str
    ) -> None:
        """Sets a member's state and incarnation, and disseminates them.

        All state changes of known members are made here; the caller has checked the order of reports. `left`
        is final: the dispatcher can rejoin only with a new epoch. A suspect or failed member that becomes
        alive has refuted."""
        before = member.state
        if before == LEFT and state != LEFT:
            return
        if state == ALIVE and before in (SUSPECT, FAILED):
            self._count_refutation(now, member)
        table = self.table
        table.digest.toggle(member)
        member.state = state
        member.incarnation = incarnation
        member.reported_by = reported_by
        table.digest.toggle(member)
        if before != state:
            member.state_changed_at = now
            member.suspected_by = frozenset((reported_by,)) if state == SUSPECT else frozenset()
            table.index_state(member)
        table.gossip.enqueue(member)
        table.view.refresh(member.name)
        if before != state and not member.is_local:
            self.log_event(f"peers-{state.label}", member.to_log_fields() | {"was": before.label})

    def _count_refutation(self, now: int, member: Member) -> None:
        is_recent = now - member.refuted_at < RECENT_REFUTATION_PERIOD
        member.recent_refutations = member.recent_refutations + 1 if is_recent else 1
        member.refuted_at = now

    def _confirm_suspicion(self, member: Member, reported_by: str) -> Member | None:
        """Records a confirmation: one more member suspects a member independently.

        The first MAX_CONFIRMATIONS are disseminated, since each shortens the suspicion timeout (Lifeguard).
        Returns the suspect, None if the confirmation has no effect."""
        suspected_by = member.suspected_by
        if reported_by in suspected_by or len(suspected_by) > MAX_CONFIRMATIONS:
            return None
        member.suspected_by = suspected_by | {reported_by}
        member.reported_by = reported_by
        gossip = self.table.gossip
        sent = gossip.transmissions.get(member, MAX_TRANSMISSIONS)
        gossip.enqueue(member, min(sent, self.table.transmission_limit() // 2))
        return member

    def _apply_to_local(self, now: int, entry: GossipEntry) -> Member | None:
        """Applies a report about this dispatcher itself, and refutes it if it is wrong."""
        local = self.table.local
        incarnation = entry.incarnation
        if local.state == LEFT or entry.state in (JOINING, ALIVE):
            return None
        if entry.state == LEFT:
            # An operator marked this dispatcher as left while it runs. It can rejoin only with a new epoch.
            return self.start_new_epoch(now, local.epoch + 1, "was-forgotten")
        if incarnation < local.incarnation:
            return None
        if incarnation + 1 >= MAX_INCARNATION:
            return self.start_new_epoch(now, local.epoch + 1, "incarnations-used-up")
        self.log_event(
            "peers-refuted",
            {"by": entry.reported_by, "state": entry.state.label, "incarnation": incarnation + 1},
        )
        self.transition(now, local, incarnation + 1, local.state, "")
        return local

    def start_new_epoch(self, now: int, epoch: int, reason: str) -> Member:
        """Gives this dispatcher a new epoch, which reports about the former one do not affect."""
        table = self.table
        local = table.local
        fields = {"reason": reason, "epoch": epoch, "was": local.epoch}
        self.log_event("peers-starts-over", fields)
        table.change_local_epoch(epoch)
        local.state = min(local.state, ALIVE)
        table.gossip.enqueue(local)
        for other in list(table.by_name[local.name]):
            if not other.is_local and other.address == local.address:
                self.transition(now, other, other.incarnation, LEFT, "")
        table.view.refresh(local.name)
        return local

    def expire(self, now: int) -> None:
        """Removes members that have been dead for `tombstone_after`, and joining members after
        JOIN_TIMEOUT."""
        table = self.table
        for member in sorted(table.dead, key=lambda member: member.slot):
            if now - member.state_changed_at > self.tombstone_after:
                table.remove(member)
        for member in list(table.living):
            is_joining = member.state == JOINING and not member.is_local
            if is_joining and now - member.state_changed_at > JOIN_TIMEOUT:
                table.remove(member)

    def is_name_taken(self) -> bool:
        """Returns whether a member with an earlier epoch and another address holds this dispatcher's name."""
        local = self.table.local
        holder = self.table.view.find_holder(local.name)
        return holder is not None and not holder.is_local and holder.epoch < local.epoch
