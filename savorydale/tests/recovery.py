"""Disturbs a branch with one service and checks how long its tasks stay away.

The bound is that of `service_watch`.
"""

import asyncio
import contextlib

from savorydale.jobs.model import StepSpec
from savorydale.tests.branch import STORE_ADDRESS, open_branch
from savorydale.tests.frozen_entries import make_freezable
from savorydale.tests.service_watch import (
    MAX_AWAY_SECONDS,
    Disturbances,
    ServiceWatch,
)
from standins.task_worker import Plan

JOB = "00000000000000f1"
SERVICE = StepSpec(6, 500, 100, long_running=True)
EQUAL_PAIR = (1.0, 1.0)
SETTLE_SECONDS = MAX_AWAY_SECONDS + 3.0


def never_ending(task, run):
    return Plan(None)


class Recovery:
    """A branch with one service, whose absences are watched."""

    def __init__(self, branch, gate_by_entry):
        self.branch = branch
        self.gate_by_entry = gate_by_entry
        self.disturbances = Disturbances()
        self.watch = ServiceWatch(branch, self.disturbances)

    @property
    def holder(self):
        return self.branch.scheduling_entry()

    @property
    def entries(self):
        return list(self.branch.entry_by_name)

    def cut_workers(self, entries, workers, is_cut=True):
        for entry in entries:
            for worker in workers:
                path = self.branch.faults_between(entry, f"{worker}:80")
                path.is_partitioned = is_cut

    def delay_workers(self, seconds):
        for entry in self.entries:
            for worker in self.branch.worker_by_name:
                path = self.branch.faults_between(entry, f"{worker}:80")
                path.reply_delay_seconds = seconds

    def set_store_faults(self, entries, **values):
        for entry in entries:
            path = self.branch.faults_between(entry, STORE_ADDRESS)
            for name, value in values.items():
                setattr(path, name, value)


@contextlib.asynccontextmanager
async def recovering(processors=EQUAL_PAIR, workers=4, step=SERVICE, plan=never_ending):
    """Start a service, let the test disturb the branch, then check the bound."""
    async with open_branch(
        plan,
        entries=len(processors),
        workers=workers,
        processor_counts=processors,
    ) as branch:
        for name in list(branch.entry_by_name):  # as entries that can be frozen
            await branch.kill_entry(name)
        gate_by_entry = make_freezable(branch)
        for number in range(len(processors)):
            branch.start_entry(f"e{number}")
        recovery = Recovery(branch, gate_by_entry)
        await asyncio.sleep(6.0)
        await branch.submit("e0", JOB, step)
        await branch.wait_until(
            lambda: branch.checker.running_task_count(JOB) == step.task_count, 5
        )
        await asyncio.sleep(1.0)
        recovery.watch.watch(JOB, step)
        watching = asyncio.create_task(recovery.watch.run())
        yield recovery
        await asyncio.sleep(SETTLE_SECONDS)
        watching.cancel()
        print("absences:", sorted(recovery.watch.absences, reverse=True)[:8])
        assert branch.checker.violations == []
        assert recovery.watch.violations == []
        assert branch.checker.running_task_count(JOB) == step.task_count
