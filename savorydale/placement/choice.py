"""Choose the worker for one task.

Answers three loads. Tasks that reserve processors are spread to the worker with the
most room, but fill the smallest gap while hardly any room is left. Services that answer
alike to backfill are kept together, so that each image of backfill finds workers where
it disturbs nobody. Backfill goes where it is fastest.
"""

import heapq
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from savorydale.jobs.model import StepSpec
from savorydale.jobs.tracker import StepProgress, Task
from savorydale.orders.runs import WorkerLoad

SERVICE_USE_RATIO = 0.5  # share of its reservation that a service uses on average
FIRST_MIN_SPEED = 0.6  # backfill waits for a worker where it reaches this speed,
MIN_SPEED_DECAY_PER_SECOND = 0.15  # then takes less,
LEAST_SPEED = 0.3  # but not one where it would hardly work, unless nothing else works
BUSY_RATIO = 0.6  # used share of the workers' processors
FULL_RATIO = 0.8  # reserved share of the workers' processors
REMOTE_PENALTY = 1.0
SUSPECT_PENALTY = 2.0
FAILED_THERE_PENALTY = 3.0
LIKENESS_BONUS = 1.0
BACKFILL_ROOM_WEIGHT = 0.3
SCARCITY_WEIGHT = 0.3


class Candidate(NamedTuple):
    """One worker that may get tasks now.

    ``suspicion`` grows with recent failures; ``scarcity`` is how much backfill with few
    places needs this worker.
    """

    worker: str
    labels: tuple[str, ...]
    load: WorkerLoad
    suspicion: float = 0.0
    scarcity: float = 0.0


class PlacementContext(NamedTuple):
    """What the choice depends on besides the step and the workers.

    ``count_by_worker`` counts the step's tasks on each worker. ``speed_by_worker`` is
    the speed at which services let the step's backfill work; empty for other steps.
    ``likeness_by_worker`` is how alike the services there answer to backfill.
    ``least_speed`` is the speed below which backfill rather waits. ``service_headroom``
    is what a service should leave free on its worker for short tasks, in millicores.
    ``is_full`` tells whether most of the workers' processors are reserved.
    """

    count_by_worker: Counter[str]
    speed_by_worker: dict[str, float]
    likeness_by_worker: dict[str, float]
    least_speed: float = 0.0
    service_headroom: float = 0.0
    is_full: bool = False


class ScoredWorker(NamedTuple):
    """A candidate, by its number; the one with the lowest cost is the best."""

    cost: float
    number: int


def unused_millicores(load: WorkerLoad) -> float:
    """Return the processors that neither services nor other tasks use."""
    reserved_by_tasks = load.cpu_millicores - load.service_millicores
    used = reserved_by_tasks + SERVICE_USE_RATIO * load.service_millicores
    return load.capacity.cpu_millicores - used - load.backfill_millicores


def is_busy(candidates: Sequence[Candidate]) -> bool:
    """Return whether most of the workers' processors are used."""
    capacity = sum(candidate.load.capacity.cpu_millicores for candidate in candidates)
    unused = sum(unused_millicores(candidate.load) for candidate in candidates)
    return capacity - unused >= BUSY_RATIO * capacity


def is_full(candidates: Sequence[Candidate]) -> bool:
    """Return whether hardly any processors of the workers are not reserved."""
    capacity = sum(candidate.load.capacity.cpu_millicores for candidate in candidates)
    reserved = sum(candidate.load.cpu_millicores for candidate in candidates)
    return reserved >= FULL_RATIO * capacity


def least_speed(waited_seconds: float, may_crawl: bool) -> float:
    """Return the speed below which backfill rather waits.

    A task that starts works at full speed until it is slowed down, and so disturbs
    services even where it may hardly work at all afterwards; and it keeps its memory.
    ``may_crawl`` allows that in the end.
    """
    speed = FIRST_MIN_SPEED - MIN_SPEED_DECAY_PER_SECOND * waited_seconds
    return max(0.0 if may_crawl else LEAST_SPEED, speed)


