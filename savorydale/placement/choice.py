"""Choose the worker for one task.

Answers three loads. Tasks that reserve processors are spread to the worker with the
most room, but fill the smallest gap while hardly any room is left. Services that answer
alike to backfill are kept together, so that each image of backfill finds workers where
it disturbs nobody. Backfill goes where it is fastest.
"""

import zlib
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from savorydale.jobs.ledger import StepProgress, Task
from savorydale.jobs.model import StepSpec
from savorydale.orders.runs import WorkerLoad

SERVICE_USE_RATIO = 0.5  # share of its reservation that a service uses on average
FIRST_MIN_SPEED = 0.6  # backfill waits for a worker where it reaches this speed,
MIN_SPEED_DECAY_PER_SECOND = 0.15  # then takes less,
BUSY_LEAST_SPEED = 0.3  # but no worker where it would hardly work, while all are busy
BUSY_RATIO = 0.6  # used share of the workers' processors
FULL_RATIO = 0.8  # reserved share of the workers' processors
SAMPLE_WORKERS = 60  # of more workers, so many are compared for a task
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
    ``waited_seconds`` is how long the task has waited. ``service_headroom`` is what a
    service should leave free on its worker for short tasks, in millicores.
    ``is_busy`` tells whether most of the workers' processors are used, ``is_full``
    whether most are reserved.
    """

    count_by_worker: Counter[str]
    speed_by_worker: dict[str, float]
    likeness_by_worker: dict[str, float]
    waited_seconds: float
    service_headroom: float = 0.0
    is_busy: bool = False
    is_full: bool = False


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


def least_speed(waited_seconds: float, is_busy: bool) -> float:
    """Return the speed below which backfill rather waits.

    A task that starts works at full speed until it is slowed down, and so disturbs
    services even where it may hardly work at all afterwards.
    """
    speed = FIRST_MIN_SPEED - MIN_SPEED_DECAY_PER_SECOND * waited_seconds
    return max(BUSY_LEAST_SPEED if is_busy else 0.0, speed)


def choose_worker(
    step: StepProgress,
    task: Task,
    candidates: Sequence[Candidate],
    context: PlacementContext,
) -> Candidate | None:
    """Return the best worker for a task, or ``None`` if none has room."""
    spec = step.spec
    is_choosy = spec.long_running or bool(spec.data_rack)
    if len(candidates) > SAMPLE_WORKERS and not is_choosy:
        sample = _sample(candidates, task)
        chosen = _best_of(step, task, sample, context)
        if chosen is not None:
            return chosen
    return _best_of(step, task, candidates, context)


def _sample(candidates: Sequence[Candidate], task: Task) -> Sequence[Candidate]:
    """Return some of many workers, others for each task: nearly as good as all."""
    start = zlib.crc32(str(task.id).encode()) % len(candidates)
    sample = candidates[start : start + SAMPLE_WORKERS]
    return [*sample, *candidates[: SAMPLE_WORKERS - len(sample)]]


def _best_of(
    step: StepProgress,
    task: Task,
    candidates: Sequence[Candidate],
    context: PlacementContext,
) -> Candidate | None:
    spec = step.spec
    best: Candidate | None = None
    best_score = 0.0
    for candidate in candidates:
        if not _is_allowed(spec, candidate, context):
            continue
        score = _score(spec, candidate, context)
        if candidate.worker in task.excluded_workers:
            score -= FAILED_THERE_PENALTY
        if best is None or score > best_score:
            best, best_score = candidate, score
    return best


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
    return speed >= least_speed(context.waited_seconds, context.is_busy)


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
