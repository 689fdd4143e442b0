"""Reads the settings of a deployment into the typed values of wickvane.events.

The settings' keys are used in this module only, which maps them to the standard names. A setting that is
missing or null has its default, as does a zero where zero is not a valid value. Any other invalid value
raises SettingsError with the setting's path, the value and what was expected; unknown keys are ignored.
"""

import math
from collections.abc import Callable, Iterator
from itertools import chain, repeat
from typing import Any

from wickvane.errors import WickvaneError
from wickvane.events import Deployment, Effect, KeyScope, ResourceGroup
from wickvane.units import TICKS_PER_MILLISECOND

# Connections are closed before the engine's own idle timeout ends, so that no request is sent while the
# engine closes the connection.
IDLE_TIMEOUT_FRACTION = 0.8
DEFAULT_IDLE_TIMEOUT_MS = 30_000
EFFECTS = {"safe": Effect.READ_ONLY, "keyed": Effect.IDEMPOTENCY_KEY, "unsafe": Effect.MUTATING}
KEY_SCOPES = {"all": KeyScope.ANY_ENGINE, "zone": KeyScope.SAME_ZONE, "cell": KeyScope.SAME_CELL}
MAX_MILLISECONDS = 1e9
MAX_NUMBER = 1e9
MAX_COUNT = 1e6
MAX_QUOTED_CHARACTERS = 60
ROUNDING_ERROR = 1e-6  # of a time in ticks that is computed from decimal milliseconds


class SettingsError(WickvaneError, ValueError):
    """A setting that cannot be used: its path, the value found, and what was expected."""

    def __init__(self, path: str, value: Any, expected: str) -> None:
        quoted = repr(value)
        if len(quoted) > MAX_QUOTED_CHARACTERS:
            quoted = quoted[:MAX_QUOTED_CHARACTERS] + "…"
        super().__init__(f"{path} is {quoted}, where {expected} is expected")
        self.path = path
        self.expected = expected


def ticks(milliseconds: float | None) -> int:
    """Milliseconds as whole ticks, rounded down; 0 for none."""
    return int(milliseconds * TICKS_PER_MILLISECOND + ROUNDING_ERROR) if milliseconds else 0


def ticks_at_least(milliseconds: float | None) -> int:
    """Milliseconds as whole ticks, rounded up, for a wait that must not end early; 0 for none.

    One tick is added, since the clock rounds both the start and the end of a wait down.
    """
    return math.ceil(milliseconds * TICKS_PER_MILLISECOND - ROUNDING_ERROR) + 1 if milliseconds else 0


class Section:
    """One object of the settings; its methods read one value by name, and raise SettingsError."""

    def __init__(self, values: Any, path: str) -> None:
        if not isinstance(values, dict):
            raise SettingsError(path, values, "an object")
        self.values = values
        self.path = path

    def path_of(self, name: str) -> str:
        """The full path of a setting, for messages."""
        return f"{self.path}.{name}" if self.path else name

    def has(self, name: str) -> bool:
        """Whether a setting is present and not null."""
        return self.values.get(name) is not None

    def required(self, name: str) -> Any:
        """A setting that has to be present, of any type."""
        if not self.has(name):
            raise SettingsError(self.path_of(name), self.values.get(name), "a value")
        return self.values[name]

    def number_or_zero(self, name: str, default: float, maximum: float = MAX_NUMBER) -> float:
        """A number from 0 to `maximum`; the default if it is absent."""
        if not self.has(name):
            return default
        return checked_number(self.values[name], self.path_of(name), maximum)

    def number(self, name: str, default: float = 0.0, maximum: float = MAX_NUMBER) -> float:
        """A number up to `maximum`; the default if it is 0 or absent."""
        return self.number_or_zero(name, default, maximum) or default

    def milliseconds(self, name: str, default: float = 0.0) -> float:
        """A time in milliseconds; the default if it is 0 or absent."""
        return self.number(name, default, MAX_MILLISECONDS)

    def count(self, name: str, default: int) -> int:
        """A whole number; the default if it is 0 or absent."""
        return int(self.number(name, default, MAX_COUNT)) or default

    def flag(self, name: str) -> bool:
        """Whether a setting is set."""
        return bool(self.values.get(name))

    def text(self, name: str) -> str:
        """A required setting that is a name."""
        value = self.required(name)
        if not isinstance(value, str) or not value:
            raise SettingsError(self.path_of(name), value, "a name")
        return value

    def choice(self, name: str, choices: dict[str, Any], default: str | None = None) -> Any:
        """The value of one of several words."""
        value = self.values.get(name) or default
        if not isinstance(value, str) or value not in choices:
            raise SettingsError(self.path_of(name), value, "one of " + ", ".join(choices))
        return choices[value]

    def items(self, name: str) -> list:
        """A list; empty if it is absent."""
        values = self.values.get(name)
        if values is None:
            return []
        if not isinstance(values, list):
            raise SettingsError(self.path_of(name), values, "a list")
        return values

    def indexed_items(self, name: str) -> Iterator[tuple[str, Any]]:
        """The items of a list, each with its path."""
        for index, value in enumerate(self.items(name)):
            yield f"{self.path_of(name)}[{index}]", value

    def names(self, name: str) -> list[str]:
        """A list of names."""
        for path, value in self.indexed_items(name):
            if not isinstance(value, str):
                raise SettingsError(path, value, "a name")
        return self.items(name)

    def counts(self, name: str) -> list[int]:
        """A list of whole numbers; 1 replaces zero or null."""
        return [
            int(checked_number(value or 1, path, MAX_COUNT)) or 1 for path, value in self.indexed_items(name)
        ]

    def numbers(self, name: str) -> list[float]:
        """A list of numbers; 0 replaces null."""
        return [checked_number(value or 0.0, path, MAX_NUMBER) for path, value in self.indexed_items(name)]

    def section(self, name: str) -> "Section":
        """An object within this one; empty if it is absent."""
        return Section(self.values.get(name) or {}, self.path_of(name))

    def sections(self, name: str) -> list["Section"]:
        """A list of objects within this one, which have unique names."""
        sections = [Section(value, path) for path, value in self.indexed_items(name)]
        known: set[str] = set()
        for section in sections:
            section_name = section.text("name")
            if section_name in known:
                raise SettingsError(section.path_of("name"), section_name, "a unique name")
            known.add(section_name)
        return sections


