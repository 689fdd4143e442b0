"""The membership view: the member that holds each name, with a digest that other members compare."""

from collections.abc import Iterable

from wickvane.cluster.member import VIEW_STATES, Member, member_hash


class MembershipView:
    """The alive and suspect members, one for each name. members_by_name: owned and updated by the table."""

    def __init__(self, members_by_name: dict[str, list[Member]]):
        self._members_by_name = members_by_name
        self._holders: dict[str, Member] = {}
        self.digest = 0
        self.number = 1
        self.highest_number = 0  # the highest number of all observed views

    def __len__(self) -> int:
        return len(self._holders)

    def __contains__(self, name: str) -> bool:
        return name in self._holders

    def members(self) -> Iterable[Member]:
        """Returns the members in the view, in the order in which they entered it."""
        return self._holders.values()

    def includes(self, member: Member) -> bool:
        """Returns whether a member holds its name in the view."""
        return self._holders.get(member.name) is member

    def find_holder(self, name: str) -> Member | None:
        """Returns the alive or suspect member of a name with the earliest epoch, None if there is none."""
        running = [member for member in self._members_by_name.get(name, ()) if member.state in VIEW_STATES]
        if not running:
            return None
        return min(running, key=lambda member: member.epoch)

    def refresh(self, name: str) -> None:
        """Updates the holder of a name after any of the name's members changed."""
        holder = self.find_holder(name)
        holder_hash = 0 if holder is None else member_hash(name, holder.epoch)
        before = self._holders.get(name)
        if holder is before and (holder is None or holder.view_hash == holder_hash):
            return
        if before is not None:
            self.digest ^= before.view_hash
            del self._holders[name]
        if holder is not None:
            holder.view_hash = holder_hash
            self.digest ^= holder_hash
            self._holders[name] = holder
        self.number = max(self.number, self.highest_number) + 1

    def observe(self, now: int, member: Member, number: int, digest: int) -> None:
        """Records the number and digest of another member's view.

        Members with equal views converge to the highest number; the next change of the view gets a number
        above all that were observed."""
        member.observed_digest = digest
        member.observed_digest_at = now
        if number > self.highest_number:
            self.highest_number = number
        if digest == self.digest and number > self.number:
            self.number = number

    def is_agreed(self, now: int, max_age: int) -> bool | None:
        """Returns whether all views observed within `max_age` ticks equal this one, None without any."""
        observed = [
            member.observed_digest == self.digest
            for member in self._holders.values()
            if not member.is_local and now - member.observed_digest_at < max_age
        ]
        return all(observed) if observed else None

    def fill(self, members: Iterable[Member], digest: int, number: int) -> None:
        """Replaces the view by members with distinct names."""
        self._holders = {member.name: member for member in members}
        self.digest = digest
        self.number = number
