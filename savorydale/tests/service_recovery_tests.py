"""Tasks of services are back in time after the lease holder and workers were disturbed.

The bound is that of `service_watch`. Guarded failures: nobody schedules for long, the
end of a worker's lease is noticed late, and a task that was requeued is not placed.
"""

import asyncio

import pytest

from savorydale.exceptions import StoreUnreachableError
from savorydale.jobs.model import StepSpec
from savorydale.orders.interface import Unanswered
from savorydale.tests import branch as branch_module
from savorydale.tests.branch import LEASE_MAX_MS, STORE_LATENCY_SECONDS
from savorydale.tests.frozen_entries import slow_down
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.recovery import EQUAL_PAIR, SERVICE, recovering
from standins.task_worker import CRASHED_SECONDS, INITIAL_CAPACITY, Plan

LEASE_SECONDS = LEASE_MAX_MS / 1000
STORE_GRACE_SECONDS = 2.0  # registrations are back this long after the store
MAX_TAKEOVER_SECONDS = 4.0  # the lease lapses after 2 s, then others poll and load
SLOW_STORE_SECONDS = 0.24  # 60 times the usual latency
EQUAL_EIGHT = (1.0,) * 8
GROWING_CHAIN = (0.25, 0.5, 1.0, 2.0, 4.0, 8.0)
FLEETS = (EQUAL_PAIR, EQUAL_EIGHT, GROWING_CHAIN)
FLEET_NAMES = ("pair", "eight", "chain")


# Nobody schedules


@pytest.mark.parametrize("processors", FLEETS, ids=FLEET_NAMES)
@pytest.mark.parametrize("seconds", [1.0, 7.0])
@on_virtual_time
async def test_tasks_are_back_after_holders_were_killed_in_a_row(processors, seconds):
    async with recovering(processors) as recovery:
        with recovery.disturbances.disturbed():
            for _ in range(len(processors) - 1):
                holder = recovery.holder
                await recovery.branch.kill_entry(holder)
                await asyncio.sleep(seconds)
                recovery.branch.start_entry(holder)
                await asyncio.sleep(1.0)


@pytest.mark.parametrize("processors", FLEETS, ids=FLEET_NAMES)
@pytest.mark.parametrize("seconds", [1.9, 12.0])
@on_virtual_time
async def test_tasks_are_back_after_the_holder_was_frozen(processors, seconds):
    async with recovering(processors) as recovery:
        with recovery.disturbances.disturbed():
            gate = recovery.gate_by_entry[recovery.holder]
            gate.freeze()
            await asyncio.sleep(seconds)
            gate.thaw()


@pytest.mark.parametrize("processors", FLEETS, ids=FLEET_NAMES)
@on_virtual_time
async def test_tasks_are_back_after_all_entries_were_frozen(processors):
    async with recovering(processors) as recovery:
        with recovery.disturbances.disturbed():
            for gate in recovery.gate_by_entry.values():
                gate.freeze()
            await asyncio.sleep(8.0)
            for gate in recovery.gate_by_entry.values():
                gate.thaw()


@pytest.mark.parametrize("processors", FLEETS, ids=FLEET_NAMES)
@on_virtual_time
async def test_tasks_are_back_after_the_holder_was_cut_off_from_the_store(processors):
    async with recovering(processors) as recovery:
        with recovery.disturbances.disturbed():
            holder = recovery.holder
            recovery.set_store_faults([holder], is_partitioned=True)
            await asyncio.sleep(10.0)
            recovery.set_store_faults([holder], is_partitioned=False)


@pytest.mark.parametrize("processors", FLEETS, ids=FLEET_NAMES)
@pytest.mark.parametrize("kills_holder", [False, True])
@on_virtual_time
async def test_tasks_are_back_after_workers_were_cut_off(processors, kills_holder):
    async with recovering(processors) as recovery:
        workers = list(recovery.branch.worker_by_name)
        entries = recovery.entries
        with recovery.disturbances.disturbed():
            recovery.cut_workers(entries, workers)
            if kills_holder:
                await recovery.branch.kill_entry(recovery.holder)
            await asyncio.sleep(2 * LEASE_SECONDS)
            recovery.cut_workers(entries, workers, is_cut=False)


@pytest.mark.parametrize("processors", FLEETS, ids=FLEET_NAMES)
@on_virtual_time
async def test_tasks_are_back_after_all_entries_were_slow(processors):
    async with recovering(processors) as recovery:
        with recovery.disturbances.disturbed():
            await asyncio.gather(
                *(
                    slow_down(gate, 12.0, frozen=0.3, awake=0.05)
                    for gate in recovery.gate_by_entry.values()
                )
            )


