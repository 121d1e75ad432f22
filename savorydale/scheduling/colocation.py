"""Throttles or evicts runs that inflate the latency of services on the same VM."""

from collections.abc import Iterable
from typing import NamedTuple

from savorydale.scheduling.interference import InterferenceModel

INFLATION_LIMIT_AT_FULL_WEIGHT = 0.1
MIN_TAIL_WEIGHT = 0.05
MIN_SPEED = 0.25
SPEED_FACTOR = 0.5
SPEED_UP_RATIO = 0.5
BREACHES_TO_ACT = 2
SETTLING_SECONDS = 12.0
MAX_EVICTIONS = 2


class ServiceView(NamedTuple):
    """A service on a VM; ``inflation`` is None until it has been measured."""

    name: str
    tail_weight: float
    inflation: float | None


class JobView(NamedTuple):
    """A run on a VM; ``share`` is the share of the VM's processors that it uses.

    ``evictions`` counts its evictions because of the latency of services.
    """

    task: str
    name: str
    share: float
    speed: float
    urgent: bool
    evictions: int = 0


class WorkerView(NamedTuple):
    """The services and runs on one VM."""

    services: tuple[ServiceView, ...]
    jobs: tuple[JobView, ...]


class Throttle(NamedTuple):
    """Limit a run to ``speed``, a share of its full speed."""

    task: str
    speed: float


class Evict(NamedTuple):
    """Checkpoint a run and move it elsewhere."""

    task: str


Action = Throttle | Evict


def allowed_inflation(tail_weight: float) -> float:
    """Return the allowed inflation of a service's latency, minus 1: 0.1 is 10%."""
    return INFLATION_LIMIT_AT_FULL_WEIGHT / max(tail_weight, MIN_TAIL_WEIGHT)


def compute_shares(jobs: Iterable[JobView]) -> dict[str, float]:
    """Return the share of the VM's processors that each job uses."""
    share_by_job: dict[str, float] = {}
    for job in jobs:
        share_by_job[job.name] = share_by_job.get(job.name, 0.0) + job.share
    return share_by_job


def predict_breach_ratio(
    services: Iterable[ServiceView],
    share_by_job: dict[str, float],
    model: InterferenceModel,
) -> float:
    """Return the largest ratio of predicted to allowed inflation of the services."""
    return max(
        (
            model.predict(service.name, share_by_job)
            / allowed_inflation(service.tail_weight)
            for service in services
        ),
        default=0.0,
    )


class ColocationReview:
    """Decides on at most one action for a VM in each review.

    Latency and usage reports lag. Nothing is therefore learnt or decided until the
    runs on the VM and their speeds have been unchanged for ``SETTLING_SECONDS``, and
    a run is restricted only after ``BREACHES_TO_ACT`` consecutive breaches. Runs are
    throttled first and evicted only at the lowest speed. They are sped up again only
    if the latency is well below the limit and is predicted to stay within it. A run
    that has been evicted ``MAX_EVICTIONS`` times continues at the lowest speed, so
    that every run ends.

    Parameters
    ----------
    model : InterferenceModel
        Model that is updated in each review.
    """

    def __init__(self, model: InterferenceModel):
        self._model = model
        self._previous_jobs: frozenset[tuple[str, float]] = frozenset()
        self._changed_at = 0.0
        self._consecutive_breaches = 0

    def review(self, view: WorkerView, now: float) -> Action | None:
        """Update the model with the view at ``now``, and return the action, if any."""
        if not self._is_settled(view, now):
            return None
        share_by_job = compute_shares(view.jobs)
        for service in view.services:
            if service.inflation is not None:
                self._model.observe(service.name, share_by_job, service.inflation)
        worst = max(view.services, key=_breach_ratio, default=None)
        if worst is None or worst.inflation is None:
            return self._speed_up(view)
        if _breach_ratio(worst) <= 1.0:
            self._consecutive_breaches = 0
            return (
                self._speed_up(view) if _breach_ratio(worst) <= SPEED_UP_RATIO else None
            )
        self._consecutive_breaches += 1
        if self._consecutive_breaches < BREACHES_TO_ACT:
            return None
        return self._slow_down(worst, view.jobs)

    def _is_settled(self, view: WorkerView, now: float) -> bool:
        jobs = frozenset((job.task, job.speed) for job in view.jobs)
        if jobs != self._previous_jobs:
            self._previous_jobs = jobs
            self._changed_at = now
            self._consecutive_breaches = 0
        return now - self._changed_at >= SETTLING_SECONDS

    def _slow_down(
        self, service: ServiceView, jobs: tuple[JobView, ...]
    ) -> Action | None:
        candidates = [job for job in jobs if not job.urgent]
        if not candidates:
            return None
        job = max(candidates, key=lambda job: self._estimate_contribution(service, job))
        if job.speed > MIN_SPEED:
            return Throttle(job.task, max(MIN_SPEED, job.speed * SPEED_FACTOR))
        movable = [job for job in candidates if job.evictions < MAX_EVICTIONS]
        if not movable:
            return None
        return Evict(
            max(movable, key=lambda job: self._estimate_contribution(service, job)).task
        )

    def _speed_up(self, view: WorkerView) -> Action | None:
        throttled = [job for job in view.jobs if job.speed < 1.0]
        for job in sorted(throttled, key=lambda job: job.speed):
            speed = min(1.0, job.speed / SPEED_FACTOR)
            sped_up = job._replace(share=job.share * speed / job.speed)
            others = [other for other in view.jobs if other is not job]
            shares = compute_shares([*others, sped_up])
            if predict_breach_ratio(view.services, shares, self._model) <= 1.0:
                return Throttle(job.task, speed)
        return None

    def _estimate_contribution(self, service: ServiceView, job: JobView) -> float:
        return self._model.weight(service.name, job.name) * job.share


def _breach_ratio(service: ServiceView) -> float:
    if service.inflation is None:
        return 0.0
    return (service.inflation - 1.0) / allowed_inflation(service.tail_weight)
