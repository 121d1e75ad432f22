"""Choose the worker for each task of a step.

Batch tasks go to the worker with the most free capacity; on a nearly full fleet they
are packed by best fit, so that large tasks still fit elsewhere. Services that respond
similarly to backfill are colocated, so that each image of backfill finds workers where
it does not interfere. Backfill goes where it runs fastest.
"""

import heapq
import math
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from savorydale.jobs.model import StepSpec
from savorydale.jobs.progress import StepProgress, Task
from savorydale.orders.runs import WorkerLoad

SERVICE_USE_RATIO = 0.5  # share of its reserved CPU that a service uses on average
INITIAL_MIN_BACKFILL_SPEED = 0.6  # accepted at once; the bound then decays
MIN_SPEED_DECAY_PER_SECOND = 0.15  # while the task waits
MIN_BACKFILL_SPEED = 0.3  # a slower task hardly progresses
ANY_SPEED = -math.inf  # also where the estimate of unused CPU is below zero
BUSY_RATIO = 0.6  # used share of the fleet's CPU
FULL_RATIO = 0.8  # reserved share of the fleet's CPU
HALF = 0.5
# Terms of a score, in which the whole CPU of a worker, or full speed, counts 1.
REMOTE_PENALTY = 1.0
SUSPICION_PENALTY = 2.0
FAILED_THERE_PENALTY = 3.0
SIMILARITY_BONUS = 1.0
BACKFILL_UNUSED_CPU_WEIGHT = 0.3
SCARCITY_WEIGHT = 0.3


class Candidate(NamedTuple):
    """One worker on which tasks may be placed now.

    ``suspicion`` grows with recent failures. ``scarcity`` is how much this worker is
    needed by backfill that can run on few workers.
    """

    worker: str
    labels: tuple[str, ...]
    load: WorkerLoad
    suspicion: float = 0.0
    scarcity: float = 0.0


class PlacementContext(NamedTuple):
    """What the choice depends on besides the step and the workers.

    ``count_by_worker`` counts the step's tasks on each worker. ``speed_by_worker`` is
    the speed that the services there allow the step's backfill; empty for other steps.
    ``similarity_by_worker`` is how similarly the step and the services there respond to
    backfill. ``min_speed`` is the lowest speed at which backfill starts.
    ``service_headroom`` is the free capacity that a service leaves on its worker for
    batch tasks, in millicores. ``is_full`` tells whether most of the fleet's CPU is
    reserved.
    """

    count_by_worker: Counter[str]
    speed_by_worker: dict[str, float]
    similarity_by_worker: dict[str, float]
    min_speed: float = 0.0
    service_headroom: float = 0.0
    is_full: bool = False


class ScoredWorker(NamedTuple):
    """The index of a candidate and its cost; the lowest cost is the best.

    The cost holds as long as the worker's load has the same ``revision``.
    """

    cost: float
    candidate_index: int
    revision: int


def unused_millicores(load: WorkerLoad) -> float:
    """Return the CPU that no task uses, as estimated from reservations and speeds."""
    batch_millicores = load.cpu_millicores - load.service_millicores
    used = batch_millicores + SERVICE_USE_RATIO * load.service_millicores
    return load.capacity.cpu_millicores - used - load.backfill_millicores


def is_busy(candidates: Sequence[Candidate]) -> bool:
    """Return whether most of the CPU of the workers is used."""
    capacity = sum(candidate.load.capacity.cpu_millicores for candidate in candidates)
    unused = sum(unused_millicores(candidate.load) for candidate in candidates)
    return capacity - unused >= BUSY_RATIO * capacity


def is_full(candidates: Sequence[Candidate]) -> bool:
    """Return whether most of the CPU of the workers is reserved."""
    return _is_reserved(candidates, FULL_RATIO)


def is_mostly_unreserved(candidates: Sequence[Candidate]) -> bool:
    """Return whether less than half of the CPU of the workers is reserved.

    Backfill reserves none, however much of it runs.
    """
    return not _is_reserved(candidates, HALF)


def _is_reserved(candidates: Sequence[Candidate], ratio: float) -> bool:
    """Return whether at least this share of the workers' CPU is reserved."""
    capacity = sum(candidate.load.capacity.cpu_millicores for candidate in candidates)
    reserved = sum(candidate.load.cpu_millicores for candidate in candidates)
    return reserved >= ratio * capacity


def min_backfill_speed(waited_seconds: float, allow_any_speed: bool) -> float:
    """Return the lowest speed at which backfill starts; it decays with the wait.

    A task runs at full speed until it is throttled, so it interferes with services even
    on a worker that soon throttles it to almost nothing, and it holds its memory there.
    ``allow_any_speed`` lets the bound decay to zero all the same, for a job that would
    otherwise not run at all.
    """
    speed = INITIAL_MIN_BACKFILL_SPEED - MIN_SPEED_DECAY_PER_SECOND * waited_seconds
    return max(0.0 if allow_any_speed else MIN_BACKFILL_SPEED, speed)


def can_host(spec: StepSpec, candidate: Candidate, placed: int) -> bool:
    """Return whether one more task of a step fits on a worker and is permitted there.

    ``placed`` counts the step's tasks that the worker has.
    """
    if not candidate.load.fits(spec):
        return False
    if spec.required_label and spec.required_label not in candidate.labels:
        return False
    return not spec.max_per_worker or placed < spec.max_per_worker