def checked_number(value: Any, path: str, maximum: float) -> float:
    """The value, if it is a finite number from 0 to `maximum`.

    Raises:
        SettingsError: it is anything else.
    """
    usable = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not usable or not math.isfinite(value) or not 0 <= value <= maximum:
        raise SettingsError(path, value, f"a number from 0 to {maximum:g}")
    return value


def root_section(values: Any) -> Section:
    """All settings."""
    return Section(values, "settings")


def idle_connection_timeout(limits: Section) -> int:
    """Ticks after which an idle connection to an engine is closed; limits: the settings' limits."""
    engine_timeout_ms = limits.milliseconds("conn_idle_ms", DEFAULT_IDLE_TIMEOUT_MS)
    return int(engine_timeout_ms * TICKS_PER_MILLISECOND * IDLE_TIMEOUT_FRACTION)


def resource_group(
    group: Section,
    threads: int,
    is_bulk_load: Any,
    yields_to_bulk_loads: Any,
    zones: Callable[[str], int],
    kinds: Callable[[str], int],
) -> ResourceGroup:
    """The settings of one resource group. zones, kinds: map their names to small indices."""

    def allowed_indices(name: str, index_of: Callable[[str], int]) -> frozenset[int] | None:
        return frozenset(map(index_of, group.names(name))) if group.has(name) else None

    return ResourceGroup(
        effect=group.choice("effect", EFFECTS),
        key_scope=group.choice("group", KEY_SCOPES, "all"),
        idempotency_window=max(0, ticks(group.milliseconds("repeat_window_ms")) - 1),
        latency_objective=ticks(group.milliseconds("promise_ms")),
        objective_stretch=group.number("aim_stretch"),
        timeout=ticks(group.milliseconds("deadline_ms")),
        priority_weight=group.number_or_zero("worth", 1.0),
        late_priority_weight=group.number("late_worth"),
        ordered=group.flag("sequential"),
        zones=allowed_indices("zones_only", zones),
        kinds=allowed_indices("host_types_open", kinds),
        threads=threads,
        is_bulk_load=bool(is_bulk_load),
        yields_to_bulk_loads=bool(yields_to_bulk_loads),
    )


def resource_groups(
    settings: Section, family: Section, zones: Callable[[str], int], kinds: Callable[[str], int]
) -> list[ResourceGroup]:
    """All resource groups in order; a group for which a list of the family has no entry gets the default."""
    groups = settings.sections("classes")
    threads = chain(family.counts("class_threads"), repeat(1))
    bulk_loads = chain(family.items("writes_tables"), repeat(False))
    yields_to_bulk_loads = chain(family.items("yields_to_loads"), repeat(False))
    rows = zip(groups, threads, bulk_loads, yields_to_bulk_loads)
    return [resource_group(*row, zones, kinds) for row in rows]


def deployment(settings: Section, zones: Callable[[str], int], kinds: Callable[[str], int]) -> Deployment:
    """The settings for the decision modules. zones, kinds: map their names to small indices."""
    family = settings.section("family_info")
    limits = settings.section("limits")
    rules = settings.section("obligations")
    # There is a retry budget if its window is set, to any value.
    has_retry_budget = rules.has("budget_window_ms")
    return Deployment(
        groups=resource_groups(settings, family, zones, kinds),
        tenants=[
            (tenant.number("share"), tenant.number("quota_per_s")) for tenant in settings.sections("accounts")
        ],
        cores=family.counts("size_cores"),
        memory=family.numbers("size_mb"),
        dispatcher_count=settings.count("fleet_size", 1),
        zone=zones(settings.text("az")),
        cross_zone_cost=settings.section("tariffs").number("cross_zone"),
        max_attempts=limits.count("max_attempts", 1),
        can_cancel=limits.flag("cancel"),
        memory_grants=family.flag("memory_heeded"),
        priorities=family.flag("priorities"),
        max_memory_grant=family.number("most_grant", 1.0),
        progress_interval=ticks(family.milliseconds("note_period_ms")),
        subscribes_to_endpoints=settings.values.get("membership_mode") == "subscribe",
        poll_deadline=ticks(rules.milliseconds("ask_within_ms")),
        key_quarantine=ticks_at_least(rules.milliseconds("key_rest_ms")),
        retry_budget_minimum=rules.number("extra_free"),
        retry_budget_ratio=rules.number("further_ratio"),
        retry_budget_window=ticks_at_least(rules.milliseconds("budget_window_ms")) if has_retry_budget else 0,
        slow_start_fraction=rules.number("cold_from", 1.0, 1.0),
        slow_start_duration=ticks_at_least(rules.milliseconds("cold_ms")),
        collapse_multiple=rules.number("fall_multiple", 1.0),
        collapse_window=ticks_at_least(rules.milliseconds("fall_ms")),
        max_retry_after=ticks(limits.milliseconds("max_retry_after_ms")) if limits.flag("retry_after") else 0,
        reports=settings.section("report").names("fields"),
        idle_connection_timeout=idle_connection_timeout(limits),
    )
