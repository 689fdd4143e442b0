"""The node `members` of the parts document."""

from typing import NamedTuple

from wickvane import parts
from wickvane.endpoints import checks
from wickvane.endpoints.findings import HOLD, NOTE, REFUSE, STEPS
from wickvane.endpoints.membership import Terms
from wickvane.net import shape

EVENTS, POLL = "events", "poll"


class Part(NamedTuple):
    """path: of the file, or of a directory of parts; state: folder of the journal, None: nothing is kept;
    most: octets of one file; engines, files: of all; times in tenths of a millisecond."""

    path: str
    directory: bool
    state: str | None
    sealed: bool
    watch: str
    poll: int
    still: int
    most: int
    engines: int
    files: int
    terms: Terms


past = parts.word(NOTE, STEPS, HOLD, REFUSE)


def read(node):
    file, directory = node.value("file", parts.path), node.value("directory", parts.path)
    if (file is None) == (directory is None):
        raise node.wrong("either a node file or a node directory, with a path")
    limits, usual = node.child("limits"), checks.Limits()
    found = {}
    if limits:
        for name, field, kind in (
            ("share-removed", "share", parts.share(0.001, 1)),
            ("capacity-left", "capacity", parts.share(0.01, 100)),
            ("weight-jump", "factor", parts.share(1.01, 1000)),
            ("group-without-engine", "last", None),
            ("empty", "empty", None),
        ):
            child = limits.child(name)
            if child is None:
                continue
            if kind is not None:
                found[field] = child.argument(kind)
            found[f"{field}_past"] = child.property("past", past, getattr(usual, f"{field}_past"))
            child.done()
        limits.done()
    terms = Terms(
        checks.Limits(**found),
        node.value("step", parts.duration("10ms", "1h"), Terms().step),
        node.value("hold", parts.duration("1s", "168h"), Terms().hold),
        node.value("linger", parts.duration("1s", "24h"), Terms().linger),
        node.value("overrides", parts.flag, False),
    )
    return Part(
        directory or file,
        directory is not None,
        node.value("state", parts.path),
        node.value("sealed", parts.flag, False),
        node.value("watch", parts.word(EVENTS, POLL), EVENTS),
        node.value("poll", parts.duration("50ms", "10s"), 2_500),
        node.value("still", parts.duration("10ms", "10s"), 1_000),
        node.value("most", parts.size("1KiB", "64MiB"), 16 << 20),
        node.value("engines", parts.whole(1, 100_000), 20_000),
        node.value("parts", parts.whole(1, 10_000), 1_000),
        terms,
    )


class At(shape.Part):
    """The list of engines from watched files, in a dispatcher."""

    name, threads = "members", 1

    def prepare(self, service, found):
        service.lister = self

    def join(self, service, found):
        from wickvane.endpoints.checks import facts_of
        from wickvane.endpoints.source import Source

        scheduler, sent = service.decider.scheduler, service.registry.sent
        self.source = Source(
            self.terms,
            facts_of(service.registry),
            service.listed,
            service.clock,
            service.log,
            service.counters,
            lambda: scheduler.limits.threads_in_flight * scheduler.dispatcher_count,
            lambda name: sent.get(name, 0) > 0,
            service.name,
        )

    def streamed(self, number, whole, entries):
        self.source.streamed(number, whole, entries)

    def start(self, service):
        follows, (number, events) = service.coordinator, service.known
        self.source.start(events if follows else ())
        if follows:
            follows.last = max(number, *(event[0] for event in events), 0)

    def change(self, terms, ready):
        self.source.wake()

    def status(self):
        return self.source.status()

    def stop(self):
        self.source.stop()
