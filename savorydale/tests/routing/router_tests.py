import asyncio

from savorydale.results import ResultCode
from savorydale.routing.calls import Answered, Call, NotRun, OutcomeUnknown
from savorydale.routing.waiting import Waiter, WaitingCalls
from savorydale.tests.harness import on_virtual_time, open_cluster, tree, wait_until


def executions(cluster, identity):
    return sum(worker.executions[identity] for worker in cluster.all_workers())


@on_virtual_time
async def test_a_non_idempotent_call_is_sent_once():
    async with open_cluster(nodes=tree()) as cluster:
        for worker in cluster.all_workers():
            worker.lost_answer_ratio = 1.0
        node = cluster.nodes[0]
        outcome = await node.call("once", idempotent=False)
        assert outcome == OutcomeUnknown(ResultCode.ANSWER_LOST)
        assert executions(cluster, "once") == 1
        await node.call("again", idempotent=True)
        assert executions(cluster, "again") > 1


@on_virtual_time
async def test_a_call_refused_by_a_worker_is_retried_on_another():
    async with open_cluster(nodes=tree()) as cluster:
        cluster.worker("w0").refuse_all = True
        cluster.worker("w1").unreachable = True
        node = cluster.nodes[0]
        for number in range(40):
            outcome = await node.call(f"r{number}", idempotent=False)
            assert isinstance(outcome, Answered)
            assert executions(cluster, f"r{number}") == 1
        assert node.entry.counters.count("workers.ejected") >= 1


@on_virtual_time
async def test_an_idempotency_key_gets_the_first_response_from_every_entry():
    async with open_cluster(nodes=tree()) as cluster:
        calls = [
            cluster.nodes[number % 3].call("bill", idempotent=False, key="k")
            for number in range(9)
        ]
        outcomes = await asyncio.gather(*calls)
        assert executions(cluster, "bill") == 1
        assert Answered(200, (), b"bill") in outcomes
        await cluster.nodes[0].kill()
        outcome = await cluster.nodes[1].call("bill", idempotent=False, key="k")
        assert outcome == Answered(200, (), b"bill")
        assert executions(cluster, "bill") == 1


@on_virtual_time
async def test_a_call_with_a_key_is_refused_while_the_table_is_unreachable():
    async with open_cluster(nodes=tree()) as cluster:
        cluster.platform.down = True
        outcome = await cluster.nodes[0].call("bill", idempotent=False, key="k")
        assert outcome == NotRun(ResultCode.KEY_STORE_UNREACHABLE)
        assert executions(cluster, "bill") == 0
        assert isinstance(await cluster.nodes[0].call("plain"), Answered)


@on_virtual_time
async def test_a_response_is_recorded_after_the_table_was_unreachable():
    async with open_cluster(nodes=tree()) as cluster:
        node = cluster.nodes[0]
        pending_call = asyncio.create_task(
            node.call("bill", seconds=1.0, idempotent=False, key="k")
        )
        await asyncio.sleep(0.5)
        cluster.platform.down = True
        assert isinstance(await pending_call, Answered)
        cluster.platform.down = False
        await asyncio.sleep(3)
        outcome = await cluster.nodes[1].call("bill", idempotent=False, key="k")
        assert outcome == Answered(200, (), b"bill")
        assert executions(cluster, "bill") == 1


@on_virtual_time
async def test_a_key_reused_for_another_request_is_refused():
    async with open_cluster(nodes=tree()) as cluster:
        node = cluster.nodes[0]
        await node.call("bill", idempotent=False, key="k", fingerprint="a")
        outcome = await node.call("other", key="k", fingerprint="b")
        assert outcome == NotRun(ResultCode.KEY_REUSED)
        assert executions(cluster, "other") == 0


