"""The files of one document, kept together file by file; free of I/O.

What a change of one file costs follows from that file alone: the others are not looked at again.
"""

from wickvane.endpoints import roster as ro
from wickvane.endpoints.findings import REFUSE, Finding


class Gathered:
    """roster: of all files together, as long as put() and drop() left no findings."""

    def __init__(self):
        self.parts, self.owners, self.places, self.roster = {}, {}, {}, ro.EMPTY
        self.twice, self.crowded, self.changes = set(), set(), set()

    def put(self, part):
        """Takes a document.Part in place of the one of the same file."""
        before = self.parts.get(part.file)
        after = {member.name: member for member in part.members}
        if before is not None:
            for member in before.members:
                if after.get(member.name) != member:
                    self.lose(member, part.file)
        known = {member.name: member for member in before.members} if before is not None else {}
        for member in part.members:
            if known.get(member.name) != member:
                self.win(member, part.file)
        self.parts[part.file] = part

    def drop(self, file):
        part = self.parts.pop(file, None)
        for member in part.members if part is not None else ():
            self.lose(member, file)

    def win(self, member, file):
        owners = self.owners.setdefault(member.name, {})
        owners[file] = member
        self.changes.add(member.name)
        if len(owners) > 1:
            self.twice.add(member.name)
        if member.address is not None:
            there = self.places.setdefault(member.address, set())
            there.add(member.name)
            if len(there) > 1:
                self.crowded.add(member.address)

    def lose(self, member, file):
        owners = self.owners.get(member.name, {})
        owners.pop(file, None)
        self.changes.add(member.name)
        if len(owners) < 2:
            self.twice.discard(member.name)
        if not owners:
            self.owners.pop(member.name, None)
        # Another file may name the same engine at the same place.
        there = self.places.get(member.address)
        if there is not None and not any(other.address == member.address for other in owners.values()):
            there.discard(member.name)
            if len(there) < 2:
                self.crowded.discard(member.address)
            if not there:
                del self.places[member.address]

    def generation(self):
        """The highest that a file states, None where none does."""
        return max(
            (part.generation for part in self.parts.values() if part.generation is not None), default=None
        )

    def settle(self):
        """The Roster of what the files say now; its generation is not set."""
        put, drop = [], []
        for name in self.changes:
            owners = self.owners.get(name)
            if owners:
                put.append(owners[min(owners)])
            else:
                drop.append(name)
        self.changes = set()
        self.roster = ro.changed(self.roster, 0, put, drop)
        return self.roster

    def findings(self):
        """What the files say against each other."""
        found = []
        for name in sorted(self.twice)[:20]:
            files = sorted(self.owners[name])
            line = self.parts[files[1]].lines.get(name) if files[1] in self.parts else None
            found.append(
                Finding(
                    "name-twice", REFUSE, f"it is named in {' and '.join(files[:4])}", files[1], line, name
                )
            )
        for place in sorted(self.crowded)[:20]:
            names = sorted(self.places[place])
            file = min(self.owners[names[1]])
            found.append(
                Finding(
                    "address-twice",
                    REFUSE,
                    f"{place[0]}:{place[1]} is also that of {names[0]}",
                    file,
                    self.parts[file].lines.get(names[1]) if file in self.parts else None,
                    names[1],
                )
            )
        return found

    def place_of(self, name):
        """(file, line) of an engine, for messages."""
        owners = self.owners.get(name)
        if not owners:
            return None, None
        file = min(owners)
        return file, self.parts[file].lines.get(name) if file in self.parts else None
