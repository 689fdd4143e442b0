"""Whether a change of the list may be made, against the list at work and the load seen; free of I/O.

Every check looks at the engines that change, and at sums that are kept up with them, so that it costs what
the change costs. Times are tenths of a millisecond.
"""

from typing import NamedTuple

from wickvane.endpoints.findings import HOLD, NOTE, REFUSE, STEPS, Finding
from wickvane.events import EngineState
from wickvane.scheduling.slow_start import warm_part

NAMED = 5  # engines named in one sentence


class Facts(NamedTuple):
    """What the settings say. cores: by kind; zones: None where any may be named; groups: (name, zones, kinds)
    each, None: all of them."""

    cores: dict
    zones: frozenset | None
    groups: tuple
    slow_start_fraction: float
    slow_start_duration: int
    default_cores: int = 1

    def cores_of(self, kind):
        return self.cores.get(kind, self.default_cores)


def facts_of(registry):
    """From a wickvane.id_registry.IdRegistry, before any list was read into it."""
    site = registry.deployment
    kinds, zones = list(registry.kinds.index), list(registry.zones.index)

    def named(allowed, names):
        return None if allowed is None else frozenset(names[n] for n in allowed if n < len(names))

    return Facts(
        dict(zip(kinds, site.cores)),
        frozenset(zones) or None,
        tuple(
            (name, named(group.zones, zones), named(group.kinds, kinds))
            for name, group in zip(registry.group_names, site.groups)
        ),
        site.slow_start_fraction,
        site.slow_start_duration,
    )


class Limits(NamedTuple):
    """What may be done without asking, and what follows past it: refused, held for a confirmation, taken in
    steps, or just noted."""

    share: float = 0.34  # of the ready engines that one change may take away
    share_past: str = HOLD
    capacity: float = 0.85  # of what is left that the load seen may take
    capacity_past: str = HOLD
    last_past: str = REFUSE  # a resource group's last permitted engine goes
    factor: float = 4.0  # by which one change may move a weight
    factor_past: str = STEPS
    empty_past: str = REFUSE


class Tally:
    """What a list can do, by kind and zone, kept up as its members change."""

    def __init__(self, facts):
        self.facts, self.count, self.ready, self.capacity, self.young = facts, {}, 0, 0.0, {}

    def copy(self):
        made = Tally(self.facts)
        made.count, made.ready, made.capacity = dict(self.count), self.ready, self.capacity
        made.young = dict(self.young)
        return made

    def weigh(self, member):
        return self.facts.cores_of(member.kind) * min(1.0, member.weight)

    def put(self, member, now):
        if member.state != EngineState.READY:
            return
        key = member.kind, member.zone
        self.count[key] = self.count.get(key, 0) + 1
        self.ready += 1
        self.capacity += self.weigh(member)
        if member.started and now - member.started * 10 < self.facts.slow_start_duration:
            self.young[member.name] = member

    def drop(self, member):
        if member.state != EngineState.READY:
            return
        key = member.kind, member.zone
        self.count[key] -= 1
        if not self.count[key]:
            del self.count[key]
        self.ready -= 1
        self.capacity -= self.weigh(member)
        self.young.pop(member.name, None)

    def able(self, now):
        """Cores that it has now, cold engines by the part that they have at least."""
        lost = 0.0
        for name, member in list(self.young.items()):
            part = warm_part(
                now - member.started * 10, self.facts.slow_start_fraction, self.facts.slow_start_duration
            )
            if part >= 1.0:
                del self.young[name]
            lost += (1 - part) * self.weigh(member)
        return self.capacity - lost

    def permits(self, zones, kinds):
        return any(
            (zones is None or zone in zones) and (kinds is None or kind in kinds) for kind, zone in self.count
        )


def form(facts, members, place):
    """Of members that are new or changed: their kinds and zones are those of the settings."""
    found = []
    for member in members:
        file, line = place(member.name)
        if member.kind is not None and facts.cores and member.kind not in facts.cores:
            found.append(
                Finding(
                    "kind-unknown", REFUSE, f"type {member.kind!r} is in no settings", file, line, member.name
                )
            )
        if member.zone is not None and facts.zones is not None and member.zone not in facts.zones:
            found.append(
                Finding(
                    "zone-unknown", REFUSE, f"zone {member.zone!r} is in no settings", file, line, member.name
                )
            )
    return found[: NAMED * 4]


def names(found):
    more = f" and {len(found) - NAMED} more" if len(found) > NAMED else ""
    return ", ".join(found[:NAMED]) + more


def change(limits, before, moves, now, load, place):
    """Findings of a change. before: the Tally at work; moves: {name: (Member at work, Member wanted)}, None
    for none; load: threads at work on the pool, None where nobody knows."""
    after, found = before.copy(), []
    going, jumps = [], []
    for name in sorted(moves):
        was, want = moves[name]
        if was is not None:
            after.drop(was)
        if want is not None:
            after.put(want, now)
        if (
            was is not None
            and was.state == EngineState.READY
            and (want is None or want.state != EngineState.READY)
        ):
            going.append(name)
        elif was is not None and want is not None and was.state == want.state == EngineState.READY:
            times = want.weight / was.weight
            if max(times, 1 / times) > limits.factor * (1 + 1e-9):
                jumps.append(name)
        if want is not None and (was is None or was.address != want.address):
            found += taken_over(name, want, moves, place)
    if not before.ready:
        # The first list is compared with nothing.
        return found if after.ready else [*found, empty(limits)]
    if not after.ready:
        return [*found, empty(limits)]
    most = max(1, int(limits.share * before.ready))
    if len(going) > most:
        taken_away = f"it takes {len(going)} of {before.ready} ready engines away ({names(going)})"
        found.append(Finding("share-removed", limits.share_past, f"{taken_away}, {most} at most"))
    left = after.able(now)
    if load is not None and going and load > limits.capacity * left:
        cores_left = f"{left:.1f} cores would be left of {before.able(now):.1f}"
        found.append(
            Finding(
                "capacity-left", limits.capacity_past, f"{load:.1f} threads are at work, and {cores_left}"
            )
        )
    for group, zones, kinds in before.facts.groups:
        if before.permits(zones, kinds) and not after.permits(zones, kinds):
            found.append(
                Finding(
                    "group-without-engine",
                    limits.last_past,
                    f"the resource group {group} would have no engine left",
                )
            )
    for name in jumps[:NAMED]:
        was, want = moves[name]
        file, line = place(name)
        found.append(
            Finding(
                "weight-jump",
                limits.factor_past,
                f"its weight goes from {was.weight:g} to {want.weight:g}, by more than "
                f"{limits.factor:g} times",
                file,
                line,
                name,
            )
        )
    return found


def empty(limits):
    return Finding("empty", limits.empty_past, "no engine would be ready")


def taken_over(name, want, moves, place):
    """A place that another engine leaves in the same change, or has left and still ends queries on."""
    for other, (was, follows) in moves.items():
        if (
            other != name
            and was is not None
            and was.address == want.address
            and (follows is None or follows.address != want.address)
        ):
            file, line = place(name)
            return [Finding("address-taken-over", NOTE, f"its address was that of {other}", file, line, name)]
    return []
