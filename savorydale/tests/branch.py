"""Runs a whole branch on virtual time: entries, store and workers, with faults.

The entries run the production code; only their HTTP client is replaced.
"""

import asyncio
import contextlib
import dataclasses
import json
import logging
import random
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Any

from savorydale.config.vm import parse_vm_config
from savorydale.counters import Counters
from savorydale.exceptions import StoreError
from savorydale.job_entry import JobEntry
from savorydale.jobs.model import JobSpec, StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.orders.interface import Resources, WorkerTarget
from savorydale.platform.http import ConnectionRefused, HttpReply, NoReplyError
from savorydale.platform.workers import INCARNATION_HEADER
from savorydale.tests.invariant_checker import (
    CAPACITY_GRACE_SECONDS,
    InvariantChecker,
)
from standins.row_store import RowStoreStandin
from standins.task_worker import CRASHED_SECONDS, Plan, TaskWorkerStandin

STORE_ADDRESS = "10.9.0.1:80"
SERVICE = "desk"
HOST = "desk.example"
LEASE_MAX_MS = 6_000
WORKER_LATENCY_SECONDS = 0.001
STORE_LATENCY_SECONDS = 0.004
NO_REPLY_SECONDS = 3600.0  # longer than any timeout


@dataclasses.dataclass(slots=True)
class PathFaults:
    """Faults between one entry and one address.

    Requests on a partitioned path are dropped. A late order is executed after a delay,
    and the entry gets no reply.
    """

    is_partitioned: bool = False
    refuses: bool = False
    delay_seconds: float = 0.0
    reply_delay_seconds: float = 0.0
    lost_response_probability: float = 0.0
    late_order_probability: float = 0.0
    late_order_seconds: float = 3.0


class InMemoryHttpClient:
    """HTTP client of one entry that calls the stand-ins directly, with faults."""

    def __init__(self, branch: "Branch", entry: str):
        self._branch = branch
        self._entry = entry

    async def send(
        self,
        method,
        url,
        timeout_seconds,
        body=None,
        headers=None,
        params=None,
        max_reply_bytes=None,
    ):
        address, _, path = url.removeprefix("http://").partition("/")
        faults = self._branch.faults_between(self._entry, address)
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._send(
                    address,
                    method,
                    "/" + path,
                    params or {},
                    body,
                    faults,
                    (headers or {}).get(INCARNATION_HEADER, ""),
                )
        except TimeoutError:
            raise NoReplyError("timeout") from None

    async def _send(self, address, method, path, params, body, faults, target):
        branch = self._branch
        await asyncio.sleep(branch.latency_to(address) + faults.delay_seconds)
        if faults.refuses:
            return HttpReply(503, {})
        if faults.is_partitioned:
            await asyncio.sleep(NO_REPLY_SECONDS)
        server = branch.server_at(address)
        if server is None:
            raise ConnectionRefused("connection refused")
        if not _is_target(server, target):
            return HttpReply(421, {})
        body = json.loads(json.dumps(body)) if body is not None else None
        if branch.rng.random() < faults.late_order_probability:
            late_order = (method, path, params, body)
            branch.spawn(self._execute_late(server, late_order, target, faults))
            await asyncio.sleep(NO_REPLY_SECONDS)
        reply = await self._handle(server, method, path, params, body)
        await asyncio.sleep(faults.reply_delay_seconds)
        if branch.rng.random() < faults.lost_response_probability:
            await asyncio.sleep(NO_REPLY_SECONDS)
        return HttpReply(reply.status, json.loads(json.dumps(reply.body)))

    async def _handle(self, server, method, path, params, body):
        """Return the server's reply; the connection breaks if it crashes meanwhile."""
        incarnation = getattr(server, "incarnation", None)
        reply = await server.handle(method, path, params, body)
        if getattr(server, "incarnation", None) != incarnation:
            raise NoReplyError("connection reset")
        return reply

    async def _execute_late(self, server, late_order, target, faults):
        await asyncio.sleep(
            faults.late_order_seconds * self._branch.rng.uniform(0.3, 1.5)
        )
        if isinstance(server, TaskWorkerStandin) and not server.is_up:
            return
        if _is_target(server, target):
            await server.handle(*late_order)


def _is_target(server: object, target: str) -> bool:
    """Return whether a server is the store, or the worker that is meant."""
    return not isinstance(server, TaskWorkerStandin) or server.worker == target


