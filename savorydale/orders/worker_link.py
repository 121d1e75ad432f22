"""One worker as the scheduling entry drives it: leases, orders, and ends of runs.

A start order that is not answered is settled, not guessed: the worker's fencing token
is raised, so that the order is refused if it arrives later, and the next list that was
asked for with the new token says whether the run is there.
"""

import asyncio
import logging
from typing import Protocol

from savorydale.counters import Counters
from savorydale.exceptions import LeadershipLostError
from savorydale.jobs.model import TaskId
from savorydale.orders.interface import (
    Accepted,
    ActiveRun,
    EndedRun,
    RefusalReason,
    Refused,
    Renewed,
    RenewOrder,
    StartOrder,
    Unanswered,
    WorkerInfo,
    WorkerOrders,
    WorkerTarget,
)
from savorydale.orders.lease_clock import LeaseClock
from savorydale.orders.runs import UNKNOWN_PERCENT, Run, RunState, WorkerLoad

HOLD_WAIT_MS = 500
HOLD_RETRY_SECONDS = 0.1
ACKNOWLEDGE_WAIT_SECONDS = 0.3
CONTACT_SECONDS = 2.0  # a few holds may fail before a worker gets no more starts
STOP_RETRY_SECONDS = 1.0
CONCURRENT_ORDERS = 2
TOKENS_PER_EPOCH = 1_000_000
MILLISECONDS = 1000

log = logging.getLogger(__name__)


class LinkListener(Protocol):
    """Is told what happens on a worker."""

    def on_end(self, link: "WorkerLink", end: EndedRun) -> None:
        """Take in the end of a run, which is acknowledged once it is durable."""

    def on_lost(self, link: "WorkerLink", run: Run, reason: str) -> None:
        """Take in that a run does not exist and never will again."""

    def on_started(self, link: "WorkerLink", run: Run) -> None:
        """Take in that the worker has accepted a start order."""

    def on_report(self, link: "WorkerLink") -> None:
        """Take in that the usage of all active runs was renewed."""