@on_virtual_time
async def test_a_slot_with_an_unknown_outcome_stays_in_use_until_the_worker_reports():
    async with open_cluster(nodes=tree(replicas=1), worker_count=1) as cluster:
        node = cluster.nodes[0]
        worker = cluster.all_workers()[0]
        allowance = node.entry.pool.slots_by_worker["w0"].allowance
        slow = [
            node.call(f"slow-{n}", 10.0, timeout=0.5, idempotent=False)
            for n in range(allowance)
        ]
        outcomes = await asyncio.gather(*slow)
        assert set(outcomes) == {OutcomeUnknown(ResultCode.ANSWER_TIMEOUT)}
        refused = await node.call("next", timeout=1.0)
        assert isinstance(refused, NotRun)
        assert len(worker.running) == allowance
        await asyncio.sleep(11)
        assert isinstance(await node.call("last"), Answered)


@on_virtual_time
async def test_a_full_queue_or_short_deadline_is_refused_immediately():
    routing = {"queue_limit": 30}
    async with open_cluster(
        nodes=tree(replicas=1), entries=1, worker_count=1, routing=routing
    ) as cluster:
        node = cluster.nodes[0]
        loop = asyncio.get_running_loop()
        for number in range(10):
            await node.call(f"known-{number}", 0.5)
        waiting = [
            asyncio.create_task(node.call(f"w{n}", 0.5, timeout=10)) for n in range(38)
        ]
        await asyncio.sleep(0.01)
        started_at = loop.time()
        assert await node.call("x") == NotRun(ResultCode.QUEUE_FULL)
        for task in waiting[8:20]:
            task.cancel()
        await asyncio.sleep(0)
        short = await node.call("y", timeout=0.6)
        assert short == NotRun(ResultCode.DEADLINE_TOO_SHORT)
        assert loop.time() - started_at < 0.02
        await asyncio.wait(waiting)
        assert node.entry.router.unfinished == 0


def test_interactive_calls_and_teams_with_few_calls_in_flight_go_first():
    waiting = WaitingCalls()
    for name, team, interactive in (
        ("batch", "a", False),
        ("busy", "a", True),
        ("calm", "b", True),
    ):
        for number in range(2):
            call = Call(f"{name}-{number}", name, team, 9.0, interactive=interactive)
            waiting.add(Waiter(call, frozenset(), 1, None))
    order = waiting.in_order(["batch", "busy", "calm"], {"a": 5, "b": 1})
    assert [waiter.call.id for waiter in order] == [
        "calm-0",
        "calm-1",
        "busy-0",
        "busy-1",
        "batch-0",
        "batch-1",
    ]


@on_virtual_time
async def test_a_frozen_worker_does_not_delay_calls_to_others():
    async with open_cluster(nodes=tree()) as cluster:
        loop = asyncio.get_running_loop()
        cluster.worker("w0").frozen_until = loop.time() + 20
        node = cluster.nodes[0]
        slow = 0
        for number in range(100):
            outcome = await node.call(f"r{number}", timeout=1.0)
            slow += not isinstance(outcome, Answered)
        assert slow <= node.entry.pool.slots_by_worker["w0"].allowance
        await wait_until(
            lambda: not node.entry.pool.slots_by_worker["w0"].needs_report, 60
        )


@on_virtual_time
async def test_an_abandoned_call_uses_no_slot_and_leaves_no_state():
    async with open_cluster(nodes=tree(), entries=1) as cluster:
        node = cluster.nodes[0]
        router = node.entry.router
        slots = sum(slots.free for slots in node.entry.pool.slots_by_worker.values())
        occupying = [
            asyncio.create_task(node.call(f"held{n}", seconds=1.0))
            for n in range(slots)
        ]
        await asyncio.sleep(0.1)
        abandoned = [asyncio.create_task(node.call(f"gone{n}")) for n in range(5)]
        await asyncio.sleep(0.1)
        assert router.unfinished == slots + 5
        for call in abandoned:
            call.cancel()
        await asyncio.wait(abandoned)
        await asyncio.gather(*occupying)
        assert sum(executions(cluster, f"gone{n}") for n in range(5)) == 0
        assert router.unfinished == 0
        assert not router._tried_by_call
        assert node.entry.counters.count("calls.abandoned") == 5
