import random

from savorydale.counters import Counters
from savorydale.peers.membership import EntryLease, EntryObservation
from savorydale.peers.ownership import Ownership
from savorydale.peers.records import EntryRecord, OwnershipMap, UnitRecord
from savorydale.storage.interface import Write
from savorydale.storage.table import Table
from savorydale.tests.fakes import FakePlatform
from savorydale.tests.harness import on_virtual_time

UNITS = ["rack/r0", "rack/r1"]


def make_record(name):
    return EntryRecord(name, name, "a", "127.0.0.1:1", "127.0.0.1", 2)


class RacingMembership:
    """Misses, at first, an entry that registers and claims during the observation."""

    def __init__(self, table):
        self._table = table
        self.observation_by_incarnation = {}
        self.dead = set()
        self._observed = False

    def live_peers(self):
        return [item.record for item in self.observation_by_incarnation.values()]

    async def observe(self):
        if self._observed:
            observation = EntryObservation(make_record("fast"), 1, 0.0)
            self.observation_by_incarnation = {"fast": observation}
            return
        self._observed = True
        claimed = OwnershipMap({unit: UnitRecord("fast", 1) for unit in UNITS})
        await self._table.commit([], [Write("ownership", claimed.to_json())])


@on_virtual_time
async def test_units_of_a_newly_registered_entry_are_not_claimed():
    table = Table(FakePlatform(random.Random(1)).link(), Counters())
    lease = EntryLease(make_record("slow"), table, 3.0, 60.0, Counters())
    await lease.renew()
    ownership = Ownership(
        lease, RacingMembership(table), table, lambda: UNITS, Counters()
    )
    await ownership.reconcile()
    rows = await table.read(["ownership"])
    owners = rows["ownership"].value["units"]
    assert owners == {unit: ["fast", 1] for unit in UNITS}
