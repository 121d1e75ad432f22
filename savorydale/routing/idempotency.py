"""Idempotency keys: a repeated request gets the first outcome from every entry."""

import base64
import hashlib
import logging
from typing import Any, NamedTuple

from savorydale.counters import Counters
from savorydale.exceptions import StoreError, TransactionConflictError
from savorydale.results import ResultCode
from savorydale.routing.calls import Answered, Call, NotRun, Outcome, OutcomeUnknown
from savorydale.storage.group_commit import GroupCommit
from savorydale.storage.interface import ABSENT_VERSION, Condition, Row, Write
from savorydale.storage.table import Table

KEY_PREFIX = "keys/"
KEY_TTL_SECONDS = 86_400.0
MAX_BACKLOG_RECORDS = 10_000

log = logging.getLogger(__name__)


class PendingRecord(NamedTuple):
    """An outcome that is not written to the table yet."""

    call: Call
    outcome: Answered | NotRun
    row_version: int


class IdempotencyKeys:
    """Keeps one row of the table for each key.

    The row is written before the request is sent, and the response is added when it
    arrives. While the table service is unreachable, requests with a key are refused.

    Parameters
    ----------
    table : Table
        Table that the rows are read from.
    group_commit : GroupCommit
        Commits the writes of rows.
    counters : Counters
        Receives counts of replays and refusals.
    """

    def __init__(self, table: Table, group_commit: GroupCommit, counters: Counters):
        self._table = table
        self._group_commit = group_commit
        self._counters = counters
        self._version_by_call: dict[str, int] = {}
        self._backlog: list[PendingRecord] = []

    async def begin(self, call: Call) -> Outcome | None:
        """Record that the call is about to be sent.

        Returns
        -------
        Outcome or None
            Outcome for the caller, or None if the call may be sent.
        """
        key = _row_key(call)
        value = {"call": call.id, "fingerprint": call.fingerprint, "state": "sent"}
        write = Write(key, value, KEY_TTL_SECONDS)
        try:
            version = await self._group_commit.commit(
                (Condition(key, ABSENT_VERSION),), (write,)
            )
        except TransactionConflictError:
            return await self._read_first_outcome(call, key)
        except StoreError:
            self._counters.increment("keys.refused.store_unreachable")
            return NotRun(ResultCode.KEY_STORE_UNREACHABLE)
        self._version_by_call[call.id] = version
        return None

    async def _read_first_outcome(self, call: Call, key: str) -> Outcome:
        try:
            rows = await self._table.read([key])
        except StoreError:
            self._counters.increment("keys.refused.store_unreachable")
            return NotRun(ResultCode.KEY_STORE_UNREACHABLE)
        row = rows.get(key)
        if row is None:
            return NotRun(ResultCode.KEY_STORE_UNREACHABLE, "The key has just gone.")
        return self._replay(call, row)

    def _replay(self, call: Call, row: Row) -> Outcome:
        if row.value["fingerprint"] != call.fingerprint:
            self._counters.increment("keys.refused.reused")
            return NotRun(ResultCode.KEY_REUSED)
        if row.value["state"] != "done":
            self._counters.increment("keys.in_progress")
            return OutcomeUnknown(ResultCode.KEY_IN_PROGRESS)
        self._counters.increment("keys.replayed")
        return _answer_from_json(row.value)

    async def finish(self, call: Call, outcome: Outcome) -> None:
        """Record the response, which a repeated request then gets.

        If the request did not run, its row is deleted, so that a repeated request may
        run. If the outcome is unknown, the row stays, and repeated requests are told
        that the first one is in progress.
        """
        version = self._version_by_call.pop(call.id, None)
        if version is None:
            return
        match outcome:
            case OutcomeUnknown():
                return
            case Answered() | NotRun():
                record = PendingRecord(call, outcome, version)
        if not await self._write(record):
            self._counters.increment("keys.backlogged")
            self._backlog.append(record)
            del self._backlog[:-MAX_BACKLOG_RECORDS]

    async def flush_backlog(self) -> None:
        """Retry the writes that have failed, oldest first, until one fails again."""
        for record in list(self._backlog):
            if not await self._write(record):
                return
            self._backlog.remove(record)

    async def _write(self, record: PendingRecord) -> bool:
        key = _row_key(record.call)
        match record.outcome:
            case Answered() as answer:
                value = _answer_to_json(record.call, answer)
            case NotRun():
                value = None
        write = Write(key, value, KEY_TTL_SECONDS)
        try:
            await self._group_commit.commit(
                (Condition(key, record.row_version),), (write,)
            )
        except TransactionConflictError:
            return True
        except StoreError:
            return False
        return True


def _row_key(call: Call) -> str:
    digest = hashlib.sha256((call.key or "").encode()).hexdigest()
    return f"{KEY_PREFIX}{call.service}/{digest}"


def _answer_to_json(call: Call, answer: Answered) -> dict[str, Any]:
    return {
        "call": call.id,
        "fingerprint": call.fingerprint,
        "state": "done",
        "status": answer.status,
        "headers": [list(header) for header in answer.headers],
        "body": base64.b64encode(answer.body).decode(),
    }


def _answer_from_json(value: dict[str, Any]) -> Answered:
    headers = tuple((name, text) for name, text in value["headers"])
    return Answered(value["status"], headers, base64.b64decode(value["body"]))
