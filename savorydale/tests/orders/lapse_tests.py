"""The lapse of a worker's lease is noticed in time, however the worker went silent."""

import asyncio

import pytest

from savorydale.counters import Counters
from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.interface import (
    Accepted,
    ActiveRun,
    Renewed,
    Resources,
    Unanswered,
    WorkerInfo,
)
from savorydale.orders.renewal_wait import MAX_WAIT_MS, MIN_WAIT_MS
from savorydale.orders.runs import Run
from savorydale.orders.worker_link import WorkerLink
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.service_watch import MAX_AWAY_SECONDS

LEASE_MAX_MS = 6000
INFO = WorkerInfo("w", "w:80", "desk", "z1", False, Resources(9, 9, 0), (), 1, None)
TASK = TaskId("j", 0, 0, 0)
RESTART_SECONDS = 0.3  # to plan, commit and start the next run
MAX_NOTICE_SECONDS = MAX_AWAY_SECONDS - RESTART_SECONDS


class Worker:
    """Answers after its wait, or not at all; records when its run was dropped."""

    def __init__(self):
        self.is_silent = False
        self.response_seconds = 0.0
        self.active = ()
        self.lost_at = []

    async def renew(self, target, order):
        wait_seconds = order.wait_ms / 1000
        timeout_seconds = order.response_timeout_seconds
        if not self.is_silent:
            await asyncio.sleep(wait_seconds + self.response_seconds)
            timeout_seconds -= self.response_seconds
            wait_seconds = 0.0
        if self.is_silent:
            await asyncio.sleep(wait_seconds + timeout_seconds)
            return Unanswered("timeout")
        clock_ms = int(asyncio.get_running_loop().time() * 1000)
        return Renewed(clock_ms, 1, self.active, ())

    async def start(self, target, order):
        self.active = (ActiveRun(order.task, order.run, "", 1, 0),)
        return Accepted()

    def on_lost(self, link, run, reason):
        self.lost_at.append(asyncio.get_running_loop().time())

    def on_confirmed(self, link, run):
        pass

    def on_started(self, link, run):
        pass

    def on_probation_passed(self, link, run):
        pass

    def on_report(self, link):
        pass


@pytest.mark.parametrize("response_seconds", [0.0, 0.4])
@pytest.mark.parametrize("wait_ms", [MIN_WAIT_MS, 1000, MAX_WAIT_MS])
@pytest.mark.parametrize("offset_seconds", [0.05, 0.3, 0.6, 1.1, 1.7, 2.2])
@on_virtual_time
async def test_lapse_of_a_silent_worker_is_noticed_before_its_next_timeout(
    wait_ms, offset_seconds, response_seconds
):
    loop = asyncio.get_running_loop()
    worker = Worker()
    worker.response_seconds = response_seconds
    link = WorkerLink(INFO, worker, worker, 1, LEASE_MAX_MS, Counters())
    link.renew_wait_ms = wait_ms
    task = asyncio.create_task(link.run())
    await asyncio.sleep(5.0)
    run = Run(TASK, 1, StepSpec(1), loop.time())
    link.reserve(run)
    link.start(run, "", "")
    await asyncio.sleep(8.0 + offset_seconds)
    worker.is_silent = True
    silent_at = loop.time()
    await asyncio.sleep(20.0)
    task.cancel()
    await asyncio.wait([task])
    assert worker.lost_at[0] - silent_at <= MAX_NOTICE_SECONDS
