"""Colocate backfill with services: speeds, admission of unknown pairs, and moves."""

import asyncio
import collections
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from savorydale.jobs.model import StepSpec
from savorydale.orders.runs import Run, RunState
from savorydale.orders.worker_link import WorkerLink
from savorydale.placement.choice import unused_millicores
from savorydale.placement.interference import InterferenceModel
from savorydale.placement.throttling import (
    MIN_THROTTLING_SLOPE,
    BackfillUsage,
    ServiceBudget,
    ServiceSample,
    WorkerThrottle,
    split_share,
)

HasHost = Callable[[WorkerLink, Run], bool]


class SpeedChange(NamedTuple):
    """Order ``run`` to work at ``percent`` of its full speed."""

    run: Run
    percent: int


class Move(NamedTuple):
    """Stop ``run`` on the worker of ``link``, so that it continues elsewhere."""

    link: WorkerLink
    run: Run


class ImagePair(NamedTuple):
    """The image of a service and the image of backfill on the same worker."""

    service: str
    backfill: str


class BackfillCapacity(NamedTuple):
    """Capacity for backfill of one image on a worker, in shares of its CPU.

    ``share`` is what all runs of the image may use, ``allocated`` the demand of those
    already placed. ``unknown_pairs`` have too few observations. Valid for one
    ``revision`` of the load.
    """

    revision: int
    share: float
    allocated: float
    unknown_pairs: tuple[ImagePair, ...]


class WorkerBudgets(NamedTuple):
    """The budgets of the services on a worker, and the capacity computed from them.

    Valid for one ``service_revision`` of the worker's load, until its next report.
    """

    service_revision: int
    budgets: list[ServiceBudget]
    capacity_by_image: dict[str, BackfillCapacity]


EMPTY_WORKER_SIMILARITY = 0.6  # prefers an empty worker to one with dissimilar services
DEMAND_SMOOTHING = 0.1  # weight of the newest second in the demand of an image
STUCK_MAX_PERCENT = 30
STUCK_SECONDS = 1.5
MOVE_MIN_SPEED = 0.6
MOVE_MAX_PROGRESS_PERCENT = 90.0  # beyond, a move costs more than it gains
RESTART_MAX_PROGRESS_PERCENT = 30.0  # the same without a checkpoint
MAX_TRIALS_PER_PAIR = 2  # workers that may try the same unknown pair at once
TRIAL_SECONDS = 2.5  # until reports show the effect of the trial
MOVES_PER_ROUND = 4