class WorkerLink:
    """Orders to one worker and what it holds."""

    def __init__(
        self,
        info: WorkerInfo,
        orders: WorkerOrders,
        listener: LinkListener,
        epoch: int,
        lease_max_ms: float,
        counters: Counters,
    ):
        self.info = info
        self.load = WorkerLoad(info.capacity)
        self.run_by_task: dict[TaskId, Run] = {}
        self.acknowledged_number = 0
        self.processed_number = 0
        self.last_contact_at: float | None = None
        self.is_registered = True
        self.is_closed = False
        self.born_ms: int | None = None
        self._orders = orders
        self._listener = listener
        self._token = epoch * TOKENS_PER_EPOCH
        self._lease_clock = LeaseClock(lease_max_ms)
        self._counters = counters
        self._info_at = asyncio.get_running_loop().time()
        self._slots = asyncio.Semaphore(CONCURRENT_ORDERS)
        self._tasks: set[asyncio.Task[None]] = set()
        self._asks_at_once = True
        self._wake = asyncio.Event()
        self._failure: BaseException | None = None

    @property
    def worker(self) -> str:
        """Return the worker's identifier."""
        return self.info.worker

    def update(self, info: WorkerInfo) -> None:
        """Take in what the worker says of itself."""
        self.info = info
        self._info_at = asyncio.get_running_loop().time()

    def seconds_left(self, now: float) -> float | None:
        """Return how long a leaving worker surely stays, if it says so."""
        if self.info.remaining_ms is None:
            return None
        return self.info.remaining_ms / MILLISECONDS - (now - self._info_at)

    def is_in_contact(self, now: float) -> bool:
        """Return whether the worker has answered lately."""
        return (
            self.last_contact_at is not None
            and now - self.last_contact_at < CONTACT_SECONDS
        )

    # What the worker holds

    def restore(self, run: Run) -> None:
        """Take over a run that an earlier holder of the lease assigned."""
        run.state = RunState.UNKNOWN
        run.resolving_token = self._token
        self._add(run)

    def start(self, run: Run, payload: str, checkpoint: str, ticket: str = "") -> None:
        """Send the start order of a run whose assignment is durable."""
        if self.run_by_task.get(run.task) is run:
            self._spawn(self._start(run, payload, checkpoint, ticket))

    def reserve(self, run: Run) -> None:
        """Count a run that is assigned but whose start order is not sent yet."""
        self._add(run)

    def unreserve(self, run: Run) -> None:
        """Undo `reserve` for a run that was not assigned after all."""
        self._remove(run)

    def stop(self, run: Run) -> None:
        """Stop a run; repeated until its end is listed."""
        run.stop_requested = True
        if run.state is RunState.ACTIVE:
            self._send_stop(run)

    def throttle(self, run: Run, percent: int) -> None:
        """Let a run work at a share of its speed."""
        self.load.set_speed(run, percent)
        run.throttled_at = asyncio.get_running_loop().time()
        self._spawn(self._throttle(run, percent))

    def _next_lease_end(self) -> int | None:
        """Return the lease end to ask for, ``None`` to leave it as it is.

        A worker that does not answer gets no longer lease: the order may arrive all the
        same, and its tasks could not be started elsewhere before that lease has ended.
        """
        if not self.is_in_contact(asyncio.get_running_loop().time()):
            return None
        return self._lease_clock.next_lease_end_ms()

    # The worker's own task

    async def run(self) -> None:
        """Renew the lease and follow the worker's lists until cancelled."""
        try:
            while not self._is_needless():
                await self._hold_once()
                if self._failure is not None:
                    raise self._failure
        finally:
            self.is_closed = True
            for task in self._tasks:
                task.cancel()

    def _is_needless(self) -> bool:
        """Return whether the worker is gone and holds nothing."""
        now = asyncio.get_running_loop().time()
        gone = not self.is_registered and not self.is_in_contact(now)
        return (
            gone and not self.run_by_task and now >= self._lease_clock.latest_lapse_at()
        )

    async def _hold_once(self) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        token = self._token
        at_once = self._asks_at_once or bool(self._unsettled())
        order = RenewOrder(
            self._acknowledgement(),
            self._next_lease_end(),
            0 if at_once else HOLD_WAIT_MS,
        )
        self._asks_at_once = True
        outcome = await self._orders.renew(self._target(token), order)
        match outcome:
            case Renewed():
                self._asks_at_once = False
                self._take_in(outcome, sent_at, token)
                await self._wait_for_acknowledgement()
                return
            case Refused(RefusalReason.FENCED):
                self._check_fenced(token)
            case Refused(reason, detail):
                self._counters.increment(f"hold.refused.{reason}")
                log.debug(
                    "hold refused", extra=self._extra(reason=reason, detail=detail)
                )
            case Unanswered(detail):
                self._counters.increment("hold.unanswered")
                log.debug("hold unanswered", extra=self._extra(detail=detail))
        self._give_up_lapsed(loop.time())
        await asyncio.sleep(HOLD_RETRY_SECONDS)

    async def _wait_for_acknowledgement(self) -> None:
        """Give ends time to become durable, so that they are not listed again."""
        if self.processed_number <= self.acknowledged_number:
            return
        self._wake.clear()
        try:
            async with asyncio.timeout(ACKNOWLEDGE_WAIT_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            log.debug("ends are not durable yet", extra=self._extra())

    def acknowledge(self, number: int, born_ms: int | None) -> None:
        """Note that all ends up to ``number`` of one life are durable."""
        if born_ms == self.born_ms:
            self.acknowledged_number = max(self.acknowledged_number, number)
        self._wake.set()

    def _take_in(self, held: Renewed, sent_at: float, token: int) -> None:
        now = asyncio.get_running_loop().time()
        if self.born_ms is not None and held.born_ms != self.born_ms:
            self._begin_new_life(held.born_ms, sent_at)
        self.born_ms = held.born_ms
        if self.last_contact_at is None or now - self.last_contact_at > CONTACT_SECONDS:
            log.info(
                "worker answers",
                extra=self._extra(
                    active=len(held.active),
                    born_ms=held.born_ms,
                    clock_ms=held.clock_ms,
                ),
            )
        self.last_contact_at = now
        self._lease_clock.record_clock(held.clock_ms)
        self._take_in_ends(held.ended)
        active_by_task = {active.task: active for active in held.active}
        for run in list(self.run_by_task.values()):
            self._compare(run, active_by_task.pop(run.task, None), sent_at, token)
        for active in active_by_task.values():
            self._stop_stray(active)
        self._listener.on_report(self)

    def _take_in_ends(self, ended: tuple[EndedRun, ...]) -> None:
        for end in ended:
            if end.number <= self.processed_number:
                continue
            self.processed_number = end.number
            run = self.run_by_task.get(end.task)
            if run is not None and run.number == end.run:
                self._remove(run)
            self._listener.on_end(self, end)

    def _compare(
        self, run: Run, active: ActiveRun | None, sent_at: float, token: int
    ) -> None:
        if active is not None and active.run == run.number:
            self._confirm(run)
            run.record_progress(active.progress_percent, self.last_contact_at or 0.0)
            run.usage = active.usage
            if run.stop_requested:
                self._send_stop(run)
            return
        is_settled = run.state is RunState.UNKNOWN and token >= run.resolving_token
        is_vanished = run.state is RunState.ACTIVE and run.confirmed_at < sent_at
        if is_settled or is_vanished:
            self._lose(run, "not started" if is_settled else "vanished")

    def _stop_stray(self, active: ActiveRun) -> None:
        self._counters.increment("run.stray")
        log.warning(
            "stray run is stopped",
            extra=self._extra(task=str(active.task), run=active.run),
        )
        self._spawn(self._stop(active.task, active.run))

    def _begin_new_life(self, born_ms: int, sent_at: float) -> None:
        """Start counting anew; runs that were there before are gone.

        A start order may have reached the new life already, so runs that were confirmed
        lately, or not at all, are settled by the next list.
        """
        log.info("worker was restarted", extra=self._extra(born_ms=born_ms))
        self.processed_number = 0
        self.acknowledged_number = 0
        self._lease_clock.reset_leases()
        self._token += 1
        for run in self.run_by_task.values():
            if run.state is RunState.ACTIVE and run.confirmed_at < sent_at:
                continue  # the list that shows the new life tells whether it has it
            run.state = RunState.UNKNOWN
            run.resolving_token = self._token

    def _acknowledgement(self) -> int:
        """Return up to which end the worker may forget.

        After a gap the worker may have begun a new life, whose ends count from one;
        what was acknowledged in the earlier life must not make it forget them.
        """
        is_other_life = self.info.born_ms not in (0, self.born_ms)
        if self._asks_at_once or is_other_life:
            return 0
        return self.acknowledged_number

    def _give_up_lapsed(self, now: float) -> None:
        if self.is_in_contact(now) or now < self._lease_clock.latest_lapse_at():
            return
        for run in list(self.run_by_task.values()):
            self._lose(run, "lease lapsed")

    # Orders

    async def _start(
        self, run: Run, payload: str, checkpoint: str, ticket: str
    ) -> None:
        async with self._slots:
            if self.run_by_task.get(run.task) is not run or run.stop_requested:
                self._lose(run, "stopped before its start")
                return
            token = self._token
            lease_end_ms = self._next_lease_end()
            if lease_end_ms is None:
                self._lose(run, "the worker does not answer")
                return
            order = StartOrder(
                run.task, run.number, payload, lease_end_ms, checkpoint, ticket
            )
            outcome = await self._orders.start(self._target(token), order)
        if self.run_by_task.get(run.task) is not run:
            return
        extra = self._extra(task=str(run.task), run=run.number, token=token)
        match outcome:
            case Accepted():
                self._confirm(run)
                self._counters.increment("start.accepted")
                log.info("run started", extra=extra)
                self._listener.on_started(self, run)
                if run.stop_requested:
                    self._send_stop(run)
            case Refused(reason, detail):
                self._counters.increment(f"start.refused.{reason}")
                log.info(
                    "start refused", extra={**extra, "reason": reason, "detail": detail}
                )
                if reason is RefusalReason.FENCED:
                    self._check_fenced(token)
                if reason is RefusalReason.UNREACHABLE:
                    self.last_contact_at = None  # no more starts before the next list
                self._lose(run, f"start refused: {reason}")
            case Unanswered(detail):
                self._counters.increment("start.unanswered")
                log.info("start unanswered", extra={**extra, "detail": detail})
                if run.state is RunState.ASSIGNED:
                    self._token += 1
                    run.state = RunState.UNKNOWN
                    run.resolving_token = self._token

    def _send_stop(self, run: Run) -> None:
        now = asyncio.get_running_loop().time()
        if run.stop_sent_at and now - run.stop_sent_at < STOP_RETRY_SECONDS:
            return
        run.stop_sent_at = now
        self._spawn(self._stop(run.task, run.number))

    async def _stop(self, task: TaskId, number: int) -> None:
        token = self._token
        async with self._slots:
            outcome = await self._orders.stop(self._target(token), task, number)
        log.info(
            "stop ordered",
            extra=self._extra(task=str(task), run=number, outcome=repr(outcome)),
        )
        if isinstance(outcome, Refused) and outcome.reason is RefusalReason.FENCED:
            self._check_fenced(token)

    async def _throttle(self, run: Run, percent: int) -> None:
        token = self._token
        async with self._slots:
            outcome = await self._orders.throttle(
                self._target(token), run.task, run.number, percent
            )
        match outcome:
            case Accepted():
                self._counters.increment("throttle.accepted")
            case Refused(RefusalReason.FENCED):
                self._check_fenced(token)
            case Refused() | Unanswered():
                if self.run_by_task.get(run.task) is run:
                    self.load.set_speed(run, UNKNOWN_PERCENT)
                self._counters.increment("throttle.failed")
                log.info(
                    "throttle failed",
                    extra=self._extra(task=str(run.task), outcome=repr(outcome)),
                )

    def _check_fenced(self, token: int) -> None:
        """Stand down if the refusal was not caused by our own newer token."""
        if token < self._token:
            return
        self._failure = LeadershipLostError(
            f"worker {self.worker} has seen a newer fencing token than {token}"
        )

    # Bookkeeping

    def _target(self, token: int) -> WorkerTarget:
        return WorkerTarget(self.worker, self.info.address, token)

    def _confirm(self, run: Run) -> None:
        if run.state is not RunState.ACTIVE:
            run.state = RunState.ACTIVE
            run.confirmed_at = asyncio.get_running_loop().time()

    def _unsettled(self) -> list[Run]:
        return [r for r in self.run_by_task.values() if r.state is RunState.UNKNOWN]

    def _add(self, run: Run) -> None:
        self.run_by_task[run.task] = run
        self.load.add(run)

    def _remove(self, run: Run) -> None:
        if self.run_by_task.get(run.task) is run:
            del self.run_by_task[run.task]
            self.load.add(run, -1)

    def _lose(self, run: Run, reason: str) -> None:
        if self.run_by_task.get(run.task) is not run:
            return
        self._remove(run)
        self._listener.on_lost(self, run, reason)

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failure = task.exception()

    def _extra(self, **values: object) -> dict[str, object]:
        return {"worker": self.worker, **values}
