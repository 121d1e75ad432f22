"""Soak test of services: bursts of random faults, with calm between them.

``python -m savorydale.tests.service_soak --seed N --seeds M`` runs seeds N to N+M-1.
A seed always gives the same run. Jobs, faults and invariants are those of the branch
soak; besides, tasks of services must be back within a bound (`service_watch`).
"""

import argparse
import asyncio
import contextlib
import logging
import random
import sys
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from savorydale.exceptions import StoreError
from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.jobs.store import JobAccepted
from savorydale.tests.branch import STORE_ADDRESS, Branch, open_branch
from savorydale.tests.branch_soak import ENTRY_COUNT, WORKER_COUNT, Soak
from savorydale.tests.frozen_entries import make_freezable, slow_down
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.random_jobs import make_plan
from savorydale.tests.service_watch import Disturbances, ServiceWatch
from standins.task_worker import Plan

BURSTS = 3
MAX_FAULTS_PER_BURST = 5
BURST_SECONDS = 8.0
CALM_SECONDS = 14.0  # between bursts, beyond the longest absence that is allowed
SETTLE_SECONDS = 20.0
SERVICE_COUNT = 4
CANCEL_TIMEOUT_SECONDS = 30.0
FAILING_SERVICE_PROBABILITY = 0.25
ATTEMPTS = 1_000_000  # failures of services do not count
LATE_ORDER_SECONDS = 5.0  # the longest delay of a late order
PROCESSOR_COUNTS = ((), (0.25, 0.5, 1.0), (1.0, 0.3, 2.0))


class ServiceSoakResult(NamedTuple):
    """Counts, the longest absence in seconds, and violations of one seed."""

    faults: int
    starts: int
    longest_seconds: float
    violations: list[str]
    log: list[tuple[float, str]]


def make_service_plan(seed: int):
    """Return a function that plans runs; those of services never end or fail late."""
    plan_batch = make_plan(seed)

    def plan(task: str, run: int) -> Plan:
        if not task.startswith("f"):
            return plan_batch(task, run)
        job = task.partition(".")[0]
        is_failing = (
            random.Random(f"{seed}/{job}").random() < FAILING_SERVICE_PROBABILITY
        )
        if not is_failing:
            return Plan(None)
        return Plan(random.Random(f"{seed}/{task}/{run}").uniform(5, 60), "failed")

    return plan


