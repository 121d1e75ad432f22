"""In-memory table service with conditional transactions and TTLs."""

import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

JsonObject = dict[str, Any]


class StoredRow(NamedTuple):
    """JSON text of a row, its version and when it expires."""

    text: str
    version: int
    expires_at: float | None


class ConflictError(Exception):
    """The version of at least one row differs from the expected version."""

    def __init__(self, keys: list[str]):
        self.keys = keys
        super().__init__(", ".join(keys))


class MemoryTable:
    """Rows by key with one version counter for the whole table."""

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._row_by_key: dict[str, StoredRow] = {}
        self._version = 0
        self.transactions = 0
        self.reads = 0

    def transact(
        self,
        conditions: Iterable[tuple[str, int]],
        writes: Iterable[tuple[str, JsonObject | None, float | None]],
    ) -> int:
        """Apply all writes if all conditions hold; return the new version."""
        self.transactions += 1
        conflicts = [
            key for key, version in conditions if self._version_of(key) != version
        ]
        if conflicts:
            raise ConflictError(conflicts)
        self._version += 1
        for key, value, ttl_seconds in writes:
            if value is None:
                self._row_by_key.pop(key, None)
                continue
            expires_at = None if ttl_seconds is None else self._clock() + ttl_seconds
            self._row_by_key[key] = StoredRow(
                json.dumps(value), self._version, expires_at
            )
        return self._version

    def read(
        self, keys: Iterable[str], newer_than: Mapping[str, int]
    ) -> dict[str, tuple[JsonObject, int]]:
        """Return value and version of the rows newer than the given versions."""
        self.reads += 1
        found = {}
        for key in keys:
            version = self._version_of(key)
            if version and version > newer_than.get(key, 0):
                found[key] = (json.loads(self._row_by_key[key].text), version)
        return found

    def scan(self, prefix: str) -> dict[str, tuple[JsonObject, int]]:
        """Return value and version of all rows whose key starts with ``prefix``."""
        self.reads += 1
        keys = [key for key in list(self._row_by_key) if key.startswith(prefix)]
        self.reads -= 1
        return self.read(sorted(keys), {})

    def _version_of(self, key: str) -> int:
        row = self._row_by_key.get(key)
        if row is None:
            return 0
        if row.expires_at is not None and row.expires_at <= self._clock():
            del self._row_by_key[key]
            return 0
        return row.version