class Colocation:
    """Sets the speed of backfill by a model fitted to the reports of workers."""

    def __init__(self) -> None:
        self.model = InterferenceModel()
        self._throttle_by_worker: dict[str, WorkerThrottle] = {}
        self._demand_by_image: dict[str, float] = {}
        self._scarcity_by_worker: dict[str, float] = {}
        self._trial_ends_at_by_pair: dict[ImagePair, dict[str, float]] = {}
        self._budgets_by_worker: dict[str, WorkerBudgets] = {}

    def on_report(self, link: WorkerLink) -> list[SpeedChange]:
        """Process a report of a worker and return the speeds to change."""
        throttle = self._throttle_of(link.worker)
        services = _services_on(link)
        backfill = _backfill_on(link)
        now = asyncio.get_running_loop().time()
        throttle.observe(self.model, services, backfill, now)
        self._budgets_by_worker.pop(link.worker, None)
        return self.speed_changes(link)

    def speed_changes(self, link: WorkerLink) -> list[SpeedChange]:
        """Return the speeds to change on a worker at its current load."""
        throttle = self._throttle_of(link.worker)
        budgets = throttle.budgets(self.model, _services_on(link))
        shares = throttle.allowed_shares(self.model, budgets, _backfill_on(link))
        return [
            change
            for image, share in shares.items()
            for change in _split_share_among_runs(link, image, share)
        ]

    def speed_of(self, link: WorkerLink, spec: StepSpec) -> float:
        """Return the speed that one more backfill task would have on a worker."""
        capacity = self._capacity_for(link, spec.image)
        if not self._may_start(link, capacity):
            return 0.0
        demand = _share(link, max(1, spec.cpu_millicores))
        return max(0.0, min(1.0, (capacity.share - capacity.allocated) / demand))

    def _capacity_for(self, link: WorkerLink, image: str) -> BackfillCapacity:
        cached = self._budgets_of(link)
        capacity = cached.capacity_by_image.get(image)
        if capacity is None or capacity.revision != link.load.revision:
            capacity = self._compute_capacity(link, cached.budgets, image)
            cached.capacity_by_image[image] = capacity
        return capacity

    def _budgets_of(self, link: WorkerLink) -> WorkerBudgets:
        cached = self._budgets_by_worker.get(link.worker)
        if cached is None or cached.service_revision != link.load.service_revision:
            budgets = self._throttle_of(link.worker).budgets(
                self.model, _services_on(link)
            )
            cached = WorkerBudgets(link.load.service_revision, budgets, {})
            self._budgets_by_worker[link.worker] = cached
        return cached

    def _compute_capacity(
        self, link: WorkerLink, budgets: Sequence[ServiceBudget], image: str
    ) -> BackfillCapacity:
        load = link.load
        throttle = self._throttle_of(link.worker)
        allocated = _share(link, load.backfill_by_image[image])
        share = 0.0
        if not throttle.has_breach:
            others = [
                BackfillUsage(other, _share(link, millicores), 0.0)
                for other, millicores in load.backfill_by_image.items()
                if millicores > 0 and other != image
            ]
            share = throttle.allowed_share(self.model, budgets, others, image)
        unknown = tuple(self._unknown_pairs(link, image))
        return BackfillCapacity(load.revision, share, allocated, unknown)

    def _may_start(self, link: WorkerLink, capacity: BackfillCapacity) -> bool:
        """Return whether a task may start beside the services on a worker.

        Few workers try an unknown pair of images at a time, each with one task, to
        limit the interference until the model has observed the pair.
        """
        if not capacity.unknown_pairs:
            return True
        if capacity.allocated > 0:
            return False
        now = asyncio.get_running_loop().time()
        return all(
            sum(
                ends_at > now
                for worker, ends_at in self._trial_ends_at_by_pair.get(pair, {}).items()
                if worker != link.worker
            )
            < MAX_TRIALS_PER_PAIR
            for pair in capacity.unknown_pairs
        )

    def record_placement(self, link: WorkerLink, spec: StepSpec) -> None:
        """Record the placement of a backfill task, which may be a trial."""
        ends_at = asyncio.get_running_loop().time() + TRIAL_SECONDS
        for pair in self._unknown_pairs(link, spec.image):
            self._trial_ends_at_by_pair.setdefault(pair, {})[link.worker] = ends_at

    def _unknown_pairs(self, link: WorkerLink, image: str) -> list[ImagePair]:
        return [
            ImagePair(service, image)
            for service, count in link.load.services_by_image.items()
            if count > 0 and not self.model.is_known(service, image)
        ]

    def scarcity_of(self, worker: str) -> float:
        """Return how scarce a worker is for backfill that fits on few, from 0 to 1."""
        return self._scarcity_by_worker.get(worker, 0.0)

    def refresh(
        self, links: Sequence[WorkerLink], waiting_by_image: Mapping[str, int]
    ) -> None:
        """Fit the model, and update the scarcity of each worker.

        An image of backfill that interferes with most services can run on few workers;
        images that can run anywhere should avoid these. ``waiting_by_image`` is the
        backfill that waits for a worker, in millicores.
        """
        self.model.fit()
        self._budgets_by_worker.clear()
        self._update_demand(links, waiting_by_image)
        links_by_image = {
            image: [link for link in links if self._is_harmless(link, image)]
            for image in self._demand_by_image
        }
        need_by_worker: collections.Counter[str] = collections.Counter()
        for image, suitable in links_by_image.items():
            unused = sum(max(0.0, unused_millicores(link.load)) for link in suitable)
            for link in suitable:
                need_by_worker[link.worker] += self._demand_by_image[image] / (
                    unused + 1
                )
        max_need = max(need_by_worker.values(), default=0.0)
        self._scarcity_by_worker = {
            worker: need / max_need
            for worker, need in need_by_worker.items()
            if max_need > 0
        }

    def _update_demand(
        self, links: Sequence[WorkerLink], waiting_by_image: Mapping[str, int]
    ) -> None:
        demand: collections.Counter[str] = collections.Counter(waiting_by_image)
        for link in links:
            for run in link.run_by_task.values():
                if run.spec.backfill:
                    demand[run.spec.image] += run.spec.cpu_millicores
        for image in demand.keys() | self._demand_by_image.keys():
            smoothed = self._demand_by_image.get(image, 0.0)
            change = DEMAND_SMOOTHING * (demand[image] - smoothed)
            self._demand_by_image[image] = smoothed + change

    def _is_harmless(self, link: WorkerLink, image: str) -> bool:
        return all(
            self.model.slope(service, image) < MIN_THROTTLING_SLOPE
            for service, count in link.load.services_by_image.items()
            if count > 0
        )

    def similarity_of(self, link: WorkerLink, spec: StepSpec) -> float:
        """Return the mean similarity of a step to the services on a worker."""
        counts = link.load.services_by_image
        total = sum(counts.values())
        if not total:
            return EMPTY_WORKER_SIMILARITY
        return (
            sum(
                count * self.model.similarity(spec.image, image)
                for image, count in counts.items()
                if count
            )
            / total
        )

    def choose_moves(
        self,
        links: Sequence[WorkerLink],
        now: float,
        has_host: HasHost | None = None,
    ) -> list[Move]:
        """Return backfill runs that are throttled here but could run elsewhere.

        ``has_host`` tells whether another worker may take a run's task and could run
        it; by default, all ``links`` may take it.
        """
        moves: list[Move] = []
        for link in links:
            for run in link.run_by_task.values():
                if not self._is_stuck(run, now):
                    continue
                if has_host is None:
                    is_movable = any(
                        other is not link and self.could_run(other, run.spec)
                        for other in links
                    )
                else:
                    is_movable = has_host(link, run)
                if is_movable:
                    moves.append(Move(link, run))
                if len(moves) >= MOVES_PER_ROUND:
                    return moves
        return moves

    def _is_stuck(self, run: Run, now: float) -> bool:
        spec = run.spec
        if not spec.backfill or run.stop_requested:
            return False
        if (
            run.requested_percent > STUCK_MAX_PERCENT
            or run.state is not RunState.ACTIVE
        ):
            run.last_unstuck_at = now
            return False
        if run.progress_percent > _max_progress_to_move(spec):
            return False
        return now - max(run.last_unstuck_at, run.confirmed_at) > STUCK_SECONDS

    def could_run(self, link: WorkerLink, spec: StepSpec) -> bool:
        """Return whether a backfill task would run well enough here to be moved."""
        if not link.is_in_contact(asyncio.get_running_loop().time()):
            return False
        if not link.load.fits(spec):
            return False
        unused_ratio = unused_millicores(link.load) / max(1, spec.cpu_millicores)
        return min(unused_ratio, self.speed_of(link, spec)) >= MOVE_MIN_SPEED

    def _throttle_of(self, worker: str) -> WorkerThrottle:
        return self._throttle_by_worker.setdefault(worker, WorkerThrottle())