@pytest.mark.parametrize("processors", FLEETS, ids=FLEET_NAMES)
@pytest.mark.parametrize(
    "faults",
    [{"lost_response_probability": 0.5}, {"refuses": True}],
    ids=["lost", "refused"],
)
@on_virtual_time
async def test_tasks_are_back_after_a_takeover_with_store_faults(processors, faults):
    async with recovering(processors) as recovery:
        entries = recovery.entries
        with recovery.disturbances.disturbed():
            recovery.set_store_faults(entries, **faults)
            await recovery.branch.kill_entry(recovery.holder)
            await asyncio.sleep(8.0)
            recovery.set_store_faults(
                entries, lost_response_probability=0.0, refuses=False
            )


@pytest.mark.parametrize("processors", FLEETS, ids=FLEET_NAMES)
@on_virtual_time
async def test_tasks_are_back_after_a_takeover_with_a_slow_store(processors):
    async with recovering(processors) as recovery:
        with recovery.disturbances.disturbed():
            recovery.branch.store_latency_seconds = SLOW_STORE_SECONDS
            await recovery.branch.kill_entry(recovery.holder)
            await asyncio.sleep(10.0)
            recovery.branch.store_latency_seconds = 0.004


@pytest.mark.parametrize("processors", FLEETS, ids=FLEET_NAMES)
@on_virtual_time
async def test_tasks_are_back_after_registrations_were_lost(processors):
    async with recovering(processors) as recovery:
        branch = recovery.branch
        entries = recovery.entries
        with recovery.disturbances.disturbed():
            recovery.set_store_faults(entries, is_partitioned=True)
            for worker in branch.worker_by_name:
                branch.store.delete("servers", worker)
            await branch.kill_entry(recovery.holder)
            await asyncio.sleep(8.0)
            recovery.set_store_faults(entries, is_partitioned=False)
            await asyncio.sleep(STORE_GRACE_SECONDS)
            for worker in branch.worker_by_name:
                branch.register(worker)


@on_virtual_time
async def test_tasks_are_back_after_a_takeover_on_a_large_fleet():
    step = SERVICE._replace(task_count=250, max_per_worker=1)
    async with recovering(EQUAL_PAIR, 260, step) as recovery:
        branch = recovery.branch
        with recovery.disturbances.disturbed():
            for entry in recovery.entries:
                for worker in branch.worker_by_name:
                    path = branch.faults_between(entry, f"{worker}:80")
                    path.reply_delay_seconds = 0.3
            await branch.kill_entry(recovery.holder)
            await asyncio.sleep(8.0)
            for path in branch._faults.values():
                path.reply_delay_seconds = 0.0


async def raise_token_of(recovery, worker):
    """Let the answer to a start order of a worker be lost, so that its token rises."""
    orders = recovery.branch.entry_by_name[recovery.holder]._orders
    start = orders.start

    async def lose_answer(target, order):
        outcome = await start(target, order)
        return Unanswered("lost") if target.worker == worker else outcome

    orders.start = lose_answer
    job = "00000000000000b1"
    await recovery.branch.submit(recovery.holder, job, SERVICE._replace(task_count=8))
    await asyncio.sleep(2.0)
    await recovery.branch.entry_by_name[recovery.holder].job_store.cancel(job, 2.0)
    await asyncio.sleep(2.0)
    orders.start = start


@on_virtual_time
async def test_term_goes_on_when_a_worker_left_and_returned():
    # The worker was not restarted and remembers the fencing token.
    async with recovering() as recovery:
        branch = recovery.branch
        await raise_token_of(recovery, "w0")
        with recovery.disturbances.disturbed():
            recovery.cut_workers(recovery.entries, ["w0"])
            branch.store.delete("servers", "w0")
            await asyncio.sleep(2 * LEASE_SECONDS)
            recovery.cut_workers(recovery.entries, ["w0"], is_cut=False)
            branch.register("w0")
    assert branch.counters.count("lease.lost") == 0


