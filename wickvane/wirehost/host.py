"""Reads batches of items from the simulator's wire and writes a reply of actions to each batch.

Each dispatcher of the simulator is an Instance, which runs its scheduler on its own events. The types and
fields of items and actions are the simulator's.
"""

import json

from wickvane.events import (
    AttemptEnded,
    AttemptProgressed,
    ClientGone,
    Ending,
    EndpointListLost,
    EngineState,
    QueryArrived,
    TimerFired,
)
from wickvane.id_registry import IdRegistry
from wickvane.scheduling.scheduler import Scheduler
from wickvane.settings import ticks

ENDINGS = {
    "served": Ending.FINISHED,
    "server_error": Ending.ERROR,
    "no_answer": Ending.NO_ANSWER,
    "connection_lost": Ending.RESET,
    "called_off": Ending.CANCELLED,
    "turned_away": Ending.REJECTED,
    "no_connection": Ending.NO_CONNECTION,
    "not_sent": Ending.NOT_SENT,
}
STATES = {"IN": EngineState.READY, "LAME": EngineState.DRAINING, "OUT": EngineState.GONE}


class Instance:
    """One dispatcher's ids and its scheduler. It is also the writer of the scheduler's decisions."""

    def __init__(self, seed, params):
        self.registry = IdRegistry(params)
        self.events, self.actions = [], []
        self.scheduler = Scheduler(seed, self.registry.deployment)

    # Events

    def handle(self, item, endpoint_lists):
        """Handles an item; ignores it if its type is unknown."""
        handler = self.ITEM_HANDLERS.get(item["type"])
        if handler:
            handler(self, item, endpoint_lists)

    def query_arrived(self, item, endpoint_lists):
        tenant = item.get("client_group")
        self.events.append(
            QueryArrived(
                self.registry.add_query(item["id"]),
                self.registry.groups.index[item["profile"]],
                self.registry.tenants(tenant) if tenant else 0,
                ticks(item.get("expected_ms")),
                item.get("ram_mb") or 0,
                item.get("source_set") or 0,
                item.get("table"),
                ticks(item["remaining_ms"]),
            )
        )

    def attempt_ended(self, item, endpoint_lists):
        q, node = self.registry.queries.index_of.get(item["id"]), item["node"]
        if q is None or node not in self.registry.engines.index_of:
            return
        self.registry.attempt_ended(q, node)
        # The work in milliseconds, and in the lower 12 bits the memory in units of 4 MB.
        stats = int(item.get("stats") or 0)
        self.events.append(
            AttemptEnded(
                q,
                item["attempt"],
                self.registry.engines.index_of[node],
                ENDINGS[item["result"]],
                ticks(item.get("delay_seen_ms")),
                bool(item.get("complete")),
                (stats >> 12) * 10,
                (stats & 4095) * 4,
                item.get("load"),
            )
        )
        if item.get("complete"):
            self.registry.answered_queries.add(q)

    def client_gone(self, item, endpoint_lists):
        q = self.registry.queries.index_of.get(item["id"])
        if q is not None:
            self.events.append(ClientGone(q))
            self.registry.answered_queries.add(q)

    def timer_fired(self, item, endpoint_lists):
        self.events.append(TimerFired(item["token"]))

    def attempt_progressed(self, item, endpoint_lists):
        q, e = (
            self.registry.queries.index_of.get(item["id"]),
            self.registry.engines.index_of.get(item["node"]),
        )
        if q is not None and e is not None:
            amount = item.get("amount") or 0
            self.events.append(AttemptProgressed(q, item["attempt"], e, item["what"], amount))

    def endpoints_changed(self, item, endpoint_lists):
        if item["mode"] == "refused":
            self.events.append(EndpointListLost())
            return
        entries = endpoint_lists[item["table"]]
        if item["mode"] != "changes":
            self.events.extend(self.registry.remove_missing({entry["node"] for entry in entries}))
        for entry in entries:
            event = self.registry.update_engine(
                entry["node"],
                STATES[entry["phase"]],
                entry.get("failure_domain"),
                entry.get("family_type"),
                entry.get("cohort"),
                entry.get("up_since_ms"),
                entry.get("heft"),
            )
            if event:
                self.events.append(event)

    ITEM_HANDLERS = {
        "job_in": query_arrived,
        "verdict": attempt_ended,
        "aborted": client_gone,
        "due": timer_fired,
        "update_of": attempt_progressed,
        "registry": endpoints_changed,
    }

    def round(self, now):
        """Runs the scheduler on the events since its last round; returns its actions."""
        events, self.events, self.actions = self.events, [], []
        try:
            self.scheduler.round(now, events, self)
        except Exception as error:
            entry = error.__traceback__
            while entry.tb_next:
                entry = entry.tb_next
            text = f"{type(error).__name__}: {error} (line {entry.tb_lineno})"
            return [{"type": "panic", "note_text": text}]
        self.registry.release()
        return self.actions

    # Decisions: the methods of the scheduler's writer

    def query_id(self, q):
        """The simulator's id of a query."""
        return self.registry.queries.names[q]

    def add_action(self, kind, **fields):
        """Adds an action to the reply."""
        self.actions.append({"type": kind, **fields})

    def start_attempt(self, q, engine, max_wait, start_by):
        """Writer: starts an attempt. The simulator starts it at once, so start_by has no effect."""
        node = self.registry.engines.names[engine]
        self.registry.attempt_started(q, node)
        self.add_action("hand_off", id=self.query_id(q), node=node, max_wait_ms=max_wait / 10)

    def reject(self, q, retry_after):
        self.add_action("push_back", id=self.query_id(q), hold_off_ms=retry_after / 10)
        self.registry.answered_queries.add(q)

    def fail(self, q):
        self.add_action("abort", id=self.query_id(q))
        self.registry.answered_queries.add(q)

    def cancel_attempt(self, q, number):
        self.add_action("recall", id=self.query_id(q), attempt=number)

    def set_terms(self, q, priority, grant):
        self.add_action("set_terms", id=self.query_id(q), priority=priority, memory_grant=grant)

    def set_timer(self, token, at):
        self.add_action("set_alarm", token=token, at_ms=at / 10)

    def watch_endpoints(self, enabled):
        self.add_action("stream_changes", on=enabled)

    def log_note(self, text):
        self.add_action("journal_line", note_text=text)


