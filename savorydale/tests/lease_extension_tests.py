"""Leases of workers while the store does not answer their holder.

Guarded failures: a holder that is cut off with a few workers keeps their runs alive
while another entry starts the tasks again; an outage of the store ends work.
"""

import asyncio

import pytest

from savorydale.orders.lease_extension import LeaseExtension
from savorydale.orders.renewal_wait import MAX_WAIT_MS, MIN_WAIT_MS
from savorydale.scheduler import term
from savorydale.tests.branch import LEASE_MAX_MS
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.recovery import JOB, SERVICE, recovering

LEASE_SECONDS = LEASE_MAX_MS / 1000
OUTAGE_SECONDS = 20.0
SLOWEST_CLOCK_RATE = 0.98  # of a worker's clock
WAITS_MS = [MIN_WAIT_MS, MAX_WAIT_MS]


class Witness:
    """A worker that answered a renewal, which was sent at a time, or none."""

    def __init__(self, obeyed_at, is_registered=True):
        self.obeyed_at = self.last_contact_at = obeyed_at
        self.is_registered = is_registered


@on_virtual_time
async def is_allowed(witnesses, seconds_since_commit=10.0):
    """Return the verdict at 10 s."""
    await asyncio.sleep(10.0)
    extension = LeaseExtension(lambda: seconds_since_commit, lambda: witnesses)
    return extension.is_allowed()


@pytest.mark.parametrize(
    ("answered_at", "expected"),
    [
        ([9.9], True),
        ([9.9, None], False),
        ([9.9, 9.9, None], True),
        ([9.9, 9.9, 7.0, 7.0], False),
        ([9.9, 7.5, 7.5, 1.0], True),
        ([None, None], False),
        ([], False),
    ],
)
def test_most_workers_must_have_answered_recently(answered_at, expected):
    assert is_allowed([Witness(time) for time in answered_at]) is expected


def test_answers_before_this_entry_could_be_replaced_do_not_count():
    assert is_allowed([Witness(9.2)], seconds_since_commit=3.0)
    assert not is_allowed([Witness(8.9)], seconds_since_commit=3.0)


def test_silent_workers_that_are_not_registered_do_not_count():
    assert is_allowed([Witness(9.9), Witness(None, False), Witness(1.0, False)])


def test_recent_answer_of_the_store_allows_extensions_whatever_workers_answer():
    assert is_allowed([Witness(None)], seconds_since_commit=1.0)


def test_answer_of_the_store_counts_until_another_entry_could_have_begun():
    """A next holder counts the longest lease from its beginning, and little more."""
    assert is_allowed([Witness(None)], seconds_since_commit=2.0)
    assert not is_allowed([Witness(None)], seconds_since_commit=2.2)


@pytest.mark.parametrize("offset_seconds", [number / 10 for number in range(11)])
def test_cut_off_holder_and_the_next_one_agree_on_a_slow_clock(offset_seconds):
    """Guards against a next holder that does not wait for a lease on a slow clock."""

    @on_virtual_time
    async def run():
        async with recovering() as recovery:
            for worker in recovery.branch.worker_by_name.values():
                worker.clock_rate = SLOWEST_CLOCK_RATE
            await asyncio.sleep(5.0 + offset_seconds)
            with recovery.disturbances.disturbed():
                await cut_off_with(recovery, ["w0"])

    run()


@pytest.mark.parametrize("near_workers", [["w0"], ["w0", "w1"]], ids=["one", "half"])
@pytest.mark.parametrize("wait_ms", WAITS_MS)
@pytest.mark.parametrize("offset_seconds", [0.0, 0.3, 0.7, 1.1, 1.6])
def test_cut_off_holder_and_the_next_one_do_not_run_a_task_twice(
    near_workers, wait_ms, offset_seconds, monkeypatch
):
    monkeypatch.setattr(term, "renewal_wait_ms", lambda worker_count: wait_ms)

    @on_virtual_time
    async def run():
        async with recovering() as recovery:
            await asyncio.sleep(offset_seconds)
            with recovery.disturbances.disturbed():
                await cut_off_with(recovery, near_workers)

    run()


async def cut_off_with(recovery, near_workers):
    """Cut the holder and some workers off from everything else, and heal that."""
    holder = recovery.holder
    others = [name for name in recovery.entries if name != holder]
    far_workers = [w for w in recovery.branch.worker_by_name if w not in near_workers]
    recovery.set_store_faults([holder], is_partitioned=True)
    recovery.cut_workers([holder], far_workers)
    recovery.cut_workers(others, near_workers)
    await asyncio.sleep(4 * LEASE_SECONDS)
    recovery.set_store_faults([holder], is_partitioned=False)
    recovery.cut_workers([holder], far_workers, is_cut=False)
    recovery.cut_workers(others, near_workers, is_cut=False)


@on_virtual_time
async def test_holder_cut_off_with_most_workers_does_not_run_a_task_twice():
    async with recovering() as recovery:
        with recovery.disturbances.disturbed():
            await cut_off_with(recovery, ["w0", "w1", "w2"])


@pytest.mark.parametrize("wait_ms", [MIN_WAIT_MS, 1000, MAX_WAIT_MS])
@pytest.mark.parametrize("reply_seconds", [0.0, 0.4, 1.2])
@pytest.mark.parametrize("offset_seconds", [0.0, 0.7, 1.4])
@pytest.mark.parametrize("lost_workers", [[], ["w0"]], ids=["all", "most"])
def test_work_goes_on_in_an_outage_of_the_store(
    lost_workers, offset_seconds, reply_seconds, wait_ms, monkeypatch
):
    monkeypatch.setattr(term, "renewal_wait_ms", lambda worker_count: wait_ms)

    @on_virtual_time
    async def run():
        async with recovering() as recovery:
            branch = recovery.branch
            with recovery.disturbances.disturbed():
                recovery.delay_workers(reply_seconds)
                await asyncio.sleep(2 * LEASE_SECONDS + offset_seconds)
                recovery.set_store_faults(recovery.entries, is_partitioned=True)
                recovery.cut_workers(recovery.entries, lost_workers)
                lost = [
                    task
                    for task, worker in branch.checker.worker_by_task.items()
                    if worker in lost_workers
                ]
                await asyncio.sleep(OUTAGE_SECONDS)
                remaining = branch.checker.running_task_count(JOB)
                assert remaining == SERVICE.task_count - len(lost)
                assert set(branch.checker.ends) <= set(lost)
                recovery.set_store_faults(recovery.entries, is_partitioned=False)
                recovery.cut_workers(recovery.entries, lost_workers, is_cut=False)
                recovery.delay_workers(0.0)

    run()
