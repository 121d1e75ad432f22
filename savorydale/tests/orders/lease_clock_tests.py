"""A lease has surely ended only when even a slow clock shows it."""

import asyncio

from savorydale.orders.lease_clock import CLOCK_DRIFT, LeaseClock
from savorydale.tests.harness import on_virtual_time

LEASE_MAX_MS = 6_000.0


def now():
    return asyncio.get_running_loop().time()


@on_virtual_time
async def test_nothing_is_asked_for_before_the_clock_is_known():
    clock = LeaseClock(LEASE_MAX_MS)
    assert clock.next_lease_end_ms() is None
    assert clock.lapse_at() > now() + LEASE_MAX_MS / 1000 / (1 - CLOCK_DRIFT)


@on_virtual_time
async def test_the_end_follows_the_workers_clock():
    clock = LeaseClock(LEASE_MAX_MS)
    clock.note_clock(500_000)
    await asyncio.sleep(2.0)
    assert clock.next_lease_end_ms() == 508_000
    slow_clock_ends = now() - 2.0 + 8.0 / (1 - CLOCK_DRIFT)
    assert clock.lapse_at() > slow_clock_ends


@on_virtual_time
async def test_leases_of_an_earlier_life_are_forgotten():
    clock = LeaseClock(LEASE_MAX_MS)
    clock.note_clock(500_000)
    clock.next_lease_end_ms()
    clock.begin_new_life()
    clock.note_clock(100)
    assert clock.lapse_at() < now() + 1.0
