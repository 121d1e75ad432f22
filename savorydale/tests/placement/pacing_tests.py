"""Interference is learnt by pair of images, and only what presses is slowed."""

import random

from savorydale.placement.interference import InterferenceModel, TailFit, log_tail
from savorydale.placement.pacing import (
    BackfillUse,
    ServiceUse,
    WorkerPace,
    split_share,
    to_percent,
)

BASE_MS = 5.0
TARGET_MS = 18.0
SLOPE = 8.0


def learnt_model(seed=1, reports=400):
    """Return a model that saw "heavy" press on "feed", and "light" on nobody."""
    rng = random.Random(seed)
    model = InterferenceModel()
    for _ in range(reports):
        heavy, light = rng.uniform(0, 0.2), rng.uniform(0, 0.2)
        noise = rng.lognormvariate(0, 0.2)
        tail = BASE_MS * 2.718 ** (SLOPE * heavy) * noise
        model.observe("feed", {"heavy": heavy, "light": light}, tail)
    for _ in range(5):
        model.fit()
    return model


def observe(pace, model, tail_ms, backfill, seconds=1.0, start=0.0):
    """Report the same tail each 0.5 s; return the time of the last report."""
    now = start
    while now < start + seconds:
        now += 0.5
        service = ServiceUse("t1", "feed", tail_ms, TARGET_MS)
        pace.observe(model, [service], backfill, now)
    return now


def speeds(pace, model, backfill, tail_ms=BASE_MS):
    service = ServiceUse("t1", "feed", tail_ms, TARGET_MS)
    budgets = pace.budgets(model, [service])
    shares = pace.allowed_shares(model, budgets, backfill)
    return {use.image: shares[use.image] / use.demand for use in backfill}


def test_slopes_are_learnt_by_pair():
    model = learnt_model()
    assert abs(model.slope("feed", "heavy") - SLOPE) < 1.5
    assert model.slope("feed", "light") < 1.0
    assert abs(model.intercept("feed") - log_tail(BASE_MS)) < 0.2


def test_unknown_pairs_do_not_slow_anybody():
    assert InterferenceModel().slope("feed", "heavy") == 0.0


def test_services_that_answer_alike_are_alike():
    model = learnt_model()
    for _ in range(200):
        model.observe("twin", {"heavy": 0.1}, 18.0)
        model.observe("twin", {}, 8.0)
        model.observe("other", {"light": 0.1}, 18.0)
        model.observe("other", {}, 8.0)
    model.fit()
    assert model.similarity("feed", "twin") > 0.9
    assert model.similarity("feed", "other") < 0.3
    assert model.similarity("feed", "feed") == 1.0


def test_only_backfill_that_presses_is_slowed():
    model = learnt_model()
    pace = WorkerPace()
    backfill = [BackfillUse("heavy", 0.3, 0.0), BackfillUse("light", 0.3, 0.0)]
    observe(pace, model, BASE_MS, backfill)
    speed_by_image = speeds(pace, model, backfill)
    assert speed_by_image["light"] == 1.0
    assert 0.0 < speed_by_image["heavy"] < 0.5


def test_predicted_tail_stays_under_the_target():
    model = learnt_model()
    pace = WorkerPace()
    backfill = [BackfillUse("heavy", 0.5, 0.0)]
    observe(pace, model, BASE_MS, backfill, seconds=10)
    share = 0.5 * speeds(pace, model, backfill)["heavy"]
    assert BASE_MS * 2.718 ** (SLOPE * share) < TARGET_MS


def test_breaches_stop_known_causes_first_and_all_backfill_in_the_end():
    model = learnt_model()
    pace = WorkerPace()
    backfill = [BackfillUse("heavy", 0.1, 0.02), BackfillUse("light", 0.1, 0.1)]
    now = observe(pace, model, 30.0, backfill, seconds=1.0)
    first = speeds(pace, model, backfill, 30.0)
    assert first["light"] == 1.0
    assert first["heavy"] < 0.6
    observe(pace, model, 30.0, backfill, seconds=4.0, start=now)
    assert speeds(pace, model, backfill, 30.0) == {"heavy": 0.0, "light": 0.0}


def test_backfill_speeds_up_again_after_a_breach():
    model = learnt_model()
    pace = WorkerPace()
    backfill = [BackfillUse("light", 0.1, 0.1)]
    now = observe(pace, model, 30.0, backfill, seconds=5.0)
    assert speeds(pace, model, backfill, 30.0)["light"] == 0.0
    observe(pace, model, BASE_MS, backfill, seconds=10.0, start=now)
    assert speeds(pace, model, backfill)["light"] == 1.0


def test_speeds_are_ordered_in_steps():
    assert [to_percent(speed) for speed in (0.0, 0.04, 0.37, 1.0, 2.0)] == [
        0,
        0,
        30,
        100,
        100,
    ]


def test_a_small_share_lets_some_tasks_work_rather_than_none():
    # Ten tasks that together may use as much as one and a half of them.
    assert split_share(0.15, [0.1] * 10) == [100, 50] + [0] * 8


def test_what_was_learnt_fades_the_same_whether_or_not_it_is_normalized():
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
