"""A client for asyncio: the same policy, connections borrowed by one task at a time."""

import asyncio
import time

import psycopg

from wickvane_client import driver, fields, policy


class AsyncClient:
    """addresses: of dispatchers, "host:port" each. For one event loop; at most `connections` a dispatcher."""

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
        self.free = [[] for _ in self.addresses]
        self.most = [asyncio.Semaphore(connections) for _ in self.addresses]

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
        """As Client.query."""
        call = self.policy.call(time.monotonic(), group, timeout, token)
        while True:
            todo = call.next(time.monotonic())
            if isinstance(todo, policy.Wait):
                await asyncio.sleep(max(0.0, todo.until - time.monotonic()))
                continue
            text = fields.comment(
                group, self.policy.id(), todo.left, call.token, key, tenant or self.tenant, cost, memory
            )
            rows, told = await self.tried(todo, text + statement, parameters)
            call.ended(time.monotonic(), *told)
            if told[0] == policy.FINISHED:
                return rows

    async def tried(self, todo, text, parameters):
        connection, sent = None, False
        try:
            async with asyncio.timeout(todo.left + 1.0), self.most[todo.dispatcher]:
                connection = await self.connection(todo)
                sent = True
                async with psycopg.AsyncClientCursor(connection) as cursor:
                    await cursor.execute(text, parameters)
                    rows = await cursor.fetchall() if cursor.description is not None else []
                self.free[todo.dispatcher].append(connection)
                connection = None
                return rows, (policy.FINISHED,)
        except TimeoutError:
            return None, (policy.LOST if sent else policy.REFUSED, 0.0, "no answer in time")
        except driver.RAISED as error:
            told = driver.became(error, sent)
            if told[0] not in (policy.LOST, policy.REFUSED) and connection is not None:
                self.free[todo.dispatcher].append(connection)
                connection = None
            return None, told
        finally:
            if connection is not None:
                await connection.close()  # lost, cancelled or timed out: what is on it is nobody's

    async def connection(self, todo):
        while self.free[todo.dispatcher]:
            found = self.free[todo.dispatcher].pop()
            if not found.closed:
                return found
        made = driver.options(self.addresses[todo.dispatcher], self.user, self.database, todo.left)
        return await psycopg.AsyncConnection.connect(**made)

    async def close(self):
        for line in self.free:
            while line:
                await line.pop().close()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *raised):
        await self.close()
