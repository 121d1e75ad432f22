"""Learns how much each job inflates the latency of each service on the same VM.

The model is linear and learnt by normalized least mean squares (Haykin, "Adaptive
filter theory"): the inflation of a service on a VM is 1 plus, for each job, the
weight of the pair times the share of the VM's processors that the job uses.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

PRIOR_WEIGHT = 0.1
LEARNING_RATE = 0.2
HALF_LIFE_SECONDS = 1800.0
MIN_SHARE = 0.01
MAX_WEIGHT = 20.0


class PairWeight(NamedTuple):
    """Weight of a service and a job; ``updated_at`` is on the model's clock."""

    weight: float
    updated_at: float


class InterferenceModel:
    """Pairwise weights, which decay to a prior while nothing is observed.

    Parameters
    ----------
    now : callable
        Returns the time in seconds.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._weight_by_pair: dict[tuple[str, str], PairWeight] = {}

    def weight(self, service: str, job: str) -> float:
        """Return the inflation that ``job`` adds to ``service`` by using a whole VM."""
        stored = self._weight_by_pair.get((service, job))
        if stored is None:
            return PRIOR_WEIGHT
        retention = 0.5 ** ((self._now() - stored.updated_at) / HALF_LIFE_SECONDS)
        return PRIOR_WEIGHT + (stored.weight - PRIOR_WEIGHT) * retention

    def predict(self, service: str, share_by_job: Mapping[str, float]) -> float:
        """Return the predicted inflation of ``service`` by the jobs, minus 1."""
        return sum(
            self.weight(service, job) * share for job, share in share_by_job.items()
        )

    def observe(
        self, service: str, share_by_job: Mapping[str, float], inflation: float
    ) -> None:
        """Update the weights from an inflation measured while the jobs ran.

        Parameters
        ----------
        service : str
            Service that was measured.
        share_by_job : mapping of str to float
            Share of the VM's processors that each job used.
        inflation : float
            Latency as a multiple of the latency without neighbours.
        """
        power = sum(share**2 for share in share_by_job.values())
        if power < MIN_SHARE**2:
            return
        error = inflation - 1.0 - self.predict(service, share_by_job)
        now = self._now()
        for job, share in share_by_job.items():
            if share < MIN_SHARE:
                continue
            weight = self.weight(service, job) + LEARNING_RATE * error * share / power
            weight = min(max(weight, 0.0), MAX_WEIGHT)
            self._weight_by_pair[service, job] = PairWeight(weight, now)
