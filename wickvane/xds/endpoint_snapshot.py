"""The list of engines as proxies are to know it: what one change may do to it, free of I/O.

A Fleet is immutable: whoever holds one holds a whole one, and the next shares all that has not changed with
it (persistent maps). What was told to drain never comes back: a name that left the ready ones is ready again
only as a process that started later, in a later event. A whole list that leaves out more engines than the
floor allows is somebody's mistake more often than the truth (an empty answer, a lost list); an engine that is
named as draining or gone is always taken at its word, since nothing new may go there.

Times are tenths of a millisecond.
"""

from typing import NamedTuple

from immutables import Map

from wickvane.events import EngineState

TAKE, HOLD, STEPS = "take", "hold", "steps"
KEPT_GONE = 4096  # names that are gone and still remembered, so that none of them comes back


class Engine(NamedTuple):
    """index: of the event that told this last; told: when this instance heard that it leaves, 0 while it is
    ready."""

    name: str
    address: tuple | None
    state: int
    zone: str | None
    kind: str | None
    cell: int
    started: int
    weight: float
    index: int
    told: int = 0


class Fleet(NamedTuple):
    """index: of the newest event in it. missing: ready engines that a whole list left out and that are kept
    for now, by name with the time until which. old: from a snapshot on disk, not heard of since."""

    index: int = 0
    engines: Map = Map()
    gone: Map = Map()  # name: (index, started) of what has gone
    missing: Map = Map()
    old: bool = False

    def ready(self):
        return [e for e in self.engines.values() if e.state == EngineState.READY]


class Floor(NamedTuple):
    """share: of the ready engines that one whole list may leave out; least: so many may always go; what: is
    done past it: taken, held for so long, or taken in steps of that share, that far apart."""

    share: float = 0.5
    least: int = 1
    what: str = HOLD
    time: int = 600_000

    def most(self, ready):
        return max(self.least, int(self.share * ready))


FLOOR = Floor()


def changed(fleet, now, index, whole, entries, floor, back=()):
    """(the fleet after an event, notes of it as (event, fields)). entries: as the coordinator's are read,
    (name, address, state, zone, kind, cell, started, weight); started in milliseconds. back: names that were
    drained by hand and that whoever did it lets have queries again."""
    if index <= fleet.index and not (fleet.old and index == fleet.index):
        return fleet, [("list-older", {"index": index, "held": fleet.index})]
    notes, named = [], set()
    engines, gone, missing = fleet.engines, fleet.gone, fleet.missing
    with engines.mutate() as table:
        for name, address, state, zone, kind, cell, started, weight in entries:
            named.add(name)
            started = int(started * 10)
            known = table.get(name)
            if state == EngineState.GONE:
                if known is not None:
                    del table[name]
                    gone = gone.set(name, (index, known.started))
                missing = without(missing, name)
                continue
            if (
                state == EngineState.READY
                and name not in back
                and not may_be_ready(name, started, known, gone)
            ):
                notes.append(("engine-not-taken-back", {"engine": name, "index": index}))
                continue
            told = (
                0 if state == EngineState.READY else known.told if known is not None and known.told else now
            )
            table[name] = Engine(name, address, state, zone, kind, cell, started, weight, index, told)
            missing = without(missing, name)
        after = table.finish()
    if whole:
        after, gone, missing, more = left_out(after, gone, missing, now, index, named, floor)
        notes += more
    while len(gone) > KEPT_GONE:
        gone = gone.delete(min(gone, key=gone.get))
    return Fleet(index, after, gone, missing, False), notes


def may_be_ready(name, started, known, gone):
    """Whether a name may be ready: a new one, one that is, or a later process under a name that left."""
    if known is not None:
        return known.state == EngineState.READY or started > known.started
    return name not in gone or started > gone[name][1]


def left_out(engines, gone, missing, now, index, named, floor):
    """What a whole list does to those that it does not name."""
    ready = [e for e in engines.values() if e.state == EngineState.READY]
    absent = sorted(name for name in engines if name not in named)
    going = [name for name in absent if engines[name].state != EngineState.READY]
    lost = [name for name in absent if engines[name].state == EngineState.READY]
    notes = []
    # Nothing may ever go to a draining one again, so that it costs nothing to let it go.
    if lost and floor.what != TAKE and (len(lost) > floor.most(len(ready)) or not named):
        kept = lost if floor.what == HOLD else lost[floor.most(len(ready)) :]
        notes.append(
            (
                "list-past-floor",
                {
                    "index": index,
                    "missing": len(lost),
                    "ready": len(ready),
                    "kept": len(kept),
                    "what": floor.what,
                },
            )
        )
        step = floor.time if floor.what == HOLD else 0
        for n, name in enumerate(kept):
            at = now + (step or floor.time * (1 + n // floor.most(len(ready))))
            missing = missing.set(name, min(missing.get(name, at), at))
        lost = [name for name in lost if name not in set(kept)]
    for name in going + lost:
        gone = gone.set(name, (index, engines[name].started))
        engines, missing = engines.delete(name), without(missing, name)
    return engines, gone, missing, notes


def passed(fleet, now):
    """(the fleet once the time of those that were kept is over, notes)."""
    due = sorted(name for name, until in fleet.missing.items() if now >= until)
    if not due:
        return fleet, []
    engines, gone, missing = fleet.engines, fleet.gone, fleet.missing
    for name in due:
        if name in engines:
            gone, engines = gone.set(name, (fleet.index, engines[name].started)), engines.delete(name)
        missing = missing.delete(name)
    return fleet._replace(engines=engines, gone=gone, missing=missing), [
        ("missing-let-go", {"engines": due[:20], "count": len(due)})
    ]


def next_due(fleet):
    """When passed() has something to do, None for never."""
    return min(fleet.missing.values(), default=None)


def without(table, name):
    return table.delete(name) if name in table else table


# A snapshot: plain data in, plain data out; what stores it checks it.

FORM = 1


def plain(fleet):
    """As JSON has it."""
    return {
        "form": FORM,
        "index": fleet.index,
        "engines": [list(e) for _, e in sorted(fleet.engines.items())],
        "gone": [[name, *of] for name, of in sorted(fleet.gone.items())],
        "missing": [[name, until] for name, until in sorted(fleet.missing.items())],
    }


def restored(found):
    """The Fleet of plain(), marked as old. Raises ValueError where it is none."""
    try:
        if found["form"] != FORM:
            raise ValueError(f"form {found['form']} is not known")
        engines = {}
        for row in found["engines"]:
            engine = Engine(*row)
            address = (
                engine.address if engine.address is None else (str(engine.address[0]), int(engine.address[1]))
            )
            engines[engine.name] = engine._replace(address=address)
        return Fleet(
            int(found["index"]),
            Map(engines),
            Map({name: (index, started) for name, index, started in found["gone"]}),
            Map({name: until for name, until in found["missing"]}),
            True,
        )
    except (KeyError, TypeError, IndexError) as error:
        raise ValueError(f"no snapshot of a list: {error}") from None
