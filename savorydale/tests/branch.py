"""A whole branch on virtual time: entries, store and workers, with faults.

The entries run the real decisions and the real adapter; only sockets are replaced.
"""

import asyncio
import contextlib
import dataclasses
import json
import random
from collections.abc import AsyncIterator, Callable

from savorydale.config.vm import parse_vm_config
from savorydale.counters import Counters
from savorydale.exceptions import StoreError
from savorydale.job_entry import JobEntry
from savorydale.jobs.model import JobSpec, StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.platform.http import HttpReply, NoReplyError, NotSentError
from savorydale.tests.violations import Violations
from standins.row_store import RowStoreStandin
from standins.task_worker import Plan, TaskWorkerStandin

STORE = "10.9.0.1:80"
SERVICE = "desk"
HOST = "desk.example"
LEASE_MAX_MS = 6_000
LATENCY_SECONDS = 0.001
STORE_SECONDS = 0.004
UNUSED_SECONDS = 3600.0


@dataclasses.dataclass(slots=True)
class PathFaults:
    """What goes wrong between one entry and one address."""

    is_cut: bool = False
    refuses: bool = False
    delay_seconds: float = 0.0
    lost_answers: float = 0.0
    late_orders: float = 0.0
    late_seconds: float = 3.0


class MemoryHttp:
    """Takes the place of the HTTP client of one entry."""

    def __init__(self, branch: "Branch", entry: str):
        self._branch = branch
        self._entry = entry

    async def send(
        self, method, url, timeout_seconds, body=None, headers=None, params=None
    ):
        address, _, path = url.removeprefix("http://").partition("/")
        faults = self._branch.faults_between(self._entry, address)
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._send(
                    address, method, "/" + path, params or {}, body, faults
                )
        except TimeoutError:
            raise NoReplyError("timeout") from None

    async def _send(self, address, method, path, params, body, faults):
        branch = self._branch
        await asyncio.sleep(branch.latency_to(address) + faults.delay_seconds)
        if faults.refuses:
            return HttpReply(503, {})
        if faults.is_cut:
            await asyncio.sleep(UNUSED_SECONDS)
        target = branch.find(address)
        if target is None:
            raise NotSentError("connection refused")
        body = json.loads(json.dumps(body)) if body is not None else None
        if branch.rng.random() < faults.late_orders:
            branch.spawn(
                self._carry_out_late(target, method, path, params, body, faults)
            )
            await asyncio.sleep(UNUSED_SECONDS)
        reply = await target.handle(method, path, params, body)
        if branch.rng.random() < faults.lost_answers:
            await asyncio.sleep(UNUSED_SECONDS)
        return HttpReply(reply.status, json.loads(json.dumps(reply.body)))

    async def _carry_out_late(self, target, method, path, params, body, faults):
        await asyncio.sleep(faults.late_seconds * self._branch.rng.uniform(0.3, 1.5))
        if isinstance(target, TaskWorkerStandin) and not target.is_up:
            return  # nobody is there to carry it out
        await target.handle(method, path, params, body)


