"""VMs, services and jobs that interfere, in steps of one second."""

import collections
import math
import random
from typing import NamedTuple

from savorydale.scheduling.shards import MUST_START_AFTER_SECONDS
from savorydale.scheduling.tasks import Task
from savorydale.storage.interface import VmStatus
from savorydale.workers.interface import Demand

LAG_SECONDS = 5
NOISE = 0.05
OVERLOAD_WEIGHT = 3.0
WAVE_SECONDS = 600
KINDS = 12
SERVICES = ("desk", "feed", "lines")


class Site(NamedTuple):
    """One deployment; ``tail_weight`` is its setting."""

    name: str
    workers: int
    processors: float
    memory_gb: float
    tail_weight: float


SITES = (
    Site("chattahoochee", 24, 32.0, 125.0, 0.5),
    Site("hanafy", 33, 16.0, 62.5, 0.8),
)


class Kind(NamedTuple):
    """A kind of job: what it declares, and what is true of it."""

    name: str
    processors: float
    usage_ratio: float
    seconds: float
    declared_seconds: float
    weight_by_service: dict[str, float]


def make_kinds(site: Site, rng: random.Random) -> list[Kind]:
    """Return kinds whose declared sizes and times are wrong by up to four times.

    Each kind is noisy for one of the services and nearly quiet for the others.
    """
    kinds = []
    for number in range(KINDS):
        seconds = rng.uniform(60, 300)
        noisy = rng.choice(SERVICES)
        kinds.append(
            Kind(
                f"k{number}",
                site.processors * rng.choice((1, 2, 3)) / 16,
                4 ** rng.uniform(-1, 1),
                seconds,
                seconds * 4 ** rng.uniform(-1, 1),
                {
                    service: rng.uniform(0.5, 3.0)
                    if service == noisy
                    else rng.uniform(0.0, 0.1)
                    for service in SERVICES
                },
            )
        )
    return kinds


class Run:
    """One run of a job on a VM."""

    def __init__(self, kind: Kind, number: int):
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
        self.pace = 1.0
        self.blocked_until = 0.0
        self.waiting_since: float | None = None

    def wait(self, now: float) -> None:
        """Wait for a VM, with the patience of a shard."""
        if self.waiting_since is None:
            self.waiting_since = now
        must_start = now - self.waiting_since >= MUST_START_AFTER_SECONDS
        self.task = self.task._replace(must_start=must_start)

    @property
    def used(self) -> float:
        """Return the processors that the run wants at its pace."""
        return self.kind.processors * self.kind.usage_ratio * self.pace


class Report(NamedTuple):
    """What was true of a VM in one second."""

    inflation: float
    service_used: float
    used_by_task: dict[str, float]


class Vm:
    """A VM with replicas of one service and runs beside them."""

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
            maxlen=LAG_SECONDS + 1
        )
        self.phase = rng.uniform(0, WAVE_SECONDS)

    def step(self, now: float) -> tuple[float, float]:
        """Advance a second; return the inflation and the batch work done."""
        cores = self.site.processors
        wave = 0.5 + 0.5 * math.sin(2 * math.pi * (now + self.phase) / WAVE_SECONDS)
        service = self.replicas * cores / 4 * (0.3 + 0.6 * wave)
        wanted = service + sum(run.used for run in self.run_by_task.values())
        rate = min(1.0, cores / wanted) if wanted else 1.0
        inflation = 1.0 + OVERLOAD_WEIGHT * max(0.0, wanted / cores - 1.0)
        done = 0.0
        used_by_task = {}
        for run in self.run_by_task.values():
            used = run.used * rate
            used_by_task[run.task.id] = used
            weight = run.kind.weight_by_service[self.service]
            inflation += weight * used / cores * (0.6 + 0.4 * wave)
            if now >= run.blocked_until:
                run.progress += run.pace * rate / run.kind.seconds
                done += used
        self.reports.append(Report(inflation, service * rate, used_by_task))
        return inflation, done

    def report(self) -> Report:
        """Return a report that lags, with noise on the inflation."""
        report = self.reports[0]
        noise = self.rng.gauss(1.0, NOISE)
        return report._replace(inflation=report.inflation * noise)
