"""Tests of the interference model and of throttling by pairs of images."""

import random

from savorydale.placement.interference import InterferenceModel, TailFit, log_tail
from savorydale.placement.throttling import (
    BackfillUsage,
    ServiceSample,
    WorkerThrottle,
    split_share,
    to_percent,
)

BASELINE_MS = 5.0
TARGET_MS = 18.0
SLOPE = 8.0


def fitted_model(seed=1, reports=400):
    """Return a model in which only "heavy" inflates the latency of "feed"."""
    rng = random.Random(seed)
    model = InterferenceModel()
    for _ in range(reports):
        heavy, light = rng.uniform(0, 0.2), rng.uniform(0, 0.2)
        noise = rng.lognormvariate(0, 0.2)
        tail = BASELINE_MS * 2.718 ** (SLOPE * heavy) * noise
        model.observe("feed", {"heavy": heavy, "light": light}, tail)
    for _ in range(5):
        model.fit()
    return model


def observe(throttle, model, tail_ms, backfill, seconds=1.0, start=0.0):
    """Report the same tail latency every 0.5 s; return the time of the last report."""
    now = start
    while now < start + seconds:
        now += 0.5
        service = ServiceSample("t1", "feed", tail_ms, TARGET_MS)
        throttle.observe(model, [service], backfill, now)
    return now


def speeds(throttle, model, backfill, tail_ms=BASELINE_MS):
    service = ServiceSample("t1", "feed", tail_ms, TARGET_MS)
    budgets = throttle.budgets(model, [service])
    shares = throttle.allowed_shares(model, budgets, backfill)
    return {use.image: shares[use.image] / use.demand for use in backfill}


def test_slopes_are_estimated_per_pair():
    model = fitted_model()
    assert abs(model.slope("feed", "heavy") - SLOPE) < 1.5
    assert model.slope("feed", "light") < 1.0
    assert abs(model.intercept("feed") - log_tail(BASELINE_MS)) < 0.2


def test_slope_of_an_unknown_pair_is_zero():
    assert InterferenceModel().slope("feed", "heavy") == 0.0


def test_similarity_follows_the_response_to_backfill():
    model = fitted_model()
    for _ in range(200):
        model.observe("twin", {"heavy": 0.1}, 18.0)
        model.observe("twin", {}, 8.0)
        model.observe("other", {"light": 0.1}, 18.0)
        model.observe("other", {}, 8.0)
    model.fit()
    assert model.similarity("feed", "twin") > 0.9
    assert model.similarity("feed", "other") < 0.3
    assert model.similarity("feed", "feed") == 1.0


def test_only_interfering_backfill_is_throttled():
    model = fitted_model()
    throttle = WorkerThrottle()
    backfill = [BackfillUsage("heavy", 0.3, 0.0), BackfillUsage("light", 0.3, 0.0)]
    observe(throttle, model, BASELINE_MS, backfill)
    speed_by_image = speeds(throttle, model, backfill)
    assert speed_by_image["light"] == 1.0
    assert 0.0 < speed_by_image["heavy"] < 0.5


def test_predicted_tail_stays_under_the_target():
    model = fitted_model()
    throttle = WorkerThrottle()
    backfill = [BackfillUsage("heavy", 0.5, 0.0)]
    observe(throttle, model, BASELINE_MS, backfill, seconds=10)
    share = 0.5 * speeds(throttle, model, backfill)["heavy"]
    assert BASELINE_MS * 2.718 ** (SLOPE * share) < TARGET_MS


def test_breaches_throttle_suspects_first_and_then_all_backfill():
    model = fitted_model()
    throttle = WorkerThrottle()
    backfill = [BackfillUsage("heavy", 0.1, 0.02), BackfillUsage("light", 0.1, 0.1)]
    now = observe(throttle, model, 30.0, backfill, seconds=1.0)
    first = speeds(throttle, model, backfill, 30.0)
    assert first["light"] == 1.0
    assert first["heavy"] < 0.6
    observe(throttle, model, 30.0, backfill, seconds=4.0, start=now)
    assert speeds(throttle, model, backfill, 30.0) == {"heavy": 0.0, "light": 0.0}


def test_backfill_speeds_up_again_after_a_breach():
    model = fitted_model()
    throttle = WorkerThrottle()
    backfill = [BackfillUsage("light", 0.1, 0.1)]
    now = observe(throttle, model, 30.0, backfill, seconds=5.0)
    assert speeds(throttle, model, backfill, 30.0)["light"] == 0.0
    observe(throttle, model, BASELINE_MS, backfill, seconds=10.0, start=now)
    assert speeds(throttle, model, backfill)["light"] == 1.0


def test_speeds_are_rounded_down_to_steps():
    assert [to_percent(speed) for speed in (0.0, 0.04, 0.37, 1.0, 2.0)] == [
        0,
        0,
        30,
        100,
        100,
    ]


def test_a_small_share_is_given_to_the_first_tasks():
    # Ten tasks share the CPU of one and a half.
    assert split_share(0.15, [0.1] * 10) == [100, 50] + [0] * 8


def test_decay_does_not_depend_on_normalization():
    fits = [TailFit(), TailFit()]
    for number in range(200):
        share = 0.1 + 0.001 * number
        for fit in fits:
            fit.observe({"heavy": share}, 1.0 + 2.0 * share)
        fits[0].normalize()
    for fit in fits:
        fit.fit()
    assert abs(fits[0].evidence("heavy") - fits[1].evidence("heavy")) < 1e-9
    assert abs(fits[0].coefficients["heavy"] - fits[1].coefficients["heavy"]) < 1e-9
    assert fits[0].evidence("heavy") < sum((0.1 + 0.001 * n) ** 2 for n in range(200))