class Branch:
    """Entries, store and workers of one test."""

    def __init__(self, plan: Callable[[str, int], Plan], seed: int = 1):
        self.rng = random.Random(seed)
        self.processor_counts: tuple[float, ...] = ()
        self._seed = seed
        self._lives = 0
        self.store = RowStoreStandin()
        self.store_seconds = STORE_SECONDS
        self.violations = Violations()
        self.worker_by_name: dict[str, TaskWorkerStandin] = {}
        self.entry_by_name: dict[str, JobEntry] = {}
        self.counters = Counters()
        self._plan = plan
        self._faults: dict[tuple[str, str], PathFaults] = {}
        self._task_by_entry: dict[str, asyncio.Task[None]] = {}
        self._stop_by_entry: dict[str, asyncio.Event] = {}
        self._background: set[asyncio.Task[None]] = set()

    # World

    def configure(self, version: int = 1, attempts: int = 2, **route) -> None:
        """Put a configuration with one queue in force."""
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
        """Add a worker that registers itself."""
        worker = TaskWorkerStandin(
            name,
            LEASE_MAX_MS,
            self._plan,
            self.violations.on_start,
            self.violations.on_end,
        )
        self.worker_by_name[name] = worker
        self.register(name)
        return worker

    def register(self, name: str, state: str = "ready") -> None:
        """Let a worker write its registration."""
        worker = self.worker_by_name[name]
        row = worker.registration(f"{name}:80", SERVICE, ["a", "r1"], state)
        self.store.put("servers", name, row)

    def start_entry(self, name: str) -> JobEntry:
        """Start an entry's process."""
        config = parse_vm_config(
            {
                "vm": {
                    "name": name,
                    "zone": "z1",
                    "ip": "10.0.0.1",
                    "processor_count": self._processor_count(name),
                },
                "listen": {"callers": "10.0.0.1:80", "health": "10.0.0.1:81"},
                "store": {"address": STORE},
                "timing": {"lease_max_ms": LEASE_MAX_MS, "stop_grace_s": 0},
            },
            name,
        )
        self._lives += 1
        incarnation = f"{self._lives}-{self._seed}"
        entry = JobEntry(config, MemoryHttp(self, name), self.counters, incarnation)
        stop = asyncio.Event()
        self.entry_by_name[name] = entry
        self._stop_by_entry[name] = stop
        self._task_by_entry[name] = asyncio.create_task(entry.follow_and_schedule(stop))
        return entry

    def _processor_count(self, name: str) -> float:
        number = int(name.removeprefix("e"))
        return self.processor_counts[number] if self.processor_counts else 1.0

    async def kill_entry(self, name: str) -> None:
        """End an entry's process without a word."""
        task = self._task_by_entry.pop(name)
        task.cancel()
        await asyncio.wait([task])
        del self.entry_by_name[name]

    async def stop_entry(self, name: str) -> None:
        """Tell an entry to stop, and wait for it."""
        self._stop_by_entry[name].set()
        await self._task_by_entry.pop(name)
        del self.entry_by_name[name]

    def faults_between(self, entry: str, address: str) -> PathFaults:
        """Return the faults on a path, which a test may change."""
        return self._faults.setdefault((entry, address), PathFaults())

    def find(self, address: str) -> RowStoreStandin | TaskWorkerStandin | None:
        """Return who listens at ``address``."""
        if address == STORE:
            return self.store
        worker = self.worker_by_name.get(address.removesuffix(":80"))
        return worker if worker is not None and worker.is_up else None

    def latency_to(self, address: str) -> float:
        """Return how long an answer from ``address`` takes."""
        return self.store_seconds if address == STORE else LATENCY_SECONDS

    def spawn(self, coroutine) -> None:
        """Run something in the background of the world."""
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def close(self) -> None:
        """End what runs in the background of the world."""
        for task in self._background:
            task.cancel()

    # What entries believe

    def scheduling_entry(self) -> str | None:
        """Return the entry that holds the lease, as the store has it."""
        value = self.store.value("scheduler", "lease")
        holder = json.loads(value)[0] if value else None
        return holder[0] if holder else None

    async def submit(self, entry: str, job: str, *steps: StepSpec):
        """Hand a job in at an entry."""
        process = self.entry_by_name[entry]
        configuration = process.read_configuration()
        queue = configuration.queue_by_name["q1"]
        return await process.job_store.submit(
            job, JobSpec("text", tuple(steps)), queue, 2.5
        )

    async def submit_when_ready(self, entry: str, job: str, *steps: StepSpec):
        """Hand a job in once the entry has a configuration."""
        process = self.entry_by_name[entry]
        await self.wait_until(lambda: process.read_configuration() is not None, 3)
        return await self.submit(entry, job, *steps)

    async def status(self, entry: str, job: str) -> JobStatus | None:
        """Ask an entry for a job's state."""
        state = await self.entry_by_name[entry].job_store.find(job, 2.0)
        return state.status if state else None

    async def wait_for_status(
        self, entry: str, job: str, status: JobStatus, seconds: float
    ) -> None:
        """Wait until an entry shows a job in a state."""
        shown = None
        async with asyncio.timeout(seconds):
            while shown is not status:
                await asyncio.sleep(0.05)
                with contextlib.suppress(StoreError):
                    shown = await self.status(entry, job)

    async def wait_until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Wait until a condition of the test holds."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def open_branch(
    plan: Callable[[str, int], Plan] = lambda task, run: Plan(0.5),
    entries: int = 2,
    workers: int = 3,
    seed: int = 1,
    is_checked: bool = True,
    attempts: int = 2,
    processor_counts: tuple[float, ...] = (),
) -> AsyncIterator[Branch]:
    """Start a branch; at the end, check that nothing forbidden was seen."""
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
    if is_checked:
        assert branch.violations.found == []
