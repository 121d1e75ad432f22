"""A small deployment on loopback: real entries, stand-ins for all that they call.

The entries are separate processes, started with the command of the deploy file. The
store and the workers are stand-ins of this project, served from the process of the
script.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import aiohttp
from aiohttp import web

from standins.entry_process import free_port
from standins.row_store import Reply, RowStoreStandin
from standins.task_worker import Plan, TaskWorkerStandin

JsonObject = dict[str, Any]

ROOT = pathlib.Path(__file__).parents[2]
HOST = "desk.example"
PREFIX = "/q/"
GUARDED_PREFIX = "/guarded/"  # of a queue whose policy allows only some workers
SERVICE = "desk"
HEARTBEAT_SECONDS = 1.5
LEASE_MAX_MS = 6_000
FINISH_SECONDS = 14.0  # after the end of the traffic, jobs are asked for
DECISION_SECONDS = 0.2  # of a queue with `advice`
PER_WORKER_SECONDS = 0.002
TICKET_MS = 3_000
DEADLINE_MS = 3_000
STOP_GRACE_SECONDS = 6
ZONE_ROUND_TRIP_SECONDS = 0.001  # to a worker, 0.5 ms each way
MAX_KEY_BYTES = 200  # of a row's table, part and key
READY_SECONDS = 20.0
TARGET_HEADER = "Savorydale-Target-Instance"
UNANSWERED_SECONDS = 30.0
POLL_SECONDS = 0.05
UNANSWERED = 0  # status of a call that got no response

# What deploy/vm.toml.template gives on the small deployment of the users' pages.
SETTINGS = """
[vm]
name = "{name}"
zone = "ga-north-a"
ip = "127.0.0.1"
processor_share = 0.43
processor_count = 1
memory_mb = 300

[listen]
callers = "127.0.0.1:{callers}"
health = "127.0.0.1:{health}"
metrics_port = {metrics}

[store]
address = "{store}"
row_bytes = 65536

[vms]
address = ""
fences_orders = true
orders_per_second = 60.0

[advice]
address = "{policy}"

[timing]
lease_max_ms = 6000
heartbeat_ms = 1500
config_apply_ms = 2000
drain_ms = 2000
stop_grace_s = 6
stop_timeout_ms = 900
gang_timeout_ms = 3000
early_ms = 250
status_retention_s = 120
remote_factor = 2
checkpoint_s = 2
restore_ms = 600
notice_ms = 4500
latency_breach_ms = 4000
vm_order_lease_ms = 3000
maintenance_s = 2
"""


def has_trouble() -> bool:
    """Return whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt`` beside a script."""

    def __init__(self, script: str):
        self._file = pathlib.Path(script).with_name("record.txt").open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{self.seconds():8.3f} {text}\n")
        self._file.flush()

    def seconds(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at


class TaskEvent(NamedTuple):
    """A start, an end or an end that was taken note of, as a worker saw it."""

    at: float
    kind: str
    worker: str
    task: str
    run: int


class Store(RowStoreStandin):
    """The platform's store; a script may put it out of service or delay writes.

    ``find_delay`` returns for a transaction's body for how many seconds it is held
    back; such a transaction is not answered, and is done later if its condition
    still holds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.transaction_seconds = 0.003
        self.is_down = False
        self.find_delay: Callable[[JsonObject], float | None] = lambda body: None
        self.refusals = 0
        self._late: set[asyncio.Task[Reply]] = set()

    async def handle(
        self, method: str, path: str, params: dict[str, str], body: JsonObject | None
    ) -> Reply:
        """Handle one request."""
        if self.is_down:
            return Reply(503, {})
        if path != "/-/rows-tx":
            return await super().handle(method, path, params, body)
        if _has_long_key(body or {}):
            self.refusals += 1
            return Reply(400, {"error": "a key is longer than 200 bytes"})
        seconds = self.find_delay(body or {})
        if seconds is None:
            return await super().handle(method, path, params, body)
        late = asyncio.create_task(self._transact_later(body or {}, seconds))
        self._late.add(late)
        late.add_done_callback(self._late.discard)
        return Reply(UNANSWERED, {})

    async def _transact_later(self, body: JsonObject, seconds: float) -> Reply:
        await asyncio.sleep(seconds)
        return await self._queue_transaction(body)


def _has_long_key(body: JsonObject) -> bool:
    rows = [row for name in ("setKeys", "remove") for row in body.get(name) or []]
    return any(len(row["key"].encode()) > MAX_KEY_BYTES for row in rows)


