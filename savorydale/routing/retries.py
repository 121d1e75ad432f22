"""Limit on retries, so that failures do not multiply the load."""

BURST = 10.0


class RetryBudget:
    """Retries that a service may add, as a share of its requests.

    Parameters
    ----------
    ratio : float
        Retries for each request.
    """

    def __init__(self, ratio: float):
        self._ratio = ratio
        self._tokens = BURST

    def record_request(self) -> None:
        """Take note of a request that is sent for the first time."""
        self._tokens = min(BURST, self._tokens + self._ratio)

    def try_acquire(self) -> bool:
        """Use one retry, if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
