"""Keep tasks that may have crashed a worker apart from others while on probation.

A suspect task starts only on a worker without other runs on probation, and nothing else
starts there until it has passed its own. So its next crash is attributed to it, or it
is cleared. Where all workers have runs on probation, one worker is reserved for a
waiting suspect for some time. Suspects hold up other work on at most half of the
workers of a service.
"""

import collections
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.jobs.progress import Task
from savorydale.orders.runs import Run
from savorydale.placement.choice import Candidate

RESERVATION_SECONDS = 5.0
RESERVATION_PAUSE_SECONDS = 5.0  # before the next reservation for the same task
MAX_HELD_RATIO = 0.5  # of the workers; one worker in any case


class Reservation(NamedTuple):
    """A worker that is reserved for a suspect; times are on the loop's clock.

    ``spec`` is the suspect's step. ``shared_at`` is when other tasks were placed on the
    worker, ``None`` if none were.
    """

    worker: str
    spec: StepSpec
    ends_at: float
    shared_at: float | None = None


class SuspectIsolation:
    """Filters the candidates for suspects and for all other tasks.

    Workers on which a suspect is on probation, or that are reserved for one, are held:
    they take no other task.
    """

    def __init__(self) -> None:
        self._reservation_by_task: dict[TaskId, Reservation] = {}
        self._suspects: Mapping[TaskId, Task] = {}
        self._probation_count_by_worker: collections.Counter[str] = (
            collections.Counter()
        )
        self._isolated_workers: set[str] = set()
        self._now = 0.0

    def begin_round(
        self,
        suspects: Mapping[TaskId, Task],
        run_by_task_by_worker: Mapping[str, Mapping[TaskId, Run]],
        now: float,
    ) -> None:
        """Collect the runs on probation; without suspects there is nothing to do."""
        self._now = now
        self._suspects = suspects
        self._probation_count_by_worker.clear()
        self._isolated_workers.clear()
        self._reservation_by_task = {
            task: reservation
            for task, reservation in self._reservation_by_task.items()
            if task in suspects and suspects[task].is_waiting
        }
        if not suspects:
            return
        for worker, run_by_task in run_by_task_by_worker.items():
            for run in run_by_task.values():
                if not run.passed_probation:
                    self._record_probation(worker, run.task)

    def record_placement(self, worker: str, task: TaskId) -> None:
        """Record that a task is placed on a worker; its run is on probation there."""
        self._record_probation(worker, task)
        for suspect, reservation in self._reservation_by_task.items():
            if reservation.worker == worker:
                shared = reservation._replace(shared_at=self._now)
                self._reservation_by_task[suspect] = shared

    def _record_probation(self, worker: str, task: TaskId) -> None:
        self._probation_count_by_worker[worker] += 1
        if task in self._suspects:
            self._isolated_workers.add(worker)
            self._reservation_by_task.pop(task, None)

    def is_suspect(self, tasks: Sequence[Task]) -> bool:
        """Return whether one of the tasks is a suspect."""
        return bool(self._suspects) and any(task.id in self._suspects for task in tasks)

    def split(self, tasks: list[Task]) -> list[list[Task]]:
        """Return the suspects one by one, and the other tasks together."""
        if not self.is_suspect(tasks):
            return [tasks]
        others = [task for task in tasks if task.id not in self._suspects]
        suspects = [[task] for task in tasks if task.id in self._suspects]
        return [*suspects, others] if others else suspects

    def candidates_for_others(self, candidates: list[Candidate]) -> list[Candidate]:
        """Return the workers that may take a task that is no suspect."""
        if not self._suspects:
            return candidates
        held = self._held_workers(None)
        if not held:
            return candidates
        return [candidate for candidate in candidates if candidate.worker not in held]

    def candidates_to_share(
        self, spec: StepSpec, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Return the reserved workers that a task may share with the waiting suspect.

        The suspect has to fit beside the task. It does not start before the run of the
        task has passed its probation, so that its crash is attributed as ever. A worker
        is shared in one round only, since each placement delays the suspect.
        """
        if not self._reservation_by_task:
            return []
        reservation_by_worker = {
            reservation.worker: reservation
            for reservation in self._reservation_by_task.values()
            if self._now < reservation.ends_at
        }
        return [
            candidate
            for candidate in candidates
            if candidate.worker not in self._isolated_workers
            and (reservation := reservation_by_worker.get(candidate.worker))
            and reservation.shared_at in (None, self._now)
            and candidate.load.fits(_add_demand(spec, reservation.spec))
        ]

    def candidates_for_suspect(
        self, task: Task, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Return the workers without runs on probation that may take a suspect."""
        held = self._held_workers(task.id)
        if self._holds_too_many(held, candidates):
            return []
        return [
            candidate
            for candidate in candidates
            if not self._probation_count_by_worker[candidate.worker]
            and candidate.worker not in held
        ]

    def reserve(self, task: Task, spec: StepSpec, candidates: list[Candidate]) -> None:
        """Reserve a worker for a waiting suspect that found none.

        Only a worker on which the task fits is reserved: waiting for the end of
        probations does not help otherwise.
        """
        earlier = self._reservation_by_task.get(task.id)
        if earlier and self._now < earlier.ends_at + RESERVATION_PAUSE_SECONDS:
            return
        held = self._held_workers(task.id)
        if self._holds_too_many(held, candidates):
            return
        usable = [
            candidate
            for candidate in candidates
            if candidate.worker not in held
            and candidate.load.fits(spec)
            and spec.required_label in ("", *candidate.labels)
        ]
        if not usable:
            return
        best = min(
            usable,
            key=lambda candidate: (
                earlier is not None and candidate.worker == earlier.worker,
                self._probation_count_by_worker[candidate.worker],
            ),
        )
        self._reservation_by_task[task.id] = Reservation(
            best.worker, spec, self._now + RESERVATION_SECONDS
        )

    def _held_workers(self, task: TaskId | None) -> set[str]:
        """Return the workers that are held for others than ``task``."""
        reserved = {
            reservation.worker
            for other, reservation in self._reservation_by_task.items()
            if other != task and self._now < reservation.ends_at
        }
        return reserved | self._isolated_workers

    def _holds_too_many(self, held: set[str], candidates: list[Candidate]) -> bool:
        held_count = sum(candidate.worker in held for candidate in candidates)
        return held_count >= max(1, int(MAX_HELD_RATIO * len(candidates)))


def _add_demand(spec: StepSpec, other: StepSpec) -> StepSpec:
    """Return a step whose tasks demand what one task of each step does.

    Backfill reserves no CPU.
    """
    other_millicores = 0 if other.backfill else other.cpu_millicores
    return spec._replace(
        cpu_millicores=spec.cpu_millicores + other_millicores,
        memory_mb=spec.memory_mb + other.memory_mb,
        accelerators=spec.accelerators + other.accelerators,
    )
