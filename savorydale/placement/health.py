"""Quarantine workers that fail or stall their tasks, though they report no problem.

A worker that clearly fails more tasks than the other workers of its service do, or
whose runs make no progress although they should, is given no new tasks for some time.

Failures are judged by a sequential test (CUSUM): each end of a run adds the logarithm
of how much likelier it is on a faulty worker than on a sound one, and the sum never
falls below zero. A sound worker fails as many tasks as the others do now. The sum
decays with time, so that rare failures never add up.
"""

import dataclasses
import math

from savorydale.jobs.model import TaskId
from savorydale.orders.interface import EndedRun, EndReason
from savorydale.orders.runs import Run, RunState

MILLISECONDS_PER_SECOND = 1000
FAULTY_FAILURE_RATIO = 0.8  # share of the runs on a faulty worker that fail, or more
MIN_SOUND_FAILURE_RATIO = 0.02
MAX_SOUND_FAILURE_RATIO = 0.75  # so that a failure always speaks against its worker
ENDS_PER_FALSE_QUARANTINE = 1_000_000  # of a sound worker, on average
QUARANTINE_EVIDENCE = math.log(ENDS_PER_FALSE_QUARANTINE)  # if ends are independent
EVIDENCE_HALF_LIFE_SECONDS = 10.0
MIN_EVIDENCE = 0.5  # a weaker suspicion is dropped
# A worker that fails again after its quarantine is quarantined sooner.
EVIDENCE_AFTER_QUARANTINE = QUARANTINE_EVIDENCE / 2
FAILURE_QUARANTINE_SECONDS = 4.0
STALL_QUARANTINE_SECONDS = 1.5
STALL_SECONDS = 1.2  # more than two reports without any progress
STALL_ESTIMATE_RATIO = 0.15  # of the estimate, since long tasks progress slowly
MIN_STALL_SPEED_PERCENT = 50  # slower backfill may seem stalled on a healthy worker
MAX_QUARANTINED_RATIO = 0.5  # of the workers of a service
SUSPICION_PER_FAILURE = 0.5
SUSPICION_HALF_LIFE_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """Failures and quarantine of one worker; times are on the loop's clock.

    ``evidence`` is the sum of the sequential test; each cause in ``failed_causes``
    counts once: a task, or a job whose tasks may all fail anywhere. ``failed_tasks``
    have failed since the worker last seemed sound. ``stall_ends_at`` is when a
    quarantine because of stalled runs ends, and ``quarantine_ends_at`` one because of
    failures. ``evidence`` is as of ``evidence_updated_at``.
    """

    failed_causes: set[str] = dataclasses.field(default_factory=set)
    failed_tasks: set[TaskId] = dataclasses.field(default_factory=set)
    evidence: float = 0.0
    evidence_updated_at: float = 0.0
    quarantine_ends_at: float = 0.0
    stall_ends_at: float = 0.0
    suspicion: float = 0.0
    suspicion_updated_at: float = 0.0

    def is_repeated_failure(self, end: EndedRun, cause: str) -> bool:
        """Return whether a run fails for a cause that counts already."""
        return end.reason is EndReason.FAILED and cause in self.failed_causes

    def on_end(
        self,
        end: EndedRun,
        failure_ratio_elsewhere: float,
        now: float,
        cause: str = "",
    ) -> bool:
        """Record the end of a run; return whether a quarantine begins.

        ``failure_ratio_elsewhere`` is the share of runs that fail on other workers.
        ``cause`` is what may fail anywhere, the job unless given.
        """
        sound_ratio = min(
            max(failure_ratio_elsewhere, MIN_SOUND_FAILURE_RATIO),
            MAX_SOUND_FAILURE_RATIO,
        )
        self._decay_evidence(now)
        match end.reason:
            case EndReason.DONE:
                self._on_done(sound_ratio)
                return False
            case EndReason.FAILED:
                self.failed_tasks.add(end.task)
                return self._on_failure(cause or end.task.job, sound_ratio, now)
        return False

    def _on_done(self, sound_ratio: float) -> None:
        self.suspicion = 0.0
        self.evidence += math.log((1 - FAULTY_FAILURE_RATIO) / (1 - sound_ratio))
        if self.evidence <= 0.0:
            self._clear_evidence()

    def _clear_evidence(self) -> None:
        self.evidence = 0.0
        self.failed_causes.clear()
        self.failed_tasks.clear()

    def _decay_evidence(self, now: float) -> None:
        half_lives = (now - self.evidence_updated_at) / EVIDENCE_HALF_LIFE_SECONDS
        self.evidence *= 0.5**half_lives
        self.evidence_updated_at = now
        if self.evidence < MIN_EVIDENCE:
            self._clear_evidence()

    def has_failed(self, task: TaskId, now: float) -> bool:
        """Return whether a task has failed since the worker last seemed sound."""
        self._decay_evidence(now)
        return task in self.failed_tasks

    def _on_failure(self, cause: str, sound_ratio: float, now: float) -> bool:
        self.suspicion = self.suspicion_now(now) + SUSPICION_PER_FAILURE
        self.suspicion_updated_at = now
        if cause in self.failed_causes:
            return False
        self.failed_causes.add(cause)
        self.evidence += math.log(FAULTY_FAILURE_RATIO / sound_ratio)
        if self.evidence < QUARANTINE_EVIDENCE:
            return False
        self.failed_causes.clear()
        self.evidence = EVIDENCE_AFTER_QUARANTINE
        self.quarantine_ends_at = now + FAILURE_QUARANTINE_SECONDS
        return True

    def on_stall(self, now: float) -> bool:
        """Record that runs are stalled; return whether a quarantine begins."""
        begins = not self.is_quarantined(now)
        self.stall_ends_at = now + STALL_QUARANTINE_SECONDS
        return begins

    def is_quarantined(self, now: float) -> bool:
        """Return whether the worker is given no new tasks."""
        return now < self.quarantine_ends_at or self.is_stalled(now)

    def is_stalled(self, now: float) -> bool:
        """Return whether the worker is quarantined because its runs are stalled."""
        return now < self.stall_ends_at

    def suspicion_now(self, now: float) -> float:
        """Return the suspicion from recent failures, which decays exponentially."""
        half_lives = (now - self.suspicion_updated_at) / SUSPICION_HALF_LIFE_SECONDS
        return self.suspicion * 0.5**half_lives


def must_ignore_quarantine(quarantined_count: int, worker_count: int) -> bool:
    """Return whether so many workers are quarantined that the tasks are the cause.

    Tasks that fail everywhere would otherwise leave no worker for all others. So would
    a quarantine of one worker out of one, or of two out of two.
    """
    return quarantined_count > MAX_QUARANTINED_RATIO * worker_count


def find_stalled_runs(runs: list[Run], reported_at: float) -> list[Run]:
    """Return the runs on one worker that are stalled as of its latest report."""
    return [
        run for run in runs if _should_progress(run) and _is_stalled(run, reported_at)
    ]


def _should_progress(run: Run) -> bool:
    if run.spec.long_running or run.spec.gang or run.stop_requested:
        return False
    if run.state is not RunState.ACTIVE:
        return False
    return not run.spec.backfill or run.requested_percent >= MIN_STALL_SPEED_PERCENT


def _is_stalled(run: Run, reported_at: float) -> bool:
    progressed_at = max(run.confirmed_at, run.progressed_at, run.throttled_at)
    estimate_seconds = run.spec.estimate_ms / MILLISECONDS_PER_SECOND
    return reported_at - progressed_at >= max(
        STALL_SECONDS, STALL_ESTIMATE_RATIO * estimate_seconds
    )
