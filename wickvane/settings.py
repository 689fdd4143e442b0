"""The settings of a deployment, read into the typed values of wickvane.events and checked on the way.

What is missing or null has its default, and so has a zero where none can be meant. Anything else that cannot
be used is named, with the value found and what was expected; keys that are not known here are skipped.
"""

import math
from itertools import chain, repeat

from wickvane.events import Deployment, Effect, KeyScope, ResourceGroup

IDLE_PART, IDLE_MS = 0.8, 30_000  # of an engine's own idle time: a request must not cross the engine's close
EFFECTS = {"safe": Effect.READ_ONLY, "keyed": Effect.IDEMPOTENCY_KEY, "unsafe": Effect.MUTATING}
REPEATS = {"all": KeyScope.ANY_ENGINE, "zone": KeyScope.SAME_ZONE, "cell": KeyScope.SAME_CELL}
MS_MOST, FIGURE_MOST, COUNT_MOST = 1e9, 1e9, 1e6
SHOWN_MOST = 60  # characters of a value that is quoted


class SettingsError(ValueError):
    """A setting that cannot be used: where it stands, what was found, what was expected."""

    def __init__(self, path, value, expected):
        shown = repr(value)
        if len(shown) > SHOWN_MOST:
            shown = shown[:SHOWN_MOST] + "…"
        super().__init__(f"{path} is {shown}, where {expected} is expected")
        self.path, self.expected = path, expected


def tenths(ms):
    """Milliseconds as whole tenths of them."""
    return int(ms * 10 + 1e-6) if ms else 0


def at_least(ms):
    """Milliseconds as tenths, rounded up: one more, since the clock is cut at both ends of a wait."""
    return math.ceil(ms * 10 - 1e-6) + 1 if ms else 0


class Section:
    """One object of the settings, whose values are asked for by name."""

    def __init__(self, values, path):
        if not isinstance(values, dict):
            raise SettingsError(path, values, "an object")
        self.values, self.path = values, path

    def at(self, name):
        """The full path of a setting, for messages."""
        return f"{self.path}.{name}" if self.path else name

    def has(self, name):
        """Whether a setting is there and not null."""
        return self.values.get(name) is not None

    def needed(self, name):
        """A setting that has to be there."""
        if not self.has(name):
            raise SettingsError(self.at(name), self.values.get(name), "a value")
        return self.values[name]

    def figure(self, name, default, most=FIGURE_MOST):
        """A number from 0 to `most`; the default for none."""
        return checked_number(self.values[name], self.at(name), most) if self.has(name) else default

    def number(self, name, default=0.0, most=FIGURE_MOST):
        """The same where a zero cannot be meant, and has the default too."""
        return self.figure(name, default, most) or default

    def ms(self, name, default=0.0):
        """A time in milliseconds."""
        return self.number(name, default, MS_MOST)

    def count(self, name, default):
        """A whole number; the default where it is 0 or absent."""
        return int(self.number(name, default, COUNT_MOST)) or default

    def flag(self, name):
        """Whether a setting is set."""
        return bool(self.values.get(name))

    def text(self, name):
        """A setting that is a name."""
        value = self.needed(name)
        if not isinstance(value, str) or not value:
            raise SettingsError(self.at(name), value, "a name")
        return value

    def choice(self, name, choices, default=None):
        """What a word stands for."""
        value = self.values.get(name) or default
        if not isinstance(value, str) or value not in choices:
            raise SettingsError(self.at(name), value, "one of " + ", ".join(choices))
        return choices[value]

    def items(self, name):
        """A list; empty for none."""
        values = self.values.get(name)
        if values is None:
            return []
        if not isinstance(values, list):
            raise SettingsError(self.at(name), values, "a list")
        return values

    def names(self, name):
        """A list of words."""
        values = self.items(name)
        for n, value in enumerate(values):
            if not isinstance(value, str):
                raise SettingsError(f"{self.at(name)}[{n}]", value, "a name")
        return values

    def counts(self, name):
        """A list of whole numbers, where a zero or null stands for 1."""
        return [
            int(checked_number(value or 1, f"{self.at(name)}[{n}]", COUNT_MOST)) or 1
            for n, value in enumerate(self.items(name))
        ]

    def figures(self, name):
        """A list of numbers."""
        return [
            checked_number(value or 0.0, f"{self.at(name)}[{n}]", FIGURE_MOST)
            for n, value in enumerate(self.items(name))
        ]

    def section(self, name):
        """An object in it; empty for none."""
        return Section(self.values.get(name) or {}, self.at(name))

    def sections(self, name):
        """A list of objects in it, each with a name of its own."""
        found = [Section(value, f"{self.at(name)}[{n}]") for n, value in enumerate(self.items(name))]
        known = set()
        for section in found:
            called = section.text("name")
            if called in known:
                raise SettingsError(section.at("name"), called, "a name that stands once")
            known.add(called)
        return found


