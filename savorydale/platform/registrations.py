"""Decode the entries with which workers register themselves.

Another program may have written an entry. Whatever cannot be a worker's is refused
here, so that no later calculation, header or connection meets such a value.
"""

import re

from savorydale.exceptions import RowFormatError
from savorydale.orders.interface import Resources, WorkerInfo
from savorydale.utils.addresses import to_address
from savorydale.utils.json_values import (
    JsonObject,
    load_json_object,
    to_list,
    to_object,
    to_text,
    to_whole_number,
)

WORKER_STATES = ("ready", "draining")
MAX_MILLICORES = 10_000_000
MAX_MEMORY_MB = 1_000_000_000
MAX_ACCELERATORS = 10_000
MAX_LABELS = 256
MAX_UNIX_MS = 100_000_000_000_000
MAX_REMAINING_MS = 1_000_000_000_000
WORKER_ID = re.compile(r"[!-~]{1,200}\Z")  # it is sent in a header


def decode_worker(worker: str, value: bytes) -> WorkerInfo:
    """Decode a worker's registration.

    Raises
    ------
    RowFormatError
        If a field is missing, has another type, is out of bounds, or names an unknown
        state.
    """
    if not WORKER_ID.match(worker):
        raise RowFormatError("the worker's identifier cannot be sent")
    data = load_json_object(value)
    try:
        if data["state"] not in WORKER_STATES:
            raise RowFormatError("unknown state")
        return WorkerInfo(
            worker,
            to_address(data["address"]),
            to_text(data["service"]),
            to_text(data["zone"]),
            data["state"] == "draining",
            _decode_capacity(to_object(data["capacity"])),
            _decode_labels(_get_optional(data, "labels", [])),
            to_whole_number(_get_optional(data, "born", 0), 0, MAX_UNIX_MS),
            _decode_remaining_ms(data),
        )
    except KeyError as error:
        raise RowFormatError(f"missing field {error}") from error


def _decode_capacity(capacity: JsonObject) -> Resources:
    return Resources(
        to_whole_number(capacity["cpu"], 0, MAX_MILLICORES),
        to_whole_number(capacity["memMb"], 0, MAX_MEMORY_MB),
        to_whole_number(_get_optional(capacity, "gpu", 0), 0, MAX_ACCELERATORS),
    )


def _get_optional(data: JsonObject, name: str, default: object) -> object:
    value = data.get(name)
    return default if value is None else value


def _decode_labels(value: object) -> tuple[str, ...]:
    labels = to_list(value)
    if len(labels) > MAX_LABELS:
        raise RowFormatError(f"more than {MAX_LABELS} labels")
    return tuple(to_text(label) for label in labels)


def _decode_remaining_ms(data: JsonObject) -> int | None:
    value = data.get("remainingMs")
    if value is None:
        return None
    return to_whole_number(value, -MAX_REMAINING_MS, MAX_REMAINING_MS)
