import asyncio
import random

import pytest

from savorydale.counters import Counters
from savorydale.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnreachableError,
    TransactionConflictError,
)
from savorydale.storage.group_commit import open_group_commit
from savorydale.storage.interface import Condition, Write
from savorydale.storage.table import Table
from savorydale.tests.fakes import FakePlatform
from savorydale.tests.harness import on_virtual_time


def make_table(seed=1):
    platform = FakePlatform(random.Random(seed))
    return platform, Table(platform.link(), Counters())


@on_virtual_time
async def test_lost_response_is_read_back_and_nothing_is_sent_twice():
    platform, table = make_table()
    platform.lost_answer_ratio = 0.5
    applied = 0
    for _ in range(200):
        rows = await table.read(["n"])
        row = rows.get("n")
        value = row.value["n"] if row else 0
        condition = Condition("n", row.version if row else 0)
        try:
            await table.commit([condition], [Write("n", {"n": value + 1})], 60)
            applied += 1
        except StoreUnreachableError:
            continue
    assert (await table.read(["n"]))["n"].value["n"] == applied > 100


@on_virtual_time
async def test_failed_condition_writes_nothing():
    _, table = make_table()
    await table.commit([Condition("a", 0)], [Write("a", {})])
    with pytest.raises(TransactionConflictError) as raised:
        await table.commit([Condition("a", 0)], [Write("a", {}), Write("b", {})])
    assert raised.value.keys == ("a",)
    assert "b" not in await table.read(["b"])


@on_virtual_time
async def test_outcome_stays_unknown_during_an_outage():
    platform, table = make_table()

    async def lose_response_then_go_down(transaction):
        await platform_transact(transaction)
        platform.down = True
        raise StoreOutcomeUnknownError("lost")

    platform_transact = table._platform.transact
    table._platform.transact = lose_response_then_go_down
    with pytest.raises(StoreOutcomeUnknownError):
        await table.commit([], [Write("a", {})], 2)


@on_virtual_time
async def test_conflicting_member_does_not_fail_its_group():
    platform, table = make_table()
    await table.commit([], [Write("taken", {})])
    async with open_group_commit(table, 0.01, Counters()) as group:
        outcomes = await asyncio.gather(
            *(
                group.commit((Condition(key, 0),), (Write(key, {}),))
                for key in ("a", "taken", "b")
            ),
            return_exceptions=True,
        )
    assert isinstance(outcomes[1], TransactionConflictError)
    assert outcomes[0] == outcomes[2]
    assert platform.table.transactions == 3


@on_virtual_time
async def test_of_two_writers_of_one_row_only_one_commits():
    _, table = make_table()
    async with open_group_commit(table, 0.01, Counters()) as group:
        outcomes = await asyncio.gather(
            *(group.commit((Condition("a", 0),), (Write("a", {}),)) for _ in range(2)),
            return_exceptions=True,
        )
    assert sum(isinstance(item, TransactionConflictError) for item in outcomes) == 1
