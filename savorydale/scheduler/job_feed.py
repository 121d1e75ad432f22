"""Accepted and cancelled jobs, as the store tells them."""

import logging
from typing import Protocol

from savorydale.exceptions import RowFormatError
from savorydale.jobs.rows import CANCEL_SUFFIX
from savorydale.storage.rows import StoredRow

log = logging.getLogger(__name__)


class JobTaker(Protocol):
    """Takes in jobs and requests to cancel them."""

    def take_in_job(self, row: StoredRow) -> None:
        """Take in an accepted job, once."""

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job."""


class JobFeed:
    """Passes accepted and cancelled jobs from the store to the scheduler."""

    def __init__(self, taker: JobTaker):
        self._taker = taker

    def replace_all(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Take in all jobs."""
        self.apply(rows, version)

    def apply(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Take in new jobs and requests to cancel."""
        for row in rows:
            if row.value is None:
                continue
            key = row.name.key
            try:
                if key.endswith(CANCEL_SUFFIX):
                    self._taker.cancel_job(key.removesuffix(CANCEL_SUFFIX))
                else:
                    self._taker.take_in_job(row)
            except RowFormatError as error:
                log.warning(
                    "job row is skipped", extra={"key": key, "reason": str(error)}
                )

    def record_response(self, store_ms: int) -> None:
        """Do nothing; jobs have no time limit that depends on the feed."""
