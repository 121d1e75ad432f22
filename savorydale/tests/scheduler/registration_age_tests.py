"""Registrations that the store has not shown for some time are not relied on."""

import asyncio

from savorydale.scheduler import registration_age as registration_age_module
from savorydale.scheduler.registration_age import (
    MAX_AGE_SECONDS,
    MAX_UNREADABLE_SECONDS,
    RegistrationAge,
)
from savorydale.tests.harness import on_virtual_time


@on_virtual_time
async def test_registrations_are_old_until_they_were_read_and_some_time_later():
    age = RegistrationAge()
    assert not age.is_recent()
    age.record_response()
    await asyncio.sleep(MAX_AGE_SECONDS - 0.1)
    assert age.is_recent()
    await asyncio.sleep(0.2)
    assert not age.is_recent()


@on_virtual_time
async def test_time_for_which_the_machine_was_suspended_counts(monkeypatch):
    age = RegistrationAge()
    age.record_response()
    monkeypatch.setattr(
        registration_age_module, "suspended_seconds", lambda: 1e9 + MAX_AGE_SECONDS
    )
    assert not age.is_recent()


@on_virtual_time
async def test_entry_gives_up_if_it_can_commit_but_not_read_registrations():
    age = RegistrationAge()
    assert not age.must_give_up(is_lease_current=True)
    await asyncio.sleep(MAX_UNREADABLE_SECONDS - 0.1)
    assert not age.must_give_up(is_lease_current=True)
    await asyncio.sleep(0.1)
    assert age.must_give_up(is_lease_current=True)


@on_virtual_time
async def test_entry_goes_on_after_an_outage_of_the_whole_store():
    age = RegistrationAge()
    await asyncio.sleep(10 * MAX_UNREADABLE_SECONDS)
    assert not age.must_give_up(is_lease_current=False)
    assert not age.must_give_up(is_lease_current=True)


@on_virtual_time
async def test_entry_that_knows_workers_does_not_give_up():
    age = RegistrationAge()
    age.record_response()
    await asyncio.sleep(MAX_AGE_SECONDS + 0.1)
    assert not age.must_give_up(is_lease_current=True)
    await asyncio.sleep(10 * MAX_UNREADABLE_SECONDS)
    assert not age.must_give_up(is_lease_current=True)
