"""Work that each dispatcher was asked for and gave each tenant, and what of the others' is new: no socket,
clock or thread.

Each life tells of its busiest tenants the work it ever gave them. That only grows, so a word that is lost,
late or doubled changes nothing in the end; what it grew by since it was last heard is charged here. Of a
tenant that a life is first heard of with, nobody knows how much is new: nothing is charged.
"""

from wickvane.quotas.latest import Latest

TOLD_MOST = 8  # tenants in one life's word: those that it gave most lately
ASKED = "/"  # in place of a tenant: all that was asked for
WEIGHED = 0.1  # of the latest look in the share of the traffic: some five seconds, by looks of half a one
TENANTS_MOST = 4096  # of one life that are remembered


class Charges(Latest):
    """Work that each dispatcher gave each tenant, as it goes round."""

    def __init__(self, most=4096):
        super().__init__(most)
        self.works, self.new = {}, {}  # life: {tenant: work}; tenant: what was not taken yet
        self.told = {}  # what this life told last
        self.asked, self.mine, self.mean = None, 0.0, 0.0

    def tells(self, life, t, works, asked):
        """This life's own word; works: {tenant: work ever}; asked: for how much, ever."""
        latest = sorted(works, key=lambda tenant: (self.told.get(tenant, 0) - works[tenant], tenant))
        self.told = dict(works)
        self.says(life, t, [(ASKED, asked), *((tenant, works[tenant]) for tenant in latest[:TOLD_MOST])])

    def hears(self, life, t, rows):
        known = self.works.get(life)
        if known is None and len(self.works) >= self.most or not self.says(life, t, rows):
            return
        known = self.works.setdefault(life, {})
        for tenant, work in rows:
            if tenant not in known and len(known) >= TENANTS_MOST:
                continue
            if (more := work - known.get(tenant, work)) > 0:
                self.new[tenant] = self.new.get(tenant, 0) + more
            known[tenant] = max(work, known.get(tenant, 0))

    def over(self, living):
        super().over(living)
        for life in [life for life in self.works if life not in living]:
            del self.works[life]

    def take(self, asked):
        """{tenant: work that others gave it since the last call}; asked: of this life, for how much, ever."""
        found, self.new = self.new, {}
        mine, self.asked = asked - (asked if self.asked is None else self.asked), asked
        self.mine += (mine - self.mine) * WEIGHED
        self.mean += ((mine + found.pop(ASKED, 0)) / (1 + len(self.works)) - self.mean) * WEIGHED
        return found

    def weight(self):
        """This life's share of what all are asked for, over an even one; 1 where nobody is known to ask."""
        return self.mine / self.mean if self.mean > 1e-6 and self.works else 1.0
