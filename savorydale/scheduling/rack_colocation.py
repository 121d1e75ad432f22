"""Tracks colocated tasks on the VMs of a rack, and predicts their interference."""

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

MAX_SAMPLE_AGE_SECONDS = 600.0


class InflationSample(NamedTuple):
    """Inflation that one entry reported; ``received_at`` is loop time."""

    inflation: float
    received_at: float


class ColocationModels:
    """Models that an entry learns from the tasks of all its racks."""

    def __init__(self) -> None:
        self.interference = InterferenceModel(lambda: asyncio.get_running_loop().time())
        self.usage = UsageEstimates()


class RackColocation:
    """Reviews the VMs of a rack, and predicts the effect of placing a task there.

    Parameters
    ----------
    models : ColocationModels
        Models shared by all racks of the entry.
    """

    def __init__(self, models: ColocationModels):
        self._models = models
        self._review_by_worker: dict[str, ColocationReview] = {}
        self._samples_by_pair: dict[tuple[str, str], dict[str, InflationSample]] = {}

    def record_inflation(
        self, entry: str, worker: str, service: str, inflation: float
    ) -> None:
        """Record the inflation that an entry measured for a service on a worker."""
        now = asyncio.get_running_loop().time()
        samples = self._samples_by_pair.setdefault((worker, service), {})
        samples[entry] = InflationSample(inflation, now)

    def record_usage(self, task: Task, report: TaskReport) -> None:
        """Record the processors that a task uses, if it runs at full speed."""
        if report.processors_used is not None and report.pace == 1.0:
            self._models.usage.record(
                task.name, report.processors_used, task.demand.processors
            )

    def review(
        self, vm: VmStatus, tasks: Iterable[Task], reports: dict[str, TaskReport]
    ) -> Action | None:
        """Return the action to take on the tasks of a VM, if any."""
        review = self._review_by_worker.get(vm.vm)
        if review is None:
            review = ColocationReview(self._models.interference)
            self._review_by_worker[vm.vm] = review
        now = asyncio.get_running_loop().time()
        return review.review(self._make_view(vm, tasks, reports), now)

    def predict(
        self,
        task: Task,
        vm: VmStatus,
        neighbours: Iterable[Task],
        reports: dict[str, TaskReport],
    ) -> PlacementPrediction:
        """Return the predicted state of a VM with one more task."""
        tasks = list(neighbours)
        view = self._make_view(vm, [*tasks, task], reports)
        processors_used = sum(
            self._processors_used(item, reports) for item in (*tasks, task)
        )
        breach_ratio = predict_breach_ratio(
            view.services, compute_shares(view.jobs), self._models.interference
        )
        return PlacementPrediction(breach_ratio, processors_used)

    def _make_view(
        self, vm: VmStatus, tasks: Iterable[Task], reports: dict[str, TaskReport]
    ) -> WorkerView:
        services = []
        jobs = []
        for task in tasks:
            match task.kind:
                case "service":
                    inflation = self._mean_inflation(vm.vm, task.name)
                    services.append(ServiceView(task.name, task.tail_weight, inflation))
                case "job":
                    share = self._processors_used(task, reports) / vm.processors
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

    def _processors_used(self, task: Task, reports: dict[str, TaskReport]) -> float:
        report = reports.get(task.id)
        if report is not None and report.processors_used is not None:
            return report.processors_used
        estimated = self._models.usage.estimate(task.name, task.demand.processors)
        return estimated * initial_speed(task)

    def _mean_inflation(self, worker: str, service: str) -> float | None:
        """Return the mean of recent samples from all entries, or None without any."""
        oldest_valid_at = asyncio.get_running_loop().time() - MAX_SAMPLE_AGE_SECONDS
        samples = self._samples_by_pair.get((worker, service), {})
        for entry in [
            entry
            for entry, item in samples.items()
            if item.received_at < oldest_valid_at
        ]:
            del samples[entry]
        if not samples:
            return None
        return sum(item.inflation for item in samples.values()) / len(samples)


def initial_speed(task: Task) -> float:
    """Return the speed at which a task starts, as a share of its full speed."""
    return MIN_SPEED if task.slow_start else 1.0
