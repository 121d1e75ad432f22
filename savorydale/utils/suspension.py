"""How long the machine was suspended, which the event loop's clock does not count."""

import time


def suspended_seconds() -> float:
    """Return for how long the machine was suspended since it booted."""
    boot_seconds = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot_seconds - time.clock_gettime(time.CLOCK_MONOTONIC)
