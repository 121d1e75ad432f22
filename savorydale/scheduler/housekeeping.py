"""Rows that are written now and then: summaries, what was learnt, old states."""

import asyncio
import collections
from collections.abc import Callable

from savorydale.jobs.model import Configuration
from savorydale.jobs.rows import (
    JobStatus,
    SummaryRow,
    encode_summary,
    encode_tail_fit,
    state_key,
    summary_key,
    tail_key,
)
from savorydale.scheduler.state import SchedulerState

SUMMARY_SECONDS = 1.0
LEARNT_SECONDS = 3.0
RETENTION_MARGIN_SECONDS = 30.0
MILLISECONDS = 1000


class Housekeeping:
    """Keeps the rows that no single decision writes."""

    def __init__(
        self,
        state: SchedulerState,
        status_retention_s: float,
        read_store_ms: Callable[[], float],
        read_configuration: Callable[[], Configuration | None],
    ):
        self._state = state
        self._status_retention_s = status_retention_s
        self._store_now_ms = read_store_ms
        self._read_configuration = read_configuration
        self._queues_seen: set[str] = set()
        self._summarized_at = 0.0
        self._learnt_at = 0.0

    def tidy(self) -> None:
        """Do what is due."""
        now = asyncio.get_running_loop().time()
        if now - self._summarized_at >= SUMMARY_SECONDS:
            self._summarized_at = now
            self._summarize()
            self._remove_old_states()
            waiting = self._waiting_backfill()
            self._state.colocation.refresh(self._state.links, waiting)
        if now - self._learnt_at >= LEARNT_SECONDS:
            self._learnt_at = now
            self._keep_what_was_learnt()

    def _summarize(self) -> None:
        configuration = self._read_configuration()
        if configuration is None:
            return
        pending = collections.Counter(
            job.queue.name
            for job in self._state.ledger.job_by_id.values()
            if job.status is JobStatus.QUEUED
        )
        now_ms = int(self._store_now_ms())
        for queue in configuration.queue_by_name.keys() & self._used_queues():
            key = summary_key(queue)
            value = encode_summary(SummaryRow(pending[queue], now_ms))
            self._state.write(key, value)

    def _waiting_backfill(self) -> collections.Counter[str]:
        """Return the millicores of backfill that waits, by image."""
        waiting: collections.Counter[str] = collections.Counter()
        for job in self._state.ledger.job_by_id.values():
            for step in job.known_steps():
                if step.spec.backfill and step.is_ready and not job.status.is_terminal:
                    count = len(step.waiting_tasks())
                    waiting[step.spec.image] += count * step.spec.cpu_millicores
        return waiting

    def _keep_what_was_learnt(self) -> None:
        for image, fit in self._state.colocation.model.take_changed().items():
            key = tail_key(image)
            self._state.write(key, encode_tail_fit(fit))

    def _used_queues(self) -> set[str]:
        self._queues_seen.update(
            job.queue.name for job in self._state.ledger.job_by_id.values()
        )
        return self._queues_seen

    def _remove_old_states(self) -> None:
        keep_ms = (self._status_retention_s + RETENTION_MARGIN_SECONDS) * MILLISECONDS
        oldest_ms = self._store_now_ms() - keep_ms
        while self._state.ended_ms_by_job:
            job, ended_ms = next(iter(self._state.ended_ms_by_job.items()))
            if ended_ms > oldest_ms:
                return
            del self._state.ended_ms_by_job[job]
            key = state_key(job)
            self._state.write(key, None)
