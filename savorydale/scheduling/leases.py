"""Tracks until when the leases of a worker's tasks may be valid."""

CLOCK_DRIFT_RATIO = 0.01


class WorkerLease:
    """Leases of this owner's tasks on one worker.

    A heartbeat renews the leases for the lease duration, counted from the worker's
    clock in the last report that was received. No lease can therefore outlast that
    report by more than the lease duration, however late a heartbeat arrives.

    Parameters
    ----------
    lease_seconds : float
        Duration of a lease.
    now : float
        Loop time in seconds at which this entry became the owner; the previous owner
        may have renewed leases until then.
    """

    def __init__(self, lease_seconds: float, now: float):
        self._lease_seconds = lease_seconds
        self._reported_at = now
        self.granted_from: float | None = None

    def record_report(self, worker_clock: float, now: float) -> None:
        """Record a report that was received at loop time ``now``."""
        self._reported_at = now
        self.granted_from = worker_clock

    def has_lapsed(self, now: float) -> bool:
        """Return whether every lease on the worker has lapsed, given clock drift."""
        max_lease_seconds = self._lease_seconds * (1 + CLOCK_DRIFT_RATIO)
        return now > self._reported_at + max_lease_seconds
