"""Adds stored jobs to the scheduler, and sets aside those that cannot be scheduled.

One job must not end the lease holder's term: the next holder would load the same job
and fail in the same way.
"""

import logging

from savorydale.counters import Counters
from savorydale.exceptions import RowFormatError
from savorydale.jobs.model import JOB_ID
from savorydale.jobs.progress import JobProgress
from savorydale.jobs.rows import JobStatus, decode_job
from savorydale.jobs.validation import STORED_JOB_LIMITS, find_job_errors
from savorydale.scheduler.state import SchedulerState
from savorydale.storage.rows import StoredRow

log = logging.getLogger(__name__)


class JobAdmission:
    """Decides whether a stored job is scheduled."""

    def __init__(self, state: SchedulerState, counters: Counters):
        self._state = state
        self._counters = counters

    def admit(
        self, row: StoredRow, status: JobStatus, now: float, store_ms: float
    ) -> JobProgress | None:
        """Add a stored job to the tracker, or set it aside and return ``None``.

        ``now`` is on the loop's clock, ``store_ms`` on the store's.
        """
        job = row.name.key
        if not self._is_job_id(job):
            return None
        try:
            decoded = decode_job(row.value or b"")
            errors = find_job_errors(decoded, STORED_JOB_LIMITS)
        except RowFormatError as error:
            errors = [str(error)]
        if errors:
            self.set_aside(job, "; ".join(errors), store_ms)
            return None
        return self._state.job_tracker.add(job, decoded, status, now)

    def set_aside(self, job: str, reason: str, store_ms: float) -> None:
        """Show a job as failed, stop its runs and schedule it no more."""
        self._counters.increment("job.set_aside")
        log.error("job is set aside", extra={"job": job, "reason": reason})
        self._discard(job, JobStatus.FAILED, store_ms)
        self._state.advice.remove_job(job)
        for link in self._state.links:
            for run in list(link.run_by_task.values()):
                if run.task.job == job:
                    link.stop(run)

    def cancel_unknown(self, job: str, store_ms: float) -> None:
        """Record the cancellation of a job whose row was not read, or not yet.

        Otherwise, a later holder would read the job without its cancellation.
        """
        if not self._is_job_id(job):
            return
        log.warning("unknown job is cancelled", extra={"job": job})
        self._discard(job, JobStatus.CANCELLED, store_ms)

    def _is_job_id(self, key: str) -> bool:
        """Return whether a key of the table is that of a job; log it if it is not.

        Lists of runs name the tasks of a job by its ID, so another key would make them
        unreadable. Nothing is written under it, since the store may refuse such a key.
        """
        if JOB_ID.match(key):
            return True
        self._counters.increment("job.odd_key")
        log.error("job row is ignored", extra={"key": key})
        return False

    def _discard(self, job: str, status: JobStatus, store_ms: float) -> None:
        ended_ms = int(store_ms)
        self._state.job_tracker.discard(job, status, ended_ms)
        self._state.ended_ms_by_job[job] = ended_ms
