"""What follows from a view of the fleet that may be wrong: how a dispatcher stands, and what it may do by it.

No view proves that another has stopped: who is not heard of may only be cut off, and goes on by what was
configured. So a view may make a dispatcher more careful at any time, and never less than the configured count
of dispatchers says. docs/peers-design.md gives the reasons; the table is what later parts go by.

| use of a view | when it is wrong | safe |
| --- | --- | --- |
| dividing what is shared by more than was configured (`divisor`) | each takes less than it might | yes |
| whom to ask, tell or probe first | a datagram is lost, another is asked | yes |
| what operators are shown, alarms | a wrong line, corrected | yes |
| refusing a change of policy that not all can be asked about | the change waits | yes |
| a larger share, since others failed | two sides of a cut both take all: rule 4 breaks | no |
| taking over another's queries, keys or windows | an effect twice: rule 2 breaks | no |
| ending what one has, since the others are the larger part | a whole fleet may end itself | no |
"""

from wickvane.cluster.membership import DEAD, FAILED, JOINING, LEFT, SUSPECT

WHOLE, DEGRADED, ALONE = "whole", "degraded", "alone"
LARGER, SMALLER, UNKNOWN = "larger", "smaller", "unknown"


def census(table):
    """(here, suspected, failed, waiting): lives by what is believed of them, this one among `here`; waiting:
    heard of, but answered by nobody yet, or claiming a name that an older life holds. None has left."""
    here = suspected = failed = waiting = 0
    held = {row for row, _ in table.held.values()}
    for row in table.rows.values():
        state = table.state[row]
        if state == LEFT:
            continue
        if state == FAILED:
            # A name whose later life is there: the former one has ended, or its program runs twice.
            failed += table.name[row] not in table.held
        elif row not in held or state == JOINING:
            waiting += row != 0
        elif state == SUSPECT:
            suspected += 1
        else:
            here += 1
    return here + (0 not in held), suspected, failed, waiting


def part(configured, here, suspected, failed, settled):
    """Which part of the fleet this life believes to be in. The whole is what was configured, or more if more
    have been heard of; who is suspected counts for neither side. settled: False just after a standstill or a
    start, when all that is known may be old."""
    whole = max(configured, here + suspected + failed)
    if not settled or whole == 1 and configured == 0:
        return UNKNOWN
    if 2 * here > whole:
        return LARGER
    if 2 * (here + suspected) < whole:
        return SMALLER
    return UNKNOWN


def standing(configured, here, suspected, failed, agreed, unheard, aside, settled):
    """(whole, degraded or alone; reasons as codes).

    agreed: True, False, or None where no other view was heard of lately. unheard: this life hears, but none
    hears it. aside: its name is an older life's elsewhere."""
    reasons = []
    for holds, reason in (
        (aside, "name-taken"),
        (unheard, "unheard"),
        (not settled, "not-settled"),
        (suspected, "suspected"),
        (failed, "failed"),
        (here + suspected < configured, "missing"),
        (agreed is False, "views-differ"),
    ):
        if holds:
            reasons.append(reason)
    others = here + suspected - 1
    if aside or unheard or others == 0 and (configured > 1 or failed):
        return ALONE, reasons or ["nobody-heard"]
    return (DEGRADED if reasons else WHOLE), reasons


def divisor(configured, table):
    """By how many that which all share is divided: the configured count at the least, whoever seems gone, and
    more where more lives than that have not said that they left. Never fewer than any true count of those
    that may act, unless one was configured that nobody here has heard of at all."""
    count = 0
    for rows in table.of_name.values():
        states = [table.state[row] for row in rows if row == 0 or table.state[row] != LEFT]
        # Two lives of one name may both act, until the former one is known to have ended.
        count += max(1, sum(state not in DEAD for state in states)) if states else 0
    return max(1, configured, count)
