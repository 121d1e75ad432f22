"""Stand-in for the platform's row store, on the running event loop's clock."""

import asyncio
import base64
from collections.abc import Callable
from typing import Any, NamedTuple

JsonObject = dict[str, Any]

MAX_TRANSACTION_ROWS = 100
PAGE_ROWS = 500
MAX_VALUE_CHARACTERS = 87_384  # 65,536 bytes in base64
MAX_NAME_BYTES = 200  # of a table, a part or a key
MAX_QUEUEING_SECONDS = 1.0  # longer queueing is refused with status 429
CLOCK_RESOLUTION_SECONDS = 0.001
PROTECTED_TABLES = ("op", "servers")


class Reply(NamedTuple):
    """Status and JSON body of a response."""

    status: int
    body: JsonObject


class RowName(NamedTuple):
    """Full name of a row."""

    table: str
    part: str
    key: str


class RowStoreStandin:
    """Versioned rows with conditional transactions and a change feed.

    Transactions run one after the other and take ``transaction_seconds`` each. One that
    writes a row for which ``find_refusal`` returns a status is refused with it.
    """

    def __init__(self) -> None:
        self.version = 0
        self.transaction_seconds = 0.0
        self.find_refusal: Callable[[RowName], int | None] = lambda name: None
        self._busy_until = 0.0
        self.transactions = 0
        self.reads = 0
        self._row_by_name: dict[RowName, tuple[bytes, int]] = {}
        self._history: list[tuple[int, RowName, bytes | None]] = []
        self._history_start = 0
        self._changed = asyncio.Event()

    async def handle(
        self, method: str, path: str, params: dict[str, str], body: JsonObject | None
    ) -> Reply:
        """Handle one request."""
        match method, path:
            case "POST", "/-/rows-tx":
                return await self._queue_transaction(body or {})
            case "GET", "/-/rows-get":
                return self._read(params)
            case "GET", "/-/rows-feed":
                return await self._feed(params)
        return Reply(404, {})

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row, as an operator or a worker does, and return its version."""
        return self._apply([(RowName(table, "", key), value)])

    def delete(self, table: str, key: str) -> None:
        """Delete a row, as the platform does."""
        self._apply([(RowName(table, "", key), None)])

    def value(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or ``None``."""
        stored = self._row_by_name.get(RowName(table, "", key))
        return stored[0] if stored else None

    def truncate_history(self) -> None:
        """Discard the change history, so that feeds must read the table again."""
        self._history.clear()
        self._history_start = self.version
        self._notify()

    async def _queue_transaction(self, body: JsonObject) -> Reply:
        """Queue and run a transaction, or refuse it if it would wait too long."""
        now = asyncio.get_running_loop().time()
        starts_at = max(now, self._busy_until)
        if starts_at - now > MAX_QUEUEING_SECONDS:
            return Reply(429, {"error": "too many transactions wait"})
        self._busy_until = starts_at + self.transaction_seconds
        if self.transaction_seconds:
            await asyncio.sleep(self._busy_until - now)
        return self._transact(body)

    def _transact(self, body: JsonObject) -> Reply:
        conditions = body.get("precondition") or []
        sets = body.get("setKeys") or []
        removals = body.get("remove") or []
        if len(conditions) + len(sets) + len(removals) > MAX_TRANSACTION_ROWS:
            return Reply(400, {"error": "too many entries"})
        if not all(_has_valid_name(row) for row in [*conditions, *sets, *removals]):
            return Reply(400, {"error": "a row's name is not valid"})
        if any(len(row["value"]) > MAX_VALUE_CHARACTERS for row in sets):
            return Reply(400, {"error": "a value is too large"})
        if any(row["table"] in PROTECTED_TABLES for row in [*sets, *removals]):
            return Reply(403, {"error": "not the system's table"})
        refusals = map(self.find_refusal, map(_row_name, [*sets, *removals]))
        status = next(filter(None, refusals), None)
        if status is not None:
            return Reply(status, {"error": "a row is refused"})
        self.transactions += 1
        names = [_row_name(row) for row in conditions]
        versions = [self._row_by_name.get(name, (b"", 0))[1] for name in names]
        if versions != [row["ver"] for row in conditions]:
            rows = [
                self._row_to_json(name) for name in names if name in self._row_by_name
            ]
            return Reply(412, {"rows": rows, **self._version_and_time()})
        writes: list[tuple[RowName, bytes | None]] = [
            (_row_name(row), base64.b64decode(row["value"])) for row in sets
        ]
        writes += [(_row_name(row), None) for row in removals]
        self._apply(writes)
        return Reply(200, self._version_and_time())

    def _read(self, params: dict[str, str]) -> Reply:
        self.reads += 1
        first = params.get("from", "")
        end = params.get("to")
        if not (_is_valid_text(first) and _is_valid_text(end or "")):
            return Reply(400, {"error": "a key is not valid"})
        names = sorted(
            name
            for name in self._row_by_name
            if name.table == params["table"]
            and name.part == params.get("part", "")
            and name.key >= first
            and (end is None or name.key < end)
        )
        rows = [self._row_to_json(name) for name in names[:PAGE_ROWS]]
        return Reply(
            200,
            {
                "rows": rows,
                "hasMore": len(names) > PAGE_ROWS,
                **self._version_and_time(),
            },
        )

    async def _feed(self, params: dict[str, str]) -> Reply:
        self.reads += 1
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(params.get("waitMs", 0)) / 1000
        after = int(params["after"])
        while True:
            if after < self._history_start:
                return Reply(410, {})
            rows = [
                self._change_to_json(version, name, value)
                for version, name, value in self._history
                if version > after and name.table == params["table"]
            ]
            remaining_seconds = deadline - loop.time()
            if rows or remaining_seconds <= CLOCK_RESOLUTION_SECONDS:
                return Reply(200, {"rows": rows, **self._version_and_time()})
            changed = self._changed
            try:
                async with asyncio.timeout(remaining_seconds):
                    await changed.wait()
            except TimeoutError:
                continue

    def _apply(self, writes: list[tuple[RowName, bytes | None]]) -> int:
        self.version += 1
        for name, value in writes:
            if value is None:
                self._row_by_name.pop(name, None)
            else:
                self._row_by_name[name] = (value, self.version)
            self._history.append((self.version, name, value))
        self._notify()
        return self.version

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _version_and_time(self) -> JsonObject:
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return {"ver": self.version, "nowMs": now_ms}

    def _row_to_json(self, name: RowName) -> JsonObject:
        value, version = self._row_by_name[name]
        return self._change_to_json(version, name, value)

    def _change_to_json(
        self, version: int, name: RowName, value: bytes | None
    ) -> JsonObject:
        document: JsonObject = {**name._asdict(), "ver": version}
        if value is None:
            return {**document, "deleted": True}
        return {**document, "value": base64.b64encode(value).decode()}


def _has_valid_name(row: JsonObject) -> bool:
    return bool(row["table"] and row["key"]) and all(
        _is_valid_text(text) for text in _row_name(row)
    )


def _is_valid_text(text: str) -> bool:
    """Return whether a text can be part of a row's name."""
    try:
        return "\0" not in text and len(text.encode()) <= MAX_NAME_BYTES
    except UnicodeEncodeError:  # a lone surrogate
        return False


def _row_name(row: JsonObject) -> RowName:
    return RowName(row["table"], row.get("part", ""), row["key"])
