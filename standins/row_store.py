"""Stand-in for the platform's store of rows, on the running loop's clock."""

import asyncio
import base64
from typing import Any, NamedTuple

JsonObject = dict[str, Any]

MAX_ENTRIES = 100
PAGE_ROWS = 500
MAX_WAIT_SECONDS = 1.0  # of transactions before one that is accepted
CLOCK_RESOLUTION_SECONDS = 0.001
PROTECTED_TABLES = ("op", "servers")


class Reply(NamedTuple):
    """Status and JSON body of an answer."""

    status: int
    body: JsonObject


class RowName(NamedTuple):
    """Full name of a row."""

    table: str
    part: str
    key: str


class RowStoreStandin:
    """Rows with versions, conditional transactions, and a feed of changes.

    Transactions are carried out one after the other, each in ``transaction_seconds``.
    """

    def __init__(self) -> None:
        self.version = 0
        self.transaction_seconds = 0.0
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
        """Answer one request."""
        match method, path:
            case "POST", "/-/rows-tx":
                return await self._transact_in_turn(body or {})
            case "GET", "/-/rows-get":
                return self._read(params)
            case "GET", "/-/rows-feed":
                return await self._feed(params)
        return Reply(404, {})

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row as the operator or a worker does; return its version."""
        return self._apply([(RowName(table, "", key), value)])

    def drop(self, table: str, key: str) -> None:
        """Delete a row as the platform does."""
        self._apply([(RowName(table, "", key), None)])

    def value(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or ``None``."""
        found = self._row_by_name.get(RowName(table, "", key))
        return found[0] if found else None

    def truncate_history(self) -> None:
        """Drop all history, so that feeds must read again."""
        self._history.clear()
        self._history_start = self.version
        self._notify()

    async def _transact_in_turn(self, body: JsonObject) -> Reply:
        """Let a transaction wait for those before it, or refuse it if many wait."""
        now = asyncio.get_running_loop().time()
        starts_at = max(now, self._busy_until)
        if starts_at - now > MAX_WAIT_SECONDS:
            return Reply(429, {"error": "too many transactions wait"})
        self._busy_until = starts_at + self.transaction_seconds
        if self.transaction_seconds:
            await asyncio.sleep(self._busy_until - now)
        return self._transact(body)

    def _transact(self, body: JsonObject) -> Reply:
        conditions = body.get("precondition") or []
        sets = body.get("setKeys") or []
        removals = body.get("remove") or []
        if len(conditions) + len(sets) + len(removals) > MAX_ENTRIES:
            return Reply(400, {"error": "too many entries"})
        if any(row["table"] in PROTECTED_TABLES for row in [*sets, *removals]):
            return Reply(403, {"error": "not the system's table"})
        self.transactions += 1
        names = [_name_of(row) for row in conditions]
        versions = [self._row_by_name.get(name, (b"", 0))[1] for name in names]
        if versions != [row["ver"] for row in conditions]:
            rows = [self._show(name) for name in names if name in self._row_by_name]
            return Reply(412, {"rows": rows, **self._stamp()})
        writes: list[tuple[RowName, bytes | None]] = [
            (_name_of(row), base64.b64decode(row["value"])) for row in sets
        ]
        writes += [(_name_of(row), None) for row in removals]
        self._apply(writes)
        return Reply(200, self._stamp())

    def _read(self, params: dict[str, str]) -> Reply:
        self.reads += 1
        first = params.get("from", "")
        end = params.get("to")
        names = sorted(
            name
            for name in self._row_by_name
            if name.table == params["table"]
            and name.part == params.get("part", "")
            and name.key >= first
            and (end is None or name.key < end)
        )
        rows = [self._show(name) for name in names[:PAGE_ROWS]]
        return Reply(
            200, {"rows": rows, "hasMore": len(names) > PAGE_ROWS, **self._stamp()}
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
                self._show_change(version, name, value)
                for version, name, value in self._history
                if version > after and name.table == params["table"]
            ]
            left = deadline - loop.time()
            if rows or left <= CLOCK_RESOLUTION_SECONDS:
                return Reply(200, {"rows": rows, **self._stamp()})
            changed = self._changed
            try:
                async with asyncio.timeout(left):
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

    def _stamp(self) -> JsonObject:
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return {"ver": self.version, "nowMs": now_ms}

    def _show(self, name: RowName) -> JsonObject:
        value, version = self._row_by_name[name]
        return self._show_change(version, name, value)

    def _show_change(
        self, version: int, name: RowName, value: bytes | None
    ) -> JsonObject:
        shown: JsonObject = {**name._asdict(), "ver": version}
        if value is None:
            return {**shown, "deleted": True}
        return {**shown, "value": base64.b64encode(value).decode()}


def _name_of(row: JsonObject) -> RowName:
    return RowName(row["table"], row.get("part", ""), row["key"])
