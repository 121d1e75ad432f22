"""HTTP client of the platform's row store."""

import base64
import logging

from savorydale.exceptions import (
    HistoryLostError,
    RowFormatError,
    StoreUnreachableError,
)
from savorydale.platform.http import HttpClient, HttpReply, NoReplyError, NotSentError
from savorydale.storage.rows import (
    ABSENT,
    Committed,
    Conflict,
    NotDone,
    OutcomeUnknown,
    Rejected,
    RowCondition,
    RowKey,
    RowRange,
    RowTransaction,
    RowWrite,
    StoredRow,
    StoreOverloaded,
    TransactionOutcome,
)
from savorydale.utils.json_values import (
    JsonObject,
    to_float_within,
    to_list,
    to_object,
    to_text,
    to_whole_number,
)

# All rows are in one partition, so that a transaction can cover any of them; the
# operator's and the workers' tables are in the same one.
PARTITION = ""
LONG_POLL_MARGIN_SECONDS = 0.4
MIN_POLL_TIMEOUT_SECONDS = 1.4  # the store may be slow to answer
MILLISECONDS_PER_SECOND = 1000
OVERLOAD_STATUS = 429
TRANSIENT_STATUSES = (408, 425, 503)  # the same transaction may succeed later
MAX_CLOCK_MS = 100_000_000_000_000
MAX_VERSION = 1_000_000_000_000_000
UNREADABLE_VALUE = b""
UNREADABLE_VERSION = ABSENT  # the row exists, so a condition on it does not hold

log = logging.getLogger(__name__)


class PlatformStore:
    """Reads and writes rows; the process uses one instance."""

    def __init__(self, http: HttpClient, address: str):
        self._http = http
        self._base_url = f"http://{address}/-/"

    async def transact(
        self, transaction: RowTransaction, timeout_seconds: float
    ) -> TransactionOutcome:
        """Apply a transaction; see `RowStore`."""
        body = {
            "precondition": [
                _encode_condition(condition) for condition in transaction.conditions
            ],
            "setKeys": [
                _encode_write(write)
                for write in transaction.writes
                if write.value is not None
            ],
            "remove": [
                _encode_key(write.name)
                for write in transaction.writes
                if write.value is None
            ],
        }
        try:
            reply = await self._http.send(
                "POST", self._base_url + "rows-tx", timeout_seconds, body
            )
        except NotSentError as error:
            return NotDone(str(error))
        except NoReplyError as error:
            return OutcomeUnknown(str(error))
        match reply:
            case HttpReply(200, {"ver": int(version)}):
                return Committed(version)
            case HttpReply(412, dict(conflict)):
                return _parse_conflict(conflict)
            case HttpReply(status=status) if status == OVERLOAD_STATUS:
                return StoreOverloaded(f"status {status}: {reply.body}"[:200])
            case HttpReply(status=status) if status in TRANSIENT_STATUSES:
                return NotDone(f"status {status}: {reply.body}"[:200])
            case HttpReply(status=status) if 400 <= status < 500:
                return Rejected(f"status {status}: {reply.body}"[:200])
        return OutcomeUnknown(f"status {reply.status}")

    async def read_range(
        self, table: str, start: str = "", end: str = "", *, timeout_seconds: float
    ) -> RowRange:
        """Return the rows of a range; see `RowStore`."""
        params = {"table": table, "part": PARTITION}
        if end:
            params["to"] = end
        rows: list[StoredRow] = []
        first_body: JsonObject | None = None
        while True:
            if start:
                params["from"] = start
            body = await self._read("rows-get", params, timeout_seconds)
            # Each page shows another moment. Changes that an earlier page misses come
            # after the version of the first one.
            first_body = first_body or body
            page = _parse_rows(body)
            rows += page
            if not body.get("hasMore") or not page:
                return _make_range(rows, first_body)
            start = page[-1].name.key + "\x01"

    async def read_changes(
        self, table: str, after_version: int, wait_seconds: float
    ) -> RowRange:
        """Return the changes since a version; see `RowStore`."""
        params = {
            "table": table,
            "after": str(after_version),
            "waitMs": str(int(wait_seconds * MILLISECONDS_PER_SECOND)),
        }
        timeout = max(MIN_POLL_TIMEOUT_SECONDS, wait_seconds + LONG_POLL_MARGIN_SECONDS)
        body = await self._read("rows-feed", params, timeout)
        return _make_range(_parse_rows(body), body)

    async def _read(
        self, endpoint: str, params: dict[str, str], timeout_seconds: float
    ) -> JsonObject:
        if timeout_seconds <= 0:
            raise StoreUnreachableError("the deadline has passed")
        try:
            reply = await self._http.send(
                "GET", self._base_url + endpoint, timeout_seconds, params=params
            )
        except (NotSentError, NoReplyError) as error:
            raise StoreUnreachableError(str(error)) from error
        if reply.status == 410:
            raise HistoryLostError("the store no longer has the requested changes")
        if reply.status != 200 or reply.body is None:
            raise StoreUnreachableError(
                f"the store responded with status {reply.status}"
            )
        return reply.body