def _max_progress_to_move(spec: StepSpec) -> float:
    if spec.checkpointing:
        return MOVE_MAX_PROGRESS_PERCENT
    return RESTART_MAX_PROGRESS_PERCENT


def _split_share_among_runs(
    link: WorkerLink, image: str, share: float
) -> list[SpeedChange]:
    """Return the changes that let the runs of an image use ``share`` of a worker."""
    runs = [
        run
        for run in link.run_by_task.values()
        if run.spec.backfill and run.spec.image == image
    ]
    runs.sort(key=lambda run: -run.progress_percent)
    demands = [_share(link, run.spec.cpu_millicores) for run in runs]
    return [
        SpeedChange(run, percent)
        for run, percent in zip(runs, split_share(share, demands), strict=True)
        if run.state is RunState.ACTIVE and percent != run.requested_percent
    ]


def _share(link: WorkerLink, millicores: float) -> float:
    """Return millicores as a share of the worker's CPU."""
    return millicores / max(1, link.load.capacity.cpu_millicores)


def _services_on(link: WorkerLink) -> list[ServiceSample]:
    return [
        ServiceSample(
            str(run.task), run.spec.image, run.usage, float(run.spec.latency_target_ms)
        )
        for run in link.run_by_task.values()
        if run.spec.long_running and run.spec.latency_target_ms and run.usage > 0
    ]


def _backfill_on(link: WorkerLink) -> list[BackfillUsage]:
    capacity = max(1, link.load.capacity.cpu_millicores)
    demand: collections.Counter[str] = collections.Counter()
    used: dict[str, float] = collections.defaultdict(float)
    for run in link.run_by_task.values():
        if run.spec.backfill:
            demand[run.spec.image] += run.spec.cpu_millicores
            used[run.spec.image] += run.usage
    return [
        BackfillUsage(image, total / capacity, used[image] / capacity)
        for image, total in demand.items()
    ]
