"""What must hold at all times, checked from what workers see."""

import collections
from collections.abc import Sequence

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus

WORKER_MILLICORES = 8_000


class InvariantChecker:
    """Checks, from what workers see, what must hold at all times."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.starts: collections.Counter[str] = collections.Counter()
        self.ends: collections.Counter[str] = collections.Counter()
        self._worker_by_task: dict[str, str] = {}
        self._done: set[str] = set()
        self._noted_done: set[str] = set()
        self._noted_failures: collections.Counter[str] = collections.Counter()
        self._run_by_task: dict[str, int] = {}
        self._failures: collections.Counter[str] = collections.Counter()
        self._steps_by_job: dict[str, Sequence[StepSpec]] = {}
        self._attempts_by_job: dict[str, int] = {}

    def expect(self, job: str, steps: Sequence[StepSpec], attempts: int) -> None:
        """Note what a job consists of, so that more can be checked."""
        self._steps_by_job[job] = steps
        self._attempts_by_job[job] = attempts

    def on_start(self, worker: str, task: str, run: int) -> None:
        self.starts[task] += 1
        if task in self._worker_by_task:
            other = self._worker_by_task[task]
            self.violations.append(f"{task} run {run} on {worker} while on {other}")
        if task in self._noted_done:
            self.violations.append(f"{task} run {run} after its end was noted")
        self._worker_by_task[task] = worker
        self._run_by_task[task] = run
        job, _, step, _ = task.split(".")
        if job in self._steps_by_job:
            self._check_order(task, job, int(step))
            self._check_attempts(task, job)
            self._check_room(worker)

    def on_end(self, worker: str, task: str, run: int, how: str) -> None:
        match how:
            case "noted done":
                self._noted_done.add(task)
                if self._run_by_task[task] > run:
                    self.violations.append(f"{task} ran again after run {run} was done")
                return
            case "noted failed":
                self._noted_failures[task] += 1
                return
            case "done":
                self._done.add(task)
            case "failed":
                self._failures[task] += 1
        if how.startswith("noted"):
            return
        self.ends[task] += 1
        if self._worker_by_task.get(task) == worker:
            del self._worker_by_task[task]

    def running(self, job: str) -> int:
        """Return how many tasks of a job run."""
        return sum(task.startswith(job) for task in self._worker_by_task)

    def check_outcome(
        self, job: str, status: JobStatus | None, is_cancelled: bool
    ) -> None:
        """Check the state that an accepted job is shown in at the end."""
        if status is JobStatus.COMPLETED:
            missing = self._missing_tasks(job)
            self.violations += [
                f"{task} is not done, {job} is completed" for task in missing
            ]
        elif status is JobStatus.FAILED:
            if not self._has_failed_out(job):
                self.violations.append(f"{job} is shown as failed without cause")
        elif status is not JobStatus.CANCELLED or not is_cancelled:
            self.violations.append(f"{job} is {status} in the end")

    def _missing_tasks(self, job: str) -> list[str]:
        return [task for task in self._tasks(job) if task not in self._done]

    def _has_failed_out(self, job: str) -> bool:
        attempts = self._attempts_by_job[job]
        return any(self._failures[task] >= attempts for task in self._tasks(job))

    def _tasks(self, job: str, only_step: int | None = None) -> list[str]:
        return [
            f"{job}.0.{step}.{index}"
            for step, spec in enumerate(self._steps_by_job[job])
            if only_step is None or step == only_step
            for index in range(spec.task_count)
        ]

    def _check_order(self, task: str, job: str, step: int) -> None:
        for earlier in self._steps_by_job[job][step].after:
            if any(name not in self._done for name in self._tasks(job, earlier)):
                self.violations.append(f"{task} before step {earlier} was done")

    def _check_attempts(self, task: str, job: str) -> None:
        failures = self._noted_failures[task]
        if failures >= self._attempts_by_job[job]:
            self.violations.append(f"{task} after {failures} failures")

    def _check_room(self, worker: str) -> None:
        used = 0
        for task, holder in self._worker_by_task.items():
            job, _, step, _ = task.split(".")
            if holder == worker and job in self._steps_by_job:
                used += self._steps_by_job[job][int(step)].cpu_millicores
        if used > WORKER_MILLICORES:
            self.violations.append(f"{worker} holds {used} millicores")
