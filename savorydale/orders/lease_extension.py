"""Decides whether the leases of workers may be extended while the store is silent.

An entry that the store does not answer cannot tell an outage of the store, in which
work must go on, from being cut off, in which another entry takes over. The workers
tell: those that the other entry has contacted refuse this one, and end its term.
Without an answer of the store, an entry therefore extends leases only while most
workers answer it. One that is cut off with a few workers lets the leases of these
lapse, before the other entry starts their tasks again.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from savorydale.orders.lease_clock import EARLIER_HOLDER_MARGIN_SECONDS
from savorydale.orders.renewal_wait import MAX_WAIT_MS
from savorydale.ownership.lease import LEASE_SECONDS

DOUBT_SECONDS = 1.0  # without an answer of the store, which is written to more often
MAX_WITNESS_WAIT_MS = 1000  # of renewals while in doubt
UNSURE_WAIT_MS = 200  # the same before most workers have answered
DOUBT_PAUSE_SECONDS = 0.05  # answers of other workers may arrive meanwhile
VERDICT_SECONDS = 0.1  # a large fleet is not counted for each renewal
# A new holder begins `LEASE_SECONDS` after the last transaction of this entry at the
# earliest. It counts the longest lease from then on, and a margin.
GRACE_SECONDS = EARLIER_HOLDER_MARGIN_SECONDS - 2 * VERDICT_SECONDS
MAX_CONTACT_AGE_SECONDS = 2.8  # of answers that count; renewals in doubt wait for 1 s


class Witness(Protocol):
    """A worker that may have been contacted by another lease holder.

    It had not been contacted by one at ``obeyed_at``, when the last renewal that it has
    answered was sent; the answer arrived at ``last_contact_at``.
    """

    is_registered: bool
    last_contact_at: float | None
    obeyed_at: float | None


class LeaseExtension:
    """Whether this entry may extend the leases of workers now.

    ``seconds_since_commit()`` is the time since it sent the last transaction that the
    store has answered. A positive verdict is kept for a moment.
    """

    def __init__(
        self,
        seconds_since_commit: Callable[[], float] = lambda: 0.0,
        witnesses: Callable[[], Iterable[Witness]] = lambda: (),
    ):
        self._seconds_since_commit = seconds_since_commit
        self._witnesses = witnesses
        self._allowed_until = 0.0

    def is_allowed(self) -> bool:
        """Return whether the leases of workers may be extended."""
        seconds_since_commit = self._seconds_since_commit()
        if seconds_since_commit < LEASE_SECONDS + GRACE_SECONDS:
            return True
        now = asyncio.get_running_loop().time()
        if now < self._allowed_until:
            return True
        replaceable_since = now - seconds_since_commit + LEASE_SECONDS
        if not most_obey(self._witnesses(), replaceable_since, now):
            return False
        self._allowed_until = now + VERDICT_SECONDS
        return True

    def max_wait_ms(self) -> int:
        """Return how long renewals may wait: workers must answer while in doubt."""
        if self._seconds_since_commit() < DOUBT_SECONDS:
            return MAX_WAIT_MS
        return MAX_WITNESS_WAIT_MS if self.is_allowed() else UNSURE_WAIT_MS


def most_obey(
    witnesses: Iterable[Witness], replaceable_since: float, now: float
) -> bool:
    """Return whether more than half of the registered workers obey this entry.

    Only answers that arrived recently count, to renewals that were sent when another
    entry could hold the lease already. Workers that answer although they are not
    registered count as well.
    """
    obeying = silent = 0
    for witness in witnesses:
        if _has_obeyed(witness, replaceable_since, now):
            obeying += 1
        elif witness.is_registered:
            silent += 1
    return obeying > silent


def _has_obeyed(witness: Witness, replaceable_since: float, now: float) -> bool:
    if witness.obeyed_at is None or witness.last_contact_at is None:
        return False
    is_recent = now - witness.last_contact_at < MAX_CONTACT_AGE_SECONDS
    return is_recent and witness.obeyed_at >= replaceable_since
