"""Stores when the leases lapse on workers that the lease holder is out of contact with.

A new holder does not know the leases that earlier ones gave. It would have to count the
longest lease from its own beginning, and each further holder again. So a holder stores,
with its commits, when the leases of a silent worker lapse at the latest, and gives that
worker no further lease before the worker is durably removed from the record. A holder
that has been replaced can no longer remove it.
"""

import asyncio
import json
import logging
from collections.abc import Iterable, Mapping

from savorydale.exceptions import RowFormatError
from savorydale.jobs.rows import SCHEDULER_TABLE
from savorydale.orders.worker_link import WorkerLink
from savorydale.scheduler.store_clock import StoreClock
from savorydale.storage.rows import RowKey, StoredRow
from savorydale.utils.json_values import load_json_object, to_int

LAPSES_KEY = RowKey(SCHEDULER_TABLE, "lapses")
MAX_RECORD_BYTES = 30_000
ENTRY_BYTES = 24  # of a time and separators, at most

log = logging.getLogger(__name__)


def encode_lapses(store_ms_by_worker: Mapping[str, int]) -> bytes:
    """Encode the record."""
    return json.dumps(store_ms_by_worker).encode()


def decode_lapses(value: bytes) -> dict[str, int]:
    """Decode a value that `encode_lapses` returned.

    Raises
    ------
    RowFormatError
        If the value is no such record.
    """
    return {
        worker: to_int(store_ms) for worker, store_ms in load_json_object(value).items()
    }


class LapseRecord:
    """The record of one term; leases of the workers in it are withheld.

    It begins with the row and the clock of the store that were read when the term
    began. ``written`` is what was written last, durably or not.
    """

    def __init__(
        self, stored: StoredRow | None = None, clock: StoreClock | None = None
    ):
        self.written = _read(stored)
        self._durable = self.written
        self._lapse_at_by_worker = {
            worker: clock.certainly_reached_at(store_ms)
            for worker, store_ms in self.written.items()
            if clock is not None
        }

    def prepare(self, link: WorkerLink) -> None:
        """Tell a new link what is recorded of its worker."""
        link.is_lease_withheld = self._is_withheld(link.worker)
        lapse_at = self._lapse_at_by_worker.get(link.worker)
        if lapse_at is not None:
            link.limit_earlier_leases(lapse_at)

    def update(self, links: Iterable[WorkerLink], clock: StoreClock) -> bytes | None:
        """Record the silent workers that have runs; return a changed row to write.

        As many are recorded as fit in a row.
        """
        silent = _find_silent(links)
        if silent.keys() == self.written.keys():
            return None
        self.written = {
            worker: self.written.get(worker) or clock.latest_ms(link.latest_lapse_at())
            for worker, link in silent.items()
        }
        for link in silent.values():
            link.is_lease_withheld = True
        return encode_lapses(self.written)

    def confirm(self, recorded: dict[str, int], links: Iterable[WorkerLink]) -> None:
        """Record that a record which was ``written`` is durable."""
        if recorded is self._durable:
            return
        self._durable = recorded
        for link in links:
            link.is_lease_withheld = self._is_withheld(link.worker)

    def _is_withheld(self, worker: str) -> bool:
        return worker in self._durable or worker in self.written


def _find_silent(links: Iterable[WorkerLink]) -> dict[str, WorkerLink]:
    now = asyncio.get_running_loop().time()
    size_bytes = 0
    silent: dict[str, WorkerLink] = {}
    for link in links:
        if not link.run_by_task or not link.is_silent(now):
            continue
        size_bytes += len(json.dumps(link.worker)) + ENTRY_BYTES
        if size_bytes > MAX_RECORD_BYTES:
            break
        silent[link.worker] = link
    return silent


def _read(stored: StoredRow | None) -> dict[str, int]:
    if stored is None or stored.value is None:
        return {}
    try:
        return decode_lapses(stored.value)
    except RowFormatError as error:
        log.warning("record of lapses is ignored", extra={"reason": str(error)})
        return {}