@pytest.mark.parametrize("processors", [(1.0,), EQUAL_PAIR], ids=["one", "two"])
@on_virtual_time
async def test_tasks_are_back_after_a_lease_that_could_not_be_released(processors):
    # Every entry gives up its lease while the store is out, and resumes the same one.
    async with recovering(processors) as recovery:
        await raise_token_of(recovery, "w0")
        gates = list(recovery.gate_by_entry.values())
        with recovery.disturbances.disturbed():
            entries = recovery.entries
            slow = [
                asyncio.create_task(slow_down(gate, 8.0, frozen=0.3, awake=0.05))
                for gate in gates
            ]
            await asyncio.sleep(3.0)
            recovery.set_store_faults(entries, is_partitioned=True)
            await asyncio.gather(*slow)
            recovery.set_store_faults(entries, is_partitioned=False)
    assert recovery.branch.counters.count("lease.lost") <= len(processors)


def refuse_reads(entry, table):
    """Let an entry's reads of one table fail, while it can write."""
    read_range = entry._store.read_range

    async def read_or_fail(name, *args, **options):
        if name == table:
            await asyncio.sleep(STORE_LATENCY_SECONDS)
            raise StoreUnreachableError("status 503")
        return await read_range(name, *args, **options)

    entry._store.read_range = read_or_fail


@pytest.mark.parametrize("table", ["steps", "servers"])
@on_virtual_time
async def test_entry_that_cannot_read_a_table_leaves_the_lease_to_another(table):
    async with recovering() as recovery:
        branch = recovery.branch
        holder = recovery.holder
        other = next(name for name in recovery.entries if name != holder)
        refuse_reads(branch.entry_by_name[other], table)
        with recovery.disturbances.disturbed():
            await branch.kill_entry(holder)
            await asyncio.sleep(3.0)
            branch.start_entry(holder)
        await asyncio.sleep(2 * LEASE_SECONDS)


# The end of a worker's lease is noticed late


@pytest.mark.parametrize(
    ("is_registered", "delay_seconds"),
    [(True, 0.0), (True, 2.0), (False, 2.0)],
    ids=["at_once", "later", "unregistered"],
)
@on_virtual_time
async def test_tasks_of_an_ended_worker_are_back_after_a_takeover(
    is_registered, delay_seconds
):
    async with recovering() as recovery:
        branch = recovery.branch
        with recovery.disturbances.disturbed():
            branch.worker_by_name["w0"].crash(restarts=False)
            if not is_registered:
                branch.store.delete("servers", "w0")
            await asyncio.sleep(delay_seconds)
            await branch.kill_entry(recovery.holder)


@on_virtual_time
async def test_tasks_of_an_ended_worker_are_back_after_takeovers_in_a_row():
    async with recovering(EQUAL_EIGHT) as recovery:
        branch = recovery.branch
        with recovery.disturbances.disturbed():
            branch.worker_by_name["w0"].crash(restarts=False)
            for _ in range(3):
                holder = recovery.holder
                await branch.kill_entry(holder)
                await branch.wait_until(lambda h=holder: recovery.holder != h, 6)
                await asyncio.sleep(0.5)


@pytest.mark.parametrize("kills_holder", [False, True])
@on_virtual_time
async def test_tasks_are_back_once_another_worker_is_at_the_address(kills_holder):
    # Nothing more is to be awaited: the other worker refuses orders for the old one,
    # whose registration has not lapsed yet.
    async with recovering() as recovery:
        branch = recovery.branch
        branch.renames_crashed_workers = True
        registration = branch.store.value("servers", "w0")
        with recovery.disturbances.disturbed():
            branch.worker_by_name["w0"].crash(restarts=False)
            branch.spawn(branch._bring_back("w0"))
            if kills_holder:
                await branch.kill_entry(recovery.holder)
            await asyncio.sleep(CRASHED_SECONDS + 0.1)
            branch.store.put("servers", "w0", registration)
    takeover_seconds = MAX_TAKEOVER_SECONDS if kills_holder else 0.0
    max_seconds = max(CRASHED_SECONDS, takeover_seconds) + 1.0
    assert recovery.watch.longest_seconds <= max_seconds


@pytest.mark.parametrize("seconds", [0.6, 1.0, 2.0])
@on_virtual_time
async def test_tasks_are_back_from_a_worker_that_answers_slowly(seconds):
    async with recovering() as recovery:
        entries = recovery.entries
        with recovery.disturbances.disturbed():
            for entry in entries:
                path = recovery.branch.faults_between(entry, "w0:80")
                path.reply_delay_seconds = seconds
            await recovery.branch.kill_entry(recovery.holder)
            await asyncio.sleep(2 * LEASE_SECONDS)
            for entry in entries:
                path = recovery.branch.faults_between(entry, "w0:80")
                path.reply_delay_seconds = 0.0


# Requeued, but not placed


