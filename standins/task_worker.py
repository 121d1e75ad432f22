"""Stand-in for a worker that runs tasks under a lease, on the running loop's clock."""

import asyncio
import dataclasses
import json
from collections.abc import Callable
from typing import Any

from standins.row_store import Reply

JsonObject = dict[str, Any]

STOP_SECONDS = 0.1
MAX_ENDS = 500
UNUSED_FACTOR = 10_000.0  # a stalled run ends long after the test


@dataclasses.dataclass(slots=True)
class HeldRun:
    """One run on the worker; ``seconds`` is its work, ``None`` for ever."""

    task: str
    run: int
    seconds: float | None
    outcome: str
    started_at: float
    percent: int = 100
    timer: asyncio.Task[None] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """How long a run works, and how it ends; ``seconds`` ``None`` for ever."""

    seconds: float | None
    outcome: str = "done"


class TaskWorkerStandin:
    """Keeps fencing token, lease, runs and ends as the platform's workers do.

    ``on_start`` and ``on_end`` tell a test what the worker saw.
    """

    def __init__(
        self,
        worker: str,
        lease_max_ms: int,
        plan: Callable[[str, int], Plan],
        on_start: Callable[[str, str, int], None] = lambda *_: None,
        on_end: Callable[[str, str, int, str], None] = lambda *_: None,
        clock_rate: float = 1.0,
    ):
        self.worker = worker
        self.lease_max_ms = lease_max_ms
        self.plan = plan
        self.on_start = on_start
        self.on_end = on_end
        self.clock_rate = clock_rate
        self.born = 0
        self.is_up = True
        self.is_stalled = False
        self._begin_life()

    def close(self) -> None:
        """End all that the worker does in the background."""
        for held in self.run_by_task.values():
            if held.timer is not None:
                held.timer.cancel()
        if self._lease_timer is not None:
            self._lease_timer.cancel()

    def _begin_life(self) -> None:
        self.born += 1000
        self._born_at = asyncio.get_running_loop().time()
        self.token = 0
        self.lease_end_ms = 0
        self.run_by_task: dict[str, HeldRun] = {}
        self._highest_by_task: dict[str, int] = {}
        self._ends: list[tuple[int, str, int, str, str]] = []
        self._void_until = 0
        self._end_count = 0
        self._ended = asyncio.Event()
        self._lease_timer: asyncio.Task[None] | None = None

    @property
    def clock_ms(self) -> int:
        """Return the worker's steady clock, which may be fast or slow."""
        elapsed = asyncio.get_running_loop().time() - self._born_at
        return int(elapsed * 1000 * self.clock_rate)

    def registration(
        self, address: str, service: str, labels: list[str], state: str = "ready"
    ) -> bytes:
        """Return what the worker writes to the store about itself."""
        return json.dumps(
            {
                "service": service,
                "address": address,
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": state,
                "coldRemainingMs": 0,
                "capacity": {"cpu": 8000, "memMb": 16000, "gpu": 0},
                "labels": labels,
                "clockMs": self.clock_ms,
                "born": self.born,
                "seq": 1,
            }
        ).encode()

    def crash(self, restarts: bool = True) -> None:
        """Lose all runs without a word; begin a new life if it restarts."""
        for held in list(self.run_by_task.values()):
            self._drop(held)
            self.on_end(self.worker, held.task, held.run, "crashed")
        self.is_up = restarts
        if self._lease_timer:
            self._lease_timer.cancel()
        self._begin_life()

    async def handle(
        self, method: str, path: str, params: dict[str, str], body: JsonObject | None
    ) -> Reply:
        """Answer one request."""
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
                return self._pace(order)
            case "/-/hold":
                return await self._hold(order)
        return Reply(404, {})

    def _start(self, order: JsonObject) -> Reply:
        task, run = order["task"], order["run"]
        held = self.run_by_task.get(task)
        if order["deadlineMs"] <= self.clock_ms:
            return self._reply(409, reason="late")
        self._extend(order["deadlineMs"])
        if held is not None and held.run == run:
            return self._reply(200)
        if run <= self._highest_by_task.get(task, 0):
            return self._reply(409, reason="old")
        plan = self.plan(task, run)
        now = asyncio.get_running_loop().time()
        held = HeldRun(task, run, plan.seconds, plan.outcome, now)
        self.run_by_task[task] = held
        self._highest_by_task[task] = run
        self.on_start(self.worker, task, run)
        if plan.seconds is not None:
            held.timer = asyncio.create_task(self._work(held, plan.seconds))
        return self._reply(200)

    async def _work(self, held: HeldRun, seconds: float) -> None:
        await asyncio.sleep(seconds * (UNUSED_FACTOR if self.is_stalled else 1.0))
        self._end(held, held.outcome)

    def _stop(self, order: JsonObject) -> Reply:
        task, run = order["task"], order["run"]
        highest = self._highest_by_task.get(task, 0)
        self._highest_by_task[task] = max(highest, run)
        held = self.run_by_task.get(task)
        if held is not None and held.run == run:
            asyncio.create_task(self._end_later(held, "stopped"))
        return self._reply(200)

    async def _end_later(self, held: HeldRun, how: str) -> None:
        await asyncio.sleep(STOP_SECONDS)
        self._end(held, how)

    def _pace(self, order: JsonObject) -> Reply:
        held = self.run_by_task.get(order["task"])
        if held is not None:
            held.percent = order["percent"]
        return self._reply(200)

    async def _hold(self, order: JsonObject) -> Reply:
        life = self.born
        self._forget_ends(order["ackCursor"])
        if "deadlineMs" in order:
            self._extend(order["deadlineMs"])
        if not self._ends and order.get("waitMs"):
            ended = self._ended
            try:
                async with asyncio.timeout(order["waitMs"] / 1000):
                    await ended.wait()
            except TimeoutError:
                pass  # nothing has ended
        if self.born != life:
            return Reply(421, {})
        running = [
            [held.task, held.run, "", self._progress(held), 0]
            for held in self.run_by_task.values()
        ]
        return self._reply(200, running=running, ended=self._ends[:MAX_ENDS])

    def _progress(self, held: HeldRun) -> int:
        if held.seconds is None:
            return 100
        if self.is_stalled:
            return 0
        elapsed = asyncio.get_running_loop().time() - held.started_at
        return min(99, int(100 * elapsed / held.seconds))

    def _forget_ends(self, cursor: int) -> None:
        for number, task, run, how, _ in self._ends:
            if self._void_until < number <= cursor:
                self.on_end(self.worker, task, run, f"noted {how}")
        self._ends = [end for end in self._ends if end[0] > cursor]

    def _extend(self, deadline_ms: int) -> None:
        capped = min(deadline_ms, self.clock_ms + self.lease_max_ms)
        self.lease_end_ms = max(self.lease_end_ms, capped)
        if self._lease_timer is None or self._lease_timer.done():
            self._lease_timer = asyncio.create_task(self._lapse())

    async def _lapse(self) -> None:
        while self.clock_ms < self.lease_end_ms:
            await asyncio.sleep((self.lease_end_ms - self.clock_ms) / 1000 + 0.001)
        # Ends that nobody took note of before the lease lapsed do not count.
        self._void_until = self._end_count
        for held in list(self.run_by_task.values()):
            self._end(held, "lapsed")

    def _end(self, held: HeldRun, how: str) -> None:
        if self.run_by_task.get(held.task) is not held:
            return
        self._drop(held)
        self._end_count += 1
        self._ends.append((self._end_count, held.task, held.run, how, ""))
        self._ended.set()
        self._ended = asyncio.Event()
        self.on_end(self.worker, held.task, held.run, how)

    def _drop(self, held: HeldRun) -> None:
        del self.run_by_task[held.task]
        if held.timer is not None and held.timer is not asyncio.current_task():
            held.timer.cancel()

    def _reply(self, status: int, **body: object) -> Reply:
        return Reply(status, {"clockMs": self.clock_ms, "born": self.born, **body})
