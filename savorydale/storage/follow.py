"""Follow a table of the platform's store: a snapshot, then its changes."""

import asyncio
import logging
from typing import Protocol

from savorydale.exceptions import HistoryLostError, StoreError
from savorydale.storage.rows import RowStore, StoredRow

SNAPSHOT_TIMEOUT_SECONDS = 1.0
RETRY_DELAY_SECONDS = 0.1

log = logging.getLogger(__name__)


class TableListener(Protocol):
    """Takes in the rows of a table."""

    def replace_all(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Take in all rows of the table; those not named do not exist."""

    def apply(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Take in rows that were changed or deleted."""

    def record_response(self, store_ms: int) -> None:
        """Note that the store answered, and its steady clock, with or without rows."""


async def follow_table(
    store: RowStore,
    table: str,
    listener: TableListener,
    wait_seconds: float,
    version: int | None = None,
) -> None:
    """Keep ``listener`` up to date until cancelled.

    ``wait_seconds`` bounds how long a silent connection goes unnoticed. ``version`` is
    that of a snapshot which the listener has; ``None`` if it has none.
    """
    reachable = True
    while True:
        try:
            version = await _follow_once(store, table, listener, version, wait_seconds)
        except HistoryLostError:
            log.info("history lost, table is read again", extra={"table": table})
            version = None
            continue
        except StoreError as error:
            if reachable:
                log.warning(
                    "table cannot be followed",
                    extra={"table": table, "reason": str(error), "version": version},
                )
            reachable = False
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            continue
        if not reachable:
            log.info("table is followed again", extra={"table": table})
        reachable = True


async def _follow_once(
    store: RowStore,
    table: str,
    listener: TableListener,
    version: int | None,
    wait_seconds: float,
) -> int:
    if version is None:
        page = await store.read_range(table, timeout_seconds=SNAPSHOT_TIMEOUT_SECONDS)
        listener.replace_all(page.rows, page.version)
        listener.record_response(page.now_ms)
        return page.version
    page = await store.read_changes(table, version, wait_seconds)
    if page.rows:
        listener.apply(page.rows, page.version)
    listener.record_response(page.now_ms)
    return page.version
