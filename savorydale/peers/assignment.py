"""Who should own which unit: rendezvous hashing with a bound on each share."""

import math
from collections.abc import Iterable, Mapping

import xxhash

from savorydale.peers.records import UnitRecord


def assign_units(
    units: Iterable[str],
    entries: Iterable[str],
    record_by_unit: Mapping[str, UnitRecord],
) -> dict[str, str]:
    """Return the wanted owner of each unit.

    Units of one kind (the part before the slash) are spread so that no entry has
    more than its rounded-up share. A unit stays with its owner while the owner is
    within its share, so a change of entries moves as few units as it must.

    Parameters
    ----------
    units : iterable of str
        All units, such as ``rack/ga-r1``.
    entries : iterable of str
        Incarnations that can own something.
    record_by_unit : mapping
        Present owners.

    Returns
    -------
    dict of str to str
        Incarnation by unit; empty without entries.
    """
    live = sorted(entries)
    if not live:
        return {}
    units_by_kind: dict[str, list[str]] = {}
    for unit in sorted(units):
        units_by_kind.setdefault(unit.partition("/")[0], []).append(unit)
    owner_by_unit: dict[str, str] = {}
    for kind_units in units_by_kind.values():
        owner_by_unit.update(_assign_kind(kind_units, live, record_by_unit))
    return owner_by_unit


def _assign_kind(
    units: list[str], live: list[str], record_by_unit: Mapping[str, UnitRecord]
) -> dict[str, str]:
    room_by_entry = _rooms(units, live)
    owner_by_unit: dict[str, str] = {}
    for unit in units:
        record = record_by_unit.get(unit)
        if record is None or room_by_entry.get(record.owner, 0) == 0:
            continue
        owner_by_unit[unit] = record.owner
        room_by_entry[record.owner] -= 1
    for unit in units:
        if unit in owner_by_unit:
            continue
        with_room = [entry for entry in live if room_by_entry[entry]]
        owner = max(with_room, key=lambda entry: _weight(unit, entry))
        owner_by_unit[unit] = owner
        room_by_entry[owner] -= 1
    return owner_by_unit


def _rooms(units: list[str], live: list[str]) -> dict[str, int]:
    """Split the units evenly; which entries take one more depends on the kind."""
    base, extra = divmod(len(units), len(live))
    ranked = sorted(live, key=lambda entry: _weight(units[0], entry), reverse=True)
    return {
        entry: base + (1 if rank < extra else 0) for rank, entry in enumerate(ranked)
    }


def _weight(unit: str, entry: str) -> int:
    return xxhash.xxh64_intdigest(f"{unit}|{entry}".encode())


def largest_share(unit_count: int, entry_count: int) -> int:
    """Return how many units one entry owns at most."""
    return math.ceil(unit_count / entry_count)
