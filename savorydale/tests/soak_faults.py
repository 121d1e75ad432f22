"""Inject the faults of the randomised soak test, several at a time."""

import asyncio
import collections
import random

from savorydale.tests.fakes import make_vm
from savorydale.tests.harness import Cluster


class FaultInjector:
    """Inject random faults into a cluster and clear them.

    Parameters
    ----------
    cluster : Cluster
        The cluster that receives the faults.
    rng : random.Random
        Picks faults, affected components and durations.
    """

    def __init__(self, cluster: Cluster, rng: random.Random):
        self.cluster = cluster
        self.rng = rng
        self.count_by_fault: collections.Counter[str] = collections.Counter()
        self.events: list[str] = []
        self._worker_count = len(cluster.platform.vm_by_name)

    def _record_event(self, event: str) -> None:
        now = asyncio.get_running_loop().time()
        self.events.append(f"{now:9.2f} {event}")

    def _live_nodes(self):
        return [node for node in self.cluster.nodes if not node.task.done()]

    async def _inject_faults(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        faults = (
            self._kill_entry,
            self._stop_entry,
            self._cut_entry,
            self._cut_from_platform,
            self._take_platform_down,
            self._slow_platform,
            self._lose_platform_answers,
            self._freeze_worker,
            self._cut_worker,
            self._slow_worker,
            self._break_worker,
            self._lose_worker_answers,
            self._delay_commands,
            self._replace_worker,
            self._interfere,
        )
        while loop.time() < end_at:
            await asyncio.sleep(self.rng.expovariate(1 / 8))
            fault = self.rng.choice(faults)
            name = fault.__name__.strip("_")
            self.count_by_fault[name] += 1
            self._record_event(name)
            await fault()

    async def _sleep_up_to(self, max_seconds: float = 20.0) -> None:
        await asyncio.sleep(self.rng.uniform(0.2, max_seconds))

    async def _kill_entry(self) -> None:
        nodes = self._live_nodes()
        if len(nodes) < 2:
            return
        node = self.rng.choice(nodes)
        await node.kill()
        await self._sleep_up_to(10)
        self.cluster.start()

    async def _stop_entry(self) -> None:
        nodes = self._live_nodes()
        if len(nodes) < 2:
            return
        node = self.rng.choice(nodes)
        await node.entry.drain(20)
        await node.kill()
        self.cluster.start()

    async def _cut_entry(self) -> None:
        node = self.rng.choice(self._live_nodes())
        node.set_partitioned(True)
        await self._sleep_up_to()
        node.set_partitioned(False)

    async def _cut_from_platform(self) -> None:
        node = self.rng.choice(self._live_nodes())
        node.platform.partitioned = True
        await self._sleep_up_to()
        node.platform.partitioned = False

    async def _take_platform_down(self) -> None:
        self.cluster.platform.down = True
        await self._sleep_up_to(40)
        self.cluster.platform.down = False

    async def _slow_platform(self) -> None:
        self.cluster.platform.delay_seconds = self.rng.uniform(0.1, 2.0)
        await self._sleep_up_to()
        self.cluster.platform.delay_seconds = 0.0

    async def _lose_platform_answers(self) -> None:
        self.cluster.platform.lost_answer_ratio = self.rng.uniform(0.05, 0.6)
        await self._sleep_up_to()
        self.cluster.platform.lost_answer_ratio = 0.0

    def _random_live_worker(self):
        live = [vm for vm in self.cluster.platform.vm_by_name.values() if is_live(vm)]
        return self.cluster.worker(self.rng.choice(live).vm)

    async def _freeze_worker(self) -> None:
        worker = self._random_live_worker()
        now = asyncio.get_running_loop().time()
        worker.frozen_until = now + self.rng.uniform(0.2, 30)

    async def _cut_worker(self) -> None:
        worker = self._random_live_worker()
        worker.unreachable = True
        await self._sleep_up_to(30)
        worker.unreachable = False

    async def _slow_worker(self) -> None:
        worker = self._random_live_worker()
        worker.slowness = 10.0
        await self._sleep_up_to()
        worker.slowness = 1.0

    async def _break_worker(self) -> None:
        worker = self._random_live_worker()
        worker.fail_all = True
        await self._sleep_up_to()
        worker.fail_all = False

    async def _lose_worker_answers(self) -> None:
        worker = self._random_live_worker()
        worker.lost_answer_ratio = 0.4
        await self._sleep_up_to()
        worker.lost_answer_ratio = 0.0

    async def _delay_commands(self) -> None:
        worker = self._random_live_worker()
        worker.command_delay_seconds = self.rng.uniform(1.0, 12.0)
        await self._sleep_up_to(30)
        worker.command_delay_seconds = 0.0

    async def _interfere(self) -> None:
        worker = self._random_live_worker()
        worker.interference = self.rng.uniform(0.3, 3.0)
        await self._sleep_up_to(60)
        worker.interference = 0.0

    async def _replace_worker(self) -> None:
        worker = self._random_live_worker()
        name = worker.vm.vm
        if self.rng.random() < 0.5:
            self.cluster.set_vm_state(name, "leaving")
            await self._sleep_up_to(15)
        worker.unreachable = True
        worker.tasks.clear()
        await asyncio.sleep(2)
        self.cluster.set_vm_state(name, "gone")
        vm = make_vm(f"w{self._worker_count}", worker.vm.rack, worker.vm.zone)
        self._worker_count += 1
        self.cluster.workers.add(vm)
        self.cluster.platform.set_vm(vm)

    def _clear_faults(self) -> None:
        platform = self.cluster.platform
        platform.down, platform.delay_seconds, platform.lost_answer_ratio = (
            False,
            0.0,
            0.0,
        )
        for vm in platform.vm_by_name.values():
            worker = self.cluster.worker(vm.vm)
            worker.unreachable = not is_live(vm)
            worker.fail_all, worker.slowness = False, 1.0
            worker.lost_answer_ratio, worker.frozen_until = 0.0, 0.0
            worker.command_delay_seconds, worker.interference = 0.0, 0.0
        for node in self._live_nodes():
            node.set_partitioned(False)


def is_live(vm) -> bool:
    return vm.state == "live"
