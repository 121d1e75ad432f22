"""Rows of the table that describe entries and the ownership of units."""

from typing import Any, NamedTuple

JsonObject = dict[str, Any]

ENTRY_PREFIX = "entries/"
OWNERSHIP_KEY = "ownership"


class EntryRecord(NamedTuple):
    """The row of an entry; ``incarnation`` is unique to each start of the process."""

    incarnation: str
    name: str
    zone: str
    http_address: str
    peer_host: str
    peer_port: int
    stopping: bool = False
    renewals: int = 0

    @property
    def key(self) -> str:
        """Return the key of the entry's row."""
        return ENTRY_PREFIX + self.incarnation

    @property
    def peer_address(self) -> tuple[str, int]:
        """Return host and port of the entry's peer server."""
        return self.peer_host, self.peer_port


class UnitRecord(NamedTuple):
    """Owner of a unit, and an epoch that increases with every change of owner."""

    owner: str | None
    epoch: int


class OwnershipMap:
    """Owners of all units, as one row of the table."""

    def __init__(self, record_by_unit: dict[str, UnitRecord], row_version: int = 0):
        self.record_by_unit = record_by_unit
        self.row_version = row_version

    @classmethod
    def from_json(cls, value: JsonObject, row_version: int) -> "OwnershipMap":
        """Return the map for the value and version of its row."""
        units = value["units"]
        return cls(
            {unit: UnitRecord(*item) for unit, item in units.items()}, row_version
        )

    def to_json(self) -> JsonObject:
        """Return the value of the map's row."""
        return {"units": {unit: list(r) for unit, r in self.record_by_unit.items()}}

    def units_of(self, incarnation: str) -> list[str]:
        """Return all units that ``incarnation`` owns."""
        return [
            unit
            for unit, record in self.record_by_unit.items()
            if record.owner == incarnation
        ]
