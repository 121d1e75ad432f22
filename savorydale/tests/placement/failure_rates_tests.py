"""Tests of the share of runs that fail on the workers of a service."""

import pytest

from savorydale.placement.failure_rates import (
    HALF_LIFE_SECONDS,
    PRIOR_ENDED,
    PRIOR_FAILED,
    FailureRates,
)

PRIOR_RATIO = PRIOR_FAILED / PRIOR_ENDED


def record(rates, worker, failed, ended, now=0.0):
    for number in range(ended):
        rates.record(worker, number < failed, now)


def test_ratio_is_the_prior_while_nothing_is_known():
    assert FailureRates().ratio_elsewhere("w0", 5.0) == pytest.approx(PRIOR_RATIO)


def test_own_ends_of_a_worker_do_not_count():
    rates = FailureRates()
    record(rates, "w0", 50, 50)
    assert rates.ratio_elsewhere("w0", 0.0) == pytest.approx(PRIOR_RATIO)
    assert rates.ratio_elsewhere("w1", 0.0) == pytest.approx(51 / 70)


def test_ratio_follows_a_change_within_a_few_half_lives():
    rates = FailureRates()
    record(rates, "w0", 0, 1000)
    now = 4 * HALF_LIFE_SECONDS
    record(rates, "w1", 500, 1000, now)
    assert rates.ratio_elsewhere("w2", now) > 0.4


def test_ends_on_a_worker_that_is_left_out_are_forgotten():
    rates = FailureRates()
    record(rates, "w0", 100, 100)
    record(rates, "w1", 5, 100)
    rates.forget("w0", HALF_LIFE_SECONDS)
    rates.forget("unknown", HALF_LIFE_SECONDS)
    expected = (PRIOR_FAILED + 2.5) / (PRIOR_ENDED + 50)
    assert rates.ratio_elsewhere("w2", HALF_LIFE_SECONDS) == pytest.approx(expected)
