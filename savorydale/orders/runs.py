"""The scheduling entry's state of the runs that exist, or may exist, on one worker."""

import collections
import dataclasses
from enum import Enum

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.interface import Resources

FULL_SPEED_PERCENT = 100
UNKNOWN_PERCENT = -1  # the speed on the worker is unknown, so it must be set again


class RunState(Enum):
    """Known state of a run on its worker."""

    RESERVED = "reserved"  # its start order was not sent yet
    ASSIGNED = "assigned"  # no response to the start order so far
    UNKNOWN = "unknown"  # the start order may have been executed, or may be later
    ACTIVE = "active"  # the worker has confirmed the run


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a task on one worker.

    If the worker lists its runs under the fencing token ``resolving_token`` or a newer
    one, and an unknown run is missing from that list, then the run does not exist and
    never will. ``usage`` is that of the last report; see `ActiveRun`. All times
    ``..._at`` are on the loop's clock. ``last_unstuck_at`` is when a backfill run was
    last found to be allowed more than a minimal speed, or not to be active.
    ``start_sent_at`` is ``None`` if the worker certainly never had the run. A run has
    passed its probation once its worker did not crash soon after the start.
    ``was_suspected`` tells whether it was one of the suspects of a crash, and
    ``is_isolated`` whether its task was when it was assigned.
    """

    task: TaskId
    number: int
    spec: StepSpec
    assigned_at: float
    state: RunState = RunState.RESERVED
    resolving_token: int = 0
    confirmed_at: float = 0.0
    stop_requested: bool = False
    stop_sent_at: float = 0.0
    progress_percent: float = 0.0
    first_progress_percent: float | None = None
    progressed_at: float = 0.0
    throttled_at: float = 0.0
    requested_percent: int = FULL_SPEED_PERCENT
    usage: float = 0.0
    last_unstuck_at: float = 0.0
    start_sent_at: float | None = None
    passed_probation: bool = False
    was_suspected: bool = False
    is_isolated: bool = False

    @property
    def reserved(self) -> Resources:
        """Return what the run reserves of its worker's capacity."""
        cpu_millicores = 0 if self.spec.backfill else self.spec.cpu_millicores
        return Resources(cpu_millicores, self.spec.memory_mb, self.spec.accelerators)

    def record_progress(self, percent: float, now: float) -> None:
        """Record how much of the work is done."""
        if self.first_progress_percent is None:
            self.first_progress_percent = percent
        if percent != self.progress_percent:
            self.progressed_at = now
        self.progress_percent = percent


class WorkerLoad:
    """Capacity of one worker that its runs use.

    Runs that are being stopped or whose state is unknown count in full. Backfill
    reserves memory and accelerators, but no CPU; ``backfill_millicores`` counts it at
    the speed that was set for it. ``services_by_image`` counts the services that have
    a latency target, which backfill may slow down. ``backfill_by_image`` is what
    backfill of each image would use at full speed, in millicores. ``revision`` changes
    whenever a run is added or removed or the capacity changes, ``service_revision``
    whenever a service is added or removed.
    """

    def __init__(self, capacity: Resources):
        self._capacity = capacity
        self.cpu_millicores = 0
        self.service_millicores = 0
        self.backfill_millicores = 0.0
        self.memory_mb = 0
        self.accelerators = 0
        self.services_by_image: collections.Counter[str] = collections.Counter()
        self.backfill_by_image: collections.Counter[str] = collections.Counter()
        self.revision = 0
        self.service_revision = 0

    @property
    def capacity(self) -> Resources:
        """Return the worker's total capacity."""
        return self._capacity

    @capacity.setter
    def capacity(self, capacity: Resources) -> None:
        """Set the worker's total capacity."""
        self._capacity = capacity
        self.revision += 1

    def add(self, run: Run, sign: int = 1) -> None:
        """Add the resources of a run; ``sign`` -1 subtracts them."""
        spec = run.spec
        self.revision += 1
        if spec.backfill:
            speed_ratio = max(0, run.requested_percent) / FULL_SPEED_PERCENT
            self.backfill_millicores += sign * spec.cpu_millicores * speed_ratio
            self.backfill_by_image[spec.image] += sign * spec.cpu_millicores
        else:
            self.cpu_millicores += sign * spec.cpu_millicores
        if spec.long_running:
            self.service_revision += 1
            self.service_millicores += sign * spec.cpu_millicores
            if spec.latency_target_ms:
                self.services_by_image[spec.image] += sign
        self.memory_mb += sign * spec.memory_mb
        self.accelerators += sign * spec.accelerators

    @property
    def batch_millicores(self) -> int:
        """Return the CPU that batch tasks reserve."""
        return self.cpu_millicores - self.service_millicores

    @property
    def excess(self) -> Resources:
        """Return by how much the runs exceed the capacity, which may have shrunk."""
        return Resources(
            max(0, self.cpu_millicores - self.capacity.cpu_millicores),
            max(0, self.memory_mb - self.capacity.memory_mb),
            max(0, self.accelerators - self.capacity.accelerators),
        )

    def set_speed(self, run: Run, percent: int) -> None:
        """Set the speed of a backfill run and update the CPU that backfill uses."""
        percent_change = max(0, percent) - max(0, run.requested_percent)
        cpu_millicores = run.spec.cpu_millicores * percent_change / FULL_SPEED_PERCENT
        self.backfill_millicores += cpu_millicores
        run.requested_percent = percent

    def count_fitting(self, spec: StepSpec) -> int:
        """Return how many more tasks of a step that reserves CPU fit."""
        by_cpu = (self.capacity.cpu_millicores - self.cpu_millicores) // max(
            1, spec.cpu_millicores
        )
        by_memory = (self.capacity.memory_mb - self.memory_mb) // max(1, spec.memory_mb)
        return max(0, min(by_cpu, by_memory))

    def fits(self, spec: StepSpec) -> bool:
        """Return whether one more task of a step fits."""
        capacity = self.capacity
        if self.memory_mb + spec.memory_mb > capacity.memory_mb:
            return False
        if self.accelerators + spec.accelerators > capacity.accelerators:
            return False
        if not spec.backfill:
            return self.cpu_millicores + spec.cpu_millicores <= capacity.cpu_millicores
        # Backfill reserves no CPU, but a worker that shrank may have none to spare.
        return max(self.cpu_millicores, spec.cpu_millicores) <= capacity.cpu_millicores
