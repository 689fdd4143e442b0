"""Decision modules of earlier commits, loaded with the modules that they import from the same commit.

An earlier module knows events, settings and the writer by the names of its time. `load` returns a class that
is called like today's scheduler and translates both ways.
"""

import builtins
import subprocess
import types
from collections.abc import Callable
from pathlib import Path
from typing import Any

from wickvane import events as today
from wickvane.errors import WickvaneError

ROOT = Path(__file__).resolve().parents[2]
# Where the decision module lay, and what its class was called, the latest first.
MODULE_NAMES = ("wickvane.scheduling.scheduler", "wickvane.scheduler", "wickvane.choice")
CLASS_NAMES = ("Scheduler", "Gateway")
# Where the types of events lay.
EVENT_MODULE_NAMES = ("wickvane.events", "wickvane.interface")

# Today's event types by their former names, in the order of the codes that stood in front of events when
# these were plain tuples.
FORMER_EVENT_NAMES = {
    today.QueryArrived: "Taken",
    today.AttemptEnded: "Ended",
    today.ClientGone: "Left",
    today.TimerFired: "Due",
    today.AttemptProgressed: "Progressed",
    today.EngineUpdated: "EngineListed",
    today.EndpointListLost: "ListLost",
    today.ShutdownStarted: "Stopping",
    today.InFlightElsewhere: "InFlightElsewhere",
    today.LeaseChanged: "Leased",
    today.TenantsCharged: "Charged",
    today.EngineJudged: "Judged",
}
EVENT_CODES = {event_type: code for code, event_type in enumerate(FORMER_EVENT_NAMES)}

# Fields of ResourceGroup and Deployment by their former names.
FORMER_FIELDS = {
    "drops_repeats": "key_scope",
    "repeat_window": "idempotency_window",
    "promise": "latency_objective",
    "stretch": "objective_stretch",
    "value": "priority_weight",
    "late_value": "late_priority_weight",
    "loads": "is_bulk_load",
    "stands_behind_loads": "yields_to_bulk_loads",
    "gateways": "dispatcher_count",
    "crossing": "cross_zone_cost",
    "most_submissions": "max_attempts",
    "may_cancel": "can_cancel",
    "grants": "memory_grants",
    "most_grant": "max_memory_grant",
    "note_period": "progress_interval",
    "asks_for_list": "subscribes_to_endpoints",
    "ask_within": "poll_deadline",
    "key_rest": "key_quarantine",
    "extra_free": "retry_budget_minimum",
    "extra_share": "retry_budget_ratio",
    "extra_window": "retry_budget_window",
    "cold_from": "slow_start_fraction",
    "cold_time": "slow_start_duration",
    "fall_multiple": "collapse_multiple",
    "fall_time": "collapse_window",
    "longest_advice": "max_retry_after",
    "kept_open": "idle_connection_timeout",
    "weighs": "uses_engine_weights",
}


class UnknownRevisionError(WickvaneError):
    """A commit that is not in this repository, or has no decision module."""


class FormerWriter:
    """The writer's commands under the names that they had before events were renamed."""

    def __init__(self, writer: today.Writer) -> None:
        self.submit = writer.start_attempt
        self.defer = writer.reject
        self.kill = writer.fail
        self.cancel = writer.cancel_attempt
        self.terms = writer.set_terms
        self.alarm = writer.set_timer
        self.watch_list = writer.watch_endpoints
        self.note = writer.log_note


def text_at(revision: str, path: str) -> str | None:
    """The text of a file at a commit; None where git shows none."""
    shown = subprocess.run(
        ["git", "show", "--end-of-options", f"{revision}:{path}"], cwd=ROOT, capture_output=True
    )
    return None if shown.returncode else shown.stdout.decode()


