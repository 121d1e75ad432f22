"""What the owner of a rack knows of work that runs side by side on its VMs."""

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from savorydale.scheduling.colocation import (
    MIN_SPEED,
    Action,
    ColocationReview,
    JobView,
    ServiceView,
    WorkerView,
    compute_shares,
    predict_breach_ratio,
)
from savorydale.scheduling.interference import InterferenceModel
from savorydale.scheduling.placement import PlacementPrediction
from savorydale.scheduling.tasks import Task
from savorydale.scheduling.usage import UsageEstimates
from savorydale.storage.interface import VmStatus
from savorydale.workers.interface import TaskReport

FORGOTTEN_SECONDS = 600.0


class SeenInflation(NamedTuple):
    """Inflation as one entry told it at loop time ``at``."""

    inflation: float
    at: float


class ColocationModels:
    """What one entry has learnt about work, whatever rack it ran in."""

    def __init__(self) -> None:
        self.interference = InterferenceModel(lambda: asyncio.get_running_loop().time())
        self.usage = UsageEstimates()


class RackColocation:
    """Views of the rack's VMs, and what is to be done about each.

    Parameters
    ----------
    experience : ColocationModels
        Shared by all racks of the entry.
    """

    def __init__(self, models: ColocationModels):
        self._models = models
        self._review_by_worker: dict[str, ColocationReview] = {}
        self._seen_by_pair: dict[tuple[str, str], dict[str, SeenInflation]] = {}

    def record_inflation(
        self, entry: str, worker: str, service: str, inflation: float
    ) -> None:
        """Take what an entry has measured of a service on a worker."""
        now = asyncio.get_running_loop().time()
        seen = self._seen_by_pair.setdefault((worker, service), {})
        seen[entry] = SeenInflation(inflation, now)

    def record_usage(self, task: Task, report: TaskReport) -> None:
        """Learn what a task uses at full pace."""
        if report.processors_used is not None and report.pace == 1.0:
            self._models.usage.record(
                task.name, report.processors_used, task.demand.processors
            )

    def review(
        self, vm: VmStatus, tasks: Iterable[Task], reports: dict[str, TaskReport]
    ) -> Action | None:
        """Return what is to be done about the tasks on a VM."""
        review = self._review_by_worker.get(vm.vm)
        if review is None:
            review = ColocationReview(self._models.interference)
            self._review_by_worker[vm.vm] = review
        now = asyncio.get_running_loop().time()
        return review.review(self._view(vm, tasks, reports), now)

    def predict(
        self,
        task: Task,
        vm: VmStatus,
        neighbours: Iterable[Task],
        reports: dict[str, TaskReport],
    ) -> PlacementPrediction:
        """Return what a VM is expected to be like with one more task."""
        tasks = list(neighbours)
        view = self._view(vm, [*tasks, task], reports)
        used = sum(self._used(item, reports) for item in (*tasks, task))
        breach_ratio = predict_breach_ratio(
            view.services, compute_shares(view.jobs), self._models.interference
        )
        return PlacementPrediction(breach_ratio, used)

    def _view(
        self, vm: VmStatus, tasks: Iterable[Task], reports: dict[str, TaskReport]
    ) -> WorkerView:
        services = []
        jobs = []
        for task in tasks:
            match task.kind:
                case "service":
                    inflation = self._inflation(vm.vm, task.name)
                    services.append(ServiceView(task.name, task.tail_weight, inflation))
                case "job":
                    share = self._used(task, reports) / vm.processors
                    speed = (
                        reports[task.id].pace
                        if task.id in reports
                        else initial_speed(task)
                    )
                    jobs.append(
                        JobView(
                            task.id,
                            task.name,
                            share,
                            speed,
                            task.urgent,
                            task.latency_evictions,
                        )
                    )
        return WorkerView(tuple(services), tuple(jobs))

    def _used(self, task: Task, reports: dict[str, TaskReport]) -> float:
        report = reports.get(task.id)
        if report is not None and report.processors_used is not None:
            return report.processors_used
        expected = self._models.usage.estimate(task.name, task.demand.processors)
        return expected * initial_speed(task)

    def _inflation(self, worker: str, service: str) -> float | None:
        """Return the mean of what entries have told lately."""
        oldest = asyncio.get_running_loop().time() - FORGOTTEN_SECONDS
        seen = self._seen_by_pair.get((worker, service), {})
        for entry in [entry for entry, item in seen.items() if item.at < oldest]:
            del seen[entry]
        if not seen:
            return None
        return sum(item.inflation for item in seen.values()) / len(seen)


def initial_speed(task: Task) -> float:
    """Return the pace that a task starts at."""
    return MIN_SPEED if task.slow_start else 1.0
