"""Backfill beside services on all workers: what is learnt, and what follows from it."""

import collections
from typing import NamedTuple

from savorydale.jobs.model import StepSpec
from savorydale.orders.runs import Run
from savorydale.orders.worker_link import WorkerLink
from savorydale.placement.interference import InterferenceModel
from savorydale.placement.pacing import (
    BackfillUse,
    ServiceUse,
    WorkerPace,
    to_percent,
)


class PaceChange(NamedTuple):
    """Let ``run`` work at ``percent`` of its speed."""

    run: Run
    percent: int


class Colocation:
    """Learns from workers' reports and decides the speed of backfill."""

    def __init__(self) -> None:
        self.model = InterferenceModel()
        self._pace_by_worker: dict[str, WorkerPace] = {}

    def on_report(self, link: WorkerLink) -> list[PaceChange]:
        """Take in a worker's report and return the speeds to change."""
        pace = self._pace_of(link.worker)
        services = _services_on(link)
        backfill = _backfill_on(link)
        shares = {use.image: use.used for use in backfill}
        for service in services:
            self.model.observe(
                service.image, shares, service.tail_ms, service.target_ms
            )
        pace.observe(self.model, services, backfill)
        speeds = pace.speeds(self.model, services, backfill)
        return [
            PaceChange(run, percent)
            for run in link.run_by_task.values()
            if run.spec.backfill
            and (percent := to_percent(speeds.get(run.spec.image, 1.0)))
            != run.wanted_percent
        ]

    def speed_of(self, link: WorkerLink, spec: StepSpec) -> float:
        """Return the speed that one more backfill task would have on a worker."""
        pace = self._pace_of(link.worker)
        services = _services_on(link)
        demand = spec.cpu_millicores / max(1, link.load.capacity.cpu_millicores)
        backfill = [use for use in _backfill_on(link) if use.image != spec.image]
        beside = [use for use in _backfill_on(link) if use.image == spec.image]
        total = sum(use.demand for use in beside) + demand
        backfill.append(BackfillUse(spec.image, total, 0.0))
        return pace.speeds(self.model, services, backfill)[spec.image]

    def _pace_of(self, worker: str) -> WorkerPace:
        return self._pace_by_worker.setdefault(worker, WorkerPace())


def _services_on(link: WorkerLink) -> list[ServiceUse]:
    return [
        ServiceUse(
            str(run.task), run.spec.image, run.usage, float(run.spec.latency_target_ms)
        )
        for run in link.run_by_task.values()
        if run.spec.long_running and run.spec.latency_target_ms and run.usage > 0
    ]


def _backfill_on(link: WorkerLink) -> list[BackfillUse]:
    capacity = max(1, link.load.capacity.cpu_millicores)
    demand: collections.Counter[str] = collections.Counter()
    used: dict[str, float] = collections.defaultdict(float)
    for run in link.run_by_task.values():
        if run.spec.backfill:
            demand[run.spec.image] += run.spec.cpu_millicores
            used[run.spec.image] += run.usage
    return [
        BackfillUse(image, total / capacity, used[image] / capacity)
        for image, total in demand.items()
    ]
