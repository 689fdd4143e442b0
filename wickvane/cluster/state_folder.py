"""The state folder: the status file that a dispatcher writes, and the orders that operators send to it.

Each file is written under a temporary name and then renamed, so that a reader never sees an incomplete file.
"""

import os
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from wickvane.errors import ConfigError, WickvaneError

STATUS_FILE = "status.json"
ORDER_FILE = "order.json"
ANSWER_FILE = "answer.json"
MAX_ORDER_SIZE = 4096  # octets
MAX_ORDER_ID_LENGTH = 64  # characters


class OrderError(WickvaneError):
    """An order file with invalid contents."""


class Order(NamedTuple):
    """An operator's order. action: the value in the file, of any type; name: the name of a member."""

    id: str
    action: Any
    name: str


class Answer(NamedTuple):
    """The result of an order."""

    is_done: bool
    text: str


class StateFolder:
    """The folder of one dispatcher."""

    def __init__(self, path: str | Path):
        self.path = Path(path)
        self._text = str(path)

    def prepare(self) -> None:
        """Creates the folder, and removes the order and the answer of a former run. Raises ConfigError."""
        try:
            os.makedirs(self.path, 0o700, exist_ok=True)
            for name in (ORDER_FILE, ANSWER_FILE):
                (self.path / name).unlink(missing_ok=True)
        except OSError as error:
            raise ConfigError(f"peers: {self._text} cannot be used: {error.strerror}", 2) from None

    def write_status(self, status: dict) -> None:
        """Replaces the status file. Raises OSError."""
        self._replace(STATUS_FILE, f"{STATUS_FILE}.new", status)

    def read_status(self) -> dict:
        """Returns the contents of the status file. Raises OSError or orjson.JSONDecodeError."""
        return orjson.loads((self.path / STATUS_FILE).read_bytes())

    def write_order(self, order: Order) -> None:
        """Writes an order for the dispatcher. Raises OSError."""
        fields = {"id": order.id, "what": order.action, "name": order.name}
        self._replace(ORDER_FILE, f"{order.id}.new", fields)

    def take_order(self) -> Order | None:
        """Reads and removes the order file. Returns None if there is none. Raises OrderError."""
        path = self.path / ORDER_FILE
        try:
            with open(path, "rb") as file:
                data = file.read(MAX_ORDER_SIZE)
            path.unlink()
        except OSError:
            return None
        try:
            fields = orjson.loads(data)
            id = str(fields["id"])[:MAX_ORDER_ID_LENGTH]
            return Order(id, fields["what"], str(fields.get("name") or ""))
        except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError):
            raise OrderError(f"{path}: not a valid order") from None

    def write_answer(self, order: Order, answer: Answer) -> None:
        """Writes the answer to an order. Raises OSError."""
        fields = {"id": order.id, "done": answer.is_done, "said": answer.text}
        self._replace(ANSWER_FILE, f"{ANSWER_FILE}.new", fields)

    def take_answer(self, order: Order) -> Answer | None:
        """Reads and removes the answer to an order. Returns None if there is none yet."""
        path = self.path / ANSWER_FILE
        try:
            fields = orjson.loads(path.read_bytes())
            if fields["id"] != order.id:
                return None
            path.unlink()
        except (OSError, orjson.JSONDecodeError):
            return None
        return Answer(fields["done"], fields["said"])

    def _replace(self, name: str, temporary_name: str, fields: dict) -> None:
        temporary = self.path / temporary_name
        temporary.write_bytes(orjson.dumps(fields))
        temporary.replace(self.path / name)
