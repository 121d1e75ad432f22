"""Opens and closes shares of the workers' slots as ownership changes."""

import asyncio

from savorydale.peers.ownership import Ownership, UnitChange
from savorydale.routing.router import Router
from savorydale.routing.slots import SHARE_KIND, SlotPool

CHECK_SECONDS = 0.25


class ShareManager:
    """Uses the shares that this entry owns, and releases what others should own.

    A share that another entry should own is closed first and released only when no
    request of this entry can still hold one of its slots.

    Parameters
    ----------
    ownership : Ownership
        What this entry owns.
    pool : SlotPool
        Slots that may be used.
    router : Router
        Told when slots become free.
    """

    def __init__(self, ownership: Ownership, pool: SlotPool, router: Router):
        self._ownership = ownership
        self._pool = pool
        self._router = router
        self._closed: set[str] = set()
        ownership.listeners.append(self._take_change)

    def _take_change(self, change: UnitChange) -> None:
        kind, _, number = change.unit.partition("/")
        if kind != SHARE_KIND:
            return
        if change.gained:
            self._ownership.block_release(change.unit)
            self._pool.open_share(int(number), change.former_owner)
            self._router.wake_all()
            return
        self._closed.discard(change.unit)
        self._pool.close_share(int(number))

    async def run(self) -> None:
        """Release shares that other entries should own, for ever."""
        while True:
            self.reconcile()
            await asyncio.sleep(CHECK_SECONDS)

    def reconcile(self) -> None:
        """Close unwanted shares and let those go that nothing uses any more."""
        unwanted = set(self._ownership.units_to_release(SHARE_KIND))
        for unit in self._closed - unwanted:
            self._ownership.block_release(unit)
            self._pool.open_share(_number(unit), None)
        for unit in unwanted - self._closed:
            self._pool.close_share(_number(unit))
        self._closed = unwanted
        if unwanted and not self._pool.is_over_allowance():
            for unit in unwanted:
                self._ownership.allow_release(unit)


def _number(unit: str) -> int:
    return int(unit.partition("/")[2])
