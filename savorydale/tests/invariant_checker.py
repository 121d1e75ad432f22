"""Checks the invariants of jobs and runs from the events that workers observe."""

import asyncio
import collections
from collections.abc import Sequence
from typing import NamedTuple

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.orders.interface import Resources
from standins import task_worker as worker_standin
from standins.task_worker import INITIAL_CAPACITY

CRASHES_BEFORE_GIVING_UP = 2  # a task that has crashed as many workers may be given up
SOON_SECONDS = 2.0  # a later crash is not held against a task
CRASHES_BEFORE_LIMIT = 3  # after these, a task may be started less than three times
MAX_STARTS_AFTER_CRASHES = 2
# A long-running task is not restarted sooner after that, but as often as a batch task.
MIN_RESTART_SECONDS = 1.0
HEARTBEAT_SECONDS = 1.5
# A smaller capacity binds this long after the worker wrote it.
CAPACITY_GRACE_SECONDS = HEARTBEAT_SECONDS + 3.0


class WrittenCapacity(NamedTuple):
    """A capacity, and when its worker wrote it, on the loop's clock."""

    capacity: Resources
    written_at: float


class InvariantChecker:
    """Records the starts and ends of runs, and every violated invariant.

    Step order, attempts and capacity are checked only for jobs passed to ``add_job``.
    After a start, the runs on the worker must fit in a capacity that was in force
    within the last ``capacity_grace_seconds``.
    """

    def __init__(self) -> None:
        self.capacity_grace_seconds = CAPACITY_GRACE_SECONDS
        self._capacities_by_worker: dict[str, list[WrittenCapacity]] = {}
        self.violations: list[str] = []
        self.starts: collections.Counter[str] = collections.Counter()
        self.ends: collections.Counter[str] = collections.Counter()
        self._worker_by_task: dict[str, str] = {}
        self._done_tasks: set[str] = set()
        self._acknowledged_done_tasks: set[str] = set()
        self._acknowledged_failures: collections.Counter[str] = collections.Counter()
        self._run_by_task: dict[str, int] = {}
        self._failures: collections.Counter[str] = collections.Counter()
        self.crashes: collections.Counter[str] = collections.Counter()
        self._crashes_under: collections.Counter[str] = collections.Counter()
        self._started_at_by_task: dict[str, float] = {}
        self._crashed_at_by_task: dict[str, float] = {}
        self._starts_after_crashes: collections.Counter[str] = collections.Counter()
        self._steps_by_job: dict[str, Sequence[StepSpec]] = {}
        self._attempts_by_job: dict[str, int] = {}

    def add_job(self, job: str, steps: Sequence[StepSpec], attempts: int) -> None:
        """Record the steps of a job and how many attempts each of its tasks has."""
        self._steps_by_job[job] = steps
        self._attempts_by_job[job] = attempts

    def record_capacity(self, worker: str, capacity: Resources) -> None:
        """Record that a worker has written its capacity to the store."""
        written = WrittenCapacity(capacity, asyncio.get_running_loop().time())
        self._capacities_by_worker.setdefault(worker, []).append(written)

    def on_start(self, worker: str, task: str, run: int) -> None:
        """Record and check the start of a run."""
        self.starts[task] += 1
        self._started_at_by_task[task] = asyncio.get_running_loop().time()
        self._check_crashes(task)
        if task in self._worker_by_task:
            other = self._worker_by_task[task]
            self.violations.append(
                f"{task} run {run} started on {worker} while running on {other}"
            )
        if task in self._acknowledged_done_tasks:
            self.violations.append(
                f"{task} run {run} started after its end was acknowledged"
            )
        self._worker_by_task[task] = worker
        self._run_by_task[task] = run
        job, _, step, _ = task.split(".")
        if job in self._steps_by_job:
            self._check_step_order(task, job, int(step))
            self._check_attempts(task, job)
            self._check_capacity(worker)

    def on_end(self, worker: str, task: str, run: int, outcome: str) -> None:
        """Record the end of a run, or with ``noted ...`` its acknowledgement."""
        match outcome:
            case "noted done":
                self._acknowledged_done_tasks.add(task)
                if self._run_by_task[task] > run:
                    self.violations.append(
                        f"{task} started again after run {run} was done"
                    )
                return
            case "noted failed":
                self._acknowledged_failures[task] += 1
                return
            case "done":
                self._done_tasks.add(task)
            case "failed":
                self._failures[task] += 1
            case worker_standin.CRASH:
                self.crashes[task] += 1
                self._crashes_under[task] += 1
                self._crashed_at_by_task[task] = asyncio.get_running_loop().time()
            case worker_standin.CRASHED:
                now = asyncio.get_running_loop().time()
                is_soon = now - self._started_at_by_task[task] <= SOON_SECONDS
                self._crashes_under[task] += is_soon
        if outcome.startswith("noted"):
            return
        self.ends[task] += 1
        if self._worker_by_task.get(task) == worker:
            del self._worker_by_task[task]

    @property
    def worker_by_task(self) -> dict[str, str]:
        """Return the worker of each running task."""
        return self._worker_by_task

    def running_task_count(self, job: str) -> int:
        """Return how many tasks of a job are running."""
        return sum(task.startswith(job) for task in self._worker_by_task)

    def check_final_status(
        self, job: str, status: JobStatus | None, is_cancelled: bool
    ) -> None:
        """Check that the final status of an accepted job agrees with its runs."""
        if status is JobStatus.COMPLETED:
            missing = self._unfinished_tasks(job)
            self.violations += [
                f"{task} is not done, but {job} is completed" for task in missing
            ]
        elif status is JobStatus.FAILED:
            if not self._has_exhausted_attempts(job) and not self._has_crashed(job):
                self.violations.append(f"{job} is failed, but has attempts left")
        elif status is not JobStatus.CANCELLED or not is_cancelled:
            self.violations.append(f"{job} has the unexpected final status {status}")

    def _unfinished_tasks(self, job: str) -> list[str]:
        return [task for task in self._tasks(job) if task not in self._done_tasks]

    def _has_exhausted_attempts(self, job: str) -> bool:
        attempts = self._attempts_by_job[job]
        return any(
            self._failures[task] >= attempts and not self._is_long_running(task)
            for task in self._tasks(job)
        )

    def _has_crashed(self, job: str) -> bool:
        """Return whether enough workers have crashed under a batch task of a job.

        Crashes that another task caused do not count.
        """
        return any(
            self._crashes_under[task] >= CRASHES_BEFORE_GIVING_UP
            for task in self._tasks(job)
            if not self._is_long_running(task)
        )

    def _check_crashes(self, task: str) -> None:
        if self.crashes[task] < CRASHES_BEFORE_LIMIT:
            return
        if self._is_long_running(task) and self._is_delayed(task):
            return
        self._starts_after_crashes[task] += 1
        if self._starts_after_crashes[task] > MAX_STARTS_AFTER_CRASHES:
            self.violations.append(
                f"{task} started again after {self.crashes[task]} crashes"
            )

    def _is_long_running(self, task: str) -> bool:
        job, _, step, _ = task.split(".")
        return (
            job in self._steps_by_job
            and self._steps_by_job[job][int(step)].long_running
        )

    def _is_delayed(self, task: str) -> bool:
        """Return whether a task starts again some time after its latest crash."""
        now = asyncio.get_running_loop().time()
        return now - self._crashed_at_by_task[task] >= MIN_RESTART_SECONDS

    def _tasks(self, job: str, only_step: int | None = None) -> list[str]:
        return [
            f"{job}.0.{step}.{index}"
            for step, spec in enumerate(self._steps_by_job[job])
            if only_step is None or step == only_step
            for index in range(spec.task_count)
        ]

    def _check_step_order(self, task: str, job: str, step: int) -> None:
        for earlier_step in self._steps_by_job[job][step].after:
            if any(
                other not in self._done_tasks
                for other in self._tasks(job, earlier_step)
            ):
                self.violations.append(
                    f"{task} started before step {earlier_step} was done"
                )

    def _check_attempts(self, task: str, job: str) -> None:
        failures = self._acknowledged_failures[task]
        if failures >= self._attempts_by_job[job]:
            self.violations.append(f"{task} started again after {failures} failures")

    def _check_capacity(self, worker: str) -> None:
        used = self._used_resources(worker)
        allowed = self._capacities_in_force(worker)
        if not any(_fits(used, capacity) for capacity in allowed):
            self.violations.append(
                f"{worker} runs tasks of {used}, above its capacity {allowed[-1]}"
            )

    def _used_resources(self, worker: str) -> Resources:
        """Return what the runs on a worker reserve; backfill reserves no CPU."""
        used = Resources(0, 0, 0)
        for task, task_worker in self._worker_by_task.items():
            job, _, step, _ = task.split(".")
            if task_worker != worker or job not in self._steps_by_job:
                continue
            spec = self._steps_by_job[job][int(step)]
            used = Resources(
                used.cpu_millicores + (0 if spec.backfill else spec.cpu_millicores),
                used.memory_mb + spec.memory_mb,
                used.accelerators + spec.accelerators,
            )
        return used

    def _capacities_in_force(self, worker: str) -> list[Resources]:
        """Return the capacities of a worker that a start may rely on now."""
        written = self._capacities_by_worker.get(worker)
        if not written:
            return [Resources(*INITIAL_CAPACITY.values())]
        now = asyncio.get_running_loop().time()
        replaced_at = [later.written_at for later in written[1:]] + [now]
        return [
            earlier.capacity
            for earlier, until in zip(written, replaced_at, strict=True)
            if until >= now - self.capacity_grace_seconds
        ]


def _fits(used: Resources, capacity: Resources) -> bool:
    return all(part <= whole for part, whole in zip(used, capacity, strict=True))
