"""Client for asyncio: the same policy as the blocking client, with a connection pool shared by all tasks."""

import asyncio
import time

import psycopg

from wickvane_client import driver, fields, policy
from wickvane_client._deprecated import deprecated_attribute, deprecated_method, deprecated_parameters


class AsyncClient:
    """Client for one event loop. Its arguments are those of Client, except for:

    connections: maximum number of connections to each dispatcher."""

    def __init__(
        self,
        addresses,
        groups=None,
        user="client",
        database="bi",
        tenant=None,
        connections=16,
        policy_=None,
        **options,
    ):
        self.addresses, self.user, self.database, self.tenant = list(addresses), user, database, tenant
        self.policy = policy_ or policy.Policy(groups, len(self.addresses), **options)
        self.idle_connections = [[] for _ in self.addresses]
        self.connection_limits = [asyncio.Semaphore(connections) for _ in self.addresses]

    async def query(
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
        """Returns the rows of a query; arguments and exceptions are those of Client.query."""
        call = self.policy.call(time.monotonic(), group, timeout, token)
        while True:
            step = call.next(time.monotonic())
            if isinstance(step, policy.Wait):
                await asyncio.sleep(max(0.0, step.until - time.monotonic()))
                continue
            text = fields.comment(
                group, self.policy.id(), step.left, call.token, key, tenant or self.tenant, cost, memory
            )
            rows, result = await self.execute(step, text + statement, parameters)
            call.ended(time.monotonic(), *result)
            if result[0] == policy.FINISHED:
                return rows

    async def execute(self, attempt, text, parameters):
        """Makes one attempt; returns its rows or None, and the arguments of Call.ended after the time."""
        connection, sent = None, False
        try:
            async with asyncio.timeout(attempt.left + 1.0), self.connection_limits[attempt.dispatcher]:
                connection = await self.connection(attempt)
                sent = True
                async with psycopg.AsyncClientCursor(connection) as cursor:
                    await cursor.execute(text, parameters)
                    rows = await cursor.fetchall() if cursor.description is not None else []
                self.idle_connections[attempt.dispatcher].append(connection)
                connection = None
                return rows, (policy.FINISHED,)
        except TimeoutError:
            return None, (
                policy.LOST if sent else policy.REFUSED,
                0.0,
                "the dispatcher did not answer before the deadline",
            )
        except driver.DRIVER_ERRORS as error:
            result = driver.classify_error(error, sent)
            if result[0] not in (policy.LOST, policy.REFUSED) and connection is not None:
                self.idle_connections[attempt.dispatcher].append(connection)
                connection = None
            return None, result
        finally:
            if connection is not None:
                # After a lost, cancelled or timed out attempt, an answer may still arrive on the connection,
                # so no other query may use it.
                await connection.close()

    tried = deprecated_method("tried", "execute", todo="attempt")
    free = deprecated_attribute("free", "idle_connections")
    most = deprecated_attribute("most", "connection_limits")

    @deprecated_parameters(todo="attempt")
    async def connection(self, attempt):
        """Returns an idle connection to the attempt's dispatcher; opens one if there is none."""
        while self.idle_connections[attempt.dispatcher]:
            connection = self.idle_connections[attempt.dispatcher].pop()
            if not connection.closed:
                return connection
        options = driver.options(self.addresses[attempt.dispatcher], self.user, self.database, attempt.left)
        return await psycopg.AsyncConnection.connect(**options)

    async def close(self):
        """Closes the idle connections."""
        for connections in self.idle_connections:
            while connections:
                await connections.pop().close()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exception):
        await self.close()
