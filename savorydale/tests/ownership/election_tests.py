"""Election of the scheduler: the epoch of a lease that an entry still holds.

Guarded failure: an entry schedules again under an epoch in which it has raised fencing
tokens. Workers refuse its orders, so each of its terms ends at once.
"""

import contextlib
import random

from savorydale.ownership.election import wait_for_lease
from savorydale.ownership.lease import EntryIdentity
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time

IDENTITY = EntryIdentity("e9", "1")


@contextlib.asynccontextmanager
async def open_store():
    """Yield a store that no entry uses."""
    async with open_branch(entries=1) as branch:
        store = branch.entry_by_name["e0"]._store
        await branch.stop_entry("e0")
        yield store


async def acquire(store):
    return await wait_for_lease(store, IDENTITY, random.Random(1), 0.1)


@on_virtual_time
async def test_lease_under_which_the_entry_has_scheduled_gets_a_new_epoch():
    async with open_store() as store:
        first = await acquire(store)
        await first.commit([])
        second = await acquire(store)
        assert second.epoch == first.epoch + 1
        await second.commit([])


@on_virtual_time
async def test_lease_whose_acquisition_was_not_answered_keeps_its_epoch():
    async with open_store() as store:
        first = await acquire(store)
        second = await acquire(store)
        assert second.epoch == first.epoch
        await second.commit([])
