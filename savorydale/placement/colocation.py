"""Backfill beside services on all workers: what is learnt, and what follows from it."""

import asyncio
import collections
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from savorydale.jobs.model import StepSpec
from savorydale.orders.runs import Run, RunState
from savorydale.orders.worker_link import WorkerLink
from savorydale.placement.choice import unused_millicores
from savorydale.placement.interference import InterferenceModel
from savorydale.placement.pacing import (
    MIN_SLOPE,
    BackfillUse,
    ServiceBudget,
    ServiceUse,
    WorkerPace,
    split_share,
)


class PaceChange(NamedTuple):
    """Let ``run`` work at ``percent`` of its speed."""

    run: Run
    percent: int


class Move(NamedTuple):
    """Stop ``run`` on the worker of ``link``, so that it continues elsewhere."""

    link: WorkerLink
    run: Run


class ImagePair(NamedTuple):
    """A service's image and an image of backfill beside it."""

    service: str
    backfill: str


class BackfillRoom(NamedTuple):
    """Room for backfill of one image on a worker, in shares of its processors.

    ``share`` is what all of it may use, ``taken`` what it was given, ``unknown_pairs``
    those of which too little is known. Valid for one ``revision`` of the load.
    """

    revision: int
    share: float
    taken: float
    unknown_pairs: tuple[ImagePair, ...]


class WorkerServices(NamedTuple):
    """What the services on a worker allow backfill, and the rooms found from that.

    Valid for one ``service_revision`` of the worker's load, until its next report.
    """

    service_revision: int
    budgets: list[ServiceBudget]
    room_by_image: dict[str, BackfillRoom]


EMPTY_LIKENESS = 0.6  # an empty worker is better than one with unlike services
DEMAND_SMOOTHING = 0.1  # weight of the newest second in an image's demand
STUCK_PERCENT = 30
STUCK_SECONDS = 1.5
MOVE_MIN_SPEED = 0.6
MOVE_MAX_PROGRESS_PERCENT = 90.0  # later, a move costs more than it gains
RESTART_MAX_PROGRESS_PERCENT = 30.0  # the same without a checkpoint
TRIALS_PER_PAIR = 2  # workers that may try a pair at once, of which nothing is known
TRIAL_SECONDS = 2.5  # until the reports show what the trial did
MOVES_PER_ROUND = 4


