import asyncio

from savorydale.results import ResultCode
from savorydale.routing.calls import Answered, NotRun
from savorydale.routing.slots import SHARE_COUNT
from savorydale.tests.harness import on_virtual_time, open_cluster, tree, wait_until


@on_virtual_time
async def test_every_entry_serves_calls():
    async with open_cluster(nodes=tree()) as cluster:
        for number, node in enumerate(cluster.nodes):
            outcome = await node.call(f"r{number}")
            assert outcome == Answered(200, (), f"r{number}".encode())


@on_virtual_time
async def test_every_unit_has_one_owner():
    async with open_cluster() as cluster:
        units = [
            unit
            for node in cluster.nodes
            for kind in ("share", "shard", "rack")
            for unit in node.entry.ownership.units(kind)
        ]
        assert len(units) == len(set(units)) == SHARE_COUNT + 64 + 2


@on_virtual_time
async def test_the_units_of_a_killed_entry_have_new_owners_within_five_seconds():
    async with open_cluster(nodes=tree()) as cluster:
        await cluster.nodes[0].kill()
        others = cluster.nodes[1:]

        def all_units_have_owners():
            return all(
                sum(len(node.entry.ownership.units(kind)) for node in others) == count
                for kind, count in (("share", SHARE_COUNT), ("shard", 64), ("rack", 2))
            )

        assert await wait_until(all_units_have_owners, 10) <= 5.0


@on_virtual_time
async def test_an_entry_without_the_table_keeps_its_units():
    async with open_cluster(nodes=tree()) as cluster:
        node = cluster.nodes[0]
        units_before = set(node.entry.ownership.units("share"))
        node.platform.partitioned = True
        await asyncio.sleep(60)
        assert set(node.entry.ownership.units("share")) == units_before
        assert isinstance(await node.call("while-cut"), Answered)
        others = [
            unit
            for other in cluster.nodes[1:]
            for unit in other.entry.ownership.units("share")
        ]
        assert not units_before & set(others)


@on_virtual_time
async def test_draining_finishes_calls_in_flight_and_queued():
    async with open_cluster(nodes=tree(replicas=1), entries=1) as cluster:
        node = cluster.nodes[0]
        calls = [
            asyncio.create_task(node.call(f"r{number}", seconds=0.5))
            for number in range(12)
        ]
        await asyncio.sleep(0.1)
        await node.entry.drain(30)
        outcomes = [await call for call in calls]
        assert all(isinstance(outcome, Answered) for outcome in outcomes)
        refused = await node.call("after")
        assert refused == NotRun(ResultCode.ENTRY_DRAINING)
        assert cluster.row("ownership")["units"]["share/0"][0] is None


@on_virtual_time
async def test_a_draining_worker_gets_no_calls_after_three_seconds():
    async with open_cluster(nodes=tree()) as cluster:
        cluster.set_vm_state("w0", "leaving")
        await asyncio.sleep(3)
        executions_before = sum(cluster.worker("w0").executions.values())
        for number in range(200):
            node = cluster.nodes[number % 3]
            assert isinstance(await node.call(f"r{number}"), Answered)
        assert sum(cluster.worker("w0").executions.values()) == executions_before


@on_virtual_time
async def test_slots_are_not_exceeded_after_an_entry_is_killed_with_calls_in_flight():
    async with open_cluster(nodes=tree(), worker_count=2) as cluster:
        long_calls = [
            asyncio.create_task(node.call(f"long-{index}-{number}", 20.0, timeout=30))
            for index, node in enumerate(cluster.nodes)
            for number in range(16)
        ]
        await asyncio.sleep(1)
        assert sum(len(worker.running) for worker in cluster.all_workers()) == 16
        await cluster.nodes[0].kill()
        await asyncio.sleep(10)
        later_calls = [
            asyncio.create_task(cluster.nodes[1].call(f"more-{number}", timeout=5))
            for number in range(20)
        ]
        await asyncio.wait(later_calls)
        assert [worker.overruns for worker in cluster.all_workers()] == [0, 0]
        assert max(worker.most_in_use for worker in cluster.all_workers()) == 8
        await asyncio.wait(long_calls)
        assert isinstance(await cluster.nodes[2].call("last"), Answered)


@on_virtual_time
async def test_a_new_entry_gets_the_settings_from_peers_without_the_table():
    seeds = {"seeds": ["127.0.0.1:7000"]}
    async with open_cluster(nodes=tree(), peer=seeds) as cluster:
        cluster.platform.down = True
        new_node = cluster.start()
        await asyncio.sleep(5)
        assert new_node.entry.settings.tree.version == 1


@on_virtual_time
async def test_a_new_entry_is_not_ready_before_it_knows_the_workers_of_services():
    async with open_cluster(nodes=tree()) as cluster:
        new_node = cluster.start()
        while not new_node.entry.is_ready():
            await asyncio.sleep(0.01)
        assert len(new_node.entry.directory.workers_of("desk")) == 4


@on_virtual_time
async def test_a_new_owner_of_a_rack_keeps_its_services_in_the_directory():
    async with open_cluster(nodes=tree()) as cluster:
        directory = cluster.nodes[0].entry.directory
        for worker in cluster.all_workers():
            worker.command_delay_seconds = 0.5
        for node in cluster.nodes[1:]:
            await node.kill()
        for _ in range(1000):
            await asyncio.sleep(0.01)
            assert len(directory.workers_of("desk")) == 4
