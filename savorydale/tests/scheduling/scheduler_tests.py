import asyncio

from savorydale.exceptions import StoreOutcomeUnknownError, StoreUnreachableError
from savorydale.scheduling.owned_row import CommitResult
from savorydale.scheduling.shards import make_task
from savorydale.scheduling.tasks import OutboxMessage, outbox_key, shard_of
from savorydale.storage.interface import Condition, Write
from savorydale.tests.harness import on_virtual_time, open_cluster, tree, wait_until


async def submit(cluster, key, name="roll"):
    entry = next(n for n in cluster.nodes if not n.task.done()).entry
    job = entry.settings.tree.job_by_name[name]
    run_id = f"{name}@{key}"
    unit = f"shard/{shard_of(job.team)}"
    message = OutboxMessage("submitted", make_task(job, "job", run_id))
    write = Write(outbox_key(unit, run_id, "submitted"), message.to_json())
    await entry.table.commit([Condition(write.key, 0)], [write])
    entry.scheduler.wake(unit)
    return run_id


def completions(cluster, run_id):
    return sum(w.tasks.completions[run_id] for w in cluster.all_workers())


def running_copies(cluster, run_id):
    return sum(run_id in w.tasks.running() for w in cluster.all_workers())


@on_virtual_time
async def test_services_are_placed_on_every_worker():
    async with open_cluster(nodes=tree(replicas=4)) as cluster:
        for worker in cluster.all_workers():
            assert worker.tasks.runs_service("desk")


@on_virtual_time
async def test_a_job_scheduled_every_minute_runs_once_per_minute():
    nodes = tree(schedule="* * * * *", run_seconds=30)
    async with open_cluster(nodes=nodes) as cluster:
        await asyncio.sleep(4 * 60 + 35)
        done = [run for run in cluster.history().values() if run["result"] == "done"]
        assert len(done) == 4
        assert all(completions(cluster, run_id) == 1 for run_id in cluster.history())


@on_virtual_time
async def test_a_run_continues_when_its_owner_is_killed():
    nodes = tree(run_seconds=30)
    async with open_cluster(nodes=nodes) as cluster:
        run_id = await submit(cluster, "x")
        await wait_until(lambda: running_copies(cluster, run_id) == 1, 5)
        owner = next(
            node
            for node in cluster.nodes
            for rack in node.entry.scheduler.rack_by_unit.values()
            if run_id in rack.tasks.task_by_id
        )
        await owner.kill()
        await wait_until(lambda: run_id in cluster.history(), 60)
        assert cluster.history()[run_id]["attempts"] == 1
        assert completions(cluster, run_id) == 1


@on_virtual_time
async def test_a_run_of_a_draining_worker_resumes_elsewhere_from_its_checkpoint():
    nodes = tree(run_seconds=40)
    async with open_cluster(nodes=nodes) as cluster:
        run_id = await submit(cluster, "x")
        await wait_until(lambda: running_copies(cluster, run_id) == 1, 5)
        await asyncio.sleep(20)
        worker = next(w for w in cluster.all_workers() if run_id in w.tasks.running())
        cluster.set_vm_state(worker.vm.vm, "leaving")
        seconds = await wait_until(lambda: run_id in cluster.history(), 60)
        assert seconds < 30
        assert completions(cluster, run_id) == 1
        assert cluster.history()[run_id]["attempts"] == 2


@on_virtual_time
async def test_a_run_restarts_only_after_the_lease_of_a_lost_worker_has_lapsed():
    nodes = tree(run_seconds=300)
    async with open_cluster(nodes=nodes) as cluster:
        run_id = await submit(cluster, "x")
        await wait_until(lambda: running_copies(cluster, run_id) == 1, 5)
        worker = next(w for w in cluster.all_workers() if run_id in w.tasks.running())
        worker.unreachable = True  # its tasks run until their leases lapse
        for _ in range(1000):
            await asyncio.sleep(0.05)
            assert running_copies(cluster, run_id) <= 1
        assert running_copies(cluster, run_id) == 1
        assert run_id not in worker.tasks.running()


