"""Follows the jobs table: accepted jobs and requests to cancel them."""

import logging
from typing import Protocol

from savorydale.jobs.rows import CANCEL_SUFFIX, TOMBSTONE_SUFFIX
from savorydale.storage.rows import StoredRow

log = logging.getLogger(__name__)


class JobHandler(Protocol):
    """Handles accepted jobs and requests to cancel them."""

    def add_job(self, row: StoredRow) -> None:
        """Add an accepted job, unless it is already known."""

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job."""

    def record_tombstone(self, job_id: str) -> None:
        """Record that a job was cancelled before it was stored."""

    def set_aside_job(self, job_id: str, reason: str) -> None:
        """Show a job as failed and schedule it no more."""

    def observe_store_clock(self, store_ms: int) -> None:
        """Record the time of the store, which has just responded."""


class JobFeed:
    """Passes accepted and cancelled jobs from the store to the scheduler."""

    def __init__(self, handler: JobHandler):
        self._handler = handler

    def replace_all(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Handle all rows of the jobs table."""
        self.apply(rows, version)

    def apply(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Handle new jobs and requests to cancel."""
        for row in rows:
            if row.value is None:
                continue
            key = row.name.key
            try:
                if key.endswith(CANCEL_SUFFIX):
                    self._handler.cancel_job(key.removesuffix(CANCEL_SUFFIX))
                elif key.endswith(TOMBSTONE_SUFFIX):
                    self._handler.record_tombstone(key.removesuffix(TOMBSTONE_SUFFIX))
                else:
                    self._handler.add_job(row)
            except Exception as error:
                log.exception("job row cannot be applied", extra={"key": key})
                job_id = key.removesuffix(CANCEL_SUFFIX)
                self._handler.set_aside_job(job_id, repr(error))

    def record_response(self, store_ms: int) -> None:
        """Pass on the time of the store."""
        self._handler.observe_store_clock(store_ms)