class Policy:
    """The service that knows which workers a queue's policy allows: all of them."""

    def __init__(self) -> None:
        self.queries = 0

    async def handle(
        self, method: str, path: str, params: dict[str, str], body: JsonObject | None
    ) -> Reply:
        """Answer a query as the queue's ``advice`` says."""
        query = body or {}
        self.queries += 1
        seconds = DECISION_SECONDS + PER_WORKER_SECONDS * len(query["workers"])
        await asyncio.sleep(seconds)
        allowed = [
            [name, make_ticket(query["step"], name)] for name in query["workers"]
        ]
        return Reply(200, {"allowed": allowed, "validMs": TICKET_MS})


def make_ticket(step: str, worker: str) -> str:
    """Return the ticket with which the tasks of a step may start on a worker."""
    return f"ticket {step} {worker}"


class Worker(TaskWorkerStandin):
    """A worker that keeps its registration up to date, as its page says.

    It reports ``service_tail_ms`` as the tail latency of each task that lasts. While
    ``is_shedding`` it starts nothing and is otherwise sound.
    """

    address: str = ""
    server: "Server"
    service_tail_ms = 3
    is_shedding = False
    checks_tickets: Callable[[str], bool] = staticmethod(lambda task: False)

    async def handle(
        self, method: str, path: str, params: dict[str, str], body: JsonObject | None
    ) -> Reply:
        """Handle one request."""
        await asyncio.sleep(ZONE_ROUND_TRIP_SECONDS)
        if path == "/-/run-start" and self.is_shedding:
            return Reply(503, {})
        if path == "/-/run-start" and self.needs_ticket(body or {}):
            return self._reply(409, reason="ticket")
        reply = await super().handle(method, path, params, body)
        for row in reply.body.get("running", ()):
            active_run = self.run_by_task.get(row[0])
            if active_run is not None and active_run.seconds is None:
                row[4] = self.service_tail_ms
        return reply

    def needs_ticket(self, order: JsonObject) -> bool:
        """Return whether a start is rejected for want of a ticket."""
        if not self.checks_tickets(order["task"]):
            return False
        step = order["task"].rpartition(".")[0]
        return order.get("ticket") != make_ticket(step, self.worker)

    def register(self, store: Store, sequence: int) -> None:
        """Write the registration."""
        entry = json.loads(self.registration(self.address, SERVICE, ["a", "r1"]))
        entry["seq"] = sequence
        store.put("servers", self.worker, json.dumps(entry).encode())


