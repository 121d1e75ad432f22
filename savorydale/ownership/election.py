"""Leader election: wait for the scheduler's lease and acquire it."""

import asyncio
import dataclasses
import logging
import random

from savorydale.exceptions import StoreError
from savorydale.jobs.rows import LEASE_KEY
from savorydale.ownership.lease import (
    LEASE_SECONDS,
    EntryIdentity,
    LeaseRow,
    SchedulerLease,
    decode_lease,
    try_to_acquire,
)
from savorydale.storage.rows import RowStore, read_row

POLL_INTERVAL_SECONDS = 0.5
POLL_TIMEOUT_SECONDS = 0.4
RENEWAL_INTERVAL_SECONDS = 0.5
# Multiples of the store's response time.
RENEWAL_RESPONSE_TIMES = 8  # a renewal queues, and may need a retry
ACQUIRE_SPREAD_RESPONSE_TIMES = 4  # spreads the attempts of many entries
MAX_POLL_GAP_SECONDS = 1.2  # a longer gap between polls restarts the observation
TAKEOVER_CORES_RATIO = 2.0  # a VM with this many times the holder's cores replaces it

log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class LeaseObservation:
    """Tracks how long the lease has not been renewed, based on polls without a gap."""

    version: int = -1
    last_changed_at: float = 0.0
    polled_at: float = 0.0

    def has_lapsed(self, version: int, now: float, response_seconds: float) -> bool:
        """Record one poll and return whether the holder has failed to renew in time.

        Only time during which this entry could read the store counts, because the
        holder cannot renew during an outage of the store either. The lease duration
        grows with ``response_seconds``, the response time of this poll, because a slow
        store also delays renewals.
        """
        poll_gap_seconds = now - self.polled_at
        self.polled_at = now
        if version != self.version or poll_gap_seconds > MAX_POLL_GAP_SECONDS:
            self.version = version
            self.last_changed_at = now
        lease_seconds = LEASE_SECONDS + RENEWAL_RESPONSE_TIMES * response_seconds
        return now - self.last_changed_at >= lease_seconds


async def wait_for_lease(
    store: RowStore,
    identity: EntryIdentity,
    rng: random.Random,
    acquire_delay_seconds: float,
    observation: LeaseObservation | None = None,
) -> SchedulerLease:
    """Return the lease once this entry has acquired it.

    The entry waits ``acquire_delay_seconds`` before it acquires a free or lapsed lease;
    callers pass a shorter delay on VMs with more cores, so that these come first. A new
    incarnation on the holder's VM does not wait. Neither does a VM with at least twice
    the cores of the holder, which takes the lease over at any time, because a small VM
    cannot schedule for a large fleet.

    An entry that has already scheduled under the lease acquires it anew, with the next
    epoch: workers may have seen higher fencing tokens than a new term begins with.

    ``observation`` receives the version of the lease row at each poll.
    """
    loop = asyncio.get_running_loop()
    observation = observation or LeaseObservation()
    while True:
        polled_at = loop.time()
        try:
            stored, _ = await read_row(store, LEASE_KEY, POLL_TIMEOUT_SECONDS)
        except StoreError as error:
            log.debug("lease cannot be read", extra={"reason": str(error)})
            await asyncio.sleep(POLL_INTERVAL_SECONDS * rng.uniform(0.5, 1.0))
            continue
        current = decode_lease(stored.value) if stored and stored.value else None
        version = stored.version if stored else 0
        if current is not None and _is_unused(current, identity):
            return SchedulerLease(
                store, identity, current.epoch, version, loop.time(), current.sequence
            )
        response_seconds = loop.time() - polled_at
        has_lapsed = observation.has_lapsed(version, loop.time(), response_seconds)
        if _may_acquire(current, identity, has_lapsed):
            if not (
                _is_on_same_vm(current, identity)
                or _may_replace_holder(current, identity)
            ):
                spread_seconds = rng.uniform(
                    0.0, ACQUIRE_SPREAD_RESPONSE_TIMES * response_seconds
                )
                await asyncio.sleep(acquire_delay_seconds + spread_seconds)
                if not await _is_unchanged(store, version):
                    continue
            lease = await try_to_acquire(store, identity, current, version)
            if lease is not None:
                log.info(
                    "lease acquired",
                    extra={"epoch": lease.epoch, "previous": repr(current)},
                )
                return lease
        await asyncio.sleep(POLL_INTERVAL_SECONDS * rng.uniform(0.8, 1.0))


async def _is_unchanged(store: RowStore, version: int) -> bool:
    """Return whether the lease is unchanged; a failed attempt would load the store."""
    try:
        stored, _ = await read_row(store, LEASE_KEY, POLL_TIMEOUT_SECONDS)
    except StoreError as error:
        log.debug("lease cannot be read", extra={"reason": str(error)})
        return False
    return (stored.version if stored else 0) == version


def _is_unused(current: LeaseRow, identity: EntryIdentity) -> bool:
    """Return whether this entry holds the lease and has sent no orders under it.

    A term commits before it sends its first order.
    """
    return current.holder == identity and current.sequence == 0


def _may_acquire(
    current: LeaseRow | None, identity: EntryIdentity, has_lapsed: bool
) -> bool:
    if current is None or current.holder is None or has_lapsed:
        return True
    return _is_on_same_vm(current, identity) or _may_replace_holder(current, identity)


def _may_replace_holder(current: LeaseRow | None, identity: EntryIdentity) -> bool:
    """Return whether this VM has enough cores to take the lease from its holder."""
    holder = current.holder if current is not None else None
    return holder is not None and identity.cores >= TAKEOVER_CORES_RATIO * holder.cores


def _is_on_same_vm(current: LeaseRow | None, identity: EntryIdentity) -> bool:
    """Return whether the holder is this entry or a terminated one on its VM."""
    holder = current.holder if current is not None else None
    return holder is not None and holder.vm == identity.vm
