"""Find workers that fail what they start, stand still or are slow, though healthy.

Answers workers whose own reports show nothing: each is compared with its peers. A
worker on which tasks of several jobs fail in a row, or whose tasks make no progress
while they should, gets no new tasks for a while.
"""

import dataclasses

from savorydale.orders.interface import EndedRun, EndReason
from savorydale.orders.runs import Run, RunState

MILLISECONDS = 1000
JOBS_FAILED_BEFORE_QUARANTINE = 2
FAILURE_QUARANTINE_SECONDS = 4.0
STALL_QUARANTINE_SECONDS = 1.5
STALL_SECONDS = 1.2  # two reports and more without any progress
STALL_ESTIMATE_RATIO = 0.15  # of a task's estimate; long tasks progress slowly
MIN_SPEED_PERCENT = 50  # slower backfill may stand still without any fault
SUSPICION_PER_FAILURE = 0.5
SUSPICION_HALF_LIFE_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """What is known of one worker's faults; times are on the loop's clock."""

    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    quarantined_until: float = 0.0
    suspicion: float = 0.0
    suspicion_at: float = 0.0

    def on_end(self, end: EndedRun, now: float) -> bool:
        """Take in the end of a run; return whether a quarantine begins."""
        if end.reason is EndReason.DONE:
            self.failed_jobs.clear()
            self.suspicion = 0.0
            return False
        if end.reason is not EndReason.FAILED:
            return False
        self.suspicion = self.suspicion_now(now) + SUSPICION_PER_FAILURE
        self.suspicion_at = now
        self.failed_jobs.add(end.task.job)
        if len(self.failed_jobs) < JOBS_FAILED_BEFORE_QUARANTINE:
            return False
        self.failed_jobs.clear()
        self.quarantined_until = now + FAILURE_QUARANTINE_SECONDS
        return True

    def on_stall(self, now: float) -> bool:
        """Take in that runs stand still; return whether a quarantine begins."""
        begins = now >= self.quarantined_until
        self.quarantined_until = max(
            self.quarantined_until, now + STALL_QUARANTINE_SECONDS
        )
        return begins

    def is_quarantined(self, now: float) -> bool:
        """Return whether the worker gets no new tasks."""
        return now < self.quarantined_until

    def suspicion_now(self, now: float) -> float:
        """Return how much recent failures speak against the worker."""
        half_lives = (now - self.suspicion_at) / SUSPICION_HALF_LIFE_SECONDS
        return self.suspicion * 0.5**half_lives


def find_stalled_runs(runs: list[Run], reported_at: float) -> list[Run]:
    """Return the runs on one worker that made no progress until its latest report."""
    return [
        run for run in runs if _should_progress(run) and _is_still(run, reported_at)
    ]


def _should_progress(run: Run) -> bool:
    if run.spec.long_running or run.spec.gang or run.stop_requested:
        return False
    if run.state is not RunState.ACTIVE:
        return False
    return not run.spec.backfill or run.requested_percent >= MIN_SPEED_PERCENT


def _is_still(run: Run, reported_at: float) -> bool:
    since = max(run.confirmed_at, run.progressed_at, run.throttled_at)
    estimate = run.spec.estimate_ms / MILLISECONDS
    return reported_at - since >= max(STALL_SECONDS, STALL_ESTIMATE_RATIO * estimate)