def process_batch(batch, instances, endpoint_lists):
    """Processes a batch and returns the reply; updates the instances and endpoint lists."""
    now, groups, names_with_events = ticks(batch["now_ms"]), [], []
    for group in batch["groups"]:
        name = group["dispatcher"]
        for item in group["items"]:
            kind = item["type"]
            if kind == "manifest":
                endpoint_lists[item["table"]] = item["entries"]
            elif kind == "new_instance":
                instances[name] = Instance(item["salt"], item["params"])
            elif kind == "detach":
                instances.pop(name, None)
            elif name in instances:
                instances[name].handle(item, endpoint_lists)
        if name in instances and name not in names_with_events:
            names_with_events.append(name)
    for name in names_with_events:
        if name in instances:
            actions = instances[name].round(now)
            if actions:
                groups.append({"dispatcher": name, "do": actions})
    return {"groups": groups}


def serve(lines, replies, errors):
    """Replies to each batch, one JSON text a line; returns the exit code.

    Ends with code 1 and one line in errors at a batch that it cannot process."""
    instances, endpoint_lists = {}, {}
    for number, line in enumerate(lines, 1):
        try:
            reply = process_batch(json.loads(line), instances, endpoint_lists)
        except ValueError as error:
            print(f"wirehost: line {number} cannot be read: {error}", file=errors)
            return 1
        except (KeyError, IndexError) as error:
            print(f"wirehost: line {number}: missing field or unknown value: {error}", file=errors)
            return 1
        except (TypeError, AttributeError) as error:
            print(f"wirehost: line {number} has a value of the wrong type: {error}", file=errors)
            return 1
        replies.write(json.dumps(reply, separators=(",", ":")) + "\n")
        replies.flush()
    return 0
