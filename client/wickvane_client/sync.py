"""A client that waits, for threads: one connection a dispatcher and thread at most, kept between queries."""

import threading
import time

import psycopg

from wickvane_client import driver, fields, policy


class Client:
    """addresses: of dispatchers, "host:port" each. Safe from any number of threads; each has connections of
    its own. Use as a context manager, or close()."""

    def __init__(
        self, addresses, groups=None, user="client", database="bi", tenant=None, policy_=None, **options
    ):
        self.addresses, self.user, self.database, self.tenant = list(addresses), user, database, tenant
        self.policy = policy_ or policy.Policy(groups, len(self.addresses), **options)
        self.lock, self.own, self.all = threading.Lock(), threading.local(), []

    def query(
        self,
        group,
        statement,
        parameters=None,
        *,
        timeout=None,
        token=None,
        key=None,
        tenant=None,
        cost=None,
        memory=None,
    ):
        """The rows of a query. timeout: seconds for all of its tries. Raises Deferred, Killed,
        UnknownOutcome or Unusable, and ValueError for a field that cannot be written."""
        with self.lock:
            call = self.policy.call(time.monotonic(), group, timeout, token)
        while True:
            with self.lock:
                todo, txn = call.next(time.monotonic()), self.policy.id()
            if isinstance(todo, policy.Wait):
                time.sleep(max(0.0, todo.until - time.monotonic()))
                continue
            text = fields.comment(group, txn, todo.left, call.token, key, tenant or self.tenant, cost, memory)
            rows, told = self.tried(todo, text + statement, parameters)
            with self.lock:
                call.ended(time.monotonic(), *told)
            if told[0] == policy.FINISHED:
                return rows

    def tried(self, todo, text, parameters):
        sent, began = False, time.monotonic()
        try:
            connection = self.connection(todo)
            # The connection's own watch: a dispatcher that hangs past the query's time is as good as lost.
            with psycopg.ClientCursor(connection) as cursor:
                sent = True
                watch = threading.Timer(todo.left + 1.0 - (time.monotonic() - began), hang_up, (connection,))
                watch.daemon = True
                watch.start()
                try:
                    cursor.execute(text, parameters)
                    return driver.rows_of(cursor), (policy.FINISHED,)
                finally:
                    watch.cancel()
        except driver.RAISED as error:
            told = driver.became(error, sent)
            if told[0] in (policy.LOST, policy.REFUSED):
                self.forget(todo.dispatcher)
            return None, told

    def connection(self, todo):
        mine = self.own.__dict__.setdefault("connections", {})
        found = mine.get(todo.dispatcher)
        if found is None or found.closed:
            made = driver.options(self.addresses[todo.dispatcher], self.user, self.database, todo.left)
            found = mine[todo.dispatcher] = psycopg.connect(**made)
            with self.lock:
                self.all = [one for one in self.all if not one.closed] + [found]
        return found

    def forget(self, dispatcher):
        found = self.own.__dict__.get("connections", {}).pop(dispatcher, None)
        if found is not None:
            found.close()

    def close(self):
        with self.lock:
            connections, self.all = self.all, []
        for connection in connections:
            connection.close()

    def __enter__(self):
        return self

    def __exit__(self, *raised):
        self.close()


def hang_up(connection):
    import os
    import socket

    try:
        with socket.socket(fileno=os.dup(connection.fileno())) as sock:
            sock.shutdown(socket.SHUT_RDWR)
    except (OSError, psycopg.Error):
        pass