class Branch:
    """The entries, the store and the workers of one test."""

    def __init__(self, plan: Callable[[str, int], Plan], seed: int = 1):
        self.rng = random.Random(seed)
        self.processor_counts: tuple[float, ...] = ()
        self.renames_crashed_workers = False
        self._seed = seed
        self._incarnation_count = 0
        self.store = RowStoreStandin()
        self.store_latency_seconds = STORE_LATENCY_SECONDS
        self.checker = InvariantChecker()
        self.worker_by_name: dict[str, TaskWorkerStandin] = {}
        self.entry_by_name: dict[str, JobEntry] = {}
        self.counters = Counters()
        self._plan = plan
        self._faults: dict[tuple[str, str], PathFaults] = {}
        self._task_by_entry: dict[str, asyncio.Task[None]] = {}
        self._stop_by_entry: dict[str, asyncio.Event] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()

    # Deployment

    def configure(self, version: int = 1, attempts: int = 2, **route) -> None:
        """Store a configuration with one queue."""
        queue = {
            "name": "q1",
            "host": HOST,
            "pathPrefix": "/q1/",
            "service": SERVICE,
            "priority": 0,
            "attempts": attempts,
            "stretch": 1.5,
            "sloMs": 250,
            **route,
        }
        config = {"version": version, "routes": [queue], "services": [], "limits": {}}
        self.store.put("op", "config", json.dumps(config).encode())

    def add_worker(self, name: str) -> TaskWorkerStandin:
        """Add a worker and register it."""
        worker = TaskWorkerStandin(
            name,
            LEASE_MAX_MS,
            self._plan,
            self.checker.on_start,
            self.checker.on_end,
            on_crash=lambda: self.spawn(self._bring_back(name)),
        )
        self.worker_by_name[name] = worker
        self.register(name)
        return worker

    async def _bring_back(self, name: str) -> None:
        """Start a crashed worker again, maybe under a new identifier."""
        worker = self.worker_by_name[name]
        incarnation = worker.incarnation
        await asyncio.sleep(CRASHED_SECONDS)
        if worker.is_up or worker.incarnation != incarnation:
            return  # a fault of the test has changed it meanwhile, and brings it back
        if self.renames_crashed_workers:
            self.store.delete("servers", worker.worker)
            worker.worker = f"{name}-{worker.incarnation}"
        worker.is_up = True
        self.register(name)

    def register(self, name: str, state: str = "ready") -> None:
        """Write the registration of the worker at an address to the store."""
        worker = self.worker_by_name[name]
        row = worker.registration(f"{name}:80", SERVICE, ["a", "r1"], state)
        capacity = Resources(*worker.capacity.values())
        self.checker.record_capacity(worker.worker, capacity)
        self.store.put("servers", worker.worker, row)

    def set_capacity(self, name: str, **capacity: int) -> None:
        """Change a worker's capacity, and its registration while it is registered."""
        worker = self.worker_by_name[name]
        worker.capacity = {**worker.capacity, **capacity}
        row = self.store.value("servers", worker.worker)
        if row is not None and worker.is_up:
            self.register(name, json.loads(row)["state"])

    def start_entry(self, name: str) -> JobEntry:
        """Start an entry, as a new incarnation."""
        config = parse_vm_config(
            {
                "vm": {
                    "name": name,
                    "zone": "z1",
                    "ip": "10.0.0.1",
                    "processor_count": self._processor_count(name),
                },
                "listen": {"callers": "10.0.0.1:80", "health": "10.0.0.1:81"},
                "store": {"address": STORE_ADDRESS},
                "timing": {"lease_max_ms": LEASE_MAX_MS, "stop_grace_s": 0},
            },
            name,
        )
        self._incarnation_count += 1
        incarnation = f"{self._incarnation_count}-{self._seed}"
        entry = JobEntry(
            config, InMemoryHttpClient(self, name), self.counters, incarnation
        )
        stop = asyncio.Event()
        self.entry_by_name[name] = entry
        self._stop_by_entry[name] = stop
        self._task_by_entry[name] = asyncio.create_task(entry.follow_and_schedule(stop))
        return entry

    def _processor_count(self, name: str) -> float:
        number = int(name.removeprefix("e"))
        return self.processor_counts[number] if self.processor_counts else 1.0

    async def kill_entry(self, name: str) -> None:
        """Kill an entry without a graceful shutdown."""
        task = self._task_by_entry.pop(name)
        task.cancel()
        await asyncio.wait([task])
        del self.entry_by_name[name]

    async def stop_entry(self, name: str) -> None:
        """Stop an entry gracefully and wait until it has ended."""
        self._stop_by_entry[name].set()
        await self._task_by_entry.pop(name)
        del self.entry_by_name[name]

    def faults_between(self, entry: str, address: str) -> PathFaults:
        """Return the faults between an entry and an address; tests may change them."""
        return self._faults.setdefault((entry, address), PathFaults())

    def server_at(self, address: str) -> RowStoreStandin | TaskWorkerStandin | None:
        """Return the server at ``address``, or ``None`` if nothing listens there."""
        if address == STORE_ADDRESS:
            return self.store
        worker = self.worker_by_name.get(address.removesuffix(":80"))
        return worker if worker is not None and worker.is_up else None

    def latency_to(self, address: str) -> float:
        """Return the latency of requests to ``address``."""
        return (
            self.store_latency_seconds
            if address == STORE_ADDRESS
            else WORKER_LATENCY_SECONDS
        )

    def spawn(self, coroutine) -> None:
        """Run a coroutine in the background until it ends or ``close`` is called."""
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def close(self) -> None:
        """Cancel the background tasks."""
        for task in self._background_tasks:
            task.cancel()

    # Jobs and their state

    def scheduling_entry(self) -> str | None:
        """Return the entry that holds the scheduler's lease according to the store."""
        value = self.store.value("scheduler", "lease")
        holder = json.loads(value)[0] if value else None
        return holder[0] if holder else None

    async def submit(self, entry: str, job: str, *steps: StepSpec):
        """Submit a job to an entry."""
        process = self.entry_by_name[entry]
        configuration = process.read_configuration()
        queue = configuration.queue_by_name["q1"]
        return await process.job_store.submit(
            job, JobSpec("text", tuple(steps)), queue, 2.5
        )

    async def submit_when_ready(self, entry: str, job: str, *steps: StepSpec):
        """Submit a job as soon as the entry has a configuration."""
        process = self.entry_by_name[entry]
        await self.wait_until(lambda: process.read_configuration() is not None, 3)
        return await self.submit(entry, job, *steps)

    async def status(self, entry: str, job: str) -> JobStatus | None:
        """Return the status that an entry reports for a job."""
        state = await self.entry_by_name[entry].job_store.find(job, 2.0)
        return state.status if state else None

    async def wait_for_status(
        self, entry: str, job: str, status: JobStatus, timeout_seconds: float
    ) -> None:
        """Wait until an entry reports a status for a job."""
        current_status = None
        async with asyncio.timeout(timeout_seconds):
            while current_status is not status:
                await asyncio.sleep(0.05)
                with contextlib.suppress(StoreError):
                    current_status = await self.status(entry, job)

    async def wait_until(
        self, condition: Callable[[], bool], timeout_seconds: float
    ) -> None:
        """Poll a condition until it holds."""
        async with asyncio.timeout(timeout_seconds):
            while not condition():
                await asyncio.sleep(0.02)


