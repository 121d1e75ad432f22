"""Soak test: random faults on real entry processes on loopback.

``python -m savorydale.tests.process_soak --seed N --seeds M`` runs seeds N to N+M-1.
The faults come from outside the processes: proxies that delay, hold, reset and refuse
connections; signals that pause, stop and kill; a store and workers that misbehave.
"""

import argparse
import asyncio
import contextlib
import json
import pathlib
import random
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Any, NamedTuple

import aiohttp

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.tests.invariant_checker import InvariantChecker
from savorydale.tests.random_jobs import make_plan, random_steps
from standins.entry_process import STOP_GRACE_SECONDS, EntryProcess, free_port
from standins.proxy import FaultyLink
from standins.row_store import Reply, RowStoreStandin
from standins.serve import serve
from standins.task_worker import Plan, TaskWorkerStandin

ENTRY_COUNT = 3
WORKER_COUNT = 4
FAULT_SECONDS = 15.0
SETTLE_TIMEOUT_SECONDS = 45.0
SUBMIT_INTERVAL_SECONDS = 0.4
FAULT_INTERVAL_SECONDS = 1.0
CANCEL_PROBABILITY = 0.1
LEASE_MAX_MS = 3_000
CALL_TIMEOUT_SECONDS = 3.0
SUBMIT_ATTEMPTS = 5
JOB_VISIBLE_SECONDS = 3.0
LOST_RESPONSE_MIN_SECONDS = 0.2  # a stale reused connection fails sooner
STOP_MARGIN_SECONDS = 4.0  # starting and ending an interpreter on a busy machine
START_TIMEOUT_SECONDS = 20.0
HOST = "desk.example"
SERVICE_JOB = f"{0xFEED:016x}"
SERVICE_STEP = StepSpec(2, 500, 100, long_running=True)


class SoakResult(NamedTuple):
    """Counts and violations of one seed."""

    faults: int
    jobs: int
    starts: int
    violations: list[str]


class FaultyStore:
    """Passes the requests of one entry to the store, with faults."""

    def __init__(self, store: RowStoreStandin, rng: random.Random):
        self._store = store
        self._rng = rng
        self.refuses = False
        self.lost_response_probability = 0.0
        self.delay_seconds = 0.0

    async def handle(
        self, method: str, path: str, params: dict[str, str], body: Any
    ) -> Reply:
        """Handle one request and apply the faults."""
        await asyncio.sleep(self.delay_seconds)
        if self.refuses:
            return Reply(self._rng.choice((429, 503)), {"error": "try later"})
        reply = await self._store.handle(method, path, params, body)
        if self._rng.random() < self.lost_response_probability:
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
        return reply


class Entry:
    """One entry process, its links and the faults on them."""

    def __init__(self, process: EntryProcess, store: FaultyStore, link: FaultyLink):
        self.process = process
        self.store = store
        self.store_link = link
        self.callers_link = FaultyLink(f"127.0.0.1:{process.callers_port}")
        self.is_expected_down = False
        self.highest_queue_served = 0
        self._impairments = 0

    @property
    def is_impaired(self) -> bool:
        """Return whether a current or recent fault may lose responses to callers."""
        return self._impairments > 0

    @contextlib.contextmanager
    def impaired(self) -> Iterator[None]:
        """Mark the entry as impaired by a fault during the block."""
        self._impairments += 1
        try:
            yield
        finally:
            self._impairments -= 1


