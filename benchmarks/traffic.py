"""Generate the requests that the routing benchmarks send, the same for each policy."""

import math
import random
from typing import NamedTuple

MEAN_SECONDS = 0.02
HEAVY_SIGMA = 1.5
ONE_WAY_SECONDS = 0.0005


class Deployment(NamedTuple):
    """Size of one user's deployment."""

    name: str
    workers: int
    slots: int
    entries: int
    zones: int


CHATTAHOOCHEE = Deployment("chattahoochee", 24, 8, 7, 3)
HANAFY = Deployment("hanafy", 33, 8, 7, 3)


class Request(NamedTuple):
    """Arrival time, entry picked by the load balancer, and service time in seconds."""

    arrives_at: float
    entry: int
    seconds: float


class Scenario(NamedTuple):
    """Load as a fraction of capacity, tail of the service times, and slow workers."""

    load: float
    tail: str
    slow_workers: int = 0
    slowness: float = 10.0

    def slowness_of(self, worker: int) -> float:
        """Return the factor by which ``worker`` lengthens each service time."""
        return self.slowness if worker < self.slow_workers else 1.0


def make_requests(
    deployment: Deployment, scenario: Scenario, count: int, seed: int
) -> list[Request]:
    """Return requests with Poisson arrivals and the scenario's service times."""
    rng = random.Random(seed)
    requests_per_second = (
        scenario.load * deployment.workers * deployment.slots / MEAN_SECONDS
    )
    now = 0.0
    requests = []
    for _ in range(count):
        now += rng.expovariate(requests_per_second)
        seconds = _draw_service_seconds(rng, scenario.tail)
        requests.append(Request(now, rng.randrange(deployment.entries), seconds))
    return requests


def _draw_service_seconds(rng: random.Random, tail: str) -> float:
    if tail == "light":
        return rng.expovariate(1 / MEAN_SECONDS)
    mu = math.log(MEAN_SECONDS) - HEAVY_SIGMA**2 / 2
    return rng.lognormvariate(mu, HEAVY_SIGMA)
