"""Odd entries among the workers' registrations, read by real entry processes.

``python -m savorydale.tests.odd_registrations_soak --seed N`` runs one seed. While jobs
are submitted, entries with odd parts change all the time, a worker joins, one drains,
and the lease holder is killed.
"""

import argparse
import asyncio
import contextlib
import json
import pathlib
import shutil
import sys
import tempfile

import aiohttp

from savorydale.tests import process_soak
from savorydale.tests.odd_registrations import ODD_NAMES, make_odd
from savorydale.tests.process_soak import SERVICE_JOB, SERVICE_STEP, Entry, Soak

LEASE_MAX_MS = 8_000  # no run ends with its lease at the takeover
CHANGE_INTERVAL_SECONDS = 0.05
RUN_SECONDS = 12.0  # longer than the events take
STEP_SECONDS = 1.0  # between the events of a run
NOTICE_SECONDS = 0.6  # until a changed registration is certainly followed
READY_CHECK_SECONDS = 0.2
ODD_ROWS = 40
HELD_COPY = "cpu of 400 digits"  # is left for longer, so that jobs are placed meanwhile
MAX_SKIPPED_LINES_PER_SECOND = 10
COPIED_WORKER = "w0"
JOINING_WORKERS = ("w8", "w9")  # before and after the holder is killed
ODD_BODIES = (
    b"",
    b"\xff\xfe",
    b"[" * 100_000,
    b'{"spec":' * 30_000,
    b'{"steps":' + b"1" * 5000 + b"}",
    b'{"spec":"x","steps":{}}',
    b'{"spec":"x","steps":[{"count":true}]}',
    b'{"spec":"x","steps":[{"count":-3}]}',
    b'{"spec":"x","steps":[{"count":1e400}]}',
    b'{"spec":"x","steps":[{"count":NaN}]}',
    b'{"spec":"x","steps":[{"count":1,"cpu":1' + b"0" * 400 + b"}]}",
    b'{"spec":"x","steps":[{"count":1,"memMb":-1' + b"0" * 400 + b"}]}",
    b'{"spec":"x","steps":[{"count":1,"after":[1' + b"0" * 400 + b"]}]}",
    b'{"spec":"x","steps":[{"count":1,"requiredLabel":7}]}',
    b'{"spec":"x","steps":[{"count":1}],"repeatCount":1' + b"0" * 400 + b"}",
    b'{"spec":"x","steps":[' + b"[]," * 50_000 + b"[]]}",
    b'{"spec":"' + b"x" * 300_000 + b'"}',
)
ODD_KEYS = (
    "",
    " ",
    "a\r\nb",
    "a\x00b",
    "a\tb",
    "w\u00f6rker",
    "\U0001f600",
    "\ufffd",
    "x" * 200,
    "w0.",
    "../w0",
    "w0%00",
    "w0?a=b&c",
)


