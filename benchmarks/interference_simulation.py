"""Simulate VMs whose services and jobs interfere, in steps of one second."""

import collections
import math
import random
from typing import NamedTuple

from savorydale.scheduling.shards import MUST_START_AFTER_SECONDS
from savorydale.scheduling.tasks import Task
from savorydale.storage.interface import VmStatus
from savorydale.workers.interface import Demand

REPORT_LAG_SECONDS = 5
NOISE_STDDEV = 0.05
OVERLOAD_WEIGHT = 3.0
LOAD_CYCLE_SECONDS = 600
KIND_COUNT = 12
SERVICES = ("desk", "feed", "lines")


class Site(NamedTuple):
    """One deployment; ``tail_weight`` is the value of its setting."""

    name: str
    workers: int
    processors: float
    memory_gb: float
    tail_weight: float


SITES = (
    Site("chattahoochee", 24, 32.0, 125.0, 0.5),
    Site("hanafy", 33, 16.0, 62.5, 0.8),
)


class JobKind(NamedTuple):
    """A kind of job with its declared and its true resource usage and run time.

    ``weight_by_service`` is the latency inflation that it causes to each service when
    it uses all processors of a VM.
    """

    name: str
    processors: float
    usage_ratio: float
    seconds: float
    declared_seconds: float
    weight_by_service: dict[str, float]


def make_kinds(site: Site, rng: random.Random) -> list[JobKind]:
    """Return kinds whose declared sizes and times are wrong by a factor of up to 4.

    Each kind interferes strongly with one of the services and little with the others.
    """
    kinds = []
    for number in range(KIND_COUNT):
        seconds = rng.uniform(60, 300)
        affected_service = rng.choice(SERVICES)
        kinds.append(
            JobKind(
                f"k{number}",
                site.processors * rng.choice((1, 2, 3)) / 16,
                4 ** rng.uniform(-1, 1),
                seconds,
                seconds * 4 ** rng.uniform(-1, 1),
                {
                    service: rng.uniform(0.5, 3.0)
                    if service == affected_service
                    else rng.uniform(0.0, 0.1)
                    for service in SERVICES
                },
            )
        )
    return kinds


class Run:
    """One run of a job on a VM."""

    def __init__(self, kind: JobKind, number: int):
        self.kind = kind
        self.task = Task(
            f"{kind.name}@{number}",
            "job",
            kind.name,
            0,
            Demand(kind.processors, 1.0, 0),
            kind.declared_seconds,
        )
        self.progress = 0.0
        self.speed = 1.0
        self.blocked_until = 0.0
        self.wait_started_at: float | None = None

    def record_wait(self, now: float) -> None:
        """Record that the run waits; after as long as in a shard, it must start."""
        if self.wait_started_at is None:
            self.wait_started_at = now
        must_start = now - self.wait_started_at >= MUST_START_AFTER_SECONDS
        self.task = self.task._replace(must_start=must_start)

    @property
    def demanded(self) -> float:
        """Return the processors that the run demands at its speed."""
        return self.kind.processors * self.kind.usage_ratio * self.speed


class Report(NamedTuple):
    """The true state of a VM in one second."""

    inflation: float
    service_used: float
    used_by_task: dict[str, float]


class Vm:
    """A VM with replicas of one service and colocated runs."""

    def __init__(self, site: Site, number: int, replicas: int, rng: random.Random):
        self.site = site
        self.rng = rng
        self.status = VmStatus(
            f"w{number}",
            f"w{number}",
            "a",
            "r",
            "live",
            site.processors,
            site.memory_gb,
            0,
            8,
            64,
        )
        self.replicas = replicas
        self.service = SERVICES[number % len(SERVICES)]
        size = Demand(site.processors / 4, 2.0, 0)
        self.service_tasks = [
            Task(
                f"desk.{number}.{n}",
                "service",
                "desk",
                0,
                size,
                0.0,
                worker=f"w{number}",
            )
            for n in range(replicas)
        ]
        self.run_by_task: dict[str, Run] = {}
        self.reports: collections.deque[Report] = collections.deque(
            maxlen=REPORT_LAG_SECONDS + 1
        )
        self.load_phase_seconds = rng.uniform(0, LOAD_CYCLE_SECONDS)

    def step(self, now: float) -> tuple[float, float]:
        """Advance by one second; return the latency inflation and the work of runs."""
        processors = self.site.processors
        load_level = 0.5 + 0.5 * math.sin(
            2 * math.pi * (now + self.load_phase_seconds) / LOAD_CYCLE_SECONDS
        )
        service_demand = self.replicas * processors / 4 * (0.3 + 0.6 * load_level)
        total_demanded = service_demand + sum(
            run.demanded for run in self.run_by_task.values()
        )
        cpu_ratio = min(1.0, processors / total_demanded) if total_demanded else 1.0
        inflation = 1.0 + OVERLOAD_WEIGHT * max(0.0, total_demanded / processors - 1.0)
        completed_work = 0.0
        used_by_task = {}
        for run in self.run_by_task.values():
            used = run.demanded * cpu_ratio
            used_by_task[run.task.id] = used
            weight = run.kind.weight_by_service[self.service]
            inflation += weight * used / processors * (0.6 + 0.4 * load_level)
            if now >= run.blocked_until:
                run.progress += run.speed * cpu_ratio / run.kind.seconds
                completed_work += used
        self.reports.append(Report(inflation, service_demand * cpu_ratio, used_by_task))
        return inflation, completed_work

    def report(self) -> Report:
        """Return the report of ``REPORT_LAG_SECONDS`` ago with a noisy inflation."""
        report = self.reports[0]
        noise = self.rng.gauss(1.0, NOISE_STDDEV)
        return report._replace(inflation=report.inflation * noise)
