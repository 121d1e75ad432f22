"""Wait until this entry may schedule: watch the lease and take it over."""

import asyncio
import dataclasses
import logging
import random

from savorydale.exceptions import StoreError
from savorydale.jobs.rows import LEASE_KEY
from savorydale.ownership.lease import (
    EntryIdentity,
    LeaseRow,
    SchedulerLease,
    decode_lease,
    try_to_acquire,
)
from savorydale.storage.rows import RowStore, read_row

POLL_SECONDS = 0.5
POLL_TIMEOUT_SECONDS = 0.4
LEASE_SECONDS = 2.0
RENEWAL_INTERVAL_SECONDS = 0.5
ANSWERS_TO_RENEW = 8  # a renewal waits for others, and may have to be repeated
ANSWERS_TO_ACQUIRE = 4  # spread the tries of many entries over so many answers
POLL_GAP_SECONDS = 1.2  # longer gaps between polls start the observation anew
STRONGER_RATIO = 2.0  # cores of a VM that relieves the holder, against the holder's

log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class LeaseObservation:
    """How long this entry has seen the lease unchanged, without a gap."""

    version: int = -1
    unchanged_since: float = 0.0
    polled_at: float = 0.0

    def has_lapsed(self, version: int, now: float, answer_seconds: float) -> bool:
        """Take in one poll and return whether the holder has not renewed in time.

        Only time during which this entry itself could read the store counts: while
        the store is out, the holder cannot renew either. A store that is slow to
        answer this poll, in ``answer_seconds``, is slow to renew the lease as well.
        """
        gap = now - self.polled_at
        self.polled_at = now
        if version != self.version or gap > POLL_GAP_SECONDS:
            self.version = version
            self.unchanged_since = now
        lease_seconds = LEASE_SECONDS + ANSWERS_TO_RENEW * answer_seconds
        return now - self.unchanged_since >= lease_seconds


async def wait_for_lease(
    store: RowStore,
    identity: EntryIdentity,
    rng: random.Random,
    head_start_seconds: float,
) -> SchedulerLease:
    """Return the lease once this entry has acquired it.

    ``head_start_seconds`` is waited before the lease is taken, so that the VMs with the
    most processors come first. The next life of the holder's process does not wait,
    nor does a VM with twice the processors of the holder, whom it relieves at any time:
    a weak VM cannot schedule for a large fleet.
    """
    loop = asyncio.get_running_loop()
    observation = LeaseObservation()
    while True:
        polled_at = loop.time()
        try:
            stored, _ = await read_row(store, LEASE_KEY, POLL_TIMEOUT_SECONDS)
        except StoreError as error:
            log.debug("lease cannot be read", extra={"reason": str(error)})
            await asyncio.sleep(POLL_SECONDS * rng.uniform(0.5, 1.0))
            continue
        current = decode_lease(stored.value) if stored and stored.value else None
        version = stored.version if stored else 0
        if current is not None and current.holder == identity:
            return SchedulerLease(
                store, identity, current.epoch, version, loop.time(), current.sequence
            )
        answer_seconds = loop.time() - polled_at
        lapsed = observation.has_lapsed(version, loop.time(), answer_seconds)
        if _may_acquire(current, identity, lapsed):
            if not (_was_held_by(current, identity) or _relieves(current, identity)):
                spread = rng.uniform(0.0, ANSWERS_TO_ACQUIRE * answer_seconds)
                await asyncio.sleep(head_start_seconds + spread)
                if not await _is_unchanged(store, version):
                    continue
            lease = await try_to_acquire(store, identity, current, version)
            if lease is not None:
                log.info(
                    "lease acquired",
                    extra={"epoch": lease.epoch, "previous": repr(current)},
                )
                return lease
        await asyncio.sleep(POLL_SECONDS * rng.uniform(0.8, 1.0))


async def _is_unchanged(store: RowStore, version: int) -> bool:
    """Return whether nobody has taken the lease; a try in vain burdens the store."""
    try:
        stored, _ = await read_row(store, LEASE_KEY, POLL_TIMEOUT_SECONDS)
    except StoreError as error:
        log.debug("lease cannot be read", extra={"reason": str(error)})
        return False
    return (stored.version if stored else 0) == version


def _may_acquire(
    current: LeaseRow | None, identity: EntryIdentity, lapsed: bool
) -> bool:
    if current is None or current.holder is None or lapsed:
        return True
    return _was_held_by(current, identity) or _relieves(current, identity)


def _relieves(current: LeaseRow | None, identity: EntryIdentity) -> bool:
    """Return whether this VM is much stronger than the one that holds the lease."""
    holder = current.holder if current is not None else None
    return holder is not None and identity.cores >= STRONGER_RATIO * holder.cores


def _was_held_by(current: LeaseRow | None, identity: EntryIdentity) -> bool:
    """Return whether the holder is an earlier life of this process, which is gone."""
    holder = current.holder if current is not None else None
    return holder is not None and holder.vm == identity.vm
