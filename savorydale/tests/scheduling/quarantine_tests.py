import asyncio

from savorydale.scheduling.quarantine import (
    FAILURES_TO_QUARANTINE,
    INITIAL_QUARANTINE_SECONDS,
    MAX_QUARANTINE_SECONDS,
    SUCCESS_AFTER_SECONDS,
    Quarantine,
)
from savorydale.tests.harness import on_virtual_time, open_cluster, tree, wait_until
from savorydale.tests.scheduling.scheduler_tests import completions, submit


def quarantine_worker(quarantine, worker="w0", now=0.0):
    for index in range(FAILURES_TO_QUARANTINE):
        quarantine.record_failure(worker, f"job{index}", now)


def test_a_worker_that_fails_different_jobs_is_quarantined_then_on_trial():
    quarantine = Quarantine()
    quarantine_worker(quarantine)
    assert not quarantine.allows_placement("w0", 0, INITIAL_QUARANTINE_SECONDS - 1)
    assert quarantine.allows_placement("w1", 5, 0.0)
    assert quarantine.allows_placement("w0", 0, INITIAL_QUARANTINE_SECONDS)
    assert not quarantine.allows_placement("w0", 1, INITIAL_QUARANTINE_SECONDS)


def test_a_failed_trial_doubles_the_quarantine_up_to_a_limit():
    quarantine = Quarantine()
    quarantine_worker(quarantine)
    assert quarantine.record_failure("w0", "other", 100.0)
    assert not quarantine.allows_placement(
        "w0", 0, 100.0 + 2 * INITIAL_QUARANTINE_SECONDS - 1
    )
    assert quarantine.allows_placement("w0", 0, 100.0 + 2 * INITIAL_QUARANTINE_SECONDS)
    for index in range(1, 20):
        quarantine.record_failure("w0", f"more{index}", 1000.0 * index)
    assert not quarantine.allows_placement(
        "w0", 0, 19_000.0 + MAX_QUARANTINE_SECONDS - 1
    )
    assert quarantine.allows_placement("w0", 0, 19_000.0 + MAX_QUARANTINE_SECONDS)


def test_failures_of_tasks_placed_before_the_quarantine_do_not_extend_it():
    quarantine = Quarantine()
    quarantine_worker(quarantine)
    assert not quarantine.record_failure("w0", "late", 1.0)
    assert quarantine.allows_placement("w0", 0, INITIAL_QUARANTINE_SECONDS)


def test_a_job_that_fails_on_several_workers_quarantines_none():
    quarantine = Quarantine()
    for index in range(12):
        assert not quarantine.record_failure(f"w{index % 4}", "bad", 0.0)
    assert all(quarantine.allows_placement(f"w{n}", 9, 0.0) for n in range(4))


def test_failures_count_against_the_worker_after_success_elsewhere():
    quarantine = Quarantine()
    quarantine.record_failure("w0", "a", 0.0)
    quarantine.record_failure("w1", "a", 0.0)
    quarantine.record_success("w2", "a")
    quarantine.record_failure("w0", "a", 0.0)
    assert quarantine.record_failure("w0", "a", 0.0)


def test_a_task_that_runs_long_enough_ends_the_trial():
    quarantine = Quarantine()
    quarantine_worker(quarantine)
    quarantine.record_start("a@1", 50.0)
    quarantine.record_running("w0", "a", "a@1", 50.0 + SUCCESS_AFTER_SECONDS - 1)
    assert quarantine.is_restricted("w0")
    quarantine.record_running("w0", "a", "a@1", 50.0 + SUCCESS_AFTER_SECONDS)
    assert not quarantine.is_restricted("w0")
    assert quarantine.allows_placement("w0", 9, 50.0)


@on_virtual_time
async def test_a_failing_worker_gets_few_tasks_and_its_runs_end_elsewhere():
    nodes = tree(replicas=1, run_seconds=5, max_attempts=5, processors=8.0)
    async with open_cluster(nodes=nodes, worker_count=4, racks=1) as cluster:
        failing_worker = cluster.worker("w3")
        failing_worker.fail_all = True
        runs = [await submit(cluster, f"x{index}") for index in range(40)]
        await wait_until(lambda: set(runs) <= set(cluster.history()), 120)
        assert all(completions(cluster, run) == 1 for run in runs)
        failed = sum(n.entry.counters.count("tasks.failed") for n in cluster.nodes)
        assert failed <= FAILURES_TO_QUARANTINE + 3
        assert sum(n.entry.counters.count("workers.quarantined") for n in cluster.nodes)
        failing_worker.fail_all = False
        await asyncio.sleep(260)
        runs = [await submit(cluster, f"y{index}") for index in range(60)]
        await wait_until(lambda: set(runs) <= set(cluster.history()), 200)
        assert sum(failing_worker.tasks.completions.values()) > 5


@on_virtual_time
async def test_a_job_that_fails_everywhere_ends_and_quarantines_no_worker():
    nodes = tree(replicas=1, run_seconds=5, max_attempts=4)
    async with open_cluster(nodes=nodes, worker_count=4, racks=1) as cluster:
        for worker in cluster.all_workers():
            worker.refused_names = {"roll"}
        runs = [await submit(cluster, f"x{index}") for index in range(6)]
        await wait_until(lambda: set(runs) <= set(cluster.history()), 300)
        results = [cluster.history()[run]["result"] for run in runs]
        assert all(result.startswith("failed: ") for result in results)
        for node in cluster.nodes:
            assert not node.entry.counters.count("workers.quarantined")
