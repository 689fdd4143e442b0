"""What both doors share: the settings in the words of wickvane.interface, and ids as small indices."""

from math import ceil

from wickvane import interface as i

IDLE_PART, IDLE_MS = 0.8, 30_000  # of an engine's own idle time: a request must not cross the engine's close
EFFECTS = {"safe": i.READ_ONLY, "keyed": i.TOKENED, "unsafe": i.MUTATING}
REPEATS = {"all": i.ANY_ENGINE, "zone": i.SAME_ZONE, "cell": i.SAME_CELL}


def tenths(ms):
    return int(ms * 10 + 1e-6) if ms else 0


def at_least(ms):
    # One tenth more: the clock itself is cut to whole tenths at both ends of a wait.
    return ceil(ms * 10 - 1e-6) + 1 if ms else 0


def kept_open(limits):
    """How long a connection to an engine is kept that nothing is asked on."""
    return int((limits.get("conn_idle_ms") or IDLE_MS) * 10 * IDLE_PART)


class Names:
    """Names to small indices, in the order the wire first gave them."""

    def __init__(self, names=()):
        self.index = {}
        for name in names:
            self(name)

    def __call__(self, name):
        return self.index.setdefault(name, len(self.index))


class Indices:
    """Ids to small indices that are used again, the lowest free one last freed first."""

    def __init__(self):
        self.of, self.names, self.free = {}, [], []

    def add(self, name):
        if name in self.of:
            return self.of[name]
        if self.free:
            n = self.free.pop()
            self.names[n] = name
        else:
            n = len(self.names)
            self.names.append(name)
        self.of[name] = n
        return n

    def drop(self, name):
        n = self.of.pop(name)
        self.names[n] = None
        self.free.append(n)


class Book:
    """Which query and which engine an index stands for, and when it may stand for another."""

    def __init__(self, params, fronts=()):
        """fronts: the kinds of engines that each client protocol's queries may go to, by name; none: all to
        all. With them each resource group stands once a front, since which engines may take a query depends
        on the front it came by: placement, which the module keeps already, covers it."""
        self.zones, self.kinds = Names(params.get("zones") or ()), Names(params.get("host_types") or ())
        self.groups = Names(c["name"] for c in params["classes"])
        self.tenants = Names(a["name"] for a in params.get("accounts") or ())
        self.deployment = deployment(params, self.zones, self.kinds)
        self.group_names = list(self.groups.index)
        if fronts:
            self.group_names *= len(fronts)
            self.deployment = self.deployment._replace(groups=[
                group._replace(kinds=allowed if group.kinds is None else group.kinds & allowed)
                for allowed in (frozenset(map(self.kinds, front)) for front in fronts)
                for group in self.deployment.groups])
        self.queries, self.engines = Indices(), Indices()
        self.open = {}  # q: submissions without an ending; the query itself counts as one until it ends
        self.over = set()
        self.sent, self.listed = {}, {}

    def take(self, name):
        q = self.queries.add(name)
        self.open[q] = 0
        return q

    def submitted(self, q, name):
        self.open[q] += 1
        self.sent[name] += 1

    def ended(self, q, name):
        self.open[q] -= 1
        self.sent[name] -= 1

    def list_engine(self, name, state, zone, kind, cell, started, weight):
        """The event for the module; None where nothing is known of an engine that has gone."""
        if state == i.GONE and name not in self.engines.of:
            return None
        e = self.engines.add(name)
        self.sent.setdefault(name, 0)
        if state == i.GONE:
            self.listed.pop(name, None)
        else:
            self.listed[name] = (zone, kind, cell, started, weight)
        return (i.ENGINE, e, name.encode(), state, self.zones(zone), self.kinds(kind), cell or 0,
                tenths(started), weight or 1.0)

    def unlisted(self, named):
        """The events for engines that a whole list no longer names."""
        for name in [name for name in self.listed if name not in named]:
            yield self.list_engine(name, i.GONE, *self.listed[name])

    def settle(self):
        """Frees what is over; the engines that have gone for good."""
        for q in sorted(self.over):
            if not self.open[q]:
                self.over.discard(q)
                del self.open[q]
                self.queries.drop(self.queries.names[q])
        gone = [name for name, count in self.sent.items() if not count and name not in self.listed]
        for name in gone:
            del self.sent[name]
            self.engines.drop(name)
        return gone


def resource_group(c, n, family, zones, kinds):
    def flag(name):
        return bool((family.get(name) or [False] * (n + 1))[n])

    only_zones, only_kinds = c.get("zones_only"), c.get("host_types_open")
    return i.ResourceGroup(
        effect=EFFECTS[c["effect"]],
        drops_repeats=REPEATS[c.get("group") or "all"],
        repeat_window=max(0, tenths(c.get("repeat_window_ms")) - 1),
        promise=tenths(c["promise_ms"]),
        stretch=c.get("aim_stretch") or 0.0,
        timeout=tenths(c["deadline_ms"]),
        value=c.get("worth", 1.0),
        late_value=c.get("late_worth") or 0.0,
        ordered=bool(c.get("sequential")),
        zones=frozenset(map(zones, only_zones)) if only_zones is not None else None,
        kinds=frozenset(map(kinds, only_kinds)) if only_kinds is not None else None,
        threads=(family.get("class_threads") or [1] * (n + 1))[n],
        loads=flag("writes_tables"),
        stands_behind_loads=flag("yields_to_loads"),
    )


def deployment(params, zones, kinds):
    family, limits = params.get("family_info") or {}, params["limits"]
    rules = params["obligations"]
    accounts = params.get("accounts") or []
    budgeted = "budget_window_ms" in rules
    return i.Deployment(
        groups=[resource_group(c, n, family, zones, kinds) for n, c in enumerate(params["classes"])],
        tenants=[(a.get("share") or 0.0, a.get("quota_per_s") or 0.0) for a in accounts],
        cores=family.get("size_cores") or [],
        memory=family.get("size_mb") or [],
        gateways=max(1, params.get("fleet_size") or 1),
        zone=zones(params["az"]),
        crossing=(params.get("tariffs") or {}).get("cross_zone") or 0.0,
        most_submissions=limits.get("max_attempts") or 1,
        may_cancel=bool(limits.get("cancel")),
        grants=bool(family.get("memory_heeded")),
        priorities=bool(family.get("priorities")),
        most_grant=family.get("most_grant") or 1.0,
        note_period=tenths(family.get("note_period_ms")),
        asks_for_list=params.get("membership_mode") == "subscribe",
        ask_within=tenths(rules.get("ask_within_ms")),
        key_rest=at_least(rules.get("key_rest_ms")),
        extra_free=rules.get("extra_free") or 0.0,
        extra_share=rules.get("further_ratio") or 0.0,
        extra_window=at_least(rules["budget_window_ms"]) if budgeted else 0,
        cold_from=rules.get("cold_from") or 1.0,
        cold_time=at_least(rules.get("cold_ms")),
        fall_multiple=rules.get("fall_multiple") or 1.0,
        fall_time=at_least(rules.get("fall_ms")),
        longest_advice=tenths(limits.get("max_retry_after_ms")) if limits.get("retry_after") else 0,
        reports=list((params.get("report") or {}).get("fields") or []),
        kept_open=kept_open(limits),
    )
