"""A worker's crash is told from its silence, and reported once with its suspects."""

import asyncio
import contextlib

import pytest

from savorydale.counters import Counters
from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.interface import (
    Accepted,
    ActiveRun,
    RefusalReason,
    Refused,
    Renewed,
    Resources,
    Unanswered,
    WorkerInfo,
)
from savorydale.orders.renewal_wait import MIN_WAIT_MS
from savorydale.orders.runs import UNKNOWN_PERCENT, Run
from savorydale.orders.worker_link import WorkerLink
from savorydale.tests.harness import on_virtual_time

INFO = WorkerInfo("w", "w:80", "desk", "z1", False, Resources(9, 9, 0), (), 1, None)
RENEWAL_SECONDS = 0.2
NOT_LISTENING = Refused(RefusalReason.NOT_LISTENING)
SILENCE = Unanswered("timeout")


class Worker:
    """Answers orders with whatever the test has set, and collects what is reported."""

    def __init__(self):
        self.failure = None
        self.start_outcome_by_index = {}
        self.start_seconds = 0.0
        self.born_ms = 1
        self.active = {}
        self.crashes = []
        self.missing = []
        self.passed = []
        self.lost = []
        self.waits_ms = []

    # Orders

    async def renew(self, target, order):
        self.waits_ms.append(order.wait_ms)
        await asyncio.sleep(RENEWAL_SECONDS)
        if self.failure is not None:
            return self.failure
        active = tuple(ActiveRun(task, run, "", 1, 0) for task, run in self.active)
        return Renewed(1, self.born_ms, active, ())

    async def start(self, target, order):
        await asyncio.sleep(self.start_seconds)
        outcome = self.start_outcome_by_index.get(order.task.index, Accepted())
        if isinstance(outcome, Accepted):
            self.active[order.task, order.run] = None
        return outcome

    # Listener

    def on_crash(self, link, suspects):
        self.crashes.append([run.task.index for run in suspects])

    def on_missing(self, link, runs):
        self.missing.append([run.task.index for run in runs])

    def on_probation_passed(self, link, run):
        self.passed.append(run.task.index)

    def on_lost(self, link, run, reason):
        self.lost.append(run.task.index)

    def on_confirmed(self, link, run):
        pass

    def on_started(self, link, run):
        pass

    def on_report(self, link):
        pass

    def crash(self, failure=NOT_LISTENING):
        self.active.clear()
        self.failure = failure

    def restart(self):
        self.active.clear()
        self.failure = None
        self.born_ms += 1


@contextlib.asynccontextmanager
async def open_link(info=INFO):
    """Open a link that has been in contact with its worker."""
    worker = Worker()
    link = WorkerLink(info, worker, worker, 1, 6000, Counters())
    task = asyncio.create_task(link.run())
    await asyncio.sleep(1)
    try:
        yield link, worker
    finally:
        task.cancel()
        await asyncio.wait([task])


async def start(link, *indices):
    for index in indices:
        now = asyncio.get_running_loop().time()
        run = Run(TaskId("j", 0, 0, index), 1, StepSpec(1), now)
        link.reserve(run)
        link.start(run, "", "")
    await asyncio.sleep(0.05)


@pytest.mark.parametrize("reason", ["not_listening", "other_incarnation"])
@on_virtual_time
async def test_crash_is_reported_once(reason):
    async with open_link() as (link, worker):
        await start(link, 0, 1)
        worker.crash(Refused(RefusalReason(reason)))
        await asyncio.sleep(3)
        assert worker.crashes == [[0, 1]]
        worker.restart()
        await asyncio.sleep(3)
        assert worker.crashes == [[0, 1]]
        worker.crash()
        await asyncio.sleep(1)
        assert worker.crashes == [[0, 1], []]


@on_virtual_time
async def test_run_that_passed_its_probation_is_no_suspect():
    async with open_link() as (link, worker):
        await start(link, 0)
        await asyncio.sleep(2)
        await start(link, 1)
        worker.crash()
        await asyncio.sleep(1)
        assert worker.passed == [0]
        assert worker.crashes == [[1]]


@on_virtual_time
async def test_refused_start_is_no_suspect_but_an_unanswered_one_is():
    async with open_link() as (link, worker):
        worker.start_outcome_by_index = {1: NOT_LISTENING, 2: SILENCE}
        worker.start_seconds = 0.01
        await start(link, 0, 2, 1)
        worker.crash()
        await asyncio.sleep(1)
        assert [sorted(crash) for crash in worker.crashes] == [[0, 2]]


@on_virtual_time
async def test_crash_is_reported_when_the_starts_in_flight_are_answered():
    async with open_link() as (link, worker):
        await start(link, 0)
        worker.start_outcome_by_index = {1: NOT_LISTENING}
        worker.start_seconds = 0.8
        await start(link, 1)
        worker.crash()
        await asyncio.sleep(0.5)
        assert worker.crashes == []
        await asyncio.sleep(0.5)
        assert worker.crashes == [[0]]


@on_virtual_time
async def test_no_start_is_sent_to_a_crashed_worker():
    async with open_link() as (link, worker):
        worker.crash()
        await asyncio.sleep(0.5)
        assert not link.is_in_contact(asyncio.get_running_loop().time())


@on_virtual_time
async def test_quick_restart_is_a_crash():
    async with open_link() as (link, worker):
        await start(link, 0)
        worker.crash(Unanswered("connection reset"))
        await asyncio.sleep(RENEWAL_SECONDS)
        worker.restart()
        await asyncio.sleep(2)
        assert worker.crashes == [[0]]


