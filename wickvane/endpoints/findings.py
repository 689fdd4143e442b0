"""What can be wrong with a document or with a change that it asks for, each by a code; free of I/O.

The codes are for programs and for docs/members.md, the sentence is for people: it names file, line and engine
where there are any, and what to do.
"""

from typing import NamedTuple

# What follows from a finding, the gravest of a change's deciding.
NOTE, STEPS, HOLD, REFUSE = "note", "steps", "hold", "refuse"
GRAVITY = {NOTE: 0, STEPS: 1, HOLD: 2, REFUSE: 3}

# code: what to do about it
CODES = {
    # The file
    "missing": "put the file in place; the list at work stays until then",
    "not-a-file": "put a plain file there",
    "unreadable": "give the dispatcher's user the right to read it",
    "too-long": "cut it into parts, or raise `most` in the parts document",
    "never-still": "write it beside its place and rename it, so that it is whole at once",
    "too-many-parts": "put fewer files into the directory",
    "part-ignored": "name it *.kdl or *.json if it is a part",
    # Its form
    "length-wrong": "write it whole; it will be read again",
    "checksum-wrong": "write it whole, or make its seal anew",
    "seal-missing": "end it with a seal line, or take `sealed` out of the parts document",
    "not-utf8": "write it as UTF-8",
    "too-deep": "it has no more than three levels",
    "no-document": "mend its form; `wickvane members check` tells without applying it",
    "unknown-node": "take it out; nothing is included from elsewhere",
    "value-wrong": "mend the value",
    "generation-wrong": "state a whole number from 1 on, once a file",
    "too-many-engines": "raise `engines` in the parts document, if there are so many",
    "name-twice": "name each engine once over all files",
    "address-twice": "give each engine an address of its own",
    "address-missing": "give the engine an address",
    "kind-unknown": "name a type of the settings' host_types",
    "zone-unknown": "name a zone of the settings' zones",
    "weight-wrong": "state a number from 0 (drained by hand) to 100",
    # Its number
    "generation-back": "state a number above the one at work, or roll back by `wickvane members rollback`",
    "generation-same": "state a number above the one at work: two writers have used this one",
    # The change
    "empty": "list at least one engine that takes queries, or let `empty` allow it",
    "share-removed": "confirm it, or remove fewer at a time",
    "capacity-left": "add engines first, or wait for less load",
    "group-without-engine": "leave a permitted engine to each resource group",
    "weight-jump": "move the weight in smaller steps, or let it be stepped",
    "address-taken-over": "nothing: connections of the engine that had it are not used for the new one",
    "not-listed": "nothing, if the coordinator is to list it yet; it acts from then on",
}


class Finding(NamedTuple):
    """Something that a check found in a list, and how bad it is."""

    code: str
    severity: str
    text: str
    file: str | None = None
    line: int | None = None
    engine: str | None = None

    def sentence(self):
        line = f":{self.line}" if self.line else ""
        place = f"{self.file}{line}: " if self.file else ""
        who = f"engine {self.engine}: " if self.engine else ""
        return f"{place}{who}{self.text}; {CODES[self.code]}"

    def plain(self):
        return [self.code, self.severity, self.sentence()]


class Unfit(Exception):
    """A document that cannot be used; `finding` says why."""

    def __init__(self, code, text, file=None, line=None, engine=None):
        self.finding = Finding(code, REFUSE, text, file, line, engine)
        super().__init__(self.finding.sentence())


def gravest(findings):
    """What follows from them all: None, or STEPS, HOLD or REFUSE."""
    worst = max((f.severity for f in findings), key=GRAVITY.__getitem__, default=NOTE)
    return None if worst == NOTE else worst
