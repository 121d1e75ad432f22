"""Assignment of units to entries by rendezvous hashing with bounded loads."""

import math
from collections.abc import Iterable, Mapping

import xxhash

from savorydale.peers.records import UnitRecord


def assign_units(
    units: Iterable[str],
    entries: Iterable[str],
    record_by_unit: Mapping[str, UnitRecord],
) -> dict[str, str]:
    """Return the assigned owner of each unit.

    Units of one kind (the part before the slash) are distributed evenly: no entry
    gets more than the average, rounded up. A unit stays with its owner while the owner
    has capacity, so that as few units as possible move when entries come and go.

    Parameters
    ----------
    units : iterable of str
        All units, such as ``rack/ga-r1``.
    entries : iterable of str
        Incarnations that can own units.
    record_by_unit : mapping
        Current owners.

    Returns
    -------
    dict of str to str
        Incarnation by unit; empty without entries.
    """
    live_entries = sorted(entries)
    if not live_entries:
        return {}
    units_by_kind: dict[str, list[str]] = {}
    for unit in sorted(units):
        units_by_kind.setdefault(unit.partition("/")[0], []).append(unit)
    owner_by_unit: dict[str, str] = {}
    for kind_units in units_by_kind.values():
        owner_by_unit.update(_assign_kind(kind_units, live_entries, record_by_unit))
    return owner_by_unit


def _assign_kind(
    units: list[str], live_entries: list[str], record_by_unit: Mapping[str, UnitRecord]
) -> dict[str, str]:
    capacity_by_entry = _capacities(units, live_entries)
    owner_by_unit: dict[str, str] = {}
    for unit in units:
        record = record_by_unit.get(unit)
        if record is None or capacity_by_entry.get(record.owner, 0) == 0:
            continue
        owner_by_unit[unit] = record.owner
        capacity_by_entry[record.owner] -= 1
    for unit in units:
        if unit in owner_by_unit:
            continue
        candidates = [entry for entry in live_entries if capacity_by_entry[entry]]
        owner = max(candidates, key=lambda entry: _rendezvous_weight(unit, entry))
        owner_by_unit[unit] = owner
        capacity_by_entry[owner] -= 1
    return owner_by_unit


def _capacities(units: list[str], live_entries: list[str]) -> dict[str, int]:
    """Split the units evenly; the entries with one more differ between kinds."""
    base, extra = divmod(len(units), len(live_entries))
    ranked = sorted(
        live_entries,
        key=lambda entry: _rendezvous_weight(units[0], entry),
        reverse=True,
    )
    return {
        entry: base + (1 if rank < extra else 0) for rank, entry in enumerate(ranked)
    }


def _rendezvous_weight(unit: str, entry: str) -> int:
    return xxhash.xxh64_intdigest(f"{unit}|{entry}".encode())


def max_units_per_entry(unit_count: int, entry_count: int) -> int:
    """Return the maximum number of units that one entry owns."""
    return math.ceil(unit_count / entry_count)
