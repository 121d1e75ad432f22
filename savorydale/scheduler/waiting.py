"""Records why tasks of services wait, as the planner decides it.

A task waits because a round did not try it, or because no worker could take it. The
last decision of each kind is kept, so that the log can tell the two apart.
"""

import collections
import dataclasses
from collections.abc import Callable, Hashable, Iterable
from enum import StrEnum
from typing import NamedTuple

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.jobs.progress import Task
from savorydale.orders.worker_link import WorkerLink
from savorydale.placement.choice import Candidate
from savorydale.scheduler.state import SchedulerState, WorkerObstacle

# The reason of a refusal is found by looking at all workers, so not each time.
REASON_INTERVAL_SECONDS = 1.0
REASON_INTERVAL_SECONDS_PER_KEY = 0.01  # with many kinds of tasks, less often


class WaitReason(StrEnum):
    """Why a task of a service does not run."""

    # No round has tried the task.
    NOT_CONSIDERED = "not_considered"
    ROUNDS_CUT_OFF = "rounds_cut_off"
    PLANNING_STOPPED = "planning_stopped_registrations_old"
    REFUSAL_REMEMBERED = "refusal_remembered"
    OTHER_TASK_REFUSED = "refusal_of_other_task_remembered"
    COVERED = "covered_by_failed_placement"
    GANG_NOT_ENDED = "gang_members_not_ended"
    SUSPECT_WAITS_FOR_TURN = "suspect_waits_for_turn"
    RESTART_DELAYED = "restart_delayed_after_crashes"
    # The task was tried, and no worker could take it.
    REFUSED = "refused_reason_not_found_yet"
    NO_CAPACITY = "no_capacity"
    WORKERS_DRAINING = "workers_draining"
    WORKERS_NOT_REGISTERED = "workers_not_registered"
    WORKERS_OUT_OF_CONTACT = "workers_out_of_contact"
    WORKERS_QUARANTINED = "workers_quarantined"
    WORKERS_STALLED = "workers_stalled"
    LABEL = "label"
    LIMIT_PER_WORKER = "limit_per_worker"
    HELD_FOR_SUSPECTS = "workers_held_for_suspects"
    WAITS_FOR_ISOLATION = "suspect_waits_for_isolation"
    NO_TICKET = "waits_for_ticket"
    HEADROOM = "headroom_for_batch"
    TOO_FEW_FOR_GANG = "too_few_workers_for_gang"
    # The task is still assigned to a worker.
    RUN_UNKNOWN = "run_not_known_to_be_over"
    EARLIER_RUN_LISTED = "earlier_run_is_listed"
    START_NOT_ANSWERED = "start_not_answered"
    BEING_STOPPED = "run_is_being_stopped"


REASON_BY_OBSTACLE = {
    WorkerObstacle.DRAINING: WaitReason.WORKERS_DRAINING,
    WorkerObstacle.NOT_REGISTERED: WaitReason.WORKERS_NOT_REGISTERED,
    WorkerObstacle.OUT_OF_CONTACT: WaitReason.WORKERS_OUT_OF_CONTACT,
    WorkerObstacle.QUARANTINED: WaitReason.WORKERS_QUARANTINED,
    WorkerObstacle.STALLED: WaitReason.WORKERS_STALLED,
}


class Refusal(NamedTuple):
    """The workers among which a step found none, from all to those that were left.

    ``candidates`` are all workers that may get tasks, ``open_workers`` those that are
    not held for others, ``allowed_workers`` those of them that the policy allows.
    """

    spec: StepSpec
    is_suspect: bool
    placed_by_worker: collections.Counter[str]
    candidates: list[Candidate]
    open_workers: set[str]
    allowed_workers: set[str]


@dataclasses.dataclass(slots=True)
class WaitDecision:
    """The last decision on a waiting task; times are on the loop's clock.

    ``since`` is when ``reason`` first held without a break. ``tried_reason`` is the
    result of the last try of all workers, at ``tried_at``. ``version`` is that of the
    configuration that was in force, and ``detail`` names what else was involved.
    """

    reason: WaitReason
    since: float
    version: int
    detail: str = ""
    tried_reason: WaitReason | None = None
    tried_at: float | None = None


class Explanation(NamedTuple):
    """Why a step was refused, found at ``at`` on the loop's clock."""

    reason: WaitReason
    at: float


