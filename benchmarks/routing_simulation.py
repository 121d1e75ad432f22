"""Simulate several entries with real routers and simple workers on virtual time."""

import asyncio
import random
from typing import Any

import async_solipsism

from benchmarks.traffic import ONE_WAY_SECONDS, Deployment, Request, Scenario
from savorydale.counters import Counters
from savorydale.results import ResultCode
from savorydale.routing.calls import (
    Answered,
    Call,
    Finish,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Send,
)
from savorydale.routing.router import Router
from savorydale.routing.slots import SHARE_COUNT, SlotPool
from savorydale.storage.interface import VmStatus
from savorydale.workers.directory import Directory, RackServices

SERVICE = "desk"


class UnusedKeys:
    """Placeholder for the idempotency keys, which no simulated request has."""


class SimulatedWorker:
    """A worker that refuses and counts requests that find no free slot."""

    def __init__(self, name: str, slots: int, slowness: float):
        self.name = name
        self._slots = slots
        self.slowness = slowness
        self.in_use = 0
        self.busy_seconds = 0.0
        self.overruns = 0
        self.fails = False

    async def serve(self, seconds: float) -> Outcome:
        """Run one request."""
        if self.fails:
            return NotRun(ResultCode.WORKER_REFUSED)
        if self.in_use >= self._slots:
            self.overruns += 1
            return NotRun(ResultCode.WORKER_REFUSED)
        self.in_use += 1
        await asyncio.sleep(seconds * self.slowness)
        self.in_use -= 1
        self.busy_seconds += seconds
        return Answered(200, (), b"")


class RoutingSimulation:
    """Entries that share the slots of all workers."""

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        seed: int,
        queue_limit: int = 100_000,
    ):
        self._deployment = deployment
        self.rng = random.Random(seed)
        self.counters = Counters()
        self.workers = [
            SimulatedWorker(
                f"w{number}", deployment.slots, scenario.slowness_of(number)
            )
            for number in range(deployment.workers)
        ]
        self.worker_by_name = {worker.name: worker for worker in self.workers}
        self.pools: list[SlotPool] = []
        self.routers = [
            self._make_router(number, queue_limit)
            for number in range(deployment.entries)
        ]

    def _make_router(self, number: int, queue_limit: int) -> Router:
        directory = Directory()
        directory.set_vms(self._make_vm(index) for index in range(len(self.workers)))
        names = [worker.name for worker in self.workers]
        directory.update_rack("r0", RackServices(1, 1, {SERVICE: names}))
        pool = SlotPool()
        self.pools.append(pool)
        pool.set_workers({name: self._deployment.slots for name in names})
        for share in range(number, SHARE_COUNT, self._deployment.entries):
            pool.open_share(share, None)
        return Router(
            directory,
            pool,
            UnusedKeys(),
            f"zone-{number % self._deployment.zones}",
            queue_limit,
            0.1,
            lambda: True,
            self.counters,
            random.Random(self.rng.random()),
        )

    def _make_vm(self, index: int) -> VmStatus:
        zone = f"zone-{index % self._deployment.zones}"
        name = self.workers[index].name
        slots = self._deployment.slots
        return VmStatus(name, name, zone, "r0", "live", 32.0, 125.0, 0, slots, 64)

    async def send(self, address: str, seconds: float, timeout: float) -> Outcome:
        """Send a request to a worker and return its answer."""
        await asyncio.sleep(ONE_WAY_SECONDS)
        outcome = await self.worker_by_name[address].serve(seconds)
        await asyncio.sleep(ONE_WAY_SECONDS)
        if timeout <= 0:
            return OutcomeUnknown(ResultCode.ANSWER_TIMEOUT)
        return outcome

    async def call(self, request: Request, number: int, timeout: float) -> Outcome:
        """Route one request through its entry and return the outcome."""
        router = self.routers[request.entry]
        deadline = asyncio.get_running_loop().time() + timeout
        call = Call(f"c{number}", SERVICE, "team", deadline)
        step = await router.begin(call)
        while True:
            match step:
                case Finish(outcome):
                    return outcome
                case Send(grant):
                    outcome = await self.send(grant.address, request.seconds, timeout)
                    step = await router.handle_outcome(grant, outcome)

    async def run(self, requests: list[Request], timeout: float) -> list[Any]:
        """Return the latency in seconds and the outcome of each request."""
        results: list[Any] = [None] * len(requests)
        loop = asyncio.get_running_loop()

        async def run_one(number: int, request: Request) -> None:
            started_at = loop.time()
            outcome = await self.call(request, number, timeout)
            results[number] = (loop.time() - started_at, outcome)

        async with asyncio.TaskGroup() as tasks:
            for number, request in enumerate(requests):
                if request.arrives_at > loop.time():
                    await asyncio.sleep(request.arrives_at - loop.time())
                tasks.create_task(run_one(number, request))
        return results

    @property
    def overruns(self) -> int:
        """Return the number of requests sent to a worker without a free slot."""
        return sum(worker.overruns for worker in self.workers)


def on_virtual_time(coroutine: Any) -> Any:
    """Run a coroutine on a loop whose clock jumps to the next scheduled event."""
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
