"""Limits of a change of an endpoint list, and what happens to a change that exceeds one; free of I/O."""

from typing import NamedTuple

from wickvane.endpoints.findings import Severity
from wickvane.units import TICKS_PER_SECOND


class ChangeLimits(NamedTuple):
    """Limits of one change, each with the severity of the finding if the limit is exceeded."""

    removed_fraction: float = 0.34  # maximum fraction of the ready engines
    removed_fraction_severity: Severity = Severity.HOLD
    load_fraction: float = 0.85  # maximum fraction of the remaining cores that the current load may need
    load_fraction_severity: Severity = Severity.HOLD
    last_of_group_severity: Severity = Severity.REJECT  # if a resource group loses its last permitted engine
    weight_factor: float = 4.0  # maximum factor by which a weight may rise or fall
    weight_factor_severity: Severity = Severity.STAGE
    empty_severity: Severity = Severity.REJECT  # if no engine would be ready


class ChangePolicy(NamedTuple):
    """How changes are validated and rolled out. Durations are ticks.

    step_interval: time between two rollout steps. confirmation_timeout: time for which a held change waits
    for its confirmation. drain_timeout: maximum time for which a removed engine is published as draining.
    overrides_coordinator: the coordinator's stream lists the engines, and documents override some of their
    fields.
    """

    limits: ChangeLimits = ChangeLimits()
    step_interval: int = 2 * TICKS_PER_SECOND
    confirmation_timeout: int = 3600 * TICKS_PER_SECOND
    drain_timeout: int = 60 * TICKS_PER_SECOND
    overrides_coordinator: bool = False
