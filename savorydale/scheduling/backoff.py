"""Exponential backoff before a failed task is placed again."""

INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 300.0


def backoff_seconds(failures: int) -> float:
    """Return the delay after ``failures`` failed attempts, which doubles each time."""
    if failures == 0:
        return 0.0
    return min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2 ** (failures - 1))
