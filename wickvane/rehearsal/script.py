"""Scripts of a rehearsal, in KDL 2: fleet, groups, clients, troubles and what is expected, read into plain
figures.

Errors name node, value, what was expected, and the line where it can be had (wickvane.parts).
"""

from typing import NamedTuple

from wickvane import parts
from wickvane.events import Deployment, Effect, KeyScope, ResourceGroup
from wickvane.parts import Node, ValueType, reject_value

TIMES = parts.duration("0ms", "24h")
TROUBLES = (
    "stall",
    "neighbour",
    "slow",
    "silent",
    "reset",
    "crash",
    "drain",
    "deploy",
    "list-late",
    "storm",
    "estimates",
    "standstill",
    "kill",
    "list-again",
)
EFFECTS = {"read-only": Effect.READ_ONLY, "tokened": Effect.IDEMPOTENCY_KEY, "mutating": Effect.MUTATING}


def figure(low, high):
    def read(value):
        good = isinstance(value, (int, float)) and not isinstance(value, bool) and low <= value <= high
        return float(value) if good else reject_value()

    return ValueType(f"a number from {low} to {high}", read)


class Fleet(NamedTuple):
    """Engines of one kind."""

    kind: str
    count: int
    figures: dict  # of model.ValueType
    speaks: str  # on sockets: lines or tds


class Group(NamedTuple):
    """A resource group of the script."""

    name: str
    effect: str
    work: float  # milliseconds of one thread, mean
    spread: float  # its standard deviation over the mean
    threads: int
    reading: float
    memory: float
    promise: int
    stretch: float
    timeout: int
    value: float
    late: float
    ordered: bool
    loads: bool


class Clients(NamedTuple):
    """Clients that ask alike."""

    name: str
    group: int
    tenant: int
    rate: float  # a second, open loop; 0: closed loop
    even: bool
    closed: int
    think: int
    retries: int
    back_off: int
    tables: int
    keys: int
    since: int
    until: int
    heeds: bool  # stays away for as long as it is told


class Trouble(NamedTuple):
    """A fault, when it begins and how long it lasts."""

    kind: str
    at: int
    length: int
    part: float
    size: float


class Expectation(NamedTuple):
    """A figure that a run has to reach."""

    what: str
    figure: float
    after: int


class Script(NamedTuple):
    """Times in tenths of a millisecond."""

    name: str
    length: int
    gateways: int
    fleet: tuple
    groups: tuple
    tenants: tuple  # (name, share)
    clients: tuple
    troubles: tuple
    expected: tuple
    latency: int
    list_delay: int  # until dispatchers have the list, or a copy of the file that has it
    grace: int
    rest: int
    budget: tuple | None  # free, share, window
    window: int
    advice: int  # how long a client may be told to stay away; 0: it is not told
    watched: bool  # whether each gateway looks for storms
    lists: str = "stream"  # or "file": watched files, wickvane.endpoints


KIND = {
    "cores": figure(1, 256),
    "disks": figure(0.1, 256),
    "memory": figure(64, 1e7),
    "knee": figure(0.5, 16),
    "thrash": figure(0, 8),
    "spill": figure(0, 16),
    "warm-sets": parts.integer(0, 1000),
    "warm-gain": figure(0, 0.99),
    "cold-from": figure(0.01, 1),
    "cold": TIMES,
    "fall-multiple": figure(1, 100),
    "fall": TIMES,
    "sessions": parts.integer(1, 1000),
}
NAMES = {"cold": "cold_ms", "fall": "fall_ms", "sessions": "sessions"}


def read_fleet(node):
    name, count = node.argument(parts.name), node.property("count", parts.integer(1, 1000), 1)
    figures = {}
    for word, kind in KIND.items():
        value = node.property(word, kind)
        if value is not None:
            value = value / 10 if word in ("cold", "fall") else value
            figures[NAMES.get(word, word.replace("-", "_"))] = value
    speaks = node.property("speaks", parts.choice("lines", "tds"), "lines")
    node.reject_unknown()
    return Fleet(name, count, figures, speaks)


