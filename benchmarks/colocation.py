"""Measure batch throughput, service latency and evictions on shared VMs.

Placement, interference model and colocation are the real code. The VMs, their delayed
reports and the true interference are simulated in steps of one second.
"""

import collections
import concurrent.futures
import math
import random
from typing import NamedTuple

from benchmarks.common import make_parser, print_table, save
from benchmarks.interference_simulation import (
    REPORT_LAG_SECONDS,
    SITES,
    Report,
    Run,
    Site,
    Vm,
    make_kinds,
)
from savorydale.scheduling.colocation import (
    ColocationReview,
    Evict,
    JobView,
    ServiceView,
    Throttle,
    WorkerView,
    allowed_inflation,
    compute_shares,
    predict_breach_ratio,
)
from savorydale.scheduling.interference import InterferenceModel
from savorydale.scheduling.placement import (
    EMPTY_LOAD,
    PlacementPrediction,
    WorkerLoad,
    choose_worker_or_slow_start,
    compute_loads,
    fits,
    free_capacity,
    with_task,
)
from savorydale.scheduling.rack_colocation import initial_speed
from savorydale.scheduling.tasks import Task
from savorydale.scheduling.usage import UsageEstimates
from savorydale.storage.interface import VmStatus

REVIEW_SECONDS = 4
WARM_UP_SECONDS = 900
SAMPLES_PER_SECOND = 4
UNINFLATED_P99 = math.log(100)  # of exponential service times with mean 1
RESTART_SECONDS = 5.0
MIN_QUEUED_RUNS = 60
POLICIES = (
    "first_fit",
    "least_loaded",
    "spread",
    "first_fit, evicting",
    "least_loaded, evicting",
    "spread, evicting",
    "no_colocation",
    "savorydale",
)


class Totals(NamedTuple):
    """The results of one policy after the warm-up."""

    inflation_p99: float
    core_hours: float
    evictions: int
    throttles: int