class WorkerChooser:
    """Chooses workers for the tasks of one step, one after the other.

    All workers are scored once; a worker that got a task is scored again.
    """

    def __init__(
        self,
        step: StepProgress,
        candidates: Sequence[Candidate],
        context: PlacementContext,
    ):
        self._spec = step.spec
        self._candidates = candidates
        self._context = context
        self._best_first: list[ScoredWorker] = []
        self._chosen = 0
        for number in range(len(candidates)):
            self._add(number)

    def choose(self, task: Task) -> Candidate | None:
        """Return the best worker for a task, or ``None`` if none has room.

        The worker is left out of later choices until `note_placed`.
        """
        if not self._best_first:
            return None
        if task.excluded_workers:
            best = max(
                self._best_first, key=lambda scored: self._score_for(scored, task)
            )
            self._best_first.remove(best)
            heapq.heapify(self._best_first)
        else:
            best = heapq.heappop(self._best_first)
        self._chosen = best.number
        return self._candidates[best.number]

    def note_placed(self) -> None:
        """Score the worker that was chosen last again, as its load has grown."""
        self._add(self._chosen)

    def _add(self, number: int) -> None:
        candidate = self._candidates[number]
        if _is_allowed(self._spec, candidate, self._context):
            score = _score(self._spec, candidate, self._context)
            heapq.heappush(self._best_first, ScoredWorker(-score, number))

    def _score_for(self, scored: ScoredWorker, task: Task) -> float:
        """Return a worker's score for one task, which may have failed there."""
        has_failed = self._candidates[scored.number].worker in task.excluded_workers
        return -scored.cost - (FAILED_THERE_PENALTY if has_failed else 0.0)


def _is_allowed(
    spec: StepSpec, candidate: Candidate, context: PlacementContext
) -> bool:
    if not candidate.load.fits(spec):
        return False
    if spec.required_label and spec.required_label not in candidate.labels:
        return False
    held = context.count_by_worker.get(candidate.worker, 0)
    if spec.max_per_worker and held >= spec.max_per_worker:
        return False
    if spec.long_running:
        return _leaves_headroom(spec, candidate.load, context.service_headroom)
    if not spec.backfill:
        return True
    speed = _backfill_speed(spec, candidate, context)
    return speed >= context.least_speed


def _leaves_headroom(spec: StepSpec, load: WorkerLoad, headroom: float) -> bool:
    """Return whether a service leaves room; it never asks for twice its own size."""
    free = load.capacity.cpu_millicores - load.cpu_millicores + load.short_millicores
    kept = min(headroom, spec.cpu_millicores - 1)
    return free >= spec.cpu_millicores + kept


def _backfill_speed(
    spec: StepSpec, candidate: Candidate, context: PlacementContext
) -> float:
    """Return the share of its demand that a backfill task would get."""
    allowed = context.speed_by_worker.get(candidate.worker, 1.0)
    room = unused_millicores(candidate.load) / max(1, spec.cpu_millicores)
    return min(allowed, room, 1.0)


def _score(spec: StepSpec, candidate: Candidate, context: PlacementContext) -> float:
    load = candidate.load
    capacity = max(1, load.capacity.cpu_millicores)
    unused_ratio = unused_millicores(load) / capacity
    if spec.backfill:
        speed = _backfill_speed(spec, candidate, context)
        score = speed + BACKFILL_ROOM_WEIGHT * unused_ratio
        score -= SCARCITY_WEIGHT * candidate.scarcity
    elif spec.long_running:
        score = LIKENESS_BONUS * context.likeness_by_worker.get(candidate.worker, 0.0)
        score += 1 - load.cpu_millicores / capacity
    elif context.is_full:
        score = load.cpu_millicores / capacity  # keep larger gaps for larger tasks
    else:
        score = unused_ratio + 1 - load.cpu_millicores / capacity
    if spec.data_rack and spec.data_rack not in candidate.labels:
        score -= REMOTE_PENALTY
    return score - SUSPECT_PENALTY * candidate.suspicion
