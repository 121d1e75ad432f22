import asyncio
from typing import NamedTuple

from savorydale.scheduling.tasks import Task
from savorydale.scheduling.team_usage import TeamUsage
from savorydale.tests.harness import on_virtual_time, open_cluster, tree, wait_until
from savorydale.tests.scheduling.scheduler_tests import running_copies, submit
from savorydale.workers.interface import Demand


class WaitingItem(NamedTuple):
    task: Task


def make_task(name, team, processors=1.0, kind="job", urgent=False):
    demand = Demand(processors, 1.0, 0)
    return Task(name, kind, name, 0, demand, 10.0, urgent=urgent, team=team)


def test_a_long_queue_does_not_delay_another_team():
    queue = [WaitingItem(make_task(f"a{n}", "a")) for n in range(100)]
    queue += [WaitingItem(make_task(f"b{n}", "b")) for n in range(3)]
    order = [item.task.id for item in TeamUsage([]).in_start_order(queue)]
    assert max(order.index(f"b{n}") for n in range(3)) < 6
    assert sorted(order) == sorted(item.task.id for item in queue)


def test_running_tasks_count_and_urgent_tasks_and_services_come_first():
    usage = TeamUsage([make_task(f"r{n}", "a", 4.0) for n in range(2)])
    queue = [
        WaitingItem(make_task("a", "a")),
        WaitingItem(make_task("b", "b", 5.0)),
        WaitingItem(make_task("s", "a", kind="service")),
        WaitingItem(make_task("u", "a", urgent=True)),
    ]
    assert [item.task.id for item in usage.in_start_order(queue)] == [
        "u",
        "s",
        "b",
        "a",
    ]


def test_a_quota_can_be_used_in_full_but_not_exceeded():
    usage = TeamUsage([make_task("r", "a", 4.0)])
    assert usage.fits_quota(make_task("x", "a", 4.0), 8.0)
    usage.add(make_task("x", "a", 4.0))
    assert not usage.fits_quota(make_task("y", "a", 0.5), 8.0)
    assert usage.fits_quota(make_task("y", "b", 8.0), 8.0)
    assert usage.fits_quota(make_task("y", "a", 100.0), None)


@on_virtual_time
async def test_a_team_never_exceeds_its_quota():
    nodes = tree(replicas=2, run_seconds=20, processors=4.0)
    nodes["hq/ga/counts"]["values"] = {"quota_processors": 10.0}
    async with open_cluster(nodes=nodes) as cluster:
        runs = [await submit(cluster, f"x{n}") for n in range(6)]
        max_running = 0
        while not set(runs) <= set(cluster.history()):
            max_running = max(
                max_running, sum(running_copies(cluster, run) for run in runs)
            )
            await asyncio.sleep(0.2)
        assert max_running == 2
        owner = next(
            n for n in cluster.nodes if n.entry.counters.count("runs.submitted")
        )
        assert owner.entry.counters.count("tasks.waiting.quota")
        later_runs = [await submit(cluster, f"y{n}") for n in range(6)]
        await asyncio.sleep(1)
        await owner.kill()
        max_running = 0
        while not set(later_runs) <= set(cluster.history()):
            max_running = max(
                max_running, sum(running_copies(cluster, run) for run in later_runs)
            )
            await asyncio.sleep(0.2)
        assert max_running == 2


@on_virtual_time
async def test_a_raised_quota_allows_more_tasks_to_start():
    nodes = tree(replicas=1, run_seconds=200, processors=4.0)
    nodes["hq/ga/counts"]["values"] = {"quota_processors": 5.0}
    async with open_cluster(nodes=nodes) as cluster:
        runs = [await submit(cluster, f"x{n}") for n in range(4)]
        await asyncio.sleep(10)
        assert sum(running_copies(cluster, run) for run in runs) == 1
        entry = cluster.nodes[0].entry
        team = {"kind": "team", "values": {"quota_processors": 13.0}}
        await entry.accept_settings(1, {"hq/ga/counts": team})
        await wait_until(
            lambda: sum(running_copies(cluster, run) for run in runs) == 3, 5
        )