@on_virtual_time
async def test_a_late_heartbeat_renews_no_lease():
    nodes = tree(run_seconds=300)
    async with open_cluster(nodes=nodes) as cluster:
        run_id = await submit(cluster, "x")
        await wait_until(lambda: running_copies(cluster, run_id) == 1, 5)
        worker = next(w for w in cluster.all_workers() if run_id in w.tasks.running())
        loop = asyncio.get_running_loop()
        worker.frozen_until = loop.time() + 60
        for _ in range(2400):
            await asyncio.sleep(0.05)
            frozen = loop.time() < worker.frozen_until
            copies = running_copies(cluster, run_id) if not frozen else 1
            assert copies <= 1
        assert running_copies(cluster, run_id) == 1


@on_virtual_time
async def test_late_heartbeats_do_not_renew_the_lease_of_a_lost_run():
    async with open_cluster(nodes=tree(run_seconds=300)) as cluster:
        run_id = await submit(cluster, "x")
        await wait_until(lambda: running_copies(cluster, run_id) == 1, 5)
        worker = next(w for w in cluster.all_workers() if run_id in w.tasks.running())
        worker.command_delay_seconds = 9.0
        for _ in range(1200):
            await asyncio.sleep(0.05)
            assert running_copies(cluster, run_id) <= 1
        assert running_copies(cluster, run_id) == 1
        assert run_id not in worker.tasks.running()


@on_virtual_time
async def test_no_task_is_started_before_its_placement_is_committed():
    async with open_cluster(nodes=tree(run_seconds=60)) as cluster:
        cluster.platform.delay_seconds = 2.0
        run_id = await submit(cluster, "x")
        for _ in range(600):
            await asyncio.sleep(0.05)
            racks = [cluster.row(f"racks/r{n}") or {"tasks": {}} for n in range(2)]
            committed = any(run_id in rack["tasks"] for rack in racks)
            assert committed or running_copies(cluster, run_id) == 0
        assert running_copies(cluster, run_id) == 1


@on_virtual_time
async def test_an_entry_that_was_paused_past_its_lease_cannot_commit():
    async with open_cluster(nodes=tree()) as cluster:
        unit, rack = next(
            (unit, rack)
            for n in cluster.nodes
            for unit, rack in n.entry.scheduler.rack_by_unit.items()
        )
        node = next(n for n in cluster.nodes if unit in n.entry.scheduler.rack_by_unit)
        condition = rack.row.owned.condition()
        await node.kill()
        await asyncio.sleep(6)
        rack.row._group_commit = StaleGroupCommit(cluster, condition)
        rack.row.mark_changed()
        result = await rack.row.commit(lambda: {"tasks": {}})
        assert result is CommitResult.CONFLICT


class StaleGroupCommit:
    """Commits with conditions from before the entry was paused."""

    def __init__(self, cluster, ownership_condition):
        live_node = next(n for n in cluster.nodes if not n.task.done())
        self._table = live_node.entry.table
        self._ownership_condition = ownership_condition

    async def commit(self, conditions, writes):
        assert self._ownership_condition in conditions
        return await self._table.commit(conditions, writes)


@on_virtual_time
async def test_runs_continue_during_a_long_outage_of_the_table():
    nodes = tree(run_seconds=700)
    async with open_cluster(nodes=nodes) as cluster:
        run_id = await submit(cluster, "x")
        await wait_until(lambda: running_copies(cluster, run_id) == 1, 5)
        cluster.platform.down = True
        await asyncio.sleep(600)
        assert running_copies(cluster, run_id) == 1
        cluster.platform.down = False
        await wait_until(lambda: run_id in cluster.history(), 200)
        assert cluster.history()[run_id]["attempts"] == 1


