"""Writes queue summaries and learned tail fits, and deletes expired job states."""

import asyncio
import collections
from collections.abc import Callable

from savorydale.jobs.model import Configuration
from savorydale.jobs.rows import (
    JobStatus,
    SummaryRow,
    TailRow,
    encode_summary,
    encode_tail,
    state_key,
    summary_key,
    tail_key,
)
from savorydale.scheduler.state import SchedulerState

SUMMARY_INTERVAL_SECONDS = 1.0
TAIL_FIT_INTERVAL_SECONDS = 3.0
RETENTION_MARGIN_SECONDS = 30.0
MILLISECONDS_PER_SECOND = 1000


class Housekeeping:
    """Periodic work: summaries, tail fits, expired states, colocation refresh."""

    def __init__(
        self,
        state: SchedulerState,
        status_retention_s: float,
        max_row_bytes: int,
        read_store_now_ms: Callable[[], float],
        read_configuration: Callable[[], Configuration | None],
    ):
        self._state = state
        self._status_retention_s = status_retention_s
        self._max_row_bytes = max_row_bytes
        self._store_now_ms = read_store_now_ms
        self._read_configuration = read_configuration
        self._known_queues: set[str] = set()
        self._summaries_written_at = 0.0
        self._tail_fits_written_at = 0.0

    def run_due(self) -> None:
        """Do the work whose interval has passed."""
        now = asyncio.get_running_loop().time()
        if now - self._summaries_written_at >= SUMMARY_INTERVAL_SECONDS:
            self._summaries_written_at = now
            self._write_summaries()
            self._delete_expired_states()
            waiting = self._waiting_backfill_millicores()
            self._state.colocation.refresh(self._state.links, waiting)
        if now - self._tail_fits_written_at >= TAIL_FIT_INTERVAL_SECONDS:
            self._tail_fits_written_at = now
            self._write_tail_fits()

    def _write_summaries(self) -> None:
        configuration = self._read_configuration()
        if configuration is None:
            return
        pending = collections.Counter(
            job.queue.name
            for job in self._state.job_tracker.job_by_id.values()
            if job.status is JobStatus.QUEUED
        )
        now_ms = int(self._store_now_ms())
        for queue in configuration.queue_by_name.keys() & self._update_known_queues():
            key = summary_key(queue)
            value = encode_summary(SummaryRow(pending[queue], now_ms))
            self._state.write(key, value)

    def _waiting_backfill_millicores(self) -> collections.Counter[str]:
        """Return the millicores that waiting backfill tasks need, by image."""
        waiting_by_image: collections.Counter[str] = collections.Counter()
        for job in self._state.job_tracker.job_by_id.values():
            for step in job.known_steps():
                if step.spec.backfill and step.is_ready and not job.status.is_terminal:
                    task_count = len(step.waiting_tasks())
                    waiting_by_image[step.spec.image] += (
                        task_count * step.spec.cpu_millicores
                    )
        return waiting_by_image

    def _write_tail_fits(self) -> None:
        for image, fit in self._state.colocation.model.take_changed().items():
            value = encode_tail(TailRow(image, fit), self._max_row_bytes)
            self._state.write(tail_key(image), value)

    def _update_known_queues(self) -> set[str]:
        self._known_queues.update(
            job.queue.name for job in self._state.job_tracker.job_by_id.values()
        )
        return self._known_queues

    def _delete_expired_states(self) -> None:
        retention_ms = (
            self._status_retention_s + RETENTION_MARGIN_SECONDS
        ) * MILLISECONDS_PER_SECOND
        expired_before_ms = self._store_now_ms() - retention_ms
        while self._state.ended_ms_by_job:
            job, ended_ms = next(iter(self._state.ended_ms_by_job.items()))
            if ended_ms > expired_before_ms:
                return
            del self._state.ended_ms_by_job[job]
            key = state_key(job)
            self._state.write(key, None)
