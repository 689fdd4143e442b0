"""Runs twenty loads concurrently with asyncio.

Each load has its own token, by which the dispatcher recognizes a retry inside the idempotency window.

python examples/loads.py 127.0.0.1:6565
"""

import asyncio
import sys

from wickvane_client import TOKENED, AsyncClient, Error, Group


async def main(addresses):
    groups = {"load": Group(TOKENED, window=12.0, timeout=20.0, ordered=True)}
    async with AsyncClient(addresses, groups) as client:

        async def load(n):
            try:
                await client.query(
                    "load",
                    f"INSERT INTO sales_{n % 5}.facts SELECT * FROM staging_1.batch",
                    key=f"logger-{n % 5}",
                    token=f"batch-{n}",
                )
                return "done"
            except Error as error:
                return type(error).__name__

        print(await asyncio.gather(*(load(n) for n in range(20))))


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
