import asyncio
from typing import NamedTuple

from savorydale.scheduling.tasks import Task
from savorydale.scheduling.team_usage import TeamUsage
from savorydale.tests.harness import on_virtual_time, open_cluster, tree, wait_until
from savorydale.tests.scheduling.scheduler_tests import running_copies, submit
from savorydale.workers.interface import Demand


class Item(NamedTuple):
    task: Task


def make(name, team, processors=1.0, kind="job", urgent=False):
    demand = Demand(processors, 1.0, 0)
    return Task(name, kind, name, 0, demand, 10.0, urgent=urgent, team=team)


def test_a_long_queue_does_not_hold_up_the_other_team():
    queue = [Item(make(f"a{n}", "a")) for n in range(100)]
    queue += [Item(make(f"b{n}", "b")) for n in range(3)]
    order = [item.task.id for item in TeamUsage([]).in_start_order(queue)]
    assert max(order.index(f"b{n}") for n in range(3)) < 6
    assert sorted(order) == sorted(item.task.id for item in queue)


def test_what_runs_counts_and_urgent_work_and_services_go_first():
    usage = TeamUsage([make(f"r{n}", "a", 4.0) for n in range(2)])
    queue = [
        Item(make("a", "a")),
        Item(make("b", "b", 5.0)),
        Item(make("s", "a", kind="service")),
        Item(make("u", "a", urgent=True)),
    ]
    assert [item.task.id for item in usage.in_start_order(queue)] == [
        "u",
        "s",
        "b",
        "a",
    ]


def test_a_quota_is_used_up_to_its_last_processor_and_no_further():
    usage = TeamUsage([make("r", "a", 4.0)])
    assert usage.fits_quota(make("x", "a", 4.0), 8.0)
    usage.add(make("x", "a", 4.0))
    assert not usage.fits_quota(make("y", "a", 0.5), 8.0)
    assert usage.fits_quota(make("y", "b", 8.0), 8.0)
    assert usage.fits_quota(make("y", "a", 100.0), None)


@on_virtual_time
async def test_a_team_never_runs_more_than_its_quota():
    nodes = tree(replicas=2, run_seconds=20, processors=4.0)
    nodes["hq/ga/counts"]["values"] = {"quota_processors": 10.0}
    async with open_cluster(nodes=nodes) as cluster:
        runs = [await submit(cluster, f"x{n}") for n in range(6)]
        most = 0
        while not set(runs) <= set(cluster.history()):
            most = max(most, sum(running_copies(cluster, run) for run in runs))
            await asyncio.sleep(0.2)
        assert most == 2
        owner = next(
            n for n in cluster.nodes if n.entry.counters.count("runs.submitted")
        )
        assert owner.entry.counters.count("tasks.waiting.quota")
        more = [await submit(cluster, f"y{n}") for n in range(6)]
        await asyncio.sleep(1)
        await owner.kill()
        most = 0
        while not set(more) <= set(cluster.history()):
            most = max(most, sum(running_copies(cluster, run) for run in more))
            await asyncio.sleep(0.2)
        assert most == 2


@on_virtual_time
async def test_a_raised_quota_lets_more_start():
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
