"""Reads the outbox messages to all units that this entry owns, in a single scan."""

import asyncio
from collections.abc import Callable

from savorydale.counters import Counters
from savorydale.exceptions import StoreError
from savorydale.scheduling.tasks import OUTBOX_PREFIX
from savorydale.storage.interface import Row
from savorydale.storage.table import Table

POLL_SECONDS = 2.0
COALESCE_SECONDS = 0.03

Deliver = Callable[[dict[str, Row]], None]


class OutboxReader:
    """Scans the outbox rows when woken, and periodically in case a wake was lost.

    Parameters
    ----------
    table : Table
        Table that holds the outbox rows.
    counters : Counters
        Counts the scans.
    """

    def __init__(self, table: Table, counters: Counters):
        self._table = table
        self._counters = counters
        self._woken = asyncio.Event()
        self._units_with_messages: set[str] = set()
        self.deliver_by_unit: dict[str, Deliver] = {}

    def wake(self) -> None:
        """Scan without waiting for the next poll."""
        self._woken.set()

    async def run(self) -> None:
        """Scan until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_SECONDS):
                    await self._woken.wait()
                await asyncio.sleep(COALESCE_SECONDS)
            except TimeoutError:
                pass
            self._woken.clear()
            await self._scan()

    async def _scan(self) -> None:
        self._counters.increment("mail.scans")
        try:
            rows = await self._table.scan(OUTBOX_PREFIX)
        except StoreError:
            return
        rows_by_unit: dict[str, dict[str, Row]] = {}
        for key, row in rows.items():
            kind, name = key.removeprefix(OUTBOX_PREFIX).split("/")[:2]
            rows_by_unit.setdefault(f"{kind}/{name}", {})[key] = row
        for unit, deliver in list(self.deliver_by_unit.items()):
            if unit in rows_by_unit or unit in self._units_with_messages:
                deliver(rows_by_unit.get(unit, {}))
        self._units_with_messages = set(rows_by_unit)