class Entry:
    """One entry process of the system."""

    def __init__(self, name: str, store: str, policy: str, folder: pathlib.Path):
        self.name = name
        self.callers_port = free_port()
        self._health_port = free_port()
        self._settings = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                callers=self.callers_port,
                health=self._health_port,
                metrics=free_port(),
                store=store,
                policy=policy,
            )
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONPYCACHEPREFIX"] = str(ROOT / "target" / "review-pycache")
        environment["SAVORYDALE_BOOT"] = str(self._settings)
        with self.log_path.open("ab") as log_file:
            self.process = await asyncio.create_subprocess_exec(
                *command, stdout=log_file, stderr=log_file, cwd=ROOT, env=environment
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Stop the process as the platform does."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        if self.process is None:
            return
        try:
            await asyncio.wait_for(self.process.wait(), STOP_GRACE_SECONDS)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Return whether the platform would send callers to this entry."""
        url = f"http://127.0.0.1:{self._health_port}/-/readiness"
        try:
            async with session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


class Answer(NamedTuple):
    """Status and body of the response to a call; see `UNANSWERED`."""

    status: int
    body: JsonObject


class Deployment:
    """Store, workers, entries and one client of a case."""

    def __init__(
        self, record: Record, plan: Callable[[str, int], Plan], worker_count: int
    ):
        self.record = record
        self.store = Store()
        self.policy = Policy()
        self.events: list[TaskEvent] = []
        self.entries: list[Entry] = []
        self.workers = [
            Worker(
                f"i-{number:08x}", LEASE_MAX_MS, plan, self._record_start, self._on_end
            )
            for number in range(1, worker_count + 1)
        ]
        self.attempts = 2
        self._new_ids = itertools.count(0x1000)
        self._removals: dict[str, float] = {}  # of silent workers' registrations
        self._session: aiohttp.ClientSession | None = None

    def _record_start(self, worker: str, task: str, run: int) -> None:
        self._record("start", worker, task, run)

    def _on_end(self, worker: str, task: str, run: int, outcome: str) -> None:
        self._record(outcome, worker, task, run)

    def _record(self, kind: str, worker: str, task: str, run: int) -> None:
        event = TaskEvent(self.record.seconds(), kind, worker, task, run)
        self.events.append(event)
        self.record.write(f"worker {worker}: {kind} {task} run {run}")

    @contextlib.asynccontextmanager
    async def open(self, entry_count: int) -> AsyncIterator[None]:
        """Run the deployment; entries are ready and one of them has the lease."""
        self._configure()
        async with contextlib.AsyncExitStack() as stack:
            folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
            store = await stack.enter_async_context(_serve(self.store, None))
            for worker in self.workers:
                server = await stack.enter_async_context(_serve(worker, worker))
                worker.server = server
                worker.address = server.address
            policy = await stack.enter_async_context(_serve(self.policy, None))
            heartbeats = asyncio.create_task(self._heartbeat())
            stack.callback(heartbeats.cancel)
            timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000)
            self._session = await stack.enter_async_context(
                aiohttp.ClientSession(timeout=timeout)
            )
            self.entries = [
                Entry(
                    f"edge-ga-north-a-{number}", store.address, policy.address, folder
                )
                for number in range(1, entry_count + 1)
            ]
            try:
                for entry in self.entries:
                    await entry.start()
                await self.wait_until(self._is_serving, READY_SECONDS, "it serves")
                yield
            finally:
                await asyncio.gather(*(entry.stop() for entry in self.entries))
                for worker in self.workers:
                    worker.close()
                self._keep_logs()

    def _configure(self) -> None:
        route = {"name": "tally", "host": HOST, "pathPrefix": PREFIX}
        route |= {"service": SERVICE, "attempts": self.attempts, "priority": 0}
        route |= {"stretch": 1.5, "sloMs": 250}
        guarded = {**route, "name": "guarded", "pathPrefix": GUARDED_PREFIX}
        guarded["advice"] = {
            "decisionMs": DECISION_SECONDS * 1000,
            "perWorkerMs": PER_WORKER_SECONDS * 1000,
            "validMs": TICKET_MS,
        }
        routes = [route, guarded]
        config = {"version": 1, "routes": routes, "services": [], "limits": {}}
        self.store.put("op", "config", json.dumps(config).encode())

    async def _heartbeat(self) -> None:
        sequence = 1
        while True:
            for worker in self.workers:
                if worker.is_up:
                    worker.register(self.store, sequence)
            sequence += 1
            for name, at in list(self._removals.items()):
                if time.monotonic() >= at:
                    del self._removals[name]
                    self.store.delete("servers", name)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _is_serving(self) -> bool:
        assert self._session is not None
        ready = [await entry.is_ready(self._session) for entry in self.entries]
        return all(ready) and self.leader() is not None

    async def crash(self, worker: Worker, down_seconds: float) -> None:
        """Crash a worker: connections break and are refused until it is back.

        It comes back as another worker: under a new id, at the same address. Its old
        registration is removed after three heartbeat intervals of silence.
        """
        self.record.write(f"worker {worker.worker}: crashes")
        await worker.server.close()
        worker.crash(restarts=False)
        self._removals[worker.worker] = time.monotonic() + 3 * HEARTBEAT_SECONDS
        await asyncio.sleep(down_seconds)
        worker.worker = f"i-{next(self._new_ids):08x}"
        worker.is_up = True
        await worker.server.open()
        self.record.write(f"worker {worker.worker}: has started")
        worker.register(self.store, 1)

    def leader(self) -> Entry | None:
        """Return the entry that the lease row names."""
        value = self.store.value("scheduler", "lease")
        holder = json.loads(value)[0] if value else None
        return next((e for e in self.entries if holder and e.name == holder[0]), None)

    def _keep_logs(self) -> None:
        folder = os.environ.get("KEEP_LOGS")
        for entry in self.entries if folder else ():
            copy = pathlib.Path(folder or "") / entry.log_path.name
            copy.write_bytes(entry.log_path.read_bytes())

    # The client

    async def call(
        self,
        entry: Entry,
        method: str,
        job: str,
        body: JsonObject | None = None,
        prefix: str = PREFIX,
    ) -> Answer:
        """Send one call and record it with its answer."""
        assert self._session is not None
        url = f"http://127.0.0.1:{entry.callers_port}{prefix}{job}"
        headers = {"Host": HOST, "Savorydale-Deadline-Ms": str(DEADLINE_MS)}
        self.record.write(f"client: {method} {prefix}{job} to {entry.name}")
        try:
            async with self._session.request(
                method, url, json=body, headers=headers
            ) as response:
                answer = Answer(response.status, await response.json())
        except (aiohttp.ClientError, TimeoutError) as error:
            self.record.write(f"client: {method} {prefix}{job}: no answer, {error!r}")
            return Answer(UNANSWERED, {})
        self.record.write(f"client: {method} {prefix}{job}: {answer}")
        return answer

    async def submit(
        self, entry: Entry, job: str, steps: list[JsonObject], prefix: str = PREFIX
    ) -> Answer:
        """Submit a job once."""
        body = {"spec": f"job {job}", "steps": steps}
        return await self.call(entry, "POST", job, body, prefix)

    async def state_of(self, entry: Entry, job: str) -> str:
        """Return a job's state as a caller sees it, or the status of another answer."""
        answer = await self.call(entry, "GET", job)
        return answer.body.get("state", f"status {answer.status}")

    async def wait_until(
        self,
        condition: Callable[[], Awaitable[bool]],
        timeout_seconds: float,
        description: str,
    ) -> bool:
        """Wait for a condition; return whether it came true in time."""
        deadline = time.monotonic() + timeout_seconds
        while not await condition():
            if time.monotonic() > deadline:
                self.record.write(
                    f"check: not within {timeout_seconds} s: {description}"
                )
                return False
            await asyncio.sleep(0.1)
        self.record.write(f"check: {description}")
        return True

    # What the workers saw

    def starts_of(self, job: str) -> list[TaskEvent]:
        """Return the starts of a job's tasks."""
        return [
            event
            for event in self.events
            if event.kind == "start" and event.task.startswith(job)
        ]

    def starts_after_done(self) -> list[TaskEvent]:
        """Return the starts of tasks after an end ``done`` that was taken note of.

        The end may be taken note of at any time, unless the worker's lease has lapsed
        before.
        """
        noted = {(e.task, e.run) for e in self.events if e.kind == "noted done"}
        done_at: dict[str, float] = {}
        late: list[TaskEvent] = []
        for event in self.events:
            if event.kind == "done" and (event.task, event.run) in noted:
                done_at.setdefault(event.task, event.at)
            elif event.kind == "start" and event.task in done_at:
                late.append(event)
        return late


class Server:
    """Serves a stand-in on a loopback port, which it keeps when it is opened again."""

    def __init__(self, handler: Any, worker: Worker | None):
        self._handler = handler
        self._worker = worker
        self._port = free_port()
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"127.0.0.1:{self._port}"

    async def open(self) -> None:
        """Listen."""
        application = web.Application(client_max_size=16 * 1024 * 1024)
        application.router.add_route("*", "/{path:.*}", self._respond)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", self._port).start()

    async def close(self) -> None:
        """Stop listening and break off all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _respond(self, request: web.Request) -> web.Response:
        raw = await request.read()
        worker = self._worker
        if worker is not None and request.headers.get(TARGET_HEADER) != worker.worker:
            return web.json_response({}, status=421)
        body = json.loads(raw) if raw else None
        reply = await self._handler.handle(
            request.method, request.path, dict(request.query), body
        )
        if reply.status == UNANSWERED:
            await _wait_for_close(request)
            return web.Response(status=500)  # the client is no longer there
        return web.json_response(reply.body, status=reply.status)


async def _wait_for_close(request: web.Request) -> None:
    """Deliver nothing further on a connection, until its client closes it."""
    deadline = time.monotonic() + UNANSWERED_SECONDS
    while request.transport is not None and time.monotonic() < deadline:
        await asyncio.sleep(POLL_SECONDS)


@contextlib.asynccontextmanager
async def _serve(handler: Any, worker: Worker | None) -> AsyncIterator[Server]:
    """Serve a stand-in on a free loopback port."""
    server = Server(handler, worker)
    await server.open()
    try:
        yield server
    finally:
        await server.close()


async def _play_until_terminated(
    record: Record, play: Callable[[Record], Awaitable[bool]]
) -> bool:
    """Play a case; SIGTERM ends it after all processes were stopped."""
    task = asyncio.ensure_future(play(record))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main(script: str, play: Callable[[Record], Awaitable[bool]]) -> None:
    """Play a case and exit with 0 if the rule held, 1 if not, 2 if it couldn't run."""
    record = Record(script)
    record.write(f"trouble: {has_trouble()}")
    try:
        has_held = asyncio.run(_play_until_terminated(record, play))
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case couldn't run: {error!r}")
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.write("the rule held" if has_held else "the rule was broken")
    print("the rule held" if has_held else "the rule was broken")
    sys.exit(0 if has_held else 1)
