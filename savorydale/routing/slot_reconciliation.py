"""Asks workers what still runs, where only they can tell that a slot is free."""

import asyncio

from savorydale.counters import Counters
from savorydale.exceptions import WorkerError
from savorydale.routing.router import Router
from savorydale.routing.slots import SlotPool, WorkerSlots
from savorydale.workers.directory import Directory
from savorydale.workers.interface import WorkerClient

POLL_SECONDS = 0.25
REPORTS_PER_RECONCILIATION = 2


class SlotReconciler:
    """Frees slots of requests whose outcome is unknown once they surely ended.

    A request counts as ended when several reports in a row, each asked for after
    the one before, do not list it.

    Parameters
    ----------
    pool : SlotPool
        Slots to settle.
    directory : Directory
        Addresses of workers.
    client : WorkerClient
        Asks the workers.
    router : Router
        Told when slots become free.
    counters : Counters
        Receives counts of reports.
    """

    def __init__(
        self,
        pool: SlotPool,
        directory: Directory,
        client: WorkerClient,
        router: Router,
        counters: Counters,
    ):
        self._pool = pool
        self._directory = directory
        self._client = client
        self._router = router
        self._counters = counters
        self._task_by_worker: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Start a task for each worker that has something to settle, for ever."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                await self._pool.reconciliation_needed.wait()
                self._pool.reconciliation_needed.clear()
                for slots in list(self._pool.slots_by_worker.values()):
                    if slots.needs_report and slots.worker not in self._task_by_worker:
                        task = tasks.create_task(self._reconcile(slots))
                        self._task_by_worker[slots.worker] = task

    async def _reconcile(self, slots: WorkerSlots) -> None:
        try:
            while slots.needs_report:
                if await self._reconcile_once(slots):
                    self._router.wake(slots.worker)
                await asyncio.sleep(POLL_SECONDS)
        finally:
            del self._task_by_worker[slots.worker]

    async def _reconcile_once(self, slots: WorkerSlots) -> bool:
        vm = self._directory.vm_by_name.get(slots.worker)
        if vm is None or vm.state == "gone":
            return self._pool.reconcile(slots.worker, {}, set(slots.unresolved))
        unresolved_before = set(slots.unresolved)
        running: dict[str, set[str]] = {}
        for _ in range(REPORTS_PER_RECONCILIATION):
            try:
                report = await self._client.running_requests(vm.address)
            except WorkerError:
                self._counters.increment("slots.reports_failed")
                return False
            for entry, calls in report.items():
                running.setdefault(entry, set()).update(calls)
            self._counters.increment("slots.reports")
            await asyncio.sleep(POLL_SECONDS)
        listed = {entry: sorted(calls) for entry, calls in running.items()}
        return self._pool.reconcile(slots.worker, listed, unresolved_before)
