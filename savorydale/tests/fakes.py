"""Platform and workers in memory, with faults, on the loop's virtual time."""

import asyncio
import collections
import random

from savorydale.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnreachableError,
    TransactionConflictError,
    WorkerOutcomeUnknownError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from savorydale.results import ResultCode
from savorydale.routing.calls import Answered, Grant, NotRun, Outcome, OutcomeUnknown
from savorydale.storage.interface import Row, Transaction, VmStatus
from savorydale.workers.interface import TaskReport, WorkerReport
from standins.table import ConflictError, MemoryTable
from standins.tasks import StaleCommandError, TaskTable


def loop_time():
    return asyncio.get_running_loop().time()


class FakePlatform:
    """The platform's state, shared by all entries through `PlatformLink`."""

    def __init__(self, rng: random.Random, latency=0.002):
        self.rng = rng
        self.latency = latency
        self.table = MemoryTable(loop_time)
        self.down = False
        self.delay = 0.0
        self.lost_answer_ratio = 0.0
        self.vm_by_name: dict[str, VmStatus] = {}

    def set_vm(self, vm: VmStatus):
        self.vm_by_name[vm.vm] = vm

    def link(self):
        return PlatformLink(self)


class PlatformLink:
    """One entry's way to the platform, which can be cut on its own."""

    def __init__(self, platform: FakePlatform):
        self._platform = platform
        self.cut = False

    async def _travel(self):
        platform = self._platform
        await asyncio.sleep(platform.latency * platform.rng.uniform(0.5, 1.5))
        if self.cut or platform.down:
            raise StoreUnreachableError("out")
        await asyncio.sleep(platform.delay)

    async def transact(self, transaction: Transaction) -> int:
        await self._travel()
        platform = self._platform
        lost = platform.rng.random() < platform.lost_answer_ratio
        if lost and platform.rng.random() < 0.5:
            raise StoreOutcomeUnknownError("lost on the way there")
        try:
            version = platform.table.transact(
                [tuple(item) for item in transaction.conditions],
                [tuple(item) for item in transaction.writes],
            )
        except ConflictError as error:
            raise TransactionConflictError(error.keys) from error
        if lost:
            raise StoreOutcomeUnknownError("lost on the way back")
        await asyncio.sleep(platform.latency)
        return version

    async def read(self, keys, newer_than=None):
        await self._travel()
        rows = self._platform.table.read(keys, newer_than or {})
        await asyncio.sleep(self._platform.latency)
        return {key: Row(*item) for key, item in rows.items()}

    async def scan(self, prefix):
        await self._travel()
        rows = self._platform.table.scan(prefix)
        await asyncio.sleep(self._platform.latency)
        return {key: Row(*item) for key, item in rows.items()}

    async def list_vms(self):
        await self._travel()
        return list(self._platform.vm_by_name.values())


class FakeWorker:
    """Slots and tasks of one worker; keeps records that tests check."""

    def __init__(self, vm: VmStatus, rng: random.Random):
        self.vm = vm
        self.rng = rng
        self.tasks = TaskTable(loop_time)
        self.running: dict[str, str] = {}
        self.executions: collections.Counter[str] = collections.Counter()
        self.most_in_use = 0
        self.overruns = 0
        self.dead = False
        self.frozen_until = 0.0
        self.command_delay = 0.0
        self.slowness = 1.0
        self.fail_all = False
        self.refuse_all = False
        self.lost_answer_ratio = 0.0
        self.interference = 0.0
        self.unable: set[str] = set()

    def inflation(self):
        """Return how much longer requests take beside the jobs that run."""
        return 1.0 + self.interference * self.tasks.total_job_speed()

    async def thaw(self):
        while loop_time() < self.frozen_until:
            await asyncio.sleep(max(0.001, self.frozen_until - loop_time()))

    async def serve(self, entry: str, request: str, identity: str, seconds: float):
        """Run a request; like a real worker, go on though nobody listens."""
        await self.thaw()
        if self.refuse_all:
            return NotRun(ResultCode.WORKER_REFUSED, "refuses all")
        if len(self.running) >= self.vm.slots:
            self.overruns += 1
            return NotRun(ResultCode.WORKER_REFUSED, "all slots are in use")
        self.running[request] = entry
        self.executions[identity] += 1
        self.most_in_use = max(self.most_in_use, len(self.running))
        await asyncio.sleep(seconds * self.slowness * self.inflation())
        await self.thaw()
        del self.running[request]
        return Answered(500 if self.fail_all else 200, (), identity.encode())


