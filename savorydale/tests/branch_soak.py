"""Random faults on a whole branch, on virtual time; a seed replays exactly.

``python -m savorydale.tests.branch_soak --seed N --seeds M`` plays seeds N to N+M-1.
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
from savorydale.tests.branch import STORE, Branch, open_branch
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.random_jobs import make_plan, random_steps

ENTRIES = 3
WORKERS = 4
FAULT_SECONDS = 60.0
CALM_SECONDS = 60.0
SUBMIT_SECONDS = 0.6
CANCEL_RATIO = 0.1


class SoakResult(NamedTuple):
    """What one seed gave."""

    faults: int
    jobs: int
    starts: int
    violations: list[str]


class Soak:
    """One seed: traffic and faults for a while, then calm, then checks."""

    def __init__(self, branch: Branch, seed: int):
        self.branch = branch
        self.rng = random.Random(seed)
        self.faults = 0
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.cancelled: set[str] = set()
        self._group: asyncio.TaskGroup | None = None

    async def run(self) -> SoakResult:
        """Play the seed and return what was seen."""
        loop = asyncio.get_running_loop()
        end = loop.time() + FAULT_SECONDS
        async with asyncio.TaskGroup() as group:
            self._group = group
            traffic = group.create_task(self._submit_until(end))
            while loop.time() < end:
                await asyncio.sleep(self.rng.expovariate(1 / 2.5))
                group.create_task(self._inject())
            await traffic
        await asyncio.sleep(CALM_SECONDS)
        await self._check()
        found = self.branch.violations.found
        starts = self.branch.violations.starts.total()
        return SoakResult(self.faults, len(self.accepted), starts, found)

    # Traffic

    async def _submit_until(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(1 / SUBMIT_SECONDS))
            number += 1
            assert self._group is not None
            self._group.create_task(self._submit(f"{number:016x}"))

    async def _submit(self, job: str) -> None:
        """Hand a job in, again elsewhere while the outcome is not known."""
        steps = random_steps(self.rng)
        self.branch.violations.expect(job, steps, attempts=3)
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
        if self.rng.random() > CANCEL_RATIO:
            return
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        names = sorted(self.branch.entry_by_name)
        if not names:
            return
        job_store = self.branch.entry_by_name[self.rng.choice(names)].job_store
        # Without an answer the request may be stored all the same.
        self.cancelled.add(job)
        with contextlib.suppress(StoreError):
            await job_store.cancel(job, 2.0)

    # Faults

    async def _inject(self) -> None:
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._cut_entry_from_store,
            self._store_refuses,
            self._store_loses_answers,
            self._store_is_slow,
            self._store_is_out,
            self._lose_history,
            self._cut_worker,
            self._late_orders,
            self._crash_worker,
            self._drain_worker,
            self._kill_entry,
            self._kill_all_entries,
            self._stop_entry,
        ]
        self.faults += 1
        await self.rng.choice(kinds)()

    def _seconds(self) -> float:
        return self.rng.uniform(0.5, 8.0)

    def _entry(self) -> str:
        return f"e{self.rng.randrange(ENTRIES)}"

    def _worker(self) -> str:
        return f"w{self.rng.randrange(WORKERS)}"

    async def _set_for_a_while(self, entries, address: str, **values) -> None:
        paths = [self.branch.faults_between(entry, address) for entry in entries]
        for path in paths:
            for name, value in values.items():
                setattr(path, name, value)
        await asyncio.sleep(self._seconds())
        for path in paths:
            for name, value in values.items():
                setattr(path, name, type(value)(0))

    async def _cut_entry_from_store(self) -> None:
        await self._set_for_a_while([self._entry()], STORE, is_cut=True)

    async def _store_refuses(self) -> None:
        await self._set_for_a_while([self._entry()], STORE, refuses=True)

    async def _store_loses_answers(self) -> None:
        await self._set_for_a_while([self._entry()], STORE, lost_answers=0.4)

    async def _store_is_slow(self) -> None:
        await self._set_for_a_while(self._all_entries(), STORE, delay_seconds=0.2)

    async def _store_is_out(self) -> None:
        await self._set_for_a_while(self._all_entries(), STORE, is_cut=True)

    async def _lose_history(self) -> None:
        self.branch.store.truncate_history()

    async def _cut_worker(self) -> None:
        address = f"{self._worker()}:80"
        await self._set_for_a_while(self._all_entries(), address, is_cut=True)

    async def _late_orders(self) -> None:
        address = f"{self._worker()}:80"
        await self._set_for_a_while(self._all_entries(), address, late_orders=0.2)

    async def _crash_worker(self) -> None:
        name = self._worker()
        self.branch.worker_by_name[name].crash(restarts=False)
        await asyncio.sleep(self._seconds())
        self.branch.worker_by_name[name].is_up = True
        self.branch.register(name)

    async def _drain_worker(self) -> None:
        name = self._worker()
        self.branch.register(name, state="draining")
        await asyncio.sleep(self._seconds())
        self.branch.register(name)

    async def _kill_entry(self) -> None:
        await self._kill_and_restart([self._entry()])

    async def _kill_all_entries(self) -> None:
        await self._kill_and_restart(self._all_entries())

    async def _kill_and_restart(self, names: list[str]) -> None:
        names = [name for name in names if name in self.branch.entry_by_name]
        for name in names:
            await self.branch.kill_entry(name)
        await asyncio.sleep(self._seconds() / 4)
        for name in names:
            self.branch.start_entry(name)

    async def _stop_entry(self) -> None:
        name = self._entry()
        if name not in self.branch.entry_by_name:
            return
        await self.branch.stop_entry(name)
        await asyncio.sleep(0.3)
        self.branch.start_entry(name)

    def _all_entries(self) -> list[str]:
        return [f"e{number}" for number in range(ENTRIES)]

    # Checks

    async def _check(self) -> None:
        found = self.branch.violations.found
        started = {task.split(".")[0] for task in self.branch.violations.starts}
        found += [f"{job} was refused but runs" for job in self.refused & started]
        for job in sorted(self.accepted):
            status = await self.branch.status("e0", job)
            self.branch.violations.check_outcome(job, status, job in self.cancelled)


@on_virtual_time
async def run_seed(seed: int) -> SoakResult:
    """Play one seed."""
    async with open_branch(
        make_plan(seed), ENTRIES, WORKERS, seed, is_checked=False, attempts=3
    ) as branch:
        return await Soak(branch, seed).run()


def main() -> int:
    """Play seeds and print what each gave."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    bad = faults = starts = 0
    for seed in range(options.seed, options.seed + options.seeds):
        result = run_seed(seed)
        faults += result.faults
        starts += result.starts
        bad += bool(result.violations)
        if result.violations:
            print(f"seed {seed}: {len(result.violations)} violations")
            for text in result.violations[:5]:
                print(f"  {text}")
    print(f"{options.seeds} seeds, {faults} faults, {starts} starts, {bad} bad")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
