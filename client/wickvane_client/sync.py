"""Blocking client for threads: each thread keeps at most one open connection to each dispatcher."""

import threading
import time

import psycopg

from wickvane_client import driver, fields, policy
from wickvane_client._deprecated import (
    deprecated_attribute,
    deprecated_method,
    deprecated_names,
    deprecated_parameters,
)


class Client:
    """Blocking client, safe for use from any number of threads; each thread has its own connections.

    addresses: of the dispatchers, each "host:port". tenant: of queries that name none. policy_: a Policy to
    use instead of a new one of `groups` and `options`. Use it as a context manager or call close()."""

    def __init__(
        self, addresses, groups=None, user="client", database="bi", tenant=None, policy_=None, **options
    ):
        self.addresses, self.user, self.database, self.tenant = list(addresses), user, database, tenant
        self.policy = policy_ or policy.Policy(groups, len(self.addresses), **options)
        self.lock, self.thread_local, self.connections = threading.Lock(), threading.local(), []

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
        """Returns the rows of a query.

        group: name of its resource group. timeout: seconds for all attempts together. token: idempotency key;
        a tokened query without one gets a random one. key: queries of an ordered group with the same key run
        in order. cost: CPU time in milliseconds, summed over all threads. memory: in MB.

        Raises Deferred, Killed, UnknownOutcome or Unusable if the query has no result, ValueError for a field
        that cannot be sent, and KeyError for an unknown group."""
        with self.lock:
            call = self.policy.call(time.monotonic(), group, timeout, token)
        while True:
            with self.lock:
                step, txn = call.next(time.monotonic()), self.policy.id()
            if isinstance(step, policy.Wait):
                time.sleep(max(0.0, step.until - time.monotonic()))
                continue
            text = fields.comment(group, txn, step.left, call.token, key, tenant or self.tenant, cost, memory)
            rows, result = self.execute(step, text + statement, parameters)
            with self.lock:
                call.ended(time.monotonic(), *result)
            if result[0] == policy.FINISHED:
                return rows

    def execute(self, attempt, text, parameters):
        """Makes one attempt; returns its rows or None, and the arguments of Call.ended after the time."""
        sent, started_at = False, time.monotonic()
        try:
            connection = self.connection(attempt)
            # If the dispatcher hangs, the timer shuts the connection down one second after the deadline; the
            # attempt then ends as lost.
            with psycopg.ClientCursor(connection) as cursor:
                sent = True
                timer = threading.Timer(
                    attempt.left + 1.0 - (time.monotonic() - started_at), shut_down, (connection,)
                )
                timer.daemon = True
                timer.start()
                try:
                    cursor.execute(text, parameters)
                    return driver.fetch_rows(cursor), (policy.FINISHED,)
                finally:
                    timer.cancel()
        except driver.DRIVER_ERRORS as error:
            result = driver.classify_error(error, sent)
            if result[0] in (policy.LOST, policy.REFUSED):
                self.forget(attempt.dispatcher)
            return None, result

    tried = deprecated_method("tried", "execute", todo="attempt")
    own = deprecated_attribute("own", "thread_local")
    all = deprecated_attribute("all", "connections")

    @deprecated_parameters(todo="attempt")
    def connection(self, attempt):
        """Returns this thread's connection to the attempt's dispatcher; opens one if there is none."""
        connections = self.thread_local.__dict__.setdefault("connections", {})
        connection = connections.get(attempt.dispatcher)
        if connection is None or connection.closed:
            options = driver.options(
                self.addresses[attempt.dispatcher], self.user, self.database, attempt.left
            )
            connection = connections[attempt.dispatcher] = psycopg.connect(**options)
            with self.lock:
                self.connections = [one for one in self.connections if not one.closed] + [connection]
        return connection

    def forget(self, dispatcher):
        """Closes this thread's connection to the dispatcher, if it has one."""
        connection = self.thread_local.__dict__.get("connections", {}).pop(dispatcher, None)
        if connection is not None:
            connection.close()

    def close(self):
        """Closes the connections of all threads."""
        with self.lock:
            connections, self.connections = self.connections, []
        for connection in connections:
            connection.close()

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.close()


def shut_down(connection):
    """Shuts down the connection's socket, so that a thread blocked on it gets an error."""
    import os
    import socket

    try:
        with socket.socket(fileno=os.dup(connection.fileno())) as sock:
            sock.shutdown(socket.SHUT_RDWR)
    except (OSError, psycopg.Error):
        pass


__getattr__ = deprecated_names(globals(), hang_up="shut_down")
