"""The state folder of a process with an endpoint list: journal, status and operators' orders."""

import os
from collections.abc import Iterable

import orjson

from wickvane.endpoints.endpoint_list import EndpointList
from wickvane.endpoints.journal import Journal
from wickvane.endpoints.records import RecordError, decode_record

STATUS_NAME = "status.json"
ORDERS_NAME = "orders"
FOLDER_MODE = 0o700
MAX_STATUS_SIZE = 1 << 20  # octets
TEMPORARY_SUFFIX = ".fresh"


def orders_folder(folder: str) -> str:
    """Returns the path of the folder for operators' orders."""
    return os.path.join(folder, ORDERS_NAME)


def open_journal(folder: str) -> Journal:
    """Creates the folder if it is missing, and locks its journal. Raises JournalInUseError or OSError."""
    os.makedirs(orders_folder(folder), FOLDER_MODE, exist_ok=True)
    return Journal(folder)


def recover_records(endpoint_list: EndpointList, records: Iterable[dict]) -> None:
    """Applies stored records to a new list. Raises RecordError if a record is invalid."""
    for stored in records:
        record = decode_record(stored)
        try:
            endpoint_list.apply(record)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise RecordError(error) from error


def write_status(folder: str, status: dict) -> None:
    """Atomically replaces the status file. Raises OSError."""
    path = os.path.join(folder, STATUS_NAME)
    with open(path + TEMPORARY_SUFFIX, "wb") as file:
        file.write(orjson.dumps(status))
    os.replace(path + TEMPORARY_SUFFIX, path)


def read_status(folder: str) -> dict | None:
    """Returns the status that a process wrote last, None if there is no valid status file."""
    try:
        with open(os.path.join(folder, STATUS_NAME), "rb") as file:
            status = orjson.loads(file.read(MAX_STATUS_SIZE))
    except (OSError, orjson.JSONDecodeError):
        return None
    return status if isinstance(status, dict) else None
