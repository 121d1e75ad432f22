"""In-memory platform and workers with fault injection, timed by the event loop."""

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
    """The platform's state, which all entries access through `PlatformLink`."""

    def __init__(self, rng: random.Random, latency_seconds=0.002):
        self.rng = rng
        self.latency_seconds = latency_seconds
        self.table = MemoryTable(loop_time)
        self.down = False
        self.delay_seconds = 0.0
        self.lost_answer_ratio = 0.0
        self.vm_by_name: dict[str, VmStatus] = {}

    def set_vm(self, vm: VmStatus):
        self.vm_by_name[vm.vm] = vm

    def link(self):
        return PlatformLink(self)


class PlatformLink:
    """One entry's connection to the platform, which can be partitioned by itself."""

    def __init__(self, platform: FakePlatform):
        self._platform = platform
        self.partitioned = False

    async def _reach_platform(self):
        platform = self._platform
        await asyncio.sleep(platform.latency_seconds * platform.rng.uniform(0.5, 1.5))
        if self.partitioned or platform.down:
            raise StoreUnreachableError("platform is unreachable")
        await asyncio.sleep(platform.delay_seconds)

    async def transact(self, transaction: Transaction) -> int:
        await self._reach_platform()
        platform = self._platform
        is_lost = platform.rng.random() < platform.lost_answer_ratio
        if is_lost and platform.rng.random() < 0.5:
            raise StoreOutcomeUnknownError("request lost")
        try:
            version = platform.table.transact(
                [tuple(item) for item in transaction.conditions],
                [tuple(item) for item in transaction.writes],
            )
        except ConflictError as error:
            raise TransactionConflictError(error.keys) from error
        if is_lost:
            raise StoreOutcomeUnknownError("answer lost")
        await asyncio.sleep(platform.latency_seconds)
        return version

    async def read(self, keys, newer_than=None):
        await self._reach_platform()
        rows = self._platform.table.read(keys, newer_than or {})
        await asyncio.sleep(self._platform.latency_seconds)
        return {key: Row(*item) for key, item in rows.items()}

    async def scan(self, prefix):
        await self._reach_platform()
        rows = self._platform.table.scan(prefix)
        await asyncio.sleep(self._platform.latency_seconds)
        return {key: Row(*item) for key, item in rows.items()}

    async def list_vms(self):
        await self._reach_platform()
        return list(self._platform.vm_by_name.values())


class FakeWorker:
    """Slots and tasks of one worker, with the counts that tests check."""

    def __init__(self, vm: VmStatus, rng: random.Random):
        self.vm = vm
        self.rng = rng
        self.tasks = TaskTable(loop_time)
        self.running: dict[str, str] = {}
        self.executions: collections.Counter[str] = collections.Counter()
        self.most_in_use = 0
        self.overruns = 0
        self.unreachable = False
        self.frozen_until = 0.0
        self.command_delay_seconds = 0.0
        self.slowness = 1.0
        self.fail_all = False
        self.refuse_all = False
        self.lost_answer_ratio = 0.0
        self.interference = 0.0
        self.refused_names: set[str] = set()

    def inflation(self):
        """Return the latency inflation that running jobs cause to requests."""
        return 1.0 + self.interference * self.tasks.total_job_speed()

    async def wait_while_frozen(self):
        while loop_time() < self.frozen_until:
            await asyncio.sleep(max(0.001, self.frozen_until - loop_time()))

    async def serve(self, entry: str, request: str, identity: str, seconds: float):
        """Run a request to its end even if its sender has timed out or gone."""
        await self.wait_while_frozen()
        if self.refuse_all:
            return NotRun(ResultCode.WORKER_REFUSED, "worker refuses all requests")
        if len(self.running) >= self.vm.slots:
            self.overruns += 1
            return NotRun(ResultCode.WORKER_REFUSED, "all slots are in use")
        self.running[request] = entry
        self.executions[identity] += 1
        self.most_in_use = max(self.most_in_use, len(self.running))
        await asyncio.sleep(seconds * self.slowness * self.inflation())
        await self.wait_while_frozen()
        del self.running[request]
        return Answered(500 if self.fail_all else 200, (), identity.encode())