async def submit_batch_jobs(recovery, seconds):
    """Submit batch jobs in a steady flow."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    step = StepSpec(4, 1000, 100, estimate_ms=500)
    number = 0
    while loop.time() < end_at:
        job = f"b{number:015x}"
        recovery.watch.add_job(job, [step])
        await recovery.branch.submit("e0", job, step)
        number += 1
        await asyncio.sleep(0.15)


def batch_succeeds(task, run):
    return Plan(0.5) if task.startswith("b") else Plan(None)


def batch_fails(task, run):
    return Plan(0.5, "failed") if task.startswith("b") else Plan(None)


@pytest.mark.parametrize("plan", [batch_succeeds, batch_fails])
@on_virtual_time
async def test_tasks_are_back_beside_a_steady_flow_of_batch_jobs(plan):
    step = SERVICE._replace(task_count=3, cpu_millicores=1500, max_per_worker=1)
    async with recovering(EQUAL_PAIR, 5, step, plan=plan) as recovery:
        flow = asyncio.create_task(submit_batch_jobs(recovery, 20.0))
        await asyncio.sleep(4.0)
        with recovery.disturbances.disturbed():
            recovery.branch.worker_by_name["w0"].crash()
            recovery.branch.worker_by_name["w1"].crash()
            recovery.branch.register("w0")
            recovery.branch.register("w1")
        await flow


# A run is not started twice meanwhile


@pytest.mark.parametrize("is_split", [False, True], ids=["near", "split"])
@on_virtual_time
async def test_run_that_a_replaced_holder_still_renews_is_not_started_again(is_split):
    # If split, the holder and one worker are cut off from everything else.
    async with recovering() as recovery:
        holder = recovery.holder
        other = next(name for name in recovery.entries if name != holder)
        far_workers = ["w1", "w2", "w3"] if is_split else []
        with recovery.disturbances.disturbed():
            recovery.set_store_faults([holder], is_partitioned=True)
            recovery.cut_workers([holder], far_workers)
            recovery.cut_workers([other], ["w0"])
            await asyncio.sleep(4 * LEASE_SECONDS)
            recovery.set_store_faults([holder], is_partitioned=False)
            recovery.cut_workers([holder], far_workers, is_cut=False)
            recovery.cut_workers([other], ["w0"], is_cut=False)


@pytest.mark.parametrize("is_silent", [False, True], ids=["refusing", "silent"])
@pytest.mark.parametrize(
    ("lease_max_ms", "seconds"),
    [(6_000, 0.0), (10_000, 0.0), (10_000, 0.5), (10_000, 2.0), (30_000, 0.1)],
)
def test_tasks_are_back_if_worker_and_holder_are_lost_on_a_platform_with_long_leases(
    lease_max_ms, is_silent, seconds, monkeypatch
):
    """Guards against a new holder that waits for as long as the platform allows."""
    monkeypatch.setattr(branch_module, "LEASE_MAX_MS", lease_max_ms)

    @on_virtual_time
    async def run():
        async with recovering() as recovery:
            worker = recovery.branch.worker_by_name["w0"]
            with recovery.disturbances.disturbed():
                recovery.cut_workers(recovery.entries, ["w0"], is_cut=is_silent)
                worker.crash(restarts=False)
                recovery.branch.store.delete("servers", "w0")
                await asyncio.sleep(seconds)
                await recovery.branch.kill_entry(recovery.holder)

    run()


@pytest.mark.parametrize("is_silent", [False, True], ids=["refusing", "silent"])
@pytest.mark.parametrize("lease_max_ms", [6_000, 10_000, 30_000])
def test_tasks_are_back_if_a_drained_worker_leaves_with_them(
    lease_max_ms, is_silent, monkeypatch
):
    """Guards against a wait for the long lease of a worker that was known to leave."""
    monkeypatch.setattr(branch_module, "LEASE_MAX_MS", lease_max_ms)

    @on_virtual_time
    async def run():
        async with recovering() as recovery:
            branch = recovery.branch
            others = [name for name in branch.worker_by_name if name != "w0"]
            for name in others:
                branch.set_capacity(name, cpu=100)  # no task finds another place
            branch.register("w0", "draining")
            await asyncio.sleep(lease_max_ms / 1000 + 1.0)
            with recovery.disturbances.disturbed():
                recovery.cut_workers(recovery.entries, ["w0"], is_cut=is_silent)
                branch.worker_by_name["w0"].crash(restarts=False)
                branch.store.delete("servers", "w0")
            for name in others:
                branch.set_capacity(name, cpu=INITIAL_CAPACITY["cpu"])

    run()