class WorkerChooser:
    """Chooses workers for the tasks of one step, one after the other.

    All workers are scored once; a worker that was given a task is scored again. A
    chooser may be used again later in a round, after `refresh`.
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
        self._scored_heap: list[ScoredWorker] = []
        self._revisions = [candidate.load.revision for candidate in candidates]
        self._chosen_index = 0
        for index in range(len(candidates)):
            self._add(index)

    def find_changed(self) -> list[Candidate]:
        """Return the workers whose load has changed since they were scored."""
        return [self._candidates[index] for index in self._changed_indexes()]

    def refresh(self) -> None:
        """Score the workers again whose load has changed since they were scored."""
        for index in self._changed_indexes():
            self._add(index)

    def _changed_indexes(self) -> list[int]:
        return [
            index
            for index, candidate in enumerate(self._candidates)
            if candidate.load.revision != self._revisions[index]
        ]

    @property
    def has_workers(self) -> bool:
        """Return whether any worker can take one more task of the step."""
        return any(self._holds(each) for each in self._scored_heap)

    def choose(
        self, task: Task, avoided: frozenset[str] = frozenset()
    ) -> Candidate | None:
        """Return the best worker for a task, or ``None`` if no worker can take it.

        The worker is excluded from later choices until `record_placement` is called.
        Workers in ``avoided`` are not chosen.
        """
        best = self._take_best(task, avoided)
        if best is None:
            return None
        self._chosen_index = best.candidate_index
        return self._candidates[best.candidate_index]

    def _take_best(self, task: Task, avoided: frozenset[str]) -> ScoredWorker | None:
        if task.excluded_workers:
            self._scored_heap = [
                each for each in self._scored_heap if self._holds(each)
            ]
            open_workers = [
                each
                for each in self._scored_heap
                if self._candidates[each.candidate_index].worker not in avoided
            ]
            if not open_workers:
                return None
            best = max(open_workers, key=lambda scored: self._score_for(scored, task))
            self._scored_heap.remove(best)
            heapq.heapify(self._scored_heap)
            return best
        while self._scored_heap:
            best = heapq.heappop(self._scored_heap)
            if self._holds(best):
                return best
        return None

    def _holds(self, scored: ScoredWorker) -> bool:
        """Return whether a score is the last one of its worker."""
        return scored.revision == self._revisions[scored.candidate_index]

    def record_placement(self) -> None:
        """Score the worker that was chosen last again, since its load has grown."""
        self._add(self._chosen_index)

    def _add(self, index: int) -> None:
        candidate = self._candidates[index]
        revision = candidate.load.revision
        self._revisions[index] = revision
        if _is_allowed(self._spec, candidate, self._context):
            score = _score(self._spec, candidate, self._context)
            heapq.heappush(self._scored_heap, ScoredWorker(-score, index, revision))

    def _score_for(self, scored: ScoredWorker, task: Task) -> float:
        """Return a worker's score for one task, lower if the task has failed there."""
        has_failed = (
            self._candidates[scored.candidate_index].worker in task.excluded_workers
        )
        return -scored.cost - (FAILED_THERE_PENALTY if has_failed else 0.0)


def _is_allowed(
    spec: StepSpec, candidate: Candidate, context: PlacementContext
) -> bool:
    placed = context.count_by_worker.get(candidate.worker, 0)
    if not can_host(spec, candidate, placed):
        return False
    if spec.long_running:
        return _leaves_headroom(spec, candidate.load, context.service_headroom)
    if not spec.backfill:
        return True
    speed = _backfill_speed(spec, candidate, context)
    return speed >= context.min_speed


def _leaves_headroom(spec: StepSpec, load: WorkerLoad, headroom: float) -> bool:
    """Return whether a service leaves the headroom free on its worker.

    CPU that batch tasks reserve counts as headroom. The headroom is capped below the
    service's own size, so that twice its size always suffices.
    """
    free = load.capacity.cpu_millicores - load.cpu_millicores + load.batch_millicores
    reserved = min(headroom, spec.cpu_millicores - 1)
    return free >= spec.cpu_millicores + reserved


def _backfill_speed(
    spec: StepSpec, candidate: Candidate, context: PlacementContext
) -> float:
    """Return the share of its CPU demand that a backfill task would get."""
    allowed = context.speed_by_worker.get(candidate.worker, 1.0)
    unused_ratio = unused_millicores(candidate.load) / max(1, spec.cpu_millicores)
    return min(allowed, unused_ratio, 1.0)


def _score(spec: StepSpec, candidate: Candidate, context: PlacementContext) -> float:
    load = candidate.load
    capacity = max(1, load.capacity.cpu_millicores)
    unused_ratio = unused_millicores(load) / capacity
    if spec.backfill:
        speed = _backfill_speed(spec, candidate, context)
        score = speed + BACKFILL_UNUSED_CPU_WEIGHT * unused_ratio
        score -= SCARCITY_WEIGHT * candidate.scarcity
    elif spec.long_running:
        score = SIMILARITY_BONUS * context.similarity_by_worker.get(
            candidate.worker, 0.0
        )
        score += 1 - load.cpu_millicores / capacity
    elif context.is_full:
        # Best fit keeps the workers with much free capacity for large tasks.
        score = load.cpu_millicores / capacity
    else:
        score = unused_ratio + 1 - load.cpu_millicores / capacity
    if spec.data_rack and spec.data_rack not in candidate.labels:
        score -= REMOTE_PENALTY
    return score - SUSPICION_PENALTY * candidate.suspicion
