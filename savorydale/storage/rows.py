"""Interface of the platform's store of rows, as the job scheduler uses it."""

import dataclasses
from collections.abc import Sequence
from typing import NamedTuple, Protocol

ABSENT = 0  # version of a row that does not exist


class RowKey(NamedTuple):
    """Table and key that identify a row."""

    table: str
    key: str


class StoredRow(NamedTuple):
    """One row; ``value`` is ``None`` if the row was deleted."""

    name: RowKey
    value: bytes | None
    version: int


class RowCondition(NamedTuple):
    """Version that a row must have; ``ABSENT`` if it must not exist."""

    name: RowKey
    version: int


class RowWrite(NamedTuple):
    """New value of a row, or ``None`` to delete it."""

    name: RowKey
    value: bytes | None


class RowTransaction(NamedTuple):
    """Writes that take effect together if all conditions hold."""

    conditions: tuple[RowCondition, ...]
    writes: tuple[RowWrite, ...]


class RowRange(NamedTuple):
    """Rows of a table.

    Long ranges are read in several parts, so later rows may show a later moment.
    ``version`` is the newest version of the store as the first row was read, after
    which changes must be followed; ``now_ms`` is the time on its steady clock then.
    """

    rows: tuple[StoredRow, ...]
    version: int
    now_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect with ``version``."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A condition did not hold; ``row_by_name`` holds the rows that exist."""

    row_by_name: dict[RowKey, StoredRow]


@dataclasses.dataclass(frozen=True, slots=True)
class NotDone:
    """The store refused the transaction, or was never reached; nothing was written."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOverloaded(NotDone):
    """The store refused the transaction for its load; nothing was written."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected(NotDone):
    """The store refused the transaction for what it contains; nothing was written."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """No response arrived; the transaction may take effect, even later."""

    reason: str


TransactionOutcome = (
    Committed | Conflict | NotDone | StoreOverloaded | Rejected | OutcomeUnknown
)


class RowStore(Protocol):
    """The platform's store.

    Reads raise `StoreUnreachableError` if no valid response arrives in time.
    """

    async def transact(
        self, transaction: RowTransaction, timeout_seconds: float
    ) -> TransactionOutcome:
        """Apply ``transaction`` atomically."""

    async def read_range(
        self, table: str, start: str = "", end: str = "", *, timeout_seconds: float
    ) -> RowRange:
        """Return all rows with ``start`` <= key < ``end``, sorted by key.

        A row that was changed after the range's version may be old, new or missing.
        """

    async def read_changes(
        self, table: str, after_version: int, wait_seconds: float
    ) -> RowRange:
        """Return the rows changed after a version, waiting for the first.

        Raises
        ------
        HistoryLostError
            If the store no longer has all changes since that version.
        """


async def read_row(
    store: RowStore, name: RowKey, timeout_seconds: float
) -> tuple[StoredRow | None, RowRange]:
    """Return one row, or ``None``, and the result of the read."""
    # The end of a range is exclusive; the filter drops other keys in the range.
    found: Sequence[StoredRow]
    page = await store.read_range(
        name.table, name.key, name.key + "\x01", timeout_seconds=timeout_seconds
    )
    found = [row for row in page.rows if row.name == name]
    return (found[0] if found else None), page
