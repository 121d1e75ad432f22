"""Transactions whose outcome can be found out after a lost response."""

import asyncio
import uuid
from collections.abc import Iterable

from savorydale.counters import Counters
from savorydale.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnreachableError,
    TransactionConflictError,
)
from savorydale.storage.interface import (
    ABSENT_VERSION,
    Condition,
    Platform,
    Transaction,
    Write,
)

OPERATION_TTL_SECONDS = 86_400.0
READ_BACK_INTERVAL_SECONDS = 0.5


class Table:
    """The table service, with a unique operation row in every transaction.

    Parameters
    ----------
    platform : Platform
        Client of the table service.
    counters : Counters
        Receives a count for each transaction, conflict and read-back.
    """

    def __init__(self, platform: Platform, counters: Counters):
        self._platform = platform
        self._counters = counters
        self.read = platform.read
        self.scan = platform.scan
        self.reachable = True

    async def commit(
        self,
        conditions: Iterable[Condition],
        writes: Iterable[Write],
        read_back_timeout: float = 0.0,
    ) -> int:
        """Apply the writes if all conditions hold.

        An unknown outcome is resolved by reading the operation's row back, for up to
        ``read_back_timeout`` seconds; the transaction is never sent twice.

        Parameters
        ----------
        conditions : iterable of Condition
            Versions that the rows must have.
        writes : iterable of Write
            New values.
        read_back_timeout : float, default=0.0
            How long to retry the read-back while the table is unreachable, in seconds.

        Returns
        -------
        int
            Version of the written rows.

        Raises
        ------
        TransactionConflictError
            If a condition does not hold; nothing was written.
        StoreUnreachableError
            If nothing was written because the table could not be reached.
        StoreOutcomeUnknownError
            If it is unknown whether the transaction took effect.
        """
        operation_key = f"operations/{uuid.uuid4().hex}"
        operation_write = Write(operation_key, {}, OPERATION_TTL_SECONDS)
        absent = Condition(operation_key, ABSENT_VERSION)
        transaction = Transaction((*conditions, absent), (*writes, operation_write))
        self._counters.increment("store.transactions")
        try:
            version = await self._platform.transact(transaction)
        except TransactionConflictError:
            self._counters.increment("store.conflicts")
            self.reachable = True
            raise
        except StoreUnreachableError:
            self._counters.increment("store.unreachable")
            self.reachable = False
            raise
        except StoreOutcomeUnknownError:
            self._counters.increment("store.outcome_unknown")
            return await self._resolve_outcome(operation_key, read_back_timeout)
        self.reachable = True
        return version

    async def _resolve_outcome(self, operation_key: str, timeout: float) -> int:
        """Find out whether an operation took effect.

        An absent operation row proves nothing, because the operation may still be in
        flight. So the row is claimed with a tombstone: both writes require that the
        row does not exist, and only the first of them succeeds.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while True:
            self._counters.increment("store.read_backs")
            try:
                version = await self._claim_operation(operation_key)
            except (StoreUnreachableError, StoreOutcomeUnknownError):
                if loop.time() >= deadline:
                    self.reachable = False
                    raise StoreOutcomeUnknownError(
                        f"no read-back of {operation_key}"
                    ) from None
                await asyncio.sleep(READ_BACK_INTERVAL_SECONDS)
                continue
            if version is None:
                raise StoreUnreachableError("the transaction was not applied")
            return version

    async def _claim_operation(self, operation_key: str) -> int | None:
        """Return the version that the operation wrote, or ``None`` if it never will."""
        tombstone = Write(operation_key, {"void": True}, OPERATION_TTL_SECONDS)
        claim = Transaction((Condition(operation_key, ABSENT_VERSION),), (tombstone,))
        try:
            await self._platform.transact(claim)
        except TransactionConflictError:
            rows = await self._platform.read([operation_key])
            row = rows.get(operation_key)
            if row is not None and not row.value.get("void"):
                return row.version
        return None
