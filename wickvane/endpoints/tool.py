"""`wickvane members`: what a document would do, what was done, and what operators say to that.

What is told comes from the folder of the journal, which may be read while its dispatcher runs; orders are
laid into it and answered by that dispatcher.
"""

import os
import sys
import time
import uuid

import orjson

from wickvane.endpoints import checks, document, journal, watch
from wickvane.endpoints.findings import NOTE, Finding, Unfit
from wickvane.endpoints.gather import Gathered
from wickvane.endpoints.membership import Membership, Terms
from wickvane.endpoints.source import ORDERS, STATUS
from wickvane.errors import ConfigError
from wickvane.events import EngineState
from wickvane.net.clock import Clock

ANSWER_S, STEP_S = 5.0, 0.02
STATES = {EngineState.READY: "ready", EngineState.DRAINING: "draining", EngineState.GONE: "gone"}
ANY, USUAL = checks.Facts({}, None, (), 1.0, 0), Terms()


class Wrong(Exception):
    """Why a call cannot be answered; exit 2."""


def main(asked):
    try:
        return chosen(asked)
    except (Wrong, journal.Unreadable) as error:
        print(f"wickvane: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1


def chosen(asked):
    if asked["agree"]:
        return agree(asked["DIR"], asked["--json"])
    part = part_of(asked["--parts"])
    if asked["check"]:
        folder = state_of(asked, part, needed=False)
        return check(asked["PATH"], part, asked["--config"], folder, asked["--json"])
    folder = state_of(asked, part)
    if asked["log"]:
        return history(folder, asked["--json"])
    if asked["show"]:
        return show(folder, asked["GENERATION"], asked["--json"])
    if asked["diff"]:
        return diff(folder, asked["FROM"], asked["TO"])
    what = next(word for word in ("confirm", "rollback", "stop") if asked[word])
    return order(folder, what, asked["GENERATION"])


def part_of(path):
    path = os.environ.get("WICKVANE_PARTS") if path == "$WICKVANE_PARTS" else path
    if not path:
        return None
    from wickvane import parts

    try:
        return parts.read(path).get("members")
    except parts.Unusable as error:
        raise Wrong(str(error)) from None


def state_of(asked, part, needed=True):
    folder = asked["--state"] or part and part.state
    if not folder and needed:
        raise Wrong("no folder of a journal: name one with --state, or a parts document that has one")
    return folder


def whole_number(text):
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise Wrong(f"{text[:40]} is no generation")
    return int(text)


def membership_of(folder, facts=ANY, terms=USUAL):
    """The Membership that the journal tells of."""
    found, made = journal.read(folder)[0], Membership(facts, terms)
    try:
        for record in found:
            made.apply(record)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise Wrong(f"the journal in {folder} has a record that cannot be used: {error}") from None
    return made


# What a document would do


def check(path, part, config, folder, as_json):
    """Reads what the files say, and tells what would be done with it; nothing is changed."""
    path = path or part and part.path
    if not path:
        raise Wrong("no document: name one, or a parts document that does")
    sealed, engines, most, terms = False, 20_000, 64 << 20, Terms()
    if part:
        sealed, engines, most, terms = part.sealed, part.engines, part.most, part.terms
    facts = facts_of(config)
    gathered, findings, writer = Gathered(), [], "file"
    directory = os.path.isdir(path)
    try:
        there, ignored = watch.look(path, directory, part.files if part else 1000)
        findings += [
            Finding("part-ignored", NOTE, "its name is not that of a part", name) for name in ignored
        ]
        for file in sorted(there) or [None]:
            if file is None:
                raise Unfit("missing", "it is not there", path)
            try:
                got = watch.take(os.path.join(path, file) if directory else path, file, most)
                if got is None:
                    raise Unfit("never-still", "it changed while it was read", file)
                writer = got[2]
                gathered.put(document.read(got[0], file, sealed, engines, terms.overrides))
            except Unfit as wrong:
                findings.append(wrong.finding)
    except Unfit as wrong:
        findings.append(wrong.finding)
    findings += gathered.findings()
    members, now = membership_of(folder, facts, terms) if folder else Membership(facts, terms), Clock().now()
    members.candidate(
        now, gathered.settle(), gathered.generation(), findings, writer, None, gathered.place_of
    )
    outcome = told_of(members.effects())
    for finding in findings:
        if finding.severity == NOTE:
            outcome["why"].insert(0, finding.sentence())
    if as_json:
        print(orjson.dumps(outcome).decode())
    else:
        for sentence in outcome["why"]:
            print(sentence)
        print(outcome["said"])
    return 1 if outcome["what"] == "refused" else 0


def told_of(effects):
    for kind, *rest in effects:
        if kind != "journal" or rest[0]["what"] not in ("taken", "refused", "held"):
            continue
        record = rest[0]
        what, generation = record["what"], record["generation"]
        said = {
            "taken": f"it would be taken as generation {generation}"
            + (" in steps" if record.get("steps") else ""),
            "held": f"it would be held as generation {generation} until it is confirmed",
            "refused": "it would be refused",
        }[what]
        return {
            "what": what,
            "generation": generation,
            "digest": record["digest"],
            "said": said,
            "codes": record["codes"],
            "why": record.get("why", []),
        }
    return {"what": "nothing", "said": "it changes nothing", "codes": [], "why": []}


def facts_of(config):
    config = os.environ.get("LB_CONFIG") if config == "$LB_CONFIG" else config
    if not config:
        return ANY
    from wickvane.id_registry import IdRegistry
    from wickvane.net.service import configuration

    try:
        return checks.facts_of(IdRegistry(configuration(config)["settings"]))
    except ConfigError as error:
        raise Wrong(str(error)) from None
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        raise Wrong(f"the configuration {config} cannot be used: {error}") from None


# What was done


def at_of(tenths):
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(tenths / 10_000))


