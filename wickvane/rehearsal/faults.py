"""What a script's troubles do to a world: engines stall, slow down, fall silent, crash or drain, lists come
late, dispatchers are killed or stand still, clients come all at once.
"""

from wickvane.events import Ending, EngineState
from wickvane.rehearsal.host import Host, Process
from wickvane.units import TICKS_PER_SECOND

STILL = 1_000  # how long a watched file must not have changed


class Faults:
    """The part of a World that plays troubles; `begin_KIND` for each kind."""

    def some(self, trouble, n):
        """The processes that a trouble takes, by its own stream."""
        ready = [
            process for process in self.processes if not process.dead and process.state == EngineState.READY
        ]
        count = min(len(ready), max(1, round(trouble.part * len(ready))))
        return self.chance(f"trouble/{n}").sample(ready, count)

    def trouble(self, n, trouble):
        self.log("trouble", kind=trouble.kind, number=n)
        getattr(self, "begin_" + trouble.kind.replace("-", "_"))(n, trouble)

    def later(self, trouble, what, *words):
        self.at(self.now + trouble.length, what, *words)

    def begin_stall(self, n, trouble):
        for process in self.some(trouble, n):
            process.model.pause(self.now / 10, True)
            self.later(trouble, self.resumes, process)

    def resumes(self, process):
        process.model.pause(self.now / 10, False)
        process.plan()

    def begin_neighbour(self, n, trouble):
        for process in self.some(trouble, n):
            part = min(0.9, trouble.size)
            process.model.neighbour(self.now / 10, part)
            process.plan()
            self.later(trouble, self.neighbour_ends, process, part)

    def neighbour_ends(self, process, part):
        process.model.neighbour(self.now / 10, -part)
        process.plan()

    def begin_slow(self, n, trouble):
        for process in self.some(trouble, n):
            process.model.slow(self.now / 10, trouble.size)
            process.plan()
            self.later(trouble, self.slow_ends, process, trouble.size)

    def slow_ends(self, process, factor):
        process.model.slow(self.now / 10, 1 / factor)
        process.plan()

    def begin_silent(self, n, trouble):
        for process in self.some(trouble, n):
            process.silent += 1
            self.later(trouble, self.speaks, process)

    def speaks(self, process):
        process.silent -= 1

    def begin_reset(self, n, trouble):
        for process in self.some(trouble, n):
            now = self.now / 10
            for mark in list(process.out):
                process.model.cancel(now, mark)
            process.lose(Ending.RESET)

    def begin_crash(self, n, trouble):
        """The process dies; another starts cold in its place, with a name of its own, once the time is
        over."""
        for process in self.some(trouble, n):
            self.ends(process)
            self.later(trouble, self.starts, process.kind)

    def ends(self, process):
        process.dead = True
        process.lose(Ending.RESET)
        self.lists(process, EngineState.GONE)

    def starts(self, kind):
        process = Process(self, self.name_engine(), kind, 0, self.now / 10)
        self.processes.append(process)
        self.cold.listed(
            self.now / TICKS_PER_SECOND, process.name, "ready", kind, self.now / TICKS_PER_SECOND
        )
        self.lists(process, EngineState.READY)

    def begin_drain(self, n, trouble):
        for process in self.some(trouble, n):
            self.lists(process, EngineState.DRAINING)
            self.later(trouble, self.ends, process)

    def begin_deploy(self, n, trouble):
        """One batch after another, `size` engines each: drained, ended, replaced by cold ones."""
        some = self.some(trouble, n)
        batch = max(1, int(trouble.size))
        for k in range(0, len(some), batch):
            at = self.now + trouble.length * k // max(1, len(some))
            for process in some[k : k + batch]:
                self.at(at, self.lists, process, EngineState.DRAINING)
                self.at(at + 3 * TICKS_PER_SECOND, self.ends, process)
                self.at(at + 3 * TICKS_PER_SECOND, self.starts, process.kind)

    def lists(self, process, state):
        process.state = max(process.state, state)
        self.log("listed", engine=process.name, state=("ready", "draining", "gone")[state])
        if self.document is not None:
            self.write([(process, process.state)])
        for host in self.hosts:
            delay = int(self.chance(f"list/{host.name}").uniform(0.2, 1.0) * self.script.list_delay)
            if host.members is not None:
                self.at(self.now + delay + self.late_list + STILL, host.filed, self.document)
                continue
            self.at(self.now + delay + self.late_list, self.told, host, process, state)
            if self.again:
                # Once more, later: behind what has happened meanwhile.
                more = int(self.chance(f"again/{host.name}").uniform(0, 4) * TICKS_PER_SECOND)
                self.at(self.now + delay + more, self.told, host, process, state)

    def told(self, host, process, state):
        if not host.killed:
            host.list_engine(process, state)

    def begin_list_again(self, n, trouble):
        self.again += 1
        self.later(trouble, self.list_once)

    def list_once(self):
        self.again -= 1

    def begin_kill(self, n, trouble):
        """Dispatchers that are killed, and start from nothing under their names once the time is over."""
        alive = [host for host in self.hosts if not host.killed]
        count = min(len(alive), max(1, round(trouble.part * len(alive))))
        for host in self.chance(f"trouble/{n}").sample(alive, count):
            host.killed = True
            for query in host.queries.values():
                if query.answer is None:
                    query.answer = "left"  # no longer its duty; its connections are gone, and so is the work
                    host.seen.answered(self.now / TICKS_PER_SECOND, query.id, "left")
                    if query.submissions and not query.submissions[-1][2]:
                        self.gives_up(host, query, len(query.submissions) - 1, query.submissions[-1][3])
                    if query.clients.closed:
                        self.at(self.now + TICKS_PER_SECOND, self.one_more, query.clients)
            self.later(trouble, self.starts_over, host)

    def starts_over(self, old):
        fresh = Host(self, old.number)
        self.gone.append(old)
        self.hosts[self.hosts.index(old)] = fresh
        if fresh.members is not None:
            return fresh.filed(self.document)
        for process in self.processes:
            if process.state != EngineState.GONE:
                fresh.list_engine(process, process.state)

    def begin_list_late(self, n, trouble):
        delay = int(trouble.size * TICKS_PER_SECOND)
        self.late_list += delay
        self.later(trouble, self.list_in_time, delay)

    def list_in_time(self, delay):
        self.late_list -= delay

    def begin_storm(self, n, trouble):
        self.storm_size *= trouble.size
        self.later(trouble, self.storm_ends, trouble.size)

    def storm_ends(self, size):
        self.storm_size /= size

    def begin_estimates(self, n, trouble):
        self.estimates *= trouble.size
        self.later(trouble, self.estimates_hold, trouble.size)

    def estimates_hold(self, size):
        self.estimates /= size

    def begin_standstill(self, n, trouble):
        """Dispatchers that stand still, as a process that gets no core does."""
        count = max(1, round(trouble.part * len(self.hosts)))
        for host in self.chance(f"trouble/{n}").sample(self.hosts, count):
            host.paused = True
            self.later(trouble, self.goes_on, host)

    def goes_on(self, host):
        host.paused = False