class Colocation:
    """Learns from workers' reports and decides the speed of backfill."""

    def __init__(self) -> None:
        self.model = InterferenceModel()
        self._pace_by_worker: dict[str, WorkerPace] = {}
        self._demand_by_image: dict[str, float] = {}
        self._scarcity_by_worker: dict[str, float] = {}
        self._trial_end_by_worker: dict[ImagePair, dict[str, float]] = {}
        self._services_by_worker: dict[str, WorkerServices] = {}

    def on_report(self, link: WorkerLink) -> list[PaceChange]:
        """Take in a worker's report and return the speeds to change."""
        pace = self._pace_of(link.worker)
        services = _services_on(link)
        backfill = _backfill_on(link)
        now = asyncio.get_running_loop().time()
        pace.observe(self.model, services, backfill, now)
        self._services_by_worker.pop(link.worker, None)
        return self.pace_changes(link)

    def pace_changes(self, link: WorkerLink) -> list[PaceChange]:
        """Return the speeds to change on a worker as it is loaded now."""
        pace = self._pace_of(link.worker)
        budgets = pace.budgets(self.model, _services_on(link))
        shares = pace.allowed_shares(self.model, budgets, _backfill_on(link))
        return [
            change
            for image, share in shares.items()
            for change in _split_among_runs(link, image, share)
        ]

    def speed_of(self, link: WorkerLink, spec: StepSpec) -> float:
        """Return the speed that one more backfill task would have on a worker."""
        room = self._room_for(link, spec.image)
        if not self._may_try(link, room):
            return 0.0
        demand = _share(link, max(1, spec.cpu_millicores))
        return max(0.0, min(1.0, (room.share - room.taken) / demand))

    def _room_for(self, link: WorkerLink, image: str) -> BackfillRoom:
        services = self._services_of(link)
        room = services.room_by_image.get(image)
        if room is None or room.revision != link.load.revision:
            room = self._find_room(link, services.budgets, image)
            services.room_by_image[image] = room
        return room

    def _services_of(self, link: WorkerLink) -> WorkerServices:
        known = self._services_by_worker.get(link.worker)
        if known is None or known.service_revision != link.load.service_revision:
            budgets = self._pace_of(link.worker).budgets(self.model, _services_on(link))
            known = WorkerServices(link.load.service_revision, budgets, {})
            self._services_by_worker[link.worker] = known
        return known

    def _find_room(
        self, link: WorkerLink, budgets: Sequence[ServiceBudget], image: str
    ) -> BackfillRoom:
        load = link.load
        pace = self._pace_of(link.worker)
        taken = _share(link, load.backfill_by_image[image])
        share = 0.0
        if not pace.has_breach:
            others = [
                BackfillUse(other, _share(link, millicores), 0.0)
                for other, millicores in load.backfill_by_image.items()
                if millicores > 0 and other != image
            ]
            share = pace.allowed_share(self.model, budgets, others, image)
        unknown = tuple(self._unknown_pairs(link, image))
        return BackfillRoom(load.revision, share, taken, unknown)

    def _may_try(self, link: WorkerLink, room: BackfillRoom) -> bool:
        """Return whether a task may start beside services it was never seen with.

        Few workers try a pair of images at a time, each with one task, so that an image
        that disturbs services does so in few places before this is known.
        """
        if not room.unknown_pairs:
            return True
        if room.taken > 0:
            return False
        now = asyncio.get_running_loop().time()
        return all(
            sum(
                end > now
                for worker, end in self._trial_end_by_worker.get(pair, {}).items()
                if worker != link.worker
            )
            < TRIALS_PER_PAIR
            for pair in room.unknown_pairs
        )

    def note_placement(self, link: WorkerLink, spec: StepSpec) -> None:
        """Note that a backfill task was placed; it may be a trial."""
        end = asyncio.get_running_loop().time() + TRIAL_SECONDS
        for pair in self._unknown_pairs(link, spec.image):
            self._trial_end_by_worker.setdefault(pair, {})[link.worker] = end

    def _unknown_pairs(self, link: WorkerLink, image: str) -> list[ImagePair]:
        return [
            ImagePair(service, image)
            for service, count in link.load.services_by_image.items()
            if count > 0 and not self.model.is_known(service, image)
        ]

    def scarcity_of(self, worker: str) -> float:
        """Return how much a worker is needed by backfill with few places, 0 to 1."""
        return self._scarcity_by_worker.get(worker, 0.0)

    def refresh(
        self, links: Sequence[WorkerLink], waiting_by_image: Mapping[str, int]
    ) -> None:
        """Fit what was learnt, and find the workers that are in short supply.

        An image of backfill that disturbs most services has few places; those should
        not be taken by images that can work anywhere. ``waiting_by_image`` is the
        backfill that waits for a worker, in millicores.
        """
        self.model.fit()
        self._services_by_worker.clear()
        self._update_demand(links, waiting_by_image)
        harmless = {
            image: [link for link in links if self._is_harmless(link, image)]
            for image in self._demand_by_image
        }
        need_by_worker: collections.Counter[str] = collections.Counter()
        for image, places in harmless.items():
            room = sum(max(0.0, unused_millicores(link.load)) for link in places)
            for link in places:
                need_by_worker[link.worker] += self._demand_by_image[image] / (room + 1)
        most = max(need_by_worker.values(), default=0.0)
        self._scarcity_by_worker = {
            worker: need / most for worker, need in need_by_worker.items() if most > 0
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
            known = self._demand_by_image.get(image, 0.0)
            change = DEMAND_SMOOTHING * (demand[image] - known)
            self._demand_by_image[image] = known + change

    def _is_harmless(self, link: WorkerLink, image: str) -> bool:
        return all(
            self.model.slope(service, image) < MIN_SLOPE
            for service, count in link.load.services_by_image.items()
            if count > 0
        )

    def likeness_of(self, link: WorkerLink, spec: StepSpec) -> float:
        """Return how alike the services on a worker are to a step's tasks."""
        counts = link.load.services_by_image
        total = sum(counts.values())
        if not total:
            return EMPTY_LIKENESS
        return (
            sum(
                count * self.model.likeness(spec.image, image)
                for image, count in counts.items()
                if count
            )
            / total
        )

    def choose_moves(self, links: Sequence[WorkerLink], now: float) -> list[Move]:
        """Return runs that cannot work where they are but could elsewhere."""
        moves: list[Move] = []
        for link in links:
            for run in link.run_by_task.values():
                if not self._is_stuck(run, now):
                    continue
                others = [other for other in links if other is not link]
                if any(self._could_work(other, run) for other in others):
                    moves.append(Move(link, run))
                if len(moves) >= MOVES_PER_ROUND:
                    return moves
        return moves

    def _is_stuck(self, run: Run, now: float) -> bool:
        spec = run.spec
        if not spec.backfill or run.stop_requested:
            return False
        if run.requested_percent > STUCK_PERCENT or run.state is not RunState.ACTIVE:
            run.last_unstuck_at = now
            return False
        if run.progress_percent > _most_progress_to_move(spec):
            return False
        return now - max(run.last_unstuck_at, run.confirmed_at) > STUCK_SECONDS

    def _could_work(self, link: WorkerLink, run: Run) -> bool:
        if not link.is_in_contact(asyncio.get_running_loop().time()):
            return False
        if not link.load.fits(run.spec):
            return False
        room = unused_millicores(link.load) / max(1, run.spec.cpu_millicores)
        return min(room, self.speed_of(link, run.spec)) >= MOVE_MIN_SPEED

    def _pace_of(self, worker: str) -> WorkerPace:
        return self._pace_by_worker.setdefault(worker, WorkerPace())


def _most_progress_to_move(spec: StepSpec) -> float:
    if spec.checkpointing:
        return MOVE_MAX_PROGRESS_PERCENT
    return RESTART_MAX_PROGRESS_PERCENT


def _split_among_runs(link: WorkerLink, image: str, share: float) -> list[PaceChange]:
    """Return the changes that let the runs of an image use ``share`` of a worker."""
    runs = [
        run
        for run in link.run_by_task.values()
        if run.spec.backfill and run.spec.image == image
    ]
    runs.sort(key=lambda run: -run.progress_percent)
    demands = [_share(link, run.spec.cpu_millicores) for run in runs]
    return [
        PaceChange(run, percent)
        for run, percent in zip(runs, split_share(share, demands), strict=True)
        if run.state is RunState.ACTIVE and percent != run.requested_percent
    ]


def _share(link: WorkerLink, millicores: float) -> float:
    """Return millicores as a share of the worker."""
    return millicores / max(1, link.load.capacity.cpu_millicores)


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
