"""Holds submissions back while the store is overloaded.

The store runs the transactions of all entries one after the other, and refuses what
would wait too long. If submissions filled this queue, the scheduling entry could
neither renew its lease nor start the jobs that were accepted.
"""

import asyncio
from collections.abc import Callable

MAX_CLOSED_SECONDS = 2.0  # the scheduling entry may be gone, or its lease unreadable
MAX_QUEUEING_SECONDS = 0.5  # half of the wait beyond which the store refuses


class SubmissionGate:
    """Closes at each sign of overload, until the scheduling entry has committed.

    Parameters
    ----------
    read_commit_version : Callable
        Returns the version of the scheduling entry's latest commit that is known here.
    """

    def __init__(self, read_commit_version: Callable[[], int]):
        self._read_commit_version = read_commit_version
        self._version_at_close: int | None = None
        self._closed_at = 0.0

    def is_open(self) -> bool:
        """Return whether a submission may be sent to the store."""
        if self._version_at_close is None:
            return True
        closed_seconds = asyncio.get_running_loop().time() - self._closed_at
        has_committed = self._read_commit_version() != self._version_at_close
        if not has_committed and closed_seconds < MAX_CLOSED_SECONDS:
            return False
        self._version_at_close = None
        return True

    def record_response(self, transaction_seconds: float, read_seconds: float) -> None:
        """Close if a transaction took much longer than a read, which does not queue."""
        if transaction_seconds - read_seconds > MAX_QUEUEING_SECONDS:
            self.close()

    def close(self) -> None:
        """Hold submissions back until the scheduling entry has committed again."""
        self._version_at_close = self._read_commit_version()
        self._closed_at = asyncio.get_running_loop().time()
