"""Interface of the platform, independent of the transport."""

from collections.abc import Iterable, Mapping
from typing import Any, Literal, NamedTuple, Protocol

JsonObject = dict[str, Any]

ABSENT_VERSION = 0


class Row(NamedTuple):
    """Value of a row and the version of the transaction that wrote it."""

    value: JsonObject
    version: int


class Condition(NamedTuple):
    """Version that a row must have; ``ABSENT_VERSION`` if it must not exist."""

    key: str
    version: int


class Write(NamedTuple):
    """New value of a row, or ``None`` to delete it."""

    key: str
    value: JsonObject | None
    ttl_seconds: float | None = None


class Transaction(NamedTuple):
    """Writes that take effect together if all conditions hold."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class VmStatus(NamedTuple):
    """One VM in the platform's list, which may be out of date.

    ``memory_gb`` is in gigabytes; ``address`` is ``host:port`` of the worker.
    """

    vm: str
    address: str
    zone: str
    rack: str
    state: Literal["live", "leaving", "gone"]
    processors: float
    memory_gb: float
    accelerators: int
    slots: int
    connections: int


class Platform(Protocol):
    """Client of the platform.

    Every method raises `StoreUnreachableError` if the platform could not be
    reached.
    """

    async def transact(self, transaction: Transaction) -> int:
        """Apply ``transaction`` and return the version that it wrote.

        Raises
        ------
        TransactionConflictError
            If a condition does not hold.
        StoreOutcomeUnknownError
            If the response was lost.
        """

    async def read(
        self, keys: Iterable[str], newer_than: Mapping[str, int] | None = None
    ) -> dict[str, Row]:
        """Return the rows that exist and are newer than the given versions."""

    async def scan(self, prefix: str) -> dict[str, Row]:
        """Return all rows whose key starts with ``prefix``."""

    async def list_vms(self) -> list[VmStatus]:
        """Return the list of VMs, which may be out of date."""
