"""Random faults on real processes: entries on loopback, stand-ins behind faulty links.

``python -m savorydale.tests.process_soak --seed N --seeds M`` plays seeds N to N+M-1.
The faults come from outside: links that delay, hold back, reset and refuse; signals
that pause, stop, kill and restart; a store and workers that misbehave.
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
from savorydale.tests.random_jobs import make_plan, random_steps
from savorydale.tests.violations import Violations
from standins.entry_process import STOP_GRACE_SECONDS, EntryProcess, free_port
from standins.proxy import FaultyLink
from standins.row_store import Reply, RowStoreStandin
from standins.serve import serve
from standins.task_worker import Plan, TaskWorkerStandin

ENTRIES = 3
WORKERS = 4
FAULT_SECONDS = 15.0
SETTLE_SECONDS = 45.0
SUBMIT_SECONDS = 0.4
FAULT_GAP_SECONDS = 1.0
CANCEL_RATIO = 0.1
LEASE_MAX_MS = 3_000
CALL_SECONDS = 3.0
SUBMIT_TRIES = 5
VISIBLE_SECONDS = 3.0
LOST_SLACK_SECONDS = 0.2
STOP_MARGIN_SECONDS = 4.0  # starting and ending an interpreter on a busy machine
START_SECONDS = 20.0
HOST = "desk.example"
SERVICE_JOB = f"{0xFEED:016x}"
SERVICE_STEP = StepSpec(2, 500, 100, long_running=True)


class SoakResult(NamedTuple):
    """What one seed gave."""

    faults: int
    jobs: int
    starts: int
    violations: list[str]


class FaultyStore:
    """The store as one entry sees it."""

    def __init__(self, store: RowStoreStandin, rng: random.Random):
        self._store = store
        self._rng = rng
        self.refuses = False
        self.lost_answers = 0.0
        self.slow_seconds = 0.0

    async def handle(
        self, method: str, path: str, params: dict[str, str], body: Any
    ) -> Reply:
        """Answer one request, or fail to."""
        await asyncio.sleep(self.slow_seconds)
        if self.refuses:
            return Reply(self._rng.choice((429, 503)), {"error": "try later"})
        reply = await self._store.handle(method, path, params, body)
        if self._rng.random() < self.lost_answers:
            await asyncio.sleep(CALL_SECONDS)
        return reply


class Entry:
    """One process with the links around it, and what was done to it."""

    def __init__(self, process: EntryProcess, store: FaultyStore, link: FaultyLink):
        self.process = process
        self.store = store
        self.store_link = link
        self.callers_link = FaultyLink(f"127.0.0.1:{process.callers_port}")
        self.is_expected_down = False
        self.routes_seen = 0
        self._disturbances = 0

    @property
    def is_disturbed(self) -> bool:
        """Return whether its callers may lose answers by a fault, or did lately."""
        return self._disturbances > 0

    @contextlib.contextmanager
    def disturbed(self) -> Iterator[None]:
        """Note that a fault disturbs the entry's callers during the block."""
        self._disturbances += 1
        try:
            yield
        finally:
            self._disturbances -= 1


