"""Choose the worker for one task.

Answers two loads: tasks that reserve processors are spread to the worker with the most
room; backfill goes where the processors that others leave unused are the most.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from savorydale.jobs.ledger import StepProgress, Task
from savorydale.jobs.model import StepSpec
from savorydale.orders.runs import WorkerLoad

SERVICE_USE_RATIO = 0.55  # share of its reservation that a service uses on average
MIN_BACKFILL_SHARE = 0.6  # backfill starts where it gets this share of its demand
REMOTE_PENALTY = 1.0
SUSPECT_PENALTY = 2.0
FAILED_THERE_PENALTY = 3.0


class Candidate(NamedTuple):
    """One worker that may get tasks now.

    ``pressure`` is the worst ratio of a service's tail latency to its target.
    ``backfill_percent`` is the speed at which backfill works there. ``suspicion`` grows
    with recent failures.
    """

    worker: str
    labels: tuple[str, ...]
    load: WorkerLoad
    pressure: float = 0.0
    backfill_percent: float = 100.0
    suspicion: float = 0.0


def unused_millicores(load: WorkerLoad) -> float:
    """Return the processors that neither services nor other tasks use."""
    reserved_by_tasks = load.cpu_millicores - load.service_millicores
    used = reserved_by_tasks + SERVICE_USE_RATIO * load.service_millicores
    return load.capacity.cpu_millicores - used - load.backfill_millicores


def choose_worker(
    step: StepProgress,
    task: Task,
    candidates: Iterable[Candidate],
    count_by_worker: Mapping[str, int],
) -> Candidate | None:
    """Return the best worker for a task, or ``None`` if none has room."""
    spec = step.spec
    best: Candidate | None = None
    best_score = 0.0
    for candidate in candidates:
        if not _is_allowed(spec, candidate, count_by_worker):
            continue
        score = _score(spec, candidate)
        if candidate.worker in task.excluded_workers:
            score -= FAILED_THERE_PENALTY
        if best is None or score > best_score:
            best, best_score = candidate, score
    return best


def _is_allowed(
    spec: StepSpec,
    candidate: Candidate,
    count_by_worker: Mapping[str, int],
) -> bool:
    if not candidate.load.fits(spec):
        return False
    if spec.required_label and spec.required_label not in candidate.labels:
        return False
    held = count_by_worker.get(candidate.worker, 0)
    if spec.max_per_worker and held >= spec.max_per_worker:
        return False
    return not spec.backfill or _has_unused(spec, candidate)


def _has_unused(spec: StepSpec, candidate: Candidate) -> bool:
    if candidate.pressure > 1.0:
        return False
    unused = unused_millicores(candidate.load)
    return unused >= MIN_BACKFILL_SHARE * spec.cpu_millicores


def _score(spec: StepSpec, candidate: Candidate) -> float:
    capacity = max(1, candidate.load.capacity.cpu_millicores)
    score = unused_millicores(candidate.load) / capacity
    if spec.backfill:
        score -= candidate.pressure + (100 - candidate.backfill_percent) / 100
    else:
        score += 1 - candidate.load.cpu_millicores / capacity
    if spec.data_rack and spec.data_rack not in candidate.labels:
        score -= REMOTE_PENALTY
    return score - SUSPECT_PENALTY * candidate.suspicion
