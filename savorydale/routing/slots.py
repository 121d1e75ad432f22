"""The part of each worker's slots that this entry may use.

All slots of all workers are split into shares. A share is owned by at most one
entry, so the sum of what the entries use never exceeds a worker's slots, without a
message for any request.
"""

import asyncio
from collections.abc import Iterable

import xxhash

from savorydale.invariants import check

SHARE_COUNT = 56
SHARE_KIND = "share"


def share_units() -> list[str]:
    """Return the names of all shares."""
    return [f"{SHARE_KIND}/{number}" for number in range(SHARE_COUNT)]


def count_slots(worker: str, slots: int, shares: Iterable[int]) -> int:
    """Return how many slots of ``worker`` belong to ``shares``.

    Slot ``i`` belongs to share ``(offset + i) % SHARE_COUNT``, where the offset
    depends on the worker's name; workers with more slots than there are shares
    give several slots to one share.
    """
    offset = xxhash.xxh64_intdigest(worker.encode()) % SHARE_COUNT
    base, extra = divmod(slots, SHARE_COUNT)
    return sum(
        base + (1 if (share - offset) % SHARE_COUNT < extra else 0) for share in shares
    )


class WorkerSlots:
    """Slots of one worker as this entry may use them.

    Parameters
    ----------
    worker : str
        Name of the VM.
    slots : int
        All slots of the worker.
    """

    def __init__(self, worker: str, slots: int):
        self.worker = worker
        self.slots = slots
        self.allowance = 0
        self.in_flight = 0
        self.unresolved: set[str] = set()
        self.held_by_former: dict[str, int] = {}

    @property
    def in_use(self) -> int:
        """Return slots taken by requests, settled or not, and by former owners."""
        return self.in_flight + len(self.unresolved) + sum(self.held_by_former.values())

    @property
    def free(self) -> int:
        """Return how many requests may be sent now."""
        return self.allowance - self.in_use

    @property
    def needs_report(self) -> bool:
        """Tell whether only the worker's own report can free some slots."""
        return bool(self.unresolved or self.held_by_former)


class SlotPool:
    """Slots of all workers as this entry may use them.

    ``reconciliation_needed`` is set when a slot is in use that only a report of the
    worker can free.
    """

    def __init__(self) -> None:
        self._open_shares: set[int] = set()
        self.reconciliation_needed = asyncio.Event()
        self.slots_by_worker: dict[str, WorkerSlots] = {}

    def set_workers(self, slots_by_worker: dict[str, int]) -> None:
        """Take note of the workers that there are and their sizes."""
        for worker, slots in slots_by_worker.items():
            known = self.slots_by_worker.get(worker)
            if known is None:
                known = self.slots_by_worker[worker] = WorkerSlots(worker, slots)
            known.slots = slots
            known.allowance = count_slots(worker, slots, self._open_shares)
        for worker in set(self.slots_by_worker) - set(slots_by_worker):
            if not self.slots_by_worker[worker].in_use:
                del self.slots_by_worker[worker]

    def open_share(self, share: int, former_owner: str | None) -> None:
        """Use a share; its slots may still be taken by a former owner that died."""
        if share in self._open_shares:
            return
        self._open_shares.add(share)
        for slots in self.slots_by_worker.values():
            gained = count_slots(slots.worker, slots.slots, (share,))
            slots.allowance += gained
            if former_owner is not None and gained:
                held = slots.held_by_former
                held[former_owner] = held.get(former_owner, 0) + gained
                self.reconciliation_needed.set()

    def close_share(self, share: int) -> None:
        """Send no more new requests on a share."""
        if share not in self._open_shares:
            return
        self._open_shares.remove(share)
        for slots in self.slots_by_worker.values():
            slots.allowance -= count_slots(slots.worker, slots.slots, (share,))

    def is_over_allowance(self) -> bool:
        """Tell whether requests are still in flight on shares that were closed."""
        return any(
            slots.in_use > slots.allowance for slots in self.slots_by_worker.values()
        )

    def acquire(self, worker: str) -> None:
        """Use one slot of ``worker``."""
        slots = self.slots_by_worker[worker]
        check(slots.free > 0, "worker %s has no free slot to take", worker)
        slots.in_flight += 1
        check(
            slots.in_use <= slots.slots,
            "worker %s has %d slots and %d in use",
            worker,
            slots.slots,
            slots.in_use,
        )

    def release(self, worker: str, unresolved_call: str | None = None) -> None:
        """End a request; keep its slot if ``unresolved_call`` may still run."""
        slots = self.slots_by_worker[worker]
        slots.in_flight -= 1
        check(slots.in_flight >= 0, "worker %s was given back too often", worker)
        if unresolved_call is not None:
            slots.unresolved.add(unresolved_call)
            self.reconciliation_needed.set()
        check(slots.in_use <= slots.slots, "worker %s is over its slots", worker)

    def reconcile(
        self,
        worker: str,
        running_by_entry: dict[str, list[str]],
        unresolved_before: set[str],
    ) -> bool:
        """Free the slots of requests that the worker does not run any more.

        Parameters
        ----------
        worker : str
            Name of the VM.
        running_by_entry : dict of str to list of str
            Identifiers of running requests by the incarnation that sent them.
        unresolved_before : set of str
            Unsettled calls that were sent before the report was asked for.

        Returns
        -------
        bool
            Whether a slot became free.
        """
        slots = self.slots_by_worker[worker]
        before = slots.in_use
        running = {call for calls in running_by_entry.values() for call in calls}
        slots.unresolved -= unresolved_before - running
        for former, held in list(slots.held_by_former.items()):
            still = min(held, len(running_by_entry.get(former, [])))
            slots.held_by_former[former] = still
            if not still:
                del slots.held_by_former[former]
        return slots.in_use < before
