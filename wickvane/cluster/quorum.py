"""The quorum state: the conclusions that a dispatcher may draw from a membership view that may be wrong.

No view proves that another member has stopped: a member that cannot be reached may only be cut off, and then
still uses its configured quota. So a view may always make a dispatcher more cautious than the configured
number of dispatchers requires, but never less cautious. docs/peers-design.md gives the reasons.

| use of a view | consequence if the view is wrong | safe |
| --- | --- | --- |
| divide a shared budget by more than the configured number (`divisor`) | each uses less than it could | yes |
| select the members to ask, notify or probe first | a datagram is lost, another member is asked | yes |
| status output and alarms for operators | a wrong line, corrected later | yes |
| reject a configuration change if not all members can be asked | the change is delayed | yes |
| raise the quota since others failed | two partitions both use all of it: rule 4 is violated | no |
| take over a failed member's queries, keys or windows | an effect occurs twice: rule 2 is violated | no |
| end the dispatcher's own work since others are the majority | all dispatchers may end their work | no |
"""

from enum import StrEnum
from typing import NamedTuple

from wickvane.cluster.member import DEAD_STATES, FAILED, JOINING, LEFT, SUSPECT
from wickvane.cluster.member_table import MemberTable


class QuorumState(StrEnum):
    """How complete the cluster is. The values are shown to operators."""

    COMPLETE = "whole"
    DEGRADED = "degraded"
    ISOLATED = "alone"


class Partition(StrEnum):
    """The partition that this dispatcher is in. The values are shown to operators."""

    MAJORITY = "larger"
    MINORITY = "smaller"
    UNKNOWN = "unknown"


class MemberCounts(NamedTuple):
    """The numbers of members by their state. Members that have left are not counted.

    reachable: members in the view that are not suspected, including this dispatcher. pending: members that
    gossip named but no datagram has reached yet, and those whose name a member of an earlier epoch holds."""

    reachable: int
    suspected: int
    failed: int
    pending: int


class Assessment(NamedTuple):
    """The conclusions from the view at one time. agreed: None if no other view was observed recently."""

    state: QuorumState
    partition: Partition
    reasons: list[str]
    view_number: int
    agreed: bool | None
    divisor: int


def count_members(table: MemberTable) -> MemberCounts:
    """Counts the members of a table by their state."""
    reachable = suspected = failed = pending = 0
    view = table.view
    for member in table.members.values():
        state = member.state
        if state == LEFT:
            continue
        if state == FAILED:
            # If a later epoch holds the name, the former one has ended, or two dispatchers use the name.
            failed += member.name not in view
        elif state == JOINING or not view.includes(member):
            pending += not member.is_local
        elif state == SUSPECT:
            suspected += 1
        else:
            reachable += 1
    is_local_counted = view.includes(table.local)
    return MemberCounts(reachable + (not is_local_counted), suspected, failed, pending)


def find_partition(configured: int, reachable: int, suspected: int, failed: int, settled: bool) -> Partition:
    """Returns the partition that this dispatcher is in.

    The total is the configured number of dispatchers, or that of the known members if it is higher. Suspects
    count for neither partition. settled: False just after a stall or a start, when the known states of
    members may be outdated."""
    total = max(configured, reachable + suspected + failed)
    if not settled or total == 1 and configured == 0:
        return Partition.UNKNOWN
    if 2 * reachable > total:
        return Partition.MAJORITY
    if 2 * (reachable + suspected) < total:
        return Partition.MINORITY
    return Partition.UNKNOWN


def find_quorum_state(
    configured: int,
    reachable: int,
    suspected: int,
    failed: int,
    agreed: bool | None,
    unreachable: bool,
    name_taken: bool,
    settled: bool,
) -> tuple[QuorumState, list[str]]:
    """Returns the quorum state and the codes of its reasons.

    agreed: None if no other view was observed recently. unreachable: whether this dispatcher receives
    datagrams of others, but none receives its own. name_taken: whether a member at another address holds its
    name."""
    conditions = {
        "name-taken": name_taken,
        "unheard": unreachable,
        "not-settled": not settled,
        "suspected": suspected,
        "failed": failed,
        "missing": reachable + suspected < configured,
        "views-differ": agreed is False,
    }
    reasons = [reason for reason, holds in conditions.items() if holds]
    has_others = reachable + suspected > 1
    if name_taken or unreachable or not has_others and (configured > 1 or failed):
        return QuorumState.ISOLATED, reasons or ["nobody-heard"]
    return (QuorumState.DEGRADED if reasons else QuorumState.COMPLETE), reasons


def divisor(configured: int, table: MemberTable) -> int:
    """Returns the number of dispatchers by which a shared budget is divided.

    It is at least the configured number, even if members seem to have failed, and higher if more members have
    not left. It is never less than the true number of dispatchers that may use the budget, unless one
    beyond the configured number exists that this dispatcher has never received a report of."""
    count = 0
    for members in table.by_name.values():
        states = [member.state for member in members if member.is_local or member.state != LEFT]
        if states:
            # Two members of one name may both use the budget, until the former is known to have ended.
            count += max(1, sum(state not in DEAD_STATES for state in states))
    return max(1, configured, count)