class Revision:
    """The modules of this repository as they were at one commit, each loaded once."""

    def __init__(self, revision: str, read: Callable[[str, str], str | None] = text_at) -> None:
        self.revision = revision
        self._read = read
        self._modules: dict[str, types.ModuleType | None] = {}
        self.texts: dict[str, str] = {}

    def module(self, name: str) -> types.ModuleType | None:
        """A module by its full name; None where the commit has none of that name."""
        if name not in self._modules:
            self._modules[name] = self._load(name)
        return self._modules[name]

    def first(self, names: tuple[str, ...]) -> types.ModuleType | None:
        """The first module that there is."""
        return next((module for name in names if (module := self.module(name)) is not None), None)

    def _load(self, name: str) -> types.ModuleType | None:
        path = name.replace(".", "/")
        text = self._read(self.revision, f"{path}.py")
        if text is None:
            text = self._read(self.revision, f"{path}/__init__.py")
        if text is None:
            return None
        self.texts[name] = text
        module = types.ModuleType(name)
        module.__file__ = f"{self.revision}:{path}.py"
        module.__dict__["__builtins__"] = vars(builtins) | {"__import__": self._import}
        exec(compile(text, module.__file__, "exec"), module.__dict__)  # this repository's own text
        return module

    def _import(
        self,
        name: str,
        globals: dict[str, Any] | None = None,
        locals: dict[str, Any] | None = None,
        fromlist: tuple[str, ...] = (),
        level: int = 0,
    ) -> Any:
        """Stands in for `__import__`: modules of this repository come from the commit."""
        if name != "wickvane" and not name.startswith("wickvane."):
            return builtins.__import__(name, globals, locals, fromlist, level)
        found = types.SimpleNamespace()
        own = self.module(name)
        for wanted in fromlist or ():
            if own is not None and hasattr(own, wanted):
                setattr(found, wanted, getattr(own, wanted))
            else:
                setattr(found, wanted, self.module(f"{name}.{wanted}"))
        return found


def former_record(record: Any, former_type: type) -> Any:
    """A ResourceGroup or Deployment as an earlier type of it, field by field."""
    return former_type(
        **{name: getattr(record, FORMER_FIELDS.get(name, name)) for name in former_type._fields}
    )


def load(revision: str, read: Callable[[str, str], str | None] = text_at) -> tuple[type, str]:
    """A commit's decision class, to be called like today's, and the text that its decisions follow from.

    Raises:
        UnknownRevisionError: git knows no such commit, or it has no decision module.
    """
    modules = Revision(revision, read)
    module = modules.first(MODULE_NAMES)
    if module is None:
        raise UnknownRevisionError("git knows no such commit with a decision module here")
    scheduler = next(getattr(module, name) for name in CLASS_NAMES if hasattr(module, name))
    text = "\n".join(modules.texts[name] for name in sorted(modules.texts))
    return _translated(scheduler, modules.first(EVENT_MODULE_NAMES)), text


def _event_translator(types_module: types.ModuleType | None) -> Callable[[Any], tuple]:
    """Turns today's events into those of a commit, whose event types are classes of their own."""
    if hasattr(types_module, "QueryArrived"):
        return lambda event: getattr(types_module, type(event).__name__)(*event)
    if hasattr(types_module, "Taken"):
        return lambda event: getattr(types_module, FORMER_EVENT_NAMES[type(event)])(*event)
    return lambda event: (EVENT_CODES[type(event)], *event)


def _translated(scheduler: type, types_module: types.ModuleType | None) -> type:
    translate = _event_translator(types_module)
    has_todays_names = hasattr(types_module, "QueryArrived")

    class EarlierScheduler:
        """The same decisions, called as today."""

        def __init__(self, seed: Any, deployment: today.Deployment) -> None:
            if hasattr(types_module, "Deployment") and not has_todays_names:
                groups = [former_record(group, types_module.ResourceGroup) for group in deployment.groups]
                deployment = former_record(deployment, types_module.Deployment)._replace(groups=groups)
            self._scheduler = scheduler(seed, deployment)

        def round(self, now: int, events: list, out: today.Writer) -> None:
            """One round, with each event as it was then."""
            writer = out if has_todays_names else FormerWriter(out)
            self._scheduler.round(now, [translate(event) for event in events], writer)

    return EarlierScheduler
