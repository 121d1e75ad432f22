"""Frees slots whose requests have an unknown outcome, by the workers' reports."""

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
    """Frees the slots of requests with an unknown outcome once they have ended.

    A request has ended when `REPORTS_PER_RECONCILIATION` consecutive reports of the
    worker do not list it; each is requested after the previous one has arrived.

    Parameters
    ----------
    pool : SlotPool
        Slots to reconcile.
    directory : Directory
        Addresses of workers.
    client : WorkerClient
        Queries the workers for running requests.
    router : Router
        Notified when slots become free.
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
        """Run a task for each worker that has slots to reconcile, until cancelled."""
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
