"""The part of each worker's slots that this entry may use.

The slots of all workers are split into shares. A share is owned by at most one entry,
so the entries together never exceed the slots of a worker and need no messages to
coordinate single requests.
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
    depends on the worker's name; a worker with more slots than there are shares has
    several slots in one share.
    """
    offset = xxhash.xxh64_intdigest(worker.encode()) % SHARE_COUNT
    base, extra = divmod(slots, SHARE_COUNT)
    return sum(
        base + (1 if (share - offset) % SHARE_COUNT < extra else 0) for share in shares
    )


class WorkerSlots:
    """Slots of one worker as this entry may use them.

    ``allowance`` is the number of slots in the open shares of this entry,
    ``unresolved`` are the calls with an unknown outcome, which may still run.

    Parameters
    ----------
    worker : str
        Name of the VM.
    slots : int
        Number of slots of the worker, over all shares.
    """

    def __init__(self, worker: str, slots: int):
        self.worker = worker
        self.slots = slots
        self.allowance = 0
        self.in_flight = 0
        self.unresolved: set[str] = set()
        self.held_by_former_owner: dict[str, int] = {}

    @property
    def in_use(self) -> int:
        """Return the slots used by requests, unresolved calls and former owners."""
        return (
            self.in_flight
            + len(self.unresolved)
            + sum(self.held_by_former_owner.values())
        )

    @property
    def free(self) -> int:
        """Return the number of free slots, negative while closed shares are in use."""
        return self.allowance - self.in_use

    @property
    def needs_report(self) -> bool:
        """Return whether some slots can be freed only by a report of the worker."""
        return bool(self.unresolved or self.held_by_former_owner)


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
        """Add, update and remove workers; those with slots in use are not removed."""
        for worker, slots in slots_by_worker.items():
            worker_slots = self.slots_by_worker.get(worker)
            if worker_slots is None:
                worker_slots = self.slots_by_worker[worker] = WorkerSlots(worker, slots)
            worker_slots.slots = slots
            worker_slots.allowance = count_slots(worker, slots, self._open_shares)
        for worker in set(self.slots_by_worker) - set(slots_by_worker):
            if not self.slots_by_worker[worker].in_use:
                del self.slots_by_worker[worker]

    def open_share(self, share: int, former_owner: str | None) -> None:
        """Use a share, whose slots may still run requests of a dead former owner."""
        if share in self._open_shares:
            return
        self._open_shares.add(share)
        for slots in self.slots_by_worker.values():
            gained = count_slots(slots.worker, slots.slots, (share,))
            slots.allowance += gained
            if former_owner is not None and gained:
                held = slots.held_by_former_owner
                held[former_owner] = held.get(former_owner, 0) + gained
                self.reconciliation_needed.set()

    def close_share(self, share: int) -> None:
        """Stop granting slots of a share to new requests."""
        if share not in self._open_shares:
            return
        self._open_shares.remove(share)
        for slots in self.slots_by_worker.values():
            slots.allowance -= count_slots(slots.worker, slots.slots, (share,))

    def is_over_allowance(self) -> bool:
        """Return whether requests still use slots of shares that were closed."""
        return any(
            slots.in_use > slots.allowance for slots in self.slots_by_worker.values()
        )

    def acquire(self, worker: str) -> None:
        """Acquire one slot of ``worker``."""
        slots = self.slots_by_worker[worker]
        check(slots.free > 0, "worker %s has no free slot", worker)
        slots.in_flight += 1
        check(
            slots.in_use <= slots.slots,
            "worker %s has %d slots and %d in use",
            worker,
            slots.slots,
            slots.in_use,
        )

    def release(self, worker: str, unresolved_call: str | None = None) -> None:
        """End a request; its slot stays in use while ``unresolved_call`` may run."""
        slots = self.slots_by_worker[worker]
        slots.in_flight -= 1
        check(
            slots.in_flight >= 0, "worker %s: more slots released than acquired", worker
        )
        if unresolved_call is not None:
            slots.unresolved.add(unresolved_call)
            self.reconciliation_needed.set()
        check(
            slots.in_use <= slots.slots,
            "more slots of worker %s are in use than exist",
            worker,
        )

    def reconcile(
        self,
        worker: str,
        running_by_entry: dict[str, list[str]],
        unresolved_before: set[str],
    ) -> bool:
        """Free the slots of requests that the worker no longer runs.

        Parameters
        ----------
        worker : str
            Name of the VM.
        running_by_entry : dict of str to list of str
            Identifiers of running requests by the incarnation that sent them.
        unresolved_before : set of str
            Calls that were already unresolved when the report was requested.

        Returns
        -------
        bool
            Whether a slot became free.
        """
        slots = self.slots_by_worker[worker]
        in_use_before = slots.in_use
        running = {call for calls in running_by_entry.values() for call in calls}
        slots.unresolved -= unresolved_before - running
        for former, held in list(slots.held_by_former_owner.items()):
            remaining = min(held, len(running_by_entry.get(former, [])))
            slots.held_by_former_owner[former] = remaining
            if not remaining:
                del slots.held_by_former_owner[former]
        return slots.in_use < in_use_before
