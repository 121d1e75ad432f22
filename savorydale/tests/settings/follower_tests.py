import asyncio

import pytest

from savorydale.exceptions import InvariantError, ResultError
from savorydale.results import ResultCode
from savorydale.tests.harness import on_virtual_time, open_cluster, tree

CHANGE = {"hq/ga/late": {"kind": "team"}}


@on_virtual_time
async def test_of_two_concurrent_changes_one_is_a_conflict():
    async with open_cluster(nodes=tree()) as cluster:
        results = await asyncio.gather(
            *(node.entry.accept_settings(1, CHANGE) for node in cluster.nodes),
            return_exceptions=True,
        )
        refused = [item for item in results if isinstance(item, ResultError)]
        assert results.count(2) == 1
        assert {error.code for error in refused} == {ResultCode.SETTINGS_CONFLICT}
        await asyncio.sleep(1)
        assert {n.entry.settings.tree.version for n in cluster.nodes} == {2}


@on_virtual_time
async def test_an_accepted_change_is_applied_at_every_entry_within_a_second():
    async with open_cluster(nodes=tree()) as cluster:
        await cluster.nodes[1].entry.accept_settings(1, CHANGE)
        await asyncio.sleep(1)
        assert {n.entry.settings.tree.version for n in cluster.nodes} == {2}


@on_virtual_time
async def test_an_entry_catches_up_after_a_partition_and_never_reverts():
    async with open_cluster(nodes=tree()) as cluster:
        node = cluster.nodes[2]
        node.entry.links.set_peers({}, None)
        node.platform.partitioned = True
        for version in range(1, 6):
            nodes = {f"hq/ga/t{version}": {"kind": "team"}}
            await cluster.nodes[0].entry.accept_settings(version, nodes)
        node.platform.partitioned = False
        await asyncio.sleep(12)
        assert node.entry.settings.tree.version == 6
        node.entry.settings.apply_snapshot(3, {})
        assert not node.entry.settings.apply_change(4, {})
        assert node.entry.settings.tree.version == 6
        with pytest.raises(InvariantError):
            node.entry.settings._replace_tree(node.entry.settings.tree, {})


@on_virtual_time
async def test_with_lost_responses_a_change_is_accepted_once_or_refused():
    async with open_cluster(nodes=tree(), seed=3) as cluster:
        cluster.platform.lost_answer_ratio = 0.5
        accepted = 0
        for number in range(20):
            entry = cluster.nodes[number % 3].entry
            try:
                nodes = {f"hq/ga/t{number}": {"kind": "team"}}
                await entry.accept_settings(entry.settings.tree.version, nodes)
                accepted += 1
            except ResultError as error:
                assert error.code != ResultCode.STORE_OUTCOME_UNKNOWN
            await asyncio.sleep(3)
        teams = [path for path in entry.settings.tree.node_by_path if "/t" in path]
        assert len(teams) == accepted > 5


@on_virtual_time
async def test_no_change_is_accepted_while_the_table_is_unreachable():
    async with open_cluster(nodes=tree()) as cluster:
        cluster.platform.down = True
        with pytest.raises(ResultError) as caught:
            await cluster.nodes[0].entry.accept_settings(1, CHANGE)
        assert caught.value.code == ResultCode.STORE_UNREACHABLE
        cluster.platform.down = False
        await asyncio.sleep(3)
        assert cluster.nodes[0].entry.settings.tree.version == 1


@on_virtual_time
async def test_a_version_pushed_during_a_head_read_is_not_a_conflict():
    async with open_cluster(nodes=tree()) as cluster:
        first, second, _ = cluster.nodes
        cluster.platform.delay_seconds = 0.2
        accepting = asyncio.create_task(first.entry.accept_settings(1, CHANGE))
        await asyncio.sleep(0.45)
        # The first read of the head row precedes the commit; when it returns, a peer
        # has already pushed the new version.
        reading = asyncio.create_task(second.entry.settings._catch_up_for_accept())
        await accepting
        await reading
        cluster.platform.delay_seconds = 0.0
        follower = second.entry.settings
        assert follower._head.version == follower.tree.version
        change = {"hq/ga/later": {"kind": "team"}}
        version = follower.tree.version
        assert await second.entry.accept_settings(version, change) == version + 1