@pytest.mark.parametrize("seconds", [3, 20])
@on_virtual_time
async def test_silence_is_no_crash(seconds):
    async with open_link() as (link, worker):
        await start(link, 0)
        worker.crash(SILENCE)
        await asyncio.sleep(seconds)
        worker.restart()
        await asyncio.sleep(2)
        assert worker.crashes == []


@on_virtual_time
async def test_planned_leaving_is_no_crash():
    async with open_link() as (link, worker):
        await start(link, 0)
        link.update(INFO._replace(is_draining=True))
        worker.crash()
        await asyncio.sleep(1)
        link.update(INFO)
        await asyncio.sleep(1)
        worker.restart()
        await asyncio.sleep(2)
        assert worker.crashes == []


@on_virtual_time
async def test_worker_that_is_not_registered_does_not_crash():
    async with open_link() as (link, worker):
        await start(link, 0)
        link.is_registered = False
        worker.crash()
        await asyncio.sleep(1)
        assert worker.crashes == []


@on_virtual_time
async def test_worker_that_never_answered_does_not_crash():
    worker = Worker()
    worker.crash()
    link = WorkerLink(INFO, worker, worker, 1, 6000, Counters())
    link.restore(Run(TaskId("j", 0, 0, 0), 1, StepSpec(1), 0.0))
    task = asyncio.create_task(link.run())
    await asyncio.sleep(3)
    task.cancel()
    assert worker.crashes == []
    assert worker.missing == [[0]]


@on_virtual_time
async def test_restored_run_is_on_probation():
    async with open_link() as (link, worker):
        now = asyncio.get_running_loop().time()
        run = Run(TaskId("j", 0, 0, 0), 1, StepSpec(1), now)
        worker.active[run.task, 1] = None
        link.restore(run)
        await asyncio.sleep(0.5)
        worker.crash()
        await asyncio.sleep(1)
        assert worker.crashes == [[0]]


@on_virtual_time
async def test_run_is_not_started_while_an_earlier_one_of_its_task_is_listed():
    async with open_link() as (link, worker):
        run = Run(TaskId("j", 0, 0, 0), 2, StepSpec(1), 0.0)
        worker.active[run.task, 1] = None
        link.reserve(run)
        await asyncio.sleep(2 * RENEWAL_SECONDS)
        link.start(run, "", "")
        await asyncio.sleep(2 * RENEWAL_SECONDS)
        assert worker.active == {(run.task, 1): None}
        worker.active.clear()
        await asyncio.sleep(3 * RENEWAL_SECONDS)
        assert worker.lost == [0]


@on_virtual_time
async def test_isolated_run_that_waits_for_an_earlier_one_causes_no_extra_renewals():
    async with open_link() as (link, worker):
        run = Run(TaskId("j", 0, 0, 0), 2, StepSpec(1), 0.0, is_isolated=True)
        worker.active[run.task, 1] = None
        link.restore(run)
        await asyncio.sleep(5.0)
        assert worker.waits_ms[-5:] == [MIN_WAIT_MS] * 5


@on_virtual_time
async def test_crash_after_connections_were_refused_for_a_while_is_counted():
    async with open_link() as (link, worker):
        worker.failure = NOT_LISTENING
        await asyncio.sleep(1.0)
        worker.failure = None
        await asyncio.sleep(1.0)
        crashes = len(worker.crashes)
        await start(link, 0)
        worker.crash()
        await asyncio.sleep(1.0)
        assert worker.crashes[crashes:] == [[0]]


class LostStarts:
    """Leaves starts unanswered, so that the token rises, and refuses older tokens."""

    def __init__(self):
        self.newest_token = 0
        self.throttled = []

    async def start(self, target, order):
        await asyncio.sleep(1.0)
        self.newest_token = target.fencing_token + 1  # as the next renewal shows it
        return Unanswered("lost")

    async def throttle(self, target, task, run, percent):
        is_old = target.fencing_token < self.newest_token
        self.throttled.append(Refused(RefusalReason.FENCED) if is_old else Accepted())
        return self.throttled[-1]


def backfill_run(index):
    return Run(TaskId("j", 0, 0, index), 1, StepSpec(3, 500, backfill=True), 0.0)


@on_virtual_time
async def test_throttle_that_waited_is_not_sent_with_an_older_token():
    orders = LostStarts()
    link = WorkerLink(INFO, orders, Worker(), 1, 6000, Counters())
    link.last_contact_at = asyncio.get_running_loop().time()
    link._lease_clock.record_clock(1)
    link.restore(backfill_run(0))
    for index in (1, 2):
        link.reserve(run := backfill_run(index))
        link.start(run, "", "")
    link.throttle(link.run_by_task[TaskId("j", 0, 0, 0)], 20)
    await asyncio.sleep(3.0)
    assert orders.throttled == [Accepted()]


@on_virtual_time
async def test_throttle_that_the_own_newer_token_fenced_counts_as_failed():
    orders = LostStarts()
    link = WorkerLink(INFO, orders, Worker(), 1, 6000, Counters())
    link.restore(run := backfill_run(0))
    orders.newest_token = link._token + 1
    link.throttle(run, 20)
    await asyncio.sleep(0)
    link._token += 1  # while the order is on its way
    await asyncio.sleep(1.0)
    assert orders.throttled == [Refused(RefusalReason.FENCED)]
    assert run.requested_percent == UNKNOWN_PERCENT
