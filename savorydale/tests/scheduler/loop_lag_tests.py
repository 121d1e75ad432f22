"""Many late timers in a row report an overloaded VM; single ones do not."""

import pytest

from savorydale.exceptions import OverloadedError
from savorydale.scheduler.loop_lag import MAX_LATE_TICKS, LoopLagMonitor


def test_many_late_timers_in_a_row_raise_overloaded():
    monitor = LoopLagMonitor()
    for _ in range(MAX_LATE_TICKS - 1):
        monitor.observe(0.5)
    with pytest.raises(OverloadedError):
        monitor.observe(0.5)


def test_single_late_timers_do_not_accumulate():
    monitor = LoopLagMonitor()
    for _ in range(10 * MAX_LATE_TICKS):
        monitor.observe(4.0)
        monitor.observe(0.001)