def history(folder, as_json):
    for row in membership_of(folder).logged:
        if as_json:
            print(orjson.dumps(row).decode())
            continue
        more = [f"{row.get('generation')}"] if row.get("generation") is not None else []
        more += [f"({row['digest']})"] if row.get("digest") else []
        more += [f"of {row['of']}"] if row.get("of") else []
        more += [f"+{row['put']} -{row['drop']}"] if "put" in row else []
        more += ["in steps"] if row.get("steps") else []
        more += row.get("codes") or []
        print(at_of(row["at"]), row["what"], *more, f"by {row['who']}" if row.get("who") else "")
        for sentence in row.get("why") or []:
            print("   ", sentence)
    return 0


def show(folder, generation, as_json):
    if generation is not None:
        print_roster(roster_of(membership_of(folder), whole_number(generation)), as_json)
        return 0
    members, status = membership_of(folder), read_status(folder)
    found = members.status() if status is None else status
    if as_json:
        print(orjson.dumps(found).decode())
        return 0
    of = f", the content of {found['of']}" if found["of"] else ""
    print(
        f"generation {found['generation']}{of} ({found['digest']}): {found['ready']} ready of "
        f"{found['engines']}"
    )
    if found["pending"] and found["stepping"]:
        print(f"{found['pending']} engines change in steps" + (", stopped" if found["stopped"] else ""))
    if found["leaving"]:
        print("leaving: " + ", ".join(found["leaving"]))
    if found["held"]:
        held = found["held"]
        print(
            f"held: generation {held['generation']} ({', '.join(held['codes'])}); wickvane members confirm "
            f"{held['generation']}"
        )
    if found["refused"]:
        print("refused: " + ", ".join(found["refused"]))
    if found["old"]:
        print("from the journal; no file has agreed since")
    for _, member in sorted(members.shown.items()):
        print_member(member)
    return 0


def print_member(member):
    place = f"{member.address[0]}:{member.address[1]}" if member.address else "-"
    print(
        f"  {member.name:<24} {place:<22} {STATES[member.state]:<9} weight {member.weight:g}"
        + (f" {member.kind}" if member.kind else "")
        + (f" {member.zone}" if member.zone else "")
    )


def print_roster(roster, as_json):
    if as_json:
        print(
            orjson.dumps(
                {
                    "digest": roster.digest,
                    "engines": [member.plain() for _, member in sorted(roster.members.items())],
                }
            ).decode()
        )
        return
    print(f"{len(roster.members)} engines ({roster.digest})")
    for _, member in sorted(roster.members.items()):
        print_member(member)


def roster_of(members, generation):
    if generation not in members.history:
        known = ", ".join(map(str, list(members.history)[-10:]))
        raise Wrong(f"generation {generation} is not kept; the last ones are {known or 'none'}")
    return members.history[generation].roster


def diff(folder, one, other):
    members = membership_of(folder)
    before, after = (roster_of(members, whole_number(text)).members for text in (one, other))
    for name in sorted(set(before) | set(after)):
        was, now = before.get(name), after.get(name)
        if was == now:
            continue
        for sign, member in (("-", was), ("+", now)):
            if member is not None:
                print(sign, end="")
                print_member(member)
    return 0


def read_status(folder):
    try:
        with open(os.path.join(folder, STATUS), "rb") as file:
            found = orjson.loads(file.read(1 << 20))
    except (OSError, orjson.JSONDecodeError):
        return None
    return found if isinstance(found, dict) else None


def agree(folders, as_json):
    """Whether dispatchers, by their folders, have the same list at work; exit 1 where one is behind."""
    rows = []
    for folder in folders:
        found = read_status(folder)
        if found is None:
            found = membership_of(folder).status()
        rows.append((folder, found))
    newest = max((found["generation"], found["number"]) for _, found in rows)[0]
    leading = [found for _, found in rows if found["generation"] == newest]
    behind = 0
    for folder, found in rows:
        state = "same"
        if found["generation"] < newest:
            state = "behind"
        elif found["digest"] != leading[0]["digest"]:
            state = "differs"
        elif found["pending"] or found["stopped"]:
            state = "on its way"
        behind += state != "same"
        if as_json:
            print(orjson.dumps({"folder": folder, "state": state, **found}).decode())
        else:
            print(
                f"{folder}: {state}, generation {found['generation']} ({found['digest']}), "
                f"{found['ready']} ready of {found['engines']}"
            )
    return 1 if behind else 0


# Orders


def order(folder, what, generation):
    """Lays an order where the dispatcher takes it, and waits for its answer."""
    body = {"order": what}
    if generation is not None:
        body["generation"] = whole_number(generation)
    stem = os.path.join(folder, ORDERS, uuid.uuid4().hex)
    try:
        with open(stem + ".new", "wb") as file:
            file.write(orjson.dumps(body))
        os.replace(stem + ".new", stem + ".order")
        by = time.monotonic() + ANSWER_S
        while time.monotonic() < by:
            if os.path.exists(stem + ".answer"):
                with open(stem + ".answer", "rb") as file:
                    answer = orjson.loads(file.read(4096))
                os.unlink(stem + ".answer")
                print(answer)
                return 0 if answer == "done" else 1
            time.sleep(STEP_S)
        os.unlink(stem + ".order")
    except OSError as error:
        raise Wrong(f"{folder}: {error.strerror}") from None
    raise Wrong(f"nobody has taken the order within {ANSWER_S:g} s: does a dispatcher run with {folder}?")
