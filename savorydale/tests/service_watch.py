"""Watches how long tasks of services stay away, against the bound that users expect.

A task that has run must run again `MAX_AWAY_SECONDS` after its run ended, if nothing
was disturbed for the last `CALM_SECONDS` of these and capacity for two such tasks was
free on a worker that may run it. The test says what is disturbed and when.
"""

import asyncio
import collections
import contextlib
import json
from collections.abc import Iterator

from savorydale.jobs.model import StepSpec
from savorydale.tests.branch import Branch

MAX_AWAY_SECONDS = 9.0
CALM_SECONDS = 7.0
POLL_SECONDS = 0.05
CAPACITY_FACTOR = 2


class Disturbances:
    """Knows since when nothing was disturbed."""

    def __init__(self) -> None:
        self._active = 0
        self._ended_at = asyncio.get_running_loop().time()
        self.log: list[tuple[float, str]] = []

    @contextlib.contextmanager
    def disturbed(self, name: str = "") -> Iterator[None]:
        """Count the time inside the block as disturbed."""
        loop = asyncio.get_running_loop()
        self._active += 1
        self.log.append((loop.time(), f"begin {name}"))
        try:
            yield
        finally:
            self._active -= 1
            self._ended_at = loop.time()
            self.log.append((loop.time(), f"end {name}"))

    def calm_seconds(self) -> float:
        """Return for how long nothing has been disturbed."""
        if self._active:
            return 0.0
        return asyncio.get_running_loop().time() - self._ended_at


class Absence:
    """A time during which a task does not run; it has fitted since ``fits_since``."""

    def __init__(self, began_at: float, started_count: int):
        self.began_at = began_at
        self.started_count = started_count
        self.fits_since: float | None = None
        self.is_reported = False


class ServiceWatch:
    """Polls the tasks of services and records each absence above the bound."""

    def __init__(self, branch: Branch, disturbances: Disturbances):
        self.branch = branch
        self.disturbances = disturbances
        self.violations: list[str] = []
        self.longest_seconds = 0.0
        self.absences: list[tuple[float, str]] = []
        self._step_by_job: dict[str, StepSpec] = {}
        self._all_step_by_job: dict[str, list[StepSpec]] = {}
        self._absence_by_task: dict[str, Absence] = {}

    def add_job(self, job: str, steps: list[StepSpec]) -> None:
        """Let the steps of a job count as used capacity."""
        self._all_step_by_job[job] = steps

    def watch(self, job: str, step: StepSpec) -> None:
        """Watch all tasks of a service of one step."""
        self._step_by_job[job] = step
        self.add_job(job, [step])

    def unwatch(self, job: str) -> None:
        """Expect no more runs of a service, which is being cancelled."""
        self._step_by_job.pop(job, None)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            self._poll()

    def _poll(self) -> None:
        worker_by_task = self.branch.checker.worker_by_task
        now = asyncio.get_running_loop().time()
        for job, step in self._step_by_job.items():
            for index in range(step.task_count):
                task = f"{job}.0.0.{index}"
                if task in worker_by_task:
                    self._end_absence(task, now)
                elif self.branch.checker.starts[task]:
                    self._check(task, step, now)

    def _end_absence(self, task: str, now: float) -> None:
        absence = self._absence_by_task.pop(task, None)
        if absence is not None:
            self.absences.append((round(now - absence.began_at, 2), task))
            self.longest_seconds = max(self.longest_seconds, now - absence.began_at)

    def _check(self, task: str, step: StepSpec, now: float) -> None:
        starts = self.branch.checker.starts[task]
        absence = self._absence_by_task.get(task)
        if absence is None or absence.started_count != starts:
            absence = self._absence_by_task[task] = Absence(now, starts)
        if not self._has_capacity(task, step):
            absence.fits_since = None
            return
        absence.fits_since = now if absence.fits_since is None else absence.fits_since
        away_seconds = now - absence.began_at
        is_over = (
            away_seconds > MAX_AWAY_SECONDS
            and self.disturbances.calm_seconds() > CALM_SECONDS
            and now - absence.fits_since > CALM_SECONDS
        )
        if is_over and not absence.is_reported:
            absence.is_reported = True
            calm = self.disturbances.calm_seconds()
            self.violations.append(
                f"{task} is away for {away_seconds:.2f} s at {now:.2f}, calm for "
                f"{calm:.2f} s, although workers have capacity for it"
            )

    def _has_capacity(self, task: str, step: StepSpec) -> bool:
        """Return whether two such tasks fit on one worker that may run this one."""
        cpu, memory, replicas = self._used(task)
        for name, worker in self.branch.worker_by_name.items():
            registration = self.branch.store.value("servers", name)
            if not worker.is_up or registration is None:
                continue
            data = json.loads(registration)
            if data["state"] != "ready":
                continue
            if step.max_per_worker and replicas[name] >= step.max_per_worker:
                continue
            capacity = data["capacity"]
            free_cpu = capacity["cpu"] - cpu[name]
            free_memory = capacity["memMb"] - memory[name]
            if (
                free_cpu >= CAPACITY_FACTOR * step.cpu_millicores
                and free_memory >= CAPACITY_FACTOR * step.memory_mb
            ):
                return True
        return False

    def _used(self, task: str):
        """Return the used CPU and memory and a task's replicas, by worker."""
        cpu: collections.Counter[str] = collections.Counter()
        memory: collections.Counter[str] = collections.Counter()
        replicas: collections.Counter[str] = collections.Counter()
        for other, worker in self.branch.checker.worker_by_task.items():
            job, _, number, _ = other.split(".")
            spec = self._all_step_by_job[job][int(number)]
            cpu[worker] += spec.cpu_millicores
            memory[worker] += spec.memory_mb
            replicas[worker] += job == task.split(".")[0]
        return cpu, memory, replicas
