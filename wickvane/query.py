"""The record of one query that the decision module holds, from when it is taken to its final answer."""


class Query:
    """Plain storage; the decision module alone writes it. Times are tenths of a millisecond."""

    __slots__ = (
        "q",  # its index
        "resource_group",  # its resource group's index
        "tenant",
        "cost",  # estimated work of all threads
        "need",  # estimated memory in MB, 0 for none told
        "key",  # whose queries run one at a time, in order; None outside of ordered groups
        "table_group",  # its table group
        "limit",  # when the client gives up
        "target",  # up to when an answer has its whole value
        "hold",  # up to when it may wait for room
        "density",  # the negative of its value for its work, by which a tenant's queue is sorted
        "out",  # whether an attempt is out
        "engine",  # where the last attempt went
        "sent",  # when
        "tries",  # attempts so far
        "ran_at",  # when the first attempt that may have run was sent; None where nothing has run
        "ran_on",  # on which engine
        "over",  # whether its final answer is given
        "known_slow",  # whether it was moved once for being slow
        "priority",  # as the engine was last told
        "share",  # of the running attempt's work, as far as progress was told
        "erred",  # the first engine that answered it with an error; -1 after a second one did
        "counted",  # whether its lateness is in the median already
    )

    def __init__(self, q, resource_group, tenant, need, table_group, key):
        self.q, self.resource_group, self.tenant, self.need, self.table_group, self.key = (
            q,
            resource_group,
            tenant,
            need,
            table_group,
            key,
        )
        self.out, self.over, self.engine, self.sent, self.tries = False, False, -1, 0, 0
        self.ran_at, self.ran_on, self.erred = None, -1, None
        self.known_slow, self.counted, self.priority, self.share = False, False, -1, 0.0
