"""A run that has ended does not keep its task from waiting for another worker.

Each path ends the runs of one worker while something about that worker is disturbed;
meanwhile the lease holder may change. Tasks must be back within the bound of
`service_watch`, counted from the end of the run, once everything is calm.
"""

import asyncio
import contextlib

import pytest

from savorydale.tests.branch import LEASE_MAX_MS
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.recovery import EQUAL_PAIR, Recovery, recovering
from standins.row_store import Reply
from standins.task_worker import MAX_ENDS_PER_REPLY

WORKER = "w0"
SPARE = "y0"  # another address
LEASE_SECONDS = LEASE_MAX_MS / 1000
DISTURBED_SECONDS = 3.0
REPLACED_SECONDS = 2.0
UNREADABLE = b'{"address": [[]], "capacity": 1e999}'
NO_REPLY_SECONDS = 3600.0  # longer than any timeout
HOLD, START, STOP = "/-/hold", "/-/run-start", "/-/run-stop"
CALLS = {"hold": [HOLD], "start": [START], "stop": [STOP], "all": [HOLD, START, STOP]}


def fail_runs(recovery: Recovery) -> None:
    """End all runs on the worker as failed."""
    worker = recovery.branch.worker_by_name[WORKER]
    for active in list(worker.run_by_task.values()):
        worker._end(active, "failed")


def set_faults(recovery: Recovery, **values) -> None:
    """Set faults of the paths from all entries to the worker."""
    for entry in ("e0", "e1"):
        path = recovery.branch.faults_between(entry, f"{WORKER}:80")
        for name, value in values.items():
            setattr(path, name, value)


@contextlib.contextmanager
def unanswered(recovery: Recovery, calls, status: int = 0):
    """Let some calls to the worker be refused with a status, or get no answer."""
    worker = recovery.branch.worker_by_name[WORKER]
    handle = worker.handle

    async def handle_or_not(method, path, params, body):
        if path not in calls:
            return await handle(method, path, params, body)
        if not status:
            await asyncio.sleep(NO_REPLY_SECONDS)
        return Reply(status, {})

    worker.handle = handle_or_not
    try:
        yield
    finally:
        worker.handle = handle


async def disturb(recovery: Recovery, **faults) -> None:
    """Let the runs fail while the worker's paths have faults."""
    set_faults(recovery, **faults)
    await asyncio.sleep(0.1)
    fail_runs(recovery)
    await asyncio.sleep(DISTURBED_SECONDS)
    set_faults(recovery, **{name: type(value)(0) for name, value in faults.items()})


async def fail(recovery):
    fail_runs(recovery)


async def fail_cut_off(recovery):
    await disturb(recovery, is_partitioned=True)


async def fail_replies_lost(recovery):
    await disturb(recovery, lost_response_probability=1.0)


async def fail_half_of_replies_lost(recovery):
    await disturb(recovery, lost_response_probability=0.5)


async def fail_refusing(recovery):
    await disturb(recovery, refuses=True)


async def fail_replies_late(recovery):
    await disturb(recovery, reply_delay_seconds=1.2)


async def fail_orders_late(recovery):
    await disturb(recovery, late_order_probability=0.6)


def fail_with(calls, status):
    """Return a path on which a worker doesn't answer some calls."""

    async def path(recovery):
        with unanswered(recovery, calls, status):
            await asyncio.sleep(0.1)
            fail_runs(recovery)
            await asyncio.sleep(DISTURBED_SECONDS)

    return path


async def crash(recovery):
    recovery.branch.worker_by_name[WORKER].crash(restarts=False)
    await asyncio.sleep(REPLACED_SECONDS)
    recovery.branch.store.delete("servers", WORKER)


async def lose_power(recovery):
    """End the worker so that nothing refuses connections to it."""
    set_faults(recovery, is_partitioned=True)
    recovery.branch.worker_by_name[WORKER].crash(restarts=False)
    await asyncio.sleep(REPLACED_SECONDS)
    recovery.branch.store.delete("servers", WORKER)


async def restart(recovery):
    worker = recovery.branch.worker_by_name[WORKER]
    worker.crash(restarts=False)
    await asyncio.sleep(REPLACED_SECONDS)
    worker.is_up = True
    recovery.branch.register(WORKER)


async def restart_again_and_again(recovery):
    worker = recovery.branch.worker_by_name[WORKER]
    for _ in range(4):
        worker.crash()
        recovery.branch.register(WORKER)
        await asyncio.sleep(0.4)


async def restart_while_cut_off(recovery):
    set_faults(recovery, is_partitioned=True)
    recovery.branch.worker_by_name[WORKER].crash()
    await asyncio.sleep(DISTURBED_SECONDS)
    set_faults(recovery, is_partitioned=False)
    recovery.branch.register(WORKER)


def begin_anew(recovery, worker_id, address):
    """Let a new worker take the place of the ended one."""
    branch = recovery.branch
    incarnation = branch.worker_by_name[WORKER].incarnation
    if address != WORKER:
        branch.add_worker(address)
        branch.store.delete("servers", address)
    worker = branch.worker_by_name[address]
    worker.incarnation = incarnation + 1
    worker.worker = worker_id
    worker.is_up = True
    branch.register(address)


