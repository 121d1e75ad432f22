"""Retry budget, which keeps retries of failed requests from multiplying the load."""

BURST_TOKENS = 10.0


class RetryBudget:
    """Token bucket that limits the retries of a service to a ratio of its requests.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    """

    def __init__(self, ratio: float):
        self._ratio = ratio
        self._tokens = BURST_TOKENS

    def record_request(self) -> None:
        """Add the tokens that the first attempt of a request earns."""
        self._tokens = min(BURST_TOKENS, self._tokens + self._ratio)

    def try_acquire(self) -> bool:
        """Take the token for one retry, if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
