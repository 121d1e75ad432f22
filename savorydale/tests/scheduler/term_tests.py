"""The end of a term, while the rest of the process keeps running."""

import asyncio

from savorydale.counters import Counters
from savorydale.orders.interface import Resources, WorkerInfo
from savorydale.ownership.lease import EntryIdentity, SchedulerLease
from savorydale.scheduler.term import JobScheduler, SchedulerTiming
from savorydale.tests.harness import on_virtual_time

CAPACITY = Resources(1000, 1000, 0)
INFO = WorkerInfo("w1", "w1:80", "desk", "z1", False, CAPACITY, (), 1, None)


@on_virtual_time
async def test_worker_may_register_while_the_term_ends():
    lease = SchedulerLease(None, EntryIdentity("e1", "1"), 1, 1, 0.0)
    timing = SchedulerTiming(6000.0, 250.0, 120.0, 100, 65_536)
    scheduler = JobScheduler(None, None, lease, timing, Counters(), lambda: None)
    async with asyncio.TaskGroup() as group:
        scheduler._task_group = group
    scheduler.replace_workers({"w1": INFO})