def replace(worker_id, address, is_removed=True):
    """Return a path on which a worker ends and another one takes its place."""

    async def path(recovery):
        recovery.branch.worker_by_name[WORKER].crash(restarts=False)
        await asyncio.sleep(REPLACED_SECONDS)
        if is_removed:
            recovery.branch.store.delete("servers", WORKER)
        begin_anew(recovery, worker_id, address)

    return path


async def move_in_power_failure(recovery):
    await lose_power(recovery)
    begin_anew(recovery, WORKER, SPARE)


async def fail_unregistered(recovery):
    recovery.branch.store.delete("servers", WORKER)
    await asyncio.sleep(0.2)
    fail_runs(recovery)


async def fail_cut_off_and_unregistered(recovery):
    recovery.branch.store.delete("servers", WORKER)
    await disturb(recovery, is_partitioned=True)
    await asyncio.sleep(2 * LEASE_SECONDS)
    recovery.branch.register(WORKER)


async def fail_unreadable(recovery):
    recovery.branch.store.put("servers", WORKER, UNREADABLE)
    await asyncio.sleep(0.2)
    fail_runs(recovery)


async def fail_unreadable_and_back(recovery):
    await fail_unreadable(recovery)
    await asyncio.sleep(DISTURBED_SECONDS)
    recovery.branch.register(WORKER)


async def fail_with_other_born_registered(recovery):
    worker = recovery.branch.worker_by_name[WORKER]
    worker.incarnation += 1
    recovery.branch.register(WORKER)
    worker.incarnation -= 1
    await asyncio.sleep(0.2)
    fail_runs(recovery)


async def fail_behind_many_ends(recovery):
    worker = recovery.branch.worker_by_name[WORKER]
    set_faults(recovery, lost_response_probability=0.5)
    for number in range(2 * MAX_ENDS_PER_REPLY + 1):
        worker._end_count += 1
        end = (worker._end_count, f"{number:016x}.0.0.0", 1, "stopped", "")
        worker._unacknowledged_ends.append(end)
    fail_runs(recovery)
    await asyncio.sleep(DISTURBED_SECONDS)
    set_faults(recovery, lost_response_probability=0.0)


async def fail_before_restart(recovery):
    """Let the next incarnation number its ends from one again."""
    fail_runs(recovery)
    await asyncio.sleep(1.0)
    recovery.branch.worker_by_name[WORKER].crash()
    recovery.branch.register(WORKER)
    await asyncio.sleep(1.0)
    fail_runs(recovery)


PATHS = {
    "fail": fail,
    "cut_off": fail_cut_off,
    "replies_lost": fail_replies_lost,
    "half_of_replies_lost": fail_half_of_replies_lost,
    "refusing": fail_refusing,
    "replies_late": fail_replies_late,
    "orders_late": fail_orders_late,
    **{f"no_{name}": fail_with(calls, 0) for name, calls in CALLS.items()},
    **{f"503_{name}": fail_with(calls, 503) for name, calls in CALLS.items()},
    "crash": crash,
    "power": lose_power,
    "restart": restart,
    "restart_again": restart_again_and_again,
    "restart_cut_off": restart_while_cut_off,
    "same_id_other_address": replace(WORKER, SPARE),
    "same_id_other_address_kept": replace(WORKER, SPARE, is_removed=False),
    "other_id_same_address": replace(SPARE, WORKER),
    "other_id_same_address_kept": replace(SPARE, WORKER, is_removed=False),
    "other_id_other_address": replace(SPARE, SPARE),
    "moved_in_power_failure": move_in_power_failure,
    "unregistered": fail_unregistered,
    "cut_off_unregistered": fail_cut_off_and_unregistered,
    "unreadable": fail_unreadable,
    "unreadable_and_back": fail_unreadable_and_back,
    "other_born": fail_with_other_born_registered,
    "many_ends": fail_behind_many_ends,
    "before_restart": fail_before_restart,
}


async def no_takeover(recovery):
    pass


async def kill_holder(recovery):
    holder = recovery.holder
    await recovery.branch.kill_entry(holder)
    await recovery.branch.wait_until(lambda: recovery.holder not in (holder, None), 8)
    recovery.branch.start_entry(holder)


async def take_over_there_and_back(recovery):
    await kill_holder(recovery)
    await asyncio.sleep(1.0)
    await kill_holder(recovery)


async def stop_holder(recovery):
    holder = recovery.holder
    await recovery.branch.stop_entry(holder)
    await recovery.branch.wait_until(lambda: recovery.holder not in (holder, None), 8)
    recovery.branch.start_entry(holder)


async def begin_term_again(recovery):
    """Let the holder restart, so that its own next incarnation takes over."""
    holder = recovery.holder
    await recovery.branch.kill_entry(holder)
    recovery.branch.start_entry(holder)
    await asyncio.sleep(1.0)


TAKEOVERS = {
    "same_holder": no_takeover,
    "killed": kill_holder,
    "there_and_back": take_over_there_and_back,
    "stopped": stop_holder,
    "own_term": begin_term_again,
}


@pytest.mark.parametrize("takeover", TAKEOVERS)
@pytest.mark.parametrize("path", PATHS)
@on_virtual_time
async def test_task_waits_once_its_run_has_ended(path, takeover):
    async with recovering(EQUAL_PAIR) as recovery:
        with recovery.disturbances.disturbed():
            await asyncio.gather(PATHS[path](recovery), TAKEOVERS[takeover](recovery))
