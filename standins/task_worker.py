"""Stand-in for a worker that runs tasks under a lease, on the event loop's clock."""

import asyncio
import dataclasses
import json
from collections.abc import Callable
from typing import Any

from standins.row_store import Reply

JsonObject = dict[str, Any]

STOP_DELAY_SECONDS = 0.1
MAX_ENDS_PER_REPLY = 500
STALL_FACTOR = 10_000.0  # a stalled run would end long after the test
INITIAL_CAPACITY = {"cpu": 8000, "memMb": 16000, "gpu": 0}
CRASHED_SECONDS = 2.0  # until a crashed worker is back, if nothing else is set
CRASH = "crash"  # outcome of a run that crashes its worker
CRASHED = "crashed"  # end of a run on a worker that crashed for its own reasons
BESIDE_CRASH = "beside crash"  # end of a run on a worker that another run crashed


@dataclasses.dataclass(slots=True)
class ActiveRun:
    """One run on the worker; it takes ``seconds``, or never ends if ``None``."""

    task: str
    run: int
    seconds: float | None
    outcome: str
    started_at: float
    cpu_share_percent: int = 100
    timer: asyncio.Task[None] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Duration and outcome of a run; it never ends if ``seconds`` is ``None``.

    The outcome `CRASH` crashes the worker.
    """

    seconds: float | None
    outcome: str = "done"


class TaskWorkerStandin:
    """Keeps fencing token, lease, runs and their ends as the platform's workers do.

    ``on_start`` and ``on_end`` report starts, ends and acknowledged ends to a test.
    ``on_crash`` is called when a run has crashed the worker, and sets ``is_up`` again
    later; by default it is back after `CRASHED_SECONDS`.
    """

    def __init__(
        self,
        worker: str,
        lease_max_ms: int,
        plan: Callable[[str, int], Plan],
        on_start: Callable[[str, str, int], None] = lambda *_: None,
        on_end: Callable[[str, str, int, str], None] = lambda *_: None,
        clock_rate: float = 1.0,
        on_crash: Callable[[], None] | None = None,
    ):
        self.worker = worker
        self.lease_max_ms = lease_max_ms
        self.plan = plan
        self.on_start = on_start
        self.on_end = on_end
        self.clock_rate = clock_rate
        self.capacity = dict(INITIAL_CAPACITY)
        self.on_crash = on_crash or self._restart_later
        self.incarnation = 0
        self.is_up = True
        self.is_stalled = False
        self.reported_usage = 0  # of each run: tail in milliseconds, or millicores
        self._restart_timer: asyncio.Task[None] | None = None
        self._start_incarnation()

    def close(self) -> None:
        """Cancel all background tasks."""
        for active_run in self.run_by_task.values():
            if active_run.timer is not None:
                active_run.timer.cancel()
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        if self._restart_timer is not None:
            self._restart_timer.cancel()

    def _start_incarnation(self) -> None:
        self.incarnation += 1000
        self._started_at = asyncio.get_running_loop().time()
        self.token = 0
        self.lease_end_ms = 0
        self.run_by_task: dict[str, ActiveRun] = {}
        self._highest_run_by_task: dict[str, int] = {}
        self._unacknowledged_ends: list[tuple[int, str, int, str, str]] = []
        self._last_void_end = 0
        self._end_count = 0
        self._run_ended = asyncio.Event()
        self._lease_timer: asyncio.Task[None] | None = None

    @property
    def clock_ms(self) -> int:
        """Return the worker's monotonic clock, which may run fast or slow."""
        elapsed = asyncio.get_running_loop().time() - self._started_at
        return int(elapsed * 1000 * self.clock_rate)

    def registration(
        self, address: str, service: str, labels: list[str], state: str = "ready"
    ) -> bytes:
        """Return the registration row that the worker writes to the store."""
        return json.dumps(
            {
                "service": service,
                "address": address,
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": state,
                "coldRemainingMs": 0,
                "capacity": self.capacity,
                "labels": labels,
                "clockMs": self.clock_ms,
                "born": self.incarnation,
                "seq": 1,
            }
        ).encode()

    def crash(self, restarts: bool = True, culprit: str = "") -> None:
        """Lose all runs without reporting their ends, and start a new incarnation.

        With ``restarts`` false the worker stays down. ``culprit`` is the task that
        crashed it, if any.
        """
        for active_run in list(self.run_by_task.values()):
            self._remove(active_run)
            outcome = BESIDE_CRASH if culprit else CRASHED
            if active_run.task == culprit:
                outcome = CRASH
            self.on_end(self.worker, active_run.task, active_run.run, outcome)
        self.is_up = restarts
        if self._lease_timer:
            self._lease_timer.cancel()
        self._run_ended.set()  # renewals in progress are broken off
        self._start_incarnation()

    def _crash_under(self, active_run: ActiveRun) -> None:
        if self.run_by_task.get(active_run.task) is not active_run:
            return
        self.crash(restarts=False, culprit=active_run.task)
        self.on_crash()

    def _restart_later(self) -> None:
        self._restart_timer = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        await asyncio.sleep(CRASHED_SECONDS)
        self.is_up = True

    async def handle(
        self, method: str, path: str, params: dict[str, str], body: JsonObject | None
    ) -> Reply:
        """Handle one request."""
        order = body or {}
        if order.get("fenceToken", 0) < self.token:
            return self._reply(409, reason="fence")
        self.token = order.get("fenceToken", 0)
        match path:
            case "/-/run-start":
                return self._start(order)
            case "/-/run-stop":
                return self._stop(order)
            case "/-/pace":
                return self._throttle(order)
            case "/-/hold":
                return await self._renew(order)
        return Reply(404, {})

    def _start(self, order: JsonObject) -> Reply:
        task, run = order["task"], order["run"]
        active_run = self.run_by_task.get(task)
        if order["deadlineMs"] <= self.clock_ms:
            return self._reply(409, reason="late")
        self._extend_lease(order["deadlineMs"])
        if active_run is not None and active_run.run == run:
            return self._reply(200)
        if run <= self._highest_run_by_task.get(task, 0):
            return self._reply(409, reason="old")
        plan = self.plan(task, run)
        now = asyncio.get_running_loop().time()
        active_run = ActiveRun(task, run, plan.seconds, plan.outcome, now)
        self.run_by_task[task] = active_run
        self._highest_run_by_task[task] = run
        self.on_start(self.worker, task, run)
        if plan.seconds is not None:
            active_run.timer = asyncio.create_task(
                self._end_after(active_run, plan.seconds)
            )
        return self._reply(200)

    async def _end_after(self, active_run: ActiveRun, seconds: float) -> None:
        await asyncio.sleep(seconds * (STALL_FACTOR if self.is_stalled else 1.0))
        if active_run.outcome == CRASH:
            self._crash_under(active_run)
            return
        self._end(active_run, active_run.outcome)

    def _stop(self, order: JsonObject) -> Reply:
        task, run = order["task"], order["run"]
        highest_run = self._highest_run_by_task.get(task, 0)
        self._highest_run_by_task[task] = max(highest_run, run)
        active_run = self.run_by_task.get(task)
        if active_run is not None and active_run.run == run:
            asyncio.create_task(self._stop_after_delay(active_run, "stopped"))
        return self._reply(200)

    async def _stop_after_delay(self, active_run: ActiveRun, outcome: str) -> None:
        await asyncio.sleep(STOP_DELAY_SECONDS)
        self._end(active_run, outcome)

    def _throttle(self, order: JsonObject) -> Reply:
        active_run = self.run_by_task.get(order["task"])
        if active_run is not None:
            active_run.cpu_share_percent = order["percent"]
        return self._reply(200)

    async def _renew(self, order: JsonObject) -> Reply:
        incarnation = self.incarnation
        self._acknowledge_ends(order["ackCursor"])
        if "deadlineMs" in order:
            self._extend_lease(order["deadlineMs"])
        if not self._unacknowledged_ends and order.get("waitMs"):
            run_ended = self._run_ended
            try:
                async with asyncio.timeout(order["waitMs"] / 1000):
                    await run_ended.wait()
            except TimeoutError:
                pass  # no run has ended
        if self.incarnation != incarnation:
            return Reply(421, {})
        usage = self.reported_usage
        running = [
            [active_run.task, active_run.run, "", self._progress(active_run), usage]
            for active_run in self.run_by_task.values()
        ]
        return self._reply(
            200,
            running=running,
            ended=self._unacknowledged_ends[:MAX_ENDS_PER_REPLY],
        )

    def _progress(self, active_run: ActiveRun) -> int:
        if active_run.seconds is None:
            return 100
        if self.is_stalled:
            return 0
        elapsed = asyncio.get_running_loop().time() - active_run.started_at
        return min(99, int(100 * elapsed / active_run.seconds))

    def _acknowledge_ends(self, cursor: int) -> None:
        for number, task, run, outcome, _ in self._unacknowledged_ends:
            if self._last_void_end < number <= cursor:
                self.on_end(self.worker, task, run, f"noted {outcome}")
        self._unacknowledged_ends = [
            end for end in self._unacknowledged_ends if end[0] > cursor
        ]

    def _extend_lease(self, deadline_ms: int) -> None:
        capped_ms = min(deadline_ms, self.clock_ms + self.lease_max_ms)
        self.lease_end_ms = max(self.lease_end_ms, capped_ms)
        if self._lease_timer is None or self._lease_timer.done():
            self._lease_timer = asyncio.create_task(self._expire_lease())

    async def _expire_lease(self) -> None:
        while self.clock_ms < self.lease_end_ms:
            await asyncio.sleep((self.lease_end_ms - self.clock_ms) / 1000 + 0.001)
        # Ends not acknowledged before the lease expired do not count afterwards.
        self._last_void_end = self._end_count
        for active_run in list(self.run_by_task.values()):
            self._end(active_run, "lapsed")

    def _end(self, active_run: ActiveRun, outcome: str) -> None:
        if self.run_by_task.get(active_run.task) is not active_run:
            return
        self._remove(active_run)
        self._end_count += 1
        self._unacknowledged_ends.append(
            (self._end_count, active_run.task, active_run.run, outcome, "")
        )
        self._run_ended.set()
        self._run_ended = asyncio.Event()
        self.on_end(self.worker, active_run.task, active_run.run, outcome)

    def _remove(self, active_run: ActiveRun) -> None:
        del self.run_by_task[active_run.task]
        if (
            active_run.timer is not None
            and active_run.timer is not asyncio.current_task()
        ):
            active_run.timer.cancel()

    def _reply(self, status: int, **body: object) -> Reply:
        return Reply(
            status, {"clockMs": self.clock_ms, "born": self.incarnation, **body}
        )
