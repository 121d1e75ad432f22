"""Tells whether the workers' registrations are recent enough to start runs.

A worker's capacity may shrink, and is known from its registration only. If the store
serves transactions but not the reads of one table, or after it was out, assignments
can be committed before the registrations are up to date again.
"""

import asyncio

from savorydale.utils.suspension import suspended_seconds

# A smaller capacity binds 3 s and a heartbeat interval after it was written; a response
# of the store may be more than a second old when it arrives.
MAX_AGE_SECONDS = 2.5
MAX_UNREADABLE_SECONDS = 3.0  # while the store serves this entry's commits


class RegistrationAge:
    """When the store last showed all registrations."""

    def __init__(self) -> None:
        self._read_at: float | None = None
        self._suspended_seconds = 0.0
        self._unreadable_since: float | None = None

    def record_response(self) -> None:
        """Record that all changes of registrations up to now are known."""
        self._read_at = asyncio.get_running_loop().time()
        self._suspended_seconds = suspended_seconds()

    def is_recent(self) -> bool:
        """Return whether runs may be started by what the registrations show."""
        if self._read_at is None:
            return False
        age_seconds = asyncio.get_running_loop().time() - self._read_at
        age_seconds += suspended_seconds() - self._suspended_seconds
        return age_seconds < MAX_AGE_SECONDS

    def must_give_up(self, is_lease_current: bool) -> bool:
        """Return whether another entry should schedule instead of this one.

        That is so if the store serves this entry's commits, but has not served its
        reads of the registrations since the term began. An entry that has read them
        once can at least renew the leases of the workers that it knows.
        """
        now = asyncio.get_running_loop().time()
        if self._read_at is not None or not is_lease_current:
            self._unreadable_since = None
            return False
        if self._unreadable_since is None:
            self._unreadable_since = now
        return now - self._unreadable_since >= MAX_UNREADABLE_SECONDS