class Soak:
    """One seed: traffic and faults for a while, then none, then checks."""

    def __init__(self, seed: int, folder: pathlib.Path):
        self.rng = random.Random(seed)
        self.violations = Violations()
        self.store = RowStoreStandin()
        self.entries: list[Entry] = []
        self.workers: dict[str, TaskWorkerStandin] = {}
        self.worker_links: dict[str, FaultyLink] = {}
        self.accepted: dict[str, float] = {}
        self.refused: set[str] = set()
        self.cancelled: set[str] = set()
        self.faults = 0
        self._config_version = 0
        self._folder = folder
        self._plan = make_plan(seed)
        self._session: aiohttp.ClientSession | None = None
        self._group: asyncio.TaskGroup | None = None

    # The deployment

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        """Start stand-ins, links and processes; end them after the block."""
        self._configure()
        async with contextlib.AsyncExitStack() as stack:
            for number in range(WORKERS):
                await self._add_worker(f"w{number}", stack)
            for number in range(ENTRIES):
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
            LEASE_MAX_MS,
            self._plan_run,
            self.violations.on_start,
            self.violations.on_end,
            clock_rate=self.rng.uniform(0.98, 1.02),
        )
        address = await stack.enter_async_context(serve(worker, free_port()))
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
        process = EntryProcess(name, link.address, self._folder, LEASE_MAX_MS)
        entry = Entry(process, store, link)
        await stack.enter_async_context(entry.callers_link.open())
        self.entries.append(entry)

    def _plan_run(self, task: str, run: int) -> Plan:
        return Plan(None) if task.startswith(SERVICE_JOB) else self._plan(task, run)

    def _configure(self) -> None:
        """Put the next configuration in force; each has one queue more."""
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

    # The run

    async def run(self) -> SoakResult:
        """Play the seed and return what was seen."""
        await self._wait_until(self._all_ready, START_SECONDS, "entries are ready")
        self.violations.expect(SERVICE_JOB, [SERVICE_STEP], attempts=3)
        await self._submit(SERVICE_JOB, [SERVICE_STEP])
        loop = asyncio.get_running_loop()
        end = loop.time() + FAULT_SECONDS
        async with asyncio.TaskGroup() as group:
            self._group = group
            group.create_task(self._submit_until(end))
            group.create_task(self._look_until(end))
            while loop.time() < end:
                await asyncio.sleep(self.rng.expovariate(1 / FAULT_GAP_SECONDS))
                group.create_task(self._inject())
        await self._check_end()
        starts = self.violations.starts.total()
        return SoakResult(
            self.faults, len(self.accepted), starts, self.violations.found
        )

    async def _all_ready(self) -> bool:
        assert self._session is not None
        ready = [await entry.process.is_ready(self._session) for entry in self.entries]
        return all(ready)

    async def _wait_until(
        self, condition: Callable[[], Awaitable[bool]], seconds: float, what: str
    ) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while not await condition():
            if loop.time() > deadline:
                self.violations.found.append(f"{what}: not within {seconds:.0f} s")
                return
            await asyncio.sleep(0.1)

    # Callers

    async def _submit_until(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(1 / SUBMIT_SECONDS))
            number += 1
            job, steps = f"{number:016x}", random_steps(self.rng)
            self.violations.expect(job, steps, attempts=3)
            assert self._group is not None
            self._group.create_task(self._submit(job, steps))

    async def _submit(self, job: str, steps: list[StepSpec]) -> None:
        """Hand a job in, elsewhere while the outcome is not known or it is refused."""
        statuses = []
        body = {"spec": "text", "steps": [_wire_step(step) for step in steps]}
        for _ in range(SUBMIT_TRIES):
            entry = self.rng.choice(self.entries)
            status, _ = await self._call(entry, "POST", f"/q0/{job}", body)
            statuses.append(status)
            if status == 200:
                self.accepted[job] = asyncio.get_running_loop().time()
                await self._maybe_cancel(job)
                return
            await asyncio.sleep(0.3)
        if set(statuses) <= {429, 503}:
            self.refused.add(job)

    async def _maybe_cancel(self, job: str) -> None:
        if job == SERVICE_JOB or self.rng.random() > CANCEL_RATIO:
            return
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        # Without an answer the request may be stored all the same.
        self.cancelled.add(job)
        await self._call(self.rng.choice(self.entries), "DELETE", f"/q0/{job}")

    async def _look_until(self, end: float) -> None:
        """Ask for states and queues; nothing that was shown may be taken back."""
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await asyncio.sleep(0.1)
            entry = self.rng.choice(self.entries)
            await self._look_for_job(entry)
            await self._look_for_queue(entry)

    async def _look_for_job(self, entry: Entry) -> None:
        known = sorted(self.accepted)
        if not known:
            return
        job = self.rng.choice(known)
        age = asyncio.get_running_loop().time() - self.accepted[job]
        status, _ = await self._call(entry, "GET", f"/q0/{job}")
        if status in (404, 410) and age > VISIBLE_SECONDS:
            self.violations.found.append(f"{job} is not known after {age:.1f} s")

    async def _look_for_queue(self, entry: Entry) -> None:
        number = self._config_version - 1
        before = entry.process.subprocess
        status, _ = await self._call(entry, "GET", f"/q{number}/")
        if entry.process.subprocess is not before:
            return
        if status == 200:
            entry.routes_seen = max(entry.routes_seen, number)
        if status == 404 and number <= entry.routes_seen:
            self.violations.found.append(f"{entry.process.name} forgot queue {number}")

    async def _call(
        self, entry: Entry, method: str, path: str, body: Any = None
    ) -> tuple[int | None, Any]:
        """Send a request; connections are kept and used again until they break."""
        assert self._session is not None
        loop = asyncio.get_running_loop()
        was_disturbed = entry.is_disturbed
        sent_at = loop.time()
        try:
            async with self._session.request(
                method,
                f"http://{entry.callers_link.address}{path}",
                json=body,
                headers={"Host": HOST, "Savorydale-Deadline-Ms": "3000"},
                timeout=aiohttp.ClientTimeout(CALL_SECONDS),
            ) as response:
                return response.status, await response.json()
        except aiohttp.ClientConnectorError:
            return None, None
        except (aiohttp.ClientError, TimeoutError) as error:
            seconds = loop.time() - sent_at
            calm = not (was_disturbed or entry.is_disturbed)
            if calm and LOST_SLACK_SECONDS < seconds < CALL_SECONDS:
                name = entry.process.name
                self.violations.found.append(
                    f"{method} {path} at {name} was cut after {seconds:.1f} s: "
                    f"{error!r}"
                )
            return None, None

    # Faults

    async def _inject(self) -> None:
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._link_to_store,
            self._link_to_worker,
            self._link_to_callers,
            self._store_misbehaves,
            self._lose_history,
            self._crash_worker,
            self._drain_worker,
            self._kill_entries,
            self._stop_entry,
            self._pause_entry,
            self._hang_up_entry,
            self._change_configuration,
        ]
        self.faults += 1
        await self.rng.choice(kinds)()

    def _seconds(self) -> float:
        return self.rng.uniform(0.2, 4.0)

    async def _break_link(self, link: FaultyLink) -> None:
        faults = link.faults
        match self.rng.randrange(4):
            case 0:
                link.reset()
            case 1:
                faults.delay_seconds = self.rng.uniform(0.02, 0.5)
                await asyncio.sleep(self._seconds())
                faults.delay_seconds = 0.0
            case 2:
                faults.holds_requests = True
                await asyncio.sleep(self._seconds())
                faults.holds_requests = False
            case 3:
                faults.holds_answers = True
                await asyncio.sleep(self._seconds())
                faults.holds_answers = False

    async def _link_to_store(self) -> None:
        entry = self.rng.choice(self.entries)
        await self._break_link(entry.store_link)

    async def _link_to_worker(self) -> None:
        await self._break_link(self.worker_links[self._worker()])

    async def _link_to_callers(self) -> None:
        entry = self.rng.choice(self.entries)
        with entry.disturbed():
            await self._break_link(entry.callers_link)
            await asyncio.sleep(CALL_SECONDS)

    async def _store_misbehaves(self) -> None:
        entries = self.rng.choice((self.entries, [self.rng.choice(self.entries)]))
        kind = self.rng.randrange(3)
        for entry in entries:
            entry.store.refuses = kind == 0
            entry.store.lost_answers = 0.4 if kind == 1 else 0.0
            entry.store.slow_seconds = 0.2 if kind == 2 else 0.0
        await asyncio.sleep(self._seconds())
        for entry in entries:
            entry.store.refuses = False
            entry.store.lost_answers = entry.store.slow_seconds = 0.0

    async def _lose_history(self) -> None:
        self.store.truncate_history()

    async def _change_configuration(self) -> None:
        self._configure()

    def _worker(self) -> str:
        return self.rng.choice(sorted(self.workers))

    async def _crash_worker(self) -> None:
        name = self._worker()
        link = self.worker_links[name]
        if link.faults.refuses:
            return
        link.faults.refuses = True
        link.reset()
        self.workers[name].crash()
        await asyncio.sleep(self._seconds())
        link.faults.refuses = False
        self._register(name)

    async def _drain_worker(self) -> None:
        name = self._worker()
        self._register(name, "draining")
        await asyncio.sleep(self._seconds())
        self._register(name)

    async def _kill_entries(self) -> None:
        entries = self.rng.choice((self.entries, [self.rng.choice(self.entries)]))
        entries = [entry for entry in entries if not entry.is_expected_down]
        with contextlib.ExitStack() as stack:
            for entry in entries:
                stack.enter_context(entry.disturbed())
                await self._kill(entry)
            await asyncio.sleep(self._seconds() / 4)
            for entry in entries:
                await self._start_again(entry)
            await asyncio.sleep(CALL_SECONDS)

    async def _kill(self, entry: Entry) -> None:
        entry.is_expected_down = True
        await entry.process.stop(signal.SIGKILL)

    async def _start_again(self, entry: Entry) -> None:
        entry.routes_seen = 0
        await entry.process.start()
        entry.is_expected_down = False

    async def _stop_entry(self) -> None:
        """Stop an entry gracefully; it must answer what it has read and end well."""
        entry = self.rng.choice(self.entries)
        process = entry.process.subprocess
        if entry.is_expected_down or process is None:
            return
        entry.is_expected_down = True
        # A signal before the first port is open ends an interpreter that still starts.
        serves = await _listens(entry.process.callers_port)
        was_disturbed = entry.is_disturbed or not serves
        try:
            async with asyncio.timeout(STOP_GRACE_SECONDS + STOP_MARGIN_SECONDS):
                await entry.process.stop(signal.SIGTERM)
        except TimeoutError:
            await entry.process.stop(signal.SIGKILL)
        if process.returncode != 0 and not (was_disturbed or entry.is_disturbed):
            code = process.returncode
            self.violations.found.append(f"{entry.process.name} ended with {code}")
        with entry.disturbed():
            await self._start_again(entry)
            await asyncio.sleep(CALL_SECONDS)

    async def _pause_entry(self) -> None:
        entry = self.rng.choice(self.entries)
        if entry.is_expected_down or entry.process.subprocess is None:
            return
        with entry.disturbed():
            with contextlib.suppress(ProcessLookupError):
                entry.process.subprocess.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._seconds())
            with contextlib.suppress(ProcessLookupError):
                entry.process.subprocess.send_signal(signal.SIGCONT)
            await asyncio.sleep(CALL_SECONDS)

    async def _hang_up_entry(self) -> None:
        entry = self.rng.choice(self.entries)
        if not entry.is_expected_down and entry.process.subprocess is not None:
            with contextlib.suppress(ProcessLookupError):
                entry.process.subprocess.send_signal(signal.SIGHUP)

    # Checks

    async def _check_end(self) -> None:
        """Check, once all is calm, that every promise to callers was kept."""
        for entry in self.entries:
            if (
                entry.process.subprocess
                and entry.process.subprocess.returncode is not None
            ):
                code = entry.process.subprocess.returncode
                self.violations.found.append(
                    f"{entry.process.name} ended by itself with {code}"
                )
                await entry.process.start()
        open_jobs = dict.fromkeys(sorted(self.accepted))
        open_jobs.pop(SERVICE_JOB, None)

        async def all_ended() -> bool:
            for job in list(open_jobs):
                status = await self._status(job)
                if status in (JobStatus.QUEUED, JobStatus.RUNNING, None):
                    return False
                self.violations.check_outcome(job, status, job in self.cancelled)
                del open_jobs[job]
            return self.violations.running(SERVICE_JOB) == SERVICE_STEP.task_count

        await self._wait_until(all_ended, SETTLE_SECONDS, "jobs end, services run")
        for job in open_jobs:
            self.violations.found.append(f"{job} is {await self._status(job)}")
        started = {task.split(".")[0] for task in self.violations.starts}
        self.violations.found += [
            f"{job} was refused but runs" for job in self.refused & started
        ]

    async def _status(self, job: str) -> JobStatus | None:
        _, body = await self._call(self.entries[0], "GET", f"/q0/{job}")
        return JobStatus(body["state"]) if body and "state" in body else None


async def _listens(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


def _wire_step(step: StepSpec) -> dict[str, Any]:
    """Return a step as callers write it."""
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
    """Play one seed; the logs of the processes go to ``folder``."""
    soak = Soak(seed, folder)
    async with soak.open():
        return await soak.run()


def main() -> int:
    """Play seeds and print what each gave; logs of bad seeds are kept."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many in a row")
    options = parser.parse_args()
    bad = faults = starts = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"savorydale-{seed}-"))
        result = asyncio.run(run_seed(seed, folder))
        faults += result.faults
        starts += result.starts
        bad += bool(result.violations)
        if not result.violations:
            for path in folder.iterdir():
                path.unlink()
            folder.rmdir()
            continue
        print(f"seed {seed}: {len(result.violations)} violations, logs in {folder}")
        for text in result.violations[:8]:
            print(f"  {text}", flush=True)
    print(f"{options.seeds} seeds, {faults} faults, {starts} starts, {bad} bad")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
