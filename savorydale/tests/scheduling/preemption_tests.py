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


def make(name, processors, worker=None, kind="job", urgent=False):
    demand = Demand(processors, 1.0, 0)
    return Task(name, kind, name, 0, demand, 10.0, urgent=urgent, worker=worker)


def plan(task, tasks):
    vms = [make_vm("w0"), make_vm("w1")]
    return plan_preemption(task, vms, compute_loads(tasks), group_by_worker(tasks))


def test_the_fewest_runs_make_room():
    small = [make(f"s{n}", 8.0, "w0") for n in range(4)]
    large = [make(f"l{n}", 16.0, "w1") for n in range(2)]
    urgent = make("u", 16.0, urgent=True)
    preemption = plan(urgent, small + large)
    assert preemption == Preemption("w1", ("l0",))


def test_services_and_urgent_runs_never_make_room():
    tasks = [make("u0", 32.0, "w0", urgent=True), make("s", 32.0, "w1", "service")]
    assert plan(make("u1", 1.0, urgent=True), tasks) is None


def busy_tree(**urgent_values):
    nodes = tree(replicas=1, run_seconds=100, processors=15.0)
    nodes["hq/ga/counts/report"] = {
        "kind": "job",
        "values": {"urgent": True, "run_seconds": 20, **urgent_values},
    }
    return nodes


async def fill(cluster, count):
    runs = [await submit(cluster, f"b{number}") for number in range(count)]
    await asyncio.sleep(10)
    return runs


@on_virtual_time
async def test_an_urgent_run_starts_though_every_worker_is_full():
    async with open_cluster(nodes=busy_tree(processors=12.0)) as cluster:
        batch = await fill(cluster, 12)
        busy = [run for run in batch if running_copies(cluster, run)]
        assert len(busy) == 8
        urgent = await submit(cluster, "now", "report")
        await wait_until(lambda: running_copies(cluster, urgent) == 1, 7.1)
        await wait_until(lambda: set(batch) <= set(cluster.history()), 2000)
        assert completions(cluster, urgent) == 1
        assert all(completions(cluster, run) == 1 for run in batch)
        moved = [run for run in batch if cluster.history()[run]["attempts"] > 1]
        assert len(moved) == 1


@on_virtual_time
async def test_an_urgent_run_goes_elsewhere_when_a_worker_makes_no_room():
    async with open_cluster(nodes=busy_tree(processors=12.0)) as cluster:
        batch = await fill(cluster, 8)
        stuck = cluster.worker("w0")
        stuck.frozen_until = asyncio.get_running_loop().time() + 60
        for number in range(3):
            urgent = await submit(cluster, f"now{number}", "report")
            await wait_until(lambda u=urgent: running_copies(cluster, u) == 1, 30)
        await wait_until(lambda: set(batch) <= set(cluster.history()), 2000)
        assert all(completions(cluster, run) == 1 for run in batch)


@on_virtual_time
async def test_the_owner_of_a_rack_dies_while_room_is_made():
    async with open_cluster(nodes=busy_tree(processors=12.0)) as cluster:
        batch = await fill(cluster, 8)
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


async def remove_while_room_is_made(seconds_until_removed):
    async with open_cluster(nodes=busy_tree(processors=12.0)) as cluster:
        await fill(cluster, 8)
        for worker in cluster.all_workers():
            worker.command_delay = 0.6
        entry = cluster.nodes[0].entry
        path = "hq/ga/counts/lines"
        values = {"urgent": True, "processors": 12.0, "replicas": 1}
        version = await entry.accept_settings(
            entry.settings.tree.version, {path: {"kind": "service", "values": values}}
        )
        await asyncio.sleep(seconds_until_removed)
        await entry.accept_settings(version, {path: None})
        await asyncio.sleep(20)
        rows = cluster.platform.table.scan("racks/").values()
        assert not any("lines.0" in row["tasks"] for row, _ in rows)
        assert not any(
            worker.tasks.runs_service("lines") for worker in cluster.all_workers()
        )


@on_virtual_time
async def test_a_service_that_is_removed_while_room_is_made_never_runs():
    for seconds in (0.0, 0.3, 0.8):
        await remove_while_room_is_made(seconds)
