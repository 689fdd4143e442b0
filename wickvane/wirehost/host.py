"""Reads batches from the simulator's wire, runs each instance on its own events, writes the reply."""

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
    """One gateway's ids and its module. It is also the writer that the module is handed."""

    def __init__(self, seed, params):
        self.registry = IdRegistry(params)
        self.events, self.actions = [], []
        self.scheduler = Scheduler(seed, self.registry.deployment)

    # Events

    def read(self, item, lists):
        handler = self.READERS.get(item["type"])
        if handler:
            handler(self, item, lists)

    def job_in(self, item, lists):
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

    def verdict(self, item, lists):
        q, node = self.registry.queries.index_of.get(item["id"]), item["node"]
        if q is None or node not in self.registry.engines.index_of:
            return
        self.registry.attempt_ended(q, node)
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

    def aborted(self, item, lists):
        q = self.registry.queries.index_of.get(item["id"])
        if q is not None:
            self.events.append(ClientGone(q))
            self.registry.answered_queries.add(q)

    def due(self, item, lists):
        self.events.append(TimerFired(item["token"]))

    def update_of(self, item, lists):
        q, e = (
            self.registry.queries.index_of.get(item["id"]),
            self.registry.engines.index_of.get(item["node"]),
        )
        if q is not None and e is not None:
            amount = item.get("amount") or 0
            self.events.append(AttemptProgressed(q, item["attempt"], e, item["what"], amount))

    def registry(self, item, lists):
        if item["mode"] == "refused":
            self.events.append(EndpointListLost())
            return
        entries = lists[item["table"]]
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

    READERS = {
        "job_in": job_in,
        "verdict": verdict,
        "aborted": aborted,
        "due": due,
        "update_of": update_of,
        "registry": registry,
    }

    def round(self, now):
        events, self.events, self.actions = self.events, [], []
        try:
            self.scheduler.round(now, events, self)
        except Exception as error:
            at = error.__traceback__
            while at.tb_next:
                at = at.tb_next
            text = f"{type(error).__name__}: {error} (line {at.tb_lineno})"
            return [{"type": "panic", "note_text": text}]
        self.registry.release()
        return self.actions

    # Decisions

    def name(self, q):
        return self.registry.queries.names[q]

    def act(self, kind, **fields):
        self.actions.append({"type": kind, **fields})

    def start_attempt(self, q, engine, max_wait, start_by):  # on the wire a decision acts at once
        node = self.registry.engines.names[engine]
        self.registry.attempt_started(q, node)
        self.act("hand_off", id=self.name(q), node=node, max_wait_ms=max_wait / 10)

    def reject(self, q, retry_after):
        self.act("push_back", id=self.name(q), hold_off_ms=retry_after / 10)
        self.registry.answered_queries.add(q)

    def fail(self, q):
        self.act("abort", id=self.name(q))
        self.registry.answered_queries.add(q)

    def cancel_attempt(self, q, submission):
        self.act("recall", id=self.name(q), attempt=submission)

    def set_terms(self, q, priority, grant):
        self.act("set_terms", id=self.name(q), priority=priority, memory_grant=grant)

    def set_timer(self, token, at):
        self.act("set_alarm", token=token, at_ms=at / 10)

    def watch_endpoints(self, enabled):
        self.act("stream_changes", on=enabled)

    def log_note(self, text):
        self.act("journal_line", note_text=text)


def answer(batch, instances, lists):
    now, groups, acted = ticks(batch["now_ms"]), [], []
    for group in batch["groups"]:
        name = group["dispatcher"]
        for item in group["items"]:
            kind = item["type"]
            if kind == "manifest":
                lists[item["table"]] = item["entries"]
            elif kind == "new_instance":
                instances[name] = Instance(item["salt"], item["params"])
            elif kind == "detach":
                instances.pop(name, None)
            elif name in instances:
                instances[name].read(item, lists)
        if name in instances and name not in acted:
            acted.append(name)
    for name in acted:
        if name in instances:
            do = instances[name].round(now)
            if do:
                groups.append({"dispatcher": name, "do": do})
    return {"groups": groups}


def serve(lines, replies, errors):
    instances, lists = {}, {}
    for number, line in enumerate(lines, 1):
        try:
            reply = answer(json.loads(line), instances, lists)
        except ValueError as error:
            print(f"wirehost: line {number} cannot be read: {error}", file=errors)
            return 1
        except (KeyError, IndexError) as error:
            print(f"wirehost: line {number} lacks, or does not know, {error}", file=errors)
            return 1
        except (TypeError, AttributeError) as error:
            print(f"wirehost: line {number} has a value of the wrong form: {error}", file=errors)
            return 1
        replies.write(json.dumps(reply, separators=(",", ":")) + "\n")
        replies.flush()
    return 0
