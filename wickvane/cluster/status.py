"""Status reports: the fields of the status file and of the counters log line, under the names that operators
use."""

from wickvane.cluster.member import NEVER, Member
from wickvane.cluster.node import Node
from wickvane.cluster.quorum import Assessment
from wickvane.units import TICKS_PER_MILLISECOND


def full_status(node: Node, now: int) -> dict:
    """Returns all that a dispatcher knows of the cluster, with ages in milliseconds."""
    table = node.table
    detector = node.detector
    return {
        "name": table.local.name,
        "epoch": table.local.epoch,
        **_assessment_fields(node.assess(now), f"{table.view.digest:016x}"),
        "configured": node.configured,
        "health": detector.health.score,
        "standstills": detector.health.stall_count,
        "probes": detector.probe_count,
        "probes_missed": detector.missed_count,
        "refused": dict(sorted(node.rejected.items())),
        "dropped_full": node.membership.dropped_when_full,
        "members": [_member_fields(node, member, now) for _, member in sorted(table.members.items())],
    }


def brief_status(node: Node, now: int, lost_sends: int) -> dict:
    """Returns a summary of the status. lost_sends: the number of messages that could not be sent."""
    detector = node.detector
    return {
        **_assessment_fields(node.assess(now)),
        "members": len(node.table.view),
        "known": len(node.table),
        "health": detector.health.score,
        "standstills": detector.health.stall_count,
        "refused": dict(node.rejected),
        "lost_sends": lost_sends,
    }


def _assessment_fields(assessment: Assessment, view_digest: str | None = None) -> dict:
    fields = {
        "standing": assessment.state.value,
        "part": assessment.partition.value,
        "reasons": assessment.reasons,
        "view": assessment.view_number,
    }
    if view_digest is not None:
        fields["digest"] = view_digest
    return fields | {"agreed": assessment.agreed, "divisor": assessment.divisor}


def _member_fields(node: Node, member: Member, now: int) -> dict:
    contact_age = None
    if member.last_contact_at != NEVER:
        contact_age = (now - member.last_contact_at) // TICKS_PER_MILLISECOND
    return {
        **member.to_log_fields(),
        "state": member.state.label,
        "since_ms": (now - member.state_changed_at) // TICKS_PER_MILLISECOND,
        "heard_ms": contact_age,
        "in_view": node.table.view.includes(member),
        "me": member.is_local,
    }