def _encode_key(key: RowKey) -> JsonObject:
    return {"table": key.table, "part": PARTITION, "key": key.key}


def _encode_condition(condition: RowCondition) -> JsonObject:
    return {**_encode_key(condition.name), "ver": condition.version}


def _encode_write(write: RowWrite) -> JsonObject:
    value = base64.b64encode(write.value or b"").decode()
    return {**_encode_key(write.name), "value": value}


def _parse_rows(body: JsonObject) -> list[StoredRow]:
    """Return the rows of a reply, without those whose name cannot be read."""
    try:
        found = to_list(body["rows"])
    except (KeyError, RowFormatError) as error:
        raise StoreUnreachableError(f"malformed response: {error!r}") from error
    rows = []
    reasons = []
    for row in found:
        try:
            rows.append(_parse_row(to_object(row)))
        except (KeyError, RowFormatError) as error:
            reasons.append(repr(error))
    if reasons:
        extra = {"rows": len(reasons), "reason": reasons[0]}
        log.warning("stored rows are skipped", extra=extra)
    return rows


def _parse_row(row: JsonObject) -> StoredRow:
    name = RowKey(to_text(row["table"]), to_text(row["key"]))
    if row.get("deleted"):
        return StoredRow(name, None, _parse_version(row))
    return StoredRow(name, _parse_value(row), _parse_version(row))


def _parse_value(row: JsonObject) -> bytes:
    """Return a row's value, or `UNREADABLE_VALUE`, which no decoder accepts."""
    try:
        return base64.b64decode(to_text(row.get("value") or ""))
    except (ValueError, RowFormatError):
        return UNREADABLE_VALUE  # the row's decoder refuses and logs it


def _parse_version(row: JsonObject) -> int:
    """Return a row's version, or one that no condition on the row meets."""
    try:
        return to_whole_number(row.get("ver", 0), 0, MAX_VERSION)
    except RowFormatError:
        log.warning("version of a row is ignored", extra={"key": row["key"]})
        return UNREADABLE_VERSION


def _parse_conflict(body: JsonObject) -> Conflict | OutcomeUnknown:
    try:
        stored = _parse_rows(body)
    except StoreUnreachableError as error:
        return OutcomeUnknown(str(error))
    return Conflict({row.name: row for row in stored})


def _make_range(rows: list[StoredRow], body: JsonObject) -> RowRange:
    try:
        version = to_whole_number(body.get("ver", 0), 0, MAX_VERSION)
        now_ms = int(to_float_within(body.get("nowMs", 0), 0, MAX_CLOCK_MS))
    except RowFormatError as error:
        raise StoreUnreachableError(f"malformed response: {error}") from error
    return RowRange(tuple(rows), version, now_ms)
