"""Workers and configuration, as they lie in the platform's store."""

import json
import logging
from collections.abc import Callable
from typing import Any

from savorydale.counters import Counters
from savorydale.exceptions import RowFormatError
from savorydale.jobs.model import Configuration, QueueSettings
from savorydale.orders.interface import Resources, WorkerInfo
from savorydale.storage.rows import StoredRow

WORKERS_TABLE = "servers"
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
STATES = ("ready", "draining")
DEFAULT_BODY_BYTES = 262_144

log = logging.getLogger(__name__)

JsonObject = dict[str, Any]


class WorkerRegistry:
    """Listens to the table in which workers register themselves."""

    def __init__(
        self,
        on_change: Callable[[dict[str, WorkerInfo]], None],
        counters: Counters,
    ):
        self._on_change = on_change
        self._counters = counters
        self._info_by_worker: dict[str, WorkerInfo] = {}

    def replace_all(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Take in all registered workers."""
        self._info_by_worker = {}
        self.apply(rows, version)

    def apply(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Take in registrations that changed or ended."""
        for row in rows:
            worker = row.name.key
            if row.value is None:
                self._info_by_worker.pop(worker, None)
                continue
            try:
                self._info_by_worker[worker] = decode_worker(worker, row.value)
            except RowFormatError as error:
                self._counters.increment("registration.unreadable")
                log.info(
                    "registration is skipped",
                    extra={"worker": worker, "reason": str(error)},
                )
        self._on_change(dict(self._info_by_worker))

    def record_response(self, store_ms: int) -> None:
        """Do nothing; a registration has no age."""


class ConfigurationFollower:
    """Listens to the operator's table; the version in force only grows."""

    def __init__(
        self,
        on_change: Callable[[Configuration], None],
        on_contact: Callable[[int], None],
    ):
        self._on_change = on_change
        self._on_contact = on_contact
        self._version = -1

    def replace_all(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Take in all rows of the operator."""
        self.apply(rows, version)

    def apply(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Take in a new configuration."""
        for row in rows:
            if row.name.key != CONFIGURATION_KEY or row.value is None:
                continue
            try:
                configuration = decode_configuration(row.value)
            except RowFormatError as error:
                log.warning("configuration is skipped", extra={"reason": str(error)})
                continue
            if configuration.version > self._version:
                self._version = configuration.version
                self._on_change(configuration)

    def record_response(self, store_ms: int) -> None:
        """Note that the store was in reach."""
        self._on_contact(store_ms)


def decode_worker(worker: str, value: bytes) -> WorkerInfo:
    """Return what a worker says of itself.

    Raises
    ------
    RowFormatError
        If a field is missing, has another type, or names an unknown state.
    """
    data = _load(value)
    try:
        room = data["capacity"]
        if data["state"] not in STATES:
            raise RowFormatError(f"state {data['state']!r} is not known")
        remaining = data.get("remainingMs")
        return WorkerInfo(
            worker,
            _text(data["address"]),
            _text(data["service"]),
            _text(data["zone"]),
            data["state"] == "draining",
            Resources(int(room["cpu"]), int(room["memMb"]), int(room.get("gpu") or 0)),
            tuple(_text(label) for label in data.get("labels") or ()),
            int(data.get("born") or 0),
            None if remaining is None else int(remaining),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RowFormatError(f"a field is missing or wrong: {error!r}") from error


def decode_configuration(value: bytes) -> Configuration:
    """Return the operator's configuration.

    Raises
    ------
    RowFormatError
        If it has another form.
    """
    data = _load(value)
    try:
        queues = [_decode_queue(route) for route in data["routes"]]
        limits = data.get("limits") or {}
        return Configuration(
            int(data["version"]),
            {queue.name: queue for queue in queues},
            int(limits.get("maxBodyBytes") or DEFAULT_BODY_BYTES),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RowFormatError(f"a field is missing or wrong: {error!r}") from error


def _decode_queue(route: JsonObject) -> QueueSettings:
    return QueueSettings(
        name=_text(route["name"]),
        host=_text(route["host"]).lower(),
        path_prefix=_text(route["pathPrefix"]),
        service=_text(route["service"]),
        priority=int(route.get("priority") or 0),
        max_attempts=int(route.get("attempts") or 1),
        stretch=float(route.get("stretch") or 1.0),
        objective_ms=float(route.get("sloMs") or 0),
        needs_advice=bool(route.get("advice")),
    )


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a text")
    return value


def _load(value: bytes) -> JsonObject:
    try:
        data = json.loads(value)
    except ValueError as error:
        raise RowFormatError("the value is not JSON") from error
    if not isinstance(data, dict):
        raise RowFormatError("the value is not an object")
    return data
