"""Opens and closes shares of the workers' slots when their ownership changes."""

import asyncio

from savorydale.peers.ownership import Ownership, UnitChange
from savorydale.routing.router import Router
from savorydale.routing.slots import SHARE_KIND, SlotPool

CHECK_SECONDS = 0.25


class ShareManager:
    """Opens the shares that this entry owns and releases those assigned to others.

    A share that is assigned to another entry is closed first and released only when
    no request of this entry can still use one of its slots.

    Parameters
    ----------
    ownership : Ownership
        Units that this entry owns.
    pool : SlotPool
        Slots that may be used.
    router : Router
        Notified when slots become free.
    """

    def __init__(self, ownership: Ownership, pool: SlotPool, router: Router):
        self._ownership = ownership
        self._pool = pool
        self._router = router
        self._closed_units: set[str] = set()
        ownership.listeners.append(self._handle_change)

    def _handle_change(self, change: UnitChange) -> None:
        kind, _, number = change.unit.partition("/")
        if kind != SHARE_KIND:
            return
        if change.gained:
            self._ownership.block_release(change.unit)
            self._pool.open_share(int(number), change.former_owner)
            self._router.wake_all()
            return
        self._closed_units.discard(change.unit)
        self._pool.close_share(int(number))

    async def run(self) -> None:
        """Release shares that are assigned to other entries, until cancelled."""
        while True:
            self.reconcile()
            await asyncio.sleep(CHECK_SECONDS)

    def reconcile(self) -> None:
        """Close shares that are assigned elsewhere; release them once they are unused.

        Shares that are assigned to this entry again are reopened.
        """
        units_to_release = set(self._ownership.units_to_release(SHARE_KIND))
        for unit in self._closed_units - units_to_release:
            self._ownership.block_release(unit)
            self._pool.open_share(_share_number(unit), None)
        for unit in units_to_release - self._closed_units:
            self._pool.close_share(_share_number(unit))
        self._closed_units = units_to_release
        if units_to_release and not self._pool.is_over_allowance():
            for unit in units_to_release:
                self._ownership.allow_release(unit)


def _share_number(unit: str) -> int:
    return int(unit.partition("/")[2])
