"""Load balancing: the choice of the worker for a call."""

import random
from collections.abc import Sequence

from savorydale.routing.health import HealthByWorker
from savorydale.routing.slots import SlotPool
from savorydale.workers.directory import Worker


class Balancer:
    """Chooses the worker for a call among those with a free slot of this entry.

    Ejected workers are skipped; a worker on trial or a slow one gets one request at a
    time. Workers that are not slow come first, then those with the smallest share of
    their slots in use, then those in the availability zone of this entry.

    Parameters
    ----------
    zone : str
        Availability zone of this entry.
    pool : SlotPool
        Slots of this entry.
    health : HealthByWorker
        Latencies and failures that this entry has observed.
    rng : random.Random
        Breaks ties.
    """

    def __init__(
        self,
        zone: str,
        pool: SlotPool,
        health: HealthByWorker,
        rng: random.Random,
    ):
        self._zone = zone
        self._pool = pool
        self._health = health
        self._rng = rng

    def choose(
        self,
        workers: Sequence[Worker],
        tried: frozenset[str],
        now: float,
        max_latency_seconds: float,
    ) -> Worker | None:
        """Return the worker for the next call, or None if none is eligible now.

        Parameters
        ----------
        workers : sequence of Worker
            Workers that run the service and are not draining.
        tried : frozenset of str
            Workers that earlier attempts of the call were sent to.
        now : float
            Loop time in seconds.
        max_latency_seconds : float
            Time in seconds that is left until the deadline of the call.
        """
        names = [worker.name for worker in workers]
        slow_threshold_seconds = min(
            self._health.slow_threshold_seconds(names), max_latency_seconds
        )
        best: Worker | None = None
        best_rank: tuple[float, ...] = ()
        for worker in workers:
            slots = self._pool.slots_by_worker.get(worker.name)
            if slots is None or slots.free <= 0 or worker.name in tried:
                continue
            health = self._health.of(worker.name)
            if health.is_ejected(now) or (health.is_on_trial and slots.in_flight):
                continue
            latency = health.latency_seconds or 0.0
            if latency > slow_threshold_seconds and slots.in_flight:
                continue
            rank = (
                latency > slow_threshold_seconds,
                slots.in_use / slots.allowance,
                worker.zone != self._zone,
                self._rng.random(),
            )
            if best is None or rank < best_rank:
                best, best_rank = worker, rank
        return best
