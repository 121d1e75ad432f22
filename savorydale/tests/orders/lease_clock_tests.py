"""A lease counts as lapsed only when it has lapsed even on a slow worker clock."""

import asyncio

from savorydale.orders.lease_clock import MAX_CLOCK_DRIFT, LeaseClock
from savorydale.tests.harness import on_virtual_time

LEASE_MAX_MS = 6_000.0


def now():
    return asyncio.get_running_loop().time()


@on_virtual_time
async def test_no_lease_is_requested_before_the_clock_is_known():
    clock = LeaseClock(LEASE_MAX_MS)
    assert clock.next_lease_end_ms(is_draining=False) is None
    assert clock.latest_lapse_at() > now() + LEASE_MAX_MS / 1000 / (1 - MAX_CLOCK_DRIFT)


@on_virtual_time
async def test_lease_end_is_on_the_workers_clock():
    clock = LeaseClock(LEASE_MAX_MS)
    clock.record_clock(500_000)
    await asyncio.sleep(2.0)
    assert clock.next_lease_end_ms(is_draining=False) == 508_000
    slow_clock_end_at = now() - 2.0 + 8.0 / (1 - MAX_CLOCK_DRIFT)
    assert clock.latest_lapse_at() > slow_clock_end_at


@on_virtual_time
async def test_leases_of_an_earlier_incarnation_are_forgotten():
    clock = LeaseClock(LEASE_MAX_MS)
    clock.record_clock(500_000)
    clock.next_lease_end_ms(is_draining=False)
    clock.reset_leases()
    clock.record_clock(100)
    assert clock.latest_lapse_at() < now() + 1.0