@on_virtual_time
async def test_a_run_that_always_fails_ends_after_max_attempts():
    nodes = tree(run_seconds=5, max_attempts=3)
    async with open_cluster(nodes=nodes, worker_count=4) as cluster:
        for worker in cluster.all_workers():
            worker.fail_all = True
        run_id = await submit(cluster, "x")
        await wait_until(lambda: run_id in cluster.history(), 60)
        assert cluster.history()[run_id]["result"].startswith("failed")
        assert cluster.history()[run_id]["failures"] == 3


@on_virtual_time
async def test_no_worker_is_overcommitted():
    nodes = tree(replicas=0, run_seconds=20, processors=10.0)
    async with open_cluster(nodes=nodes, worker_count=2, racks=1) as cluster:
        runs = [await submit(cluster, str(number)) for number in range(14)]
        max_running = 0
        while len(cluster.history()) < 14:
            await asyncio.sleep(0.2)
            for worker in cluster.all_workers():
                max_running = max(max_running, len(worker.tasks.running()))
        assert max_running == 3
        assert all(completions(cluster, run_id) == 1 for run_id in runs)


@on_virtual_time
async def test_lost_responses_of_the_table_repeat_no_run():
    nodes = tree(run_seconds=5)
    async with open_cluster(nodes=nodes, seed=5) as cluster:
        cluster.platform.lost_answer_ratio = 0.3
        accepted, refused, unknown = [], [], []
        for number in range(10):
            try:
                accepted.append(await submit(cluster, str(number)))
            except StoreUnreachableError:
                refused.append(f"roll@{number}")
            except StoreOutcomeUnknownError:
                unknown.append(f"roll@{number}")
        await asyncio.sleep(120)
        cluster.platform.lost_answer_ratio = 0.0
        await asyncio.sleep(60)
        finished = cluster.history()
        assert len(accepted) >= 5
        assert set(accepted) <= set(finished) <= set(accepted + unknown)
        assert all(completions(cluster, run_id) == 1 for run_id in finished)
        assert all(completions(cluster, run_id) == 0 for run_id in refused)


@on_virtual_time
async def test_a_new_owner_with_older_settings_stops_no_service():
    async with open_cluster(nodes=tree()) as cluster:
        unit = f"shard/{shard_of('hq/ga/counts')}"
        owner = next(
            n for n in cluster.nodes if unit in n.entry.scheduler.shard_by_unit
        )
        others = [node for node in cluster.nodes if node is not owner]
        for node in others:
            node.entry.settings.apply_change = lambda version, changes: False
            node.entry.settings.apply_snapshot = lambda version, nodes: None
            node.entry.settings.catch_up = asyncio.Event().wait
        extra_service = {"kind": "service", "values": {"processors": 1.0}}
        await owner.entry.accept_settings(1, {"hq/ga/counts/extra": extra_service})
        workers = cluster.all_workers()
        await wait_until(lambda: any(w.tasks.runs_service("extra") for w in workers), 9)
        await owner.kill()
        for _ in range(200):
            await asyncio.sleep(0.1)
            assert any(w.tasks.runs_service("extra") for w in workers)


@on_virtual_time
async def test_a_service_moved_to_another_team_keeps_running():
    async with open_cluster(nodes=tree()) as cluster:
        desk = "hq/ga/counts/desk"
        entry = cluster.nodes[0].entry
        changes = {
            desk: None,
            "hq/ga/other": {"kind": "team"},
            "hq/ga/other/desk": entry.settings.tree.node_by_path[desk],
        }
        assert shard_of("hq/ga/other") != shard_of("hq/ga/counts")
        await entry.accept_settings(1, changes)
        await asyncio.sleep(30)
        for worker in cluster.all_workers():
            assert worker.tasks.runs_service("desk")
        rows = cluster.platform.table.scan("racks/").values()
        shards = {task["shard"] for row, _ in rows for task in row["tasks"].values()}
        assert shards == {shard_of("hq/ga/other")}
