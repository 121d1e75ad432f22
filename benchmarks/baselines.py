"""Latencies of simple policies, whose requests queue at the worker they pick."""

import heapq
import random

from benchmarks.traffic import ONE_WAY_SECONDS, Deployment, Request, Scenario

REPORT_INTERVAL_SECONDS = 0.1


class QueueingWorker:
    """A worker with a FIFO queue for requests that find no free slot."""

    def __init__(self, slots: int, slowness: float, extra_hold_seconds: float = 0.0):
        self._free_at = [0.0] * slots
        self._slowness = slowness
        self._extra_hold_seconds = extra_hold_seconds
        self._end_times: list[float] = []

    def serve(self, arrived_at: float, seconds: float) -> float:
        """Serve a request that arrives at ``arrived_at``; return when it completes."""
        started_at = max(arrived_at, self._free_at[0])
        ended_at = started_at + seconds * self._slowness
        heapq.heapreplace(self._free_at, ended_at + self._extra_hold_seconds)
        heapq.heappush(self._end_times, ended_at)
        return ended_at

    def predict_end(self, arrived_at: float, seconds: float) -> float:
        """Return when a request would complete, without serving it."""
        return max(arrived_at, self._free_at[0]) + seconds * self._slowness

    def load(self, now: float) -> int:
        """Return the number of running and queued requests."""
        while self._end_times and self._end_times[0] <= now:
            heapq.heappop(self._end_times)
        return len(self._end_times)


def run_ideal(
    deployment: Deployment,
    scenario: Scenario,
    requests: list[Request],
    extra_hold_seconds: float = 0.0,
) -> list[float]:
    """Return the latencies of one queue for all slots that knows every service time.

    With ``extra_hold_seconds``, each request occupies its slot for that much longer,
    as it must if no request may wait at a worker for a slot.
    """
    slow_slots = scenario.slow_workers * deployment.slots
    all_slots = deployment.workers * deployment.slots
    pools = [QueueingWorker(all_slots - slow_slots, 1.0, extra_hold_seconds)]
    if slow_slots:
        pools.append(QueueingWorker(slow_slots, scenario.slowness, extra_hold_seconds))
    latencies = []
    for request in requests:
        arrived_at = request.arrives_at + ONE_WAY_SECONDS
        pool = min(
            pools, key=lambda pool: pool.predict_end(arrived_at, request.seconds)
        )
        ended_at = pool.serve(arrived_at, request.seconds)
        latencies.append(ended_at + ONE_WAY_SECONDS - request.arrives_at)
    return latencies


def run_baseline(
    policy: str,
    deployment: Deployment,
    scenario: Scenario,
    requests: list[Request],
    seed: int,
) -> list[float]:
    """Return the latencies under ``random``, ``round_robin`` or ``least_reported``.

    ``least_reported`` picks a worker with the lowest last reported load, as in
    P. Wilk, P. Nawrocki, "Network management services based on the OpenFlow
    environment", 2014, section 3.
    """
    rng = random.Random(seed)
    workers = [
        QueueingWorker(deployment.slots, scenario.slowness_of(number))
        for number in range(deployment.workers)
    ]
    last_worker_by_entry = [
        rng.randrange(len(workers)) for _ in range(deployment.entries)
    ]
    reported_loads = [0] * len(workers)
    next_report_at = 0.0
    latencies = []
    for request in requests:
        arrived_at = request.arrives_at + ONE_WAY_SECONDS
        while next_report_at <= request.arrives_at:
            reported_loads = [worker.load(next_report_at) for worker in workers]
            next_report_at += REPORT_INTERVAL_SECONDS
        match policy:
            case "random":
                choice = rng.randrange(len(workers))
            case "round_robin":
                last_worker_by_entry[request.entry] += 1
                choice = last_worker_by_entry[request.entry] % len(workers)
            case _:
                least = min(reported_loads)
                choice = rng.choice(
                    [
                        number
                        for number, load in enumerate(reported_loads)
                        if load == least
                    ]
                )
        ended_at = workers[choice].serve(arrived_at, request.seconds)
        latencies.append(ended_at + ONE_WAY_SECONDS - request.arrives_at)
    return latencies