def read_group(node):
    group = Group(
        node.argument(parts.name),
        node.value("effect", parts.choice(*EFFECTS), "read-only"),
        node.value("work", TIMES, 1000) / 10,
        node.value("spread", figure(0, 10), 0.8),
        node.value("threads", parts.integer(1, 64), 1),
        node.value("reading", figure(0, 0.99), 0.3),
        node.value("memory", figure(1, 1e6), 96.0),
        node.value("promise", TIMES, 15_000),
        node.value("stretch", figure(0, 100), 2.0),
        node.value("timeout", TIMES, 75_000),
        node.value("value", figure(0.001, 1e6), 1.0),
        node.value("late", figure(0, 1), 0.0),
        node.value("ordered", parts.flag, False),
        node.value("loads", parts.flag, False),
    )
    node.reject_unknown()
    return group


def read_clients(node, groups, tenants, length):
    def named(table, word):
        return ValueType(
            " or ".join(table), lambda value: table.index(value) if value in table else reject_value()
        )

    clients = Clients(
        node.argument(parts.name),
        node.value("group", named(groups, "group"), required=True),
        node.value("tenant", named(tenants, "tenant"), 0),
        node.value("rate", figure(0.001, 1e5), 0.0),
        node.value("arrivals", parts.choice("poisson", "even"), "poisson") == "even",
        node.value("closed", parts.integer(1, 10_000), 0),
        node.value("think", TIMES, 10_000),
        node.value("retries", parts.integer(0, 20), 0),
        node.value("back-off", TIMES, 1000),
        node.value("tables", parts.integer(1, 10_000), 20),
        node.value("keys", parts.integer(1, 10_000), 10),
        node.value("since", TIMES, 0),
        node.value("until", TIMES, length),
        node.value("heeds", parts.flag, False),
    )
    if bool(clients.rate) == bool(clients.closed):
        raise node.error("either rate or closed")
    node.reject_unknown()
    return clients


def read_trouble(node):
    trouble = Trouble(
        node.argument(parts.choice(*TROUBLES)),
        node.property("at", TIMES, 0),
        node.property("for", TIMES, 50_000),
        node.property("part", figure(0, 1), 1.0),
        node.property("size", figure(0, 100), 2.0),
    )
    node.reject_unknown()
    return trouble


def read_expectation(node):
    what = node.argument(parts.choice("service", "no-rule-broken", "recovery"))
    above, within = node.property("above", figure(0, 1)), node.property("within", TIMES)
    after = node.property("after", TIMES, 0)
    if (what == "service") != (above is not None) or (what == "recovery") != (within is not None):
        raise node.error("above with service, within with recovery")
    node.reject_unknown()
    return Expectation(what, above if above is not None else within or 0, after)


def parsed(text):
    try:
        import ckdl
    except ImportError:
        raise parts.InvalidDocumentError("a script needs the package ckdl (requirements-parts.txt)") from None
    try:
        return ckdl.parse(text, version=2)
    except (ValueError, RecursionError) as error:
        raise parts.InvalidDocumentError(f"no KDL 2: {error}") from None


def read_text(text):
    return read_document(parsed(text), text)


