"""Remembers for a while which waiting tasks found no worker, and tells why."""

from collections.abc import Iterable
from typing import NamedTuple

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.placement.advice import StepName
from savorydale.placement.choice import Candidate
from savorydale.placement.isolation import SuspectIsolation
from savorydale.scheduler.fleet import Fleet, Fleets, FreeCapacity
from savorydale.scheduler.state import SchedulerState
from savorydale.scheduler.turns import TurnKey, WaitingTasks
from savorydale.scheduler.waiting import (
    Refusal,
    WaitDecisions,
    WaitReason,
    find_refusal_reason,
)

REFUSAL_SECONDS = 2.0  # capacity may have been released since


# The search for a reason looks at all workers, within the time of a planning round.
MAX_REASONS_PER_ROUND = 10


class RefusalKey(NamedTuple):
    """What decides why a task is refused; tasks with equal keys are alike.

    ``own_key`` names tasks whose reason depends on more than that: on a suspect's
    isolation, on a step's tickets, or on where its other tasks run.
    """

    service: str
    cpu_millicores: int
    memory_mb: int
    accelerators: int
    required_label: str
    gang: bool
    own_key: TurnKey | None


class RememberedRefusal(NamedTuple):
    """A task for which a recent round found no worker; ``at`` is when."""

    task: TaskId
    service: str
    spec: StepSpec
    at: float


class Refusals:
    """The refusals of recent rounds; their reasons go to the decisions on services.

    ``_usable_by_service`` are the workers that were usable when a round began, or when
    the first refusal of their service was recorded.
    """

    def __init__(
        self,
        state: SchedulerState,
        isolation: SuspectIsolation,
        decisions: WaitDecisions,
    ):
        self._state = state
        self._isolation = isolation
        self._decisions = decisions
        self._refusal_by_key: dict[TurnKey, RememberedRefusal] = {}
        self._usable_by_service: dict[str, set[str]] = {}
        self._reasons_left = MAX_REASONS_PER_ROUND

    def begin_round(self, keys: Iterable[TurnKey], fleets: Fleets) -> None:
        """Forget the refusals of what no longer waits, and those that have lapsed.

        A refusal lapses once a worker has become usable that may take the task.
        """
        self._reasons_left = MAX_REASONS_PER_ROUND
        kept = set(keys)
        self._refusal_by_key = {
            key: refusal for key, refusal in self._refusal_by_key.items() if key in kept
        }
        gained_by_service = self._find_gained(fleets)
        if not gained_by_service:
            return
        self._refusal_by_key = {
            key: refusal
            for key, refusal in self._refusal_by_key.items()
            if refusal.service not in gained_by_service
            or not gained_by_service[refusal.service].may_fit(refusal.spec)
        }

    def _find_gained(self, fleets: Fleets) -> dict[str, FreeCapacity]:
        """Return the capacity of the workers that have become usable since last time.

        Only the services of remembered refusals are looked at.
        """
        services = {refusal.service for refusal in self._refusal_by_key.values()}
        earlier_by_service = self._usable_by_service
        self._usable_by_service = {}
        gained_by_service: dict[str, FreeCapacity] = {}
        for service in services:
            usable = self._usable_candidates(fleets.for_service(service))
            earlier = earlier_by_service[service]
            gained = [each for each in usable if each.worker not in earlier]
            self._usable_by_service[service] = {each.worker for each in usable}
            if gained:
                gained_by_service[service] = FreeCapacity(gained)
        return gained_by_service

    def _usable_candidates(self, fleet: Fleet) -> list[Candidate]:
        return self._isolation.candidates_for_others(fleet.candidates)

    def clear(self) -> None:
        """Forget all refusals."""
        self._refusal_by_key.clear()
        self._usable_by_service.clear()

    def find_recent(self, key: TurnKey, now: float) -> RememberedRefusal | None:
        """Return a refusal, if a recent round has found no worker.

        Under overload no round may consider all steps for long, so a refusal lapses.
        """
        refusal = self._refusal_by_key.get(key)
        if refusal is None or now - refusal.at >= REFUSAL_SECONDS:
            return None
        return refusal

    def record(
        self, waiting: WaitingTasks, fleet: Fleet, needs_advice: bool, now: float
    ) -> None:
        """Remember that no worker could take one of the waiting tasks, and why."""
        refused = next(task for task in waiting.tasks if task.is_waiting)
        self._refusal_by_key[waiting.key] = RememberedRefusal(
            refused.id, fleet.service, waiting.step.spec, now
        )
        if fleet.service not in self._usable_by_service:
            usable = self._usable_candidates(fleet)
            self._usable_by_service[fleet.service] = {each.worker for each in usable}
        self.explain(waiting, fleet, needs_advice, now)

    def record_skip(
        self, waiting: WaitingTasks, refusal: RememberedRefusal, now: float
    ) -> None:
        """Record that tasks are not tried because of a remembered refusal."""
        if not waiting.step.spec.long_running:
            return
        is_same = any(task.id == refusal.task for task in waiting.tasks)
        reason = (
            WaitReason.REFUSAL_REMEMBERED if is_same else WaitReason.OTHER_TASK_REFUSED
        )
        detail = f"{refusal.task} {now - refusal.at:.2f} s ago"
        self._decisions.record_skip(
            waiting.step.spec, waiting.tasks, reason, now, detail
        )

    def explain(
        self, waiting: WaitingTasks, fleet: Fleet, needs_advice: bool, now: float
    ) -> None:
        """Record why no worker could take the tasks of a service that still wait."""
        if not waiting.step.spec.long_running:
            return
        self._decisions.record_refusal(
            _refusal_key(waiting, fleet, needs_advice),
            [task for task in waiting.tasks if task.is_waiting],
            now,
            lambda: self._find_reason(waiting, fleet, needs_advice, now),
        )

    def _find_reason(
        self, waiting: WaitingTasks, fleet: Fleet, needs_advice: bool, now: float
    ) -> WaitReason | None:
        """Return the reason, or ``None`` if the round has found enough of them."""
        if not self._reasons_left:
            return None
        self._reasons_left -= 1
        step, candidates = waiting.step, fleet.candidates
        if waiting.is_suspect:
            task = waiting.tasks[0]
            allowed = self._isolation.candidates_for_suspect(task, candidates)
        else:
            allowed = self._isolation.candidates_for_others(candidates)
        open_workers = {candidate.worker for candidate in allowed}
        allowed_workers = open_workers
        if needs_advice:
            name = StepName(step.job.id, step.occurrence, step.number)
            advice = self._state.advice
            allowed_workers = {
                worker for worker in open_workers if advice.ticket(name, worker, now)
            }
        refusal = Refusal(
            step.spec,
            waiting.is_suspect,
            step.count_by_worker(),
            candidates,
            open_workers,
            allowed_workers,
        )
        return find_refusal_reason(refusal, self._state, fleet.service, now)


def _refusal_key(waiting: WaitingTasks, fleet: Fleet, needs_advice: bool) -> RefusalKey:
    spec = waiting.step.spec
    stands_alone = waiting.is_suspect or needs_advice or spec.max_per_worker > 0
    return RefusalKey(
        fleet.service,
        spec.cpu_millicores,
        spec.memory_mb,
        spec.accelerators,
        spec.required_label,
        spec.gang,
        waiting.key if stands_alone else None,
    )
