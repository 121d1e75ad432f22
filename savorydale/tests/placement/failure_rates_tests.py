"""Tests of the share of runs that fail on the workers of a service."""

import pytest

from savorydale.placement.failure_rates import (
    HALF_LIFE_ENDS,
    HALF_LIFE_SECONDS,
    PRIOR_ENDS,
    PRIOR_ENDS_BY_COUNT,
    PRIOR_FAILED_RATIO,
    FailureRates,
)


def record(rates, worker, failed, ended, now=0.0):
    for number in range(ended):
        rates.record(worker, number < failed, now)


def decayed_ends(count):
    """Return what the last ends count in all, the latest one as 1."""
    return sum(0.5 ** (number / HALF_LIFE_ENDS) for number in range(count))


def ratio_by_count(failed, ended):
    prior_failed = PRIOR_FAILED_RATIO * PRIOR_ENDS_BY_COUNT
    return (prior_failed + failed) / (PRIOR_ENDS_BY_COUNT + ended)


def test_ratio_is_the_prior_while_nothing_is_known():
    assert FailureRates().ratio_elsewhere("w0", 5.0) == pytest.approx(
        PRIOR_FAILED_RATIO
    )


def test_own_ends_of_a_worker_do_not_count():
    rates = FailureRates()
    record(rates, "w0", 50, 50)
    assert rates.ratio_elsewhere("w0", 0.0) == pytest.approx(PRIOR_FAILED_RATIO)
    ended = decayed_ends(50)
    expected = max(51 / 70, ratio_by_count(ended, ended))
    assert rates.ratio_elsewhere("w1", 0.0) == pytest.approx(expected)


def test_ratio_follows_a_change_within_a_few_half_lives():
    rates = FailureRates()
    record(rates, "w0", 0, 1000)
    now = 4 * HALF_LIFE_SECONDS
    record(rates, "w1", 500, 1000, now)
    assert rates.ratio_elsewhere("w2", now) > 0.4


def test_ends_on_a_worker_that_is_left_out_are_forgotten():
    rates = FailureRates()
    record(rates, "w1", 5, 1000)
    record(rates, "w0", 100, 100)
    rates.forget("w0", HALF_LIFE_SECONDS)
    rates.forget("unknown", HALF_LIFE_SECONDS)
    by_time = (PRIOR_FAILED_RATIO * PRIOR_ENDS + 2.5) / (PRIOR_ENDS + 500)
    later = 0.5 ** (100 / HALF_LIFE_ENDS)  # after the ends on w0
    first_five = (decayed_ends(1000) - decayed_ends(995)) * later
    by_count = ratio_by_count(first_five, decayed_ends(1000) * later)
    ratio = rates.ratio_elsewhere("w2", HALF_LIFE_SECONDS)
    assert ratio == pytest.approx(max(by_time, by_count))


def test_burst_of_failures_shows_within_some_ends():
    rates = FailureRates()
    record(rates, "w0", 0, 10_000)
    record(rates, "w1", 3 * HALF_LIFE_ENDS, 3 * HALF_LIFE_ENDS)
    assert rates.ratio_elsewhere("w2", 0.0) > 0.8
