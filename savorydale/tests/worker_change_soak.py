"""Soak test of services whose workers fail their runs, end, return and are replaced.

``python -m savorydale.tests.worker_change_soak --seed N --seeds M`` runs seeds N to
N+M-1. It is the soak of services with other faults in its bursts: changes of workers,
and takeovers in series.
"""

import asyncio
import contextlib
import sys
from collections.abc import Awaitable, Callable

from savorydale.tests.branch import Branch
from savorydale.tests.service_soak import ServiceSoak, main
from standins.task_worker import TaskWorkerStandin

CHANGING_WORKERS = 3
MAX_TAKEOVERS = 4
TAKEOVER_TIMEOUT_SECONDS = 8.0
UNREADABLE = b'{"address": [[]], "capacity": 1e999}'


class WorkerChangeSoak(ServiceSoak):
    """One seed; some workers are changed by the faults of this soak only.

    ``_address_by_worker`` holds where each of them is at present.
    """

    def __init__(self, branch: Branch, seed: int):
        super().__init__(branch, seed)
        self._worker_count = 0
        self._address_by_worker: dict[str, str] = {}
        for _ in range(CHANGING_WORKERS):
            name = self._new_name()
            branch.add_worker(name)
            self._address_by_worker[name] = name

    def _new_name(self) -> str:
        self._worker_count += 1
        return f"m{self._worker_count}"

    def _own_injectors(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._fail_runs,
            self._fail_runs_of_cut_off_worker,
            self._fail_runs_without_replies,
            self._fail_runs_of_refusing_worker,
            self._fail_runs_of_unreadable_worker,
            self._restart_worker,
            self._rename_worker,
            self._move_worker,
            self._replace_changing_worker,
            self._lose_power,
            self._take_over_in_series,
            self._restart_entries,
        ]

    # Workers

    def _take_worker(self) -> str | None:
        """Return a worker that no other fault is changing."""
        if not self._address_by_worker:
            return None
        return self.rng.choice(sorted(self._address_by_worker))

    def _standin(self, worker: str) -> TaskWorkerStandin:
        return self.branch.worker_by_name[self._address_by_worker[worker]]

    async def _fail_runs(self) -> None:
        worker = self._take_worker()
        if worker is not None:
            self._end_runs(self._standin(worker))

    def _end_runs(self, standin: TaskWorkerStandin) -> None:
        for active in list(standin.run_by_task.values()):
            standin._end(active, "failed")

    async def _fail_runs_with(self, **faults) -> None:
        worker = self._take_worker()
        if worker is None:
            return
        address = self._address_by_worker[worker]
        self.branch.spawn(self._end_runs_later(self._standin(worker)))
        await self._apply_path_faults(self._all_entries(), f"{address}:80", **faults)

    async def _end_runs_later(self, standin: TaskWorkerStandin) -> None:
        await self._sleep_briefly()
        self._end_runs(standin)

    async def _sleep_briefly(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))

    async def _fail_runs_of_cut_off_worker(self) -> None:
        await self._fail_runs_with(is_partitioned=True)

    async def _fail_runs_without_replies(self) -> None:
        await self._fail_runs_with(lost_response_probability=1.0)

    async def _fail_runs_of_refusing_worker(self) -> None:
        await self._fail_runs_with(refuses=True)

    async def _fail_runs_of_unreadable_worker(self) -> None:
        worker = self._take_worker()
        if worker is None:
            return
        address = self._address_by_worker.pop(worker)
        standin = self.branch.worker_by_name[address]
        self.branch.store.put("servers", worker, UNREADABLE)
        await self._sleep_briefly()
        self._end_runs(standin)
        await self._sleep_briefly()
        self.branch.register(address)
        self._address_by_worker[worker] = address

    async def _change(
        self, keeps_id: bool, keeps_address: bool, is_cut: bool = False
    ) -> None:
        """End a worker; another incarnation begins a little later.

        Its registration is removed before that, or only after.
        """
        worker = self._take_worker()
        if worker is None:
            return
        address = self._address_by_worker.pop(worker)
        standin = self.branch.worker_by_name[address]
        if is_cut:
            self._set_cut(address, True)
        standin.crash(restarts=False)
        await self._sleep_briefly()
        is_removed_first = self.rng.random() < 0.5
        if is_removed_first and not keeps_id:
            self.branch.store.delete("servers", worker)
        await self._sleep_briefly()
        new_worker = worker if keeps_id else self._new_name()
        new_address = address if keeps_address else self._new_name()
        self._begin(new_worker, new_address, standin.incarnation)
        if is_cut and keeps_address:
            self._set_cut(address, False)
        if not is_removed_first and not keeps_id:
            await self._sleep_briefly()
            self.branch.store.delete("servers", worker)

    def _begin(self, worker: str, address: str, last_incarnation: int) -> None:
        if address not in self.branch.worker_by_name:
            self.branch.add_worker(address)
            self.branch.store.delete("servers", address)
        standin = self.branch.worker_by_name[address]
        standin.incarnation = last_incarnation + 1
        standin.worker = worker
        standin.is_up = True
        self.branch.register(address)
        self._address_by_worker[worker] = address

    def _set_cut(self, address: str, is_cut: bool) -> None:
        for entry in self._all_entries():
            path = self.branch.faults_between(entry, f"{address}:80")
            path.is_partitioned = is_cut

    async def _restart_worker(self) -> None:
        await self._change(keeps_id=True, keeps_address=True)

    async def _rename_worker(self) -> None:
        await self._change(keeps_id=False, keeps_address=True)

    async def _move_worker(self) -> None:
        await self._change(keeps_id=True, keeps_address=False)

    async def _replace_changing_worker(self) -> None:
        await self._change(keeps_id=False, keeps_address=False)

    async def _lose_power(self) -> None:
        await self._change(keeps_id=False, keeps_address=False, is_cut=True)

    # Entries

    async def _take_over_in_series(self) -> None:
        for _ in range(self.rng.randint(2, MAX_TAKEOVERS)):
            holder = self._holder()
            if holder not in self.branch.entry_by_name:
                return
            await self.branch.kill_entry(holder)
            with contextlib.suppress(TimeoutError):
                await self.branch.wait_until(
                    lambda holder=holder: self._holder() != holder,
                    TAKEOVER_TIMEOUT_SECONDS,
                )
            if holder not in self.branch.entry_by_name:
                self.branch.start_entry(holder)
            await self._sleep_briefly()

    async def _restart_entries(self) -> None:
        for name in self._all_entries():
            await self._kill_and_restart([name])


if __name__ == "__main__":
    sys.exit(main(WorkerChangeSoak))
