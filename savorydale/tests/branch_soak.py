"""Soak test: random faults on a whole branch, on virtual time.

``python -m savorydale.tests.branch_soak --seed N --seeds M`` runs seeds N to N+M-1.
A seed always gives the same run.
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
from savorydale.jobs.store import JobAccepted, JobNotAccepted
from savorydale.tests.branch import STORE_ADDRESS, Branch, open_branch
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.random_jobs import make_plan, random_steps
from standins.task_worker import INITIAL_CAPACITY

ENTRY_COUNT = 3
WORKER_COUNT = 4
FAULT_SECONDS = 60.0
SETTLE_SECONDS = 60.0
SUBMIT_INTERVAL_SECONDS = 0.6
CANCEL_PROBABILITY = 0.1
SHRINK_INTERVAL_SECONDS = 5.0
DEADLY_PROBABILITY = 0.005  # of each task; a job has several


class SoakResult(NamedTuple):
    """Counts and violations of one seed."""

    faults: int
    jobs: int
    starts: int
    crashes: int
    violations: list[str]


class Soak:
    """One seed: jobs and faults, then a time without either, then checks."""

    def __init__(self, branch: Branch, seed: int):
        self.branch = branch
        self.rng = random.Random(seed)
        self.capacity_rng = random.Random(f"{seed}/capacity")
        self.faults = 0
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.cancelled: set[str] = set()
        self._group: asyncio.TaskGroup | None = None

    async def run(self) -> SoakResult:
        """Run the seed and return its result."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + FAULT_SECONDS
        async with asyncio.TaskGroup() as group:
            self._group = group
            submissions = group.create_task(self._submit_until(end_at))
            group.create_task(self._change_capacities_until(end_at))
            while loop.time() < end_at:
                await asyncio.sleep(self.rng.expovariate(1 / 2.5))
                group.create_task(self._inject_fault())
            await submissions
        await asyncio.sleep(SETTLE_SECONDS)
        await self._check_final_state()
        violations = self.branch.checker.violations
        starts = self.branch.checker.starts.total()
        crashes = self.branch.checker.crashes.total()
        return SoakResult(self.faults, len(self.accepted), starts, crashes, violations)

    # Jobs

    async def _submit_until(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < end_at:
            await asyncio.sleep(self.rng.expovariate(1 / SUBMIT_INTERVAL_SECONDS))
            number += 1
            assert self._group is not None
            self._group.create_task(self._submit(f"{number:016x}"))

    async def _submit(self, job: str) -> None:
        """Submit a job to random entries, up to four times, until one accepts it."""
        steps = random_steps(self.rng)
        self.branch.checker.add_job(job, steps, attempts=3)
        outcomes = []
        for _ in range(4):
            ready = [
                name
                for name, entry in self.branch.entry_by_name.items()
                if entry.read_configuration() is not None
            ]
            if ready:
                entry = self.rng.choice(sorted(ready))
                outcomes.append(await self.branch.submit(entry, job, *steps))
                if isinstance(outcomes[-1], JobAccepted):
                    self.accepted.add(job)
                    await self._maybe_cancel(job)
                    return
            await asyncio.sleep(0.5)
        if all(isinstance(outcome, JobNotAccepted) for outcome in outcomes):
            self.refused.add(job)

    async def _maybe_cancel(self, job: str) -> None:
        if self.rng.random() > CANCEL_PROBABILITY:
            return
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        names = sorted(self.branch.entry_by_name)
        if not names:
            return
        job_store = self.branch.entry_by_name[self.rng.choice(names)].job_store
        # The request may be stored even if its response is lost.
        self.cancelled.add(job)
        with contextlib.suppress(StoreError):
            await job_store.cancel(job, 2.0)

    # Faults

    async def _inject_fault(self) -> None:
        injectors: list[Callable[[], Awaitable[None]]] = [
            self._partition_entry_from_store,
            self._refuse_store_requests,
            self._lose_store_responses,
            self._slow_down_store,
            self._partition_store,
            self._lose_store_history,
            self._partition_worker,
            self._delay_orders,
            self._crash_worker,
            self._drain_worker,
            self._kill_entry,
            self._kill_all_entries,
            self._stop_entry,
        ]
        self.faults += 1
        await self.rng.choice(injectors)()

    def _random_seconds(self) -> float:
        return self.rng.uniform(0.5, 8.0)

    def _random_entry(self) -> str:
        return f"e{self.rng.randrange(ENTRY_COUNT)}"

    def _random_worker(self) -> str:
        return f"w{self.rng.randrange(WORKER_COUNT)}"

    async def _apply_path_faults(self, entries, address: str, **values) -> None:
        paths = [self.branch.faults_between(entry, address) for entry in entries]
        for path in paths:
            for name, value in values.items():
                setattr(path, name, value)
        await asyncio.sleep(self._random_seconds())
        for path in paths:
            for name, value in values.items():
                setattr(path, name, type(value)(0))

    async def _partition_entry_from_store(self) -> None:
        await self._apply_path_faults(
            [self._random_entry()], STORE_ADDRESS, is_partitioned=True
        )

    async def _refuse_store_requests(self) -> None:
        await self._apply_path_faults(
            [self._random_entry()], STORE_ADDRESS, refuses=True
        )

    async def _lose_store_responses(self) -> None:
        await self._apply_path_faults(
            [self._random_entry()], STORE_ADDRESS, lost_response_probability=0.4
        )

    async def _slow_down_store(self) -> None:
        await self._apply_path_faults(
            self._all_entries(), STORE_ADDRESS, delay_seconds=0.2
        )

    async def _partition_store(self) -> None:
        await self._apply_path_faults(
            self._all_entries(), STORE_ADDRESS, is_partitioned=True
        )

    async def _lose_store_history(self) -> None:
        self.branch.store.truncate_history()

    async def _partition_worker(self) -> None:
        address = f"{self._random_worker()}:80"
        await self._apply_path_faults(self._all_entries(), address, is_partitioned=True)

    async def _delay_orders(self) -> None:
        address = f"{self._random_worker()}:80"
        await self._apply_path_faults(
            self._all_entries(), address, late_order_probability=0.2
        )

    async def _crash_worker(self) -> None:
        name = self._random_worker()
        self.branch.worker_by_name[name].crash(restarts=False)
        await asyncio.sleep(self._random_seconds())
        self.branch.worker_by_name[name].is_up = True
        self.branch.register(name)

    async def _drain_worker(self) -> None:
        name = self._random_worker()
        self.branch.register(name, state="draining")
        await asyncio.sleep(self._random_seconds())
        self.branch.register(name)

    async def _change_capacities_until(self, end_at: float) -> None:
        """Shrink workers from time to time, whatever the other faults are."""
        loop = asyncio.get_running_loop()
        rng = self.capacity_rng
        assert self._group is not None
        while True:
            interval = rng.expovariate(1 / SHRINK_INTERVAL_SECONDS)
            if loop.time() + interval >= end_at:
                return
            await asyncio.sleep(interval)
            self.faults += 1
            max_seconds = end_at - loop.time()
            self._group.create_task(self._shrink_worker(max_seconds))

    async def _shrink_worker(self, max_seconds: float) -> None:
        rng = self.capacity_rng
        name = f"w{rng.randrange(WORKER_COUNT)}"
        cpu, memory_mb = rng.choice((500, 2000, 4000)), rng.choice((1000, 4000, 16000))
        self.branch.set_capacity(name, cpu=cpu, memMb=memory_mb)
        await asyncio.sleep(min(max_seconds, rng.uniform(1.0, 15.0)))
        self.branch.set_capacity(name, **INITIAL_CAPACITY)

    async def _kill_entry(self) -> None:
        await self._kill_and_restart([self._random_entry()])

    async def _kill_all_entries(self) -> None:
        await self._kill_and_restart(self._all_entries())

    async def _kill_and_restart(self, names: list[str]) -> None:
        names = [name for name in names if name in self.branch.entry_by_name]
        for name in names:
            await self.branch.kill_entry(name)
        await asyncio.sleep(self._random_seconds() / 4)
        for name in names:
            self.branch.start_entry(name)

    async def _stop_entry(self) -> None:
        name = self._random_entry()
        if name not in self.branch.entry_by_name:
            return
        await self.branch.stop_entry(name)
        await asyncio.sleep(0.3)
        self.branch.start_entry(name)

    def _all_entries(self) -> list[str]:
        return [f"e{number}" for number in range(ENTRY_COUNT)]

    # Checks

    async def _check_final_state(self) -> None:
        violations = self.branch.checker.violations
        started = {task.split(".")[0] for task in self.branch.checker.starts}
        violations += [
            f"{job} was refused but started" for job in self.refused & started
        ]
        for job in sorted(self.accepted):
            status = await self.branch.status("e0", job)
            self.branch.checker.check_final_status(job, status, job in self.cancelled)


@on_virtual_time
async def run_seed(seed: int) -> SoakResult:
    """Run one seed."""
    async with open_branch(
        make_plan(seed, DEADLY_PROBABILITY),
        ENTRY_COUNT,
        WORKER_COUNT,
        seed,
        asserts_no_violations=False,
        attempts=3,
    ) as branch:
        branch.renames_crashed_workers = seed % 2 == 0
        return await Soak(branch, seed).run()


def main() -> int:
    """Run the seeds and print their violations."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    failed = faults = starts = crashes = 0
    for seed in range(options.seed, options.seed + options.seeds):
        result = run_seed(seed)
        faults += result.faults
        starts += result.starts
        crashes += result.crashes
        failed += bool(result.violations)
        if result.violations:
            print(f"seed {seed}: {len(result.violations)} violations")
            for text in result.violations[:5]:
                print(f"  {text}")
    print(
        f"{options.seeds} seeds, {faults} faults, {starts} starts, "
        f"{crashes} crashes by tasks, {failed} failed"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