class Soak:
    """One seed: jobs and faults, then a time without either, then checks."""

    lease_max_ms = LEASE_MAX_MS

    def __init__(self, seed: int, folder: pathlib.Path):
        self.rng = random.Random(seed)
        self.checker = InvariantChecker()
        self.store = RowStoreStandin()
        self.entries: list[Entry] = []
        self.workers: dict[str, TaskWorkerStandin] = {}
        self.worker_links: dict[str, FaultyLink] = {}
        self.accepted_at_by_job: dict[str, float] = {}
        self.refused: set[str] = set()
        self.cancelled: set[str] = set()
        self.faults = 0
        self._config_version = 0
        self._folder = folder
        self._plan = make_plan(seed)
        self._session: aiohttp.ClientSession | None = None
        self._group: asyncio.TaskGroup | None = None

    # Deployment

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        """Start the stand-ins, links and entries; stop them on exit."""
        self._configure()
        async with contextlib.AsyncExitStack() as stack:
            for number in range(WORKER_COUNT):
                await self._add_worker(f"w{number}", stack)
            for number in range(ENTRY_COUNT):
                await self._add_entry(f"e{number}", stack)
            self._session = await stack.enter_async_context(aiohttp.ClientSession())
            try:
                for entry in self.entries:
                    await entry.process.start()
                yield
            finally:
                for entry in self.entries:
                    await self._kill(entry)
                for worker in self.workers.values():
                    worker.close()

    async def _add_worker(self, name: str, stack: contextlib.AsyncExitStack) -> None:
        worker = TaskWorkerStandin(
            name,
            self.lease_max_ms,
            self._plan_run,
            self.checker.on_start,
            self.checker.on_end,
            clock_rate=self.rng.uniform(0.98, 1.02),
        )
        address = await stack.enter_async_context(
            serve(worker, free_port(), lambda: worker.worker)
        )
        link = FaultyLink(address)
        await stack.enter_async_context(link.open())
        self.workers[name] = worker
        self.worker_links[name] = link
        self._register(name)

    async def _add_entry(self, name: str, stack: contextlib.AsyncExitStack) -> None:
        store = FaultyStore(self.store, self.rng)
        address = await stack.enter_async_context(serve(store, free_port()))
        link = FaultyLink(address)
        await stack.enter_async_context(link.open())
        process = EntryProcess(name, link.address, self._folder, self.lease_max_ms)
        entry = Entry(process, store, link)
        await stack.enter_async_context(entry.callers_link.open())
        self.entries.append(entry)

    def _plan_run(self, task: str, run: int) -> Plan:
        return Plan(None) if task.startswith(SERVICE_JOB) else self._plan(task, run)

    def _configure(self) -> None:
        """Store the next configuration, which has one more queue than the last."""
        self._config_version += 1
        routes = [
            {
                "name": f"q{number}",
                "host": HOST,
                "pathPrefix": f"/q{number}/",
                "service": "desk",
                "attempts": 3,
                "stretch": 1.5,
                "sloMs": 250,
            }
            for number in range(self._config_version)
        ]
        config = {"version": self._config_version, "routes": routes, "services": []}
        self.store.put("op", "config", json.dumps(config).encode())

    def _register(self, name: str, state: str = "ready") -> None:
        link = self.worker_links[name]
        row = self.workers[name].registration(link.address, "desk", ["a", "r1"], state)
        self.store.put("servers", name, row)

    # Run

    async def run(self) -> SoakResult:
        """Run the seed and return its result."""
        await self._wait_until(
            self._all_ready, START_TIMEOUT_SECONDS, "entries are ready"
        )
        self.checker.add_job(SERVICE_JOB, [SERVICE_STEP], attempts=3)
        await self._submit(SERVICE_JOB, [SERVICE_STEP])
        loop = asyncio.get_running_loop()
        end_at = loop.time() + FAULT_SECONDS
        async with asyncio.TaskGroup() as group:
            self._group = group
            group.create_task(self._submit_until(end_at))
            group.create_task(self._query_until(end_at))
            while loop.time() < end_at:
                await asyncio.sleep(self.rng.expovariate(1 / FAULT_INTERVAL_SECONDS))
                group.create_task(self._inject_fault())
        await self._check_final_state()
        starts = self.checker.starts.total()
        return SoakResult(
            self.faults, len(self.accepted_at_by_job), starts, self.checker.violations
        )

    async def _all_ready(self) -> bool:
        assert self._session is not None
        ready = [await entry.process.is_ready(self._session) for entry in self.entries]
        return all(ready)

    async def _wait_until(
        self,
        condition: Callable[[], Awaitable[bool]],
        timeout_seconds: float,
        description: str,
    ) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        while not await condition():
            if loop.time() > deadline:
                self.checker.violations.append(
                    f"{description}: not within {timeout_seconds:.0f} s"
                )
                return
            await asyncio.sleep(0.1)

    # Callers

    async def _submit_until(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < end_at:
            await asyncio.sleep(self.rng.expovariate(1 / SUBMIT_INTERVAL_SECONDS))
            number += 1
            job, steps = f"{number:016x}", random_steps(self.rng)
            self.checker.add_job(job, steps, attempts=3)
            assert self._group is not None
            self._group.create_task(self._submit(job, steps))

    async def _submit(self, job: str, steps: list[StepSpec]) -> None:
        """Submit a job to random entries until one accepts it; give up after a few."""
        statuses = []
        body = {"spec": "text", "steps": [_encode_step(step) for step in steps]}
        for _ in range(SUBMIT_ATTEMPTS):
            entry = self.rng.choice(self.entries)
            status, _ = await self._call(entry, "POST", f"/q0/{job}", body)
            statuses.append(status)
            if status == 200:
                self.accepted_at_by_job[job] = asyncio.get_running_loop().time()
                await self._maybe_cancel(job)
                return
            await asyncio.sleep(0.3)
        if set(statuses) <= {429, 503}:
            self.refused.add(job)

    async def _maybe_cancel(self, job: str) -> None:
        if job == SERVICE_JOB or self.rng.random() > CANCEL_PROBABILITY:
            return
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        # The request may be stored even if its response is lost.
        self.cancelled.add(job)
        await self._call(self.rng.choice(self.entries), "DELETE", f"/q0/{job}")

    async def _query_until(self, end_at: float) -> None:
        """Query jobs and queues; one that was visible must not disappear."""
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            await asyncio.sleep(0.1)
            entry = self.rng.choice(self.entries)
            await self._check_job_is_visible(entry)
            await self._check_queue_is_visible(entry)

    async def _check_job_is_visible(self, entry: Entry) -> None:
        known = sorted(self.accepted_at_by_job)
        if not known:
            return
        job = self.rng.choice(known)
        age = asyncio.get_running_loop().time() - self.accepted_at_by_job[job]
        status, _ = await self._call(entry, "GET", f"/q0/{job}")
        if status in (404, 410) and age > JOB_VISIBLE_SECONDS:
            self.checker.violations.append(
                f"{job} is unknown {age:.1f} s after it was accepted"
            )

    async def _check_queue_is_visible(self, entry: Entry) -> None:
        number = self._config_version - 1
        process_before = entry.process.subprocess
        status, _ = await self._call(entry, "GET", f"/q{number}/")
        if entry.process.subprocess is not process_before:
            return
        if status == 200:
            entry.highest_queue_served = max(entry.highest_queue_served, number)
        if status == 404 and number <= entry.highest_queue_served:
            self.checker.violations.append(
                f"{entry.process.name} no longer knows queue {number}"
            )

    async def _call(
        self, entry: Entry, method: str, path: str, body: Any = None
    ) -> tuple[int | None, Any]:
        """Send a request; connections are kept alive and reused."""
        assert self._session is not None
        loop = asyncio.get_running_loop()
        was_impaired = entry.is_impaired
        sent_at = loop.time()
        try:
            async with self._session.request(
                method,
                f"http://{entry.callers_link.address}{path}",
                json=body,
                headers={"Host": HOST, "Savorydale-Deadline-Ms": "3000"},
                timeout=aiohttp.ClientTimeout(CALL_TIMEOUT_SECONDS),
            ) as response:
                return response.status, await response.json()
        except aiohttp.ClientConnectorError:
            return None, None
        except (aiohttp.ClientError, TimeoutError) as error:
            seconds = loop.time() - sent_at
            is_healthy = not (was_impaired or entry.is_impaired)
            if (
                is_healthy
                and LOST_RESPONSE_MIN_SECONDS < seconds < CALL_TIMEOUT_SECONDS
            ):
                name = entry.process.name
                self.checker.violations.append(
                    f"{method} {path} to {name} got no response after {seconds:.1f} s: "
                    f"{error!r}"
                )
            return None, None

    # Faults

    async def _inject_fault(self) -> None:
        injectors: list[Callable[[], Awaitable[None]]] = [
            self._break_store_link,
            self._break_worker_link,
            self._break_caller_link,
            self._degrade_store,
            self._lose_store_history,
            self._crash_worker,
            self._drain_worker,
            self._kill_entries,
            self._stop_entry,
            self._pause_entry,
            self._send_sighup,
            self._change_configuration,
        ]
        self.faults += 1
        await self.rng.choice(injectors)()

    def _random_seconds(self) -> float:
        return self.rng.uniform(0.2, 4.0)

    async def _inject_link_fault(self, link: FaultyLink) -> None:
        faults = link.faults
        match self.rng.randrange(4):
            case 0:
                link.reset()
            case 1:
                faults.delay_seconds = self.rng.uniform(0.02, 0.5)
                await asyncio.sleep(self._random_seconds())
                faults.delay_seconds = 0.0
            case 2:
                faults.holds_requests = True
                await asyncio.sleep(self._random_seconds())
                faults.holds_requests = False
            case 3:
                faults.holds_answers = True
                await asyncio.sleep(self._random_seconds())
                faults.holds_answers = False

    async def _break_store_link(self) -> None:
        entry = self.rng.choice(self.entries)
        await self._inject_link_fault(entry.store_link)

    async def _break_worker_link(self) -> None:
        await self._inject_link_fault(self.worker_links[self._random_worker()])

    async def _break_caller_link(self) -> None:
        entry = self.rng.choice(self.entries)
        with entry.impaired():
            await self._inject_link_fault(entry.callers_link)
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)

    async def _degrade_store(self) -> None:
        entries = self.rng.choice((self.entries, [self.rng.choice(self.entries)]))
        kind = self.rng.randrange(3)
        for entry in entries:
            entry.store.refuses = kind == 0
            entry.store.lost_response_probability = 0.4 if kind == 1 else 0.0
            entry.store.delay_seconds = 0.2 if kind == 2 else 0.0
        await asyncio.sleep(self._random_seconds())
        for entry in entries:
            entry.store.refuses = False
            entry.store.lost_response_probability = entry.store.delay_seconds = 0.0

    async def _lose_store_history(self) -> None:
        self.store.truncate_history()

    async def _change_configuration(self) -> None:
        self._configure()

    def _random_worker(self) -> str:
        return self.rng.choice(sorted(self.workers))

    async def _crash_worker(self) -> None:
        name = self._random_worker()
        link = self.worker_links[name]
        if link.faults.refuses:
            return
        link.faults.refuses = True
        link.reset()
        self.workers[name].crash()
        await asyncio.sleep(self._random_seconds())
        link.faults.refuses = False
        self._register(name)

    async def _drain_worker(self) -> None:
        name = self._random_worker()
        self._register(name, "draining")
        await asyncio.sleep(self._random_seconds())
        self._register(name)

    async def _kill_entries(self) -> None:
        entries = self.rng.choice((self.entries, [self.rng.choice(self.entries)]))
        entries = [entry for entry in entries if not entry.is_expected_down]
        with contextlib.ExitStack() as stack:
            for entry in entries:
                stack.enter_context(entry.impaired())
                await self._kill(entry)
            await asyncio.sleep(self._random_seconds() / 4)
            for entry in entries:
                await self._restart(entry)
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)

    async def _kill(self, entry: Entry) -> None:
        entry.is_expected_down = True
        await entry.process.stop(signal.SIGKILL)

    async def _restart(self, entry: Entry) -> None:
        entry.highest_queue_served = 0
        await entry.process.start()
        entry.is_expected_down = False

    async def _stop_entry(self) -> None:
        """Stop an entry gracefully; it must answer requests it has read and exit 0."""
        entry = self.rng.choice(self.entries)
        process = entry.process.subprocess
        if entry.is_expected_down or process is None:
            return
        entry.is_expected_down = True
        # SIGTERM kills an interpreter that has not opened its first port yet.
        is_listening = await _is_listening(entry.process.callers_port)
        was_impaired = entry.is_impaired or not is_listening
        try:
            async with asyncio.timeout(STOP_GRACE_SECONDS + STOP_MARGIN_SECONDS):
                await entry.process.stop(signal.SIGTERM)
        except TimeoutError:
            await entry.process.stop(signal.SIGKILL)
        if process.returncode != 0 and not (was_impaired or entry.is_impaired):
            code = process.returncode
            self.checker.violations.append(
                f"{entry.process.name} exited with {code} after SIGTERM"
            )
        with entry.impaired():
            await self._restart(entry)
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)

    async def _pause_entry(self) -> None:
        entry = self.rng.choice(self.entries)
        if entry.is_expected_down or entry.process.subprocess is None:
            return
        with entry.impaired():
            with contextlib.suppress(ProcessLookupError):
                entry.process.subprocess.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._random_seconds())
            with contextlib.suppress(ProcessLookupError):
                entry.process.subprocess.send_signal(signal.SIGCONT)
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)

    async def _send_sighup(self) -> None:
        entry = self.rng.choice(self.entries)
        # The interpreter needs some time until it runs the first line of the program.
        if entry.process.handles(signal.SIGHUP):
            with contextlib.suppress(ProcessLookupError):
                entry.process.subprocess.send_signal(signal.SIGHUP)

    # Checks

    async def _check_final_state(self) -> None:
        """Check that entries run, accepted jobs end and refused jobs never started."""
        for entry in self.entries:
            if (
                entry.process.subprocess
                and entry.process.subprocess.returncode is not None
            ):
                code = entry.process.subprocess.returncode
                self.checker.violations.append(
                    f"{entry.process.name} exited unexpectedly with {code}"
                )
                await entry.process.start()
            self.checker.violations += entry.process.logged_tracebacks()
        pending_jobs = dict.fromkeys(sorted(self.accepted_at_by_job))
        pending_jobs.pop(SERVICE_JOB, None)

        async def is_settled() -> bool:
            for job in list(pending_jobs):
                status = await self._status(job)
                if status in (JobStatus.QUEUED, JobStatus.RUNNING, None):
                    return False
                self.checker.check_final_status(job, status, job in self.cancelled)
                del pending_jobs[job]
            return (
                self.checker.running_task_count(SERVICE_JOB) == SERVICE_STEP.task_count
            )

        await self._wait_until(
            is_settled, SETTLE_TIMEOUT_SECONDS, "jobs have ended and services run"
        )
        for job in pending_jobs:
            self.checker.violations.append(
                f"{job} still has status {await self._status(job)}"
            )
        started = {task.split(".")[0] for task in self.checker.starts}
        self.checker.violations += [
            f"{job} was refused but started" for job in self.refused & started
        ]

    async def _status(self, job: str) -> JobStatus | None:
        _, body = await self._call(self.entries[0], "GET", f"/q0/{job}")
        return JobStatus(body["state"]) if body and "state" in body else None


