"""Many late timers in a row show that a VM is too slow; it then gives up the lease."""

import pytest

from savorydale.exceptions import OverloadedError
from savorydale.scheduler.loop_lag import LATE_TICK_LIMIT, LoopLagMonitor


def test_many_late_timers_in_a_row_raise_overloaded():
    monitor = LoopLagMonitor()
    for _ in range(LATE_TICK_LIMIT - 1):
        monitor.observe(0.5)
    with pytest.raises(OverloadedError):
        monitor.observe(0.5)


def test_single_late_timers_do_not_accumulate():
    monitor = LoopLagMonitor()
    for _ in range(10 * LATE_TICK_LIMIT):
        monitor.observe(4.0)
        monitor.observe(0.001)
