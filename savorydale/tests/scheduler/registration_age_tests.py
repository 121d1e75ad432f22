"""Registrations that the store has not shown for some time are not relied on."""

import asyncio

from savorydale.scheduler import registration_age as registration_age_module
from savorydale.scheduler.registration_age import MAX_AGE_SECONDS, RegistrationAge
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