async def _is_listening(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


def _encode_step(step: StepSpec) -> dict[str, Any]:
    """Return a step in the form that callers submit."""
    fields = {
        "count": step.task_count,
        "cpu": step.cpu_millicores,
        "memMb": step.memory_mb,
        "estRuntimeMs": step.estimate_ms,
        "after": list(step.after),
        "checkpointing": step.checkpointing,
        "longRunning": step.long_running,
    }
    return {name: value for name, value in fields.items() if value}


async def run_seed(seed: int, folder: pathlib.Path) -> SoakResult:
    """Run one seed; the logs of the processes go to ``folder``."""
    soak = Soak(seed, folder)
    async with soak.open():
        return await soak.run()


def main() -> int:
    """Run the seeds and print their violations; logs of failed seeds are kept."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds"
    )
    options = parser.parse_args()
    failed = faults = starts = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"savorydale-{seed}-"))
        result = asyncio.run(run_seed(seed, folder))
        faults += result.faults
        starts += result.starts
        failed += bool(result.violations)
        if not result.violations:
            for path in folder.iterdir():
                path.unlink()
            folder.rmdir()
            continue
        print(f"seed {seed}: {len(result.violations)} violations, logs in {folder}")
        for text in result.violations[:8]:
            print(f"  {text}", flush=True)
    print(f"{options.seeds} seeds, {faults} faults, {starts} starts, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
