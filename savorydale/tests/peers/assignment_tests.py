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


def test_removing_an_entry_moves_only_its_units():
    entries = [f"e{n}" for n in range(7)]
    before = assign_units(UNITS, entries, {})
    after = assign_units(UNITS, entries[:-1], as_unit_records(before))
    moved = [unit for unit in UNITS if before[unit] != after[unit]]
    assert all(before[unit] == "e6" for unit in moved)


def test_assignment_does_not_depend_on_the_order_of_units_and_entries():
    rng = random.Random(4)
    for _ in range(20):
        entries = [f"e{n}" for n in range(rng.randrange(1, 9))]
        records = {
            unit: UnitRecord(rng.choice([*entries, None, "x"]), 1) for unit in UNITS
        }
        shuffled = rng.sample(entries, len(entries))
        assert assign_units(UNITS, entries, records) == assign_units(
            rng.sample(UNITS, len(UNITS)), shuffled, records
        )