class FakeWorkers:
    """All workers; a `WorkerClient`, and the sender of callers' requests."""

    def __init__(self, rng: random.Random, latency=0.0005):
        self.rng = rng
        self.latency = latency
        self.worker_by_address: dict[str, FakeWorker] = {}
        self.background: set[asyncio.Task] = set()

    def add(self, vm: VmStatus) -> FakeWorker:
        worker = FakeWorker(vm, self.rng)
        self.worker_by_address[vm.address] = worker
        return worker

    def link(self):
        return WorkerLink(self)


class WorkerLink:
    """One entry's way to the workers, which can be cut on its own."""

    def __init__(self, workers: FakeWorkers):
        self._workers = workers
        self.cut = False

    async def _reach(self, address) -> FakeWorker:
        await asyncio.sleep(self._workers.latency)
        worker = self._workers.worker_by_address[address]
        if self.cut:
            await asyncio.sleep(2.0)
            raise WorkerOutcomeUnknownError("timed out")
        if worker.dead:
            raise WorkerUnreachableError(address)
        return worker

    async def _command(self, address, method, body):
        worker = await self._reach(address)
        try:
            async with asyncio.timeout(2.0):
                await self._arrive(worker)
        except TimeoutError:
            # A command that was given up arrives all the same.
            task = asyncio.create_task(self._command_late(worker, method, body))
            self._workers.background.add(task)
            raise WorkerOutcomeUnknownError("timed out") from None
        lost = worker.rng.random() < worker.lost_answer_ratio
        result = _apply(worker, method, body)
        if lost:
            raise WorkerOutcomeUnknownError("answer lost")
        await asyncio.sleep(self._workers.latency)
        return result

    async def _arrive(self, worker):
        await asyncio.sleep(worker.command_delay)
        await worker.thaw()

    async def _command_late(self, worker, method, body):
        await self._arrive(worker)
        try:
            _apply(worker, method, body)
        except WorkerRefusedError:
            return

    async def heartbeat(self, address, heartbeat):
        answer = await self._command(address, "heartbeat", heartbeat._asdict())
        reports = {task: TaskReport(**item) for task, item in answer["tasks"].items()}
        return WorkerReport(answer["clock"], reports)

    async def start(self, address, command):
        await self._command(address, "start", command._asdict())

    async def stop(self, address, command):
        return TaskReport(**await self._command(address, "stop", command._asdict()))

    async def throttle(self, address, command):
        answer = await self._command(address, "throttle", command._asdict())
        return TaskReport(**answer)

    async def running_requests(self, address):
        worker = await self._reach(address)
        try:
            async with asyncio.timeout(2.0):
                await worker.thaw()
        except TimeoutError:
            raise WorkerOutcomeUnknownError("timed out") from None
        running: dict[str, list[str]] = {}
        for request, entry in worker.running.items():
            running.setdefault(entry, []).append(request)
        return running

    async def send(self, grant: Grant, entry: str, identity: str, seconds) -> Outcome:
        """Send a caller's request as the real forwarder does."""
        try:
            worker = await self._reach(grant.address)
        except WorkerUnreachableError:
            return NotRun(ResultCode.WORKER_UNREACHABLE)
        except WorkerOutcomeUnknownError:
            return OutcomeUnknown(ResultCode.ANSWER_LOST)
        running = asyncio.create_task(
            worker.serve(entry, grant.call.id, identity, seconds)
        )
        self._workers.background.add(running)
        running.add_done_callback(self._workers.background.discard)
        left = max(0.001, grant.call.deadline - loop_time())
        done, _ = await asyncio.wait([running], timeout=left)
        if not done:
            return OutcomeUnknown(ResultCode.ANSWER_TIMEOUT)
        outcome = running.result()
        if worker.rng.random() < worker.lost_answer_ratio:
            return OutcomeUnknown(ResultCode.ANSWER_LOST)
        await asyncio.sleep(self._workers.latency)
        return outcome


def _apply(worker: FakeWorker, method, body):
    if method == "start" and (worker.fail_all or body["name"] in worker.unable):
        raise WorkerRefusedError("cannot start it")
    body = body | {"demand": None}
    try:
        return getattr(worker.tasks, method)(body)
    except StaleCommandError as error:
        raise WorkerRefusedError(str(error)) from error


def make_vm(name, rack="r0", zone="a", state="live", processors=32.0, slots=8):
    number = int("".join(c for c in name if c.isdigit()) or 0)
    return VmStatus(
        vm=name,
        address=f"10.0.0.{number}:80",
        zone=zone,
        rack=rack,
        state=state,
        processors=processors,
        memory_gb=125.0,
        accelerators=0,
        slots=slots,
        connections=64,
    )
