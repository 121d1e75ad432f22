"""A VM that is too slow to schedule gives the lease up; one late timer does nothing."""

import pytest

from savorydale.exceptions import OverloadedError
from savorydale.scheduler.loop_lag import LATE_TICKS, LoopLag


def test_many_late_timers_in_a_row_are_too_many():
    lag = LoopLag()
    for _ in range(LATE_TICKS - 1):
        lag.observe(0.5)
    with pytest.raises(OverloadedError):
        lag.observe(0.5)


def test_one_pause_is_forgotten():
    lag = LoopLag()
    for _ in range(10 * LATE_TICKS):
        lag.observe(4.0)
        lag.observe(0.001)
