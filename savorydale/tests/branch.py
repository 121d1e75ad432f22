"""A whole branch on virtual time: entries, store and workers, with faults.

The entries run the real decisions and the real adapter; only sockets are replaced.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import random
from collections.abc import AsyncIterator, Callable, Sequence

from savorydale.config.vm import parse_vm_config
from savorydale.counters import Counters
from savorydale.exceptions import StoreError
from savorydale.job_entry import JobEntry
from savorydale.jobs.model import JobSpec, StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.platform.http import HttpReply, NoReplyError, NotSentError
from standins.row_store import RowStoreStandin
from standins.task_worker import Plan, TaskWorkerStandin

STORE = "10.9.0.1:80"
SERVICE = "desk"
HOST = "desk.example"
LEASE_MAX_MS = 6_000
LATENCY_SECONDS = 0.001
STORE_SECONDS = 0.004
WORKER_MILLICORES = 8_000
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


class Violations:
    """Checks, from what workers see, what must hold at all times."""

    def __init__(self) -> None:
        self.found: list[str] = []
        self.starts: collections.Counter[str] = collections.Counter()
        self.ends: collections.Counter[str] = collections.Counter()
        self._worker_by_task: dict[str, str] = {}
        self._done: set[str] = set()
        self._noted_done: set[str] = set()
        self._noted_failures: collections.Counter[str] = collections.Counter()
        self._run_by_task: dict[str, int] = {}
        self._failures: collections.Counter[str] = collections.Counter()
        self._steps_by_job: dict[str, Sequence[StepSpec]] = {}
        self._attempts_by_job: dict[str, int] = {}

    def expect(self, job: str, steps: Sequence[StepSpec], attempts: int) -> None:
        """Note what a job consists of, so that more can be checked."""
        self._steps_by_job[job] = steps
        self._attempts_by_job[job] = attempts

    def on_start(self, worker: str, task: str, run: int) -> None:
        self.starts[task] += 1
        if task in self._worker_by_task:
            other = self._worker_by_task[task]
            self.found.append(f"{task} run {run} on {worker} while on {other}")
        if task in self._noted_done:
            self.found.append(f"{task} run {run} after its end was noted")
        self._worker_by_task[task] = worker
        self._run_by_task[task] = run
        job, _, step, _ = task.split(".")
        if job in self._steps_by_job:
            self._check_order(task, job, int(step))
            self._check_attempts(task, job)
            self._check_room(worker)

    def on_end(self, worker: str, task: str, run: int, how: str) -> None:
        match how:
            case "noted done":
                self._noted_done.add(task)
                if self._run_by_task[task] > run:
                    self.found.append(f"{task} ran again after run {run} was done")
                return
            case "noted failed":
                self._noted_failures[task] += 1
                return
            case "done":
                self._done.add(task)
            case "failed":
                self._failures[task] += 1
        if how.startswith("noted"):
            return
        self.ends[task] += 1
        if self._worker_by_task.get(task) == worker:
            del self._worker_by_task[task]

    def missing_tasks(self, job: str) -> list[str]:
        """Return the tasks of a job that have not ended done."""
        return [task for task in self._tasks(job) if task not in self._done]

    def has_failed_out(self, job: str) -> bool:
        """Return whether a task of a job has used up its attempts."""
        attempts = self._attempts_by_job[job]
        return any(self._failures[task] >= attempts for task in self._tasks(job))

    def _tasks(self, job: str, only_step: int | None = None) -> list[str]:
        return [
            f"{job}.0.{step}.{index}"
            for step, spec in enumerate(self._steps_by_job[job])
            if only_step is None or step == only_step
            for index in range(spec.task_count)
        ]

    def _check_order(self, task: str, job: str, step: int) -> None:
        for earlier in self._steps_by_job[job][step].after:
            if any(name not in self._done for name in self._tasks(job, earlier)):
                self.found.append(f"{task} before step {earlier} was done")

    def _check_attempts(self, task: str, job: str) -> None:
        failures = self._noted_failures[task]
        if failures >= self._attempts_by_job[job]:
            self.found.append(f"{task} after {failures} failures")

    def _check_room(self, worker: str) -> None:
        used = 0
        for task, holder in self._worker_by_task.items():
            job, _, step, _ = task.split(".")
            if holder == worker and job in self._steps_by_job:
                used += self._steps_by_job[job][int(step)].cpu_millicores
        if used > WORKER_MILLICORES:
            self.found.append(f"{worker} holds {used} millicores")


class Branch:
    """Entries, store and workers of one test."""

    def __init__(self, plan: Callable[[str, int], Plan], seed: int = 1):
        self.rng = random.Random(seed)
        self._seed = seed
        self._lives = 0
        self.store = RowStoreStandin()
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
                "vm": {"name": name, "zone": "z1", "ip": "10.0.0.1"},
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
        self._task_by_entry[name] = asyncio.create_task(entry.work(stop))
        return entry

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
        return STORE_SECONDS if address == STORE else LATENCY_SECONDS

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
        return await process.desk.submit(job, JobSpec("text", tuple(steps)), queue, 2.5)

    async def submit_when_ready(self, entry: str, job: str, *steps: StepSpec):
        """Hand a job in once the entry has a configuration."""
        process = self.entry_by_name[entry]
        await self.wait_until(lambda: process.read_configuration() is not None, 3)
        return await self.submit(entry, job, *steps)

    async def status(self, entry: str, job: str) -> JobStatus | None:
        """Ask an entry for a job's state."""
        state = await self.entry_by_name[entry].desk.find(job, 2.0)
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
) -> AsyncIterator[Branch]:
    """Start a branch; at the end, check that nothing forbidden was seen."""
    branch = Branch(plan, seed)
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
