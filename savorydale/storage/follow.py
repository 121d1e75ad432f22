"""Watch a table of the platform's store: read a snapshot, then its changes."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from savorydale.exceptions import (
    HistoryLostError,
    LeadershipLostError,
    StoreError,
)
from savorydale.storage.rows import RowRange, RowStore, StoredRow

SNAPSHOT_TIMEOUT_SECONDS = 1.0
RETRY_DELAY_SECONDS = 0.1
MAX_LOGGED_KEYS = 10

log = logging.getLogger(__name__)


class TableListener(Protocol):
    """Receives the rows of a table."""

    def replace_all(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Replace all rows of the table; rows that are not given do not exist."""

    def apply(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Apply rows that were changed or deleted."""

    def record_response(self, store_ms: int) -> None:
        """Record that the store responded, even without rows, and its steady clock."""


async def follow_table(
    store: RowStore,
    table: str,
    listener: TableListener,
    wait_seconds: float,
    version: int | None = None,
) -> None:
    """Keep ``listener`` up to date until cancelled.

    ``wait_seconds`` limits each wait for changes, and so the time until a dead
    connection is detected. After a failure, the next request does not wait for changes,
    so that its response shows at once that the table is up to date. After an unexpected
    error, which is logged, the table is read anew. ``version`` is that of a snapshot
    which the listener has; ``None`` if it has none.
    """
    is_reachable = True
    while True:
        wait = wait_seconds if is_reachable else 0.0
        try:
            version = await _follow_once(store, table, listener, version, wait)
        except HistoryLostError:
            log.info("history lost, table is read again", extra={"table": table})
            version = None
            continue
        except StoreError as error:
            if is_reachable:
                log.warning(
                    "table cannot be followed",
                    extra={"table": table, "reason": str(error), "version": version},
                )
            is_reachable = False
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            continue
        except LeadershipLostError:
            raise
        except Exception:
            if is_reachable:
                log.exception("table cannot be followed", extra={"table": table})
            is_reachable = False
            version = None
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            continue
        if not is_reachable:
            log.info("table is followed again", extra={"table": table})
        is_reachable = True


async def _follow_once(
    store: RowStore,
    table: str,
    listener: TableListener,
    version: int | None,
    wait_seconds: float,
) -> int:
    if version is None:
        page = await store.read_range(table, timeout_seconds=SNAPSHOT_TIMEOUT_SECONDS)
        _notify(listener.replace_all, page)
        listener.record_response(page.now_ms)
        return page.version
    page = await store.read_changes(table, version, wait_seconds)
    if page.rows:
        _notify(listener.apply, page)
    listener.record_response(page.now_ms)
    return page.version


def _notify(
    handle: Callable[[tuple[StoredRow, ...], int], None], page: RowRange
) -> None:
    """Pass rows to a listener; its errors are logged, and later rows still arrive."""
    try:
        handle(page.rows, page.version)
    except LeadershipLostError:
        raise
    except Exception:
        keys = [row.name.key for row in page.rows[:MAX_LOGGED_KEYS]]
        log.exception("rows cannot be applied", extra={"keys": keys})
