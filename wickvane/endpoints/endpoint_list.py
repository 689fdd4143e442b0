"""Decisions on an endpoint list from watched files; free of I/O.

A document that was read completely and passed validation becomes the target, and the rollout changes the
published list towards it (rollout.py). A change that exceeds a limit is rejected, held for a confirmation, or
rolled out in steps.

Every decision is written to the journal before it is carried out, so that a restarted process continues from
the published list. The effects that take_effects() returns must therefore be carried out in their order.
apply() changes the state as the call that wrote the record did.

Times are ticks.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from wickvane.endpoints.audit_log import AuditLog
from wickvane.endpoints.change_policy import ChangePolicy
from wickvane.endpoints.confirmation import Confirmation, make_pending
from wickvane.endpoints.coordinator_overlay import CoordinatorOverlay
from wickvane.endpoints.effects import (
    AppendRecord,
    Effect,
    PublishUpdate,
    WriteLogEvent,
    make_update_number,
)
from wickvane.endpoints.findings import (
    Finding,
    Severity,
    distinct_codes,
    highest_severity,
    reasons_of,
    unknown_location,
)
from wickvane.endpoints.generations import Generations
from wickvane.endpoints.records import (
    Applied,
    Checkpoint,
    ConfirmationExpired,
    Held,
    Published,
    Record,
    Rejected,
    RolloutPaused,
    RolloutResumed,
)
from wickvane.endpoints.rollout import Rollout
from wickvane.endpoints.snapshot import Snapshot, changed_names, delta_between, make_snapshot
from wickvane.endpoints.topology import Topology
from wickvane.endpoints.validation import LocationOf, check_change, check_endpoints, check_listed


class Rejection(NamedTuple):
    """Identifies the last rejected document, so that the same one is not reported twice."""

    checksum: int
    generation: int | None
    codes: tuple[str, ...]


class EndpointList:
    """Decides on the changes of one endpoint list and keeps its state."""

    def __init__(self, topology: Topology, policy: ChangePolicy) -> None:
        self.topology = topology
        self.policy = policy
        self.generations = Generations()
        self.rollout = Rollout(topology, policy)
        self.confirmation = Confirmation()
        self.audit_log = AuditLog()
        self.overlay = CoordinatorOverlay(policy.overrides_coordinator)
        self.last_rejection: Rejection | None = None
        self.is_stale = False  # recovered from the journal, and no file has agreed with it since
        self.has_stated_generation = False  # the last document states its generation
        self._effects: list[Effect] = []

    # State

    def take_effects(self) -> list[Effect]:
        """Returns the effects since the last call, which must be carried out in their order."""
        effects = self._effects
        self._effects = []
        return effects

    @property
    def update_number(self) -> int:
        """The number of the last update, see effects.make_update_number()."""
        return make_update_number(self.generations.number, self.rollout.step, self.overlay.event_number)

    def next_wakeup(self) -> int | None:
        """Returns the time at which tick() must be called next, None if there is nothing to do."""
        times = [self.rollout.next_wakeup()]
        if self.confirmation.pending is not None:
            times.append(self.confirmation.pending.expires_at)
        return min((at for at in times if at is not None), default=None)

    # Documents

    def submit(
        self,
        now: int,
        document: Snapshot,
        generation: int | None,
        findings: Iterable[Finding] = (),
        author: str = "file",
        load: float | None = None,
        location_of: LocationOf = unknown_location,
    ) -> None:
        """Validates a document, and applies, holds or rejects it.

        generation: the one that the document states, None if it states none. findings: from reading the
        document. load: number of threads that the pool's queries occupy, None if unknown.
        """
        findings = list(findings)
        self.has_stated_generation = generation is not None
        if highest_severity(findings) == Severity.REJECT:
            self._reject(now, document, generation, findings, author)
            return
        if self.generations.is_applied(document, generation):
            self._agree_with_file(document)
            return
        outdated = self.generations.check_stated(generation)
        if outdated is not None:
            self._reject(now, document, generation, [*findings, outdated], author)
            return
        number = self.generations.number_for(document, generation)
        if self.confirmation.holds(document.checksum, number):
            return
        snapshot = document._replace(generation=number)
        findings += self._validate(now, snapshot, load, location_of)
        match highest_severity(findings):
            case Severity.REJECT:
                self._reject(now, document, generation, findings, author)
            case Severity.HOLD:
                self._hold(now, snapshot, findings, author)
            case severity:
                self._apply(now, snapshot, author, findings, severity == Severity.STAGE)

    def _agree_with_file(self, document: Snapshot) -> None:
        self.last_rejection = None
        self._end_hold("superseded")
        if self.is_stale:
            self.is_stale = False
            self._log("members-file-agrees", generation=self.generations.number, digest=document.digest)

    def _validate(
        self, now: int, snapshot: Snapshot, load: float | None, location_of: LocationOf
    ) -> list[Finding]:
        target = self.generations.target
        changed = [name for name in sorted(changed_names(target, snapshot)) if name in snapshot.endpoints]
        findings = check_endpoints(self.topology, [snapshot.endpoints[name] for name in changed], location_of)
        if self.overlay.is_enabled:
            findings += check_listed(changed, self.overlay.endpoints, location_of)
        changes = self.rollout.changes_to(target, snapshot, self.overlay)
        findings += check_change(self.policy.limits, self.rollout.totals, changes, now, load, location_of)
        return findings

    def _reject(
        self, now: int, document: Snapshot, generation: int | None, findings: list[Finding], author: str
    ) -> None:
        codes = distinct_codes(findings)
        rejection = Rejection(document.checksum, generation, codes)
        if self.last_rejection == rejection:
            return
        self.last_rejection = rejection
        reasons = reasons_of(findings)
        self._write(Rejected(now, generation, author, document.digest, list(codes), reasons))
        self._log(
            "members-refused",
            generation=generation,
            codes=codes,
            why=reasons,
            at_work=self.generations.number,
        )

    def _hold(self, now: int, snapshot: Snapshot, findings: list[Finding], author: str) -> None:
        self._end_hold("replaced")
        self.last_rejection = None
        pending = make_pending(snapshot, findings, now + self.policy.confirmation_timeout)
        self.confirmation.pending = pending
        reasons = reasons_of(findings)
        self._write(
            Held(
                now,
                snapshot.generation,
                snapshot.digest,
                snapshot.checksum,
                author,
                list(pending.codes),
                reasons,
            )
        )
        self._log(
            "members-held",
            generation=snapshot.generation,
            digest=snapshot.digest,
            codes=pending.codes,
            why=reasons,
        )

    def _end_hold(self, why: str) -> None:
        pending = self.confirmation.clear()
        if pending is not None:
            self._log("members-hold-ends", generation=pending.snapshot.generation, why=why)

    def _apply(
        self,
        now: int,
        snapshot: Snapshot,
        author: str,
        findings: list[Finding],
        is_staged: bool,
        rollback_of: int | None = None,
    ) -> None:
        """Makes a snapshot the target and starts its rollout."""
        pending = self.confirmation.pending
        is_confirmed = pending is not None and pending.snapshot.checksum == snapshot.checksum
        self._end_hold("taken" if is_confirmed else "replaced")
        self.last_rejection = None
        codes = list(distinct_codes(findings))
        delta = delta_between(self.generations.target, snapshot)
        self._write(
            Applied(now, snapshot.generation, snapshot.digest, author, codes, is_staged, rollback_of, delta)
        )
        self._log(
            "members-taken",
            generation=snapshot.generation,
            digest=snapshot.digest,
            of=rollback_of,
            who=author,
            changed=len(delta.put) + len(delta.removed),
            steps=is_staged,
            codes=codes,
        )
        self.rollout.next_step_at = now
        self._advance(now)

    # Operators

    def confirm(self, now: int, generation: int, author: str = "operator") -> bool:
        """Applies a held generation, or resumes a paused one; returns False if there is neither."""
        if self.confirmation.awaits(generation):
            pending = self.confirmation.pending
            findings = [Finding(code, Severity.NOTE, "confirmed") for code in pending.codes]
            self._apply(now, pending.snapshot, author, findings, pending.is_staged)
            return True
        if self.rollout.is_paused and generation == self.generations.number:
            self._write(RolloutResumed(now, generation, author))
            self._log("members-resumed", generation=generation)
            self.rollout.next_step_at = now
            self._advance(now)
            return True
        self._log("members-order-for-nothing", order="confirm", generation=generation)
        return False

    def rollback(
        self, now: int, generation: int, author: str = "operator", load: float | None = None
    ) -> bool:
        """Makes the content of an earlier generation the target again, even during a rollout.

        The generation number stays, so that the next document needs a higher one than the generation that was
        rolled back. Returns False if the generation is not in the history or its content is rejected.
        """
        past = self.generations.history.get(generation)
        if past is None:
            self._log("members-order-for-nothing", order="rollback", generation=generation)
            return False
        snapshot = make_snapshot(self.generations.number, past.snapshot.endpoints.values())
        changes = self.rollout.changes_to(self.generations.target, snapshot, self.overlay)
        findings = check_change(self.policy.limits, self.rollout.totals, changes, now, load, unknown_location)
        severity = highest_severity(findings)
        if severity == Severity.REJECT:
            self._reject(now, snapshot, generation, findings, author)
            return False
        notes = [finding._replace(severity=Severity.NOTE) for finding in findings]
        self._apply(now, snapshot, author, notes, severity == Severity.STAGE, rollback_of=generation)
        return True

    def pause(self, now: int, author: str = "operator") -> bool:
        """Pauses a rollout after its last step; returns False if none is in progress."""
        if self.rollout.is_paused or not self.rollout.has_steps_left():
            return False
        self._write(RolloutPaused(now, self.generations.number, author))
        self._log("members-stopped", generation=self.generations.number, pending=len(self.rollout.pending))
        return True

    # The coordinator's stream

    def apply_stream_event(self, now: int, number: int, is_full: bool, entries: Iterable[tuple]) -> None:
        """Applies an event of the coordinator's stream; called only with overrides."""
        names = self.overlay.apply(number, is_full, entries)
        self.rollout.pending |= names
        self._advance(now, names)

    # Time

    def tick(self, now: int, is_busy: Callable[[str], bool] | None = None) -> None:
        """Discards an expired held change, ends finished drains, and publishes a step that is due.

        is_busy: returns whether queries run on an engine; None if that is unknown.
        """
        if self.confirmation.has_expired(now):
            pending = self.confirmation.pending
            self._write(ConfirmationExpired(now, pending.snapshot.generation))
            self._end_hold("nobody confirmed it")
        if is_busy is not None:
            self.rollout.finish_drains(now, is_busy)
        self._advance(now)

    def _advance(self, now: int, immediate: frozenset[str] | set[str] = frozenset()) -> None:
        rollout = self.rollout
        step = rollout.plan_step(now, self.generations.target, self.overlay, immediate)
        if step.put or step.removed:
            # The coordinator sends its events again after a restart, so they need no record.
            is_own = not step.puts_only(immediate)
            record = Published(now, rollout.step + is_own, step.delta())
            if is_own:
                self._write(record)
            else:
                self.apply(record)
            self._publish(not rollout.is_announced, step.entries, step.readmitted)
        if rollout.schedule_next(now, step):
            self._log("members-steps-done", generation=self.generations.number)

    def _publish(self, is_full: bool, entries: list[tuple], readmitted: list[str]) -> None:
        self._effects.append(PublishUpdate(self.update_number, is_full, entries, readmitted))
        self.rollout.is_announced = True

    def complete_update(self) -> PublishUpdate:
        """Returns the published list as one update, with the number of the last one."""
        return PublishUpdate(self.update_number, True, self.rollout.entries(), [])

    # Records

    def _log(self, event: str, **fields: object) -> None:
        self._effects.append(WriteLogEvent(event, fields))

    def _write(self, record: Record) -> None:
        self._effects.append(AppendRecord(record))
        self.apply(record)

    def apply(self, record: Record) -> None:
        """Changes the state as the call that wrote the record did; start() publishes the recovered list."""
        match record:
            case Checkpoint():
                self._restore(record)
                return
            case Published():
                self.rollout.apply_step(record)
                return
            case Applied():
                snapshot = self.generations.apply(record)
                self.rollout.apply_target(snapshot, record.is_staged, record.rollback_of is not None)
                self.is_stale = False
            case Held():
                self.generations.reserve(record)
            case RolloutPaused():
                self.rollout.is_paused = True
            case RolloutResumed():
                self.rollout.is_paused = False
        self.audit_log.append(record)

    def checkpoint(self, now: int) -> Checkpoint:
        """Returns a record of the complete state, which replaces all records before it."""
        generations = self.generations
        rollout = self.rollout
        return Checkpoint(
            at=now,
            generation=generations.number,
            rollback_of=generations.rollback_of,
            step=rollout.step,
            highest_number=generations.highest_number,
            file_checksum=generations.file_checksum,
            generations=generations.stored_history(),
            target=delta_between(generations.latest_snapshot(), generations.target),
            published=[endpoint for _, endpoint in sorted(rollout.published.items())],
            is_staged=rollout.is_staged,
            is_paused=rollout.is_paused,
            audit_rows=self.audit_log.rows,
            reserved=generations.reserved,
        )

    def _restore(self, record: Checkpoint) -> None:
        self.generations.restore(record)
        self.rollout.restore(record)
        self.audit_log.rows = record.audit_rows

    def start(self, now: int) -> None:
        """Publishes the recovered list, which is stale until a file lists the same engines.

        With overrides, the first event of the coordinator's stream publishes the list instead.
        """
        self._effects.clear()
        rollout = self.rollout
        if self.overlay.is_enabled:
            rollout.clear_published()
            rollout.pending = set()
            return
        rollout.resume_after_recovery(now, self.generations.target)
        self.is_stale = bool(rollout.published) or bool(self.generations.number)
        if rollout.published:
            self._log(
                "members-from-journal",
                generation=self.generations.number,
                of=self.generations.rollback_of,
                engines=len(rollout.published),
                digest=self.generations.target.digest,
            )
            self._publish(True, rollout.entries(), [])
