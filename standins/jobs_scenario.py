"""Runs jobs on loopback with real entry processes and a stand-in platform.

Two entries accept jobs and the one that schedules is killed. A service must keep
running and all jobs must complete. Run it with ``python -m standins.jobs_scenario``.
"""

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator

import aiohttp

from standins.entry_process import EntryProcess, free_port
from standins.row_store import RowStoreStandin
from standins.serve import serve
from standins.task_worker import Plan, TaskWorkerStandin

ENTRIES = 2
WORKERS = 3
JOBS = 12
TASK_SECONDS = 0.3
LEASE_MAX_MS = 6_000
START_TIMEOUT_SECONDS = 10.0
JOBS_TIMEOUT_SECONDS = 20.0
HOST = "desk.example"
SERVICE_JOB_ID = f"{0xFEED:016x}"


class JobsDeployment:
    """The stand-ins and entry processes of the scenario."""

    def __init__(self, folder: pathlib.Path):
        self.store = RowStoreStandin()
        self.workers = [
            TaskWorkerStandin(f"w{number}", LEASE_MAX_MS, self._plan, self._on_start)
            for number in range(WORKERS)
        ]
        self.starts: dict[str, int] = {}
        self.entries: list[EntryProcess] = []
        self._folder = folder

    def _plan(self, task: str, run: int) -> Plan:
        return Plan(None if task.startswith(SERVICE_JOB_ID) else TASK_SECONDS)

    def _on_start(self, worker: str, task: str, run: int) -> None:
        self.starts[task] = self.starts.get(task, 0) + 1

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[aiohttp.ClientSession]:
        """Serve the stand-ins and run the entries while the context is open."""
        self._configure()
        async with contextlib.AsyncExitStack() as stack:
            for worker in self.workers:
                address = await stack.enter_async_context(serve(worker, free_port()))
                row = worker.registration(address, "desk", ["a", "r1"])
                self.store.put("servers", worker.worker, row)
            store = await stack.enter_async_context(serve(self.store, free_port()))
            session = await stack.enter_async_context(aiohttp.ClientSession())
            for number in range(ENTRIES):
                self.entries.append(
                    EntryProcess(f"e{number}", store, self._folder, LEASE_MAX_MS)
                )
            try:
                for entry in self.entries:
                    await entry.start()
                yield session
            finally:
                for entry in self.entries:
                    await entry.stop(signal.SIGKILL)
                for worker in self.workers:
                    worker.close()

    def _configure(self) -> None:
        route = {"name": "q", "host": HOST, "pathPrefix": "/q/", "service": "desk"}
        route |= {"attempts": 2, "stretch": 1.5, "sloMs": 250}
        config = {"version": 1, "routes": [route], "services": [], "limits": {}}
        self.store.put("op", "config", json.dumps(config).encode())

    def lease_holder(self) -> EntryProcess | None:
        """Return the entry that holds the scheduler lease."""
        value = self.store.value("scheduler", "lease")
        name = json.loads(value)[0] if value else None
        return next((e for e in self.entries if name and e.name == name[0]), None)

    async def call(
        self, session: aiohttp.ClientSession, entry: EntryProcess, method: str, job: str
    ) -> tuple[int, dict]:
        """Submit a job or query its state as a caller does."""
        step = {"count": 3, "cpu": 500, "memMb": 100, "estRuntimeMs": 300}
        if job == SERVICE_JOB_ID:
            step["longRunning"] = True
        body = {"spec": "text", "steps": [step]} if method == "POST" else None
        async with session.request(
            method,
            f"http://127.0.0.1:{entry.callers_port}/q/{job}",
            json=body,
            headers={"Host": HOST, "Savorydale-Deadline-Ms": "3000"},
        ) as response:
            return response.status, await response.json()


async def wait_for(condition, timeout_seconds: float, description: str) -> None:
    """Wait until an async condition is true."""
    deadline = time.monotonic() + timeout_seconds
    while not await condition():
        if time.monotonic() > deadline:
            raise TimeoutError(
                f"{description}: timed out after {timeout_seconds:.0f} s"
            )
        await asyncio.sleep(0.05)


async def run_scenario(folder: pathlib.Path) -> list[str]:
    """Run the scenario and return the failures."""
    deployment = JobsDeployment(folder)
    async with deployment.open() as session:

        async def all_ready() -> bool:
            ready = [await entry.is_ready(session) for entry in deployment.entries]
            return all(ready) and deployment.lease_holder() is not None

        await wait_for(all_ready, START_TIMEOUT_SECONDS, "entries are ready")
        jobs = [f"{number:016x}" for number in range(JOBS)]
        survivor = next(
            entry
            for entry in deployment.entries
            if entry is not deployment.lease_holder()
        )
        for job in [SERVICE_JOB_ID, *jobs]:
            status, _ = await deployment.call(session, survivor, "POST", job)
            assert status == 200, status
        lease_holder = deployment.lease_holder()
        assert lease_holder is not None
        await wait_for(
            lambda: _service_has_started(deployment),
            START_TIMEOUT_SECONDS,
            "the service starts",
        )
        await lease_holder.stop(signal.SIGKILL)
        print(f"jobs: killed {lease_holder.name}, which held the scheduler lease")

        async def all_completed() -> bool:
            states = [
                await deployment.call(session, survivor, "GET", job) for job in jobs
            ]
            return all(body.get("state") == "completed" for _, body in states)

        await wait_for(all_completed, JOBS_TIMEOUT_SECONDS, "all jobs complete")
        restarted = [task for task, count in deployment.starts.items() if count > 1]
        await survivor.stop(signal.SIGTERM)
        assert survivor.subprocess is not None
        failures = [f"{task} started more than once" for task in restarted]
        if survivor.subprocess.returncode != 0:
            failures.append(
                f"{survivor.name} exited with {survivor.subprocess.returncode}"
            )
        return failures


async def _service_has_started(deployment: JobsDeployment) -> bool:
    return sum(task.startswith(SERVICE_JOB_ID) for task in deployment.starts) == 3


def main() -> int:
    """Run the scenario and print its result."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        failures = asyncio.run(run_scenario(pathlib.Path(folder)))
    for failure in failures:
        print(f"jobs: {failure}")
    result = "failed" if failures else f"ok, {JOBS} jobs and a service"
    print(f"jobs: {result}, {time.monotonic() - started_at:.1f} s")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
