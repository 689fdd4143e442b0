"""Operators' orders: files `ID.order` in the state folder, each answered by a file `ID.answer`."""

import os
import time
import uuid
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

import orjson

from wickvane.endpoints.files import AUTHOR_PREFIX, read_file
from wickvane.endpoints.findings import DocumentError
from wickvane.endpoints.state_folder import TEMPORARY_SUFFIX, orders_folder

ORDER_SUFFIX = ".order"
ANSWER_SUFFIX = ".answer"
UNSENT_SUFFIX = ".new"
MAX_ORDERS = 64  # answered in one call
MAX_ORDER_SIZE = 4096  # octets
ANSWER_TIMEOUT_S = 5.0
ANSWER_POLL_INTERVAL_S = 0.02

DONE = "done"
INVALID_ORDER = "the order is invalid"
NOTHING_PENDING = "nothing waits for it"
ROLLBACK_REJECTED = "it cannot be rolled back"


class OrderKind(StrEnum):
    """The kinds of orders, by their names on the command line and on disk."""

    CONFIRM = "confirm"
    ROLLBACK = "rollback"
    PAUSE = "stop"


class Order(NamedTuple):
    """An operator's order. generation: None for PAUSE. author: owner of the order's file."""

    kind: OrderKind
    generation: int | None
    author: str


def _parse_order(data: bytes, author: str) -> Order | None:
    """Returns the order in a file's data, None if it is invalid."""
    try:
        stored = orjson.loads(data)
        kind = OrderKind(stored["order"])
        generation = stored.get("generation")
    except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError, ValueError):
        return None
    if kind == OrderKind.PAUSE:
        return Order(kind, None, author)
    return Order(kind, generation, author) if isinstance(generation, int) else None


def remove_stale_files(folder: str) -> None:
    """Removes answers of an earlier process and unfinished files. Raises OSError."""
    orders = orders_folder(folder)
    for name in os.listdir(orders):
        if name.endswith((ANSWER_SUFFIX, TEMPORARY_SUFFIX, UNSENT_SUFFIX)):
            os.unlink(os.path.join(orders, name))


def answer_orders(folder: str, carry_out: Callable[[Order], str], on_unanswered: Callable[[], None]) -> None:
    """Carries out the orders in a state folder and writes an answer to each.

    on_unanswered: called for each order whose answer cannot be written.
    """
    orders = orders_folder(folder)
    try:
        names = sorted(name for name in os.listdir(orders) if name.endswith(ORDER_SUFFIX))
    except OSError:
        return
    for name in names[:MAX_ORDERS]:
        path = os.path.join(orders, name)
        answer = _answer_to(path, name, carry_out)
        try:
            os.unlink(path)
            _write_answer(path.removesuffix(ORDER_SUFFIX), answer)
        except OSError:
            on_unanswered()


def _write_answer(stem: str, answer: str) -> None:
    with open(stem + TEMPORARY_SUFFIX, "wb") as file:
        file.write(orjson.dumps(answer))
    os.replace(stem + TEMPORARY_SUFFIX, stem + ANSWER_SUFFIX)


def _answer_to(path: str, name: str, carry_out: Callable[[Order], str]) -> str:
    try:
        content = read_file(path, name, MAX_ORDER_SIZE)
    except DocumentError as error:
        return str(error)
    if content is None:
        return INVALID_ORDER
    order = _parse_order(content.data, content.author.replace(AUTHOR_PREFIX, ""))
    return INVALID_ORDER if order is None else carry_out(order)


def send_order(folder: str, kind: OrderKind, generation: int | None) -> str | None:
    """Writes an order to a state folder and waits for the answer of the process that uses the folder.

    Returns None if there is no answer within ANSWER_TIMEOUT_S. Raises OSError.
    """
    body: dict[str, object] = {"order": kind.value}
    if generation is not None:
        body["generation"] = generation
    stem = os.path.join(orders_folder(folder), uuid.uuid4().hex)
    with open(stem + UNSENT_SUFFIX, "wb") as file:
        file.write(orjson.dumps(body))
    os.replace(stem + UNSENT_SUFFIX, stem + ORDER_SUFFIX)
    deadline = time.monotonic() + ANSWER_TIMEOUT_S
    while time.monotonic() < deadline:
        if os.path.exists(stem + ANSWER_SUFFIX):
            return _take_answer(stem + ANSWER_SUFFIX)
        time.sleep(ANSWER_POLL_INTERVAL_S)
    os.unlink(stem + ORDER_SUFFIX)
    return None


def _take_answer(path: str) -> str:
    with open(path, "rb") as file:
        answer = orjson.loads(file.read(MAX_ORDER_SIZE))
    os.unlink(path)
    return answer