def record_calls(entry: JobEntry, name: str) -> list[tuple[WorkerTarget, Any]]:
    """Return the list to which each call of ``start`` or ``renew`` is added."""
    calls: list[tuple[WorkerTarget, Any]] = []
    send = getattr(entry._orders, name)

    async def record_and_send(target, order):
        calls.append((target, order))
        return await send(target, order)

    setattr(entry._orders, name, record_and_send)
    return calls


class TracebackHandler(logging.Handler):
    """Collects the log records that have a traceback.

    The program contains unexpected errors, also those of its own invariants, so that a
    test would not see them otherwise.
    """

    def __init__(self) -> None:
        super().__init__()
        self.errors: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the message and the error."""
        if record.exc_info and record.exc_info[1] is not None:
            self.errors.append(f"{record.getMessage()}: {record.exc_info[1]!r}")


@contextlib.contextmanager
def collected_tracebacks() -> Iterator[list[str]]:
    """Collect all tracebacks that the package logs inside the block."""
    handler = TracebackHandler()
    logger = logging.getLogger("savorydale")
    logger.addHandler(handler)
    try:
        yield handler.errors
    finally:
        logger.removeHandler(handler)


@contextlib.asynccontextmanager
async def open_branch(
    plan: Callable[[str, int], Plan] = lambda task, run: Plan(0.5),
    entries: int = 2,
    workers: int = 3,
    seed: int = 1,
    asserts_no_violations: bool = True,
    attempts: int = 2,
    processor_counts: tuple[float, ...] = (),
    expects_errors: bool = False,
    capacity_grace_seconds: float = CAPACITY_GRACE_SECONDS,
) -> AsyncIterator[Branch]:
    """Start a branch; on exit, assert that no invariant was violated.

    Neither may an unexpected error have been logged, unless ``expects_errors``.
    """
    with collected_tracebacks() as errors:
        async with _running_branch(
            plan, entries, workers, seed, attempts, processor_counts
        ) as branch:
            branch.checker.capacity_grace_seconds = capacity_grace_seconds
            yield branch
    if asserts_no_violations:
        assert branch.checker.violations == []
    if not expects_errors:
        assert errors == []


@contextlib.asynccontextmanager
async def _running_branch(
    plan: Callable[[str, int], Plan],
    entries: int,
    workers: int,
    seed: int,
    attempts: int,
    processor_counts: tuple[float, ...],
) -> AsyncIterator[Branch]:
    branch = Branch(plan, seed)
    branch.processor_counts = processor_counts
    branch.configure(attempts=attempts)
    for number in range(workers):
        branch.add_worker(f"w{number}")
    for number in range(entries):
        branch.start_entry(f"e{number}")
    await branch.wait_until(lambda: branch.scheduling_entry() is not None, 5)
    await asyncio.sleep(1.0)
    try:
        yield branch
    finally:
        for name in list(branch.entry_by_name):
            with contextlib.suppress(BaseException):
                await branch.kill_entry(name)
        for worker in branch.worker_by_name.values():
            worker.close()
        branch.close()
