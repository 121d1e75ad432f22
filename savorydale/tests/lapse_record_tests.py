"""Takeovers do not lengthen the wait for the lease of a worker that has ended.

Guarded failures: each new holder counts the longest lease anew; a lease that is given
after its lapse was recorded lets a task run twice.
"""

import asyncio

import pytest

from savorydale.scheduler.lapse_record import (
    LAPSES_KEY,
    MAX_RECORD_BYTES,
    LapseRecord,
    decode_lapses,
)
from savorydale.scheduler.store_clock import StoreClock
from savorydale.storage.rows import StoredRow
from savorydale.tests.branch import LEASE_MAX_MS
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.recovery import SERVICE, recovering
from savorydale.tests.service_watch import MAX_AWAY_SECONDS

LEASE_SECONDS = LEASE_MAX_MS / 1000
RENEWAL_RETRY_SECONDS = 3.0  # the last renewal that was lost has timed out
TAKEOVERS = 4
TAKEOVER_TIMEOUT_SECONDS = 8.0


async def take_over(recovery):
    holder = recovery.holder
    await recovery.branch.kill_entry(holder)
    await recovery.branch.wait_until(
        lambda: recovery.holder not in (holder, None), TAKEOVER_TIMEOUT_SECONDS
    )
    recovery.branch.start_entry(holder)


async def stop_and_take_over(recovery):
    holder = recovery.holder
    await recovery.branch.stop_entry(holder)
    await recovery.branch.wait_until(
        lambda: recovery.holder not in (holder, None), TAKEOVER_TIMEOUT_SECONDS
    )
    recovery.branch.start_entry(holder)


@pytest.mark.parametrize("change_holder", [take_over, stop_and_take_over])
@pytest.mark.parametrize("is_cut", [False, True], ids=["refusing", "silent"])
@on_virtual_time
async def test_takeovers_in_series_do_not_begin_the_count_of_a_lease_again(
    is_cut, change_holder
):
    async with recovering() as recovery:
        with recovery.disturbances.disturbed():
            if is_cut:
                recovery.cut_workers(recovery.entries, ["w0"])
            recovery.branch.worker_by_name["w0"].crash(restarts=False)
            await asyncio.sleep(3.0)
            for _ in range(TAKEOVERS):
                await change_holder(recovery)
                await asyncio.sleep(4.0)
    assert recovery.watch.longest_seconds <= MAX_AWAY_SECONDS


@pytest.mark.parametrize("silent_seconds", [2.2, 3.0, 4.0])
@on_virtual_time
async def test_recorded_worker_that_answers_again_keeps_its_runs(silent_seconds):
    async with recovering() as recovery:
        branch = recovery.branch
        with recovery.disturbances.disturbed():
            recovery.cut_workers(recovery.entries, ["w0"])
            await asyncio.sleep(silent_seconds)
            recovery.cut_workers(recovery.entries, ["w0"], is_cut=False)
            await asyncio.sleep(RENEWAL_RETRY_SECONDS)
            await take_over(recovery)
            await asyncio.sleep(2 * LEASE_SECONDS)
        assert not branch.checker.ends
        assert branch.checker.starts.total() == SERVICE.task_count


@on_virtual_time
async def test_recorded_worker_gets_no_lease_of_a_holder_that_is_replaced():
    # The worker answers the old holder again, which the store answers no more.
    async with recovering() as recovery:
        holder = recovery.holder
        others = [name for name in recovery.entries if name != holder]
        with recovery.disturbances.disturbed():
            recovery.cut_workers(recovery.entries, ["w0"])
            await asyncio.sleep(3.5)
            recovery.set_store_faults([holder], is_partitioned=True)
            recovery.cut_workers([holder], ["w0"], is_cut=False)
            await asyncio.sleep(2 * LEASE_SECONDS)
            recovery.set_store_faults([holder], is_partitioned=False)
            recovery.cut_workers(others, ["w0"], is_cut=False)


class Link:
    """A worker that is silent, or not."""

    def __init__(self, worker, is_silent=True):
        self.worker = worker
        self.is_lease_withheld = False
        self.run_by_task = {"j.0.0.0": "a run"}
        self._is_silent = is_silent
        self.earlier_lapse_at = None

    def is_silent(self, now):
        return self._is_silent

    def answer(self):
        self._is_silent = False

    def latest_lapse_at(self):
        return 100.0

    def limit_earlier_leases(self, lapse_at):
        self.earlier_lapse_at = lapse_at


def make_clock():
    return StoreClock(5_000_000.0, 10.0, 12.0)


@on_virtual_time
async def test_lease_is_withheld_until_the_removal_is_durable():
    link, clock, record = Link("w"), make_clock(), LapseRecord()
    assert record.update([link], clock) is not None
    record.confirm(record.written, [link])
    link.answer()
    recorded = record.written
    assert decode_lapses(record.update([link], clock)) == {}
    record.confirm(recorded, [link])  # of a commit that was sent before
    assert link.is_lease_withheld
    record.confirm(record.written, [link])
    assert not link.is_lease_withheld


@on_virtual_time
async def test_lease_of_a_worker_in_the_stored_record_is_withheld_at_first():
    clock = make_clock()
    writer = LapseRecord()
    value = writer.update([Link("w")], clock)
    record = LapseRecord(StoredRow(LAPSES_KEY, value, 1), clock)
    link, other = Link("w", is_silent=False), Link("v", is_silent=False)
    for each in (link, other):
        record.prepare(each)
    assert link.is_lease_withheld and not other.is_lease_withheld
    assert link.earlier_lapse_at >= 100.0
    assert other.earlier_lapse_at is None
    record.update([link, other], clock)
    record.confirm(record.written, [link, other])
    assert not link.is_lease_withheld


@on_virtual_time
async def test_record_stays_within_its_row():
    links = [Link(f"{number:0200d}") for number in range(1_000)]
    record = LapseRecord()
    value = record.update(links, make_clock())
    assert 0 < len(value) <= MAX_RECORD_BYTES
    assert record.update(links, make_clock()) is None
    assert sum(link.is_lease_withheld for link in links) == len(record.written)


@pytest.mark.parametrize("value", [b"", b"[]", b'{"w": "x"}', b"\xff", b"[" * 100_000])
@on_virtual_time
async def test_unreadable_record_is_ignored(value):
    record = LapseRecord(StoredRow(LAPSES_KEY, value, 1), make_clock())
    assert record.written == {}


@on_virtual_time
async def test_bounds_of_the_stores_clock_hold_for_any_delay_of_the_answer():
    for answered_after in (0.0, 0.7, 2.0):  # of a read that took two seconds
        store_offset_ms = 5_000_000.0 - (10.0 + answered_after) * 1000
        clock = make_clock()
        assert clock.latest_ms(50.0) >= 50_000 + store_offset_ms
        reached_at = clock.certainly_reached_at(50_000 + store_offset_ms)
        assert reached_at >= 50.0
