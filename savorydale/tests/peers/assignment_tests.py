import random

from savorydale.peers.assignment import assign_units
from savorydale.peers.records import UnitRecord

UNITS = [f"rack/r{n}" for n in range(700)] + [f"share/{n}" for n in range(56)]


def as_unit_records(owner_by_unit):
    return {unit: UnitRecord(owner, 1) for unit, owner in owner_by_unit.items()}


def test_units_are_spread_evenly_by_kind():
    entries = [f"e{n}" for n in range(7)]
    owners = assign_units(UNITS, entries, {})
    for kind, count in (("rack", 100), ("share", 8)):
        for entry in entries:
            units = [u for u, o in owners.items() if o == entry and u.startswith(kind)]
            assert len(units) == count


def test_a_change_of_entries_moves_no_more_than_it_must():
    entries = [f"e{n}" for n in range(7)]
    before = assign_units(UNITS, entries, {})
    after = assign_units(UNITS, entries[:-1], as_unit_records(before))
    moved = [unit for unit in UNITS if before[unit] != after[unit]]
    assert all(before[unit] == "e6" for unit in moved)


def test_every_entry_comes_to_the_same_assignment():
    rng = random.Random(4)
    for _ in range(20):
        entries = [f"e{n}" for n in range(rng.randrange(1, 9))]
        held = {
            unit: UnitRecord(rng.choice([*entries, None, "x"]), 1) for unit in UNITS
        }
        shuffled = rng.sample(entries, len(entries))
        assert assign_units(UNITS, entries, held) == assign_units(
            rng.sample(UNITS, len(UNITS)), shuffled, held
        )