class WaitDecisions:
    """The last decision on each waiting task of a service."""

    def __init__(self, read_version: Callable[[], int]):
        self._read_version = read_version
        self._decision_by_task: dict[TaskId, WaitDecision] = {}
        self._explanation_by_key: dict[Hashable, Explanation] = {}
        self._stopped_since: float | None = None

    def find(self, task: TaskId) -> WaitDecision | None:
        """Return the last decision on a task, or ``None`` if there was none."""
        decision = self._decision_by_task.get(task)
        if self._stopped_since is None:
            return decision
        stopped = WaitDecision(
            WaitReason.PLANNING_STOPPED, self._stopped_since, self._read_version()
        )
        if decision is not None:
            stopped.tried_reason = decision.tried_reason
            stopped.tried_at = decision.tried_at
        return stopped

    def retain(self, tasks: Iterable[TaskId], now: float) -> None:
        """Forget all decisions but those on ``tasks``, and old explanations."""
        interval = self._reason_interval_seconds
        self._explanation_by_key = {
            key: explanation
            for key, explanation in self._explanation_by_key.items()
            if now - explanation.at < interval
        }
        kept = set(tasks)
        self._decision_by_task = {
            task: decision
            for task, decision in self._decision_by_task.items()
            if task in kept
        }

    def record_stop(self, now: float) -> None:
        """Record that nothing is planned until the next `record_round`."""
        if self._stopped_since is None:
            self._stopped_since = now

    def record_round(self) -> None:
        """Record that a planning round begins."""
        self._stopped_since = None

    def record_skip(
        self,
        spec: StepSpec,
        tasks: Iterable[Task],
        reason: WaitReason,
        now: float,
        detail: str = "",
    ) -> None:
        """Record that a round did not try tasks of a step."""
        if not spec.long_running:
            return
        for task in tasks:
            self._decide(task.id, reason, now, detail)

    def record_refusal(
        self,
        key: Hashable,
        tasks: Iterable[Task],
        now: float,
        find_reason: Callable[[], WaitReason | None],
    ) -> None:
        """Record that no worker could take tasks of a service.

        The reason is found at most once per `REASON_INTERVAL_SECONDS` for a key, which
        stands for tasks that are alike. If ``find_reason`` has no time for it now, the
        last reason is kept.
        """
        explanation = self._explanation_by_key.get(key)
        interval = self._reason_interval_seconds
        if explanation is None or now - explanation.at >= interval:
            found = find_reason()
            if found is not None:
                explanation = self._explanation_by_key[key] = Explanation(found, now)
        for task in tasks:
            earlier = self._decision_by_task.get(task.id)
            reason = earlier.tried_reason if earlier else None
            if explanation is not None:
                reason = explanation.reason
            decision = self._decide(task.id, reason or WaitReason.REFUSED, now)
            decision.tried_reason, decision.tried_at = decision.reason, now

    @property
    def _reason_interval_seconds(self) -> float:
        """Return the time between two searches for the same reason."""
        key_count = len(self._explanation_by_key)
        return max(REASON_INTERVAL_SECONDS, REASON_INTERVAL_SECONDS_PER_KEY * key_count)

    def _decide(
        self, task: TaskId, reason: WaitReason, now: float, detail: str = ""
    ) -> WaitDecision:
        decision = self._decision_by_task.get(task)
        if decision is None:
            decision = WaitDecision(reason, now, 0)
            self._decision_by_task[task] = decision
        if decision.reason is not reason:
            decision.reason, decision.since = reason, now
        decision.version = self._read_version()
        decision.detail = detail
        return decision


def find_refusal_reason(
    refusal: Refusal, state: SchedulerState, service: str, now: float
) -> WaitReason:
    """Return why no worker could take a task: the first condition that none meets."""
    spec = refusal.spec
    fitting = [each for each in refusal.candidates if each.load.fits(spec)]
    if not fitting:
        return _find_obstacle_of_fitting(state, service, spec, now)
    fitting = [each for each in fitting if spec.required_label in ("", *each.labels)]
    if not fitting:
        return WaitReason.LABEL
    if spec.max_per_worker:
        fitting = [
            each
            for each in fitting
            if refusal.placed_by_worker[each.worker] < spec.max_per_worker
        ]
    if not fitting:
        return WaitReason.LIMIT_PER_WORKER
    workers = {each.worker for each in fitting}
    if not workers & refusal.open_workers:
        if refusal.is_suspect:
            return WaitReason.WAITS_FOR_ISOLATION
        return WaitReason.HELD_FOR_SUSPECTS
    if not workers & refusal.allowed_workers:
        return WaitReason.NO_TICKET
    return WaitReason.TOO_FEW_FOR_GANG if spec.gang else WaitReason.HEADROOM


def _find_obstacle_of_fitting(
    state: SchedulerState, service: str, spec: StepSpec, now: float
) -> WaitReason:
    """Return what most workers with capacity for a task have in common, if any."""
    obstacles = collections.Counter(
        obstacle
        for link in links_with_capacity(state, service, spec)
        if (obstacle := state.find_obstacle(link, now))
    )
    if not obstacles:
        return WaitReason.NO_CAPACITY
    [(obstacle, _)] = obstacles.most_common(1)
    return REASON_BY_OBSTACLE[obstacle]


def links_with_capacity(
    state: SchedulerState, service: str, spec: StepSpec
) -> list[WorkerLink]:
    """Return the links to workers that have capacity for a task, and its label.

    Workers that have left are not counted.
    """
    return [
        link
        for link in state.links
        if not link.is_closed
        and link.info.service == service
        and link.load.fits(spec)
        and spec.required_label in ("", *link.info.labels)
    ]