def checked_number(value, path, most):
    """The value, if it is a finite number from 0 to `most`; else SettingsError."""
    usable = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not usable or not math.isfinite(value) or not 0 <= value <= most:
        raise SettingsError(path, value, f"a number from 0 to {most:g}")
    return value


def settings_of(values):
    """The settings as a whole."""
    return Section(values, "settings")


def idle_connection_timeout(limits):
    """How long a connection to an engine is kept that nothing is asked on."""
    return int(limits.ms("conn_idle_ms", IDLE_MS) * 10 * IDLE_PART)


def resource_group(group, threads, loads, yields_to_bulk_loads, zones, kinds):
    """A class as the decision module knows it."""

    def placed(name, indices):
        return frozenset(map(indices, group.names(name))) if group.has(name) else None

    return ResourceGroup(
        effect=group.choice("effect", EFFECTS),
        key_scope=group.choice("group", REPEATS, "all"),
        idempotency_window=max(0, tenths(group.ms("repeat_window_ms")) - 1),
        latency_objective=tenths(group.ms("promise_ms")),
        objective_stretch=group.number("aim_stretch"),
        timeout=tenths(group.ms("deadline_ms")),
        priority_weight=group.figure("worth", 1.0),
        late_priority_weight=group.number("late_worth"),
        ordered=group.flag("sequential"),
        zones=placed("zones_only", zones),
        kinds=placed("host_types_open", kinds),
        threads=threads,
        is_bulk_load=bool(loads),
        yields_to_bulk_loads=bool(yields_to_bulk_loads),
    )


def resource_groups(settings, family, zones, kinds):
    """The classes in order; those past the end of one of the family's lists have its default."""
    groups = settings.sections("classes")
    threads = chain(family.counts("class_threads"), repeat(1))
    loads = chain(family.items("writes_tables"), repeat(False))
    stands = chain(family.items("yields_to_loads"), repeat(False))
    return [resource_group(*values, zones, kinds) for values in zip(groups, threads, loads, stands)]


def deployment(settings, zones, kinds):
    """All that the decision module is told of a deployment. zones, kinds: names to small indices."""
    family, limits, rules = (settings.section(name) for name in ("family_info", "limits", "obligations"))
    # A budget is kept where its window is named, whatever the figure.
    budgeted = rules.has("budget_window_ms")
    return Deployment(
        groups=resource_groups(settings, family, zones, kinds),
        tenants=[
            (tenant.number("share"), tenant.number("quota_per_s")) for tenant in settings.sections("accounts")
        ],
        cores=family.counts("size_cores"),
        memory=family.figures("size_mb"),
        dispatcher_count=settings.count("fleet_size", 1),
        zone=zones(settings.text("az")),
        cross_zone_cost=settings.section("tariffs").number("cross_zone"),
        max_attempts=limits.count("max_attempts", 1),
        can_cancel=limits.flag("cancel"),
        memory_grants=family.flag("memory_heeded"),
        priorities=family.flag("priorities"),
        max_memory_grant=family.number("most_grant", 1.0),
        progress_interval=tenths(family.ms("note_period_ms")),
        subscribes_to_endpoints=settings.values.get("membership_mode") == "subscribe",
        poll_deadline=tenths(rules.ms("ask_within_ms")),
        key_quarantine=at_least(rules.ms("key_rest_ms")),
        retry_budget_minimum=rules.number("extra_free"),
        retry_budget_ratio=rules.number("further_ratio"),
        retry_budget_window=at_least(rules.ms("budget_window_ms")) if budgeted else 0,
        slow_start_fraction=rules.number("cold_from", 1.0, 1.0),
        slow_start_duration=at_least(rules.ms("cold_ms")),
        collapse_multiple=rules.number("fall_multiple", 1.0),
        collapse_window=at_least(rules.ms("fall_ms")),
        max_retry_after=tenths(limits.ms("max_retry_after_ms")) if limits.flag("retry_after") else 0,
        reports=settings.section("report").names("fields"),
        idle_connection_timeout=idle_connection_timeout(limits),
    )