def read_document(document, text):
    if len(document.nodes) != 1 or document.nodes[0].name != "rehearsal":
        raise parts.InvalidDocumentError("expected one node rehearsal")
    node = Node(document.nodes[0], "rehearsal", text)
    length = node.value("length", parts.duration("1s", "24h"), 600_000)
    fleet = tuple(read_fleet(child) for child in node.children("engines"))
    groups = tuple(read_group(child) for child in node.children("group"))
    tenants = []
    for child in node.children("tenant"):
        tenants.append((child.argument(parts.name), child.property("share", figure(0.001, 1), 1.0)))
        child.reject_unknown()
    tenants = tenants or [("all", 1.0)]
    if not fleet or not groups:
        raise node.error("nodes engines and group")
    for names, word in (
        ([f.kind for f in fleet], "engines"),
        ([g.name for g in groups], "group"),
        ([name for name, _ in tenants], "tenant"),
    ):
        if len(set(names)) < len(names):
            raise node.error(f"each {word} by a name of its own")
    clients = tuple(
        read_clients(child, [g.name for g in groups], [name for name, _ in tenants], length)
        for child in node.children("clients")
    )
    if not clients:
        raise node.error("a node clients")
    budget = node.child("budget")
    extra = None
    if budget:
        extra = (
            budget.property("free", figure(0, 1000), 3.0),
            budget.property("share", figure(0, 1), 0.1),
            budget.property("window", TIMES, 50_000),
        )
        budget.reject_unknown()
    script = Script(
        node.value("name", parts.name, "rehearsal"),
        length,
        node.value("gateways", parts.integer(1, 1000), 1),
        fleet,
        groups,
        tuple(tenants),
        clients,
        tuple(read_trouble(child) for child in node.children("trouble")),
        tuple(read_expectation(child) for child in node.children("expect")),
        node.value("latency", TIMES, 3),
        node.value("list-delay", TIMES, 10_000),
        node.value("grace", TIMES, 20_000),
        node.value("rest", TIMES, 3000),
        extra,
        node.value("repeats-dropped-for", TIMES, 120_000),
        node.value("longest-advice", TIMES, 0),
        node.value("watch-storms", parts.flag, False),
        node.value("lists", parts.choice("stream", "file"), "stream"),
    )
    node.reject_unknown()
    return script


def source(path):
    try:
        with open(path, "rb") as file:
            return file.read(1 << 20).decode()
    except OSError as error:
        raise parts.InvalidDocumentError(f"the script {path} cannot be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise parts.InvalidDocumentError(f"the script {path} is no UTF-8") from None


def is_experiment(path):
    return any(node.name == "experiment" for node in parsed(source(path)).nodes)


def read(path):
    text = source(path)
    try:
        return read_text(text)
    except parts.InvalidDocumentError as error:
        raise parts.InvalidDocumentError(f"the script {path}: {error}") from None


def deployment(script):
    """What the dispatchers are told of all this, as their settings would say it."""
    first = script.fleet[0].figures
    return Deployment(
        groups=[
            ResourceGroup(
                effect=EFFECTS[g.effect],
                key_scope=KeyScope.ANY_ENGINE,
                idempotency_window=max(0, script.window - 1),
                latency_objective=g.promise,
                objective_stretch=g.stretch,
                timeout=g.timeout,
                priority_weight=g.value,
                late_priority_weight=g.late,
                ordered=g.ordered,
                zones=None,
                kinds=None,
                threads=g.threads,
                is_bulk_load=g.loads,
                yields_to_bulk_loads=False,
            )
            for g in script.groups
        ],
        tenants=[(share, 0.0) for _, share in script.tenants],
        cores=[int(f.figures.get("cores", 8)) for f in script.fleet],
        memory=[f.figures.get("memory", 16_384.0) for f in script.fleet],
        dispatcher_count=script.gateways,
        zone=0,
        cross_zone_cost=0.0,
        max_attempts=5,
        can_cancel=True,
        memory_grants=False,
        priorities=True,
        max_memory_grant=0.4,
        progress_interval=0,
        subscribes_to_endpoints=False,
        poll_deadline=0,
        key_quarantine=script.rest + 1,
        retry_budget_minimum=script.budget[0] if script.budget else 0.0,
        retry_budget_ratio=script.budget[1] if script.budget else 0.0,
        retry_budget_window=script.budget[2] + 1 if script.budget else 0,
        slow_start_fraction=first.get("cold_from", 0.3),
        slow_start_duration=int(first.get("cold_ms", 15_000.0) * 10) + 1,
        collapse_multiple=first.get("fall_multiple", 2.5),
        collapse_window=int(first.get("fall_ms", 3000.0) * 10) + 1,
        max_retry_after=script.advice,
        reports=[],
    )
