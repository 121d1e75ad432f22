"""State of the scheduling entry during one term."""

from enum import StrEnum
from typing import NamedTuple

from savorydale.jobs.model import TaskId
from savorydale.jobs.rows import MAX_ROW_BYTES
from savorydale.jobs.tracker import JobTracker
from savorydale.orders.interface import EndedRun, EndReason
from savorydale.orders.worker_link import WorkerLink
from savorydale.placement.advice import AdviceCache
from savorydale.placement.choice import Candidate
from savorydale.placement.colocation import Colocation
from savorydale.placement.crash_history import CrashHistory
from savorydale.placement.failure_rates import FailureRates
from savorydale.placement.headroom import BatchTaskDemand
from savorydale.placement.health import WorkerHealth, must_ignore_quarantine
from savorydale.storage.rows import RowKey, RowWrite


class WorkerObstacle(StrEnum):
    """Why a worker gets no tasks now."""

    DRAINING = "draining"
    NOT_REGISTERED = "not_registered"
    OUT_OF_CONTACT = "out_of_contact"
    QUARANTINED = "quarantined"
    STALLED = "stalled"


QUARANTINE_OBSTACLES = (WorkerObstacle.QUARANTINED, WorkerObstacle.STALLED)


class EndVerdict(NamedTuple):
    """What the end of a run tells of its worker's health.

    ``failure_ratio_elsewhere`` is the share of runs that fail on other workers.
    """

    begins_quarantine: bool
    failure_ratio_elsewhere: float


class ServiceCandidates(NamedTuple):
    """The workers of a service that may get tasks, and those only quarantined."""

    usable: list[Candidate]
    quarantined: list[Candidate]


class SchedulerState:
    """Jobs, workers and learned models, shared by the components of a term.

    ``ended_ms_by_job`` holds when jobs ended on the store's clock, the oldest first.
    """

    def __init__(self, max_row_bytes: int = MAX_ROW_BYTES) -> None:
        self.job_tracker = JobTracker(max_row_bytes)
        self.link_by_worker: dict[str, WorkerLink] = {}
        self.colocation = Colocation()
        self.batch_demand = BatchTaskDemand()
        self.advice = AdviceCache()
        self.crash_history = CrashHistory()
        self.ended_ms_by_job: dict[str, int] = {}
        self._health_by_worker: dict[str, WorkerHealth] = {}
        self._failure_rates_by_service: dict[str, FailureRates] = {}
        self._write_by_row: dict[RowKey, RowWrite] = {}

    @property
    def links(self) -> list[WorkerLink]:
        """Return the links to all workers, whether or not they may get tasks."""
        return list(self.link_by_worker.values())

    @property
    def has_changes(self) -> bool:
        """Return whether there are rows to write."""
        return self.job_tracker.has_changes or bool(self._write_by_row)

    def health_of(self, worker: str) -> WorkerHealth:
        """Return the record of a worker's failures and stalls."""
        return self._health_by_worker.setdefault(worker, WorkerHealth())

    def record_end(self, link: WorkerLink, end: EndedRun, now: float) -> EndVerdict:
        """Record the end of a run on a worker; return what it tells of its health."""
        rates = self._failure_rates_by_service.setdefault(
            link.info.service, FailureRates()
        )
        health = self.health_of(link.worker)
        ratio = rates.ratio_elsewhere(link.worker, now)
        cause = self._failure_cause(end.task)
        is_repeated = health.is_repeated_failure(end, cause)
        begins_quarantine = health.on_end(end, ratio, now, cause)
        if health.is_quarantined(now):
            rates.forget(link.worker, now)
        elif end.reason in (EndReason.DONE, EndReason.FAILED) and not is_repeated:
            rates.record(link.worker, end.reason is EndReason.FAILED, now)
        return EndVerdict(begins_quarantine, ratio)

    def _failure_cause(self, task: TaskId) -> str:
        """Return what may make a task fail anywhere: itself, or its whole job.

        If other tasks of its step are done, its job does not fail as a whole.
        """
        found = self.job_tracker.find_task(task)
        if found is None:
            return task.job
        step, _ = found
        return str(task) if step.unfinished_count < step.spec.task_count else task.job

    def write(self, name: RowKey, value: bytes | None) -> None:
        """Write a row with the next commit, or delete it if ``value`` is ``None``."""
        self._write_by_row[name] = RowWrite(name, value)

    def take_writes(self) -> list[RowWrite]:
        """Return the rows to write and clear them."""
        writes = [*self.job_tracker.take_changes(), *self._write_by_row.values()]
        self._write_by_row.clear()
        return writes

    def candidates(self, service: str, now: float) -> ServiceCandidates:
        """Return the workers of a service that may get tasks now.

        If most of them are quarantined, all may: see `must_ignore_quarantine`.
        """
        usable: list[Candidate] = []
        quarantined: list[Candidate] = []
        for link in self.links:
            if link.info.service != service:
                continue
            obstacle = self.find_obstacle(link, now)
            if obstacle is None:
                usable.append(self._make_candidate(link, now))
            elif obstacle in QUARANTINE_OBSTACLES:
                quarantined.append(self._make_candidate(link, now))
        if must_ignore_quarantine(len(quarantined), len(usable) + len(quarantined)):
            return ServiceCandidates([*usable, *quarantined], [])
        return ServiceCandidates(usable, quarantined)

    def _make_candidate(self, link: WorkerLink, now: float) -> Candidate:
        return Candidate(
            link.worker,
            link.info.labels,
            link.load,
            self.health_of(link.worker).suspicion_now(now),
            self.colocation.scarcity_of(link.worker),
        )

    def find_obstacle(self, link: WorkerLink, now: float) -> WorkerObstacle | None:
        """Return why a worker may get no tasks now, or ``None`` if it may."""
        if link.info.is_draining:
            return WorkerObstacle.DRAINING
        if not link.is_registered:
            return WorkerObstacle.NOT_REGISTERED
        if not link.is_in_contact(now):
            return WorkerObstacle.OUT_OF_CONTACT
        health = self.health_of(link.worker)
        if health.is_stalled(now):
            return WorkerObstacle.STALLED
        if health.is_quarantined(now):
            return WorkerObstacle.QUARANTINED
        return None
