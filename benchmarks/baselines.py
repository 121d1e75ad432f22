"""Baselines: requests queue at the worker that a simple policy picks."""

import heapq
import random

from benchmarks.traffic import ONE_WAY_SECONDS, Deployment, Request, Scenario

REPORT_SECONDS = 0.1


class QueueingWorker:
    """A worker whose requests beyond its slots wait in order of arrival."""

    def __init__(self, slots: int, slowness: float, held_seconds: float = 0.0):
        self._free_at = [0.0] * slots
        self._slowness = slowness
        self._held_seconds = held_seconds
        self._ends: list[float] = []

    def serve(self, at: float, seconds: float) -> float:
        """Return when a request that arrives at ``at`` is done."""
        start = max(at, self._free_at[0])
        end = start + seconds * self._slowness
        heapq.heapreplace(self._free_at, end + self._held_seconds)
        heapq.heappush(self._ends, end)
        return end

    def end_if_served(self, at: float, seconds: float) -> float:
        """Return when a request would be done, without serving it."""
        return max(at, self._free_at[0]) + seconds * self._slowness

    def load(self, at: float) -> int:
        """Return how many requests run or wait."""
        while self._ends and self._ends[0] <= at:
            heapq.heappop(self._ends)
        return len(self._ends)


def run_ideal(
    deployment: Deployment,
    scenario: Scenario,
    requests: list[Request],
    held_seconds: float = 0.0,
) -> list[float]:
    """Return latencies of one queue for all slots that knows every service time.

    With ``held_seconds``, each request holds its slot for that much longer, as it
    must where no request may wait at a worker for a slot.
    """
    slow_slots = scenario.slow_workers * deployment.slots
    all_slots = deployment.workers * deployment.slots
    pools = [QueueingWorker(all_slots - slow_slots, 1.0, held_seconds)]
    if slow_slots:
        pools.append(QueueingWorker(slow_slots, scenario.slowness, held_seconds))
    latencies = []
    for request in requests:
        at = request.arrives_at + ONE_WAY_SECONDS
        pool = min(pools, key=lambda pool: pool.end_if_served(at, request.seconds))
        end = pool.serve(at, request.seconds)
        latencies.append(end + ONE_WAY_SECONDS - request.arrives_at)
    return latencies


def run_baseline(
    policy: str,
    deployment: Deployment,
    scenario: Scenario,
    requests: list[Request],
    seed: int,
) -> list[float]:
    """Return latencies under ``random``, ``round_robin`` or ``least_reported``.

    ``least_reported`` sends to the worker that last reported the least load, as in
    P. Wilk, P. Nawrocki, "Network management services based on the OpenFlow
    environment", 2014, section 3.
    """
    rng = random.Random(seed)
    workers = [
        QueueingWorker(deployment.slots, scenario.slowness_of(number))
        for number in range(deployment.workers)
    ]
    turn_by_entry = [rng.randrange(len(workers)) for _ in range(deployment.entries)]
    reported = [0] * len(workers)
    next_report = 0.0
    latencies = []
    for request in requests:
        at = request.arrives_at + ONE_WAY_SECONDS
        while next_report <= request.arrives_at:
            reported = [worker.load(next_report) for worker in workers]
            next_report += REPORT_SECONDS
        match policy:
            case "random":
                choice = rng.randrange(len(workers))
            case "round_robin":
                turn_by_entry[request.entry] += 1
                choice = turn_by_entry[request.entry] % len(workers)
            case _:
                least = min(reported)
                choice = rng.choice(
                    [number for number, load in enumerate(reported) if load == least]
                )
        end = workers[choice].serve(at, request.seconds)
        latencies.append(end + ONE_WAY_SECONDS - request.arrives_at)
    return latencies
