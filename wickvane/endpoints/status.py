"""The status of an endpoint list, as written to disk and printed for operators."""

from wickvane.endpoints.endpoint_list import EndpointList

MAX_DRAINING_NAMES = 100


def status_document(endpoint_list: EndpointList) -> dict:
    """Returns the status under the field names of status.json."""
    generations = endpoint_list.generations
    rollout = endpoint_list.rollout
    rejection = endpoint_list.last_rejection
    return {
        "generation": generations.number,
        "of": generations.rollback_of,
        "digest": generations.target.digest,
        "number": endpoint_list.update_number,
        "engines": len(rollout.published),
        "ready": rollout.totals.ready_count,
        "leaving": sorted(rollout.draining_until)[:MAX_DRAINING_NAMES],
        "pending": len(rollout.pending),
        "stepping": rollout.is_staged,
        "stopped": rollout.is_paused,
        "old": endpoint_list.is_stale,
        "held": _held_document(endpoint_list),
        "refused": rejection and list(rejection.codes),
    }


def _held_document(endpoint_list: EndpointList) -> dict | None:
    pending = endpoint_list.confirmation.pending
    if pending is None:
        return None
    return {
        "generation": pending.snapshot.generation,
        "digest": pending.snapshot.digest,
        "codes": list(pending.codes),
    }
