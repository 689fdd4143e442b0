"""Reads Transaction Manager Requests (MS-TDS 2.2.6.9). No I/O."""

from enum import IntEnum
from typing import NamedTuple

from wickvane.errors import ProtocolError
from wickvane.net.tds.cursor import Cursor, IncompleteDataError
from wickvane.net.tds.sql_batch import skip_all_headers

BEGIN_AFTER_FLAG = 0x01  # fBeginXact


class TransactionRequestType(IntEnum):
    """The supported requests; the values are the protocol's request numbers."""

    BEGIN = 5
    COMMIT = 7
    ROLLBACK = 8
    SAVE = 9


class TransactionRequest(NamedTuple):
    """A request; begins_another: a new transaction begins after it."""

    type: TransactionRequestType
    begins_another: bool


def read_transaction_request(body: bytes) -> TransactionRequest:
    """Reads a request; raises ProtocolError if it is invalid or not supported."""
    cursor = Cursor(body, skip_all_headers(body))
    try:
        number = cursor.ushort()
        match number:
            case TransactionRequestType.BEGIN | TransactionRequestType.SAVE:
                return TransactionRequest(TransactionRequestType(number), False)
            case TransactionRequestType.COMMIT | TransactionRequestType.ROLLBACK:
                cursor.skip(2 * cursor.byte())  # name
                begins_another = bool(cursor.byte() & BEGIN_AFTER_FLAG)
                return TransactionRequest(TransactionRequestType(number), begins_another)
    except IncompleteDataError:
        raise ProtocolError("a request of the transaction manager is cut") from None
    raise ProtocolError("this request of the transaction manager is not taken")