class OddRegistrationsSoak(Soak):
    """One seed: odd entries, a worker that joins and a takeover."""

    lease_max_ms = LEASE_MAX_MS

    def __init__(self, seed: int, folder: pathlib.Path):
        super().__init__(seed, folder)
        self._copies_are_odd = True
        self.changes = 0

    async def run_events(self) -> list[str]:
        """Run the seed and return the violations."""
        await self._wait_until(
            self._all_ready, process_soak.START_TIMEOUT_SECONDS, "entries are ready"
        )
        pids = {entry.process.name: entry.process.pid for entry in self.entries}
        self.checker.add_job(SERVICE_JOB, [SERVICE_STEP], attempts=3)
        await self._submit(SERVICE_JOB, [SERVICE_STEP])
        end_at = asyncio.get_running_loop().time() + RUN_SECONDS
        async with contextlib.AsyncExitStack() as stack:
            async with asyncio.TaskGroup() as group:
                self._group = group
                group.create_task(self._submit_until(end_at))
                group.create_task(self._query_until(end_at))
                group.create_task(self._change_rows_until(end_at))
                group.create_task(self._check_readiness_until(end_at))
                group.create_task(self._send_odd_bodies_until(end_at))
                group.create_task(self._play(stack, end_at))
            self._register(COPIED_WORKER)
            await self._check_final_state()
            for name in JOINING_WORKERS:
                self._expect(self._tasks_started_on(name), f"{name} got no task")
                self.workers[name].close()
        for entry in self.entries:
            self._check_process(entry, pids[entry.process.name])
        service_starts = sum(
            count
            for task, count in self.checker.starts.items()
            if task.startswith(SERVICE_JOB)
        )
        self._expect(
            service_starts == SERVICE_STEP.task_count,
            f"the service's tasks were started {service_starts} times",
        )
        return self.checker.violations

    def _expect(self, is_true: object, violation: str) -> None:
        if not is_true:
            self.checker.violations.append(violation)

    def _tasks_started_on(self, worker: str) -> set[str]:
        return set(self.workers[worker]._highest_run_by_task)

    # Events

    async def _play(self, stack: contextlib.AsyncExitStack, end_at: float) -> None:
        await asyncio.sleep(STEP_SECONDS)
        await self._add_worker(JOINING_WORKERS[0], stack)
        await self._drain_for_a_while()
        self._copies_are_odd = False
        self._put_odd_copy(HELD_COPY)
        await asyncio.sleep(STEP_SECONDS)
        self._register(COPIED_WORKER)
        await asyncio.sleep(NOTICE_SECONDS)
        await self._kill_holder()
        await asyncio.sleep(STEP_SECONDS)
        await self._add_worker(JOINING_WORKERS[1], stack)
        await asyncio.sleep(STEP_SECONDS)
        self._copies_are_odd = True
        # Otherwise only tasks left over from earlier could run on the last worker.
        self._expect(
            asyncio.get_running_loop().time() < end_at,
            "no jobs were submitted while the last worker joined",
        )

    async def _drain_for_a_while(self) -> None:
        """Drain a worker; one without a service, whose tasks would move."""
        worker = next(
            name
            for name in sorted(self.workers)
            if name != COPIED_WORKER and not self._runs_service(name)
        )
        self._register(worker, "draining")
        await asyncio.sleep(NOTICE_SECONDS)
        before = self._tasks_started_on(worker)
        await asyncio.sleep(STEP_SECONDS)
        started = self._tasks_started_on(worker) - before
        self._expect(not started, f"started on a draining worker: {started}")
        self._register(worker)

    def _runs_service(self, worker: str) -> bool:
        runs = self.workers[worker].run_by_task
        return any(task.startswith(SERVICE_JOB) for task in runs)

    async def _kill_holder(self) -> None:
        row = json.loads(self.store.value("scheduler", "lease") or b"[null]")
        holder = row[0][0] if row[0] else self.entries[0].process.name
        entry = next(item for item in self.entries if item.process.name == holder)
        self.entries.remove(entry)
        with entry.impaired():
            await self._kill(entry)
            await asyncio.sleep(process_soak.CALL_TIMEOUT_SECONDS)

    # Odd rows

    async def _change_rows_until(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
            self.changes += 1
            self._change_row()
            if self._copies_are_odd:
                self._alternate_copy()

    def _change_row(self) -> None:
        key = f"odd{self.rng.randrange(ODD_ROWS)}"
        if self.rng.random() < len(ODD_KEYS) / ODD_ROWS:
            key = self.rng.choice(ODD_KEYS)
        if self.rng.random() < 0.1:
            self.store.delete("servers", key)
            return
        value = self._registration_at(self._random_address())
        if self.rng.random() < 0.8:
            value = make_odd(self.rng.choice(ODD_NAMES), value)
        self.store.put("servers", key, value)

    def _random_address(self) -> str:
        """Return the address of a worker, the store, an entry, or of no process."""
        entry = self.rng.choice(self.entries)
        return self.rng.choice(
            (
                *(link.address for link in self.worker_links.values()),
                entry.store_link.address,
                entry.callers_link.address,
                "127.0.0.1:1",
                "[::1]:1",
            )
        )

    def _registration_at(self, address: str) -> bytes:
        worker = self.workers[COPIED_WORKER]
        return worker.registration(address, "desk", ["a", "r1"])

    def _alternate_copy(self) -> None:
        """Put an odd copy of a worker's entry in its place, or the entry itself."""
        if self.changes % 2:
            self._register(COPIED_WORKER)
        else:
            self._put_odd_copy(self.rng.choice(ODD_NAMES))

    def _put_odd_copy(self, name: str) -> None:
        address = self.worker_links[COPIED_WORKER].address
        odd = make_odd(name, self._registration_at(address))
        self.store.put("servers", COPIED_WORKER, odd)

    # Callers' odd bodies

    async def _send_odd_bodies_until(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
            await self._send_odd_body(self.rng.choice(self.entries))

    async def _send_odd_body(self, entry: Entry) -> None:
        assert self._session is not None
        body = self.rng.choice(ODD_BODIES)
        url = f"http://{entry.callers_link.address}/q0/{self.rng.randrange(2**64):016x}"
        headers = {"Host": process_soak.HOST, "Content-Type": "application/json"}
        try:
            async with self._session.post(url, data=body, headers=headers) as response:
                status = response.status
        except aiohttp.ClientError as error:
            self._expect(entry.is_impaired, f"{body[:60]!r}: {error!r}")
            return
        self._expect(status in (400, 413), f"{body[:60]!r}: {status}")

    # Checks

    async def _check_readiness_until(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        assert self._session is not None
        while loop.time() < end_at:
            await asyncio.sleep(READY_CHECK_SECONDS)
            for entry in list(self.entries):
                is_ready = await entry.process.is_ready(self._session)
                if not is_ready and entry in self.entries:
                    name = entry.process.name
                    self.checker.violations.append(f"{name} is not ready")

    def _check_process(self, entry: Entry, pid: int | None) -> None:
        process = entry.process
        self._expect(process.pid == pid, f"{process.name} is another process")
        for event in ("lease given up after an unexpected error", "lease lost"):
            count = process.logged_events(event)
            self._expect(count == 0, f"{process.name}: {event}, {count} times")
        lines = process.logged_events("registration is skipped")
        limit = RUN_SECONDS * MAX_SKIPPED_LINES_PER_SECOND
        self._expect(lines <= limit, f"{process.name}: {lines} lines for odd entries")


async def run_seed(seed: int, folder: pathlib.Path) -> list[str]:
    """Run one seed; the logs of the processes go to ``folder``."""
    soak = OddRegistrationsSoak(seed, folder)
    async with soak.open():
        return await soak.run_events()


def main() -> int:
    """Run seeds, print their violations and keep the logs of those that failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"savorydale-odd-{seed}-"))
        violations = asyncio.run(run_seed(seed, folder))
        failed += bool(violations)
        if not violations:
            shutil.rmtree(folder)
            continue
        print(f"seed {seed}: {len(violations)} violations, logs in {folder}")
        for text in violations[:8]:
            print(f"  {text}", flush=True)
    print(f"{options.seeds} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