class ServiceSoak(Soak):
    """One seed: services and jobs, with bursts of faults and calm in turn."""

    def __init__(self, branch: Branch, seed: int):
        super().__init__(branch, seed)
        self.disturbances = Disturbances()
        self.watch = ServiceWatch(branch, self.disturbances)
        self.gate_by_entry = make_freezable(branch)
        self.services: list[str] = []
        add_job = branch.checker.add_job

        def add_watched_job(job, steps, attempts):
            self.watch.add_job(job, steps)
            add_job(job, steps, attempts)

        branch.checker.add_job = add_watched_job

    async def run(self) -> ServiceSoakResult:
        """Run the seed and return its result."""
        loop = asyncio.get_running_loop()
        for name in self._all_entries():  # as entries that can be frozen
            await self.branch.kill_entry(name)
            self.branch.start_entry(name)
        await asyncio.sleep(5.0)
        end_at = loop.time() + BURSTS * (BURST_SECONDS + CALM_SECONDS)
        watching = asyncio.create_task(self.watch.run())
        async with asyncio.TaskGroup() as group:
            self._group = group
            submissions = group.create_task(self._submit_until(end_at))
            await self._start_services()
            for _ in range(BURSTS):
                await self._run_burst()
                await asyncio.sleep(CALM_SECONDS)
            await self._cancel_services()
            await submissions
        await asyncio.sleep(SETTLE_SECONDS)
        watching.cancel()
        await self._check_final_state()
        violations = self.watch.violations + self.branch.checker.violations
        violations += [
            f"{task} runs after its job was cancelled"
            for task in self.branch.checker.worker_by_task
            if task.startswith("f")
        ]
        starts = self.branch.checker.starts.total()
        return ServiceSoakResult(
            self.faults,
            starts,
            self.watch.longest_seconds,
            violations,
            self.disturbances.log,
        )

    # Services

    async def _start_services(self) -> None:
        for number in range(SERVICE_COUNT):
            is_spread = number % 2 == 1
            step = StepSpec(
                self.rng.randint(2, 3 if is_spread else 5),
                self.rng.choice((500, 1000, 1500)),
                100,
                long_running=True,
                max_per_worker=1 if is_spread else 0,
            )
            job = f"f{number:015x}"
            self.branch.checker.add_job(job, [step], ATTEMPTS)
            assert isinstance(await self.branch.submit("e0", job, step), JobAccepted)
            self.accepted.add(job)
            self.services.append(job)
            self.watch.watch(job, step)

    async def _cancel_services(self) -> None:
        for job in self.services:
            self.watch.unwatch(job)
            self.cancelled.add(job)
            async with asyncio.timeout(CANCEL_TIMEOUT_SECONDS):
                await self._cancel_service(job)

    async def _cancel_service(self, job: str) -> None:
        while await self.branch.status("e0", job) is not JobStatus.CANCELLED:
            with contextlib.suppress(StoreError):
                await self.branch.entry_by_name["e0"].job_store.cancel(job, 2.0)
            await asyncio.sleep(0.2)

    # Faults

    async def _run_burst(self) -> None:
        """Inject a few faults and wait until all of them have ended."""
        async with asyncio.TaskGroup() as burst:
            for _ in range(self.rng.randint(1, MAX_FAULTS_PER_BURST)):
                await asyncio.sleep(self.rng.uniform(0.0, BURST_SECONDS / 3))
                burst.create_task(self._inject_disturbance())

    async def _inject_disturbance(self) -> None:
        if self.rng.random() < 0.5:
            self.faults += 1
            injector = self.rng.choice(self._own_injectors())
            with self.disturbances.disturbed(injector.__name__):
                await injector()
            return
        with self.disturbances.disturbed("branch fault"):
            await self._inject_fault()

    def _own_injectors(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the faults besides those of the branch soak."""
        return [
            self._freeze_entry,
            self._slow_down_entry,
            self._kill_holder,
            self._partition_holder_from_workers,
            self._partition_workers,
            self._lose_registrations,
            self._replace_worker,
            self._cut_and_unregister_worker,
            self._delay_worker,
            self._lose_all_store_responses,
        ]

    async def _delay_orders(self) -> None:
        await super()._delay_orders()
        await asyncio.sleep(LATE_ORDER_SECONDS)

    def _holder(self) -> str:
        return self.branch.scheduling_entry() or "e0"

    async def _freeze_entry(self) -> None:
        gate = self.gate_by_entry[self._holder()]
        gate.freeze()
        await asyncio.sleep(self._random_seconds())
        gate.thaw()

    async def _slow_down_entry(self) -> None:
        gate = self.gate_by_entry[self._holder()]
        await slow_down(gate, self._random_seconds(), frozen=0.3, awake=0.05)

    async def _kill_holder(self) -> None:
        await self._kill_and_restart([self._holder()])

    async def _partition_holder_from_workers(self) -> None:
        await self._cut_workers([self._holder()], list(self.branch.worker_by_name))

    async def _partition_workers(self) -> None:
        await self._cut_workers(self._all_entries(), [self._random_worker()])

    async def _cut_workers(self, entries: list[str], workers: list[str]) -> None:
        paths = [
            self.branch.faults_between(entry, f"{worker}:80")
            for entry in entries
            for worker in workers
        ]
        for path in paths:
            path.is_partitioned = True
        await asyncio.sleep(self._random_seconds() + self._random_seconds())
        for path in paths:
            path.is_partitioned = False

    async def _lose_registrations(self) -> None:
        """Remove all registrations while the store is out; they return 2 s after it."""
        paths = [
            self.branch.faults_between(entry, STORE_ADDRESS)
            for entry in self._all_entries()
        ]
        for path in paths:
            path.is_partitioned = True
        for worker in self.branch.worker_by_name:
            self.branch.store.delete("servers", worker)
        await asyncio.sleep(self._random_seconds())
        for path in paths:
            path.is_partitioned = False
        await asyncio.sleep(2.0)
        for name, worker in self.branch.worker_by_name.items():
            if worker.is_up:
                self.branch.register(name)

    async def _cut_and_unregister_worker(self) -> None:
        """Cut a worker off, for longer than its lease, and remove its registration."""
        name = self._random_worker()
        paths = [
            self.branch.faults_between(entry, f"{name}:80")
            for entry in self._all_entries()
        ]
        for path in paths:
            path.is_partitioned = True
        self.branch.store.delete("servers", name)
        await asyncio.sleep(self.rng.uniform(4.0, 14.0))
        for path in paths:
            path.is_partitioned = False
        if self.branch.worker_by_name[name].is_up:
            self.branch.register(name)

    async def _replace_worker(self) -> None:
        """Let a worker end for good; a new one registers under another name."""
        name = self.rng.choice(sorted(self.branch.worker_by_name))
        worker = self.branch.worker_by_name.get(name)
        if worker is None or not worker.is_up or name in ("w0", "w1", "w2", "w3"):
            name = f"x{self.rng.getrandbits(32):08x}"
            self.branch.add_worker(name)
            return
        worker.crash(restarts=False)
        await asyncio.sleep(self.rng.choice((0.0, 2.0)))
        self.branch.store.delete("servers", name)

    async def _delay_worker(self) -> None:
        address = f"{self._random_worker()}:80"
        seconds = self.rng.uniform(0.6, 2.0)
        await self._apply_path_faults(
            self._all_entries(), address, reply_delay_seconds=seconds
        )

    async def _lose_all_store_responses(self) -> None:
        await self._apply_path_faults(
            self._all_entries(), STORE_ADDRESS, lost_response_probability=0.5
        )


@on_virtual_time
async def run_seed(
    seed: int, soak_class: type[ServiceSoak] = ServiceSoak
) -> ServiceSoakResult:
    """Run one seed."""
    async with open_branch(
        make_service_plan(seed),
        ENTRY_COUNT,
        WORKER_COUNT,
        seed,
        asserts_no_violations=False,
        attempts=3,
        processor_counts=PROCESSOR_COUNTS[seed % len(PROCESSOR_COUNTS)],
    ) as branch:
        return await soak_class(branch, seed).run()


def main(soak_class: type[ServiceSoak] = ServiceSoak) -> int:
    """Run the seeds and print their violations."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--faults", action="store_true", help="print the faults")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    failed = faults = starts = 0
    longest_seconds = 0.0
    for seed in range(options.seed, options.seed + options.seeds):
        result = run_seed(seed, soak_class)
        faults += result.faults
        starts += result.starts
        longest_seconds = max(longest_seconds, result.longest_seconds)
        failed += bool(result.violations)
        if result.violations:
            print(f"seed {seed}: {len(result.violations)} violations", flush=True)
            for text in result.violations[:5]:
                print(f"  {text}")
        if options.faults:
            for at, text in result.log:
                print(f"  {at:.2f} {text}")
    print(
        f"{options.seeds} seeds, {faults} faults, {starts} starts, {failed} failed, "
        f"longest absence {longest_seconds:.2f} s"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
