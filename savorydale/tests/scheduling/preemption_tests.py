import asyncio

from savorydale.scheduling.placement import compute_loads
from savorydale.scheduling.preemption import Preemption, plan_preemption
from savorydale.scheduling.tasks import Task, group_by_worker
from savorydale.tests.fakes import make_vm
from savorydale.tests.harness import on_virtual_time, open_cluster, tree, wait_until
from savorydale.tests.scheduling.scheduler_tests import (
    completions,
    running_copies,
    submit,
)
from savorydale.workers.interface import Demand


def make_task(name, processors, worker=None, kind="job", urgent=False):
    demand = Demand(processors, 1.0, 0)
    return Task(name, kind, name, 0, demand, 10.0, urgent=urgent, worker=worker)


def plan_on_two_vms(task, tasks):
    vms = [make_vm("w0"), make_vm("w1")]
    return plan_preemption(task, vms, compute_loads(tasks), group_by_worker(tasks))


def test_the_fewest_runs_are_preempted():
    small = [make_task(f"s{n}", 8.0, "w0") for n in range(4)]
    large = [make_task(f"l{n}", 16.0, "w1") for n in range(2)]
    urgent = make_task("u", 16.0, urgent=True)
    preemption = plan_on_two_vms(urgent, small + large)
    assert preemption == Preemption("w1", ("l0",))


def test_services_and_urgent_runs_are_never_preempted():
    tasks = [
        make_task("u0", 32.0, "w0", urgent=True),
        make_task("s", 32.0, "w1", "service"),
    ]
    assert plan_on_two_vms(make_task("u1", 1.0, urgent=True), tasks) is None


def full_cluster_tree(**urgent_values):
    nodes = tree(replicas=1, run_seconds=100, processors=15.0)
    nodes["hq/ga/counts/report"] = {
        "kind": "job",
        "values": {"urgent": True, "run_seconds": 20, **urgent_values},
    }
    return nodes


async def submit_batch_runs(cluster, count):
    runs = [await submit(cluster, f"b{number}") for number in range(count)]
    await asyncio.sleep(10)
    return runs


@on_virtual_time
async def test_an_urgent_run_starts_on_full_workers():
    async with open_cluster(nodes=full_cluster_tree(processors=12.0)) as cluster:
        batch = await submit_batch_runs(cluster, 12)
        running = [run for run in batch if running_copies(cluster, run)]
        assert len(running) == 8
        urgent = await submit(cluster, "now", "report")
        await wait_until(lambda: running_copies(cluster, urgent) == 1, 7.1)
        await wait_until(lambda: set(batch) <= set(cluster.history()), 2000)
        assert completions(cluster, urgent) == 1
        assert all(completions(cluster, run) == 1 for run in batch)
        evicted = [run for run in batch if cluster.history()[run]["attempts"] > 1]
        assert len(evicted) == 1


@on_virtual_time
async def test_an_urgent_run_is_placed_elsewhere_if_a_worker_cannot_evict():
    async with open_cluster(nodes=full_cluster_tree(processors=12.0)) as cluster:
        batch = await submit_batch_runs(cluster, 8)
        frozen = cluster.worker("w0")
        frozen.frozen_until = asyncio.get_running_loop().time() + 60
        for number in range(3):
            urgent = await submit(cluster, f"now{number}", "report")
            await wait_until(lambda u=urgent: running_copies(cluster, u) == 1, 30)
        await wait_until(lambda: set(batch) <= set(cluster.history()), 2000)
        assert all(completions(cluster, run) == 1 for run in batch)


@on_virtual_time
async def test_the_owner_of_a_rack_is_killed_during_preemption():
    async with open_cluster(nodes=full_cluster_tree(processors=12.0)) as cluster:
        batch = await submit_batch_runs(cluster, 8)
        urgent = await submit(cluster, "now", "report")
        counters = [node.entry.counters for node in cluster.nodes]
        await wait_until(
            lambda: any(item.count("preemption.planned") for item in counters), 5
        )
        planner = next(
            node
            for node in cluster.nodes
            if node.entry.counters.count("preemption.planned")
        )
        await planner.kill()
        await wait_until(lambda: urgent in cluster.history(), 120)
        assert completions(cluster, urgent) == 1
        await wait_until(lambda: set(batch) <= set(cluster.history()), 2000)
        assert all(completions(cluster, run) == 1 for run in batch)


async def remove_during_preemption(removal_delay_seconds):
    async with open_cluster(nodes=full_cluster_tree(processors=12.0)) as cluster:
        await submit_batch_runs(cluster, 8)
        for worker in cluster.all_workers():
            worker.command_delay_seconds = 0.6
        entry = cluster.nodes[0].entry
        path = "hq/ga/counts/lines"
        values = {"urgent": True, "processors": 12.0, "replicas": 1}
        version = await entry.accept_settings(
            entry.settings.tree.version, {path: {"kind": "service", "values": values}}
        )
        await asyncio.sleep(removal_delay_seconds)
        await entry.accept_settings(version, {path: None})
        await asyncio.sleep(20)
        rows = cluster.platform.table.scan("racks/").values()
        assert not any("lines.0" in row["tasks"] for row, _ in rows)
        assert not any(
            worker.tasks.runs_service("lines") for worker in cluster.all_workers()
        )


@on_virtual_time
async def test_a_service_that_is_removed_during_preemption_never_runs():
    for seconds in (0.0, 0.3, 0.8):
        await remove_during_preemption(seconds)