class FakeWorkers:
    """All workers, which entries access through `WorkerLink`."""

    def __init__(self, rng: random.Random, latency_seconds=0.0005):
        self.rng = rng
        self.latency_seconds = latency_seconds
        self.worker_by_address: dict[str, FakeWorker] = {}
        self.background_tasks: set[asyncio.Task] = set()

    def add(self, vm: VmStatus) -> FakeWorker:
        worker = FakeWorker(vm, self.rng)
        self.worker_by_address[vm.address] = worker
        return worker

    def link(self):
        return WorkerLink(self)


class WorkerLink:
    """One entry's connection to the workers, which can be partitioned by itself.

    It is a `WorkerClient` and also forwards callers' requests.
    """

    def __init__(self, workers: FakeWorkers):
        self._workers = workers
        self.partitioned = False

    async def _reach(self, address) -> FakeWorker:
        await asyncio.sleep(self._workers.latency_seconds)
        worker = self._workers.worker_by_address[address]
        if self.partitioned:
            await asyncio.sleep(2.0)
            raise WorkerOutcomeUnknownError("timed out")
        if worker.unreachable:
            raise WorkerUnreachableError(address)
        return worker

    async def _command(self, address, method, body):
        worker = await self._reach(address)
        try:
            async with asyncio.timeout(2.0):
                await self._delay_arrival(worker)
        except TimeoutError:
            # A command still reaches the worker after its sender has timed out.
            task = asyncio.create_task(self._deliver_late(worker, method, body))
            self._workers.background_tasks.add(task)
            raise WorkerOutcomeUnknownError("timed out") from None
        is_lost = worker.rng.random() < worker.lost_answer_ratio
        result = _apply(worker, method, body)
        if is_lost:
            raise WorkerOutcomeUnknownError("answer lost")
        await asyncio.sleep(self._workers.latency_seconds)
        return result

    async def _delay_arrival(self, worker):
        await asyncio.sleep(worker.command_delay_seconds)
        await worker.wait_while_frozen()

    async def _deliver_late(self, worker, method, body):
        await self._delay_arrival(worker)
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
                await worker.wait_while_frozen()
        except TimeoutError:
            raise WorkerOutcomeUnknownError("timed out") from None
        running: dict[str, list[str]] = {}
        for request, entry in worker.running.items():
            running.setdefault(entry, []).append(request)
        return running

    async def send(self, grant: Grant, entry: str, identity: str, seconds) -> Outcome:
        """Forward a caller's request with the outcomes of the real forwarder."""
        try:
            worker = await self._reach(grant.address)
        except WorkerUnreachableError:
            return NotRun(ResultCode.WORKER_UNREACHABLE)
        except WorkerOutcomeUnknownError:
            return OutcomeUnknown(ResultCode.ANSWER_LOST)
        running = asyncio.create_task(
            worker.serve(entry, grant.call.id, identity, seconds)
        )
        self._workers.background_tasks.add(running)
        running.add_done_callback(self._workers.background_tasks.discard)
        seconds_left = max(0.001, grant.call.deadline - loop_time())
        done, _ = await asyncio.wait([running], timeout=seconds_left)
        if not done:
            return OutcomeUnknown(ResultCode.ANSWER_TIMEOUT)
        outcome = running.result()
        if worker.rng.random() < worker.lost_answer_ratio:
            return OutcomeUnknown(ResultCode.ANSWER_LOST)
        await asyncio.sleep(self._workers.latency_seconds)
        return outcome


def _apply(worker: FakeWorker, method, body):
    if method == "start" and (worker.fail_all or body["name"] in worker.refused_names):
        raise WorkerRefusedError("worker refuses to start this task")
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
