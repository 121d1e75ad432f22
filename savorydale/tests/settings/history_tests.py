import asyncio

import pytest

from savorydale.exceptions import ResultError
from savorydale.results import ResultCode
from savorydale.settings.history import find_rollback_changes, read_history
from savorydale.tests.harness import on_virtual_time, open_cluster, tree

TEAM = {"kind": "team"}


async def accept_changes(cluster, changes, number=0):
    entry = cluster.nodes[number].entry
    version = await entry.accept_settings(entry.settings.tree.version, changes)
    await asyncio.sleep(1)
    return version


async def find_rollback(cluster, target, number=0):
    entry = cluster.nodes[number].entry
    return await find_rollback_changes(entry.table, entry.settings.tree, target)


@on_virtual_time
async def test_a_rollback_is_a_new_version_with_the_old_nodes():
    async with open_cluster(nodes=tree()) as cluster:
        first = dict(cluster.nodes[0].entry.settings.tree.node_by_path)
        quota = TEAM | {"values": {"quota_processors": 50.0}}
        await accept_changes(cluster, {"hq/ga/a": TEAM, "hq/ga/counts": quota})
        await accept_changes(cluster, {"hq/ga/a": None, "hq/ga/b": TEAM}, 1)
        await accept_changes(cluster, {"hq/ga/counts": TEAM}, 2)
        assert await accept_changes(cluster, await find_rollback(cluster, 1), 1) == 5
        for node in cluster.nodes:
            assert node.entry.settings.tree.version == 5
            assert node.entry.settings.tree.node_by_path == first
        assert await find_rollback(cluster, 1) == {}
        again = await find_rollback(cluster, 2)
        assert again == {"hq/ga/a": TEAM, "hq/ga/counts": quota}


@on_virtual_time
async def test_a_change_accepted_meanwhile_makes_a_rollback_a_conflict():
    async with open_cluster(nodes=tree()) as cluster:
        await accept_changes(cluster, {"hq/ga/a": TEAM})
        changes = await find_rollback(cluster, 1)
        await accept_changes(cluster, {"hq/ga/b": TEAM}, 1)
        with pytest.raises(ResultError) as caught:
            await cluster.nodes[0].entry.accept_settings(2, changes)
        assert caught.value.code == ResultCode.SETTINGS_CONFLICT
        assert "hq/ga/a" in cluster.nodes[0].entry.settings.tree.node_by_path


@on_virtual_time
async def test_the_history_lists_changed_paths_and_times():
    async with open_cluster(nodes=tree()) as cluster:
        await accept_changes(cluster, {"hq/ga/b": TEAM, "hq/ga/a": TEAM})
        entry = cluster.nodes[2].entry
        newest, first = await read_history(entry.table, 2, 10)
        assert newest.version == 2
        assert newest.paths == ["hq/ga/a", "hq/ga/b"]
        assert first.at < newest.at
        assert len(await read_history(entry.table, 2, 1)) == 1


@on_virtual_time
async def test_a_rollback_to_a_version_that_is_not_earlier_is_refused():
    async with open_cluster(nodes=tree()) as cluster:
        for target in (1, 2, 99):
            with pytest.raises(ResultError) as caught:
                await find_rollback(cluster, target)
            assert caught.value.code == ResultCode.SETTINGS_UNKNOWN_VERSION


@on_virtual_time
async def test_a_rollback_past_a_change_that_is_no_longer_stored_is_refused():
    async with open_cluster(nodes=tree()) as cluster:
        await accept_changes(cluster, {"hq/ga/a": TEAM})
        await accept_changes(cluster, {"hq/ga/b": TEAM})
        cluster.platform.table.transact(
            [], [("settings/changes/000000000002", None, None)]
        )
        with pytest.raises(ResultError) as caught:
            await find_rollback(cluster, 1)
        assert caught.value.code == ResultCode.SETTINGS_UNKNOWN_VERSION
