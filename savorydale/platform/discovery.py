"""Read worker registrations and the configuration from the platform's store."""

import logging
from collections.abc import Callable

from savorydale.counters import Counters
from savorydale.exceptions import RowFormatError
from savorydale.jobs.model import Configuration, QueueSettings
from savorydale.orders.interface import WorkerInfo
from savorydale.platform.registrations import decode_worker
from savorydale.platform.skipped_rows import SkippedRows
from savorydale.storage.rows import StoredRow
from savorydale.utils.json_values import (
    JsonObject,
    load_json_object,
    to_float,
    to_int,
    to_list,
    to_object,
    to_text,
    to_whole_number,
)

WORKERS_TABLE = "servers"
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
MAX_VERSION = 1_000_000_000_000_000
DEFAULT_MAX_BODY_BYTES = 262_144

log = logging.getLogger(__name__)


class WorkerRegistry:
    """Follows the table in which workers register themselves.

    A worker whose registration cannot be read counts as not registered: it gets no new
    runs, since its capacity is unknown, and keeps those that it has.
    """

    def __init__(
        self,
        on_change: Callable[[dict[str, WorkerInfo]], None],
        counters: Counters,
        on_response: Callable[[], None] = lambda: None,
    ):
        self._on_change = on_change
        self._on_response = on_response
        self._skipped = SkippedRows(
            "registration is skipped", "registration.unreadable", counters
        )
        self._info_by_worker: dict[str, WorkerInfo] = {}

    def replace_all(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Replace all registrations."""
        self._info_by_worker = {}
        self.apply(rows, version)

    def apply(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Apply registrations that were changed or deleted."""
        for row in rows:
            worker = row.name.key
            if row.value is None:
                self._info_by_worker.pop(worker, None)
                continue
            try:
                self._info_by_worker[worker] = decode_worker(worker, row.value)
            except RowFormatError as error:
                self._info_by_worker.pop(worker, None)
                self._skipped.record(worker, str(error))
        self._on_change(dict(self._info_by_worker))

    def record_response(self, store_ms: int) -> None:
        """Report that all changes are known."""
        self._on_response()


class ConfigurationFollower:
    """Follows the operator's table; only a newer version replaces a configuration."""

    def __init__(
        self,
        on_change: Callable[[Configuration], None],
        on_response: Callable[[int], None],
    ):
        self._on_change = on_change
        self._on_response = on_response
        self._version = -1

    def replace_all(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Apply all rows of the operator's table."""
        self.apply(rows, version)

    def apply(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Report a configuration that is newer than the one in force."""
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
        """Report that the store responded, and its clock."""
        self._on_response(store_ms)


def decode_configuration(value: bytes) -> Configuration:
    """Decode the operator's configuration.

    Raises
    ------
    RowFormatError
        If a field is missing or has another type.
    """
    data = load_json_object(value)
    try:
        queues = [_decode_queue(to_object(route)) for route in to_list(data["routes"])]
        limits = to_object(data.get("limits") or {})
        return Configuration(
            to_whole_number(data["version"], 0, MAX_VERSION),
            {queue.name: queue for queue in queues},
            to_int(limits.get("maxBodyBytes") or DEFAULT_MAX_BODY_BYTES),
        )
    except KeyError as error:
        raise RowFormatError(f"missing field {error}") from error


def _decode_queue(route: JsonObject) -> QueueSettings:
    return QueueSettings(
        name=to_text(route["name"]),
        host=to_text(route["host"]).lower(),
        path_prefix=to_text(route["pathPrefix"]),
        service=to_text(route["service"]),
        priority=to_int(route.get("priority") or 0),
        max_attempts=to_int(route.get("attempts") or 1),
        stretch=to_float(route.get("stretch") or 1.0),
        objective_ms=to_float(route.get("sloMs") or 0),
        needs_advice=bool(route.get("advice")),
    )