class Simulation:
    """Simulation of one policy at one site."""

    def __init__(self, site: Site, policy: str, seed: int):
        self.site = site
        self.policy = policy.partition(",")[0]
        self.evicting = policy.endswith("evicting")
        self.rng = random.Random(seed)
        self.kinds = make_kinds(site, self.rng)
        self.now = 0.0
        self.run_count = 0
        self.vms = [
            Vm(site, number, self._replica_count(number), self.rng)
            for number in range(site.workers)
        ]
        self.waiting_runs: collections.deque[Run] = collections.deque()
        self.model = InterferenceModel(lambda: self.now)
        self.usage = UsageEstimates()
        self.review_by_vm = {
            vm.status.vm: ColocationReview(self.model) for vm in self.vms
        }
        self.breaches = collections.Counter()
        self.evictions = 0
        self.throttles = 0

    def _replica_count(self, number: int) -> int:
        if self.policy != "no_colocation":
            return 1
        return 4 if number < self.site.workers / 4 else 0

    def run(self, seconds: int) -> Totals:
        """Run for ``seconds`` and return the totals after the warm-up."""
        samples = []
        core_seconds = 0.0
        for second in range(seconds):
            self.now = float(second)
            self._fill_queue()
            self._place()
            for vm in self.vms:
                inflation, completed_work = vm.step(self.now)
                self._remove_finished(vm)
                if second < WARM_UP_SECONDS:
                    continue
                core_seconds += completed_work
                if vm.replicas:
                    samples += [
                        inflation * self.rng.expovariate(1.0)
                        for _ in range(SAMPLES_PER_SECOND)
                    ]
            if second == WARM_UP_SECONDS:
                self.evictions = self.throttles = 0
            if second % REVIEW_SECONDS == 0 and second > REPORT_LAG_SECONDS:
                for vm in self.vms:
                    self._review(vm)
        samples.sort()
        p99 = samples[int(0.99 * len(samples))] / UNINFLATED_P99
        return Totals(p99, core_seconds / 3600, self.evictions, self.throttles)

    def _fill_queue(self) -> None:
        while len(self.waiting_runs) < MIN_QUEUED_RUNS:
            self.run_count += 1
            self.waiting_runs.append(Run(self.rng.choice(self.kinds), self.run_count))

    def _place(self) -> None:
        tasks = [
            run.task._replace(worker=vm.status.vm)
            for vm in self.vms
            for run in vm.run_by_task.values()
        ]
        tasks += [task for vm in self.vms for task in vm.service_tasks]
        loads = compute_loads(tasks)
        vm_by_name = {vm.status.vm: vm for vm in self.vms}
        view_by_vm = {vm.status.vm: self._view_worker(vm) for vm in self.vms}
        unplaced_kinds: set[str] = set()
        for _ in range(len(self.waiting_runs)):
            run = self.waiting_runs.popleft()
            run.record_wait(self.now)
            name = None
            if run.kind.name not in unplaced_kinds or run.task.must_start:
                name = self._choose(run, loads, vm_by_name, view_by_vm)
            if name is None:
                unplaced_kinds.add(run.kind.name)
                self.waiting_runs.append(run)
                continue
            run.wait_started_at = None
            vm_by_name[name].run_by_task[run.task.id] = run
            view_by_vm[name] = self._view_worker(vm_by_name[name])
            load = loads.get(name, EMPTY_LOAD)
            loads[name] = with_task(load, run.task)

    def _choose(
        self,
        run: Run,
        loads: dict[str, WorkerLoad],
        vm_by_name: dict[str, Vm],
        view_by_vm: dict[str, WorkerView],
    ) -> str | None:
        """Return a VM and set the run's speed, which is low after a long wait."""

        def predict(task: Task, status: VmStatus) -> PlacementPrediction:
            vm = vm_by_name[status.vm]
            return self._predict(task, vm, view_by_vm[status.vm])

        if self.policy == "savorydale":
            statuses = [vm.status for vm in self.vms]
            task, chosen = choose_worker_or_slow_start(
                run.task, statuses, loads, predict
            )
            run.speed = initial_speed(task)
            return None if chosen is None else chosen.vm
        fitting = [
            vm.status
            for vm in self.vms
            if fits(
                run.task.demand,
                free_capacity(vm.status, loads.get(vm.status.vm, EMPTY_LOAD)),
            )
            and (self.policy != "no_colocation" or not vm.replicas)
        ]
        if not fitting:
            return None
        match self.policy:
            case "first_fit":
                return fitting[0].vm
            case "spread":
                key = lambda vm: loads.get(vm.vm, EMPTY_LOAD).tasks  # noqa: E731
            case _:
                key = lambda vm: loads.get(vm.vm, EMPTY_LOAD).committed.processors  # noqa: E731
        return min(fitting, key=key).vm

    def _view_worker(self, vm: Vm) -> WorkerView:
        report = vm.report() if vm.reports else Report(1.0, 0.0, {})
        jobs = []
        for run in vm.run_by_task.values():
            used = report.used_by_task.get(run.task.id)
            if used is None:
                used = run.speed * self.usage.estimate(
                    run.kind.name, run.kind.processors
                )
            share = used / self.site.processors
            evictions = run.task.latency_evictions
            jobs.append(
                JobView(run.task.id, run.kind.name, share, run.speed, False, evictions)
            )
        services = (ServiceView(vm.service, self.site.tail_weight, report.inflation),)
        return WorkerView(services if vm.replicas else (), tuple(jobs))

    def _predict(self, task: Task, vm: Vm, view: WorkerView) -> PlacementPrediction:
        used = self.usage.estimate(task.name, task.demand.processors)
        share = used / self.site.processors
        speed = initial_speed(task)
        used *= speed
        job = JobView(task.id, task.name, share * speed, speed, False)
        shares = compute_shares([*view.jobs, job])
        total = sum(item.share for item in view.jobs) * self.site.processors
        if vm.reports:
            total += vm.reports[0].service_used
        breach = predict_breach_ratio(view.services, shares, self.model)
        return PlacementPrediction(breach, total + used)

    def _review(self, vm: Vm) -> None:
        view = self._view_worker(vm)
        if self.policy != "savorydale":
            if self.evicting:
                self._evict_on_breach(vm, view)
            return
        for task_id, used in vm.reports[0].used_by_task.items():
            run = vm.run_by_task.get(task_id)
            if run is not None and run.speed == 1.0:
                self.usage.record(run.kind.name, used, run.kind.processors)
        match self.review_by_vm[vm.status.vm].review(view, self.now):
            case Throttle(task, speed):
                vm.run_by_task[task].speed = speed
                self.throttles += 1
            case Evict(task):
                self._evict(vm, task)

    def _evict_on_breach(self, vm: Vm, view: WorkerView) -> None:
        """Evict the largest run after two consecutive breaches."""
        name = vm.status.vm
        breached = [
            service
            for service in view.services
            if service.inflation > 1 + allowed_inflation(service.tail_weight)
        ]
        if not breached or not view.jobs:
            self.breaches[name] = 0
            return
        self.breaches[name] += 1
        if self.breaches[name] >= 2:
            self._evict(vm, max(view.jobs, key=lambda job: job.share).task)

    def _evict(self, vm: Vm, task: str) -> None:
        run = vm.run_by_task.pop(task)
        run.speed = 1.0
        run.blocked_until = self.now + RESTART_SECONDS
        evictions = run.task.latency_evictions + 1
        run.task = run.task.with_avoided_worker(vm.status.vm)._replace(
            latency_evictions=evictions
        )
        self.waiting_runs.append(run)
        self.evictions += 1

    def _remove_finished(self, vm: Vm) -> None:
        for task, run in list(vm.run_by_task.items()):
            if run.progress >= 1.0:
                del vm.run_by_task[task]


def measure(site: Site, policy: str, seeds: list[int], seconds: int) -> dict:
    """Return the row of one policy at one site."""
    totals = [Simulation(site, policy, seed).run(seconds) for seed in seeds]
    inflations = sorted(item.inflation_p99 for item in totals)
    return {
        "site": site.name,
        "policy": policy,
        "inflation_p99": round(inflations[len(inflations) // 2], 3),
        "inflation_p99_worst": round(inflations[-1], 3),
        "core_hours": round(sum(item.core_hours for item in totals), 1),
        "evictions": sum(item.evictions for item in totals),
        "throttles": sum(item.throttles for item in totals),
    }


def main() -> None:
    """Measure the policies at both sites, with one process per core."""
    parser = make_parser(__doc__)
    parser.add_argument("--seconds", type=int, default=1800)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--policy", choices=POLICIES)
    options = parser.parse_args()
    seeds = list(range(options.seed, options.seed + options.seeds))
    policies = (options.policy,) if options.policy else POLICIES
    with concurrent.futures.ProcessPoolExecutor() as executor:
        futures = [
            executor.submit(measure, site, policy, seeds, options.seconds)
            for site in SITES
            for policy in policies
        ]
        rows = [future.result() for future in futures]
    print_table(list(rows[0]), [list(row.values()) for row in rows])
    if not options.policy:
        save("colocation", {"seconds": options.seconds, "seeds": seeds, "rows": rows})


if __name__ == "__main__":
    main()
